//! Attempts of a message and their outcomes.

use super::{EndpointId, Micros};
use serde::{Deserialize, Serialize};

/// An attempt made before a restart, as recorded in the driver's journal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PastAttempt {
    /// Endpoint that the attempt was sent to. If the list no longer has the endpoint, its zone
    /// counts as unknown.
    pub endpoint: EndpointId,
    /// Time in microseconds at which the attempt was sent, on this process's clock.
    pub sent: Micros,
    /// True if the destination may have processed the message because of this attempt: nothing
    /// proves that it did not.
    pub may_have_run: bool,
}

/// How one attempt ended, and whether the destination may have processed the message because of
/// it. An earlier attempt, or another one in flight, may have had another effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The destination confirmed the delivery.
    Success,
    /// The destination answered with an error; it may have processed the message.
    Error,
    /// The destination rejected the attempt without processing the message, perhaps with a
    /// Retry-After.
    #[serde(rename = "Refused")]
    Rejected {
        /// Retry-After in microseconds: the delay that the destination asks for before further
        /// calls.
        #[serde(rename = "wait")]
        retry_after: Option<Micros>,
    },
    /// No answer came in time; the destination may have processed the message, or may still
    /// process it.
    TimedOut,
    /// No connection to the endpoint came up, so the destination did not process the message
    /// because of this attempt.
    NoConnection,
    /// The connection broke before the answer; the destination may have processed the message, or
    /// may still process it.
    Reset,
    /// The sender cancelled the attempt; the destination may have processed the message, or may
    /// still process it.
    Cancelled,
    /// The driver did not send the attempt, or the endpoint's answer shows that it did not process
    /// the message and does not count as a rejection. The destination did not process the message
    /// because of this attempt.
    #[serde(rename = "Unsent")]
    NotSent {
        /// True if the endpoint answered that this sender already occupies all of its call slots
        /// at the endpoint (status 503 with `slots-taken: 1`).
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

    /// Returns true if the destination certainly did not process the message because of this
    /// attempt. An earlier or a hedged attempt may still have made it process the message.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Rejected { .. } | Outcome::NoConnection | Outcome::NotSent { .. }
        )
    }
}
