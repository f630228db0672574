//! Results of attempts. An outcome that counts as "never executed" is only made from its proof.

use super::non_execution::NonExecution;
use crate::net::end_proof::EndProof;
use message_sender::Outcome;

/// Outcome of an attempt that the endpoint may have executed, or may still execute.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MayHaveRun {
    /// The endpoint answered with an error, or with a complete answer that the protocol does not define.
    Error,
    /// The connection broke before the whole answer was received, or the answer is unreadable.
    Reset,
    /// The time limit of the call passed.
    TimedOut,
    /// This sender cancelled the attempt.
    Cancelled,
}

impl From<MayHaveRun> for Outcome {
    fn from(outcome: MayHaveRun) -> Self {
        match outcome {
            MayHaveRun::Error => Outcome::Error,
            MayHaveRun::Reset => Outcome::Reset,
            MayHaveRun::TimedOut => Outcome::TimedOut,
            MayHaveRun::Cancelled => Outcome::Cancelled,
        }
    }
}

/// Result of the attempt to deliver one message.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct AttemptResult {
    outcome: Outcome,
    proof: Option<EndProof>,
}

impl AttemptResult {
    /// Creates the result of a delivered message.
    pub(super) fn delivered(proof: EndProof) -> Self {
        AttemptResult {
            outcome: Outcome::Success,
            proof: Some(proof),
        }
    }

    /// Creates the result of a message that the endpoint declares gone: the endpoint did not execute it, and the
    /// message must not be sent again.
    pub(super) fn gone(proof: EndProof) -> Self {
        AttemptResult {
            outcome: Outcome::NotSent { no_slot: false },
            proof: Some(proof),
        }
    }

    /// Returns the outcome of the attempt.
    pub(super) fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// Returns the proof that the message is complete and needs no further attempt; `None` if there is no such proof.
    pub(super) fn proof(&self) -> Option<EndProof> {
        self.proof
    }
}

impl From<NonExecution> for AttemptResult {
    fn from(proof: NonExecution) -> Self {
        AttemptResult {
            outcome: proof.outcome(),
            proof: None,
        }
    }
}

impl From<MayHaveRun> for AttemptResult {
    fn from(outcome: MayHaveRun) -> Self {
        AttemptResult {
            outcome: outcome.into(),
            proof: None,
        }
    }
}

/// Results of the messages of one call.
pub(super) enum CallResults {
    /// One result that applies to every message.
    Same(AttemptResult),
    /// One result for each message, by its position in the call.
    Each(Vec<AttemptResult>),
}

impl CallResults {
    /// Returns the result of the message at position `item`. A position without a result counts as an error, after
    /// which the endpoint may have executed the message.
    pub(super) fn of_item(&self, item: usize) -> AttemptResult {
        match self {
            CallResults::Same(result) => *result,
            CallResults::Each(results) => {
                let result = results.get(item).copied();
                result.unwrap_or(MayHaveRun::Error.into())
            }
        }
    }
}
