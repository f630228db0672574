//! Limits that hold for all senders together: this sender keeps to its share of them.

use super::Sender;
use super::state::{Health, QuotaBucket, RouteId};
use crate::interface::{DestinationId, MILLISECOND, Micros, Quota, QuotaShare, Quotas};

/// Span of a rate that may be used at once, the same for all that share it.
/// Longer takes bursts faster, shorter keeps the sum of all senders nearer to the limit.
const BURST: Micros = 400 * MILLISECOND;

impl Sender {
    pub(super) fn apply_quotas(&mut self, quotas: Option<Box<Quotas>>) {
        let before = std::mem::replace(&mut self.quotas, quotas);
        for (&destination, bucket) in &mut self.quota_buckets {
            let rate_before = rate_share(before.as_deref(), destination);
            let rate_after = rate_share(self.quotas.as_deref(), destination);
            bucket.change_share(self.now, rate_before, rate_after, BURST);
        }
    }

    /// The quota of a destination, where there are quotas.
    pub(super) fn quota_of(&self, destination: DestinationId) -> Option<Quota> {
        let quotas = self.quotas.as_ref()?;
        Some(quotas.of(destination))
    }

    /// True if this sender's share of the limits allows a call to the destination now. Guards the
    /// limit against the sum of all senders; could starve a sender that can't ask for an allocation
    /// and has a small fallback.
    pub(super) fn quota_allows_call(&mut self, destination: DestinationId) -> bool {
        let Some(quota) = self.quota_of(destination) else {
            return true;
        };
        let now = self.now;
        let mut routes = self.routes.range(RouteId::all_of(destination));
        let is_healthy = routes.all(|(_, route)| route.health == Health::Healthy);
        let Some(rate) = quota.rate_at(now, is_healthy) else {
            return true;
        };
        let bucket = self.quota_buckets.entry(destination);
        let bucket = bucket.or_insert(QuotaBucket::new(now));
        bucket.refill(now, rate, BURST);
        if bucket.has_call() {
            return true;
        }
        if rate > 0 {
            let refilled_at = now.saturating_add(bucket.time_until_call(rate));
            self.wake_by(refilled_at);
        }
        false
    }

    /// Calls that this sender may have in flight to the destination by its share of the limits.
    pub(super) fn quota_of_calls_in_flight(&self, destination: DestinationId) -> u64 {
        let quota = self.quota_of(destination);
        let in_flight = quota.and_then(|quota| quota.in_flight);
        let allowed = in_flight.and_then(|quota| quota.share.at(self.now));
        allowed.unwrap_or(u64::MAX)
    }

    /// How long a call to the destination may last, where the limits say so.
    pub(super) fn max_call_duration(&self, destination: DestinationId) -> Option<Micros> {
        let in_flight = self.quota_of(destination)?.in_flight?;
        Some(in_flight.max_duration)
    }

    /// Counts a call to the destination that starts now.
    pub(super) fn spend_quota(&mut self, destination: DestinationId) {
        if let Some(bucket) = self.quota_buckets.get_mut(&destination) {
            bucket.tokens -= QuotaBucket::TOKENS_PER_CALL;
        }
    }
}

fn rate_share(quotas: Option<&Quotas>, destination: DestinationId) -> Option<QuotaShare> {
    quotas?.of(destination).rate
}
