//! Which messages have no end yet, as far as the lab has seen.

use super::Event;
use std::collections::HashMap;

/// Messages that a sender has accepted and not completed.
#[derive(Debug, Default)]
pub struct PendingMessages {
    /// By message id.
    states: HashMap<String, MessageState>,
    count: usize,
}

/// Either may be seen first: a message may be delivered before its client has read the answer.
#[derive(Debug, Default)]
struct MessageState {
    accepted: bool,
    completed: bool,
}

impl MessageState {
    fn is_pending(&self) -> bool {
        self.accepted && !self.completed
    }
}

impl PendingMessages {
    /// Takes up an event, if it accepts or completes a message.
    pub fn apply(&mut self, event: &Event) {
        match event {
            Event::SubmissionAnswered {
                id,
                status: 200 | 202,
            } => self.update(id, |state| state.accepted = true),
            Event::CallAnswered {
                id, status: 200, ..
            }
            | Event::OutcomeNotified { id, .. } => self.update(id, |state| state.completed = true),
            _ => {}
        }
    }

    fn update(&mut self, id: &str, change: impl FnOnce(&mut MessageState)) {
        let state = self.states.entry(id.to_string()).or_default();
        let was_pending = state.is_pending();
        change(state);
        match (was_pending, state.is_pending()) {
            (false, true) => self.count += 1,
            (true, false) => self.count -= 1,
            _ => {}
        }
    }

    /// The number of pending messages.
    pub fn count(&self) -> usize {
        self.count
    }
}
