//! Recovery: once every fault has ended, the fleet serves again.

use crate::history::{Event, Record};
use crate::violation::Violation;
use std::collections::{BTreeMap, HashSet};

/// After the last fault has ended or the last process got ready, time for backoffs and slow starts to end.
const RECOVERED_AFTER_US: u64 = 6_000_000;
/// Fewer messages than these tell nothing.
const LEAST_MESSAGES: usize = 60;
/// Least part of the messages that is delivered then.
const LEAST_SHARE: f64 = 0.5;

/// At most one violation: the fleet serves too little after its faults.
pub fn check(records: &[Record], ends_us: u64) -> Vec<Violation> {
    let disturbed = |record: &&Record| {
        matches!(
            record.event,
            Event::Step { .. } | Event::Ready { .. } | Event::Started { .. }
        )
    };
    let last = records
        .iter()
        .filter(disturbed)
        .map(|record| record.at_us)
        .max()
        .unwrap_or(0);
    let from = last + RECOVERED_AFTER_US;
    let mut delivered: HashSet<&str> = HashSet::new();
    let mut taken: HashSet<&str> = HashSet::new();
    // a client's later tries belong to its first
    let mut asked: BTreeMap<usize, (u64, Vec<&str>)> = BTreeMap::new();
    for Record { at_us, event } in records {
        match event {
            Event::Handed { id, arrival, .. } => {
                asked
                    .entry(*arrival)
                    .or_insert((*at_us, Vec::new()))
                    .1
                    .push(id);
            }
            Event::Answered {
                id,
                status: 200 | 202,
            } => drop(taken.insert(id)),
            Event::Replied {
                id, status: 200, ..
            } => drop(delivered.insert(id)),
            _ => {}
        }
    }
    let late: Vec<_> = asked.values().filter(|(at, _)| *at >= from).collect();
    let is_served = |ids: &[&str]| {
        ids.iter()
            .any(|id| taken.contains(id) && delivered.contains(id))
    };
    let served = late.iter().filter(|(_, ids)| is_served(ids)).count();
    if late.len() < LEAST_MESSAGES || served as f64 >= LEAST_SHARE * late.len() as f64 {
        return Vec::new();
    }
    let seconds = ends_us.saturating_sub(from) as f64 / 1e6;
    let what = format!(
        "{served} of {} messages delivered in the last {seconds:.1} s, with no fault",
        late.len()
    );
    vec![Violation {
        rule: "recovery",
        at_us: from,
        what,
    }]
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A fault until the second 10, and a message every tenth of a second until 25, some of them delivered.
    fn history(delivers: impl Fn(u64) -> bool) -> Vec<Record> {
        let step = Event::Step {
            what: String::new(),
        };
        let mut records = vec![Record {
            at_us: 10_000_000,
            event: step,
        }];
        for number in 0..250 {
            let (at_us, id) = (number * 100_000, format!("m{number}"));
            let (arrival, deadline_us) = (number as usize, at_us + 6_000_000);
            let handed = Event::Handed {
                id: id.clone(),
                arrival,
                sender: 0,
                class: 0,
                key: None,
                dest: 0,
                deadline_us,
            };
            let mut events = vec![
                handed,
                Event::Answered {
                    id: id.clone(),
                    status: 202,
                },
            ];
            if delivers(at_us) {
                events.push(Event::Replied {
                    id,
                    endpoint: 0,
                    sender: 0,
                    status: 200,
                });
            }
            records.extend(events.into_iter().map(|event| Record { at_us, event }));
        }
        records
    }

    #[test]
    fn a_fleet_that_serves_again_keeps_the_rule_and_one_that_does_not_breaks_it() {
        assert_eq!(check(&history(|_| true), 25_000_000), []);
        assert_eq!(
            check(&history(|at_us| at_us >= 12_000_000), 25_000_000),
            [],
            "nothing was served in the fault"
        );
        let stuck = check(&history(|at_us| at_us < 10_000_000), 25_000_000);
        assert!(stuck.len() == 1 && stuck[0].rule == "recovery", "{stuck:?}");
    }

    #[test]
    fn too_few_messages_tell_nothing() {
        let mut records = history(|_| false);
        records.push(Record {
            at_us: 15_000_000,
            event: Event::Ready { sender: 0 },
        });
        assert_eq!(check(&records, 25_000_000), []);
    }
}
