//! What the senders said that they may use of a limit that they hold together: at no moment more than it.

use crate::history::{Event, Record};
use crate::violation::Violation;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// What a limit of before may last beyond a lease: drift of the clocks, and the way of the answer that set the new one.
const SLACK: f64 = 1.05;
const ANSWERED_US: u64 = 100_000;

#[derive(Debug, Deserialize)]
struct Part {
    key: String,
    part: Option<u64>,
    until_us: u64,
}

/// What a sender said.
#[derive(Debug, Deserialize)]
struct Report {
    parts: Vec<Part>,
    floors: Floors,
    lease_ms: u64,
    now_us: u64,
}

#[derive(Debug, Deserialize)]
struct Floors {
    senders: u64,
    each: BTreeMap<String, u64>,
}

/// Of one limit, what one sender may use from one time to another, on the lab's clock.
#[derive(Debug, Clone, Copy)]
struct Span {
    sender: usize,
    from_us: u64,
    until_us: u64,
    part: u64,
}

/// What was counted.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct LimitFigures {
    /// Reports of senders, and those of them that hold no part.
    pub reports: usize,
    pub on_floors: usize,
    /// The most that could be used of a limit together, as a part of it, and the median over all moments and limits.
    pub most: f64,
    pub median: f64,
}

/// A moment at which all senders' parts of one limit add up to something.
struct Moment {
    at_us: u64,
    key: String,
    sum: u64,
    allowed: u64,
}

fn moments(records: &[Record]) -> Vec<Moment> {
    let mut spans: BTreeMap<String, Vec<Span>> = BTreeMap::new();
    let (mut limits, mut floor, mut lease_us) = (Vec::new(), 0, 0);
    // where a sender's process ended what it had is used no more
    let mut ends: HashMap<usize, Vec<u64>> = HashMap::new();
    for Record { at_us, event } in records {
        match event {
            Event::LimitSet { total } => limits.push((*at_us, *total)),
            Event::ProcessEnded { sender, .. } => ends.entry(*sender).or_default().push(*at_us),
            Event::QuotasReported { sender, report } => {
                let Ok(report) = Report::deserialize(report) else {
                    continue;
                };
                (lease_us, floor) = (
                    report.lease_ms * 1000,
                    report.floors.senders * report.floors.each.get("rate").copied().unwrap_or(0),
                );
                for Part {
                    key,
                    part,
                    until_us,
                } in report.parts
                {
                    let left = until_us.saturating_sub(report.now_us);
                    let Some(part) = part.filter(|part| *part > 0) else {
                        continue;
                    };
                    let (from_us, until_us) = (*at_us, at_us + left);
                    spans.entry(key).or_default().push(Span {
                        sender: *sender,
                        from_us,
                        until_us,
                        part,
                    });
                }
            }
            _ => {}
        }
    }
    let longest = (lease_us as f64 * SLACK) as u64 + ANSWERED_US;
    let allowed = |at_us: u64| {
        let now = limits
            .iter()
            .rposition(|(since, _)| *since <= at_us)
            .unwrap_or(0);
        let still = limits[..=now.min(limits.len().saturating_sub(1))]
            .iter()
            .enumerate();
        let lasts = |number: usize| {
            limits
                .get(number + 1)
                .is_none_or(|(since, _)| at_us < since + longest)
        };
        still
            .filter(|(number, _)| lasts(*number))
            .map(|(_, (_, total))| *total)
            .max()
    };
    let mut all = Vec::new();
    for (key, spans) in &mut spans {
        for span in spans.iter_mut() {
            let end = ends
                .get(&span.sender)
                .and_then(|ends| ends.iter().find(|end| **end >= span.from_us));
            span.until_us = span.until_us.min(end.copied().unwrap_or(u64::MAX));
        }
        // sums change only where one is said to begin
        for at_us in spans.iter().map(|span| span.from_us).collect::<Vec<_>>() {
            let mut held: HashMap<usize, u64> = HashMap::new();
            for span in spans
                .iter()
                .filter(|span| span.from_us <= at_us && at_us < span.until_us)
            {
                let most = held.entry(span.sender).or_default();
                *most = span.part.max(*most);
            }
            let Some(allowed) = allowed(at_us).filter(|_| !limits.is_empty()) else {
                continue;
            };
            all.push(Moment {
                at_us,
                key: key.clone(),
                sum: held.values().sum::<u64>() + floor,
                allowed,
            });
        }
    }
    all
}

/// Nothing is over a limit at any moment at which the senders' words tell.
pub fn check(records: &[Record]) -> Vec<Violation> {
    let over = moments(records)
        .into_iter()
        .filter(|moment| moment.sum > moment.allowed);
    let worst = over.max_by_key(|moment| moment.sum - moment.allowed);
    let told = worst.map(
        |Moment {
             at_us,
             key,
             sum,
             allowed,
         }| Violation {
            rule: "limits",
            at_us,
            description: format!("{key}: {sum} may be used together, {allowed} is the limit"),
        },
    );
    told.into_iter().collect()
}

/// How the senders held their limits.
pub fn figures(records: &[Record]) -> LimitFigures {
    let report = |record: &Record| match &record.event {
        Event::QuotasReported { report, .. } => {
            Some(report["parts"].as_array().is_none_or(Vec::is_empty))
        }
        _ => None,
    };
    let reports: Vec<bool> = records.iter().filter_map(report).collect();
    let mut used: Vec<f64> = moments(records)
        .iter()
        .map(|moment| moment.sum as f64 / moment.allowed.max(1) as f64)
        .collect();
    used.sort_by(f64::total_cmp);
    LimitFigures {
        reports: reports.len(),
        on_floors: reports.iter().filter(|on_floors| **on_floors).count(),
        most: used.last().copied().unwrap_or(0.0),
        median: used.get(used.len() / 2).copied().unwrap_or(0.0),
    }
}

#[cfg(test)]
mod tests;
