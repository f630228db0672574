//! Second, independent check that a call may begin, made by the driver before each call.
//!
//! The decision module ([`crate::decisions`]) decides which calls to make. This module records only
//! what has happened to each message, and checks each call against two rules: a
//! message that the destination must not process twice is not sent again once the destination may
//! have processed it, and messages of one key go one at a time, in order. A violation
//! means a defect of the decision module or of the driver; it is never caused by a peer or by the
//! local host's state. The driver counts the violation and does not make the call.

use crate::interface::{Effect, MessageId, Micros, Outcome};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Number of recorded key backoffs from which on those that have ended are removed before another
/// one is recorded.
const KEY_BACKOFFS_BEFORE_CLEANUP: usize = 1024;

/// Rule that a call would break, so that it must not begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum Violation {
    /// The message was never accepted, or has ended.
    #[error("the message was not accepted or has ended")]
    NotOpen,
    /// The destination may have processed the message already, and the message's class does not
    /// allow the destination to process it twice.
    #[error("the destination may have processed the message and must not process it twice")]
    Repeated,
    /// An earlier message with the same key is not complete.
    #[error("an earlier message with the same key is not complete")]
    OutOfOrder,
    /// An earlier call with a message of the same key timed out, broke or was cancelled. The
    /// destination may still be processing that call, so the key is in backoff.
    #[error("the key is in backoff after a call that the destination may still be processing")]
    KeyBackoff,
}

/// Guarantee given when a message was accepted: in which order, and whether more than once, the
/// destination may process the message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DeliveryGuarantee {
    /// Key of the message, if messages of its class with one key are delivered in order.
    pub key: Option<u64>,
    /// True if the destination must not process the message twice.
    pub at_most_once: bool,
}

impl DeliveryGuarantee {
    /// Creates the guarantee of a message whose class has this effect.
    pub fn new(key: Option<u64>, effect: Effect) -> Self {
        DeliveryGuarantee {
            key,
            at_most_once: effect == Effect::NonIdempotent,
        }
    }
}

/// Record of what has happened to one message.
#[derive(Debug)]
struct Message {
    guarantee: DeliveryGuarantee,
    /// True if further calls with the message may begin.
    open: bool,
    /// True if the message needs no further call and no outcome notification.
    complete: bool,
    /// Number of calls with the message that have no outcome yet.
    in_flight: usize,
    /// True if the destination may have processed the message in a call that has ended.
    may_have_run: bool,
    /// True if a call with the message has begun before, in this process or an earlier one.
    attempted: bool,
}

/// Records of all messages that are accepted and not complete, or still have calls in flight.
#[derive(Debug, Default)]
pub struct Lifecycle {
    messages: BTreeMap<MessageId, Message>,
    /// The messages of each key, in the order in which they were accepted.
    key_queues: BTreeMap<u64, BTreeSet<MessageId>>,
    /// For each key in backoff, the time in microseconds before which no message of the key may
    /// begin its first call.
    key_backoffs: BTreeMap<u64, Micros>,
}

impl Lifecycle {
    /// Records that a message was accepted. Ids must rise in the order of acceptance, because the
    /// order within a key follows from them.
    pub fn accept(&mut self, id: MessageId, guarantee: DeliveryGuarantee) {
        self.restore(id, guarantee, 0, false);
    }

    /// Records a message taken over from an earlier process: `in_flight` calls with the message
    /// have no outcome yet, and `may_have_run` says whether the destination may have processed the
    /// message in a call that has ended.
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

    /// Checks whether a call with the message may begin now, and records that it begins. `now` is
    /// in microseconds.
    ///
    /// # Errors
    /// The rule that the call would break; then nothing is recorded.
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

    /// Records the outcome of a call that began. If the destination may still be processing
    /// the call, the message's key is in backoff until `now` + `backoff`, both in microseconds.
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
        self.remove_if_complete(id);
    }

    /// Returns whether the destination may have processed the message, or may yet: a call with it is
    /// in flight, or has ended without proof that it never ran.
    pub fn may_have_run(&self, id: MessageId) -> bool {
        let message = self.messages.get(&id);
        message.is_some_and(|message| message.in_flight > 0 || message.may_have_run)
    }

    /// Records that no further call with the message may begin. The message still blocks later
    /// messages of its key until it is complete.
    pub fn close(&mut self, id: MessageId) {
        if let Some(message) = self.messages.get_mut(&id) {
            message.open = false;
        }
    }

    /// Records that the message is complete: it needs no further call and no outcome notification.
    /// Once no call is in flight either, the next message of its key may begin.
    pub fn complete(&mut self, id: MessageId) {
        if let Some(message) = self.messages.get_mut(&id) {
            message.open = false;
            message.complete = true;
        }
        self.remove_if_complete(id);
    }

    fn back_off_key(&mut self, key: u64, now: Micros, backoff: Micros) {
        if self.key_backoffs.len() >= KEY_BACKOFFS_BEFORE_CLEANUP {
            self.key_backoffs.retain(|_, until| now < *until);
        }
        let until = self.key_backoffs.entry(key).or_default();
        *until = (*until).max(now + backoff);
    }

    fn remove_if_complete(&mut self, id: MessageId) {
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
