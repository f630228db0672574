//! What the rules and limits allow now: the only place that knows them. Whoever proposes a send or an end
//! asks here.

use super::{DEADLINE_MARGIN, Sender, WINDOW_MOST, share_of};
use crate::decisions::state::{Attempt, PendingMessage, units_of};
use crate::interface::{Effect, EndpointId, MessageId};

impl Sender {
    /// True if the rules and limits allow this send now. `joins`: it travels in a call opened this turn.
    pub(super) fn may_send(&self, id: MessageId, endpoint: EndpointId, joins: bool) -> bool {
        let (Some(message), Some(target)) = (self.messages.get(&id), self.endpoints.get(&endpoint))
        else {
            return false;
        };
        let settings = &self.settings;
        let allowed = self
            .bound(message.class)
            .map_or(usize::MAX, |bound| bound.max_attempts);
        let out = message
            .attempts
            .iter()
            .filter(|attempt| attempt.out)
            .count();
        if !message.open
            || self.is_held_back()
            || !target.is_open()
            || target.destination != message.destination
            || message.attempts.len() >= message.most_attempts.min(allowed)
            || self.now + DEADLINE_MARGIN >= message.deadline
            || (out > 0 && !settings.hedging_allowed)
        {
            return false;
        }
        let (effect, zone) = (self.effect(message.class), |id| {
            self.endpoints.get(&id).map(|known| known.zone)
        });
        let apart = |past: &Attempt| zone(past.endpoint) != Some(target.zone);
        let same_zone_only = matches!(
            effect,
            Effect::IdempotencyKey {
                same_zone_only: true,
                ..
            }
        );
        let repeatable = self.is_harmless(message, effect)
            && !(same_zone_only && message.attempts_at_risk().any(apart));
        let turn = message
            .key
            .and_then(|key| self.keys.get(&key))
            .is_none_or(|line| {
                let rests = self.now < line.rest_until.max(self.keys_rest_until);
                line.turn.front() == Some(&id) && (!rests || !message.attempts.is_empty())
            });
        let unit_id = self.unit_of(endpoint);
        let waits = self
            .units
            .get(&unit_id)
            .is_some_and(|unit| self.now < unit.wait_until);
        let here = self.units.range(units_of(message.destination));
        let in_flight: usize = here.map(|(_, unit)| unit.in_flight).sum();
        let shared = self
            .quotas
            .as_ref()
            .and_then(|quotas| quotas.of(message.destination).in_flight);
        let shared = shared
            .and_then(|quota| quota.share.at(self.now))
            .unwrap_or(u64::MAX);
        let slots = joins
            || (in_flight as u64) < shared
                && (self.calls.len() < self.most(|bounds| bounds.max_calls, settings.call_slots)
                    && in_flight < share_of(settings.call_slots, WINDOW_MOST));
        repeatable && turn && !waits && slots
    }

    /// True while nothing at all may be sent.
    pub(super) fn is_held_back(&self) -> bool {
        self.stale || self.host_failing
    }

    /// True if the message may be refused: it is certain that a retry does no harm.
    pub(super) fn may_refuse(&self, message: &PendingMessage) -> bool {
        match self.effect(message.class) {
            Effect::IdempotencyKey {
                same_zone_only: true,
                ..
            } => message.attempts_at_risk().next().is_none(),
            effect => self.is_harmless(message, effect),
        }
    }

    /// True if the message may run once more now: it never ran, or a repeat has no effect.
    pub(super) fn is_harmless(&self, message: &PendingMessage, effect: Effect) -> bool {
        match effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => message.attempts_at_risk().next().is_none(),
            Effect::IdempotencyKey { window, .. } => message
                .window_ends(window - DEADLINE_MARGIN)
                .is_none_or(|ends| self.now < ends),
        }
    }
}
