//! Handing over to the next process, and what passes between the two.

use super::{Attempt, Driver, Message, Next, Route};
use crate::net;
use crate::net::calls::CallOut;
use crate::net::events::{
    AdminResult, AttemptEnd, DriverInput, ForwardedSubmission, HandoverMessage, Submission,
    SubmissionResult,
};
use crate::net::journal::JournalError;
use crate::net::leaving::Leaving;
use crate::net::local_errors::RETRY_INTERVAL;
use crate::net::upgrade::{
    self, HandedCall, HandedMessage, HandedRoute, Handover, Link, Successor, text,
};
use hyper::header::HeaderValue;
use message_sender::{EndpointId, MessageId};
use std::collections::HashMap;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

impl Driver {
    /// Hands all to the next process, if that one takes it; nothing is decided meanwhile.
    pub(super) async fn hand_over(&mut self, successor: Successor) -> Next {
        let mut link = match successor {
            Successor::Heir(link) => link,
            Successor::Stranger => {
                net::log(format_args!(
                    "upgrade: the new process speaks another version, this one ends"
                ));
                return Next::End;
            }
        };
        if self.predecessor.is_some() {
            return Next::GoOn; // it asks again once the process before this one is gone
        }
        self.turns();
        if self.journal.has_pending() {
            return Next::GoOn; // what it would read is not all that has happened: it asks again
        }
        let handover = match self.handover() {
            Ok(handover) => handover,
            Err(error) => {
                net::log(format_args!("upgrade: not handed over: {error}"));
                return Next::GoOn;
            }
        };
        let (messages, calls) = (self.by_id.len(), self.out.len());
        let handed = match self.shared.lock.give_up() {
            Ok(()) => link.hand(handover).await,
            Err(error) => Err(error.into()),
        };
        match handed {
            Ok(()) => {
                net::log(format_args!(
                    "upgrade: handed over {messages} messages, {calls} calls are out"
                ));
                Next::Leave(link)
            }
            Err(error) => match self.shared.lock.try_take() {
                Ok(true) => {
                    net::log(format_args!(
                        "upgrade: not taken over, this process goes on: {error}"
                    ));
                    self.reopen_journal().await
                }
                Ok(false) | Err(_) => {
                    net::log(format_args!(
                        "upgrade: another process owns the journal, this one ends"
                    ));
                    Next::End
                }
            },
        }
    }

    /// Reads the journal anew, as soon as the disk lets it be read.
    async fn reopen_journal(&mut self) -> Next {
        loop {
            match self.journal.reopen() {
                Ok(()) => return Next::GoOn,
                Err(error @ JournalError::Io(_)) => {
                    self.journal_fault.log(format_args!("journal: {error}"));
                    sleep(RETRY_INTERVAL).await;
                }
                Err(error) => {
                    net::log(format_args!(
                        "upgrade: the journal is lost, this process ends: {error}"
                    ));
                    return Next::End;
                }
            }
        }
    }

    pub(super) fn handover(&self) -> Result<Handover, postcard::Error> {
        let route = |(endpoint, route): (&EndpointId, &Route)| HandedRoute {
            endpoint: endpoint.0,
            uid: route.uid.clone(),
            address: route.address,
            kind: route.kind,
            destination: route.destination,
            listed: route.listed,
            up: route.up,
            zone: route.zone.clone(),
            weight: route.weight,
        };
        let message = |(number, held): (&MessageId, &Message)| HandedMessage {
            number: number.0,
            id: text(&held.item.id),
            key: held.item.key.as_ref().map(text),
            body: held.item.body.to_vec(),
            open: held.open,
            clients: held.clients,
            attempts: held
                .attempts
                .iter()
                .map(|a| (a.endpoint.0, a.sent, a.call, a.item, a.out, a.record))
                .collect(),
        };
        let call = |(&number, call): (&u64, &CallOut)| HandedCall {
            number,
            items: call
                .items
                .iter()
                .map(|&(message, attempt)| (message.0, attempt))
                .collect(),
            left: call.left,
        };
        Ok(Handover {
            sender: postcard::to_allocvec(&self.sender)?,
            names: self.names.clone(),
            routes: self.routes.iter().map(route).collect(),
            messages: self.messages.iter().map(message).collect(),
            next_endpoint: self.next_endpoint,
            next_message: self.next_message,
            out: self.out.iter().map(call).collect(),
            next_call: self.next_call,
            delivered: self.delivered.iter().map(text).collect(),
            // what a freeze holds of the list is not handed over: the next process asks for all of it
            list_version: if self.holds_entries() {
                0
            } else {
                self.list_version
            },
            alarm: self.alarm,
            clients: self
                .shared
                .most
                .saturating_sub(self.shared.places.available_permits()),
        })
    }

    /// Takes up what an old process handed over, but for the module itself. Its calls are still out there.
    pub(super) fn take_over(&mut self, handover: Handover) {
        self.names = handover.names;
        (self.next_message, self.next_call) = (handover.next_message, handover.next_call);
        (self.list_version, self.alarm) = (handover.list_version, handover.alarm);
        self.next_endpoint = handover.next_endpoint;
        for handed in handover.routes {
            let HandedRoute {
                endpoint,
                uid,
                address,
                kind,
                destination,
                listed,
                up,
                zone,
                weight,
            } = handed;
            let (endpoint, gone) = (EndpointId(endpoint), None);
            self.by_uid.insert(uid.clone(), endpoint);
            self.routes.insert(
                endpoint,
                Route {
                    uid,
                    address,
                    kind,
                    destination,
                    listed,
                    up,
                    zone,
                    weight,
                    gone,
                },
            );
            self.admit(endpoint);
        }
        for handed in handover.messages {
            let Some(item) = handed.item() else { continue };
            let message = MessageId(handed.number);
            if handed.open {
                self.by_id.insert(item.id.clone(), message);
            }
            let attempt = |(endpoint, sent, call, item, out, record)| {
                let endpoint = EndpointId(endpoint);
                Attempt {
                    endpoint,
                    sent,
                    call,
                    item,
                    out,
                    record,
                }
            };
            let attempts = handed.attempts.into_iter().map(attempt).collect();
            let (open, clients) = (handed.open, handed.clients);
            self.messages.insert(
                message,
                Message {
                    item,
                    open,
                    clients,
                    attempts,
                },
            );
        }
        let attempts = self.messages.values().flat_map(|held| &held.attempts);
        self.attempts_out = attempts.filter(|attempt| attempt.out).count();
        for HandedCall {
            number,
            items,
            left,
        } in handover.out
        {
            let items = items
                .into_iter()
                .map(|(message, attempt)| (MessageId(message), attempt))
                .collect();
            self.out.insert(
                number,
                CallOut {
                    cancels: None,
                    items,
                    left,
                },
            );
        }
        self.count_elsewhere();
        self.delivered = handover
            .delivered
            .iter()
            .filter_map(|id| HeaderValue::from_str(id).ok())
            .collect();
        if self.routes.values().any(|route| route.listed) {
            self.ready.send_replace(true);
        }
    }

    /// Names the process that this one took over from, and the places that its clients hold.
    pub fn follow(&mut self, mut link: upgrade::Writer, places: usize) {
        let (words, mut queue) = mpsc::unbounded_channel();
        tokio::task::spawn_local(async move {
            while let Some(word) = queue.recv().await {
                if link.say(word).await.is_err() {
                    return; // the reader of the link tells of its end
                }
            }
        });
        self.predecessor = Some((words, places));
    }

    pub(super) fn leave(self, link: Link) -> Leaving {
        self.shared.draining.set(true);
        self.shared.handed.send_replace(true);
        self.calls.connections().shut_down();
        Leaving {
            writer: link.listen(self.shared.inputs),
            clock: self.clock,
            out: self.out,
            places: self.shared.places,
            most: self.shared.most,
            answers: HashMap::new(),
            verdicts: HashMap::new(),
            next: 0,
        }
    }

    /// What the old process reports and passes on.
    pub(super) fn linked(&mut self, word: HandoverMessage) {
        let Some((old, _)) = &self.predecessor else {
            return;
        };
        let old = old.clone();
        match word {
            HandoverMessage::AttemptEnded(ended) => self.ended(ended),
            HandoverMessage::ClientDisconnected(id) => {
                if let Ok(id) = HeaderValue::from_str(&id) {
                    self.learn(DriverInput::ClientDisconnected(id));
                }
            }
            HandoverMessage::Submitted {
                number,
                submission: arrival,
            } => {
                let (reply, answer) = oneshot::channel();
                if let Some(arrival) = self.passed(*arrival, reply) {
                    self.arrive(arrival);
                }
                tokio::task::spawn_local(async move {
                    let answer = answer.await.unwrap_or(SubmissionResult::NotStored);
                    // the old process is gone, and its clients with it
                    let _ = old.send(HandoverMessage::Answered {
                        number,
                        result: answer,
                    });
                });
            }
            HandoverMessage::AdminCommand {
                number,
                uid,
                disabled: out,
            } => {
                let (reply, verdict) = oneshot::channel();
                self.obey(uid, out, reply);
                tokio::task::spawn_local(async move {
                    let verdict = verdict.await.unwrap_or(AdminResult::NotWritten);
                    let _ = old.send(HandoverMessage::AdminResult {
                        number,
                        result: verdict,
                    });
                });
            }
            _ => {}
        }
    }

    pub(super) fn passed(
        &self,
        passed: ForwardedSubmission,
        reply: oneshot::Sender<SubmissionResult>,
    ) -> Option<Submission> {
        Some(Submission {
            id: HeaderValue::from_str(&passed.id).ok()?,
            key: passed
                .key
                .as_deref()
                .map(HeaderValue::from_str)
                .transpose()
                .ok()?,
            subject: passed.subject,
            tenant: passed.tenant,
            class: passed.class,
            destination: passed.destination,
            time_limit: passed.time_limit,
            received_at: self.clock.instant(passed.received_at),
            again: passed.again,
            orphan: passed.orphan,
            body: passed.body.into(),
            reply,
        })
    }

    /// The old process has ended: nobody will tell how its last calls do.
    pub(super) fn link_lost(&mut self) {
        let Some((_, places)) = self.predecessor.take() else {
            return;
        };
        self.shared.places.add_permits(places);
        self.shared.most += places;
        let lost: Vec<(u64, usize)> = self
            .out
            .iter()
            .filter(|(_, call)| call.cancels.is_none())
            .flat_map(|(&number, call)| {
                call.items
                    .iter()
                    .enumerate()
                    .map(move |item| (number, item))
            })
            // one of a bundle may have ended before
            .filter(|(_, (_, (message, attempt)))| self.is_out(*message, *attempt))
            .map(|(number, (item, _))| (number, item))
            .collect();
        net::log(format_args!(
            "upgrade: the old process has ended, {} calls with it",
            lost.len()
        ));
        for (call, item) in lost {
            let ended = AttemptEnd {
                call,
                item,
                outcome: upgrade::LOST,
                closed: false,
                report: Vec::new(),
                retry_after: None,
            };
            self.ended(ended);
        }
    }
}
