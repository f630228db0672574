//! What the records say in all: the messages that are not complete, and the endpoints that operators have disabled.

use super::records::{
    AcceptedMessage, ClassTerms, MessageOrigin, Record, RecordedAttempt, UndeliveredOutcome, encode,
};
use std::collections::BTreeMap;

/// What the journal holds of a message that is not complete.
#[derive(Debug, Clone, PartialEq)]
pub struct UnfinishedMessage {
    /// The message as it was handed in.
    pub accepted: AcceptedMessage,
    /// Whose message it is.
    pub origin: MessageOrigin,
    /// Not known of messages that an earlier program wrote down.
    pub terms: Option<ClassTerms>,
    /// All attempts, in their order.
    pub attempts: Vec<RecordedAttempt>,
    /// It has ended undelivered, but its notification has not been accepted.
    pub outcome: Option<UndeliveredOutcome>,
    /// Bytes of the records that a compacted file needs for it.
    size: u64,
}

impl UnfinishedMessage {
    fn new(
        accepted: AcceptedMessage,
        origin: MessageOrigin,
        terms: Option<ClassTerms>,
        size: u64,
    ) -> Self {
        UnfinishedMessage {
            accepted,
            origin,
            terms,
            attempts: Vec::new(),
            outcome: None,
            size,
        }
    }

    /// The records that a compacted file needs for it.
    fn encode(&self, number: u64) -> Result<Vec<u8>, postcard::Error> {
        let accepted = self.accepted.clone();
        let origin = self.origin.clone();
        let mut bytes = encode(&match self.terms.clone() {
            Some(terms) => Record::Accepted(number, accepted, origin, terms),
            None => Record::AcceptedWithoutTerms(number, accepted, origin),
        })?;
        for attempt in &self.attempts {
            bytes.extend(encode(&Record::AttemptStarted(number, attempt.clone()))?);
        }
        if let Some(outcome) = self.outcome {
            bytes.extend(encode(&Record::Undelivered(number, outcome))?);
        }
        Ok(bytes)
    }
}

/// All that a journal holds, and the bytes that a compacted file needs for it.
#[derive(Debug, Default)]
pub struct Contents {
    /// By number of message.
    pub unfinished: BTreeMap<u64, UnfinishedMessage>,
    /// Endpoints that are disabled, and the bytes that each one's record takes.
    pub disabled: BTreeMap<String, u64>,
    /// Bytes that a compacted file needs.
    pub live_bytes: u64,
}

impl Contents {
    /// Takes in a record of this length.
    pub fn apply(&mut self, record: Record, length: u64) {
        match record {
            Record::AcceptedWithoutOrigin(number, accepted) => {
                let origin = MessageOrigin::default();
                self.insert(
                    number,
                    UnfinishedMessage::new(accepted, origin, None, length),
                );
            }
            Record::AcceptedWithoutTerms(number, accepted, origin) => {
                self.insert(
                    number,
                    UnfinishedMessage::new(accepted, origin, None, length),
                );
            }
            Record::Accepted(number, accepted, origin, terms) => {
                let message = UnfinishedMessage::new(accepted, origin, Some(terms), length);
                self.insert(number, message);
            }
            Record::Completed(number) => {
                if let Some(old) = self.unfinished.remove(&number) {
                    self.live_bytes -= old.size;
                }
            }
            Record::AttemptStarted(number, attempt) => {
                self.change(number, length, |message| message.attempts.push(attempt));
            }
            Record::AttemptOutcome {
                message,
                attempt,
                never_ran,
            } => self.change(message, 0, |message| {
                if let Some(attempt) = message.attempts.get_mut(attempt as usize) {
                    attempt.never_ran = never_ran;
                }
            }),
            Record::EndpointDisabled(uid) => {
                let before = self.disabled.insert(uid, length);
                self.live_bytes += length - before.unwrap_or(0);
            }
            Record::EndpointEnabled(uid) => {
                self.live_bytes -= self.disabled.remove(&uid).unwrap_or(0);
            }
            Record::Undelivered(number, outcome) => {
                self.change(number, length, |message| message.outcome = Some(outcome));
            }
        }
    }

    fn insert(&mut self, number: u64, message: UnfinishedMessage) {
        self.live_bytes += message.size;
        if let Some(old) = self.unfinished.insert(number, message) {
            self.live_bytes -= old.size;
        }
    }

    /// Changes a message by a record that a compacted file needs so many bytes for.
    fn change(&mut self, number: u64, length: u64, change: impl FnOnce(&mut UnfinishedMessage)) {
        if let Some(message) = self.unfinished.get_mut(&number) {
            message.size += length;
            self.live_bytes += length;
            change(message);
        }
    }

    /// A record was lost: it may have been an attempt of any unfinished message.
    ///
    /// # Errors
    /// A message can't be encoded.
    pub fn presume_attempts(&mut self) -> Result<(), postcard::Error> {
        self.live_bytes = self.disabled.values().sum();
        for (&number, message) in &mut self.unfinished {
            let presumed = RecordedAttempt {
                uid: String::new(),
                sent_at: message.accepted.accepted_at,
                never_ran: false,
            };
            message.attempts.insert(0, presumed);
            message.size = message.encode(number)?.len() as u64;
            self.live_bytes += message.size;
        }
        Ok(())
    }

    /// The bytes of a file that holds this and nothing of the past.
    ///
    /// # Errors
    /// Something can't be encoded.
    pub fn compacted(&self) -> Result<Vec<u8>, postcard::Error> {
        let mut bytes = Vec::new();
        for uid in self.disabled.keys() {
            bytes.extend(encode(&Record::EndpointDisabled(uid.clone()))?);
        }
        for (&number, message) in &self.unfinished {
            bytes.extend(message.encode(number)?);
        }
        Ok(bytes)
    }
}
