//! The senders' and replicas' processes: none ends by itself, and none reports a broken invariant.

use crate::history::{Event, Record};
use crate::violation::Violation;

/// No process ends but by the lab.
pub fn check_exits(records: &[Record]) -> Vec<Violation> {
    let unintended_exit = |record: &Record| {
        let description = match &record.event {
            Event::ReplicaEnded {
                replica,
                intended: false,
                status,
                ..
            } => format!("r{replica} ended by itself: {status}"),
            Event::ProcessEnded {
                sender,
                intended: false,
                status,
                ..
            } => format!("n{sender} ended by itself: {status}"),
            _ => return None,
        };
        Some(Violation {
            rule: "processes",
            at_us: record.at_us,
            description,
        })
    };
    records.iter().filter_map(unintended_exit).collect()
}

/// No sender holds more than its memory limit.
pub fn check_memory(records: &[Record]) -> Vec<Violation> {
    let excess = |record: &Record| match &record.event {
        Event::MemoryExceeded { sender, bytes } => Some(Violation {
            rule: "memory",
            at_us: record.at_us,
            description: format!("n{sender}: {bytes} bytes in memory and files"),
        }),
        _ => None,
    };
    records.iter().filter_map(excess).collect()
}

/// No sender saw an invariant of its own broken.
pub fn check_invariants(records: &[Record]) -> Vec<Violation> {
    let broken_invariant = |record: &Record| match &record.event {
        Event::InvariantViolated { sender, line } => Some(Violation {
            rule: "invariants",
            at_us: record.at_us,
            description: format!("n{sender}: {line}"),
        }),
        _ => None,
    };
    records.iter().filter_map(broken_invariant).collect()
}
