//! Recovery: once every fault has ended, the fleet serves again.

use crate::history::{Event, Record};
use crate::violation::Violation;
use std::collections::{BTreeMap, HashSet};

/// After the last fault has ended or the last process got ready, time for backoffs and slow starts to end.
const RECOVERED_AFTER_US: u64 = 6_000_000;
/// Fewer messages than these tell nothing.
const MIN_MESSAGES: usize = 60;
/// Least part of the messages that is delivered then.
const MIN_SHARE: f64 = 0.5;

/// At most one violation: the fleet serves too little after its faults.
pub fn check(records: &[Record], ends_us: u64) -> Vec<Violation> {
    let disturbed = |record: &&Record| {
        matches!(
            record.event,
            Event::FaultStep { .. } | Event::ProcessReady { .. } | Event::ProcessStarted { .. }
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
    let mut accepted: HashSet<&str> = HashSet::new();
    // a client's retries belong to its first attempt
    let mut submitted: BTreeMap<usize, (u64, Vec<&str>)> = BTreeMap::new();
    for Record { at_us, event } in records {
        match event {
            Event::Submitted { id, arrival, .. } => {
                submitted
                    .entry(*arrival)
                    .or_insert((*at_us, Vec::new()))
                    .1
                    .push(id);
            }
            Event::SubmissionAnswered {
                id,
                status: 200 | 202,
            } => drop(accepted.insert(id)),
            Event::CallAnswered {
                id, status: 200, ..
            } => drop(delivered.insert(id)),
            _ => {}
        }
    }
    let late: Vec<_> = submitted.values().filter(|(at, _)| *at >= from).collect();
    let is_served = |ids: &[&str]| {
        ids.iter()
            .any(|id| accepted.contains(id) && delivered.contains(id))
    };
    let served = late.iter().filter(|(_, ids)| is_served(ids)).count();
    if late.len() < MIN_MESSAGES || served as f64 >= MIN_SHARE * late.len() as f64 {
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
        description: what,
    }]
}

#[cfg(test)]
mod tests;
