//! Messages that the driver holds, and their attempts.

use super::ended_ids::{EndedIds, MessageEnd};
use crate::net::calls::Item;
use hyper::header::HeaderValue;
use message_sender::{EndpointId, MessageId, Micros};
use std::collections::{BTreeMap, HashMap};

/// Call number of an attempt for which this process knows no call.
pub(super) const NO_CALL: u64 = u64::MAX;

/// One attempt to deliver a message.
#[derive(Debug, Clone)]
pub(super) struct Attempt {
    pub endpoint: EndpointId,
    /// Time in microseconds at which the attempt began.
    pub sent_at: Micros,
    /// Number of the call that carries the message; [`NO_CALL`] for attempts recovered from the
    /// journal.
    pub call: u64,
    /// Position of the message in the call.
    pub position: usize,
    /// True until the attempt has an outcome.
    pub in_flight: bool,
    /// Position of the attempt among the message's journal records; `None` if it was not recorded,
    /// and so never sent.
    pub journal_position: Option<usize>,
}

/// Message that is incomplete or has attempts in flight.
pub(super) struct Message {
    /// Id, idempotency key and body, as sent in calls.
    pub item: Item,
    /// True until the message is delivered or ends undelivered.
    pub open: bool,
    /// Number of clients that submitted this message and have not disconnected before their
    /// response.
    pub clients: usize,
    /// All attempts in order, including those of earlier processes.
    pub attempts: Vec<Attempt>,
}

impl Message {
    /// Creates an open message, submitted by one client and without attempts.
    pub fn new(item: Item) -> Self {
        Message {
            item,
            open: true,
            clients: 1,
            attempts: Vec::new(),
        }
    }

    fn is_done(&self) -> bool {
        !self.open && self.attempts.iter().all(|attempt| !attempt.in_flight)
    }
}

/// All messages that the driver holds, by message number.
#[derive(Default)]
pub(super) struct Messages {
    by_number: BTreeMap<MessageId, Message>,
    /// Numbers of the open messages, by the id that the client gave.
    open_by_id: HashMap<HeaderValue, MessageId>,
    next_number: u64,
    attempts_in_flight: usize,
    /// Ids of messages that have ended, and must not run again under the same id.
    ended: EndedIds,
}

impl Messages {
    pub fn get(&self, message: MessageId) -> Option<&Message> {
        self.by_number.get(&message)
    }

    pub fn get_mut(&mut self, message: MessageId) -> Option<&mut Message> {
        self.by_number.get_mut(&message)
    }

    pub fn iter(&self) -> impl Iterator<Item = (MessageId, &Message)> {
        self.by_number
            .iter()
            .map(|(&number, message)| (number, message))
    }

    /// Returns the number of the open message with this client id.
    pub fn open_message(&self, id: &HeaderValue) -> Option<MessageId> {
        self.open_by_id.get(id).copied()
    }

    pub fn open_count(&self) -> usize {
        self.open_by_id.len()
    }

    pub fn is_open(&self, message: MessageId) -> bool {
        self.get(message).is_some_and(|message| message.open)
    }

    /// Returns the number that the next new message will get.
    pub fn next_number(&self) -> u64 {
        self.next_number
    }

    pub fn set_next_number(&mut self, next_number: u64) {
        self.next_number = next_number;
    }

    /// Allocates a message number that was not used before.
    pub fn take_number(&mut self) -> MessageId {
        let number = MessageId(self.next_number);
        self.next_number += 1;
        number
    }

    pub fn insert(&mut self, number: MessageId, message: Message) {
        if message.open {
            self.open_by_id.insert(message.item.id.clone(), number);
        }
        let in_flight = message.attempts.iter().filter(|attempt| attempt.in_flight);
        self.attempts_in_flight += in_flight.count();
        self.by_number.insert(number, message);
    }

    /// Marks a message as ended. Returns false if it has already ended or is unknown.
    pub fn close(&mut self, number: MessageId) -> bool {
        let Some(message) = self.by_number.get_mut(&number).filter(|held| held.open) else {
            return false;
        };
        message.open = false;
        if self.open_by_id.get(&message.item.id) == Some(&number) {
            self.open_by_id.remove(&message.item.id);
        }
        self.forget_if_done(number);
        true
    }

    /// Removes a message if it has ended and none of its attempts is in flight.
    pub fn forget_if_done(&mut self, number: MessageId) {
        if self.get(number).is_some_and(Message::is_done) {
            self.by_number.remove(&number);
        }
    }

    pub fn attempt(&self, message: MessageId, attempt: usize) -> Option<&Attempt> {
        self.get(message)?.attempts.get(attempt)
    }

    pub fn attempt_mut(&mut self, message: MessageId, attempt: usize) -> Option<&mut Attempt> {
        self.get_mut(message)?.attempts.get_mut(attempt)
    }

    pub fn is_in_flight(&self, message: MessageId, attempt: usize) -> bool {
        let attempt = self.attempt(message, attempt);
        attempt.is_some_and(|attempt| attempt.in_flight)
    }

    /// Returns the number of attempts in flight, over all messages.
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts_in_flight
    }

    /// Adds an attempt to a message, in flight since `now`.
    pub fn begin_attempt(&mut self, number: MessageId, endpoint: EndpointId, now: Micros) {
        let Some(message) = self.by_number.get_mut(&number) else {
            return;
        };
        message.attempts.push(Attempt {
            endpoint,
            sent_at: now,
            call: NO_CALL,
            position: 0,
            in_flight: true,
            journal_position: None,
        });
        self.attempts_in_flight += 1;
    }

    /// Marks an attempt as no longer in flight. Returns its state from before, or `None` if it was
    /// not in flight.
    pub fn end_attempt(&mut self, message: MessageId, attempt: usize) -> Option<Attempt> {
        let attempt = self.attempt_mut(message, attempt)?;
        if !attempt.in_flight {
            return None;
        }
        let before = attempt.clone();
        attempt.in_flight = false;
        self.attempts_in_flight -= 1;
        Some(before)
    }

    /// Returns the endpoints of all attempts; an endpoint may occur several times.
    pub fn attempted_endpoints(&self) -> impl Iterator<Item = EndpointId> {
        let attempts = self.by_number.values().flat_map(|held| &held.attempts);
        attempts.map(|attempt| attempt.endpoint)
    }

    /// Remembers how a message ended, so that a repeated submission of its id is recognized.
    pub fn remember_end(&mut self, message: MessageId, end: MessageEnd) {
        if let Some(held) = self.by_number.get(&message) {
            self.ended.remember(held.item.id.clone(), end);
        }
    }

    /// Returns how the message with this client id has ended, if that is remembered.
    pub fn remembered_end(&self, id: &HeaderValue) -> Option<MessageEnd> {
        self.ended.get(id)
    }

    /// Returns the remembered ids with the ends of their messages, oldest first.
    pub fn remembered_ends(&self) -> impl Iterator<Item = (&HeaderValue, MessageEnd)> {
        self.ended.iter()
    }

    /// Sets the remembered ids, oldest first.
    pub fn set_remembered_ends(&mut self, ends: impl Iterator<Item = (HeaderValue, MessageEnd)>) {
        self.ended = EndedIds::default();
        for (id, end) in ends {
            self.ended.remember(id, end);
        }
    }
}
