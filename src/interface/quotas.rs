//! Quotas: this sender's share of limits that hold for all senders together, and its demand for them.

use super::{DestinationId, Micros};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The part of a limit that is allocated to this sender for a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(Option<u64>, Micros)", into = "(Option<u64>, Micros)")]
pub struct QuotaAllocation {
    /// How much, in the unit of the share; none: there is no limit for so long.
    pub amount: Option<u64>,
    /// When it expires.
    pub until: Micros,
}

impl From<(Option<u64>, Micros)> for QuotaAllocation {
    fn from((amount, until): (Option<u64>, Micros)) -> Self {
        QuotaAllocation { amount, until }
    }
}

impl From<QuotaAllocation> for (Option<u64>, Micros) {
    fn from(allocation: QuotaAllocation) -> Self {
        (allocation.amount, allocation.until)
    }
}

/// What this sender may use of a limit that holds for all senders together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaShare {
    /// Without an allocation: in thousandths of a call a second, or in concurrent calls.
    #[serde(rename = "floor")]
    pub fallback: u64,
    /// Added to the fallback while it lasts.
    #[serde(rename = "part")]
    pub allocation: Option<QuotaAllocation>,
}

impl QuotaShare {
    /// The allocation, if it has not expired.
    pub fn allocation_at(&self, now: Micros) -> Option<QuotaAllocation> {
        self.allocation.filter(|allocation| now < allocation.until)
    }

    /// What may be used at a time; none: there is no limit.
    pub fn at(&self, now: Micros) -> Option<u64> {
        match self.allocation_at(now) {
            Some(allocation) => allocation
                .amount
                .map(|amount| self.fallback.saturating_add(amount)),
            None => Some(self.fallback),
        }
    }
}

/// A limit of concurrent calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(QuotaShare, Micros)", into = "(QuotaShare, Micros)")]
pub struct ConcurrencyQuota {
    /// How many calls.
    pub share: QuotaShare,
    /// How long one call may last at most.
    pub max_duration: Micros,
}

impl From<(QuotaShare, Micros)> for ConcurrencyQuota {
    fn from((share, max_duration): (QuotaShare, Micros)) -> Self {
        ConcurrencyQuota {
            share,
            max_duration,
        }
    }
}

impl From<ConcurrencyQuota> for (QuotaShare, Micros) {
    fn from(quota: ConcurrencyQuota) -> Self {
        (quota.share, quota.max_duration)
    }
}

/// What this sender may send to one destination, as far as all senders together are limited there.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// Thousandths of a call a second.
    pub rate: Option<QuotaShare>,
    /// Calls in flight.
    #[serde(rename = "out")]
    pub in_flight: Option<ConcurrencyQuota>,
    /// Thousandths of a call a second while the destination is not healthy.
    #[serde(rename = "cold")]
    pub unhealthy_rate: Option<QuotaShare>,
}

impl Quota {
    /// The lowest rate that holds at a time for a destination that is healthy or not; none: there is no limit.
    pub fn rate_at(&self, now: Micros, healthy: bool) -> Option<u64> {
        let shares = [self.rate, self.unhealthy_rate.filter(|_| !healthy)];
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
    /// Messages that wait for a call there.
    pub waiting: u64,
    /// Calls in flight.
    pub in_flight: u64,
    /// Calls sent since the destination was first seen.
    pub sent: u64,
    /// The destination is not healthy.
    pub unhealthy: bool,
    /// It is not, by own calls that failed or are not answered.
    pub failing: bool,
    /// Its last call succeeded, a short while ago.
    pub alive: bool,
}

impl Demand {
    /// Whether there is anything that a later look at the demand must show again.
    pub fn is_current(&self) -> bool {
        self.waiting > 0 || self.in_flight > 0 || self.unhealthy || self.alive
    }
}
