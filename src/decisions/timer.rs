//! Schedules the next turn.

use super::Sender;
use crate::interface::{Action, MILLISECOND, Micros};

impl Sender {
    /// Forgets a timer that has expired, so that it is set again.
    pub(super) fn forget_expired_timer(&mut self) {
        if self.timer_at <= self.now {
            self.timer_at = Micros::MAX;
        }
    }

    /// Schedules a turn for `at` at the latest.
    pub(super) fn wake_by(&mut self, at: Micros) {
        self.next_deadline = self.next_deadline.min(at);
    }

    /// Schedules a turn for `at` at the latest, unless `at` has passed.
    pub(super) fn wake_by_unless_past(&mut self, at: Micros) {
        if at > self.now {
            self.wake_by(at);
        }
    }

    /// Sets the timer for the next deadline, unless the timer is already set for an earlier time.
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
