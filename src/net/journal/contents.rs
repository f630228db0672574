//! What the records say in all: what is still owed, and which endpoints operators have taken out.

use super::records::{Ending, Entry, Origin, Sent, Taken, Terms, encode};
use std::collections::BTreeMap;

/// What the journal still holds of a message.
#[derive(Debug, Clone, PartialEq)]
pub struct Owed {
    pub taken: Taken,
    pub origin: Origin,
    /// Not known of messages that an earlier program wrote down.
    pub terms: Option<Terms>,
    pub attempts: Vec<Sent>,
    /// It has ended, but its notice has not been answered.
    pub ending: Option<Ending>,
    /// Bytes of the records that a compacted file needs for it.
    size: u64,
}

/// All that a journal holds, and the bytes that a compacted file needs for it.
#[derive(Debug, Default)]
pub struct Contents {
    /// By number of message.
    pub owed: BTreeMap<u64, Owed>,
    /// Endpoints that are out, and the bytes that each one's record takes.
    pub out: BTreeMap<String, u64>,
    pub live: u64,
}

impl Contents {
    /// Takes in a record of this length.
    pub fn apply(&mut self, entry: Entry, length: u64) {
        match entry {
            Entry::Taken(number, taken) => self.owe(number, taken, Origin::default(), None, length),
            Entry::HandedIn(number, taken, origin) => self.owe(number, taken, origin, None, length),
            Entry::TakenOn(number, taken, origin, terms) => {
                self.owe(number, taken, origin, Some(terms), length);
            }
            Entry::Over(number) => {
                if let Some(old) = self.owed.remove(&number) {
                    self.live -= old.size;
                }
            }
            Entry::Sent(number, sent) => self.grow(number, length, |owed| owed.attempts.push(sent)),
            Entry::Outcome {
                message,
                attempt,
                never_ran,
            } => self.grow(message, 0, |owed| {
                if let Some(sent) = owed.attempts.get_mut(attempt as usize) {
                    sent.never_ran = never_ran;
                }
            }),
            Entry::PutOut(uid) => {
                self.live += length - self.out.insert(uid, length).unwrap_or(0);
            }
            Entry::PutBack(uid) => self.live -= self.out.remove(&uid).unwrap_or(0),
            Entry::Ending(number, ending) => {
                self.grow(number, length, |owed| owed.ending = Some(ending))
            }
        }
    }

    fn owe(
        &mut self,
        number: u64,
        taken: Taken,
        origin: Origin,
        terms: Option<Terms>,
        length: u64,
    ) {
        let owed = Owed {
            taken,
            origin,
            terms,
            attempts: Vec::new(),
            ending: None,
            size: length,
        };
        self.live += length;
        if let Some(old) = self.owed.insert(number, owed) {
            self.live -= old.size;
        }
    }

    fn grow(&mut self, number: u64, length: u64, change: impl FnOnce(&mut Owed)) {
        if let Some(owed) = self.owed.get_mut(&number) {
            owed.size += length;
            self.live += length;
            change(owed);
        }
    }

    /// A record was lost: it may have told of a send of any message that is owed.
    ///
    /// # Errors
    /// A message can't be encoded.
    pub fn presume_sends(&mut self) -> Result<(), postcard::Error> {
        self.live = self.out.values().sum();
        for (&number, owed) in &mut self.owed {
            let presumed = Sent {
                uid: String::new(),
                sent_at: owed.taken.taken_at,
                never_ran: false,
            };
            owed.attempts.insert(0, presumed);
            owed.size = encode_owed(number, owed)?.len() as u64;
            self.live += owed.size;
        }
        Ok(())
    }

    /// The bytes of a file that holds this and nothing of the past.
    ///
    /// # Errors
    /// Something can't be encoded.
    pub fn compacted(&self) -> Result<Vec<u8>, postcard::Error> {
        let mut bytes = Vec::new();
        for uid in self.out.keys() {
            bytes.extend(encode(&Entry::PutOut(uid.clone()))?);
        }
        for (&number, owed) in &self.owed {
            bytes.extend(encode_owed(number, owed)?);
        }
        Ok(bytes)
    }
}

fn encode_owed(number: u64, owed: &Owed) -> Result<Vec<u8>, postcard::Error> {
    let (taken, origin) = (owed.taken.clone(), owed.origin.clone());
    let mut bytes = encode(&match owed.terms.clone() {
        Some(terms) => Entry::TakenOn(number, taken, origin, terms),
        None => Entry::HandedIn(number, taken, origin),
    })?;
    for sent in &owed.attempts {
        bytes.extend(encode(&Entry::Sent(number, sent.clone()))?);
    }
    if let Some(ending) = owed.ending {
        bytes.extend(encode(&Entry::Ending(number, ending))?);
    }
    Ok(bytes)
}
