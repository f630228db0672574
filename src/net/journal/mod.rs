//! What the sender has accepted, in a file that outlasts the process.
//!
//! Records are appended whole, each by one write straight to the file: what was written outlasts a SIGKILL without a sync.
//! Before the file could grow beyond what lets old and new stand side by side under the limit, what is not complete is
//! written to a new file that then takes the old one's name.
//!
//! A write may fail for a while. No record is ever written before one that failed: what has happened (an outcome, an end)
//! is kept in its order and written first as soon as the disk takes it, and what is yet to happen (a message to be
//! accepted, an attempt) is not written, so that it must not happen, until then. Half a record is cut off before anything
//! follows it. So a later process reads a prefix of what happened, never a later part without an earlier one.

mod contents;
mod file;
mod records;
mod recovery;
#[cfg(test)]
mod tests;

use crate::net::end_proof::EndProof;
use contents::Contents;
pub use contents::UnfinishedMessage;
use file::JournalFile;
use message_sender::Micros;
pub use records::{
    AcceptedMessage, ClassTerms, MessageOrigin, RecordedAttempt, UndeliveredOutcome,
};
use records::{Record, encode};
pub use recovery::Recovery;
use std::collections::{BTreeMap, VecDeque};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The journal, in the state folder.
const FILE: &str = "journal";
/// Most bytes that one attempt, outcome or end takes up.
const MAX_SMALL_RECORD_BYTES: u64 = 64;
/// The part of the limit that is kept free of new messages, at most.
const MAX_RESERVE: u64 = 4;
/// For the folder's own blocks, the clock's anchor, and the rounding of the files to whole 512 bytes.
const ROUNDING_BYTES: u64 = 5 * 1024;
/// Below this a file is not worth compacting.
const COMPACTION_BYTES: u64 = 256 * 1024;
/// No message has this number: that it is complete says nothing, and shows that the disk takes records.
const NO_MESSAGE: u64 = u64::MAX;

/// Why a record was not written.
#[derive(Debug, Error)]
pub enum JournalError {
    /// The folder's limit: room comes back as messages end; a larger `disk_mb` holds more of them.
    #[error("no room left in the journal")]
    Full,
    /// The disk or the file system failed the write or the read: it is tried again until it succeeds.
    #[error("the journal can't be written: {0}")]
    Io(#[from] io::Error),
    /// A defect: no operator can mend it.
    #[error("the journal can't be encoded: {0}")]
    Encode(#[from] postcard::Error),
}

/// What a journal is opened with.
#[derive(Debug, Clone)]
struct OpenOptions {
    folder: PathBuf,
    limit: u64,
    max_records: u64,
}

/// A record that has happened and is not in the file yet.
#[derive(Debug)]
struct PendingRecord {
    /// The message that it is about.
    message: Option<u64>,
    /// As it is to be written.
    bytes: Vec<u8>,
}

/// The open journal.
#[derive(Debug)]
pub struct Journal {
    file: JournalFile,
    options: OpenOptions,
    /// Bytes that old and new file may take together.
    limit: u64,
    /// Kept free of new messages, for the attempts, outcomes and ends of those that were accepted.
    reserve: u64,
    /// All that has happened, what is pending included.
    contents: Contents,
    /// What has happened and is not in the file yet, in its order.
    pending: VecDeque<PendingRecord>,
    /// The last write failed.
    failing: bool,
}

impl Journal {
    /// Opens the journal in the folder and reads what is not complete. `limit` is what the folder may hold in bytes,
    /// `max_records` the attempts, outcomes and ends that the messages held at once may come to.
    ///
    /// # Errors
    /// The file can't be opened or read, or is damaged and can't be written anew. Nothing is lost by trying again.
    pub fn open(
        folder: &Path,
        limit: u64,
        max_records: u64,
    ) -> Result<(Self, Recovery), JournalError> {
        let folder = folder.to_path_buf();
        Journal::open_with(OpenOptions {
            folder,
            limit,
            max_records,
        })
    }

    fn open_with(options: OpenOptions) -> Result<(Self, Recovery), JournalError> {
        fs::create_dir_all(&options.folder)?;
        let (file, bytes) = JournalFile::open(options.folder.join(FILE))?;
        let small_records = options.max_records.saturating_mul(MAX_SMALL_RECORD_BYTES);
        let mut journal = Journal {
            file,
            limit: options.limit.saturating_sub(ROUNDING_BYTES),
            reserve: small_records.min(options.limit / MAX_RESERVE),
            options,
            contents: Contents::default(),
            pending: VecDeque::new(),
            failing: false,
        };
        let recovery = recovery::read(&bytes, &mut journal.contents);
        if recovery.torn > 0 {
            journal.file.mark_partial_record(recovery.torn);
        }
        if recovery.damaged > 0 {
            journal.contents.presume_attempts()?;
            // what is presumed has to stand in the file before anything refers to it
            journal.compact()?;
        } else if journal.file.size > COMPACTION_BYTES || journal.file.cut_partial_record().is_err()
        {
            // the larger file serves as well
            journal.failing = journal.compact().is_err();
        }
        Ok((journal, recovery))
    }

    /// Reads it anew: another process had it meanwhile.
    ///
    /// # Errors
    /// As [`Journal::open`]; it is as it was then.
    pub fn reopen(&mut self) -> Result<(), JournalError> {
        let (journal, _) = Journal::open_with(self.options.clone())?;
        *self = journal;
        Ok(())
    }

    /// The messages that are not complete, by the numbers of [`Journal::accept`].
    pub fn unfinished(&self) -> &BTreeMap<u64, UnfinishedMessage> {
        &self.contents.unfinished
    }

    /// The endpoints that operators have disabled.
    pub fn disabled_endpoints(&self) -> impl Iterator<Item = &str> {
        self.contents.disabled.keys().map(String::as_str)
    }

    /// True if operators have disabled the endpoint.
    pub fn is_disabled(&self, uid: &str) -> bool {
        self.contents.disabled.contains_key(uid)
    }

    /// True if an earlier process, or this one, has written something down.
    pub fn has_records(&self) -> bool {
        self.file.size > 0
    }

    /// True while something that has happened is not in the file yet: a later process would not know of it.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// True while the disk takes nothing: a message can't be accepted, and a call can't begin.
    pub fn is_failing(&self) -> bool {
        self.failing
    }

    /// Writes down that an endpoint is disabled or enabled; it may be promised once this has succeeded.
    ///
    /// # Errors
    /// It is not written.
    pub fn set_disabled(&mut self, uid: &str, disabled: bool) -> Result<(), JournalError> {
        let uid = uid.to_string();
        let record = if disabled {
            Record::EndpointDisabled(uid)
        } else {
            Record::EndpointEnabled(uid)
        };
        self.write_ahead(record, 0)
    }

    /// Writes a message down; it may be promised once this has succeeded.
    ///
    /// # Errors
    /// It is not written.
    pub fn accept(
        &mut self,
        number: u64,
        accepted: AcceptedMessage,
        origin: MessageOrigin,
        terms: ClassTerms,
    ) -> Result<(), JournalError> {
        let record = Record::Accepted(number, accepted, origin, terms);
        self.write_ahead(record, self.reserve)
    }

    /// Writes an attempt down; its call may begin once this has succeeded. Returns its position among the message's
    /// attempts here, which one that was not written down does not take.
    ///
    /// # Errors
    /// It is not written.
    pub fn start_attempt(
        &mut self,
        number: u64,
        uid: &str,
        sent_at: Micros,
    ) -> Result<usize, JournalError> {
        let message = self.contents.unfinished.get(&number);
        let position = message.map_or(0, |message| message.attempts.len());
        let attempt = RecordedAttempt {
            uid: uid.to_string(),
            sent_at,
            never_ran: false,
        };
        self.write_ahead(Record::AttemptStarted(number, attempt), 0)?;
        Ok(position)
    }

    /// An attempt has proved that it never ran. That it may have run is what an attempt without outcome says.
    ///
    /// # Errors
    /// It is pending: known here, and written as soon as the disk takes it.
    pub fn attempt_never_ran(&mut self, message: u64, position: usize) -> Result<(), JournalError> {
        self.write_behind(Record::AttemptOutcome {
            message,
            attempt: position as u32,
            never_ran: true,
        })
    }

    /// A message has ended undelivered, and a notification is pending.
    ///
    /// # Errors
    /// It is pending: known here, and written as soon as the disk takes it.
    pub fn end_undelivered(
        &mut self,
        number: u64,
        outcome: UndeliveredOutcome,
    ) -> Result<(), JournalError> {
        self.write_behind(Record::Undelivered(number, outcome))
    }

    /// Nothing more is owed for a message, as the proof shows: the record itself does not hold it.
    ///
    /// # Errors
    /// It is pending: known here, and written as soon as the disk takes it.
    pub fn complete(&mut self, number: u64, _: EndProof) -> Result<(), JournalError> {
        if !self.contents.unfinished.contains_key(&number) {
            return Ok(());
        }
        // what else is pending of it says nothing any more
        self.pending.retain(|record| record.message != Some(number));
        self.write_behind(Record::Completed(number))
    }

    /// Tries again what failed: what is pending is written, and a disk that took nothing is asked whether it does again.
    ///
    /// # Errors
    /// It still fails.
    pub fn retry_pending(&mut self) -> Result<(), JournalError> {
        if self.file.cut_partial_record().is_err() {
            // the half may be left behind with the whole file
            self.compact()?;
        }
        self.write_pending()?;
        if self.failing {
            let nothing = encode(&Record::Completed(NO_MESSAGE))?;
            self.append(&nothing, 0)?;
        }
        Ok(())
    }

    /// What is yet to happen: written before it does, and after all that has happened.
    fn write_ahead(&mut self, record: Record, reserve: u64) -> Result<(), JournalError> {
        self.write_pending()?;
        let bytes = encode(&record)?;
        self.append(&bytes, reserve)?;
        self.contents.apply(record, bytes.len() as u64);
        Ok(())
    }

    /// What has happened: true at once, and in the file now or later.
    fn write_behind(&mut self, record: Record) -> Result<(), JournalError> {
        let bytes = encode(&record)?;
        let message = record.message();
        self.contents.apply(record, bytes.len() as u64);
        self.pending.push_back(PendingRecord { message, bytes });
        self.write_pending()
    }

    /// Writes what is pending, in its order.
    fn write_pending(&mut self) -> Result<(), JournalError> {
        while let Some(record) = self.pending.front() {
            let bytes = record.bytes.clone();
            self.append(&bytes, 0)?;
            // a compaction on the way has written all of it
            self.pending.pop_front();
        }
        Ok(())
    }

    /// Appends a record, and leaves so many bytes free.
    fn append(&mut self, bytes: &[u8], reserve: u64) -> Result<(), JournalError> {
        let length = bytes.len() as u64;
        let live = self.contents.live_bytes;
        // old and new file must fit together, also after this record
        let fits = |size: u64| size + live + 2 * length + reserve <= self.limit;
        if !fits(self.file.size) {
            if !fits(live) {
                return Err(JournalError::Full);
            }
            self.compact()?;
        }
        let written = self.file.append(bytes);
        self.failing = written.is_err();
        Ok(written?)
    }

    /// Writes what is not complete to a new file in the old one's place.
    fn compact(&mut self) -> Result<(), JournalError> {
        let bytes = self.contents.compacted()?;
        if self.file.size + bytes.len() as u64 > self.limit {
            return Err(JournalError::Full);
        }
        let replaced = self.file.replace(&bytes);
        self.failing = replaced.is_err();
        replaced?;
        self.pending.clear();
        Ok(())
    }
}
