//! Proofs of non-execution: evidence that an endpoint did not execute an attempt, so that a message that must not be
//! executed twice may be sent again.
//!
//! The evidence is one of these:
//! - a complete answer whose status says so, as the protocol with endpoints defines it
//! - a complete line of a complete bulk answer that says so for its message
//! - no connection, or a connection that broke before the last byte of the request was written
//!
//! An outcome that counts as "never executed" reaches the driver only from a [`NonExecution`]; see
//! [`super::attempt_result`].

use super::answer::BulkText;
use super::retry_after::RetryAfter;
use crate::net::complete_answer::{CompleteAnswer, IncompleteAnswer};
use crate::net::end_proof::BulkLine;
use crate::net::pool::LeaseError;
use hyper::StatusCode;
use message_sender::pool::{DialFailure, LeaseDenied};
use message_sender::{Micros, Outcome};
use thiserror::Error;

/// Header of a 503 answer that was sent because no call slot was free. Value 1 means that this sender itself occupies
/// all of its slots at the endpoint.
pub(super) const SLOTS_TAKEN: &str = "slots-taken";
/// Status in a bulk answer of a message that the endpoint rejected.
const BULK_REJECTED: &[u8] = b"later";
/// Status in a bulk answer of a message that was not sent, since it has had all its attempts.
const BULK_EXHAUSTED: &[u8] = b"exhausted";
/// Outcome of an attempt that was not sent, for any reason other than a lack of call slots.
const NOT_SENT: Outcome = Outcome::NotSent { no_slot: false };

/// Proof that the endpoint did not execute an attempt, with the outcome of that attempt. Only this module creates one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct NonExecution(Outcome);

/// Why an answer whose status says that the call was not executed does not prove it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(super) enum Unproven {
    /// The answer was not received in full.
    #[error(transparent)]
    Incomplete(#[from] IncompleteAnswer),
    /// The protocol defines 429 only with a `Retry-After` in seconds.
    #[error("its Retry-After is missing or unreadable")]
    RetryAfter,
    /// The status does not say that the call was not executed.
    #[error("its status does not say so")]
    Status,
}

/// How an answer relates to its call, beside its status.
#[derive(Debug, Clone, Copy)]
pub(super) struct RefusalContext {
    /// True if the call carried several messages.
    pub(super) is_bulk: bool,
    /// True if the pool attributes the answer to a lack of connection capacity at the endpoint. Without a Retry-After
    /// it then says nothing about the endpoint's limit on calls.
    pub(super) connection_rejected: bool,
    /// Rest of the Retry-After delay in microseconds, if the endpoint asked for one.
    pub(super) retry_after: Option<Micros>,
}

impl NonExecution {
    /// Reads the proof from a complete answer.
    ///
    /// # Errors
    /// Returns why the answer proves nothing.
    pub(super) fn of_answer(
        answer: &CompleteAnswer,
        context: RefusalContext,
    ) -> Result<Self, Unproven> {
        let head = answer.head();
        let retry_after = context.retry_after;
        let outcome = match head.status {
            StatusCode::TOO_MANY_REQUESTS => match RetryAfter::read(&head.headers) {
                RetryAfter::Delay(_) => Outcome::Rejected { retry_after },
                RetryAfter::Absent | RetryAfter::Unreadable => return Err(Unproven::RetryAfter),
            },
            StatusCode::SERVICE_UNAVAILABLE => {
                let slots_taken = head.headers.get(SLOTS_TAKEN);
                if slots_taken.is_some_and(|value| value == "1") {
                    Outcome::NotSent { no_slot: true }
                } else if context.connection_rejected && retry_after.is_none() {
                    NOT_SENT
                } else {
                    Outcome::Rejected { retry_after }
                }
            }
            StatusCode::GATEWAY_TIMEOUT => NOT_SENT,
            StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE if context.is_bulk => NOT_SENT,
            _ => return Err(Unproven::Status),
        };
        Ok(NonExecution(outcome))
    }

    /// Reads the proof for one message from its line in a bulk answer. A body that ends with the connection may have
    /// been cut short, so its lines prove nothing.
    pub(super) fn of_line(
        text: BulkText<'_>,
        line: &BulkLine<'_>,
        retry_after: Option<Micros>,
    ) -> Option<Self> {
        let outcome = match line.status() {
            BULK_REJECTED => Outcome::Rejected { retry_after },
            BULK_EXHAUSTED => NOT_SENT,
            _ => return None,
        };
        text.is_length_known.then_some(NonExecution(outcome))
    }

    /// Returns the proof if a connection broke before the last byte of its request was written. Lengths in bytes.
    pub(super) fn of_partial_request(written: u64, request_length: u64) -> Option<Self> {
        (written < request_length).then_some(NonExecution(Outcome::NoConnection))
    }

    /// Returns the proof for a call that got no connection.
    pub(super) fn of_missing_connection(error: &LeaseError) -> Self {
        NonExecution(match error {
            // a start that came too late, a Retry-After delay, a retired endpoint, a stale list, the shutdown of this
            // process and an error of the local host say nothing about the endpoint's health
            LeaseError::TooLate
            | LeaseError::Denied(
                LeaseDenied::RetryAfter
                | LeaseDenied::Retired
                | LeaseDenied::Suspended
                | LeaseDenied::ShuttingDown
                | LeaseDenied::Dial(DialFailure::Local),
            ) => NOT_SENT,
            LeaseError::DialTimeout | LeaseError::NoAnswer | LeaseError::Denied(_) => {
                Outcome::NoConnection
            }
        })
    }

    /// Returns the proof for a call whose parts do not form a valid request, so that no byte of it was written.
    pub(super) fn of_invalid_request() -> Self {
        NonExecution(NOT_SENT)
    }

    /// Returns the outcome of the attempt.
    pub(super) fn outcome(self) -> Outcome {
        self.0
    }
}

#[cfg(test)]
mod tests;
