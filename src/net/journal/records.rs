//! Records of the journal and their format on disk: a marker, the length, a checksum and the encoded record.

use bytes::Bytes;
use message_sender::{Class, Effect, Micros};
use serde::{Deserialize, Serialize};

/// Marker bytes at the start of each record.
pub const MARKER: [u8; 4] = *b"MTJ1";
/// Size in bytes of a record's header: marker, payload length and checksum of 4 bytes each.
const HEADER_BYTES: usize = 12;
/// Maximum payload size of a record in bytes, larger than any record that is written. A header with a longer length is
/// treated as damage.
const MAX_PAYLOAD_BYTES: usize = 1 << 18;

/// Final outcome of a message that was not delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum UndeliveredOutcome {
    /// The message can't be delivered, or an attempt may have delivered it without a confirmation.
    Failed,
    /// The message was certainly not delivered, so the client may submit it again.
    Returned {
        /// Delay in milliseconds after which the client may submit the message again.
        after_ms: Option<u64>,
    },
}

/// A message as a client submitted it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedMessage {
    /// Id that the client gave the message.
    pub id: String,
    /// Idempotency key that the client sent with the message.
    pub key: Option<String>,
    /// Name of the message's class.
    pub class: String,
    /// Number of the destination that the message is for.
    pub destination: u64,
    /// Time at which the head of the client's request was received, in microseconds of module time.
    pub received_at: Micros,
    /// Time after which the message is no longer delivered, in microseconds of module time.
    pub deadline: Micros,
    /// Body that the endpoint receives, shared with the driver's copy of the message.
    pub body: Bytes,
}

/// Subject and tenant of a message. A later process needs them to keep the order of a subject's messages and to count
/// the message for its tenant.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageOrigin {
    /// Subject by which an ordered class delivers messages in order, for example an account.
    pub subject: Option<String>,
    /// Tenant whose allowance the message counts against.
    pub tenant: Option<String>,
}

/// Delivery terms that the message's class had when the message was accepted. They hold for the message even if the
/// class changes later.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassTerms {
    /// Effect of a repeated delivery, which decides whether a message may be sent again.
    pub effect: Effect,
    /// Latency in microseconds up to which a delivery has its full priority weight.
    pub latency_objective: Micros,
    /// Age in microseconds after which a message is no longer delivered.
    pub deadline: Micros,
    /// Priority weight of one message that is delivered within the latency objective.
    pub priority_weight: f64,
    /// Minimum fraction of the priority weight, from 0 to 1, that a late delivery keeps.
    pub late_share: f64,
    /// Whether messages of one subject are delivered one at a time, in order.
    pub ordered: bool,
    /// Maximum number of attempts for the message.
    pub max_attempts: u32,
}

impl ClassTerms {
    /// Returns the current terms of a class, with the maximum number of attempts that the settings allow now.
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

    /// Returns a class of the given name with these terms.
    pub fn to_class(&self, name: &str) -> Class {
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

/// One attempt to deliver a message, as the journal stores it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAttempt {
    /// Uid of the endpoint in the endpoint list. Empty for an attempt that is presumed after damage to the file.
    pub uid: String,
    /// Time at which the attempt started, in microseconds of module time.
    pub sent_at: Micros,
    /// True once the attempt's outcome has proved that the endpoint never executed the call.
    pub never_ran: bool,
}

/// One record of the journal. The position of a variant is its encoding on disk, so new variants are added at the end.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Record {
    /// A client's message with this number was accepted. Older program versions wrote this record, without the
    /// message's subject and tenant and without the terms of its class; this version only reads it.
    AcceptedWithoutOrigin(u64, AcceptedMessage),
    /// An attempt to deliver the message with this number starts.
    AttemptStarted(u64, RecordedAttempt),
    /// An attempt ended, and its outcome shows whether the endpoint can have executed the call.
    AttemptOutcome {
        /// Number of the message.
        message: u64,
        /// Position of the attempt among the message's recorded attempts, from 0.
        attempt: u32,
        /// Whether the endpoint certainly did not execute the call.
        never_ran: bool,
    },
    /// The message with this number ended undelivered, and its outcome notification is pending.
    Undelivered(u64, UndeliveredOutcome),
    /// The message with this number is complete: it needs no further attempt and no notification.
    Completed(u64),
    /// A client's message with this number was accepted, with its subject and tenant. Older program versions wrote this
    /// record, without the terms of the message's class; this version only reads it.
    AcceptedWithoutTerms(u64, AcceptedMessage, MessageOrigin),
    /// Operators disabled the endpoint with this uid.
    EndpointDisabled(String),
    /// Operators enabled the endpoint with this uid again.
    EndpointEnabled(String),
    /// A client's message with this number was accepted, with its subject and tenant and the terms of its class.
    Accepted(u64, AcceptedMessage, MessageOrigin, ClassTerms),
}

impl Record {
    /// Returns the number of the message that the record belongs to; `None` for records about endpoints.
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

/// Encodes a record with its header.
///
/// # Errors
/// Returns an error if the record can't be encoded.
pub fn encode(record: &Record) -> Result<Vec<u8>, postcard::Error> {
    let payload = postcard::to_allocvec(record)?;
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
    bytes.extend_from_slice(&MARKER);
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    bytes.extend_from_slice(&payload);
    Ok(bytes)
}

/// Decodes the record at the start of the bytes. Returns it with its length in bytes, or `None` if the bytes don't
/// start with a valid record.
pub fn decode(bytes: &[u8]) -> Option<(Record, usize)> {
    if !bytes.starts_with(&MARKER) {
        return None;
    }
    let length = u32_at(bytes, 4)? as usize;
    let checksum = u32_at(bytes, 8)?;
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

/// Reads the little-endian number in the 4 bytes at the offset.
fn u32_at(bytes: &[u8], offset: usize) -> Option<u32> {
    let word = bytes.get(offset..offset + 4)?.try_into().ok()?;
    Some(u32::from_le_bytes(word))
}
