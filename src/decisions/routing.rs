//! Chooses the endpoint for a message, and decides whether a call to it is advisable now.

use super::Sender;
use super::concurrency_limit::max_unhealthy_calls;
use super::outlier_detection::TRUSTED_SCORE;
use super::state::{Health, Route, RouteId};
use crate::interface::{DestinationId, Effect, EndpointId, MILLISECOND, MessageId};
use rand_pcg::rand_core::RngCore;
use std::collections::BTreeMap;

/// Tokens that the bucket of an ejected route must hold for an ordinary call.
const TOKENS_OF_CALL: f64 = 1.0;
/// Tokens that must be available for a call that is better avoided: a hedge on a healthy route, or
/// a non-idempotent message on an ejected route that does not reject calls.
const TOKENS_OF_AVOIDABLE_CALL: f64 = 2.0;

/// Endpoint that a message is sent to, and the call that carries it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SendTarget {
    pub endpoint: EndpointId,
    /// Call opened in this turn that the message joins; `None` if the message opens a new call.
    pub joined_call: Option<u64>,
}

/// How well an endpoint suits a message. Endpoints are compared by the fields in their order, and
/// the smallest value is the best.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Suitability {
    health: HealthRank,
    /// True while messages of the same class avoid the endpoint because of a failure there.
    is_avoided: bool,
    /// Number of earlier attempts of the message at the endpoint.
    attempts: usize,
    /// Number of calls in flight to the endpoint, plus one if its route is shared with other
    /// endpoints; 0 if the message joins an open call.
    load: usize,
    is_in_other_zone: bool,
    /// Random number that spreads messages over otherwise equal endpoints.
    random: u32,
    target: SendTarget,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum HealthRank {
    Healthy,
    Recovering,
    Ejected,
}

impl From<Health> for HealthRank {
    fn from(health: Health) -> Self {
        match health {
            Health::Healthy => HealthRank::Healthy,
            Health::Recovering { .. } => HealthRank::Recovering,
            Health::Ejected { .. } => HealthRank::Ejected,
        }
    }
}

/// A message to be sent, with the properties that are the same for all endpoints.
struct Proposal {
    message: MessageId,
    is_hedge: bool,
    is_non_idempotent: bool,
    quota_allows_call: bool,
}

/// Properties of a proposed call that matter to its route.
#[derive(Clone, Copy)]
struct ProposedCall {
    is_hedge: bool,
    is_non_idempotent: bool,
    /// True if the message joins a call that is already open.
    joins_call: bool,
}

impl Sender {
    /// Returns the most suitable endpoint among those that the message may be sent to now.
    pub(super) fn choose_endpoint(
        &mut self,
        id: MessageId,
        is_hedge: bool,
        open_calls: &BTreeMap<EndpointId, u64>,
    ) -> Option<SendTarget> {
        let message = &self.messages[&id];
        let destination: DestinationId = message.destination;
        let is_non_idempotent = self.effect(message.class) == Effect::NonIdempotent;
        let proposal = Proposal {
            message: id,
            is_hedge,
            is_non_idempotent,
            quota_allows_call: self.quota_allows_call(destination),
        };
        let endpoints = self.endpoints_by_destination.get(&destination)?;
        let endpoints: Vec<EndpointId> = endpoints.iter().copied().collect();
        let mut options = Vec::new();
        for endpoint in endpoints {
            let joined_call = self.joinable_call(endpoint, open_calls);
            let option = SendTarget {
                endpoint,
                joined_call,
            };
            if self.is_eligible_target(&proposal, option) {
                options.push(self.suitability(id, option));
            }
        }
        options.into_iter().min().map(|best| best.target)
    }

    /// Returns the call to the endpoint that was opened in this turn and has room for one more
    /// message.
    fn joinable_call(
        &self,
        endpoint: EndpointId,
        open_calls: &BTreeMap<EndpointId, u64>,
    ) -> Option<u64> {
        let kind = self.settings.kinds.get(self.endpoints[&endpoint].kind);
        let bundle_max = kind.map_or(1, |kind| kind.bundle_max);
        let call = open_calls.get(&endpoint).copied();
        call.filter(|call| self.calls[call].size < bundle_max)
    }

    /// Returns true if the rules and limits allow the message to be sent to the endpoint now, and
    /// the state of the endpoint and its route makes that advisable. Otherwise, if a backoff, a
    /// Retry-After delay or a missing token holds the message back, a turn is scheduled for the end
    /// of that wait.
    fn is_eligible_target(&mut self, proposal: &Proposal, option: SendTarget) -> bool {
        let SendTarget {
            endpoint,
            joined_call,
        } = option;
        let joins_call = joined_call.is_some();
        let route = self.route_of(endpoint);
        let attempts = self.messages[&proposal.message].attempts_at(endpoint);
        let is_repeated_hedge = proposal.is_hedge && attempts > 0;
        if is_repeated_hedge || !self.may_send(proposal.message, endpoint, joins_call) {
            self.wake_when_allowed(proposal.message, route);
            return false;
        }
        let call = ProposedCall {
            is_hedge: proposal.is_hedge,
            is_non_idempotent: proposal.is_non_idempotent,
            joins_call,
        };
        let has_time = self.has_time_for(proposal, route);
        if !has_time || !self.is_advisable(route, call) {
            return false;
        }
        joins_call || proposal.quota_allows_call && self.is_warm_enough(endpoint, route)
    }

    /// Schedules a turn for the end of the backoff of the message's key, and one for the end of the
    /// route's Retry-After delay.
    fn wake_when_allowed(&mut self, id: MessageId, route: RouteId) {
        let key = self.messages[&id].key;
        if let Some(backoff_end) = self.key_backoff_end(key) {
            self.wake_by_unless_past(backoff_end);
        }
        let retry_after_until = self.route_mut(route).retry_after_until;
        self.wake_by_unless_past(retry_after_until);
    }

    /// Returns false if the process would probably end before the answer arrives, or if a hedge
    /// would be answered after the deadline.
    fn has_time_for(&mut self, proposal: &Proposal, route: RouteId) -> bool {
        let route = self.route_mut(route);
        let usual_latency = route.usual_latency.unwrap_or(0);
        let slow_latency = route.hedge_delay();
        // the destination may have processed a call that is cut off by the end of this process; the
        // successor can make a complete call instead
        let is_cut_off = self
            .shutdown_at
            .is_some_and(|at| self.now + slow_latency > at);
        let deadline = self.messages[&proposal.message].deadline;
        let is_late_hedge = proposal.is_hedge && self.now + usual_latency > deadline;
        !is_cut_off && !is_late_hedge
    }

    /// Returns true if the limits, the tokens and the health of the route make the call advisable.
    /// If they do not and the bucket lacks a token, may schedule a turn for the time at which it
    /// holds one.
    fn is_advisable(&mut self, id: RouteId, call: ProposedCall) -> bool {
        let now = self.now;
        let senders = f64::from(self.fleet_size);
        let max_unhealthy = max_unhealthy_calls(self.settings.call_slots);
        let is_unhealthy_limit_reached = self.unhealthy_in_flight >= max_unhealthy;
        let safety = self.settings.safety.clone();
        let route = self.route_mut(id);
        let rate = route.allowed_rate(&safety, senders, now);
        route.refill_tokens(now, rate);
        if route.is_lagging && is_unhealthy_limit_reached && !call.joins_call
            || !route.health_allows(call)
        {
            return false;
        }
        let is_advised = route.has_room_for(call, is_unhealthy_limit_reached);
        if !is_advised && !route.bucket.has_token() {
            let wait = route.bucket.time_until_token(rate);
            self.wake_by(now + wait + MILLISECOND);
        }
        is_advised
    }

    fn suitability(&mut self, id: MessageId, option: SendTarget) -> Suitability {
        let message = &self.messages[&id];
        let route = self.route_of(option.endpoint);
        let endpoint = &self.endpoints[&option.endpoint];
        let record = endpoint.classes.get(&message.class);
        let is_avoided = record.is_some_and(|record| {
            record.avoided_until > self.now && record.consecutive_failures > 0
        });
        Suitability {
            health: self.routes[&route].health.into(),
            is_avoided,
            attempts: message.attempts_at(option.endpoint),
            load: self.load_of(route, option),
            is_in_other_zone: endpoint.zone != self.settings.zone,
            random: self.random.next_u32(),
            target: option,
        }
    }

    /// Returns the load that is compared between endpoints: the calls in flight to the endpoint.
    /// Joining an open call adds no load. An endpoint whose route is shared with others counts one
    /// more than an endpoint with a route, and so a limit, of its own.
    fn load_of(&self, route: RouteId, option: SendTarget) -> usize {
        if option.joined_call.is_some() {
            return 0;
        }
        let calls = self.calls.values();
        let calls_to_endpoint = calls.filter(|call| call.endpoint == option.endpoint);
        calls_to_endpoint.count() + usize::from(route.endpoint.is_none())
    }
}

impl Route {
    /// Returns false if the call should not be made because of the health of the route, or if it is
    /// a hedge on a healthy route that would leave less than one token to other calls.
    fn health_allows(&self, call: ProposedCall) -> bool {
        match self.health {
            Health::Healthy => {
                // a non-idempotent message that is lost on a failing route can't be sent again
                let may_be_failing = self.oldest_unanswered > self.hedge_delay();
                let is_risky = call.is_non_idempotent && may_be_failing;
                let lacks_tokens_for_hedge =
                    call.is_hedge && self.bucket.tokens < TOKENS_OF_AVOIDABLE_CALL;
                !is_risky && !lacks_tokens_for_hedge
            }
            Health::Recovering { .. } => {
                let is_risky = call.is_non_idempotent && self.failure_score > TRUSTED_SCORE;
                !call.is_hedge && !is_risky
            }
            Health::Ejected { .. } => true,
        }
    }

    /// Returns true if the limits of the route leave room for the call. On an ejected route, these
    /// are the token bucket and the limit on calls to unhealthy routes, and there is no room for
    /// hedges. On other routes, they are the concurrency limit and the token bucket; a message that
    /// joins an open call needs neither.
    fn has_room_for(&self, call: ProposedCall, is_unhealthy_limit_reached: bool) -> bool {
        if self.is_ejected() {
            // a non-idempotent message is sent on an ejected route only if the route rejects calls,
            // because a rejected message can be sent again, or if no other message uses the tokens
            let is_risky = call.is_non_idempotent && self.consecutive_rejections == 0;
            let needed = if is_risky {
                TOKENS_OF_AVOIDABLE_CALL
            } else {
                TOKENS_OF_CALL
            };
            return !call.is_hedge && self.bucket.tokens >= needed && !is_unhealthy_limit_reached;
        }
        call.joins_call || self.is_below_concurrency_limit() && self.bucket.has_token()
    }
}
