//! What is handed in: from clients, and from an earlier life. A promise waits for the journal.

use super::{Attempt, Driver, Message};
use crate::net::calls::Item;
use crate::net::discovery::Notice;
use crate::net::events::{Submission, SubmissionResult};
use crate::net::journal::{Origin, Taken, Terms};
use crate::net::upgrade::text;
use hyper::header::HeaderValue;
use message_sender::lifecycle::Promise;
use message_sender::wire::position;
use message_sender::{
    Action, Class, EndpointId, Event, MessageId, Micros, NewMessage, PastAttempt,
};
use std::hash::{DefaultHasher, Hash, Hasher};
use tokio::time::Instant;

/// The module's number for a subject. Two subjects with the same number only wait for one another.
fn key_of(subject: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    subject.hash(&mut hasher);
    hasher.finish()
}

/// What was promised for a message when it was taken on.
fn promise_of(terms: &Terms, origin: &Origin) -> Promise {
    let key = origin
        .subject
        .as_deref()
        .filter(|_| terms.ordered)
        .map(key_of);
    Promise::new(key, terms.effect)
}

impl Driver {
    /// Hands back what an earlier life had taken on; what had ended is owed its notice again.
    pub(super) fn resume(&mut self, taken_over: bool) {
        if !taken_over && self.journal.has_records() {
            self.events.push(Event::Restarted);
        }
        let owed = self.journal.owed().clone();
        let now = self.clock.at(Instant::now());
        for owed in owed.values() {
            if let Some(terms) = &owed.terms {
                self.settings.place(terms.class(&owed.taken.class));
            }
        }
        if self.settings != *self.sender.settings() {
            self.events
                .push(Event::Retuned(Box::new(self.settings.clone())));
        }
        for (number, owed) in owed {
            self.next_message = self.next_message.max(number + 1);
            let message = MessageId(number);
            let class = match &owed.terms {
                Some(terms) => self.settings.place(terms.class(&owed.taken.class)),
                None => {
                    let named = |class: &Class| class.name == owed.taken.class;
                    self.settings
                        .classes
                        .iter()
                        .rposition(named)
                        .unwrap_or(usize::MAX)
                }
            };
            let new = NewMessage {
                key: owed.origin.subject.as_deref().map(key_of),
                tenant: owed
                    .origin
                    .tenant
                    .as_deref()
                    .map(|name| position(&self.names.tenants, name)),
                attempts: owed.terms.as_ref().map(|terms| terms.attempts as usize),
                ..NewMessage::new(
                    message,
                    class,
                    owed.taken.destination,
                    owed.taken.deadline - now,
                )
            };
            let promise = match &owed.terms {
                Some(terms) => promise_of(terms, &owed.origin),
                None => Promise {
                    key: None,
                    once: false,
                },
            };
            let out = self.messages.get(&message).map_or(0, |held| {
                held.attempts
                    .iter()
                    .filter(|attempt| attempt.out && attempt.record.is_some())
                    .count()
            });
            let risky = owed.attempts.iter().filter(|sent| !sent.never_ran).count();
            self.lifecycle.resume(message, promise, out, risky > out);
            if let Some(ending) = owed.ending {
                self.lifecycle.close(message);
                if !taken_over {
                    self.events.push(Event::Unnoticed(new));
                }
                self.notify(Notice {
                    number,
                    id: owed.taken.id,
                    ending,
                });
                continue;
            }
            if self.messages.contains_key(&message) {
                continue; // handed over, with all that the journal does not hold
            }
            let (Ok(id), key) = (
                HeaderValue::from_str(&owed.taken.id),
                owed.taken
                    .key
                    .as_deref()
                    .and_then(|key| HeaderValue::from_str(key).ok()),
            ) else {
                continue;
            };
            let past: Vec<PastAttempt> = owed
                .attempts
                .iter()
                .map(|sent| PastAttempt {
                    endpoint: self
                        .by_uid
                        .get(&sent.uid)
                        .copied()
                        .unwrap_or(EndpointId(u32::MAX)),
                    sent: sent.sent_at,
                    may_have_run: !sent.never_ran,
                })
                .collect();
            let attempts = past
                .iter()
                .enumerate()
                .map(|(record, past)| Attempt {
                    endpoint: past.endpoint,
                    sent: past.sent,
                    call: u64::MAX,
                    item: 0,
                    out: false,
                    record: Some(record),
                })
                .collect();
            crate::net::trace(
                &id,
                format_args!("taken up again after {} attempts", past.len()),
            );
            self.events.push(Event::Resumed {
                message: new,
                attempts: past,
            });
            let item = Item {
                id: id.clone(),
                key,
                body: owed.taken.body.into(),
            };
            self.messages.insert(
                message,
                Message {
                    item,
                    open: true,
                    clients: 1,
                    attempts,
                },
            );
            self.by_id.insert(id, message);
        }
    }

    pub(super) fn arrive(&mut self, arrival: Submission) {
        // a receiver that is gone is a client that left: its guard says so too
        if let Some(&message) = self.by_id.get(&arrival.id) {
            if let Some(held) = self.messages.get_mut(&message) {
                held.clients += 1;
            }
            self.doubled.push((message, arrival.id, arrival.reply));
        } else if self.delivered.contains(&arrival.id) {
            let _ = arrival.reply.send(SubmissionResult::AlreadyDelivered);
        } else {
            let message = MessageId(self.next_message);
            self.next_message += 1;
            let began = self.clock.at(arrival.received_at);
            let left = began + arrival.time_limit - self.clock.at(Instant::now());
            let new = NewMessage {
                key: arrival.subject.as_deref().map(key_of),
                tenant: arrival
                    .tenant
                    .as_deref()
                    .map(|name| position(&self.names.tenants, name)),
                again: arrival.again,
                orphan: arrival.orphan,
                ..NewMessage::new(message, arrival.class, arrival.destination, left)
            };
            self.events.push(Event::Accepted(new));
            let item = Item {
                id: arrival.id.clone(),
                key: arrival.key.clone(),
                body: arrival.body.clone(),
            };
            self.messages.insert(
                message,
                Message {
                    item,
                    open: true,
                    clients: 1,
                    attempts: Vec::new(),
                },
            );
            self.by_id.insert(arrival.id.clone(), message);
            self.arrived.insert(message, (arrival, began));
        }
    }

    /// Promises what the module keeps, once it is in the journal; what it ends at once was never promised.
    pub(super) fn answer_arrivals(&mut self, actions: &[Action]) {
        for (message, (arrival, began)) in std::mem::take(&mut self.arrived) {
            let ends = actions.iter().find_map(|action| match action {
                Action::Refuse { message: m, wait } if *m == message => {
                    Some(SubmissionResult::Rejected { retry_after: *wait })
                }
                Action::Fail(m) if *m == message => Some(SubmissionResult::Failed),
                _ => None,
            });
            if !self.messages.get(&message).is_some_and(|held| held.open) {
                continue; // its client has left
            }
            let answer = ends.unwrap_or_else(|| self.write_down(message, &arrival, began));
            crate::net::trace(&arrival.id, format_args!("handed in: {answer:?}"));
            if answer != SubmissionResult::Accepted {
                self.close(message);
                if answer == SubmissionResult::NotStored {
                    self.events.push(Event::Dropped(message));
                }
            }
            // a client that is gone has said so by its guard
            let _ = arrival.reply.send(answer);
        }
        for (message, id, reply) in std::mem::take(&mut self.doubled) {
            let held = self.messages.get(&message).is_some_and(|held| held.open);
            let _ = reply.send(match held {
                true => SubmissionResult::Accepted,
                false if self.delivered.contains(&id) => SubmissionResult::AlreadyDelivered,
                false => SubmissionResult::Rejected { retry_after: None },
            });
        }
    }

    pub(super) fn write_down(
        &mut self,
        message: MessageId,
        arrival: &Submission,
        began: Micros,
    ) -> SubmissionResult {
        // what came from an old process has its class's place too
        let class = self.settings.classes.get(arrival.class);
        let Some(terms) = class.map(|class| Terms::of(class, self.settings.max_attempts)) else {
            return SubmissionResult::NotStored;
        };
        let taken = Taken {
            id: text(&arrival.id),
            key: arrival.key.as_ref().map(text),
            class: class.map(|class| class.name.clone()).unwrap_or_default(),
            destination: arrival.destination,
            taken_at: began,
            deadline: began + arrival.time_limit,
            body: arrival.body.to_vec(),
        };
        let origin = Origin {
            subject: arrival.subject.clone(),
            tenant: arrival.tenant.clone(),
        };
        let promise = promise_of(&terms, &origin);
        let written = self.journal.take(message.0, taken, origin, terms);
        if self.check(written).is_none() {
            return SubmissionResult::NotStored;
        }
        self.lifecycle.take(message, promise);
        SubmissionResult::Accepted
    }
}
