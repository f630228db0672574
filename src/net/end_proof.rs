//! End proofs: evidence that a message is complete.
//!
//! A message is complete only after one of these. An answer or response counts only if the named
//! part was received in full:
//! - a status line with 200, up to its line feed
//! - an answer with 410, head and body
//! - a line of a bulk answer that reports one of the two for a message
//! - the platform's 204 to the outcome notification
//! - the disconnection of every client that submitted the message, each before its response
//!
//! After a handover, the successor accepts the predecessor's report that it had such evidence.
//!
//! Every function that completes a message requires an [`EndProof`], so code that completes a
//! message without a proof does not compile. The constructors check the evidence, with two
//! exceptions:
//! - [`EndProof::of_status_line`] takes a [`SuccessLine`], which only the parser of status lines
//!   creates.
//! - [`EndProof::of_departed_client`] checks nothing; its caller must have checked that every
//!   client has disconnected.

use super::complete_answer::CompleteAnswer;
use super::pool::SuccessLine;
use hyper::StatusCode;
use hyper::http::response::Parts;
use std::fmt;

/// Status in a bulk answer of a message that was delivered.
const BULK_DELIVERED: &[u8] = b"ok";
/// Status in a bulk answer of a message that is gone at its endpoint and must not be sent again.
const BULK_GONE: &[u8] = b"gone";

/// Kind of evidence that shows that a message is complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Evidence {
    DeliveredByHead,
    DeliveredByStatusLine,
    DeliveredInBulk,
    GoneByAnswer,
    GoneInBulk,
    ReportedByPredecessor,
    NotificationAccepted,
    ClientLeft,
}

/// Proof that a message is complete. Only this module can create one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndProof(Evidence);

impl EndProof {
    /// Proof that stands for the evidence that a predecessor had and reported.
    #[cfg(test)]
    pub const REPORTED: Self = EndProof(Evidence::ReportedByPredecessor);

    /// Returns the proof from a complete status line with 200, whatever follows it. Valid only for
    /// a call with one message.
    pub fn of_status_line(_: &SuccessLine) -> Self {
        EndProof(Evidence::DeliveredByStatusLine)
    }

    /// Returns a proof if the response head has status 200. Valid only for a call with one message.
    pub fn of_delivered_head(head: &Parts) -> Option<Self> {
        (head.status == StatusCode::OK).then_some(EndProof(Evidence::DeliveredByHead))
    }

    /// Returns a proof if the answer has status 410. Valid for each message of the call.
    pub fn of_gone_answer(answer: &CompleteAnswer) -> Option<Self> {
        (answer.head().status == StatusCode::GONE).then_some(EndProof(Evidence::GoneByAnswer))
    }

    /// Returns a proof if the line of a bulk answer reports its message as delivered.
    pub fn of_delivered_line(line: &BulkLine<'_>) -> Option<Self> {
        (line.status == BULK_DELIVERED).then_some(EndProof(Evidence::DeliveredInBulk))
    }

    /// Returns a proof if the line of a bulk answer reports its message as gone at the endpoint.
    pub fn of_gone_line(line: &BulkLine<'_>) -> Option<Self> {
        (line.status == BULK_GONE).then_some(EndProof(Evidence::GoneInBulk))
    }

    /// Returns a proof if the platform answered the outcome notification with 204.
    pub fn of_notification_answer(status: StatusCode) -> Option<Self> {
        (status == StatusCode::NO_CONTENT).then_some(EndProof(Evidence::NotificationAccepted))
    }

    /// Returns the proof for a message whose clients have all disconnected before their responses.
    /// Valid only if the caller has checked that this client was the last one.
    pub fn of_departed_client(_: &DepartedClient) -> Self {
        EndProof(Evidence::ClientLeft)
    }
}

impl fmt::Display for EndProof {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self.0 {
            Evidence::DeliveredByHead => "delivered, 200",
            Evidence::DeliveredByStatusLine => {
                "delivered, complete 200 status line without the rest of the head"
            }
            Evidence::DeliveredInBulk => "delivered, in a bulk answer",
            Evidence::GoneByAnswer => "gone at its endpoint, 410",
            Evidence::GoneInBulk => "gone at its endpoint, in a bulk answer",
            Evidence::ReportedByPredecessor => "end proof reported by the predecessor",
            Evidence::NotificationAccepted => "notification accepted",
            Evidence::ClientLeft => "client disconnected before its response",
        })
    }
}

/// Complete line of a bulk answer: a message id and the status of that message.
#[derive(Debug, Clone, Copy)]
pub struct BulkLine<'a> {
    id: &'a [u8],
    status: &'a [u8],
}

impl<'a> BulkLine<'a> {
    /// Returns the id of the message that the line reports on.
    pub fn id(&self) -> &'a [u8] {
        self.id
    }

    /// Returns the status that the line reports, such as `ok` or `gone`.
    pub fn status(&self) -> &'a [u8] {
        self.status
    }

    /// Returns the complete lines of a bulk answer. If the answer's length is known and all of it
    /// was received, the last line is complete without a line feed. Otherwise the connection may
    /// have been closed in the middle of that line.
    pub fn parse_complete(
        text: &'a [u8],
        is_length_known: bool,
    ) -> impl Iterator<Item = BulkLine<'a>> {
        text.split_inclusive(|&byte| byte == b'\n')
            .filter(move |line| is_length_known || line.ends_with(b"\n"))
            .filter_map(|line| {
                let space = line.iter().position(|&byte| byte == b' ')?;
                Some(BulkLine {
                    id: &line[..space],
                    status: line[space + 1..].trim_ascii(),
                })
            })
    }
}

/// Client that disconnected before the response to its submission.
#[derive(Debug)]
pub struct DepartedClient {
    /// Id of the message that the client submitted.
    pub id: hyper::header::HeaderValue,
}

/// Serialization of an optional end proof between the processes of a handover. Only its presence is
/// sent, as one boolean; the receiver gets a proof reported by the predecessor.
pub mod in_frame {
    use super::{EndProof, Evidence};
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    /// Serializes whether there is a proof.
    ///
    /// # Errors
    /// Returns the errors of the serializer.
    pub fn serialize<S: Serializer>(
        proof: &Option<EndProof>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        proof.is_some().serialize(serializer)
    }

    /// Deserializes whether the predecessor had a proof.
    ///
    /// # Errors
    /// Returns the errors of the deserializer.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<EndProof>, D::Error> {
        let is_proved = bool::deserialize(deserializer)?;
        Ok(is_proved.then_some(EndProof(Evidence::ReportedByPredecessor)))
    }
}

#[cfg(test)]
mod tests;
