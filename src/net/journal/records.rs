//! Records: what is written down, and its form on disk: a mark, a length, a checksum and the encoded entry.

use message_sender::{Class, Effect};
use serde::{Deserialize, Serialize};

pub const MARK: [u8; 4] = *b"MTJ1";
const HEAD: usize = 12;
/// More than any entry needs; a longer length is damage.
const LONGEST: usize = 1 << 18;
/// How a message that was not delivered ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending {
    Failed,
    Returned { after_ms: Option<u64> },
}

/// A message as it was handed in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Taken {
    pub id: String,
    pub key: Option<String>,
    pub class: String,
    pub destination: u64,
    /// Unix time in microseconds.
    pub taken_at: i64,
    pub deadline: i64,
    pub body: Vec<u8>,
}

/// Whose message it is, which the turns of a life to come need.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    pub subject: Option<String>,
    pub tenant: Option<String>,
}

/// What its class promised when it was taken on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    pub effect: Effect,
    pub aim: i64,
    pub deadline: i64,
    pub worth: f64,
    pub late_share: f64,
    pub ordered: bool,
    pub attempts: u32,
}

impl Terms {
    /// The terms of a class, with the attempts that a message has now.
    pub fn of(class: &Class, attempts: usize) -> Self {
        let &Class {
            effect,
            aim,
            deadline,
            worth,
            late_share,
            ordered,
            ..
        } = class;
        Terms {
            effect,
            aim,
            deadline,
            worth,
            late_share,
            ordered,
            attempts: attempts as u32,
        }
    }

    /// The class that they are the terms of.
    pub fn class(&self, name: &str) -> Class {
        let &Terms {
            effect,
            aim,
            deadline,
            worth,
            late_share,
            ordered,
            ..
        } = self;
        Class {
            name: name.to_string(),
            effect,
            aim,
            deadline,
            worth,
            late_share,
            ordered,
        }
    }
}

/// One send of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sent {
    pub uid: String,
    /// Unix time in microseconds.
    pub sent_at: i64,
    /// An outcome has proved that it never ran.
    pub never_ran: bool,
}

/// One record. The order of the variants is their form on disk: new ones come last.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Entry {
    /// Read only: as messages were written down before their origin was.
    Taken(u64, Taken),
    Sent(u64, Sent),
    Outcome {
        message: u64,
        attempt: u32,
        never_ran: bool,
    },
    Ending(u64, Ending),
    Over(u64),
    /// Read only: as messages were written down before their terms were.
    HandedIn(u64, Taken, Origin),
    /// Operators took this endpoint out, or put it back.
    PutOut(String),
    PutBack(String),
    TakenOn(u64, Taken, Origin, Terms),
}

impl Entry {
    /// The message that it is about.
    pub fn message(&self) -> Option<u64> {
        match *self {
            Entry::Taken(number, _)
            | Entry::HandedIn(number, ..)
            | Entry::TakenOn(number, ..)
            | Entry::Sent(number, _)
            | Entry::Outcome {
                message: number, ..
            }
            | Entry::Ending(number, _)
            | Entry::Over(number) => Some(number),
            Entry::PutOut(_) | Entry::PutBack(_) => None,
        }
    }
}

/// The record of an entry.
///
/// # Errors
/// The entry can't be encoded.
pub fn encode(entry: &Entry) -> Result<Vec<u8>, postcard::Error> {
    let payload = postcard::to_allocvec(entry)?;
    let mut record = Vec::with_capacity(HEAD + payload.len());
    record.extend_from_slice(&MARK);
    record.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    record.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    record.extend_from_slice(&payload);
    Ok(record)
}

/// The record at the start of the bytes and its length, if a sound one stands there.
pub fn decode(bytes: &[u8]) -> Option<(Entry, usize)> {
    let word = |at: usize| {
        bytes
            .get(at..at + 4)?
            .try_into()
            .ok()
            .map(u32::from_le_bytes)
    };
    if !bytes.starts_with(&MARK) {
        return None;
    }
    let (length, sum) = (word(4)? as usize, word(8)?);
    let payload = bytes
        .get(HEAD..HEAD + length)
        .filter(|_| length <= LONGEST)?;
    if crc32fast::hash(payload) != sum {
        return None;
    }
    postcard::from_bytes(payload)
        .ok()
        .map(|entry| (entry, HEAD + length))
}
