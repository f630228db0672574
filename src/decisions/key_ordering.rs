//! Key ordering: messages of one key are sent one at a time, in the order of their arrival.

use super::Sender;
use crate::interface::{MessageId, Micros, Outcome};

impl Sender {
    /// Returns true if messages of the class that share a key are sent in order.
    pub(super) fn is_ordered(&self, class: usize) -> bool {
        let by_settings = self.settings.classes.get(class);
        by_settings.is_some_and(|class| class.ordered)
            || self
                .class_bounds(class)
                .is_some_and(|bounds| bounds.ordered)
    }

    pub(super) fn join_key_queue(&mut self, key: u64, message: MessageId) {
        let queue = self.key_queues.entry(key).or_default();
        queue.messages.push_back(message);
        if self.key_queues.len() > 2 * self.settings.max_pending {
            self.forget_unused();
        }
    }

    /// Removes a completed message from the queue of its key; returns the message that is now at
    /// the front.
    pub(super) fn leave_key_queue(&mut self, key: u64, message: MessageId) -> Option<MessageId> {
        let queue = self.key_queues.get_mut(&key)?;
        queue.messages.retain(|&other| other != message);
        queue.messages.front().copied()
    }

    /// Returns true if the message has no key, or if no earlier message of its key is pending.
    pub(super) fn is_first_of_key(&self, message: MessageId, key: Option<u64>) -> bool {
        let queue = key.and_then(|key| self.key_queues.get(&key));
        queue.is_none_or(|queue| queue.messages.front() == Some(&message))
    }

    /// Returns the time at which the backoff of a key ends; `None` if there is no key or the key
    /// has no queue.
    pub(super) fn key_backoff_end(&self, key: Option<u64>) -> Option<Micros> {
        let queue = key.and_then(|key| self.key_queues.get(&key))?;
        Some(queue.backoff_until.max(self.key_backoff_until))
    }

    /// Returns how long a key backs off after an attempt that the destination may still be
    /// processing, in microseconds.
    pub(super) fn key_backoff(&self, class: usize) -> Micros {
        let bounds = self.class_bounds(class);
        let by_rules = bounds.map_or(0, |bounds| bounds.key_backoff);
        self.settings.safety.key_backoff.max(by_rules)
    }

    pub(super) fn back_off_key(&mut self, key: Option<u64>, backoff: Micros) {
        let until = self.now + backoff;
        if let Some(queue) = key.and_then(|key| self.key_queues.get_mut(&key)) {
            queue.backoff_until = queue.backoff_until.max(until);
        }
    }

    /// Makes all keys back off after a restart: the earlier process may have ended just now, and
    /// destinations may still be processing calls that it cancelled.
    pub(super) fn back_off_all_keys(&mut self) {
        self.key_backoff_until = self.now + self.settings.safety.key_backoff;
    }
}

/// Returns true if the destination may still be working on an attempt that ended with this outcome.
pub(super) fn may_still_run(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
    )
}
