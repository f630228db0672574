//! Applies the outcome of an attempt to its message, its endpoint and its route.

use super::Sender;
use super::key_ordering::may_still_run;
use super::rate_limit::RateDecrease;
use super::state::{Attempt, RouteId};
use crate::interface::{Action, EndpointId, MessageId, Micros, Outcome};

/// End of an attempt, as the host reports it.
pub(super) struct AttemptResult<'a> {
    pub message: MessageId,
    /// Position of the attempt among the attempts of the message.
    pub attempt: usize,
    pub outcome: Outcome,
    /// Time in microseconds from the send of the attempt to its end.
    pub latency: Micros,
    /// Load report that came with the answer; empty if there was none.
    pub report: &'a [f64],
}

/// Properties of an attempt that has just ended; used to end its call and to judge its endpoint and
/// route.
struct EndedAttempt {
    class: usize,
    call: u64,
    endpoint: EndpointId,
    sent: Micros,
}

/// Copy of the properties of a call that are needed after one of its attempts has ended. The call
/// itself is removed with its last attempt.
struct EndedCall {
    route: RouteId,
    /// True if no attempt of the call ended before this one. Only the first outcome of a call is
    /// used to judge its endpoint and its route; Retry-After delays and load reports of later ones
    /// still apply.
    is_first_outcome: bool,
}

/// First outcome of a call, from which its endpoint and its route are judged.
pub(super) struct Observation {
    pub route: RouteId,
    pub endpoint: EndpointId,
    pub class: usize,
    pub sent: Micros,
    pub outcome: Outcome,
    pub latency: Micros,
    /// Random number of tokens, from 0 to 1, to which a decrease of the rate limit may set the
    /// token bucket of the route; drawn once for each observation.
    pub random_tokens: f64,
}

impl Sender {
    pub(super) fn apply_attempt_ended(
        &mut self,
        result: &AttemptResult,
        complete: bool,
        actions: &mut Vec<Action>,
    ) {
        self.record_outcome(result, actions);
        if result.outcome == Outcome::Success || complete {
            self.close(result.message, actions);
        }
        self.forget_if_done(result.message);
    }

    fn record_outcome(&mut self, result: &AttemptResult, actions: &mut Vec<Action>) {
        let Some(attempt) = self.end_attempt(result) else {
            return;
        };
        let Some(call) = self.count_ended_attempt(&attempt, actions) else {
            return;
        };
        if let Outcome::Rejected {
            retry_after: Some(wait),
        } = result.outcome
        {
            self.apply_retry_after(call.route, wait, actions);
        }
        self.apply_load_report(call.route, result.report);
        if !call.is_first_outcome {
            return;
        }
        let observation = Observation {
            route: call.route,
            endpoint: attempt.endpoint,
            class: attempt.class,
            sent: attempt.sent,
            outcome: result.outcome,
            latency: result.latency,
            random_tokens: self.random_tokens(),
        };
        self.observe_endpoint(&observation);
        self.observe_route(&observation, actions);
    }

    /// Marks the attempt as ended and sets the backoffs of its message and key. Returns `None` if
    /// the attempt was not in flight.
    fn end_attempt(&mut self, result: &AttemptResult) -> Option<EndedAttempt> {
        let message = self.messages.get_mut(&result.message)?;
        let in_flight = |attempt: &&mut Attempt| attempt.in_flight;
        let attempt = message.attempts.get_mut(result.attempt).filter(in_flight)?;
        attempt.in_flight = false;
        attempt.may_have_run = !result.outcome.never_ran();
        let ended = EndedAttempt {
            class: message.class,
            call: attempt.call,
            endpoint: attempt.endpoint,
            sent: attempt.sent,
        };
        message.back_off(result.outcome, self.now);
        let key = message.key;
        if may_still_run(result.outcome) {
            self.back_off_key(key, self.key_backoff(ended.class));
        }
        self.reindex(result.message);
        Some(ended)
    }

    /// Counts one attempt of a call as ended, and removes the call when all its attempts have
    /// ended. Returns `None` if the call is not known.
    fn count_ended_attempt(
        &mut self,
        attempt: &EndedAttempt,
        actions: &mut Vec<Action>,
    ) -> Option<EndedCall> {
        let call = self.calls.get_mut(&attempt.call)?;
        let ended = EndedCall {
            route: call.route,
            is_first_outcome: call.pending == call.size,
        };
        let is_hedge = call.is_hedge;
        call.pending -= 1;
        if call.pending == 0 {
            self.calls.remove(&attempt.call);
            self.hedges_in_flight -= usize::from(is_hedge);
            let route = self.route_mut(ended.route);
            route.in_flight -= 1;
            route.reset_observations();
            self.close_idle_connection(ended.route, attempt.endpoint, actions);
        }
        Some(ended)
    }

    fn observe_endpoint(&mut self, observation: &Observation) {
        let route = self.route_mut(observation.route);
        let response_limit = route.response_limit();
        let route_succeeds = route.succeeded;
        self.record_connection(observation.endpoint, observation.outcome, route_succeeds);
        self.record_class_outcome(observation, response_limit);
    }

    fn observe_route(&mut self, observation: &Observation, actions: &mut Vec<Action>) {
        let now = self.now;
        let route = self.route_mut(observation.route);
        route.record_outcome_times(observation.outcome, now);
        match observation.outcome {
            Outcome::Success => self.observe_success(observation, actions),
            Outcome::Rejected { retry_after } => {
                self.observe_rejection(observation, retry_after, actions);
            }
            Outcome::Error | Outcome::TimedOut | Outcome::NoConnection | Outcome::Reset => {
                self.observe_failure(observation, actions);
            }
            Outcome::Cancelled | Outcome::NotSent { .. } => {}
        }
    }

    fn observe_success(&mut self, observation: &Observation, actions: &mut Vec<Action>) {
        let now = self.now;
        let call_slots = self.settings.call_slots;
        let overload_span = self.settings.safety.overload_span;
        let contention = self.contention();
        let route = self.route_mut(observation.route);
        route.record_latency(observation.latency);
        route.consecutive_rejections = 0;
        route.succeeded = true;
        route.increase_rate_limit(contention);
        route.decrease_failure_score();
        route.record_best_rate(now, overload_span, contention);
        route.increase_concurrency_limit(call_slots);
        self.advance_recovery(observation.route, actions);
    }

    fn observe_rejection(
        &mut self,
        observation: &Observation,
        retry_after: Option<Micros>,
        actions: &mut Vec<Action>,
    ) {
        let now = self.now;
        let overload_span = self.settings.safety.overload_span;
        let contention = self.contention();
        let senders = f64::from(self.fleet_size);
        let route = self.route_mut(observation.route);
        let is_closed = route.record_rejection(now);
        let success_rate = route.success_rate(now, overload_span);
        if route.decrease_concurrency_limit(observation.sent, now) {
            let decrease = RateDecrease {
                known_rate: route.known_rate(now, contention),
                success_rate: success_rate * (1.0 - contention),
                senders,
                // contention makes a decrease smaller and adds a pause. With a Retry-After delay the
                // decrease is a full one without that pause: this sender sends nothing on the route
                // until the delay ends, when the destination should have room again.
                contention: if retry_after.is_some() {
                    0.0
                } else {
                    contention
                },
                random_tokens: observation.random_tokens,
            };
            route.decrease_rate_limit(&decrease);
        }
        if is_closed {
            self.eject_closed(observation.route, actions);
        }
    }

    fn observe_failure(&mut self, observation: &Observation, actions: &mut Vec<Action>) {
        let now = self.now;
        let safety = &self.settings.safety;
        let overload_span = safety.overload_span;
        let warm_up_time = safety.warm_up_time;
        let contention = self.contention();
        let senders = f64::from(self.fleet_size);
        let route = self.route_mut(observation.route);
        route.increase_failure_score();
        let success_rate = route.success_rate(now, overload_span);
        let nothing_succeeds = !route.succeeded;
        let shows_congestion = nothing_succeeds || observation.outcome != Outcome::Error;
        let is_new = shows_congestion && route.decrease_concurrency_limit(observation.sent, now);
        // a route with a call or more per overload span is soon ejected by its failure score; one
        // that is called less often gets a lower rate limit first
        let is_seldom_called = route.usual_calls_in(overload_span, now, warm_up_time) < 1.0;
        if is_new && nothing_succeeds && is_seldom_called {
            let decrease = RateDecrease {
                known_rate: route.best_rate,
                success_rate: success_rate * (1.0 - contention),
                senders,
                contention,
                random_tokens: observation.random_tokens,
            };
            route.decrease_rate_limit(&decrease);
        }
        route.succeeded = false;
        self.eject_if_failing(observation.route, actions);
    }
}
