//! Successor's side of a handover: restores the state that the predecessor sent, and handles what
//! the predecessor reports and forwards afterwards.

use super::Driver;
use super::ended_ids::MessageEnd;
use super::endpoints::EndpointRecord;
use super::messages::{Attempt, Message};
use crate::net;
use crate::net::calls::InFlightCall;
use crate::net::end_proof::DepartedClient;
use crate::net::events::{
    AdminResult, AttemptEnd, ForwardedSubmission, HandoverMessage, Submission, SubmissionResult,
};
use crate::net::handover::{
    AttemptState, CallState, EndpointState, HandoverState, LOST_CALL_OUTCOME, LinkWriter,
    MAY_HAVE_RUN_MARK, MessageState,
};
use hyper::header::HeaderValue;
use message_sender::{EndpointId, MessageId};
use tokio::sync::{mpsc, oneshot};

/// Link to the predecessor process, which still has calls in flight or clients connected.
pub(super) struct Predecessor {
    messages: mpsc::UnboundedSender<HandoverMessage>,
    /// Number of client connections that the predecessor held at the handover.
    client_connections: usize,
}

impl Predecessor {
    pub fn send(&self, message: HandoverMessage) {
        // the send fails only if the predecessor has ended, which the link reports separately
        let _ = self.messages.send(message);
    }
}

/// Returns the id and the end of a remembered message from their text in the handover.
fn remembered_end(text: &str) -> Option<(HeaderValue, MessageEnd)> {
    let (id, end) = match text.strip_prefix(MAY_HAVE_RUN_MARK) {
        Some(id) => (id, MessageEnd::MayHaveRun),
        None => (text, MessageEnd::Delivered),
    };
    Some((HeaderValue::from_str(id).ok()?, end))
}

impl Driver {
    /// Restores the state that the predecessor handed over, without the decision module. The
    /// predecessor's calls are still in flight.
    pub(super) fn take_over(&mut self, state: HandoverState) {
        self.names = state.names;
        self.list.version = state.list_version;
        self.timer = state.timer;
        self.endpoints.set_next_number(state.next_endpoint);
        self.messages.set_next_number(state.next_message);
        self.calls_in_flight.set_next_number(state.next_call);
        for endpoint in state.endpoints {
            self.take_over_endpoint(endpoint);
        }
        for message in state.messages {
            self.take_over_message(message);
        }
        for call in state.calls {
            self.take_over_call(call);
        }
        self.report_predecessor_calls();
        let ended = state.ended_ids.iter();
        self.messages
            .set_remembered_ends(ended.filter_map(|text| remembered_end(text)));
        if self.endpoints.is_any_listed() {
            self.ready.send_replace(true);
        }
    }

    fn take_over_endpoint(&mut self, state: EndpointState) {
        let endpoint = EndpointId(state.endpoint);
        let record = EndpointRecord {
            uid: state.uid,
            address: state.address,
            kind: state.kind,
            destination: state.destination,
            listed: state.listed,
            serving: state.serving,
            zone: state.zone,
            weight: state.weight,
            unneeded_since: None,
        };
        self.endpoints.insert(endpoint, record);
        self.update_pool(endpoint);
    }

    fn take_over_message(&mut self, state: MessageState) {
        let Some(item) = state.item() else {
            return;
        };
        let message = Message {
            item,
            open: state.open,
            clients: state.clients,
            attempts: state.attempts.into_iter().map(attempt_of).collect(),
        };
        self.messages.insert(MessageId(state.number), message);
    }

    fn take_over_call(&mut self, state: CallState) {
        let items = state.items.into_iter();
        let call = InFlightCall {
            cancellations: None,
            items: items
                .map(|item| (MessageId(item.message), item.attempt))
                .collect(),
            unfinished_messages: state.pending_items,
        };
        self.calls_in_flight.insert(state.number, call);
    }

    /// Sets the link to the predecessor and the number of client connections that it still holds.
    pub fn set_predecessor(&mut self, mut link: LinkWriter, client_connections: usize) {
        let (messages, mut queue) = mpsc::unbounded_channel();
        tokio::task::spawn_local(async move {
            while let Some(message) = queue.recv().await {
                if link.send_message(message).await.is_err() {
                    return; // the reading side of the link reports that it is lost
                }
            }
        });
        self.predecessor = Some(Predecessor {
            messages,
            client_connections,
        });
    }

    /// Handles a message from the predecessor.
    pub(super) fn receive_from_predecessor(&mut self, message: HandoverMessage) {
        let Some(predecessor) = &self.predecessor else {
            return;
        };
        let replies = predecessor.messages.clone();
        match message {
            HandoverMessage::AttemptEnded(end) => self.attempt_ended(end),
            HandoverMessage::ClientDisconnected(id) => {
                if let Ok(id) = HeaderValue::from_str(&id) {
                    self.client_disconnected(&DepartedClient { id });
                }
            }
            HandoverMessage::Submitted { number, submission } => {
                self.receive_forwarded(number, *submission, replies);
            }
            HandoverMessage::AdminCommand {
                number,
                uid,
                disabled,
            } => {
                let (reply, result) = oneshot::channel();
                self.set_disabled(uid, disabled, reply);
                tokio::task::spawn_local(async move {
                    let result = result.await.unwrap_or(AdminResult::NotWritten);
                    // the send fails only if the predecessor has ended, and its operator connection
                    // with it
                    let _ = replies.send(HandoverMessage::AdminResult { number, result });
                });
            }
            // only a successor sends these
            HandoverMessage::CancelAttempt { .. }
            | HandoverMessage::Answered { .. }
            | HandoverMessage::AdminResult { .. } => {}
        }
    }

    fn receive_forwarded(
        &mut self,
        number: u64,
        forwarded: ForwardedSubmission,
        replies: mpsc::UnboundedSender<HandoverMessage>,
    ) {
        let (reply, result) = oneshot::channel();
        if let Some(submission) = self.submission_of(forwarded, reply) {
            self.receive_submission(submission);
        }
        tokio::task::spawn_local(async move {
            let result = result.await.unwrap_or(SubmissionResult::NotStored);
            // the send fails only if the predecessor has ended, and its client connections with it
            let _ = replies.send(HandoverMessage::Answered { number, result });
        });
    }

    fn submission_of(
        &self,
        forwarded: ForwardedSubmission,
        reply: oneshot::Sender<SubmissionResult>,
    ) -> Option<Submission> {
        let key = forwarded.key.as_deref().map(HeaderValue::from_str);
        Some(Submission {
            id: HeaderValue::from_str(&forwarded.id).ok()?,
            key: key.transpose().ok()?,
            subject: forwarded.subject,
            tenant: forwarded.tenant,
            class: forwarded.class,
            destination: forwarded.destination,
            time_limit: forwarded.time_limit,
            received_at: self.clock.instant(forwarded.received_at),
            resubmitted: forwarded.resubmitted,
            previous_sender_failed: forwarded.previous_sender_failed,
            body: forwarded.body.into(),
            client: None,
            memory: None,
            reply,
        })
    }

    /// Handles the end of the predecessor. Its remaining calls can no longer be reported, so their
    /// attempts end as lost.
    pub(super) fn predecessor_lost(&mut self) {
        let Some(predecessor) = self.predecessor.take() else {
            return;
        };
        self.process
            .client_slots
            .add(predecessor.client_connections);
        let lost = self.attempts_of_predecessor();
        net::log(format_args!(
            "handover: the predecessor has ended, {} calls with it",
            lost.len()
        ));
        for (call, position) in lost {
            self.attempt_ended(AttemptEnd {
                call,
                position,
                outcome: LOST_CALL_OUTCOME,
                proof: None,
                load_report: Vec::new(),
                retry_after: None,
            });
        }
    }

    /// Returns the call and position of each attempt that the predecessor has in flight. Other
    /// messages of the same call may have ended already.
    fn attempts_of_predecessor(&self) -> Vec<(u64, usize)> {
        let mut attempts = Vec::new();
        for (number, call) in self.calls_in_flight.of_predecessor() {
            for (position, &(message, attempt)) in call.items.iter().enumerate() {
                if self.messages.is_in_flight(message, attempt) {
                    attempts.push((number, position));
                }
            }
        }
        attempts
    }
}

fn attempt_of(state: AttemptState) -> Attempt {
    Attempt {
        endpoint: EndpointId(state.endpoint),
        sent_at: state.sent_at,
        call: state.call,
        position: state.item,
        in_flight: state.in_flight,
        journal_position: state.journal_position,
    }
}
