//! What the rules and limits allow now: the only place that knows them. Whoever proposes a send or
//! an end asks here.

use super::concurrency_limit::max_calls;
use super::state::{PendingMessage, RouteId};
use super::{DEADLINE_MARGIN, Sender};
use crate::interface::{ClassBounds, DestinationId, Effect, EndpointId, MessageId, RuleBounds};

impl Sender {
    /// True if the rules and limits allow this send now. `joins_call`: it travels in a call opened
    /// this turn.
    pub(super) fn may_send(&self, id: MessageId, endpoint: EndpointId, joins_call: bool) -> bool {
        let Some(message) = self.messages.get(&id) else {
            return false;
        };
        self.may_start_attempt(message)
            && self.may_use_endpoint(message, endpoint)
            && self.may_be_repeated_at(message, endpoint)
            && self.is_turn_in_key_queue(id, message)
            && !self.must_wait_for_retry_after(endpoint)
            && (joins_call || self.has_free_slot(message.destination))
    }

    /// True while nothing at all may be sent.
    pub(super) fn is_sending_suspended(&self) -> bool {
        self.list_stale || self.host_failing
    }

    /// The message may have one more attempt.
    fn may_start_attempt(&self, message: &PendingMessage) -> bool {
        let bounds = self.class_bounds(message.class);
        let allowed = bounds.map_or(usize::MAX, |bounds| bounds.max_attempts);
        let is_hedge = message.has_attempt_in_flight();
        message.open
            && !self.is_sending_suspended()
            && message.attempts.len() < message.max_attempts.min(allowed)
            && self.now + DEADLINE_MARGIN < message.deadline
            && (!is_hedge || self.settings.hedging_allowed)
    }

    fn may_use_endpoint(&self, message: &PendingMessage, endpoint: EndpointId) -> bool {
        let endpoint = self.endpoints.get(&endpoint);
        endpoint.is_some_and(|endpoint| {
            endpoint.is_available() && endpoint.destination == message.destination
        })
    }

    /// The effect of the message allows that it runs once more, there.
    fn may_be_repeated_at(&self, message: &PendingMessage, endpoint: EndpointId) -> bool {
        let effect = self.effect(message.class);
        if !self.may_run_again(message, effect) {
            return false;
        }
        let is_zone_bound = matches!(
            effect,
            Effect::IdempotencyKey {
                same_zone_only: true,
                ..
            }
        );
        let zone = |id: EndpointId| self.endpoints.get(&id).map(|endpoint| endpoint.zone);
        let mut at_risk = message.attempts_at_risk();
        !is_zone_bound || at_risk.all(|past| zone(past.endpoint) == zone(endpoint))
    }

    fn is_turn_in_key_queue(&self, id: MessageId, message: &PendingMessage) -> bool {
        let Some(backoff_end) = self.key_backoff_end(message.key) else {
            return true;
        };
        let is_first_attempt = message.attempts.is_empty();
        self.is_first_of_key(id, message.key) && (!is_first_attempt || self.now >= backoff_end)
    }

    /// The destination has asked to be left alone.
    fn must_wait_for_retry_after(&self, endpoint: EndpointId) -> bool {
        let route = self.routes.get(&self.route_of(endpoint));
        route.is_some_and(|route| self.now < route.retry_after_until)
    }

    /// The limits on calls in flight leave one to the destination.
    fn has_free_slot(&self, destination: DestinationId) -> bool {
        let call_slots = self.settings.call_slots;
        let routes = self.routes.range(RouteId::all_of(destination));
        let in_flight: usize = routes.map(|(_, route)| route.in_flight).sum();
        (in_flight as u64) < self.quota_of_calls_in_flight(destination)
            && self.calls.len() < self.limit_with_rules(|bounds| bounds.max_calls, call_slots)
            && in_flight < max_calls(call_slots)
    }

    /// True if the message may be rejected: it is certain that a retry by the client does no harm.
    pub(super) fn may_reject(&self, message: &PendingMessage) -> bool {
        match self.effect(message.class) {
            Effect::IdempotencyKey {
                same_zone_only: true,
                ..
            } => !message.is_at_risk(),
            effect => self.may_run_again(message, effect),
        }
    }

    /// True if the message may run once more now: it never ran, or a repeat has no effect.
    fn may_run_again(&self, message: &PendingMessage, effect: Effect) -> bool {
        match effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => !message.is_at_risk(),
            Effect::IdempotencyKey { window, .. } => {
                let window_end = message.window_end(window - DEADLINE_MARGIN);
                window_end.is_none_or(|end| self.now < end)
            }
        }
    }

    /// True if the agreed rules let messages of the class be taken on.
    pub(super) fn may_accept(&self, class: usize) -> bool {
        let bounds = self.class_bounds(class);
        bounds.is_none_or(|bounds| bounds.accepted)
    }

    /// What a repeat does, and no more than agreed rules allow.
    pub(super) fn effect(&self, class: usize) -> Effect {
        let own = self.configured_effect(class);
        let bounds = self.class_bounds(class);
        bounds.map_or(own, |bounds| own.intersection(bounds.effect))
    }

    /// What a repeat does by the settings; a class that they do not name must not run twice.
    pub(super) fn configured_effect(&self, class: usize) -> Effect {
        let class = self.settings.classes.get(class);
        class.map_or(Effect::NonIdempotent, |class| class.effect)
    }

    /// What agreed rules allow a class now, if there are any. Guards against senders that
    /// contradict each other; could starve a class that the rules do not name.
    pub(super) fn class_bounds(&self, class: usize) -> Option<ClassBounds> {
        let rules = self.agreed_rules.as_ref()?.at(self.now);
        let class = self.settings.classes.get(class);
        let name = class.map_or("", |class| &class.name);
        let bounds = rules.classes.get(name).copied();
        Some(bounds.unwrap_or(ClassBounds::NOTHING))
    }

    /// A limit of the settings, or a lower one of agreed rules.
    pub(super) fn limit_with_rules(
        &self,
        limit: impl Fn(&RuleBounds) -> Option<usize>,
        configured: usize,
    ) -> usize {
        let rules = self.agreed_rules.as_ref();
        let agreed = rules.and_then(|rules| limit(rules.at(self.now)));
        agreed.map_or(configured, |agreed| agreed.min(configured))
    }
}
