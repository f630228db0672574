//! Calls in flight, including those of a predecessor, and the bundling of a turn's attempts into
//! calls.

use super::Driver;
use super::attempts::NOT_SENT;
use crate::net::calls::{Call, InFlightCall};
use crate::net::events::MAX_BODY_BYTES;
use message_sender::decisions::InFlightAttempt;
use message_sender::{EndpointId, MessageId, Micros};
use std::collections::BTreeMap;
use tokio::sync::mpsc;

/// Attempts of one turn at the same endpoint that are sent in one call.
pub(super) struct Bundle {
    endpoint: EndpointId,
    /// Time in microseconds at which the call is abandoned: the latest `expires` among its
    /// attempts.
    expires: Micros,
    /// Time in microseconds after which the call must not begin: the earliest `start_by` among its
    /// attempts; `None` if no attempt has one.
    start_by: Option<Micros>,
    /// Message and attempt number at each position of the call.
    attempts: Vec<(MessageId, usize)>,
    /// Total size of the messages in bytes.
    size_bytes: usize,
}

/// Attempt that is permitted and recorded, and not yet part of a call.
pub(super) struct PermittedAttempt {
    pub attempt: InFlightAttempt,
    /// Time in microseconds until which the attempt waits for an answer.
    pub expires: Micros,
    /// Time in microseconds after which the call must not begin; `None` without such a limit.
    pub start_by: Option<Micros>,
    /// Size in bytes that the message takes in a bulk call.
    pub size_bytes: usize,
}

/// Adds an attempt to a bundle for its endpoint that has room, or to a new bundle.
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

/// Calls in flight, by call number.
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

    /// Returns the message and attempt number at a position of a call.
    pub fn attempt_at(&self, call: u64, position: usize) -> Option<(MessageId, usize)> {
        self.calls.get(&call)?.items.get(position).copied()
    }

    /// Returns the number that the next new call will get.
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

    /// Marks one message of a call as ended. Removes and returns the call if all its messages have
    /// ended.
    pub fn end_message(&mut self, number: u64) -> Option<InFlightCall> {
        let call = self.calls.get_mut(&number)?;
        call.unfinished_messages -= 1;
        if call.unfinished_messages > 0 {
            return None;
        }
        self.calls.remove(&number)
    }

    /// Returns the calls that the predecessor made and that are still in flight.
    pub fn of_predecessor(&self) -> impl Iterator<Item = (u64, &InFlightCall)> {
        self.iter().filter(|(_, call)| call.cancellations.is_none())
    }

    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }
}

impl Driver {
    /// Starts one call with all messages of a bundle.
    pub(super) fn start_call(&mut self, bundle: Bundle) {
        let number = self.calls_in_flight.take_number();
        let Some(target) = self.endpoints.address_of(bundle.endpoint) else {
            return self.abandon_bundle(bundle);
        };
        let mut items = Vec::with_capacity(bundle.attempts.len());
        for (position, &(message, attempt)) in bundle.attempts.iter().enumerate() {
            // never missing: a message is kept while one of its attempts is in flight
            let Some(held) = self.messages.get_mut(message) else {
                continue;
            };
            items.push(held.item.clone());
            if let Some(attempt) = held.attempts.get_mut(attempt) {
                attempt.call = number;
                attempt.position = position;
            }
        }
        let (cancellations, cancelled) = mpsc::unbounded_channel();
        let in_flight = InFlightCall {
            cancellations: Some(cancellations),
            unfinished_messages: bundle.attempts.len(),
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

    /// Ends the attempts of a bundle as not sent, because its endpoint has no address.
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

    /// Marks one message of a call as ended. If that ends a call of the predecessor, reports to the
    /// connection pool how many calls the predecessor still has in flight.
    pub(super) fn end_message_of_call(&mut self, number: u64) {
        let ended = self.calls_in_flight.end_message(number);
        if ended.is_some_and(|call| call.cancellations.is_none()) {
            self.report_predecessor_calls();
        }
    }

    /// Reports the number of the predecessor's calls to the connection pool, which counts their
    /// connections against this process's limit.
    pub(super) fn report_predecessor_calls(&self) {
        let count = self.calls_in_flight.of_predecessor().count();
        self.calls.connections().set_predecessor_connections(count);
    }
}
