//! How many calls may be in flight to a destination: additive increase, multiplicative decrease.

use super::share_of;
use super::state::Route;
use crate::interface::Micros;

/// Limits per destination, as shares of the call slots: at the start, at most, and for all ejected
/// and lagging routes together. Higher serves one destination faster, lower leaves more slots to
/// the others.
const INITIAL_SHARE: f64 = 0.25;
const MAX_SHARE: f64 = 0.75;
const UNHEALTHY_SHARE: f64 = 0.5;
/// What congestion leaves of the limit. Lower drains queues sooner and costs more throughput.
const DECREASE_FACTOR: f64 = 0.7;

/// The limit of a route that is new.
pub(super) fn initial(call_slots: usize) -> f64 {
    share_of(call_slots, INITIAL_SHARE) as f64
}

/// The calls that one destination may hold at most.
pub(super) fn max_calls(call_slots: usize) -> usize {
    share_of(call_slots, MAX_SHARE)
}

/// The calls that ejected and lagging routes may hold together.
pub(super) fn max_unhealthy_calls(call_slots: usize) -> usize {
    share_of(call_slots, UNHEALTHY_SHARE)
}

impl Route {
    /// One more call of the limit has succeeded.
    pub(super) fn increase_concurrency_limit(&mut self, call_slots: usize) {
        let increased = self.concurrency_limit + 1.0 / self.concurrency_limit;
        self.concurrency_limit = increased.min(MAX_SHARE * call_slots as f64);
    }

    /// Congestion showed at a call sent at `sent`. The limit decreases once for all calls that were
    /// in flight then; returns whether this call was the first of them to show it.
    pub(super) fn decrease_concurrency_limit(&mut self, sent: Micros, now: Micros) -> bool {
        let is_new = sent > self.decreased_at;
        if is_new {
            self.decreased_at = now;
            self.concurrency_limit = (self.concurrency_limit * DECREASE_FACTOR).max(1.0);
        }
        is_new
    }

    pub(super) fn is_below_concurrency_limit(&self) -> bool {
        (self.in_flight as f64) < self.concurrency_limit.floor().max(1.0)
    }
}
