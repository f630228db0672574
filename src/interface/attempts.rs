//! Attempts of a message and their outcomes.

use super::{EndpointId, Micros};
use serde::{Deserialize, Serialize};

/// An attempt made before a restart, as recorded in the host's journal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PastAttempt {
    /// Endpoint that the attempt was sent to. If the list no longer has the endpoint, its zone
    /// counts as unknown.
    pub endpoint: EndpointId,
    /// Time in microseconds at which the attempt was sent, on this process's clock.
    pub sent: Micros,
    /// The destination may have carried out the attempt: nothing proves that it did not.
    pub may_have_run: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The destination confirmed the delivery.
    Success,
    /// The destination answered with an error; the message may have run.
    Error,
    /// The destination rejected the attempt before the message ran, perhaps with a
    /// Retry-After.
    #[serde(rename = "Refused")]
    Rejected {
        /// Retry-After in microseconds: the delay that the destination asks for before further
        /// calls.
        #[serde(rename = "wait")]
        retry_after: Option<Micros>,
    },
    /// No answer came in time; the message may have run or may still run.
    TimedOut,
    /// No connection to the endpoint came up, so the message never ran.
    NoConnection,
    /// The connection broke before the answer; the message may have run.
    Reset,
    /// The sender cancelled the attempt; the message may have run.
    Cancelled,
    /// The host did not send the attempt, so the message never ran.
    #[serde(rename = "Unsent")]
    NotSent {
        /// True if none of [`Settings::call_slots`](super::Settings::call_slots) was free.
        no_slot: bool,
    },
}

impl Outcome {
    /// Returns true if the attempt failed because of the destination or the network path to it. A
    /// rejection is not a failure.
    pub fn failed(self) -> bool {
        matches!(
            self,
            Outcome::Error | Outcome::TimedOut | Outcome::NoConnection | Outcome::Reset
        )
    }

    /// Returns true if the attempt certainly never ran at the destination, so a repeat is safe.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Rejected { .. } | Outcome::NoConnection | Outcome::NotSent { .. }
        )
    }
}
