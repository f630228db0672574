//! The history of clients' operations, and whether it is linearizable.

use std::collections::BTreeSet;
use versioned_config::Micros;

/// An operation of a client on the list's version.
#[derive(Debug, Clone, Copy)]
pub struct Operation {
    pub requested: Micros,
    pub answered: Micros,
    pub rev: u64,
    pub writes: bool,
}

/// What is wrong with a history of conditional writes, each of which makes a version, and reads of it.
pub fn linearizability_violation(history: &[Operation]) -> Option<(Operation, Operation)> {
    let revs: BTreeSet<u64> = history
        .iter()
        .filter(|done| done.writes)
        .map(|done| done.rev)
        .collect();
    for one in history {
        for other in history {
            let after = one.answered < other.requested;
            let behind = other.rev < one.rev || other.writes && other.rev == one.rev;
            if after && behind {
                return Some((*one, *other));
            }
        }
    }
    let twice = revs.len() < history.iter().filter(|done| done.writes).count();
    twice.then(|| (history[0], history[0]))
}
