//! Concurrency limit of a route, the number of calls that may be in flight: additive increase,
//! multiplicative decrease.

use super::count_for_share;
use super::state::Route;
use crate::interface::Micros;

/// Initial concurrency limit of a route, as a share of the call slots. Higher serves one
/// destination faster; lower leaves more slots to the others.
const INITIAL_SHARE: f64 = 0.25;
/// Share of the call slots that one destination may hold at most. Higher serves one destination
/// faster; lower leaves more slots to the others.
const MAX_SHARE: f64 = 0.75;
/// Share of the call slots that all ejected and lagging routes together may hold. Higher serves
/// those routes faster; lower leaves more slots to the others.
const UNHEALTHY_SHARE: f64 = 0.5;
/// Factor on the concurrency limit when a call shows congestion. Lower drains queues sooner and
/// costs more throughput.
const DECREASE_FACTOR: f64 = 0.7;

/// Returns the concurrency limit of a new route.
pub(super) fn initial(call_slots: usize) -> f64 {
    count_for_share(call_slots, INITIAL_SHARE) as f64
}

/// Returns the maximum number of calls in flight to one destination.
pub(super) fn max_calls(call_slots: usize) -> usize {
    count_for_share(call_slots, MAX_SHARE)
}

/// Returns the maximum number of calls in flight on all ejected and lagging routes together.
pub(super) fn max_unhealthy_calls(call_slots: usize) -> usize {
    count_for_share(call_slots, UNHEALTHY_SHARE)
}

impl Route {
    /// Raises the concurrency limit after a successful call: by one for about as many successes as
    /// the limit allows calls.
    pub(super) fn increase_concurrency_limit(&mut self, call_slots: usize) {
        let increased = self.concurrency_limit + 1.0 / self.concurrency_limit;
        self.concurrency_limit = increased.min(MAX_SHARE * call_slots as f64);
    }

    /// Lowers the concurrency limit after a call that was sent at `sent` has shown congestion, and
    /// returns true. If the call was sent before or at the time of the last decrease, leaves the
    /// limit unchanged and returns false: that decrease counts for all calls that were in flight
    /// then.
    pub(super) fn decrease_concurrency_limit(&mut self, sent: Micros, now: Micros) -> bool {
        let is_new = sent > self.concurrency_decreased_at;
        if is_new {
            self.concurrency_decreased_at = now;
            self.concurrency_limit = (self.concurrency_limit * DECREASE_FACTOR).max(1.0);
        }
        is_new
    }

    pub(super) fn is_below_concurrency_limit(&self) -> bool {
        (self.in_flight as f64) < self.concurrency_limit.floor().max(1.0)
    }
}
