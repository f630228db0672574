//! What a history says in figures: worth served, attempts and refusals, and how even the endpoints' arrivals were.

use crate::history::{Event, Record};
use crate::workload::{CLASSES, micros};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};

/// Span of the worst part of a run, us.
const WORST_US: u64 = 10_000_000;

/// Worth served, as a share of what was asked for.
#[derive(Debug, Default, Clone, PartialEq, Serialize)]
pub struct DeliveredWeight {
    pub all: f64,
    /// Of what was handed in within the worst ten seconds.
    pub worst_10s: f64,
    pub by_class: BTreeMap<String, f64>,
}

/// Arrivals at the endpoints, refused calls among them.
#[derive(Debug, Default, Clone, PartialEq, Serialize)]
pub struct Evenness {
    /// Variance over mean of the counts in bins of 100 ms and of 1 s, the mean over all endpoints; 1 for arrivals by
    /// chance alone, below that for turns, above it for herds.
    pub dispersion_100ms: f64,
    pub dispersion_1s: f64,
    /// The busiest bin of 100 ms over the mean, at the endpoint where that is worst.
    pub peak_over_mean: f64,
    /// Jain's index of the endpoints' arrivals: 1 where all have the same (Jain, Chiu, Hawe 1984).
    pub jain: f64,
    /// Endpoints that nobody called.
    pub idle: usize,
}

/// The worth of a message of this class that is delivered so long after it was handed in.
fn weight_at(class: usize, after_us: u64) -> f64 {
    let Some(class) = CLASSES.get(class) else {
        return 0.0;
    };
    let after = after_us as f64 / 1e6;
    if after > class.deadline_s {
        return 0.0;
    }
    let late = ((after - class.latency_objective_s)
        / (class.deadline_s - class.latency_objective_s))
        .max(0.0);
    class.priority_weight * (1.0 - late * (1.0 - class.late_share))
}

/// Worth by when messages were first handed in. A client's later tries belong to its first.
pub fn delivered_weight(records: &[Record]) -> DeliveredWeight {
    struct Asked {
        at: u64,
        class: usize,
        taken: bool,
        served: f64,
    }
    let mut by_id: HashMap<&str, usize> = HashMap::new();
    let mut asked: BTreeMap<usize, Asked> = BTreeMap::new();
    for Record { at_us, event } in records {
        match event {
            Event::Submitted {
                id, arrival, class, ..
            } => {
                by_id.insert(id, *arrival);
                asked.entry(*arrival).or_insert(Asked {
                    at: *at_us,
                    class: *class,
                    taken: false,
                    served: 0.0,
                });
            }
            Event::SubmissionAnswered {
                id,
                status: 200 | 202,
            } => {
                if let Some(asked) = by_id
                    .get(id.as_str())
                    .and_then(|arrival| asked.get_mut(arrival))
                {
                    asked.taken = true;
                }
            }
            Event::CallAnswered {
                id, status: 200, ..
            } => {
                if let Some(asked) = by_id
                    .get(id.as_str())
                    .and_then(|arrival| asked.get_mut(arrival))
                {
                    asked.served = asked.served.max(weight_at(asked.class, at_us - asked.at));
                }
            }
            _ => {}
        }
    }
    let share = |of: &dyn Fn(&Asked) -> bool| {
        let (mut served, mut wanted) = (0.0, 0.0);
        for one in asked.values().filter(|one| of(one)) {
            wanted += weight_at(one.class, 0);
            served += if one.taken { one.served } else { 0.0 };
        }
        if wanted > 0.0 { served / wanted } else { 1.0 }
    };
    let (first, last) = (
        asked.values().map(|one| one.at).min(),
        asked.values().map(|one| one.at).max(),
    );
    let (first, last) = (first.unwrap_or(0), last.unwrap_or(0));
    let spans = (first..=last.saturating_sub(WORST_US).max(first)).step_by(1_000_000);
    let worst = spans
        .map(|from| share(&|one| (from..from + WORST_US).contains(&one.at)))
        .fold(1.0, f64::min);
    let class = |(at, class): (usize, &crate::workload::Class)| {
        (class.name.to_string(), share(&|one| one.class == at))
    };
    DeliveredWeight {
        all: share(&|_| true),
        worst_10s: worst,
        by_class: CLASSES.iter().enumerate().map(class).collect(),
    }
}

/// How even the arrivals were while clients handed in.
pub fn evenness(records: &[Record], endpoints: usize) -> Evenness {
    let handed = || {
        records
            .iter()
            .filter(|record| matches!(record.event, Event::Submitted { .. }))
    };
    let (Some(first), Some(last)) = (handed().next(), handed().next_back()) else {
        return Evenness::default();
    };
    // the first second is a start from nothing
    let (from, to) = (first.at_us + micros(1.0), last.at_us);
    let mut arrivals: Vec<Vec<u64>> = vec![Vec::new(); endpoints];
    for Record { at_us, event } in records {
        if let Event::CallReceived { endpoint, .. } = event
            && (from..to).contains(at_us)
            && let Some(arrivals) = arrivals.get_mut(*endpoint)
        {
            arrivals.push(at_us - from);
        }
    }
    let counts = |arrivals: &[u64], bin: u64| {
        let bins = (to.saturating_sub(from) / bin).max(1) as usize;
        let mut counts = vec![0u32; bins];
        for at in arrivals {
            if let Some(count) = counts.get_mut((at / bin) as usize) {
                *count += 1;
            }
        }
        counts
    };
    let called: Vec<&Vec<u64>> = arrivals
        .iter()
        .filter(|arrivals| !arrivals.is_empty())
        .collect();
    let mean_of = |figure: &dyn Fn(&[u64]) -> f64| {
        called.iter().map(|arrivals| figure(arrivals)).sum::<f64>() / called.len().max(1) as f64
    };
    let peak = |arrivals: &&Vec<u64>| {
        let counts = counts(arrivals, 100_000);
        f64::from(counts.iter().copied().max().unwrap_or(0)) / mean(&counts).max(f64::MIN_POSITIVE)
    };
    let totals: Vec<f64> = arrivals
        .iter()
        .map(|arrivals| arrivals.len() as f64)
        .collect();
    let squares: f64 = totals.iter().map(|total| total * total).sum();
    let sum: f64 = totals.iter().sum();
    Evenness {
        dispersion_100ms: mean_of(&|arrivals| dispersion(&counts(arrivals, 100_000))),
        dispersion_1s: mean_of(&|arrivals| dispersion(&counts(arrivals, 1_000_000))),
        peak_over_mean: called.iter().map(peak).fold(0.0, f64::max),
        jain: if squares > 0.0 {
            sum * sum / (totals.len() as f64 * squares)
        } else {
            1.0
        },
        idle: endpoints - called.len(),
    }
}

fn mean(counts: &[u32]) -> f64 {
    counts.iter().copied().map(f64::from).sum::<f64>() / counts.len().max(1) as f64
}

/// Variance over mean.
fn dispersion(counts: &[u32]) -> f64 {
    let mean = mean(counts);
    let square = |count: &u32| (f64::from(*count) - mean).powi(2);
    let variance = counts.iter().map(square).sum::<f64>() / (counts.len() as f64 - 1.0).max(1.0);
    if mean > 0.0 { variance / mean } else { 0.0 }
}

#[cfg(test)]
mod tests;
