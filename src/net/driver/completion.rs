//! Completion of messages, and outcome notifications for messages that end undelivered.
//!
//! The platform is notified once the end is durable, or once the message's deadline is so near that
//! no process would send the message any more. Without either, a restarted process could still
//! deliver a message reported as undelivered.

use super::Driver;
use crate::net::discovery::OutcomeNotification;
use crate::net::end_proof::EndProof;
use crate::net::events::AcceptedNotifications;
use crate::net::journal::UndeliveredOutcome;
use crate::net::message_log::{self, MessageEvent};
use message_sender::decisions::DEADLINE_MARGIN;
use message_sender::{Event, MessageId, Micros};
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Notification held back until the end of its message is durable or the time `no_send_after` is
/// reached. Before that, a restarted process would not know of the end and could send the message
/// again.
struct PendingNotification {
    notification: OutcomeNotification,
    /// Time in microseconds from which no process sends the message.
    no_send_after: Micros,
}

/// Outcome notifications: the queue of the task that posts them, and those that must wait.
pub(super) struct Notifications {
    queue: mpsc::UnboundedSender<OutcomeNotification>,
    pending: Vec<PendingNotification>,
}

impl Notifications {
    pub fn new(queue: mpsc::UnboundedSender<OutcomeNotification>) -> Self {
        Notifications {
            queue,
            pending: Vec::new(),
        }
    }

    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns the earliest time in microseconds at which a pending notification can be sent without
    /// a durable end.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.pending
            .iter()
            .map(|pending| pending.no_send_after)
            .min()
    }

    pub fn send(&self, notification: OutcomeNotification) {
        // the send fails only at the end of the process, because the receiving task runs until then
        let _ = self.queue.send(notification);
    }

    /// Sends the pending notifications of messages that no process will send any more, not even after
    /// a restart: all of them if `all_durable`, which means that the journal has stored the ends of
    /// all messages, else those whose `no_send_after` has been reached.
    fn send_ready(&mut self, now: Micros, all_durable: bool) {
        let is_ready = |pending: &PendingNotification| all_durable || pending.no_send_after <= now;
        let all_pending = std::mem::take(&mut self.pending);
        let (ready, waiting): (Vec<_>, Vec<_>) = all_pending.into_iter().partition(is_ready);
        self.pending = waiting;
        for pending in ready {
            self.send(pending.notification);
        }
    }
}

impl Driver {
    /// Marks a message as complete on the evidence of `proof`, and records that in the journal.
    pub(super) fn complete(&mut self, message: MessageId, proof: EndProof) {
        self.lifecycle.complete(message);
        if self.messages.close(message) {
            self.end_counts.count(proof);
            self.journal.complete(message, proof);
        }
    }

    /// Ends a message undelivered, as the decision module decided, and queues its notification.
    pub(super) fn end_undelivered(&mut self, message: MessageId, outcome: UndeliveredOutcome) {
        let Some(held) = self.messages.get(message).filter(|held| held.open) else {
            // the client received the outcome as the response to its request, so no notification is
            // needed
            return self.events.push(Event::NotificationDelivered(message));
        };
        let id = held.item.id.clone();
        let unfinished = self.journal.unfinished().get(&message.0);
        let deadline = unfinished.map_or(Micros::MIN, |unfinished| unfinished.accepted.deadline);
        message_log::log_event(&id, &MessageEvent::EndedUndelivered(outcome));
        self.journal.end_undelivered(message, outcome);
        self.lifecycle.close(message);
        self.messages.close(message);
        let notification = OutcomeNotification {
            number: message.0,
            id: id.to_str().map(str::to_string).unwrap_or_default(),
            outcome,
        };
        self.notifications.pending.push(PendingNotification {
            notification,
            no_send_after: deadline.saturating_sub(DEADLINE_MARGIN),
        });
    }

    /// Sends the pending notifications that no longer need to wait.
    pub(super) fn send_ready_notifications(&mut self) {
        if self.notifications.has_pending() {
            let now = self.clock.at(Instant::now());
            let all_durable = !self.journal.has_pending();
            self.notifications.send_ready(now, all_durable);
        }
    }

    /// Completes the messages whose notifications the platform has accepted.
    pub(super) fn notifications_accepted(&mut self, accepted: AcceptedNotifications) {
        let AcceptedNotifications { numbers, proof } = accepted;
        for message in numbers.into_iter().map(MessageId) {
            if let Some(unfinished) = self.journal.unfinished().get(&message.0) {
                message_log::log_event_of_id(&unfinished.accepted.id, &MessageEvent::Notified);
            }
            self.end_counts.count(proof);
            self.journal.complete(message, proof);
            self.lifecycle.complete(message);
            self.events.push(Event::NotificationDelivered(message));
        }
    }
}
