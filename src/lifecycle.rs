//! The lifecycle of messages as the host has seen it, checked before the host acts.
//!
//! The decisions propose ([`crate::decide`]); this module knows only what has happened, and says whether a call may begin
//! now: a second, independent answer to the rules on repeats and on the order of a key. A refusal here is a defect of the
//! decisions or of the host, never a state of a peer or of the machine; the host counts it and does not make the call.

use crate::interface::{Effect, MessageId, Micros, Outcome};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Keys with a rest that are kept before those whose rest is over are forgotten.
const RESTS_KEPT: usize = 1024;

/// Why a call may not begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum Refusal {
    /// The message was not taken on, or has ended.
    #[error("its message is not open")]
    NotOpen,
    /// The message may have run, and must not run twice.
    #[error("its message may have run and must not be repeated")]
    Repeat,
    /// An earlier message of its key is not over.
    #[error("an earlier message of its key is not over")]
    OutOfTurn,
    /// A call of its key was given up and may still run.
    #[error("its key rests after a call that was given up")]
    Rest,
}

/// What was promised for a message when it was taken on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Promise {
    /// Its key, where its class keeps order.
    pub key: Option<u64>,
    /// It must not run twice.
    pub once: bool,
}

impl Promise {
    /// That of a class with this effect.
    pub fn new(key: Option<u64>, effect: Effect) -> Self {
        Promise {
            key,
            once: effect == Effect::NonIdempotent,
        }
    }
}

#[derive(Debug)]
struct Message {
    promise: Promise,
    open: bool,
    over: bool,
    /// Calls that have no outcome yet.
    out: usize,
    /// A call that has ended may have run it.
    may_have_run: bool,
    /// It has been called before.
    tried: bool,
}

/// All messages that are taken on and not over.
#[derive(Debug, Default)]
pub struct Lifecycle {
    messages: BTreeMap<MessageId, Message>,
    /// The messages of each key, in the order in which they were taken on.
    turns: BTreeMap<u64, BTreeSet<MessageId>>,
    /// Until when nothing of a key may begin.
    rests: BTreeMap<u64, Micros>,
}

impl Lifecycle {
    /// A message is taken on. Numbers of messages rise in the order of this.
    pub fn take(&mut self, id: MessageId, promise: Promise) {
        self.resume(id, promise, 0, false);
    }

    /// A message is taken over from an earlier process, with so many calls out.
    pub fn resume(&mut self, id: MessageId, promise: Promise, out: usize, may_have_run: bool) {
        if let Some(key) = promise.key {
            self.turns.entry(key).or_default().insert(id);
        }
        let tried = out > 0 || may_have_run;
        let message = Message {
            promise,
            open: true,
            over: false,
            out,
            may_have_run,
            tried,
        };
        self.messages.insert(id, message);
    }

    /// A call with the message is about to begin, and does unless this refuses it.
    ///
    /// # Errors
    /// The rule that the call would break.
    pub fn begin(&mut self, id: MessageId, now: Micros) -> Result<(), Refusal> {
        let Some(message) = self.messages.get_mut(&id).filter(|message| message.open) else {
            return Err(Refusal::NotOpen);
        };
        if message.promise.once && (message.out > 0 || message.may_have_run) {
            return Err(Refusal::Repeat);
        }
        if let Some(key) = message.promise.key {
            let first = self.turns.get(&key).and_then(BTreeSet::first);
            if first != Some(&id) {
                return Err(Refusal::OutOfTurn);
            }
            let rests = self.rests.get(&key).is_some_and(|until| now < *until);
            if rests && !message.tried {
                return Err(Refusal::Rest);
            }
        }
        message.out += 1;
        message.tried = true;
        Ok(())
    }

    /// A call that began has its outcome; `rest` is how long its key rests where it may run on.
    pub fn ended(&mut self, id: MessageId, outcome: Outcome, now: Micros, rest: Micros) {
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        message.out = message.out.saturating_sub(1);
        message.may_have_run |= !outcome.never_ran();
        let key = message.promise.key;
        if matches!(
            outcome,
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
        ) {
            key.into_iter().for_each(|key| self.rest(key, now, rest));
        }
        self.forget_if_done(id);
    }

    /// The message gets no further call; its turn lasts until it is over.
    pub fn close(&mut self, id: MessageId) {
        self.messages
            .entry(id)
            .and_modify(|message| message.open = false);
    }

    /// Nothing more is owed for the message.
    pub fn over(&mut self, id: MessageId) {
        self.messages
            .entry(id)
            .and_modify(|message| (message.open, message.over) = (false, true));
        self.forget_if_done(id);
    }

    fn rest(&mut self, key: u64, now: Micros, rest: Micros) {
        if self.rests.len() >= RESTS_KEPT {
            self.rests.retain(|_, until| now < *until);
        }
        let until = self.rests.entry(key).or_default();
        *until = (*until).max(now + rest);
    }

    fn forget_if_done(&mut self, id: MessageId) {
        let Some(message) = self
            .messages
            .get(&id)
            .filter(|message| message.over && message.out == 0)
        else {
            return;
        };
        if let Some(key) = message.promise.key
            && let Some(turn) = self.turns.get_mut(&key)
        {
            turn.remove(&id);
            if turn.is_empty() {
                self.turns.remove(&key);
            }
        }
        self.messages.remove(&id);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const A: MessageId = MessageId(1);
    const B: MessageId = MessageId(2);
    const REST: Micros = 300;

    fn two(effect: Effect) -> Lifecycle {
        let mut lifecycle = Lifecycle::default();
        for id in [A, B] {
            lifecycle.take(id, Promise::new(Some(9), effect));
        }
        lifecycle
    }

    #[test]
    fn messages_of_a_key_begin_in_turn_and_after_the_rest() {
        let mut lifecycle = two(Effect::Idempotent);
        assert_eq!(lifecycle.begin(B, 0), Err(Refusal::OutOfTurn));
        assert_eq!(lifecycle.begin(A, 0), Ok(()));
        lifecycle.over(A);
        assert_eq!(
            lifecycle.begin(B, 1),
            Err(Refusal::OutOfTurn),
            "the call of the first is out"
        );
        lifecycle.ended(A, Outcome::Cancelled, 10, REST);
        assert_eq!(lifecycle.begin(B, 309), Err(Refusal::Rest));
        assert_eq!(lifecycle.begin(B, 310), Ok(()));
    }

    #[test]
    fn an_end_that_is_not_told_keeps_its_turn() {
        let mut lifecycle = two(Effect::Idempotent);
        lifecycle.close(A);
        assert_eq!(lifecycle.begin(A, 0), Err(Refusal::NotOpen));
        assert_eq!(lifecycle.begin(B, 0), Err(Refusal::OutOfTurn));
        lifecycle.over(A);
        assert_eq!(lifecycle.begin(B, 0), Ok(()));
    }

    #[test]
    fn what_must_not_run_twice_is_repeated_only_if_it_never_ran() {
        let mut lifecycle = two(Effect::NonIdempotent);
        assert_eq!(lifecycle.begin(A, 0), Ok(()));
        assert_eq!(lifecycle.begin(A, 0), Err(Refusal::Repeat), "a second copy");
        lifecycle.ended(A, Outcome::NoConnection, 1, REST);
        assert_eq!(lifecycle.begin(A, 2), Ok(()));
        lifecycle.ended(A, Outcome::Error, 3, REST);
        assert_eq!(lifecycle.begin(A, 4), Err(Refusal::Repeat));
    }

    #[test]
    fn what_is_taken_over_counts_its_calls() {
        let mut lifecycle = Lifecycle::default();
        lifecycle.resume(A, Promise::new(None, Effect::NonIdempotent), 1, false);
        assert_eq!(lifecycle.begin(A, 0), Err(Refusal::Repeat));
        lifecycle.ended(A, Outcome::Rejected { retry_after: None }, 0, REST);
        assert_eq!(lifecycle.begin(A, 0), Ok(()));
        assert_eq!(lifecycle.begin(B, 0), Err(Refusal::NotOpen));
    }
}
