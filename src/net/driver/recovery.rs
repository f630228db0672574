//! Recovery of messages that an earlier process accepted: they are read from the journal and passed
//! to the decision module.

use super::Driver;
use super::messages::{Attempt, Message, NO_CALL};
use super::submissions::{guarantee_of, key_of};
use crate::net::calls::Item;
use crate::net::discovery::OutcomeNotification;
use crate::net::journal::{RecordedAttempt, UndeliveredOutcome, UnfinishedMessage};
use crate::net::message_log::{self, MessageEvent};
use hyper::header::HeaderValue;
use message_sender::lifecycle::DeliveryGuarantee;
use message_sender::wire::position;
use message_sender::{Class, EndpointId, Event, MessageId, Micros, NewMessage, PastAttempt};
use tokio::time::Instant;

/// Number that stands for the endpoint of a recorded attempt if the driver does not know that
/// endpoint.
const UNKNOWN_ENDPOINT: EndpointId = EndpointId(u32::MAX);

impl Driver {
    /// Passes the unfinished messages of the journal to the decision module. For messages that had
    /// ended undelivered, the notification is sent again.
    pub(super) fn recover_messages(&mut self, taken_over: bool) {
        if !taken_over && self.journal.has_records() {
            self.events.push(Event::Restarted);
        }
        let unfinished = self.journal.unfinished().clone();
        let now = self.clock.at(Instant::now());
        for message in unfinished.values() {
            self.restore_class_position(message);
        }
        if self.settings != *self.sender.settings() {
            self.push_settings();
        }
        for (number, message) in unfinished {
            let next = self.messages.next_number().max(number + 1);
            self.messages.set_next_number(next);
            self.recover_message(MessageId(number), message, now, taken_over);
        }
    }

    /// Returns the position of the class with the terms under which a message was accepted, and
    /// adds that class to the settings if needed. `None` if the terms were not recorded.
    fn restore_class_position(&mut self, message: &UnfinishedMessage) -> Option<usize> {
        let terms = message.terms.as_ref()?;
        Some(
            self.settings
                .class_position(terms.to_class(&message.accepted.class)),
        )
    }

    fn recover_message(
        &mut self,
        number: MessageId,
        message: UnfinishedMessage,
        now: Micros,
        taken_over: bool,
    ) {
        let new = self.restored_message(number, &message, now);
        self.recover_lifecycle(number, &message);
        if let Some(outcome) = message.outcome {
            self.lifecycle.close(number);
            if !taken_over {
                self.events.push(Event::NotificationPending(new));
            }
            return self.notifications.send(OutcomeNotification {
                number: number.0,
                id: message.accepted.id,
                outcome,
            });
        }
        // a message that was handed over is already present, with state that the journal does not
        // hold
        if self.messages.get(number).is_none() {
            self.recover_open_message(number, message, new);
        }
    }

    /// Builds the message that is passed to the decision module.
    fn restored_message(
        &mut self,
        number: MessageId,
        message: &UnfinishedMessage,
        now: Micros,
    ) -> NewMessage {
        let class = self.restore_class_position(message).unwrap_or_else(|| {
            let is_named = |class: &Class| class.name == message.accepted.class;
            let position = self.settings.classes.iter().rposition(is_named);
            position.unwrap_or(usize::MAX)
        });
        let tenant = message.origin.tenant.as_deref();
        let terms = message.terms.as_ref();
        let time_left = message.accepted.deadline - now;
        NewMessage {
            key: message.origin.subject.as_deref().map(key_of),
            tenant: tenant.map(|name| position(&self.names.tenants, name)),
            max_attempts: terms.map(|terms| terms.max_attempts as usize),
            ..NewMessage::new(number, class, message.accepted.destination, time_left)
        }
    }

    fn recover_lifecycle(&mut self, number: MessageId, message: &UnfinishedMessage) {
        let guarantee = match &message.terms {
            Some(terms) => guarantee_of(terms, &message.origin),
            None => DeliveryGuarantee {
                key: None,
                at_most_once: false,
            },
        };
        let in_flight = self.messages.get(number).map_or(0, |held| {
            let recorded =
                |attempt: &&Attempt| attempt.in_flight && attempt.journal_position.is_some();
            held.attempts.iter().filter(recorded).count()
        });
        let attempts = message.attempts.iter();
        let may_have_run = attempts.filter(|attempt| !attempt.never_ran).count();
        self.lifecycle
            .restore(number, guarantee, in_flight, may_have_run > in_flight);
    }

    fn recover_open_message(
        &mut self,
        number: MessageId,
        message: UnfinishedMessage,
        new: NewMessage,
    ) {
        let accepted = message.accepted;
        let Ok(id) = HeaderValue::from_str(&accepted.id) else {
            return self.end_message_with_invalid_id(number, new, accepted.id);
        };
        let key = accepted.key.as_deref();
        let key = key.and_then(|key| HeaderValue::from_str(key).ok());
        let past: Vec<PastAttempt> = message
            .attempts
            .iter()
            .map(|attempt| self.past_attempt(attempt))
            .collect();
        let attempts = past
            .iter()
            .enumerate()
            .map(|(journal_position, past)| Attempt {
                endpoint: past.endpoint,
                sent_at: past.sent,
                call: NO_CALL,
                position: 0,
                in_flight: false,
                journal_position: Some(journal_position),
            });
        let attempts = attempts.collect();
        let attempts_before = past.len();
        message_log::log_event(
            &id,
            &MessageEvent::Recovered {
                attempts: attempts_before,
            },
        );
        self.events.push(Event::MessageRestored {
            message: new,
            attempts: past,
        });
        let body = accepted.body;
        let recovered = Message {
            attempts,
            ..Message::new(Item { id, key, body })
        };
        self.messages.insert(number, recovered);
    }

    /// Ends a message undelivered because its recorded id is not a valid header value, so no call
    /// can carry it.
    fn end_message_with_invalid_id(&mut self, number: MessageId, new: NewMessage, id: String) {
        let outcome = UndeliveredOutcome::Failed;
        message_log::log_event_of_id(&id, &MessageEvent::EndedUndelivered(outcome));
        self.journal.end_undelivered(number, outcome);
        self.lifecycle.close(number);
        self.events.push(Event::NotificationPending(new));
        self.notifications.send(OutcomeNotification {
            number: number.0,
            id,
            outcome,
        });
    }

    fn past_attempt(&self, attempt: &RecordedAttempt) -> PastAttempt {
        PastAttempt {
            endpoint: self
                .endpoints
                .id_of(&attempt.uid)
                .unwrap_or(UNKNOWN_ENDPOINT),
            sent: attempt.sent_at,
            may_have_run: !attempt.never_ran,
        }
    }
}
