//! Proofs that nothing more is owed for an accepted message.
//!
//! A message stops being owed only on what the protocol calls its end, read from bytes that are whole: a first line, up to
//! its line feed, that says 200; a whole head that says 410; a line of a bulk answer that says the same of one message;
//! the platform's 204 to its notification; a client that left before its answer. Each constructor looks at that evidence
//! itself, and whatever completes a message takes the proof: an end without one does not compile.

use super::pool::SuccessLine;
use hyper::StatusCode;
use hyper::http::response::Parts;
use std::fmt;

/// Word of a bulk answer for a message that was delivered.
const BULK_DELIVERED: &[u8] = b"ok";
/// Word of a bulk answer for a message that is over at its endpoint.
const BULK_GONE: &[u8] = b"gone";

/// What proves an end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Evidence {
    DeliveredByHead,
    DeliveredByStatusLine,
    DeliveredInBulk,
    GoneByHead,
    GoneInBulk,
    ReportedByPredecessor,
    NotificationAccepted,
    ClientLeft,
}

/// Proof that nothing more is owed for a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndProof(Evidence);

impl EndProof {
    /// The process before this one had a proof, and reports that.
    #[cfg(test)]
    pub const REPORTED: Self = EndProof(Evidence::ReportedByPredecessor);

    /// A whole first line says 200, whatever follows it: true for a call with one message.
    pub fn of_status_line(_: &SuccessLine) -> Self {
        EndProof(Evidence::DeliveredByStatusLine)
    }

    /// A whole head says 200: true for a call with one message.
    pub fn of_delivered_head(head: &Parts) -> Option<Self> {
        (head.status == StatusCode::OK).then_some(EndProof(Evidence::DeliveredByHead))
    }

    /// A whole head says 410: true for each message of the call.
    pub fn of_gone_head(head: &Parts) -> Option<Self> {
        (head.status == StatusCode::GONE).then_some(EndProof(Evidence::GoneByHead))
    }

    /// A whole line of a bulk answer says of its message that it was delivered.
    pub fn of_delivered_line(line: &BulkLine<'_>) -> Option<Self> {
        (line.status == BULK_DELIVERED).then_some(EndProof(Evidence::DeliveredInBulk))
    }

    /// A whole line of a bulk answer says of its message that it is over at its endpoint.
    pub fn of_gone_line(line: &BulkLine<'_>) -> Option<Self> {
        (line.status == BULK_GONE).then_some(EndProof(Evidence::GoneInBulk))
    }

    /// The platform answered the notification with 204.
    pub fn of_notification_answer(status: StatusCode) -> Option<Self> {
        (status == StatusCode::NO_CONTENT).then_some(EndProof(Evidence::NotificationAccepted))
    }

    /// The message's last client left before it had an answer.
    pub fn of_departed_client(_: &DepartedClient) -> Self {
        EndProof(Evidence::ClientLeft)
    }
}

impl fmt::Display for EndProof {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self.0 {
            Evidence::DeliveredByHead => "delivered, 200",
            Evidence::DeliveredByStatusLine => {
                "delivered, 200 in a whole first line without its head"
            }
            Evidence::DeliveredInBulk => "delivered, in a bulk answer",
            Evidence::GoneByHead => "over at its endpoint, 410",
            Evidence::GoneInBulk => "over at its endpoint, in a bulk answer",
            Evidence::ReportedByPredecessor => "proved to the process before",
            Evidence::NotificationAccepted => "notification accepted",
            Evidence::ClientLeft => "client left before its answer",
        })
    }
}

/// A whole line of a bulk answer: a message's id and a word on it.
#[derive(Debug, Clone, Copy)]
pub struct BulkLine<'a> {
    id: &'a [u8],
    status: &'a [u8],
}

impl<'a> BulkLine<'a> {
    /// The id of the message that it is about.
    pub fn id(&self) -> &'a [u8] {
        self.id
    }

    /// What it says of the message.
    pub fn status(&self) -> &'a [u8] {
        self.status
    }

    /// The whole lines of a bulk answer. The last one needs no line feed where the answer's length is told and has come:
    /// one that the end of the connection ends may have been cut.
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

/// A client that left before it had an answer to the message that it handed in.
#[derive(Debug)]
pub struct DepartedClient {
    /// The id of the message.
    pub id: hyper::header::HeaderValue,
}

/// A proof within an attempt's end, as the processes of a handover exchange it: whether there is one.
pub mod in_frame {
    use super::{EndProof, Evidence};
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    /// # Errors
    /// Those of the serializer.
    pub fn serialize<S: Serializer>(
        proof: &Option<EndProof>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        proof.is_some().serialize(serializer)
    }

    /// # Errors
    /// Those of the deserializer.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<EndProof>, D::Error> {
        let is_proved = bool::deserialize(deserializer)?;
        Ok(is_proved.then_some(EndProof(Evidence::ReportedByPredecessor)))
    }
}

#[cfg(test)]
mod tests;
