//! Calls that have not ended, those of a predecessor included, and how a turn's sends become calls.

use super::Driver;
use super::attempts::NOT_SENT;
use crate::net::calls::{Call, InFlightCall};
use crate::net::events::MAX_BODY_BYTES;
use message_sender::decisions::InFlightAttempt;
use message_sender::{EndpointId, MessageId, Micros};
use std::collections::BTreeMap;
use tokio::sync::mpsc;

/// A turn's sends to one endpoint that travel in one call.
pub(super) struct Bundle {
    endpoint: EndpointId,
    /// The latest time at which an answer counts.
    expires: Micros,
    /// The call must not begin later.
    start_by: Option<Micros>,
    /// The message and attempt of each position.
    attempts: Vec<(MessageId, usize)>,
    /// Bytes of all messages.
    size_bytes: usize,
}

/// One attempt that may begin.
pub(super) struct PermittedAttempt {
    pub attempt: InFlightAttempt,
    pub expires: Micros,
    pub start_by: Option<Micros>,
    /// Bytes of the message in a call.
    pub size_bytes: usize,
}

/// Adds a send to a bundle that has room, or to a new one.
pub(super) fn add_to_bundle(
    bundles: &mut Vec<Bundle>,
    permitted: PermittedAttempt,
    max_messages: usize,
) {
    let InFlightAttempt {
        message,
        number,
        endpoint,
    } = permitted.attempt;
    let has_room = |bundle: &&mut Bundle| {
        bundle.endpoint == endpoint
            && bundle.attempts.len() < max_messages
            && bundle.size_bytes + permitted.size_bytes <= MAX_BODY_BYTES
    };
    match bundles.iter_mut().find(has_room) {
        Some(bundle) => {
            bundle.attempts.push((message, number));
            bundle.expires = bundle.expires.max(permitted.expires);
            let starts = [bundle.start_by, permitted.start_by];
            bundle.start_by = starts.into_iter().flatten().min();
            bundle.size_bytes += permitted.size_bytes;
        }
        None => bundles.push(Bundle {
            endpoint,
            expires: permitted.expires,
            start_by: permitted.start_by,
            attempts: vec![(message, number)],
            size_bytes: permitted.size_bytes,
        }),
    }
}

/// Calls that have not ended, by number.
#[derive(Default)]
pub(super) struct CallsInFlight {
    calls: BTreeMap<u64, InFlightCall>,
    next_number: u64,
}

impl CallsInFlight {
    pub fn get(&self, call: u64) -> Option<&InFlightCall> {
        self.calls.get(&call)
    }

    pub fn len(&self) -> usize {
        self.calls.len()
    }

    pub fn iter(&self) -> impl Iterator<Item = (u64, &InFlightCall)> {
        self.calls.iter().map(|(&number, call)| (number, call))
    }

    pub fn insert(&mut self, number: u64, call: InFlightCall) {
        self.calls.insert(number, call);
    }

    /// The message and attempt at a position of a call.
    pub fn attempt_at(&self, call: u64, item: usize) -> Option<(MessageId, usize)> {
        self.calls.get(&call)?.items.get(item).copied()
    }

    /// The number of the next new call.
    pub fn next_number(&self) -> u64 {
        self.next_number
    }

    pub fn set_next_number(&mut self, next_number: u64) {
        self.next_number = next_number;
    }

    fn take_number(&mut self) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        number
    }

    /// One message of a call has ended. Returns the call if that was the last.
    pub fn end_item(&mut self, number: u64) -> Option<InFlightCall> {
        let call = self.calls.get_mut(&number)?;
        call.left -= 1;
        if call.left > 0 {
            return None;
        }
        self.calls.remove(&number)
    }

    /// Calls that a predecessor has in flight.
    pub fn of_predecessor(&self) -> impl Iterator<Item = (u64, &InFlightCall)> {
        self.iter().filter(|(_, call)| call.cancels.is_none())
    }

    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }
}

impl Driver {
    /// Starts the call of a bundle.
    pub(super) fn start_call(&mut self, bundle: Bundle) {
        let number = self.calls_in_flight.take_number();
        let Some(target) = self.endpoints.address_of(bundle.endpoint) else {
            return self.abandon_bundle(bundle);
        };
        let mut items = Vec::with_capacity(bundle.attempts.len());
        for (position, &(message, attempt)) in bundle.attempts.iter().enumerate() {
            // an attempt that is in flight keeps its message
            let Some(held) = self.messages.get_mut(message) else {
                continue;
            };
            items.push(held.item.clone());
            if let Some(attempt) = held.attempts.get_mut(attempt) {
                attempt.call = number;
                attempt.item = position;
            }
        }
        let (cancels, cancelled) = mpsc::unbounded_channel();
        let in_flight = InFlightCall {
            cancels: Some(cancels),
            left: bundle.attempts.len(),
            items: bundle.attempts,
        };
        self.calls_in_flight.insert(number, in_flight);
        let call = Call {
            number,
            target,
            items,
            expires: self.clock.instant(bundle.expires),
            start_by: bundle.start_by.map(|by| self.clock.instant(by)),
        };
        self.calls.start(call, cancelled);
    }

    /// The endpoint has no address: nothing of the bundle is sent.
    fn abandon_bundle(&mut self, bundle: Bundle) {
        for &(message, number) in &bundle.attempts {
            self.lifecycle
                .end_attempt(message, NOT_SENT, Micros::MIN, 0);
            self.attempt_not_sent(InFlightAttempt {
                message,
                number,
                endpoint: bundle.endpoint,
            });
        }
    }

    /// One message of a call has its outcome.
    pub(super) fn end_call_item(&mut self, number: u64) {
        let ended = self.calls_in_flight.end_item(number);
        if ended.is_some_and(|call| call.cancels.is_none()) {
            self.count_calls_of_predecessor();
        }
    }

    /// Connections of a predecessor's calls count among this process's.
    pub(super) fn count_calls_of_predecessor(&self) {
        let count = self.calls_in_flight.of_predecessor().count();
        self.calls.connections().set_predecessor_connections(count);
    }
}
