//! Cancels attempts that are presumed lost, so that their call slots become free.

use super::Sender;
use super::unresponsive::OVERTAKEN_HEDGE_DELAYS;
use crate::decisions::share_of;
use crate::decisions::state::{Attempt, PendingMessage, Route};
use crate::interface::{Action, Effect, MessageId, Micros};

/// Number of response limits after which an attempt on an ejected route is cancelled if the route
/// has answered nothing since. Lower frees slots sooner; higher waits for late answers.
const EJECTED_RESPONSE_LIMITS: i64 = 2;
/// Factor on the time until an attempt is cancelled, where not the whole route is silent but only
/// the class of the message at its endpoint.
const CLASS_LIMIT_FACTOR: i64 = 2;
/// Number of response limits after which an attempt counts as lost even if other calls are
/// answered. Lower frees slots sooner.
const LOST_RESPONSE_LIMITS: i64 = 3;
/// Share of the call slots in use above which attempts of non-idempotent messages are cancelled
/// too. Lower abandons more attempts; higher frees fewer slots.
const SCARCE_SLOTS_SHARE: f64 = 0.7;

/// How scarce free call slots are.
struct SlotPressure {
    is_scarce: bool,
    is_full: bool,
}

impl Sender {
    /// Cancels attempts that are presumed lost, where cancelling is safe.
    pub(in crate::decisions) fn cancel_lost_attempts(&mut self, actions: &mut Vec<Action>) {
        let scarce_calls = share_of(self.settings.call_slots, SCARCE_SLOTS_SHARE);
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
        let may_be_overtaken = pressure.is_full && is_repeatable;
        age > LOST_RESPONSE_LIMITS * route.response_limit()
            || may_be_overtaken && route.is_overtaken(attempt, age)
            || self.is_lost_with_others(message, attempt, route, pressure)
    }

    /// Returns true if the attempt is late and, since it was sent, either the ejected route has
    /// answered nothing or its class has had no success at its endpoint.
    fn is_lost_with_others(
        &self,
        message: &PendingMessage,
        attempt: &Attempt,
        route: &Route,
        pressure: &SlotPressure,
    ) -> bool {
        let is_route_silent = route.alive_at < attempt.sent && route.is_ejected();
        let pressure_limits = if pressure.is_scarce {
            1
        } else {
            EJECTED_RESPONSE_LIMITS
        };
        let limits = if is_route_silent {
            pressure_limits
        } else {
            pressure_limits * CLASS_LIMIT_FACTOR
        };
        let is_late = self.now - attempt.sent > limits * route.response_limit();
        is_late && (is_route_silent || self.class_alive_at(message, attempt) < attempt.sent)
    }

    /// Returns the time of the last success of the message's class at the endpoint of the attempt;
    /// 0 if there was none.
    fn class_alive_at(&self, message: &PendingMessage, attempt: &Attempt) -> Micros {
        let endpoint = self.endpoints.get(&attempt.endpoint);
        let record = endpoint.and_then(|endpoint| endpoint.classes.get(&message.class));
        record.map_or(0, |record| record.alive_at)
    }
}

impl Route {
    /// Returns true if the attempt is several hedge delays old and the route has answered other
    /// calls since it was sent.
    fn is_overtaken(&self, attempt: &Attempt, age: Micros) -> bool {
        self.alive_at > attempt.sent && age > OVERTAKEN_HEDGE_DELAYS * self.hedge_delay()
    }
}
