//! Fleet-wide limits: this sender keeps within its share of them.

use super::Sender;
use super::state::{Health, QuotaBucket, RouteId};
use crate::interface::{DestinationId, MILLISECOND, Micros, Quota, QuotaShare, Quotas};

/// Size of a quota bucket, as the time in which its rate fills it, but at least one call. The time
/// is the same for all senders that share a limit. Longer serves bursts faster; shorter keeps the
/// sum of all senders closer to the limit.
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

    /// Returns the quota of a destination; `None` if no quotas apply.
    pub(super) fn quota_of(&self, destination: DestinationId) -> Option<Quota> {
        let quotas = self.quotas.as_ref()?;
        Some(quotas.of(destination))
    }

    /// Returns true if this sender's share of the limits allows a call to the destination now.
    /// Protects the limits against the sum of all senders. Drawback: a sender with a small fallback
    /// quota that can't request an allocation could starve.
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
        if bucket.has_tokens_for_call() {
            return true;
        }
        if rate > 0 {
            let refilled_at = now.saturating_add(bucket.time_until_call(rate));
            self.wake_by(refilled_at);
        }
        false
    }

    /// Returns the number of calls that this sender may have in flight to the destination by its
    /// share of the limits.
    pub(super) fn quota_of_calls_in_flight(&self, destination: DestinationId) -> u64 {
        let quota = self.quota_of(destination);
        let in_flight = quota.and_then(|quota| quota.in_flight);
        let allowed = in_flight.and_then(|quota| quota.share.at(self.now));
        allowed.unwrap_or(u64::MAX)
    }

    /// Returns how long a call to the destination may last, in microseconds; `None` if its calls in
    /// flight have no quota.
    pub(super) fn max_call_duration(&self, destination: DestinationId) -> Option<Micros> {
        let in_flight = self.quota_of(destination)?.in_flight?;
        Some(in_flight.max_duration)
    }

    /// Takes the tokens of a call that starts now from the quota bucket of its destination.
    pub(super) fn spend_quota(&mut self, destination: DestinationId) {
        if let Some(bucket) = self.quota_buckets.get_mut(&destination) {
            bucket.tokens -= QuotaBucket::TOKENS_PER_CALL;
        }
    }
}

fn rate_share(quotas: Option<&Quotas>, destination: DestinationId) -> Option<QuotaShare> {
    quotas?.of(destination).rate
}
