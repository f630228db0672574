//! Messages that clients hand in. A client is answered only once the journal has its message.

use super::Driver;
use super::messages::Message;
use crate::net::calls::Item;
use crate::net::end_proof::{DepartedClient, EndProof};
use crate::net::events::{Submission, SubmissionResult};
use crate::net::handover::header_text;
use crate::net::journal::{AcceptedMessage, ClassTerms, MessageOrigin};
use crate::net::message_log::{self, MessageEvent};
use hyper::header::HeaderValue;
use message_sender::lifecycle::DeliveryGuarantee;
use message_sender::wire::position;
use message_sender::{Action, Event, MessageId, Micros, NewMessage};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The decision module's number for a subject. Two subjects with the same number only wait for one another.
pub(super) fn key_of(subject: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    subject.hash(&mut hasher);
    hasher.finish()
}

/// What was promised for a message when it was accepted.
pub(super) fn guarantee_of(terms: &ClassTerms, origin: &MessageOrigin) -> DeliveryGuarantee {
    let subject = origin.subject.as_deref().filter(|_| terms.ordered);
    DeliveryGuarantee::new(subject.map(key_of), terms.effect)
}

/// A message of this turn.
struct NewSubmission {
    submission: Submission,
    /// Module time.
    received_at: Micros,
}

/// A message of this turn whose id is that of an open one.
struct RepeatedSubmission {
    message: MessageId,
    id: HeaderValue,
    reply: oneshot::Sender<SubmissionResult>,
}

/// Clients that are answered at the end of the turn.
#[derive(Default)]
pub(super) struct WaitingClients {
    new: BTreeMap<MessageId, NewSubmission>,
    /// They must wait too: their message may be of this very turn, and not in the journal.
    repeated: Vec<RepeatedSubmission>,
}

impl Driver {
    /// A client hands a message in. A receiver that is gone is a client that left, which its guard reports.
    pub(super) fn receive_submission(&mut self, submission: Submission) {
        if let Some(message) = self.messages.open_message(&submission.id) {
            if let Some(pending) = self.messages.get_mut(message) {
                pending.clients += 1;
            }
            self.clients.repeated.push(RepeatedSubmission {
                message,
                id: submission.id,
                reply: submission.reply,
            });
        } else if self.messages.was_delivered(&submission.id) {
            let _ = submission.reply.send(SubmissionResult::AlreadyDelivered);
        } else {
            self.add_submission(submission);
        }
    }

    fn add_submission(&mut self, submission: Submission) {
        let message = self.messages.take_number();
        let received_at = self.clock.at(submission.received_at);
        let time_left = received_at + submission.time_limit - self.clock.at(Instant::now());
        let tenant = submission.tenant.as_deref();
        self.events.push(Event::Accepted(NewMessage {
            key: submission.subject.as_deref().map(key_of),
            tenant: tenant.map(|name| position(&self.names.tenants, name)),
            resubmitted: submission.again,
            orphan: submission.orphan,
            ..NewMessage::new(message, submission.class, submission.destination, time_left)
        }));
        let item = Item {
            id: submission.id.clone(),
            key: submission.key.clone(),
            body: submission.body.clone(),
        };
        self.messages.insert(message, Message::new(item));
        let new = NewSubmission {
            submission,
            received_at,
        };
        self.clients.new.insert(message, new);
    }

    /// A client left before it had its answer; the message is abandoned with its last client.
    pub(super) fn client_disconnected(&mut self, client: &DepartedClient) {
        let DepartedClient { id } = client;
        let Some(message) = self.messages.open_message(id) else {
            return;
        };
        let Some(pending) = self.messages.get_mut(message) else {
            return;
        };
        pending.clients = pending.clients.saturating_sub(1);
        if pending.clients == 0 {
            message_log::record(id, &MessageEvent::ClientLeft);
            self.events.push(Event::MessageAbandoned(message));
            self.complete(message, EndProof::of_departed_client(client));
        }
    }

    /// Accepts what the decision module keeps, once it is in the journal; what it ends at once was never accepted.
    pub(super) fn answer_clients(&mut self, actions: &[Action]) {
        for (message, new) in std::mem::take(&mut self.clients.new) {
            self.answer_new(message, new, actions);
        }
        for repeated in std::mem::take(&mut self.clients.repeated) {
            self.answer_repeated(repeated);
        }
    }

    fn answer_new(&mut self, message: MessageId, new: NewSubmission, actions: &[Action]) {
        if !self.messages.is_open(message) {
            return; // its client has left
        }
        let ended = actions.iter().find_map(|action| match action {
            Action::Reject {
                message: rejected,
                retry_after,
            } if *rejected == message => Some(SubmissionResult::Rejected {
                retry_after: *retry_after,
            }),
            Action::Fail(failed) if *failed == message => Some(SubmissionResult::Failed),
            _ => None,
        });
        let result = ended.unwrap_or_else(|| self.accept(message, &new));
        message_log::record(&new.submission.id, &MessageEvent::Answered(result));
        if result != SubmissionResult::Accepted {
            self.messages.close(message);
            if result == SubmissionResult::NotStored {
                self.events.push(Event::MessageAbandoned(message));
            }
        }
        // a client that is gone has said so by its guard
        let _ = new.submission.reply.send(result);
    }

    fn answer_repeated(&mut self, repeated: RepeatedSubmission) {
        let result = if self.messages.is_open(repeated.message) {
            SubmissionResult::Accepted
        } else if self.messages.was_delivered(&repeated.id) {
            SubmissionResult::AlreadyDelivered
        } else {
            SubmissionResult::Rejected { retry_after: None }
        };
        let _ = repeated.reply.send(result);
    }

    /// Writes a message down.
    fn accept(&mut self, message: MessageId, new: &NewSubmission) -> SubmissionResult {
        let submission = &new.submission;
        // what came from a predecessor has its class's position too
        let Some(class) = self.settings.classes.get(submission.class) else {
            return SubmissionResult::NotStored;
        };
        let terms = ClassTerms::of(class, self.settings.max_attempts);
        let accepted = AcceptedMessage {
            id: header_text(&submission.id),
            key: submission.key.as_ref().map(header_text),
            class: class.name.clone(),
            destination: submission.destination,
            accepted_at: new.received_at,
            deadline: new.received_at + submission.time_limit,
            body: submission.body.to_vec(),
        };
        let origin = MessageOrigin {
            subject: submission.subject.clone(),
            tenant: submission.tenant.clone(),
        };
        let guarantee = guarantee_of(&terms, &origin);
        if !self.journal.accept(message, accepted, origin, terms) {
            return SubmissionResult::NotStored;
        }
        self.lifecycle.accept(message, guarantee);
        SubmissionResult::Accepted
    }
}
