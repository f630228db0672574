//! Outlier detection: routes that fail, reject everything or do not answer are ejected, and get
//! only single calls.

mod lost_attempts;
mod unresponsive;

use super::Sender;
use super::concurrency_limit::max_unhealthy_calls;
use super::outcomes::Observation;
use super::state::{Health, Route, RouteId, seconds};
use crate::interface::{
    Action, DestinationId, EjectionReason, Micros, Outcome, RouteEvent, SECOND,
};

/// Weight of one more outcome in the failure score. Higher ejects after fewer failures.
const FAILURE_WEIGHT: f64 = 0.25;
/// The score above which a route is ejected. Higher ejects later, lower ejects for chance failures.
const EJECTION_SCORE: f64 = 0.55;
/// The score below which a route is trusted with messages that can't be repeated.
pub(super) const TRUSTED_SCORE: f64 = 0.25;
/// Consecutive rejections, over at least this span, that mean closed rather than throttled.
const CLOSED_REJECTIONS: u32 = 4;
const CLOSED_SPAN: Micros = SECOND;
/// The longest time that failures of one class count against an endpoint, as a power of two of a
/// quarter of the overload span. Longer spares more messages, shorter returns sooner to an endpoint
/// that is well again.
const MAX_AVOIDANCE_DOUBLINGS: u32 = 3;

impl Sender {
    /// Ejects a route. Its rate follows from the recovery budget until it recovers.
    pub(super) fn eject(&mut self, id: RouteId, reason: EjectionReason, actions: &mut Vec<Action>) {
        let now = self.now;
        let max_calls = max_unhealthy_calls(self.settings.call_slots) as f64;
        let random_phase = self.random_phase();
        let route = self.route_mut(id);
        if !route.is_ejected() {
            route.bucket.tokens = random_phase;
            // from here on the recovery budget sets the rate, not what failures made of the limit
            if reason != EjectionReason::Closed {
                route.rate_limit = route.rate_limit.max(route.best_rate);
            }
            route.health = Health::Ejected {
                unresponsive: is_for_missing_answers(reason),
                since: route.ejected_since(now),
            };
            actions.push(Action::Log(RouteEvent::Ejected {
                destination: id.destination,
                reason,
            }));
        }
        route.concurrency_limit = route.concurrency_limit.min(max_calls);
    }

    pub(super) fn eject_closed(&mut self, id: RouteId, actions: &mut Vec<Action>) {
        self.eject(id, EjectionReason::Closed, actions);
    }

    pub(super) fn eject_if_failing(&mut self, id: RouteId, actions: &mut Vec<Action>) {
        if self.route_mut(id).failure_score > EJECTION_SCORE {
            self.eject(id, EjectionReason::Failures, actions);
        }
    }

    /// Heeds what enough other senders agree on. Guards call slots against a destination that is
    /// unavailable to others; could hold back one that is healthy, so own successes go before it.
    /// One that is back is tried at once.
    pub(super) fn apply_fleet_health(
        &mut self,
        destination: DestinationId,
        unavailable: bool,
        actions: &mut Vec<Action>,
    ) {
        let now = self.now;
        let span = self.settings.safety.overload_span;
        let routes = self.routes.range(RouteId::all_of(destination));
        for id in routes.map(|(id, _)| *id).collect::<Vec<_>>() {
            let route = self.route_mut(id);
            match route.health {
                Health::Healthy if unavailable && now - route.alive_at > span => {
                    self.eject(id, EjectionReason::FleetHealth, actions);
                }
                Health::Ejected { .. } if !unavailable => {
                    route.bucket.tokens = route.bucket.tokens.max(1.0);
                }
                _ => {}
            }
        }
    }

    /// One class may fail or go unanswered at an endpoint where others fare well; a late attempt
    /// that was cancelled counts.
    pub(super) fn record_class_outcome(
        &mut self,
        observation: &Observation,
        response_limit: Micros,
    ) {
        let now = self.now;
        let base_avoidance = self.settings.safety.overload_span / 4;
        let Some(endpoint) = self.endpoints.get_mut(&observation.endpoint) else {
            return;
        };
        let record = endpoint.classes.entry(observation.class).or_default();
        let outcome = observation.outcome;
        let is_unanswered = outcome == Outcome::Cancelled && observation.latency > response_limit;
        if outcome == Outcome::Success {
            record.consecutive_failures = 0;
            record.alive_at = now;
        } else if outcome.failed() || is_unanswered {
            record.consecutive_failures += 1;
            let doublings = record.consecutive_failures.min(MAX_AVOIDANCE_DOUBLINGS);
            record.avoided_until = now + (base_avoidance << doublings);
        }
    }
}

/// Such a route may be merely slow: it is healthy again with its first answer.
fn is_for_missing_answers(reason: EjectionReason) -> bool {
    matches!(
        reason,
        EjectionReason::Unresponsive | EjectionReason::FleetHealth
    )
}

impl Route {
    pub(super) fn record_signs_of_life(&mut self, outcome: Outcome, now: Micros) {
        let is_rejected = matches!(outcome, Outcome::Rejected { .. });
        if is_rejected || matches!(outcome, Outcome::Success | Outcome::Error) {
            self.alive_at = now;
        }
        if is_rejected || outcome.failed() {
            self.failed_at = now;
        }
    }

    pub(super) fn increase_failure_score(&mut self) {
        self.failure_score += FAILURE_WEIGHT * (1.0 - self.failure_score);
    }

    pub(super) fn decrease_failure_score(&mut self) {
        self.failure_score -= FAILURE_WEIGHT * self.failure_score;
    }

    /// A route that recovers is not ejected again by its next failure alone.
    pub(super) fn limit_failure_score(&mut self) {
        let limit = EJECTION_SCORE - FAILURE_WEIGHT / 2.0;
        self.failure_score = self.failure_score.min(limit);
    }

    pub(super) fn is_trusted(&self) -> bool {
        self.failure_score < TRUSTED_SCORE
    }

    /// Counts a rejection; returns whether so many in a row mean that the destination is closed.
    pub(super) fn record_rejection(&mut self, now: Micros) -> bool {
        if self.consecutive_rejections == 0 {
            self.rejected_since = now;
        }
        self.consecutive_rejections += 1;
        self.consecutive_rejections >= CLOSED_REJECTIONS && now - self.rejected_since >= CLOSED_SPAN
    }

    /// Rejections mean closed after a span, however seldom this sender calls; enough of them come
    /// later.
    fn ejected_since(&self, now: Micros) -> Micros {
        if self.consecutive_rejections > 0 {
            now.min(self.rejected_since + CLOSED_SPAN)
        } else {
            now
        }
    }

    /// Calls that this sender makes in a span, as far as its rate since `min_span` tells.
    pub(super) fn calls_in(&self, span: Micros, now: Micros, min_span: Micros) -> f64 {
        self.usual_rate(now, min_span) * seconds(span)
    }
}
