//! Attempts: permission and journal record before the call, cancellation, and handling of the
//! outcome.

use super::Driver;
use super::calls_in_flight::{Bundle, PermittedAttempt, add_to_bundle};
use super::ended_ids::MessageEnd;
use super::violations::Violation;
use crate::net::calls;
use crate::net::events::{AttemptEnd, HandoverMessage};
use crate::net::handover::LOST_CALL_OUTCOME;
use crate::net::message_log::MessageEvent;
use message_sender::decisions::InFlightAttempt;
use message_sender::{Event, MessageId, Micros, Outcome};
use tokio::time::Instant;

/// Outcome of an attempt for which no call was made.
pub(super) const NOT_SENT: Outcome = Outcome::NotSent { no_slot: false };

/// Returns the event that ends an attempt for which the driver has no call.
fn ended_without_call(attempt: InFlightAttempt, outcome: Outcome, complete: bool) -> Event {
    Event::AttemptEnded {
        message: attempt.message,
        attempt: attempt.number,
        endpoint: attempt.endpoint,
        outcome,
        latency: 0,
        complete,
        report: Vec::new(),
    }
}

/// Attempt that the decision module asks the driver to send.
pub(super) struct SendRequest {
    pub attempt: InFlightAttempt,
    /// Time in microseconds until which the attempt waits for an answer. A call with several
    /// messages waits until the latest of their times.
    pub expires: Micros,
    /// Time in microseconds after which the call must not begin; `None` without such a limit.
    pub start_by: Option<Micros>,
}

impl Driver {
    /// Begins an attempt if the message's earlier attempts permit a call and the journal can record
    /// the attempt.
    pub(super) fn send(&mut self, now: Micros, request: SendRequest, bundles: &mut Vec<Bundle>) {
        let attempt = request.attempt;
        let Some(held) = self.messages.get(attempt.message) else {
            // the message was dropped in this turn because the journal could not store it
            return self
                .events
                .push(ended_without_call(attempt, NOT_SENT, true));
        };
        let open = held.open;
        if held.attempts.len() != attempt.number {
            self.violations
                .count(Violation::AttemptNumber, format_args!("{attempt:?}"));
            return self
                .events
                .push(ended_without_call(attempt, NOT_SENT, !open));
        }
        let size_bytes = calls::bulk_size(&held.item);
        self.messages
            .begin_attempt(attempt.message, attempt.endpoint, now);
        let Some(endpoint) = self.endpoints.get(attempt.endpoint) else {
            return self.attempt_not_sent(attempt);
        };
        let uid = endpoint.uid.clone();
        let kind = self.settings.kinds.get(endpoint.kind);
        let max_messages = kind.map_or(1, |kind| kind.bundle_max);
        let Some(journal_position) = self.permit_and_record(attempt, &uid, now, open) else {
            return self.attempt_not_sent(attempt);
        };
        if let Some(held_attempt) = self.messages.attempt_mut(attempt.message, attempt.number) {
            held_attempt.journal_position = Some(journal_position);
        }
        let began = MessageEvent::AttemptBegan {
            number: attempt.number,
            endpoint: &uid,
        };
        self.log_event(attempt.message, &began);
        let permitted = PermittedAttempt {
            attempt,
            expires: request.expires,
            start_by: request.start_by,
            size_bytes,
        };
        add_to_bundle(bundles, permitted, max_messages);
    }

    /// Checks that the attempt may begin and records it in the journal. Returns its position among
    /// the message's records, or `None` if it must not begin.
    fn permit_and_record(
        &mut self,
        attempt: InFlightAttempt,
        uid: &str,
        now: Micros,
        open: bool,
    ) -> Option<usize> {
        if let Err(violation) = self.lifecycle.begin_attempt(attempt.message, now) {
            if open {
                self.violations.count(
                    Violation::CallForbidden(violation),
                    format_args!("{attempt:?}"),
                );
            }
            return None;
        }
        // the attempt of a message that has already ended is not recorded, and so not sent
        let journal_position = open
            .then(|| self.journal.start_attempt(attempt.message, uid, now))
            .flatten();
        if journal_position.is_none() {
            self.lifecycle
                .end_attempt(attempt.message, NOT_SENT, now, 0);
        }
        journal_position
    }

    /// Ends an attempt that was marked as in flight but never sent.
    pub(super) fn attempt_not_sent(&mut self, attempt: InFlightAttempt) {
        if !self.end_attempt(attempt.message, attempt.number) {
            return;
        }
        let closed = !self.messages.is_open(attempt.message);
        self.events
            .push(ended_without_call(attempt, NOT_SENT, closed));
        self.messages.forget_if_done(attempt.message);
    }

    /// Marks an attempt as no longer in flight. Returns false and counts a violation if it was not
    /// in flight.
    fn end_attempt(&mut self, message: MessageId, number: usize) -> bool {
        let ended = self.messages.end_attempt(message, number).is_some();
        if !ended {
            self.count_unknown_outcome(message, number);
        }
        ended
    }

    fn count_unknown_outcome(&mut self, message: MessageId, number: usize) {
        self.violations.count(
            Violation::OutcomeUnknown,
            format_args!("{message:?}, attempt {number}"),
        );
    }

    /// Turns a success without an end proof into [`Outcome::Error`]: the message may have run, but
    /// it is not shown to be delivered and stays incomplete.
    fn with_proved_success(&mut self, end: AttemptEnd) -> AttemptEnd {
        if end.outcome != Outcome::Success || end.proof.is_some() {
            return end;
        }
        let AttemptEnd { call, position, .. } = end;
        self.violations.count(
            Violation::UnprovedSuccess,
            format_args!("call {call}, position {position}"),
        );
        AttemptEnd {
            outcome: Outcome::Error,
            ..end
        }
    }

    /// Handles the end of an attempt that its call has reported.
    pub(super) fn attempt_ended(&mut self, end: AttemptEnd) {
        let end = self.with_proved_success(end);
        let Some((message, number)) = self.calls_in_flight.attempt_at(end.call, end.position)
        else {
            let AttemptEnd { call, position, .. } = end;
            return self.violations.count(
                Violation::OutcomeUnknown,
                format_args!("call {call}, position {position}"),
            );
        };
        let Some(attempt) = self.messages.end_attempt(message, number) else {
            return self.count_unknown_outcome(message, number);
        };
        let ended = MessageEvent::AttemptEnded {
            number,
            endpoint: self.endpoints.uid(attempt.endpoint),
            outcome: end.outcome,
            proof: end.proof,
        };
        self.log_event(message, &ended);
        self.end_message_of_call(end.call);
        let now = self.clock.at(Instant::now());
        let key_backoff = self.settings.safety.key_backoff;
        self.lifecycle
            .end_attempt(message, end.outcome, now, key_backoff);
        if let Some(journal_position) = attempt.journal_position
            && end.outcome.never_ran()
            && self.messages.is_open(message)
        {
            self.journal.attempt_never_ran(message, journal_position);
        }
        if let Outcome::Rejected {
            retry_after: Some(wait),
        } = end.outcome
        {
            self.delay_connections(attempt.endpoint, wait);
        }
        if let Some(wait) = end.retry_after {
            self.retry_after(attempt.endpoint, wait);
        }
        if let Some(proof) = end.proof {
            if end.outcome == Outcome::Success {
                self.messages.remember_end(message, MessageEnd::Delivered);
            }
            self.complete(message, proof);
        }
        self.events.push(Event::AttemptEnded {
            message,
            attempt: number,
            endpoint: attempt.endpoint,
            outcome: end.outcome,
            latency: now - attempt.sent_at,
            complete: !self.messages.is_open(message),
            report: end.load_report,
        });
        self.messages.forget_if_done(message);
    }

    /// Ends attempts that the decision module counts as in flight and the driver does not. No call
    /// would report an outcome of such an attempt, so the decision module gets the outcome of a
    /// lost call for it. Returns false if there are no such attempts.
    pub(super) fn end_lost_attempts(&mut self) -> bool {
        if self.sender.attempts_in_flight() == self.messages.attempts_in_flight() {
            return false;
        }
        let mut lost = self.sender.in_flight_attempts();
        lost.retain(|attempt| !self.messages.is_in_flight(attempt.message, attempt.number));
        for attempt in &lost {
            self.violations
                .count(Violation::AttemptLost, format_args!("{attempt:?}"));
            let closed = !self.messages.is_open(attempt.message);
            self.events
                .push(ended_without_call(*attempt, LOST_CALL_OUTCOME, closed));
        }
        !lost.is_empty()
    }

    /// Cancels an attempt, through the predecessor if that process made its call.
    pub(super) fn cancel(&mut self, message: MessageId, number: usize) {
        let attempt = self.messages.attempt(message, number);
        let Some(attempt) = attempt.filter(|attempt| attempt.in_flight) else {
            return;
        };
        let call = attempt.call;
        let position = attempt.position;
        self.log_event(message, &MessageEvent::AttemptCancelled { number });
        let Some(in_flight) = self.calls_in_flight.get(call) else {
            return self.violations.count(
                Violation::CancelUnknown,
                format_args!("{message:?}, attempt {number}"),
            );
        };
        match (&in_flight.cancellations, &self.predecessor) {
            // the send fails only if the call has just ended, and then its outcome is already
            // queued
            (Some(cancellations), _) => drop(cancellations.send(position)),
            (None, Some(predecessor)) => {
                predecessor.send(HandoverMessage::CancelAttempt { call, position });
            }
            (None, None) => {}
        }
    }
}
