//! Cancels attempts that are presumed lost, so that their call slots become free.

use super::Sender;
use super::unresponsive::LOST_HEDGE_DELAYS;
use crate::decisions::count_for_share;
use crate::decisions::state::{Attempt, PendingMessage, Route};
use crate::interface::{Action, Effect, MessageId, Micros};

/// Number of response limits after which an attempt on an ejected route is cancelled if the route
/// has answered nothing since the attempt was sent. While call slots are scarce, one response limit
/// is enough. Lower frees slots sooner; higher waits for late answers.
const EJECTED_RESPONSE_LIMITS: i64 = 2;
/// Factor on the number of response limits after which an attempt is cancelled because its
/// message's class has had no success at the endpoint since the attempt was sent, although the
/// route is not ejected or has answered other calls since then.
const SILENT_CLASS_FACTOR: i64 = 2;
/// Number of response limits after which an attempt counts as lost even if its route answers. Lower
/// frees slots sooner; higher waits for late answers.
const LOST_RESPONSE_LIMITS: i64 = 3;
/// Share of the call slots in use from which on attempts of non-idempotent messages are cancelled
/// too. Lower abandons more attempts; higher frees fewer slots.
const SCARCE_SLOTS_SHARE: f64 = 0.7;

/// How scarce free call slots are.
struct SlotPressure {
    is_scarce: bool,
    is_full: bool,
}

impl Sender {
    /// Cancels attempts that are presumed lost, if the settings allow cancellation. Attempts of
    /// non-idempotent messages, which then can't be sent again, are cancelled only while call slots
    /// are scarce.
    pub(in crate::decisions) fn cancel_lost_attempts(&mut self, actions: &mut Vec<Action>) {
        let scarce_calls = count_for_share(self.settings.call_slots, SCARCE_SLOTS_SHARE);
        let pressure = SlotPressure {
            is_scarce: self.calls.len() >= scarce_calls,
            is_full: self.are_slots_full(),
        };
        for (message, attempt) in self.lost_attempts(&pressure) {
            if let Some(pending) = self.messages.get_mut(&message) {
                pending.attempts[attempt].cancelled = true;
            }
            actions.push(Action::Cancel { message, attempt });
        }
    }

    fn lost_attempts(&self, pressure: &SlotPressure) -> Vec<(MessageId, usize)> {
        let mut lost = Vec::new();
        for &id in self.index.in_flight() {
            let Some(message) = self.messages.get(&id) else {
                continue;
            };
            let is_lost = |attempt: &Attempt| self.is_lost(message, attempt, pressure);
            let attempts = message.attempts.iter().enumerate();
            let attempts = attempts.filter(|(_, attempt)| is_lost(attempt));
            lost.extend(attempts.map(|(number, _)| (id, number)));
        }
        lost
    }

    fn is_lost(
        &self,
        message: &PendingMessage,
        attempt: &Attempt,
        pressure: &SlotPressure,
    ) -> bool {
        let class = self.settings.classes.get(message.class);
        let is_repeatable = class.is_some_and(|class| class.effect != Effect::NonIdempotent);
        let may_cancel =
            self.settings.cancellation_allowed && (pressure.is_scarce || is_repeatable);
        if !may_cancel || !attempt.in_flight || attempt.cancelled {
            return false;
        }
        let call = self.calls.get(&attempt.call);
        let Some(route) = call.and_then(|call| self.routes.get(&call.route)) else {
            return false;
        };
        let age = self.now - attempt.sent;
        let may_cancel_early = pressure.is_full && is_repeatable;
        age > LOST_RESPONSE_LIMITS * route.response_limit()
            || may_cancel_early && route.is_lost_on_answering_route(attempt, age)
            || self.is_lost_on_silent_route_or_class(message, attempt, route, pressure)
    }

    /// Returns true if the attempt is late and, since it was sent, either its route is ejected and
    /// has answered nothing, or the class of its message has had no success at its endpoint.
    fn is_lost_on_silent_route_or_class(
        &self,
        message: &PendingMessage,
        attempt: &Attempt,
        route: &Route,
        pressure: &SlotPressure,
    ) -> bool {
        let is_route_silent = route.last_answer_at < attempt.sent && route.is_ejected();
        let base_multiple = if pressure.is_scarce {
            1
        } else {
            EJECTED_RESPONSE_LIMITS
        };
        let multiple = if is_route_silent {
            base_multiple
        } else {
            base_multiple * SILENT_CLASS_FACTOR
        };
        let is_late = self.now - attempt.sent > multiple * route.response_limit();
        is_late && (is_route_silent || self.last_class_success(message, attempt) < attempt.sent)
    }

    /// Returns the time of the last success of the message's class at the endpoint of the attempt;
    /// 0 if there was none.
    fn last_class_success(&self, message: &PendingMessage, attempt: &Attempt) -> Micros {
        let endpoint = self.endpoints.get(&attempt.endpoint);
        let record = endpoint.and_then(|endpoint| endpoint.classes.get(&message.class));
        record.map_or(0, |record| record.last_success_at)
    }
}

impl Route {
    /// Returns true if the attempt is several hedge delays old and the route has answered since the
    /// attempt was sent, to another call or for another message of the same call.
    fn is_lost_on_answering_route(&self, attempt: &Attempt, age: Micros) -> bool {
        self.last_answer_at > attempt.sent && age > LOST_HEDGE_DELAYS * self.hedge_delay()
    }
}
