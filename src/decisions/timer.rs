//! When the next turn is needed.

use super::Sender;
use crate::interface::{Action, MILLISECOND, Micros};

impl Sender {
    /// A timer that has expired has to be set again.
    pub(super) fn forget_expired_timer(&mut self) {
        if self.timer_at <= self.now {
            self.timer_at = Micros::MAX;
        }
    }

    /// Has a turn run at this time at the latest.
    pub(super) fn wake_by(&mut self, at: Micros) {
        self.next_deadline = self.next_deadline.min(at);
    }

    /// Has a turn run at this time at the latest, unless that has passed.
    pub(super) fn wake_by_future(&mut self, at: Micros) {
        if at > self.now {
            self.wake_by(at);
        }
    }

    /// Sets the timer for the next deadline, unless it expires before.
    pub(super) fn set_timer(&mut self, actions: &mut Vec<Action>) {
        let list_retry_at = self.list_retry_at.unwrap_or(Micros::MAX);
        let deadline = self.next_deadline.min(list_retry_at);
        let at = deadline.max(self.now + MILLISECOND);
        if at < self.timer_at {
            self.timer_at = at;
            actions.push(Action::SetTimer(at));
        }
    }
}
