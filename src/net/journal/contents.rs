//! State that results from applying all records of a journal: the incomplete messages, and the endpoints that operators
//! have disabled.

use super::records::{
    AcceptedMessage, ClassTerms, MessageOrigin, Record, RecordedAttempt, UndeliveredOutcome, encode,
};
use std::collections::BTreeMap;

/// A message that the journal holds because the sender still has to deliver it or to notify the
/// platform of its outcome.
#[derive(Debug, Clone, PartialEq)]
pub struct UnfinishedMessage {
    /// The message as the client submitted it.
    pub accepted: AcceptedMessage,
    /// Subject and tenant of the message.
    pub origin: MessageOrigin,
    /// Terms of the message's class at the time of acceptance. `None` for records of older program versions, which did
    /// not store the terms.
    pub terms: Option<ClassTerms>,
    /// All recorded attempts, in the order in which they started.
    pub attempts: Vec<RecordedAttempt>,
    /// Outcome of a message that ended undelivered. It stays here until the platform accepts the outcome notification.
    pub outcome: Option<UndeliveredOutcome>,
    /// Total size in bytes of this message's records in a compacted file.
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

    /// Encodes the records that a compacted file needs for this message.
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

/// Current state of the journal: incomplete messages and disabled endpoints, with the size of the records that store
/// them.
#[derive(Debug, Default)]
pub struct Contents {
    /// Incomplete messages by message number.
    pub unfinished: BTreeMap<u64, UnfinishedMessage>,
    /// Uid of each disabled endpoint, with the size in bytes of the record that disabled it.
    pub disabled_endpoints: BTreeMap<String, u64>,
    /// Size in bytes of a compacted file with the current state.
    pub compacted_bytes: u64,
}

impl Contents {
    /// Updates the state with a record; `length` is the record's size in the file, in bytes.
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
                    self.compacted_bytes -= old.size;
                }
            }
            Record::AttemptStarted(number, attempt) => {
                self.update_message(number, length, |message| message.attempts.push(attempt));
            }
            Record::AttemptOutcome {
                message,
                attempt,
                never_ran,
            } => self.update_message(message, 0, |message| {
                if let Some(attempt) = message.attempts.get_mut(attempt as usize) {
                    attempt.never_ran = never_ran;
                }
            }),
            Record::EndpointDisabled(uid) => {
                let old_length = self.disabled_endpoints.insert(uid, length);
                self.compacted_bytes += length - old_length.unwrap_or(0);
            }
            Record::EndpointEnabled(uid) => {
                self.compacted_bytes -= self.disabled_endpoints.remove(&uid).unwrap_or(0);
            }
            Record::Undelivered(number, outcome) => {
                self.update_message(number, length, |message| message.outcome = Some(outcome));
            }
        }
    }

    fn insert(&mut self, number: u64, message: UnfinishedMessage) {
        self.compacted_bytes += message.size;
        if let Some(old) = self.unfinished.insert(number, message) {
            self.compacted_bytes -= old.size;
        }
    }

    /// Applies a change to an incomplete message and adds `length` bytes to the size that its records take in a
    /// compacted file. Does nothing if the message is complete or unknown.
    fn update_message(
        &mut self,
        number: u64,
        length: u64,
        change: impl FnOnce(&mut UnfinishedMessage),
    ) {
        if let Some(message) = self.unfinished.get_mut(&number) {
            message.size += length;
            self.compacted_bytes += length;
            change(message);
        }
    }

    /// Adds a presumed attempt to every incomplete message. Called after damage to the file: each lost record may have
    /// been the start of an attempt of any of these messages.
    ///
    /// # Errors
    /// Returns an error if a message can't be encoded.
    pub fn presume_attempts(&mut self) -> Result<(), postcard::Error> {
        self.compacted_bytes = self.disabled_endpoints.values().sum();
        for (&number, message) in &mut self.unfinished {
            let presumed = RecordedAttempt {
                uid: String::new(),
                sent_at: message.accepted.received_at,
                never_ran: false,
            };
            message.attempts.insert(0, presumed);
            message.size = message.encode(number)?.len() as u64;
            self.compacted_bytes += message.size;
        }
        Ok(())
    }

    /// Encodes a compacted file: only the records that are needed to restore the current state.
    ///
    /// # Errors
    /// Returns an error if a record can't be encoded.
    pub fn compacted(&self) -> Result<Vec<u8>, postcard::Error> {
        let mut bytes = Vec::with_capacity(self.compacted_bytes as usize);
        for uid in self.disabled_endpoints.keys() {
            bytes.extend(encode(&Record::EndpointDisabled(uid.clone()))?);
        }
        for (&number, message) in &self.unfinished {
            bytes.extend(message.encode(number)?);
        }
        Ok(bytes)
    }
}
