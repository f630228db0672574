//! Submission of messages by clients. A client gets the response that its message is accepted only
//! after the journal has recorded the message.

use super::Driver;
use super::class_terms::AcceptanceTerms;
use super::ended_ids::MessageEnd;
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

/// Returns the number that stands for a subject in the decision module. If two subjects hash to the
/// same number, their messages are merely delivered one at a time.
pub(super) fn key_of(subject: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    subject.hash(&mut hasher);
    hasher.finish()
}

/// Returns the delivery guarantee that applied to a message when it was accepted.
pub(super) fn guarantee_of(terms: &ClassTerms, origin: &MessageOrigin) -> DeliveryGuarantee {
    let subject = origin.subject.as_deref().filter(|_| terms.ordered);
    DeliveryGuarantee::new(subject.map(key_of), terms.effect)
}

/// Returns the response to a repeated submission of a message that has ended. One that may have run is
/// not sent again, so its client gets no promise that it had no effect.
fn result_of(end: MessageEnd) -> SubmissionResult {
    match end {
        MessageEnd::Delivered => SubmissionResult::AlreadyDelivered,
        MessageEnd::MayHaveRun => SubmissionResult::Failed,
    }
}

/// Message first submitted in the current turn.
struct NewSubmission {
    submission: Submission,
    /// Time in microseconds at which the client's request began.
    received_at: Micros,
    /// Class and number of attempts that hold for the message.
    terms: AcceptanceTerms,
}

/// Submission in the current turn whose id belongs to a message that is already open.
struct RepeatedSubmission {
    message: MessageId,
    id: HeaderValue,
    reply: oneshot::Sender<SubmissionResult>,
}

/// Clients that get their response at the end of the turn.
#[derive(Default)]
pub(super) struct WaitingClients {
    new: BTreeMap<MessageId, NewSubmission>,
    /// Repeated submissions wait too, because the first one may belong to this turn and not be in
    /// the journal yet.
    repeated: Vec<RepeatedSubmission>,
}

impl Driver {
    /// Handles a submission. Failed sends of a response are ignored: the client has disconnected,
    /// and the guard of its request reports that.
    pub(super) fn receive_submission(&mut self, submission: Submission) {
        if submission.has_client_left() {
            return message_log::log_event(&submission.id, &MessageEvent::ClientLeftEarly);
        }
        if let Some(message) = self.messages.open_message(&submission.id) {
            if let Some(held) = self.messages.get_mut(message) {
                held.clients += 1;
            }
            self.clients.repeated.push(RepeatedSubmission {
                message,
                id: submission.id,
                reply: submission.reply,
            });
        } else if let Some(end) = self.messages.remembered_end(&submission.id) {
            let _ = submission.reply.send(result_of(end));
        } else {
            self.add_submission(submission);
        }
    }

    fn add_submission(&mut self, submission: Submission) {
        let message = self.messages.take_number();
        let received_at = self.clock.at(submission.received_at);
        let time_left = received_at + submission.time_limit - self.clock.at(Instant::now());
        let terms = self.acceptance_terms(&submission, received_at);
        let tenant = submission.tenant.as_deref();
        self.events.push(Event::Accepted(NewMessage {
            key: submission.subject.as_deref().map(key_of),
            tenant: tenant.map(|name| position(&self.names.tenants, name)),
            resubmitted: submission.resubmitted,
            previous_sender_failed: submission.previous_sender_failed,
            max_attempts: Some(terms.max_attempts),
            ..NewMessage::new(message, terms.class, submission.destination, time_left)
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
            terms,
        };
        self.clients.new.insert(message, new);
    }

    /// Handles a client that disconnected before its response. Abandons the message if every client
    /// that submitted it has disconnected before its response.
    pub(super) fn client_disconnected(&mut self, client: &DepartedClient) {
        let DepartedClient { id } = client;
        let Some(message) = self.messages.open_message(id) else {
            return;
        };
        let Some(held) = self.messages.get_mut(message) else {
            return;
        };
        held.clients = held.clients.saturating_sub(1);
        if held.clients == 0 {
            message_log::log_event(id, &MessageEvent::ClientLeft);
            if self.lifecycle.may_have_run(message) {
                self.messages.remember_end(message, MessageEnd::MayHaveRun);
            }
            self.events.push(Event::MessageAbandoned(message));
            self.complete(message, EndProof::of_departed_client(client));
        }
    }

    /// Responds to the clients of the turn. A message that the decision module keeps is accepted
    /// once the journal has it; a message that it rejects or fails in the same turn was never
    /// accepted.
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
            return; // the message's last client has disconnected
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
        message_log::log_event(&new.submission.id, &MessageEvent::Answered(result));
        if result != SubmissionResult::Accepted {
            self.messages.close(message);
            if result == SubmissionResult::NotStored {
                self.events.push(Event::MessageAbandoned(message));
            }
        }
        // the send fails only if the client has disconnected, which its request's guard reports
        let _ = new.submission.reply.send(result);
    }

    fn answer_repeated(&mut self, repeated: RepeatedSubmission) {
        let result = if self.messages.is_open(repeated.message) {
            SubmissionResult::Accepted
        } else {
            let end = self.messages.remembered_end(&repeated.id);
            end.map_or(SubmissionResult::Rejected { retry_after: None }, result_of)
        };
        let _ = repeated.reply.send(result);
    }

    /// Records a message in the journal and accepts it.
    fn accept(&mut self, message: MessageId, new: &NewSubmission) -> SubmissionResult {
        let submission = &new.submission;
        // class positions also hold for messages from a predecessor, so the lookup is not expected
        // to fail
        let Some(class) = self.settings.classes.get(new.terms.class) else {
            return SubmissionResult::NotStored;
        };
        let terms = ClassTerms::of(class, new.terms.max_attempts);
        let accepted = AcceptedMessage {
            id: header_text(&submission.id),
            key: submission.key.as_ref().map(header_text),
            class: class.name.clone(),
            destination: submission.destination,
            received_at: new.received_at,
            deadline: new.received_at + submission.time_limit,
            body: submission.body.clone(),
        };
        let origin = MessageOrigin {
            subject: submission.subject.clone(),
            tenant: submission.tenant.clone(),
        };
        let guarantee = guarantee_of(&terms, &origin);
        if !self.has_room_for(&accepted) {
            self.memory.log_refusal();
            return SubmissionResult::NotStored;
        }
        if !self.journal.accept(message, accepted, origin, terms) {
            return SubmissionResult::NotStored;
        }
        self.lifecycle.accept(message, guarantee);
        SubmissionResult::Accepted
    }
}
