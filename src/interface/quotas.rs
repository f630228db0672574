//! Quotas: this sender's allocations of limits that hold for the whole fleet, and the demand that
//! the sender reports to obtain them.

use super::{DestinationId, Micros};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Amount of a fleet-wide limit that is allocated to this sender until a given time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(Option<u64>, Micros)", into = "(Option<u64>, Micros)")]
pub struct QuotaAllocation {
    /// Allocated amount, in the unit of the [`QuotaShare`] that holds the allocation. `None`: there
    /// is no limit until the allocation expires.
    pub amount: Option<u64>,
    /// Time in microseconds at which the allocation expires.
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

/// What this sender may use of one fleet-wide limit. Its amounts are in thousandths of a call a
/// second if the limit is a rate, and in calls in flight if it is a limit on concurrent calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaShare {
    /// Fallback quota, which this sender may use even without an allocation: in thousandths of a
    /// call a second, or in concurrent calls.
    #[serde(rename = "floor")]
    pub fallback: u64,
    /// Allocation, which is added to the fallback quota until it expires.
    #[serde(rename = "part")]
    pub allocation: Option<QuotaAllocation>,
}

impl QuotaShare {
    /// Returns the allocation if it has not expired at `now`.
    pub fn allocation_at(&self, now: Micros) -> Option<QuotaAllocation> {
        self.allocation.filter(|allocation| now < allocation.until)
    }

    /// Returns the amount that this sender may use at `now`: thousandths of a call a second for a
    /// rate, calls in flight for a concurrency limit. `None`: there is no limit.
    pub fn at(&self, now: Micros) -> Option<u64> {
        match self.allocation_at(now) {
            Some(allocation) => allocation
                .amount
                .map(|amount| self.fallback.saturating_add(amount)),
            None => Some(self.fallback),
        }
    }
}

/// This sender's quota of a fleet-wide limit on concurrent calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(QuotaShare, Micros)", into = "(QuotaShare, Micros)")]
pub struct ConcurrencyQuota {
    /// Number of calls that this sender may have in flight.
    pub share: QuotaShare,
    /// Maximum time in microseconds from the start to the end of one call.
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

/// This sender's quotas at one destination. `None` in a field means that there is no such limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// Rate limit that always holds, in thousandths of a call a second.
    pub rate: Option<QuotaShare>,
    /// Limit on the calls in flight to the destination.
    #[serde(rename = "out")]
    pub in_flight: Option<ConcurrencyQuota>,
    /// Further rate limit that holds while the destination is not healthy, in thousandths of a
    /// call a second.
    #[serde(rename = "cold")]
    pub unhealthy_rate: Option<QuotaShare>,
}

impl Quota {
    /// Returns the lowest rate limit that applies at `now`, in thousandths of a call a second. The
    /// limit for unhealthy destinations applies only if `healthy` is false. `None`: there is no
    /// limit.
    pub fn rate_at(&self, now: Micros, healthy: bool) -> Option<u64> {
        let shares = [self.rate, self.unhealthy_rate.filter(|_| !healthy)];
        shares
            .into_iter()
            .flatten()
            .filter_map(|share| share.at(now))
            .min()
    }
}

/// This sender's quotas at all destinations.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quotas {
    /// Quotas at destinations that have limits of their own.
    pub named: BTreeMap<DestinationId, Quota>,
    /// Quota at each destination that is not in `named`.
    pub others: Quota,
}

impl Quotas {
    /// Returns the quota at `destination`.
    pub fn of(&self, destination: DestinationId) -> Quota {
        self.named.get(&destination).copied().unwrap_or(self.others)
    }
}

/// Load of this sender at one destination, from which the allocator determines the sender's
/// allocation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Demand {
    /// Number of messages for the destination without an attempt in flight.
    pub waiting: u64,
    /// Number of calls in flight to the destination.
    pub in_flight: u64,
    /// Number of calls sent since this sender first saw the destination.
    pub sent: u64,
    /// True if the destination is not healthy, for whatever reason.
    pub unhealthy: bool,
    /// True if the destination is ejected and this sender's own last calls failed or have no
    /// answer.
    pub failing: bool,
    /// True if, on a route to the destination, no call of this sender has failed since the last one
    /// that succeeded, and the last answer of any kind was received less than
    /// [`Safety::overload_span`](super::Safety::overload_span) ago.
    pub alive: bool,
}

impl Demand {
    /// Returns true if the demand must be reported again at the next poll even if no event changes
    /// it until then. This holds while messages wait, calls are in flight, the destination is
    /// unhealthy or `alive` is true; `alive` changes as time passes, without an event.
    pub fn must_be_repeated(&self) -> bool {
        self.waiting > 0 || self.in_flight > 0 || self.unhealthy || self.alive
    }
}
