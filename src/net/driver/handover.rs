//! Predecessor's side of a handover: all state is sent to the successor, which then is the only
//! owner of the messages.

use super::Driver;
use super::draining_predecessor::DrainingPredecessor;
use super::ended_ids::MessageEnd;
use super::endpoints::EndpointRecord;
use super::messages::{Attempt, Message};
use crate::net;
use crate::net::calls::InFlightCall;
use crate::net::handover::{
    AttemptState, CallItemState, CallState, EndpointState, HandoverState, Link, LinkError,
    MAY_HAVE_RUN_MARK, MessageState, SuccessorRequest, header_text,
};
use hyper::header::HeaderValue;
use message_sender::{EndpointId, MessageId};

/// Next step of this process after a successor's request to take over.
pub(super) enum AfterRequest {
    /// This process still owns the messages and continues.
    Continue,
    /// The successor owns the messages; this process ends after its last call and client
    /// connection.
    Drain(Link),
    /// This process ends at once. Another process owns the messages or recovers them from the
    /// journal.
    Exit,
}

impl Driver {
    /// Hands all state over to the successor. No turn runs while the state is sent, so the
    /// state can't change.
    pub(super) async fn hand_over(&mut self, request: SuccessorRequest) -> AfterRequest {
        let mut link = match request {
            SuccessorRequest::SameVersion(link) => link,
            SuccessorRequest::OtherVersion => {
                net::log(format_args!(
                    "handover: the successor reads another state version; this process exits"
                ));
                return AfterRequest::Exit;
            }
        };
        if self.predecessor.is_some() {
            // this process is still connected to its own predecessor; the successor asks again
            // later
            return AfterRequest::Continue;
        }
        self.take_turns();
        if self.journal.has_pending() {
            // the journal lacks records that are not written yet; the successor asks again later
            return AfterRequest::Continue;
        }
        let state = match self.handover_state() {
            Ok(state) => state,
            Err(error) => {
                net::log(format_args!("handover: not handed over: {error}"));
                return AfterRequest::Continue;
            }
        };
        let sent = match self.process.lock.release() {
            Ok(()) => link.send_state(state).await,
            Err(error) => Err(error.into()),
        };
        match sent {
            Ok(()) => {
                let messages = self.messages.open_count();
                let calls = self.calls_in_flight.len();
                net::log(format_args!(
                    "handover: handed over {messages} messages, {calls} calls are in flight"
                ));
                AfterRequest::Drain(link)
            }
            Err(error) => self.resume_after(error).await,
        }
    }

    /// Continues after a failed handover, if this process gets the lock of the state folder back.
    async fn resume_after(&mut self, error: LinkError) -> AfterRequest {
        if !self.process.lock.try_acquire().unwrap_or(false) {
            net::log(format_args!(
                "handover: another process owns the journal, this process ends"
            ));
            return AfterRequest::Exit;
        }
        net::log(format_args!(
            "handover: not taken over, this process continues: {error}"
        ));
        match self.journal.reopen().await {
            Ok(()) => AfterRequest::Continue,
            Err(error) => {
                net::log(format_args!(
                    "handover: the journal can't be reopened; this process exits: {error}"
                ));
                AfterRequest::Exit
            }
        }
    }

    fn handover_state(&self) -> Result<HandoverState, postcard::Error> {
        // changes held back by a freeze are not handed over; version 0 makes the successor request
        // the full list
        let list_version = if self.has_held_back_entries() {
            0
        } else {
            self.list.version
        };
        Ok(HandoverState {
            sender: postcard::to_allocvec(&self.sender)?,
            names: self.names.clone(),
            endpoints: self.endpoints.iter().map(endpoint_state).collect(),
            next_endpoint: self.endpoints.next_number(),
            messages: self.messages.iter().map(message_state).collect(),
            next_message: self.messages.next_number(),
            calls: self.calls_in_flight.iter().map(call_state).collect(),
            next_call: self.calls_in_flight.next_number(),
            ended_ids: self.messages.remembered_ends().map(ended_text).collect(),
            list_version,
            timer: self.timer,
            client_connections: self.process.client_slots.in_use(),
        })
    }

    /// Converts this driver into one that only drains its calls and clients, after the successor
    /// has taken over.
    pub(super) fn into_draining_predecessor(self, link: Link) -> DrainingPredecessor {
        self.process.draining.set(true);
        self.process.handed_over.send_replace(true);
        self.calls.connections().shut_down();
        let writer = link.listen(self.process.inputs);
        let slots = self.process.client_slots;
        DrainingPredecessor::new(writer, self.clock, self.calls_in_flight, slots)
    }
}

/// Returns the text that stands for a remembered id and the end of its message.
fn ended_text((id, end): (&HeaderValue, MessageEnd)) -> String {
    let id = header_text(id);
    match end {
        MessageEnd::Delivered => id,
        MessageEnd::MayHaveRun => format!("{MAY_HAVE_RUN_MARK}{id}"),
    }
}

fn endpoint_state((endpoint, record): (EndpointId, &EndpointRecord)) -> EndpointState {
    EndpointState {
        endpoint: endpoint.0,
        uid: record.uid.clone(),
        address: record.address,
        kind: record.kind,
        destination: record.destination,
        listed: record.listed,
        serving: record.serving,
        zone: record.zone.clone(),
        weight: record.weight,
    }
}

fn message_state((number, message): (MessageId, &Message)) -> MessageState {
    MessageState {
        number: number.0,
        id: header_text(&message.item.id),
        key: message.item.key.as_ref().map(header_text),
        body: message.item.body.to_vec(),
        open: message.open,
        clients: message.clients,
        attempts: message.attempts.iter().map(attempt_state).collect(),
    }
}

fn attempt_state(attempt: &Attempt) -> AttemptState {
    AttemptState {
        endpoint: attempt.endpoint.0,
        sent_at: attempt.sent_at,
        call: attempt.call,
        item: attempt.position,
        in_flight: attempt.in_flight,
        journal_position: attempt.journal_position,
    }
}

fn call_state((number, call): (u64, &InFlightCall)) -> CallState {
    let item = |&(message, attempt): &(MessageId, usize)| CallItemState {
        message: message.0,
        attempt,
    };
    CallState {
        number,
        items: call.items.iter().map(item).collect(),
        pending_items: call.unfinished_messages,
    }
}
