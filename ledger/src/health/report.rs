//! What one sender reports of a destination, and what a quorum of them agrees on.

use serde::{Deserialize, Serialize};

/// What a sender reports of a destination, by its own calls alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HealthReport {
    /// The destination.
    pub destination: u64,
    /// It is unavailable; else its last call succeeded a short while ago.
    #[serde(rename = "out")]
    pub unavailable: bool,
}

/// What a quorum of senders agrees on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HealthVerdict {
    /// The destination.
    pub destination: u64,
    /// It is unavailable; else it is available again.
    #[serde(rename = "out")]
    pub unavailable: bool,
    /// Higher with each change: of two, the one with the higher epoch holds.
    pub epoch: u64,
    /// Senders that report it.
    pub observers: usize,
}

impl HealthVerdict {
    /// The one that holds of two of one destination; the same either way round, and of any number in any order.
    pub fn merge(self, other: HealthVerdict) -> HealthVerdict {
        let rank =
            |verdict: &HealthVerdict| (verdict.epoch, verdict.unavailable, verdict.observers);
        if rank(&other) > rank(&self) {
            other
        } else {
            self
        }
    }
}
