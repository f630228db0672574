//! Limits that hold for all senders together: what this one may use of them, and what it could.

use super::{DestinationId, Micros};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a sender may use of a limit that holds for all senders together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Without asking: in thousandths of a call a second, or in calls at once.
    #[serde(rename = "floor")]
    pub fallback: u64,
    /// Beside it, and until when; none within it: there is no limit for so long.
    pub part: Option<(Option<u64>, Micros)>,
}

impl Share {
    /// The part that lasts, and until when; none within it: there is no limit.
    pub fn part_at(&self, now: Micros) -> Option<(Option<u64>, Micros)> {
        self.part.filter(|(_, until)| now < *until)
    }

    /// What may be used at a time; none: all that it likes.
    pub fn at(&self, now: Micros) -> Option<u64> {
        match self.part_at(now) {
            Some((part, _)) => part.map(|part| self.fallback.saturating_add(part)),
            None => Some(self.fallback),
        }
    }
}

/// What a sender may send to one destination, as far as all senders together are limited there.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// Thousandths of a call a second.
    pub rate: Option<Share>,
    /// Calls out at once, and how long one may last at most.
    pub out: Option<(Share, Micros)>,
    /// Thousandths of a call a second while the destination is not well.
    pub cold: Option<Share>,
}

impl Quota {
    /// The least rate that holds at a time for a destination that is well or not; none: any.
    pub fn rate_at(&self, now: Micros, well: bool) -> Option<u64> {
        let shares = [self.rate, self.cold.filter(|_| !well)];
        shares
            .into_iter()
            .flatten()
            .filter_map(|share| share.at(now))
            .min()
    }
}

/// Quotas by destination; what holds for one that is not named.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quotas {
    /// Of these destinations.
    pub named: BTreeMap<DestinationId, Quota>,
    /// Of all others.
    pub others: Quota,
}

impl Quotas {
    /// The quota of a destination.
    pub fn of(&self, destination: DestinationId) -> Quota {
        self.named.get(&destination).copied().unwrap_or(self.others)
    }
}

/// What a sender could use at a destination.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Demand {
    /// Messages that wait there for a call.
    pub waiting: u64,
    /// Calls out.
    pub out: u64,
    /// Calls sent since it was first seen.
    pub sent: u64,
    /// It is not well.
    pub sick: bool,
    /// It is not, by own calls that failed or are not answered.
    pub failing: bool,
    /// Its last call succeeded, a short while ago.
    pub alive: bool,
}

impl Demand {
    /// Whether there is anything that a later look at the demand must show again.
    pub fn is_current(&self) -> bool {
        self.waiting > 0 || self.out > 0 || self.sick || self.alive
    }
}
