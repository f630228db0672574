//! Calls: how they begin and end, and how messages do.

use super::violations::Violation;
use super::{Attempt, Bundle, Driver, Message, REMEMBERED};
use crate::net::calls::{self, Call, CallOut};
use crate::net::events::{AttemptEnd, HandoverMessage, MAX_BODY_BYTES};
use crate::net::upgrade::LOST;
use message_sender::decide::AttemptOut;
use message_sender::{Event, MessageId, Micros, Outcome};
use tokio::sync::mpsc;
use tokio::time::Instant;

/// The outcome of an attempt whose call never began.
const UNSENT: Outcome = Outcome::Unsent { no_slot: false };

/// What the module is told of an attempt without a call of its own.
fn ended(out: AttemptOut, outcome: Outcome, closed: bool) -> Event {
    let AttemptOut {
        message,
        number: attempt,
        endpoint,
    } = out;
    Event::Ended {
        message,
        attempt,
        endpoint,
        outcome,
        latency: 0,
        closed,
        report: Vec::new(),
    }
}

impl Driver {
    /// An attempt's call has told how it ended.
    pub(super) fn ended(&mut self, ended: AttemptEnd) {
        let call = self.out.get(&ended.call);
        let attempt = call.and_then(|call| call.items.get(ended.item)).copied();
        let Some((message, number)) = attempt else {
            let AttemptEnd { call, item, .. } = ended;
            return self.violations.count(
                Violation::OutcomeUnknown,
                format_args!("call {call}, item {item}"),
            );
        };
        let Some(Attempt {
            endpoint,
            sent,
            record,
            ..
        }) = self.take_out(message, number)
        else {
            return;
        };
        self.trace(
            message,
            format_args!(
                "attempt {number} ended: {:?}, closed {}",
                ended.outcome, ended.closed
            ),
        );
        self.call_is_less(ended.call);
        let now = self.clock.at(Instant::now());
        let latency = now - sent;
        self.lifecycle
            .ended(message, ended.outcome, now, self.settings.safety.key_rest);
        let open = self.messages.get(&message).is_some_and(|held| held.open);
        if let Some(record) = record.filter(|_| ended.outcome.never_ran() && open) {
            let written = self.journal.never_ran(message.0, record);
            self.check(written);
        }
        if let Outcome::Refused { wait: Some(wait) } = ended.outcome {
            self.told_wait(endpoint, wait);
        }
        if let Some(wait) = ended.retry_after {
            self.told_wait(endpoint, wait);
            self.events.push(Event::ToldWait { endpoint, wait });
        }
        if ended.closed {
            if ended.outcome == Outcome::Success {
                self.remember(message);
            }
            self.end(message);
        }
        let closed = self.messages.get(&message).is_none_or(|held| !held.open);
        self.events.push(Event::Ended {
            message,
            attempt: number,
            endpoint,
            outcome: ended.outcome,
            latency,
            closed,
            report: ended.report,
        });
        self.forget_if_done(message);
    }

    /// Marks an attempt as no longer out, and returns it as it was; none if it was not out.
    fn take_out(&mut self, message: MessageId, number: usize) -> Option<Attempt> {
        let held = self.messages.get_mut(&message);
        let tried = held
            .and_then(|held| held.attempts.get_mut(number))
            .filter(|tried| tried.out);
        let Some(tried) = tried else {
            let about = format_args!("{message:?}, attempt {number}");
            self.violations.count(Violation::OutcomeUnknown, about);
            return None;
        };
        let before = tried.clone();
        tried.out = false;
        self.attempts_out -= 1;
        Some(before)
    }

    /// One message of a call has its end; the call is over with the last.
    fn call_is_less(&mut self, number: u64) {
        let Some(call) = self.out.get_mut(&number) else {
            return;
        };
        call.left -= 1;
        if call.left > 0 {
            return;
        }
        let elsewhere = call.cancels.is_none();
        self.out.remove(&number);
        if elsewhere {
            self.count_elsewhere();
        }
    }

    pub(super) fn remember(&mut self, message: MessageId) {
        let Some(held) = self.messages.get(&message) else {
            return;
        };
        if self.delivered.len() >= REMEMBERED {
            self.delivered.pop_front();
        }
        self.delivered.push_back(held.item.id.clone());
    }

    /// Nothing more is owed for the message.
    pub(super) fn end(&mut self, message: MessageId) {
        self.lifecycle.over(message);
        if self.close(message) {
            let written = self.journal.over(message.0);
            self.check(written);
        }
    }

    /// Tells of a step of the message, where that is wanted.
    pub(super) fn trace(&self, message: MessageId, step: std::fmt::Arguments<'_>) {
        // no message is looked up for nothing
        if crate::net::traces()
            && let Some(held) = self.messages.get(&message)
        {
            crate::net::trace(&held.item.id, step);
        }
    }

    /// Marks the message as ended; false if it was.
    pub(super) fn close(&mut self, message: MessageId) -> bool {
        let Some(held) = self.messages.get_mut(&message).filter(|held| held.open) else {
            return false;
        };
        held.open = false;
        if self.by_id.get(&held.item.id) == Some(&message) {
            self.by_id.remove(&held.item.id);
        }
        self.forget_if_done(message);
        true
    }

    pub(super) fn forget_if_done(&mut self, message: MessageId) {
        let done = |held: &Message| !held.open && held.attempts.iter().all(|attempt| !attempt.out);
        if self.messages.get(&message).is_some_and(done) {
            self.messages.remove(&message);
        }
    }

    pub(super) fn send(
        &mut self,
        now: Micros,
        out: AttemptOut,
        (expires, start_by): (Micros, Option<Micros>),
        bundles: &mut Vec<Bundle>,
    ) {
        let AttemptOut {
            message,
            number: attempt,
            endpoint,
        } = out;
        let Some(held) = self.messages.get_mut(&message) else {
            // the journal has refused it in this very turn
            return self.events.push(ended(out, UNSENT, true));
        };
        if held.attempts.len() != attempt {
            let closed = !held.open;
            self.violations
                .count(Violation::AttemptNumber, format_args!("{out:?}"));
            return self.events.push(ended(out, UNSENT, closed));
        }
        self.attempts_out += 1;
        held.attempts.push(Attempt {
            endpoint,
            sent: now,
            call: u64::MAX,
            item: 0,
            out: true,
            record: None,
        });
        let size = calls::bulk_size(&held.item);
        let open = held.open;
        let Some((uid, kind)) = self
            .routes
            .get(&endpoint)
            .map(|route| (route.uid.clone(), route.kind))
        else {
            return self.unsent(out);
        };
        let most = self
            .settings
            .kinds
            .get(kind)
            .map_or(1, |kind| kind.bundle_max);
        if let Err(refusal) = self.lifecycle.begin(message, now) {
            if open {
                self.violations
                    .count(Violation::CallForbidden(refusal), format_args!("{out:?}"));
            }
            return self.unsent(out);
        }
        // one that is not open was dropped in this very turn
        let written = open.then(|| self.journal.sent(message.0, &uid, now));
        let Some(record) = written.and_then(|written| self.check(written)) else {
            self.lifecycle.ended(message, UNSENT, now, 0);
            return self.unsent(out);
        };
        if let Some(tried) = self
            .messages
            .get_mut(&message)
            .and_then(|held| held.attempts.get_mut(attempt))
        {
            tried.record = Some(record);
        }
        let room = |bundle: &&mut Bundle| {
            bundle.endpoint == endpoint
                && bundle.sends.len() < most
                && bundle.size + size <= MAX_BODY_BYTES
        };
        self.trace(message, format_args!("attempt {attempt} begins at {uid}"));
        match bundles.iter_mut().find(room) {
            Some(bundle) => {
                bundle.sends.push((message, attempt));
                bundle.expires = bundle.expires.max(expires);
                bundle.start_by = [bundle.start_by, start_by].into_iter().flatten().min();
                bundle.size += size;
            }
            None => {
                let sends = vec![(message, attempt)];
                bundles.push(Bundle {
                    endpoint,
                    expires,
                    start_by,
                    sends,
                    size,
                });
            }
        }
    }

    /// An attempt that the driver has and that never left.
    pub(super) fn unsent(&mut self, out: AttemptOut) {
        if self.take_out(out.message, out.number).is_none() {
            return;
        }
        let closed = self
            .messages
            .get(&out.message)
            .is_none_or(|held| !held.open);
        self.events.push(ended(out, UNSENT, closed));
        self.forget_if_done(out.message);
    }

    pub(super) fn is_out(&self, message: MessageId, attempt: usize) -> bool {
        let held = self.messages.get(&message);
        held.and_then(|held| held.attempts.get(attempt))
            .is_some_and(|tried| tried.out)
    }

    /// Finds attempts whose outcome the module would wait for in vain, and gives them one; false if there are none.
    pub(super) fn find_lost_attempts(&mut self) -> bool {
        if self.sender.attempts_out() == self.attempts_out {
            return false;
        }
        let mut all = self.sender.list_attempts_out();
        all.retain(|out| !self.is_out(out.message, out.number));
        for out in &all {
            self.violations
                .count(Violation::AttemptLost, format_args!("{out:?}"));
            let closed = self
                .messages
                .get(&out.message)
                .is_none_or(|held| !held.open);
            self.events.push(ended(*out, LOST, closed));
        }
        !all.is_empty()
    }

    pub(super) fn start(&mut self, bundle: Bundle) {
        let number = self.next_call;
        self.next_call += 1;
        let Some(place) = self.place_of(bundle.endpoint) else {
            for &(message, number) in &bundle.sends {
                self.lifecycle.ended(message, UNSENT, Micros::MIN, 0);
                self.unsent(AttemptOut {
                    message,
                    number,
                    endpoint: bundle.endpoint,
                });
            }
            return;
        };
        let mut items = Vec::with_capacity(bundle.sends.len());
        for (item, &(message, attempt)) in bundle.sends.iter().enumerate() {
            // an attempt that is out keeps its message
            let Some(held) = self.messages.get_mut(&message) else {
                continue;
            };
            items.push(held.item.clone());
            if let Some(tried) = held.attempts.get_mut(attempt) {
                (tried.call, tried.item) = (number, item);
            }
        }
        let (cancels, receiver) = mpsc::unbounded_channel();
        let left = bundle.sends.len();
        self.out.insert(
            number,
            CallOut {
                cancels: Some(cancels),
                items: bundle.sends,
                left,
            },
        );
        let expires = self.clock.instant(bundle.expires);
        let start_by = bundle.start_by.map(|by| self.clock.instant(by));
        self.calls.start(
            Call {
                number,
                place,
                items,
                expires,
                start_by,
            },
            receiver,
        );
    }

    pub(super) fn cancel(&mut self, message: MessageId, attempt: usize) {
        let tried = self
            .messages
            .get(&message)
            .and_then(|held| held.attempts.get(attempt));
        let Some(tried) = tried.filter(|tried| tried.out) else {
            return;
        };
        self.trace(message, format_args!("attempt {attempt} is called off"));
        let Some(call) = self.out.get(&tried.call) else {
            let about = format_args!("{message:?}, attempt {attempt}");
            return self.violations.count(Violation::CancelUnknown, about);
        };
        // a call that has just ended has told how
        match (&call.cancels, &self.predecessor) {
            (Some(cancels), _) => drop(cancels.send(tried.item)),
            (None, Some((old, _))) => {
                drop(old.send(HandoverMessage::CancelAttempt {
                    call: tried.call,
                    item: tried.item,
                }));
            }
            (None, None) => {}
        }
    }
}
