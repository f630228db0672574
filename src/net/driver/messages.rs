//! The messages that the driver holds, with their attempts.

use crate::net::calls::Item;
use hyper::header::HeaderValue;
use message_sender::{EndpointId, MessageId, Micros};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Ids of delivered messages that are remembered, for clients whose request crossed a closed connection.
const MAX_DELIVERED_IDS: usize = 4096;
/// The call of an attempt that has none.
pub(super) const NO_CALL: u64 = u64::MAX;

/// One attempt to deliver a message.
#[derive(Debug, Clone)]
pub(super) struct Attempt {
    pub endpoint: EndpointId,
    /// Module time.
    pub sent_at: Micros,
    /// Its call; [`NO_CALL`] for one of an earlier process.
    pub call: u64,
    /// The message's position in the call.
    pub item: usize,
    /// It has no outcome yet.
    pub in_flight: bool,
    /// Its position in the journal; none where it was not written down, so that it never left.
    pub record: Option<usize>,
}

/// A message that is not complete, or has attempts in flight.
pub(super) struct Message {
    /// What calls carry.
    pub item: Item,
    /// It is neither delivered nor ended undelivered.
    pub open: bool,
    /// Clients that have the answer that it is accepted, or will get it.
    pub clients: usize,
    /// All attempts, those of earlier processes included.
    pub attempts: Vec<Attempt>,
}

impl Message {
    /// A message of one client, without attempts.
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

/// All messages that the driver holds.
#[derive(Default)]
pub(super) struct Messages {
    by_number: BTreeMap<MessageId, Message>,
    /// Open messages by the clients' ids.
    open_by_id: HashMap<HeaderValue, MessageId>,
    next_number: u64,
    attempts_in_flight: usize,
    /// Ids of messages that were delivered last.
    delivered: VecDeque<HeaderValue>,
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

    /// The open message that a client gave this id.
    pub fn open_message(&self, id: &HeaderValue) -> Option<MessageId> {
        self.open_by_id.get(id).copied()
    }

    pub fn open_count(&self) -> usize {
        self.open_by_id.len()
    }

    pub fn is_open(&self, message: MessageId) -> bool {
        self.get(message).is_some_and(|message| message.open)
    }

    /// The number of the next new message.
    pub fn next_number(&self) -> u64 {
        self.next_number
    }

    pub fn set_next_number(&mut self, next_number: u64) {
        self.next_number = next_number;
    }

    /// A number that no message has had.
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

    /// Marks the message as ended; false if it was.
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

    /// Forgets a message that has ended and has no attempt in flight.
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

    /// Attempts of all messages that have no outcome yet.
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts_in_flight
    }

    /// Adds an attempt that begins now.
    pub fn begin_attempt(&mut self, number: MessageId, endpoint: EndpointId, now: Micros) {
        let Some(message) = self.by_number.get_mut(&number) else {
            return;
        };
        message.attempts.push(Attempt {
            endpoint,
            sent_at: now,
            call: NO_CALL,
            item: 0,
            in_flight: true,
            record: None,
        });
        self.attempts_in_flight += 1;
    }

    /// Marks an attempt as no longer in flight, and returns it as it was; none if it was not in flight.
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

    /// The endpoints that some message was sent to.
    pub fn attempted_endpoints(&self) -> impl Iterator<Item = EndpointId> {
        let attempts = self.by_number.values().flat_map(|held| &held.attempts);
        attempts.map(|attempt| attempt.endpoint)
    }

    /// Remembers the id of a message that was delivered.
    pub fn remember_delivered(&mut self, message: MessageId) {
        let Some(held) = self.by_number.get(&message) else {
            return;
        };
        if self.delivered.len() >= MAX_DELIVERED_IDS {
            self.delivered.pop_front();
        }
        self.delivered.push_back(held.item.id.clone());
    }

    pub fn was_delivered(&self, id: &HeaderValue) -> bool {
        self.delivered.contains(id)
    }

    /// Ids of delivered messages, the oldest first.
    pub fn delivered_ids(&self) -> impl Iterator<Item = &HeaderValue> {
        self.delivered.iter()
    }

    pub fn set_delivered_ids(&mut self, ids: impl Iterator<Item = HeaderValue>) {
        self.delivered = ids.collect();
    }
}
