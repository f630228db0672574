//! Outlier detection: routes that fail, reject everything or do not answer are ejected. An ejected
//! route gets only a few trial calls.

mod lost_attempts;
mod unresponsive;

use super::Sender;
use super::concurrency_limit::max_unhealthy_calls;
use super::outcomes::Observation;
use super::state::{Health, Route, RouteId, seconds};
use crate::interface::{
    Action, DestinationId, EjectionReason, Micros, Outcome, RouteEvent, SECOND,
};

/// Weight of the latest outcome in the failure score of a route. Higher ejects after fewer
/// failures.
const FAILURE_WEIGHT: f64 = 0.25;
/// Failure score above which a route is ejected. Higher ejects later; lower ejects because of
/// random failures.
const EJECTION_SCORE: f64 = 0.55;
/// Failure score below which a route is trusted. A recovering route above it gets no non-idempotent
/// messages, and an ejected route below it may become healthy without a slow start.
pub(super) const TRUSTED_SCORE: f64 = 0.25;
/// Number of consecutive rejections, over at least `CLOSED_SPAN`, after which a destination counts
/// as closed: out of service rather than throttled.
const CLOSED_REJECTIONS: u32 = 4;
/// Minimum time from the first to the last of the consecutive rejections after which a destination
/// counts as closed: out of service rather than throttled. Their number must have reached
/// `CLOSED_REJECTIONS` too.
const CLOSED_SPAN: Micros = SECOND;
/// Maximum number of doublings of the time for which messages of one class avoid an endpoint after
/// failures there. That time is a quarter of the overload span, doubled for each consecutive
/// failure. Higher saves more messages from failing there; lower returns sooner to an endpoint that
/// is healthy again.
const MAX_AVOIDANCE_DOUBLINGS: u32 = 3;

impl Sender {
    /// Ejects a route, unless it is ejected already, and lowers its concurrency limit to at most
    /// the number of calls that all unhealthy routes together may hold. Until the route is healthy
    /// again, `Route::allowed_rate` gives its call rate: a few trial calls, then a slow start.
    pub(super) fn eject(&mut self, id: RouteId, reason: EjectionReason, actions: &mut Vec<Action>) {
        let now = self.now;
        let max_calls = max_unhealthy_calls(self.settings.call_slots) as f64;
        let random_tokens = self.random_tokens();
        let route = self.route_mut(id);
        if !route.is_ejected() {
            route.bucket.tokens = random_tokens;
            // the rate limit also bounds the rate of the recovery. Failures may have lowered it far
            // below what the destination serves, so it is raised to the best rate. If the
            // destination counts as closed, because of rejections or a long Retry-After delay, the
            // rate limit stays.
            if reason != EjectionReason::Closed {
                route.rate_limit = route.rate_limit.max(route.best_rate);
            }
            route.health = Health::Ejected {
                may_be_slow: may_be_merely_slow(reason),
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

    /// Applies the health verdict that enough other senders agree on. Protects call slots against a
    /// destination that is unavailable to others. Since it could hold back a destination that is
    /// healthy for this sender, recent answers to own calls take precedence. If the destination is
    /// available again, its ejected routes get a token, so that a trial call need not wait for one.
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
                Health::Healthy if unavailable && now - route.last_answer_at > span => {
                    self.eject(id, EjectionReason::FleetHealth, actions);
                }
                Health::Ejected { .. } if !unavailable => {
                    route.bucket.tokens = route.bucket.tokens.max(1.0);
                }
                _ => {}
            }
        }
    }

    /// Records the outcome of one message class at an endpoint, since one class may fail or go
    /// unanswered where others succeed. A cancelled attempt counts as unanswered if it took longer
    /// than the response limit.
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
            record.last_success_at = now;
        } else if outcome.failed() || is_unanswered {
            record.consecutive_failures += 1;
            let doublings = record.consecutive_failures.min(MAX_AVOIDANCE_DOUBLINGS);
            record.avoided_until = now + (base_avoidance << doublings);
        }
    }
}

/// Returns true if a route that is ejected for this reason may be merely slow. If few of its calls
/// failed, its first success then makes it healthy without a slow start.
fn may_be_merely_slow(reason: EjectionReason) -> bool {
    matches!(
        reason,
        EjectionReason::Unresponsive | EjectionReason::FleetHealth
    )
}

impl Route {
    pub(super) fn record_outcome_times(&mut self, outcome: Outcome, now: Micros) {
        let is_rejected = matches!(outcome, Outcome::Rejected { .. });
        if is_rejected || matches!(outcome, Outcome::Success | Outcome::Error) {
            self.last_answer_at = now;
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

    /// Reduces the failure score of a route that begins to recover, so that failures from before
    /// the recovery do not eject it again by themselves.
    pub(super) fn limit_failure_score(&mut self) {
        let limit = EJECTION_SCORE - FAILURE_WEIGHT / 2.0;
        self.failure_score = self.failure_score.min(limit);
    }

    pub(super) fn is_trusted(&self) -> bool {
        self.failure_score < TRUSTED_SCORE
    }

    /// Counts a rejection; returns true if there are so many consecutive ones that the destination
    /// counts as closed.
    pub(super) fn record_rejection(&mut self, now: Micros) -> bool {
        if self.consecutive_rejections == 0 {
            self.rejected_since = now;
        }
        self.consecutive_rejections += 1;
        self.consecutive_rejections >= CLOSED_REJECTIONS && now - self.rejected_since >= CLOSED_SPAN
    }

    /// Returns the time since which the route counts as ejected. After rejections this is at most
    /// `CLOSED_SPAN` after the first of them: a sender that calls seldom collects enough rejections
    /// only later.
    fn ejected_since(&self, now: Micros) -> Micros {
        if self.consecutive_rejections > 0 {
            now.min(self.rejected_since + CLOSED_SPAN)
        } else {
            now
        }
    }

    /// Returns how many calls this sender usually makes on the route in `span`, by its rate of
    /// calls since the route was first seen, averaged over at least `min_span`.
    pub(super) fn usual_calls_in(&self, span: Micros, now: Micros, min_span: Micros) -> f64 {
        self.usual_rate(now, min_span) * seconds(span)
    }
}
