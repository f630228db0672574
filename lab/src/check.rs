//! The rules of a run, checked over its history. A violation says what was seen, with the time and the id.

pub mod agreement;
mod drains;
mod effects;
pub mod limits;
pub mod membership;
mod order;
mod outcomes;
mod processes;
mod recovery;

use crate::history::{Event, Head, Record};
use crate::violation::Violation;

/// Slack of all time limits on sockets.
const SOCKET_SLACK_US: u64 = 50_000;

/// All violations of all rules, in order of time.
pub fn check(head: &Head, records: &[Record]) -> Vec<Violation> {
    let records = until_run_ended(records);
    let mut violations = [
        outcomes::check(records),
        effects::check_effects(records),
        effects::check_calls(records),
        processes::check_exits(records),
        processes::check_memory(records),
        membership::check(head, records),
        agreement::check(records),
        drains::check(records),
        limits::check(records),
        order::check(records),
        recovery::check(records, head.ends_us),
        processes::check_invariants(records),
    ]
    .concat();
    violations.sort_by_key(|violation| violation.at_us);
    violations
}

/// The records without those that come after the run: what the lab does to the processes then breaks no rule.
fn until_run_ended(records: &[Record]) -> &[Record] {
    let end = records
        .iter()
        .position(|record| record.event == Event::RunEnded {});
    match end {
        Some(end) => &records[..=end],
        None => records,
    }
}

#[cfg(test)]
mod tests;
