//! The lifecycle of messages as the host has seen it, checked before the host acts.
//!
//! The decisions propose ([`crate::decisions`]); this module knows only what has happened, and says whether a call may begin
//! now: a second, independent answer to the rules on repeats and on the order of a key. A violation is a defect of the
//! decisions or of the host, never a state of a peer or of the machine; the host counts it and does not make the call.

use crate::interface::{Effect, MessageId, Micros, Outcome};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Keys in backoff that are kept before those whose backoff is over are forgotten.
const KEY_BACKOFFS_BEFORE_CLEANUP: usize = 1024;

/// Why a call may not begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum Violation {
    /// The message was not accepted, or has ended.
    #[error("its message is not open")]
    NotOpen,
    /// The message may have run, and must not run twice.
    #[error("its message may have run and must not be repeated")]
    Repeated,
    /// An earlier message of its key is not complete.
    #[error("an earlier message of its key is not complete")]
    OutOfOrder,
    /// A call of its key was given up and may still run.
    #[error("its key is in backoff after a call that was given up")]
    KeyBackoff,
}

/// How often and in which order a message may be delivered, as promised when it was accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DeliveryGuarantee {
    /// Its key, where its class keeps order.
    pub key: Option<u64>,
    /// It must not run twice.
    pub at_most_once: bool,
}

impl DeliveryGuarantee {
    /// That of a class with this effect.
    pub fn new(key: Option<u64>, effect: Effect) -> Self {
        DeliveryGuarantee {
            key,
            at_most_once: effect == Effect::NonIdempotent,
        }
    }
}

/// What has happened to one message.
#[derive(Debug)]
struct Message {
    guarantee: DeliveryGuarantee,
    open: bool,
    /// Nothing more is owed for it.
    complete: bool,
    /// Calls that have no outcome yet.
    in_flight: usize,
    /// A call that has ended may have run it.
    may_have_run: bool,
    /// A call with it has begun before.
    attempted: bool,
}

/// All messages that are accepted and not complete.
#[derive(Debug, Default)]
pub struct Lifecycle {
    messages: BTreeMap<MessageId, Message>,
    /// The messages of each key, in the order in which they were accepted.
    key_queues: BTreeMap<u64, BTreeSet<MessageId>>,
    /// Until when no first call with a message of a key may begin.
    key_backoffs: BTreeMap<u64, Micros>,
}

impl Lifecycle {
    /// A message is accepted. Numbers of messages rise in this order.
    pub fn accept(&mut self, id: MessageId, guarantee: DeliveryGuarantee) {
        self.restore(id, guarantee, 0, false);
    }

    /// A message is taken over from an earlier process, with so many calls in flight.
    pub fn restore(
        &mut self,
        id: MessageId,
        guarantee: DeliveryGuarantee,
        in_flight: usize,
        may_have_run: bool,
    ) {
        if let Some(key) = guarantee.key {
            self.key_queues.entry(key).or_default().insert(id);
        }
        let attempted = in_flight > 0 || may_have_run;
        let message = Message {
            guarantee,
            open: true,
            complete: false,
            in_flight,
            may_have_run,
            attempted,
        };
        self.messages.insert(id, message);
    }

    /// A call with the message is about to begin, and does unless that is a violation.
    ///
    /// # Errors
    /// The rule that the call would break.
    pub fn begin_attempt(&mut self, id: MessageId, now: Micros) -> Result<(), Violation> {
        let Some(message) = self.messages.get_mut(&id).filter(|message| message.open) else {
            return Err(Violation::NotOpen);
        };
        if message.guarantee.at_most_once && (message.in_flight > 0 || message.may_have_run) {
            return Err(Violation::Repeated);
        }
        if let Some(key) = message.guarantee.key {
            let first = self.key_queues.get(&key).and_then(BTreeSet::first);
            if first != Some(&id) {
                return Err(Violation::OutOfOrder);
            }
            let backoff_until = self.key_backoffs.get(&key);
            let in_backoff = backoff_until.is_some_and(|until| now < *until);
            if in_backoff && !message.attempted {
                return Err(Violation::KeyBackoff);
            }
        }
        message.in_flight += 1;
        message.attempted = true;
        Ok(())
    }

    /// A call that began has its outcome; `backoff` is that of its key where the call may run on.
    pub fn end_attempt(&mut self, id: MessageId, outcome: Outcome, now: Micros, backoff: Micros) {
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        message.in_flight = message.in_flight.saturating_sub(1);
        message.may_have_run |= !outcome.never_ran();
        let may_run_on = matches!(
            outcome,
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
        );
        if let Some(key) = message.guarantee.key.filter(|_| may_run_on) {
            self.back_off_key(key, now, backoff);
        }
        self.forget_if_done(id);
    }

    /// The message gets no further call; it stays first of its key until it is complete.
    pub fn close(&mut self, id: MessageId) {
        if let Some(message) = self.messages.get_mut(&id) {
            message.open = false;
        }
    }

    /// Nothing more is owed for the message.
    pub fn complete(&mut self, id: MessageId) {
        if let Some(message) = self.messages.get_mut(&id) {
            message.open = false;
            message.complete = true;
        }
        self.forget_if_done(id);
    }

    fn back_off_key(&mut self, key: u64, now: Micros, backoff: Micros) {
        if self.key_backoffs.len() >= KEY_BACKOFFS_BEFORE_CLEANUP {
            self.key_backoffs.retain(|_, until| now < *until);
        }
        let until = self.key_backoffs.entry(key).or_default();
        *until = (*until).max(now + backoff);
    }

    fn forget_if_done(&mut self, id: MessageId) {
        let Some(message) = self
            .messages
            .get(&id)
            .filter(|message| message.complete && message.in_flight == 0)
        else {
            return;
        };
        if let Some(key) = message.guarantee.key
            && let Some(queue) = self.key_queues.get_mut(&key)
        {
            queue.remove(&id);
            if queue.is_empty() {
                self.key_queues.remove(&key);
            }
        }
        self.messages.remove(&id);
    }
}

#[cfg(test)]
mod tests;
