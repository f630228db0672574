//! A destination that comes back cold: what the calls of all senders together are within any span in which it would
//! fall, in passed-in time over the real module. The world takes what comes; nothing of it is fitted to a deployment.

mod common;

use common::{IDEMPOTENT, START, entry, message, settings};
use message_sender::*;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

const STEP: Micros = 10 * MILLISECOND;
const TIME: Micros = 50 * MILLISECOND;
/// How long it serves, is out, and is watched after its return.
const BEFORE: Micros = 12 * SECOND;
const OUT: Micros = 7 * SECOND;

/// One day: senders, what the destination takes when warm, the list's figure for it as a share of that.
#[derive(Debug, Clone, Copy)]
struct Day {
    senders: usize,
    rate: f64,
    listed: f64,
    cold: Micros,
    span: Micros,
    start: f64,
    outage: Outcome,
    seed: u64,
}

struct Sends {
    /// Times of the calls that reached it, since its return.
    reached: Vec<Micros>,
}

fn play(day: Day) -> Sends {
    let mut settings = settings(4);
    settings.senders = day.senders as u32;
    settings.weight_trust = 0.5;
    (settings.safety.start_capacity, settings.safety.warm_up_time) = (day.start, day.cold);
    settings.safety.overload_span = day.span;
    settings.safety.overload_multiple = 2.0;
    let start = |seed| Sender::new(settings.clone(), seed).expect("settings");
    let mut senders: Vec<Sender> = (0..day.senders as u64)
        .map(|n| start(n + 1000 * day.seed))
        .collect();
    let mut timers: Vec<BTreeSet<Micros>> = vec![BTreeSet::new(); day.senders];
    let mut random = Pcg32::seed_from_u64(day.seed);
    let mut out: Vec<(Micros, usize, u64, usize, u32, Outcome)> = Vec::new();
    let mut attempts: BTreeMap<u64, usize> = BTreeMap::new();
    let entries: Vec<EndpointEntry> = (1..=2)
        .map(|n| EndpointEntry {
            weight: day.rate * day.listed,
            ..entry(n, 7)
        })
        .collect();
    let back = START + BEFORE + OUT;
    let (mut now, mut next, mut reached) = (START, 0, Vec::new());
    while now < back + day.cold {
        let mut events: Vec<Vec<Event>> = vec![Vec::new(); day.senders];
        if now == START {
            let listed = Event::EndpointList {
                scope: ListScope::Full,
                entries: entries.clone(),
            };
            events
                .iter_mut()
                .for_each(|events| events.push(listed.clone()));
        }
        // as much as it takes when warm comes in, at senders by chance
        let due = ((now - START) as f64 / SECOND as f64 * day.rate * 0.9) as u64;
        while next < due {
            events[random.next_u32() as usize % day.senders].push(message(next, IDEMPOTENT, 7));
            next += 1;
        }
        out.retain(|&(at, index, id, attempt, endpoint, outcome)| {
            let ends = at <= now;
            if ends {
                events[index].push(common::ended(id, attempt, endpoint, outcome, TIME));
            }
            !ends
        });
        for index in 0..day.senders {
            let rings = timers[index].first().is_some_and(|at| *at <= now);
            if !rings && events[index].is_empty() {
                continue;
            }
            if rings {
                timers[index].retain(|at| *at > now);
                events[index].push(Event::TimerExpired);
            }
            let mut actions = Vec::new();
            senders[index].handle(now, &events[index], &mut actions);
            for action in actions {
                match action {
                    Action::SetTimer(at) => drop(timers[index].insert(at)),
                    Action::Send {
                        message, endpoint, ..
                    } => {
                        let attempt = attempts.entry(message.0).or_default();
                        let is_out = (START + BEFORE..back).contains(&now);
                        let outcome = if is_out { day.outage } else { Outcome::Success };
                        out.push((now + TIME, index, message.0, *attempt, endpoint.0, outcome));
                        *attempt += 1;
                        reached.extend((now >= back).then_some(now - back));
                    }
                    _ => {}
                }
            }
        }
        now += STEP;
    }
    Sends { reached }
}

/// The most by which a span holds more than its budget, in what chance is allowed to bring: 2 x root of N + 2.
fn worst(day: Day, sends: &Sends) -> (f64, Micros) {
    let spans = sends.reached.iter().map(|&from| {
        let calls = sends
            .reached
            .iter()
            .filter(|&&at| (from..from + day.span).contains(&at))
            .count() as f64;
        let level =
            |at: Micros| day.start + (1.0 - day.start) * (at as f64 / day.cold as f64).min(1.0);
        let mean = (level(from) + level(from + day.span)) / 2.0;
        let budget = 2.0 * day.rate * mean * day.span as f64 / SECOND as f64;
        ((calls - budget) / (2.0 * budget.sqrt() + 2.0), from)
    });
    spans
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .unwrap_or((f64::MIN, 0))
}

/// The most over all days with so many senders, and on which.
fn worst_of(sizes: &[usize], outages: &[Outcome]) -> (f64, Micros, Option<Day>) {
    let mut most = (f64::MIN, 0, None);
    for &senders in sizes {
        for rate in [3.0, 12.0, 60.0] {
            for &outage in outages {
                // lists that are right, too low and too high; other cold times
                for (seed, listed) in (0..).zip([0.6, 1.0, 1.4, 1.0]) {
                    let short = seed % 2 == 1;
                    let (cold, span) = if short {
                        (5 * SECOND, 3 * SECOND)
                    } else {
                        (11 * SECOND, 1_500 * MILLISECOND)
                    };
                    let start = if short { 0.25 } else { 0.18 };
                    let day = Day {
                        senders,
                        rate,
                        listed,
                        cold,
                        span,
                        start,
                        outage,
                        seed,
                    };
                    let (over, at) = worst(day, &play(day));
                    if over > most.0 {
                        most = (over, at, Some(day));
                    }
                }
            }
        }
    }
    most
}

#[test]
fn fleet_stays_within_capacity_of_cold_destination_after_failures() {
    let most = worst_of(
        &[1, 3, 20, 30, 300],
        &[Outcome::Error, Outcome::NoConnection],
    );
    assert!(most.0 <= 1.0, "{most:?}");
}

#[test]
fn fleet_stays_within_capacity_of_cold_destination_after_rejections() {
    let most = worst_of(
        &[1, 3, 20, 30, 300],
        &[Outcome::Rejected { retry_after: None }],
    );
    assert!(most.0 <= 1.0, "{most:?}");
}
