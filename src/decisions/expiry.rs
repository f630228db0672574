//! Ends messages that can no longer be delivered, and sheds load when too many are pending.

use super::state::{Health, PendingMessage, Route};
use super::{Sender, count_for_share};
use crate::interface::{Action, Effect, EndpointId, MILLISECOND, MessageId, Micros};
use std::collections::BTreeSet;

/// Safety margin in microseconds: no attempt starts this close to the deadline of a message, so
/// that a last answer can still arrive, or this close to the end of the window of an idempotency
/// key.
pub const DEADLINE_MARGIN: Micros = 30 * MILLISECOND;
/// Share of the maximum number of pending messages above which messages are rejected whose
/// destination has no available endpoint on a healthy route with a trusted failure score. Higher
/// keeps more messages for a destination that recovers; lower leaves more capacity to the other
/// destinations.
const SHEDDING_SHARE: f64 = 0.85;

/// A pending message that may be rejected to make room for others.
struct SheddingCandidate {
    priority_weight: f64,
    created_at: Micros,
    id: MessageId,
}

impl Sender {
    /// Ends messages that can no longer be delivered, and rejects some when too many are pending.
    pub(super) fn end_undeliverable_messages(&mut self, actions: &mut Vec<Action>) {
        if let Some(deadline) = self.index.first_deadline() {
            self.wake_by(deadline - DEADLINE_MARGIN);
        }
        let expired = self
            .index
            .undeliverable(self.now + DEADLINE_MARGIN, self.now);
        let shed = self.messages_to_shed(&expired);
        for id in expired.into_iter().chain(shed) {
            self.end(id, actions);
        }
    }

    /// Returns the messages to reject when more than `SHEDDING_SHARE` of the maximum number are
    /// pending: of those that `may_be_shed`, the ones with the lowest priority weights, the oldest
    /// first among equal weights, as many as exceed that share.
    fn messages_to_shed(&self, expired: &BTreeSet<MessageId>) -> Vec<MessageId> {
        let capacity = count_for_share(self.settings.max_pending, SHEDDING_SHARE);
        let excess = self.index.open().saturating_sub(capacity);
        if excess == 0 {
            return Vec::new();
        }
        let mut candidates = Vec::new();
        for (&id, message) in &self.messages {
            if !expired.contains(&id) && self.may_be_shed(message) {
                candidates.push(SheddingCandidate {
                    priority_weight: message.priority_weight,
                    created_at: message.created_at,
                    id,
                });
            }
        }
        // the sort is stable: of messages with equal weight and age, the one with the lowest id is
        // rejected first
        candidates.sort_by(|a, b| {
            let by_weight = a.priority_weight.total_cmp(&b.priority_weight);
            by_weight.then(a.created_at.cmp(&b.created_at))
        });
        candidates
            .into_iter()
            .take(excess)
            .map(|candidate| candidate.id)
            .collect()
    }

    fn may_be_shed(&self, message: &PendingMessage) -> bool {
        message.open
            && !message.has_attempt_in_flight()
            && self.may_reject(message)
            && self.is_stuck(message)
    }

    /// Ends a message without delivery: rejects it if a retry by the client does no harm, otherwise
    /// fails it.
    fn end(&mut self, id: MessageId, actions: &mut Vec<Action>) {
        let action = if self.may_reject(&self.messages[&id]) {
            Action::Reject {
                message: id,
                retry_after: self.client_retry_after(),
            }
        } else {
            Action::Fail(id)
        };
        actions.push(action);
        self.close(id, actions);
        if let Some(message) = self.messages.get_mut(&id) {
            message.notification_pending = self.settings.completion_by_notification;
        }
        self.forget_if_done(id);
    }

    /// Closes a message: it gets no further attempt, and its attempts in flight are cancelled if
    /// the settings allow cancellation.
    pub(super) fn close(&mut self, id: MessageId, actions: &mut Vec<Action>) {
        let message = self.messages.get_mut(&id).filter(|message| message.open);
        let Some(message) = message else {
            return;
        };
        message.open = false;
        if self.settings.cancellation_allowed {
            let attempts = message.attempts.iter().enumerate();
            let in_flight = attempts.filter(|(_, attempt)| attempt.in_flight);
            actions.extend(in_flight.map(|(attempt, _)| Action::Cancel {
                message: id,
                attempt,
            }));
        }
        self.reindex(id);
    }

    /// Returns the time from which the message must not be sent any more, because the destination
    /// may have processed it and must not process it again, or because no attempt is left. Returns
    /// `Micros::MIN` if it must not be sent now, and `Micros::MAX` if there is no such time.
    pub(super) fn no_send_after(&self, message: &PendingMessage) -> Micros {
        if message.attempts.len() >= message.max_attempts {
            return Micros::MIN;
        }
        // agreed rules do not count here: what they forbid now they may allow later
        match self.configured_effect(message.class) {
            Effect::Idempotent => Micros::MAX,
            Effect::NonIdempotent if message.is_at_risk() => Micros::MIN,
            Effect::NonIdempotent => Micros::MAX,
            Effect::IdempotencyKey { window, .. } => {
                let window_end = message.window_end(window - DEADLINE_MARGIN);
                window_end.unwrap_or(Micros::MAX)
            }
        }
    }

    /// Returns true if the message's destination has no available endpoint, or if the route of each
    /// available endpoint is ejected, is recovering or has a failure score that is not trusted.
    fn is_stuck(&self, message: &PendingMessage) -> bool {
        let Some(endpoints) = self.endpoints_by_destination.get(&message.destination) else {
            return true;
        };
        let is_stuck = |id: &EndpointId| {
            let route = self.routes.get(&self.route_of(*id));
            route.is_some_and(|route| !route.is_reliable())
        };
        endpoints
            .iter()
            .filter(|id| self.is_available(**id))
            .all(is_stuck)
    }
}

impl Route {
    fn is_reliable(&self) -> bool {
        self.health == Health::Healthy && self.is_trusted()
    }
}
