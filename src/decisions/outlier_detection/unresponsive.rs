//! Detects routes that leave calls unanswered.

use super::Sender;
use crate::decisions::hedging::INITIAL_HEDGE_DELAY;
use crate::decisions::state::{Call, Health, Route, RouteId};
use crate::interface::{Action, EjectionReason, MILLISECOND, Micros, SECOND};
use std::collections::BTreeSet;

/// Number of hedge delays after which a call counts as unanswered. Several unanswered calls, or a
/// single one after twice that time, eject their route.
const RESPONSE_LIMIT_HEDGE_DELAYS: i64 = 2;
/// Minimum time after which a call counts as unanswered, however short the hedge delay is.
const MIN_RESPONSE_LIMIT: Micros = SECOND;
/// Number of usual latencies for which a call may be in flight before its route counts as lagging.
/// All lagging and ejected routes together may hold only a part of the call slots. Lower isolates
/// slow routes sooner; higher leaves room for long but healthy calls.
const LAGGING_LATENCIES: i64 = 4;
/// Number of hedge delays after which an attempt counts as lost if no call slot is free, its
/// message is idempotent or has an idempotency key, and its route has answered since the attempt
/// was sent. No event occurs when that time is reached, so a turn is scheduled for it.
pub(super) const LOST_HEDGE_DELAYS: i64 = 5;
/// Ages of a call, as multiples of the response limit, at which a turn is scheduled to check it:
/// its route may have to be ejected, or its attempts cancelled.
const OBSERVED_RESPONSE_LIMITS: [i64; 3] = [1, 2, 4];

impl Sender {
    /// Ejects healthy routes that leave calls unanswered: several calls for longer than the
    /// response limit, or a single call for twice that long. Calls that were opened for a hedge,
    /// and calls since whose start the route has answered anything, do not count as unanswered.
    /// Protects call slots against hung, vanished or very slow destinations that would fill the
    /// slots of healthy ones. A single call gets twice the time because the only traffic of a
    /// healthy route may be one long call.
    pub(in crate::decisions) fn detect_unresponsive_routes(&mut self, actions: &mut Vec<Action>) {
        self.observe_calls();
        let called: BTreeSet<RouteId> = self.calls.values().map(|call| call.route).collect();
        let is_unresponsive =
            |id: &RouteId| self.routes.get(id).is_some_and(Route::is_unresponsive);
        let unresponsive: Vec<_> = called.into_iter().filter(is_unresponsive).collect();
        for id in unresponsive {
            self.eject(id, EjectionReason::Unresponsive, actions);
        }
    }

    fn observe_calls(&mut self) {
        for call in self.calls.values() {
            if let Some(route) = self.routes.get_mut(&call.route) {
                route.reset_observations();
            }
        }
        let is_full = self.are_slots_full();
        let mut next_observation = Micros::MAX;
        for call in self.calls.values() {
            let Some(route) = self.routes.get_mut(&call.route) else {
                continue;
            };
            for at in route.observation_times(call, is_full) {
                if at > self.now {
                    next_observation = next_observation.min(at);
                }
            }
            route.observe_call(call, self.now);
        }
        self.wake_by(next_observation);
    }

    /// Returns true if all call slots are in use.
    pub(in crate::decisions) fn are_slots_full(&self) -> bool {
        self.calls.len() >= self.settings.call_slots
    }
}

impl Route {
    /// Returns the response limit: how long an answer may take before its call counts as
    /// unanswered, in microseconds.
    pub(in crate::decisions) fn response_limit(&self) -> Micros {
        (self.hedge_delay() * RESPONSE_LIMIT_HEDGE_DELAYS).max(MIN_RESPONSE_LIMIT)
    }

    /// Returns the times at which a turn has to check the call: its route may have to be ejected,
    /// or its attempts cancelled.
    fn observation_times(&self, call: &Call, is_full: bool) -> impl Iterator<Item = Micros> {
        let response_limit = self.response_limit();
        let lost_at = call.sent + LOST_HEDGE_DELAYS * self.hedge_delay();
        let sent = call.sent;
        let limit_times = OBSERVED_RESPONSE_LIMITS.map(|multiple| sent + multiple * response_limit);
        let times = limit_times.into_iter().chain(is_full.then_some(lost_at));
        times.map(|at| at + MILLISECOND)
    }

    fn observe_call(&mut self, call: &Call, now: Micros) {
        let age = now - call.sent;
        let usual_latency = self.usual_latency.unwrap_or(INITIAL_HEDGE_DELAY);
        self.is_lagging |= age > MIN_RESPONSE_LIMIT.max(usual_latency * LAGGING_LATENCIES);
        if self.last_answer_at < call.sent {
            let is_unanswered = age > self.response_limit() && !call.is_hedge;
            self.unanswered += usize::from(is_unanswered);
            self.oldest_unanswered = self.oldest_unanswered.max(age);
        }
    }

    fn is_unresponsive(&self) -> bool {
        let is_lone_call_late = self.oldest_unanswered > 2 * self.response_limit();
        let is_late = self.unanswered > 1 || self.unanswered > 0 && is_lone_call_late;
        self.health == Health::Healthy && is_late
    }
}
