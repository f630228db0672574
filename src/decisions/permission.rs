//! Permission: whether the rules and limits allow a message to be accepted, sent or rejected now.
//! Whether a send that is allowed is also advisable is decided elsewhere.

use super::concurrency_limit::max_calls;
use super::state::{PendingMessage, RouteId};
use super::{DEADLINE_MARGIN, Sender};
use crate::interface::{ClassBounds, DestinationId, Effect, EndpointId, MessageId, RuleBounds};

impl Sender {
    /// Returns true if the rules and limits allow this send now. `joins_call` is true if the
    /// message joins a call that was opened in this turn, and so needs no call slot of its own.
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

    /// Returns true while no message at all may be sent: the endpoint list may be out of date, or
    /// the local host fails.
    pub(super) fn is_sending_suspended(&self) -> bool {
        self.list_stale || self.host_failing
    }

    /// Returns true if the message is open and may have one more attempt: it has attempts and
    /// enough time left, sending is not suspended, and hedging is allowed if the attempt is a
    /// hedge.
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

    /// Returns true if the effect of the message allows the destination to process it once more,
    /// and this endpoint to receive it.
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

    /// Returns true while a Retry-After delay of the endpoint's route lasts.
    fn must_wait_for_retry_after(&self, endpoint: EndpointId) -> bool {
        let route = self.routes.get(&self.route_of(endpoint));
        route.is_some_and(|route| self.now < route.retry_after_until)
    }

    /// Returns true if the limits on calls in flight allow one more call to the destination.
    fn has_free_slot(&self, destination: DestinationId) -> bool {
        let call_slots = self.settings.call_slots;
        let routes = self.routes.range(RouteId::all_of(destination));
        let in_flight: usize = routes.map(|(_, route)| route.in_flight).sum();
        (in_flight as u64) < self.quota_of_calls_in_flight(destination)
            && self.calls.len() < self.limit_with_rules(|bounds| bounds.max_calls, call_slots)
            && in_flight < max_calls(call_slots)
    }

    /// Returns true if the message may be rejected, because a retry by the client is certain to do
    /// no harm.
    pub(super) fn may_reject(&self, message: &PendingMessage) -> bool {
        match self.effect(message.class) {
            Effect::IdempotencyKey {
                same_zone_only: true,
                ..
            } => !message.is_at_risk(),
            effect => self.may_run_again(message, effect),
        }
    }

    /// Returns true if the destination may process the message now even if it was sent before: the
    /// destination has certainly not processed it yet, or to process it again has no further
    /// effect.
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

    /// Returns true if the agreed rules allow messages of the class to be accepted.
    pub(super) fn may_accept(&self, class: usize) -> bool {
        let bounds = self.class_bounds(class);
        bounds.is_none_or(|bounds| bounds.accepted)
    }

    /// Returns the effect of messages of the class: the configured effect, restricted to what
    /// agreed rules allow.
    pub(super) fn effect(&self, class: usize) -> Effect {
        let own = self.configured_effect(class);
        let bounds = self.class_bounds(class);
        bounds.map_or(own, |bounds| own.intersection(bounds.effect))
    }

    /// Returns the configured effect of messages of the class; a class that the settings do not
    /// name counts as non-idempotent.
    pub(super) fn configured_effect(&self, class: usize) -> Effect {
        let class = self.settings.classes.get(class);
        class.map_or(Effect::NonIdempotent, |class| class.effect)
    }

    /// Returns what agreed rules allow a class now; `None` if there are no agreed rules. A class
    /// that the rules do not name is allowed nothing: if each sender treated it by its own
    /// settings, senders with different settings could contradict each other. Drawback: no message
    /// of such a class is accepted or sent until rules name it.
    pub(super) fn class_bounds(&self, class: usize) -> Option<ClassBounds> {
        let rules = self.agreed_rules.as_ref()?.at(self.now);
        let class = self.settings.classes.get(class);
        let name = class.map_or("", |class| &class.name);
        let bounds = rules.classes.get(name).copied();
        Some(bounds.unwrap_or(ClassBounds::NOTHING))
    }

    /// Returns the configured limit, or that of the agreed rules if it is lower.
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
