//! Records of the journal and their form on disk: a mark, a length, a checksum and the encoded record.

use message_sender::{Class, Effect, Micros};
use serde::{Deserialize, Serialize};

/// Each record begins with it.
pub const MARK: [u8; 4] = *b"MTJ1";
/// Bytes of mark, length and checksum.
const HEADER_BYTES: usize = 12;
/// More than any record needs; a longer length is damage.
const MAX_PAYLOAD_BYTES: usize = 1 << 18;

/// How a message that was not delivered ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum UndeliveredOutcome {
    /// It can't be delivered, or may have been.
    Failed,
    /// It was never delivered: the client may hand it in again.
    Returned {
        /// Not before so many milliseconds.
        after_ms: Option<u64>,
    },
}

/// A message as a client handed it in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedMessage {
    /// The client's id of the message.
    pub id: String,
    /// Its idempotency key.
    pub key: Option<String>,
    /// The name of its class.
    pub class: String,
    /// Where it goes.
    pub destination: u64,
    /// When its request began, in module time.
    pub accepted_at: Micros,
    /// No longer delivered after this module time.
    pub deadline: Micros,
    /// Its body.
    pub body: Vec<u8>,
}

/// Whose message it is, which the ordering and the shares of a later process need.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageOrigin {
    /// What the message is about.
    pub subject: Option<String>,
    /// The tenant that it counts for.
    pub tenant: Option<String>,
}

/// What its class allowed when the message was accepted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassTerms {
    /// What a repeat does.
    pub effect: Effect,
    /// Full priority weight when delivered within this time.
    pub latency_objective: Micros,
    /// No longer delivered after this time.
    pub deadline: Micros,
    /// The weight of one message.
    pub priority_weight: f64,
    /// The share of the weight that is left at the deadline.
    pub late_share: f64,
    /// Messages of one subject go one at a time, in order.
    pub ordered: bool,
    /// Attempts that the message has.
    pub max_attempts: u32,
}

impl ClassTerms {
    /// The terms of a class, with the attempts that a message has now.
    pub fn of(class: &Class, max_attempts: usize) -> Self {
        ClassTerms {
            effect: class.effect,
            latency_objective: class.latency_objective,
            deadline: class.deadline,
            priority_weight: class.priority_weight,
            late_share: class.late_share,
            ordered: class.ordered,
            max_attempts: max_attempts as u32,
        }
    }

    /// The class that they are the terms of.
    pub fn class(&self, name: &str) -> Class {
        Class {
            name: name.to_string(),
            effect: self.effect,
            latency_objective: self.latency_objective,
            deadline: self.deadline,
            priority_weight: self.priority_weight,
            late_share: self.late_share,
            ordered: self.ordered,
        }
    }
}

/// One attempt to deliver a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAttempt {
    /// The endpoint's name in the list.
    pub uid: String,
    /// Module time.
    pub sent_at: Micros,
    /// An outcome has proved that it never ran.
    pub never_ran: bool,
}

/// One record. The order of the variants is their form on disk: new ones come last.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Record {
    /// Read only: as messages were written down before their origin was.
    AcceptedWithoutOrigin(u64, AcceptedMessage),
    /// An attempt to deliver the message begins.
    AttemptStarted(u64, RecordedAttempt),
    /// What an attempt's outcome has proved.
    AttemptOutcome {
        /// The message's number.
        message: u64,
        /// The position among the message's attempts.
        attempt: u32,
        /// It never ran.
        never_ran: bool,
    },
    /// The message ended undelivered, and a notification is pending.
    Undelivered(u64, UndeliveredOutcome),
    /// Nothing more is to be done for the message.
    Completed(u64),
    /// Read only: as messages were written down before their terms were.
    AcceptedWithoutTerms(u64, AcceptedMessage, MessageOrigin),
    /// Operators disabled this endpoint.
    EndpointDisabled(String),
    /// Operators enabled this endpoint again.
    EndpointEnabled(String),
    /// A client's message was accepted.
    Accepted(u64, AcceptedMessage, MessageOrigin, ClassTerms),
}

impl Record {
    /// The message that it is about.
    pub fn message(&self) -> Option<u64> {
        match *self {
            Record::AcceptedWithoutOrigin(number, _)
            | Record::AcceptedWithoutTerms(number, ..)
            | Record::Accepted(number, ..)
            | Record::AttemptStarted(number, _)
            | Record::AttemptOutcome {
                message: number, ..
            }
            | Record::Undelivered(number, _)
            | Record::Completed(number) => Some(number),
            Record::EndpointDisabled(_) | Record::EndpointEnabled(_) => None,
        }
    }
}

/// The bytes of a record.
///
/// # Errors
/// The record can't be encoded.
pub fn encode(record: &Record) -> Result<Vec<u8>, postcard::Error> {
    let payload = postcard::to_allocvec(record)?;
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
    bytes.extend_from_slice(&MARK);
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    bytes.extend_from_slice(&payload);
    Ok(bytes)
}

/// The record at the start of the bytes and its length, if a sound one stands there.
pub fn decode(bytes: &[u8]) -> Option<(Record, usize)> {
    if !bytes.starts_with(&MARK) {
        return None;
    }
    let length = word_at(bytes, 4)? as usize;
    let checksum = word_at(bytes, 8)?;
    if length > MAX_PAYLOAD_BYTES {
        return None;
    }
    let end = HEADER_BYTES + length;
    let payload = bytes.get(HEADER_BYTES..end)?;
    if crc32fast::hash(payload) != checksum {
        return None;
    }
    let record = postcard::from_bytes(payload).ok()?;
    Some((record, end))
}

fn word_at(bytes: &[u8], at: usize) -> Option<u32> {
    let word = bytes.get(at..at + 4)?.try_into().ok()?;
    Some(u32::from_le_bytes(word))
}
