//! The journal: a file with the accepted messages and their attempts, from which the next process restores them.
//!
//! Each record is appended by one unbuffered write, so that written records survive a SIGKILL without a sync.
//!
//! A compaction writes the records of the current state to a new file, which is then renamed over the old one. The file
//! is compacted before an append that would otherwise leave too little space for a later compaction, when the old and
//! the new file must fit together under the size limit. It is also compacted if a partial record can't be cut off, and
//! on opening if the file is large or damaged.
//!
//! Writes may fail for some time. Records are always written in the order of their events, also after a failure:
//! - Records of past events (an attempt's outcome, the end of a message) wait in a queue and are written first once
//!   writes succeed again.
//! - Records of future events (the acceptance of a message, the start of an attempt, an operator's change of an
//!   endpoint) are not queued. The event must not happen until its record could be written.
//!
//! A partial record is cut off before the next append. So unless the file is damaged, a later process reads a prefix of
//! the history, never an event without the events before it. The only exception: when a message is complete, its other
//! pending records are dropped.

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

/// Name of the journal's file in the state folder.
const FILE_NAME: &str = "journal";
/// Size in bytes that is reserved for each record of an attempt, of an attempt's outcome or of a message's end. Only a
/// record with a long endpoint uid is larger.
const MAX_SMALL_RECORD_BYTES: u64 = 64;
/// Divisor of the size limit: at most a quarter of the limit is kept free of new messages, for records of attempts,
/// outcomes and ends.
const RESERVE_DIVISOR: u64 = 4;
/// Bytes of the folder's limit that the journal leaves for the folder's own blocks, for the clock's anchor file, and
/// for rounding the size of each file up to a multiple of 512 bytes.
const FOLDER_OVERHEAD_BYTES: u64 = 5 * 1024;
/// File size in bytes above which opening the journal compacts the file.
const MIN_COMPACTION_BYTES: u64 = 256 * 1024;
/// Number that no message has. A `Completed` record with this number changes nothing; it is written to test whether
/// writes succeed again.
const NO_MESSAGE: u64 = u64::MAX;

/// Error of opening or writing the journal.
#[derive(Debug, Error)]
pub enum JournalError {
    /// The state folder's size limit is reached. Space becomes free as messages complete; a larger `disk_mb` allows
    /// more messages.
    #[error("no room left in the journal")]
    Full,
    /// The file system failed to open, read, write or replace the file. The driver tries to write again until it
    /// succeeds.
    #[error("the journal can't be written: {0}")]
    Io(#[from] io::Error),
    /// A record can't be encoded. This is a defect of the program that operators can't repair.
    #[error("the journal can't be encoded: {0}")]
    Encode(#[from] postcard::Error),
}

/// Parameters with which the journal is opened, and opened again by [`Journal::reopen`].
#[derive(Debug, Clone)]
struct OpenOptions {
    folder: PathBuf,
    /// Maximum size of the state folder in bytes.
    limit_bytes: u64,
    /// Maximum number of records of attempts, outcomes and ends that the messages held at one time can need.
    max_records: u64,
}

/// Record of a past event that is not in the file yet.
#[derive(Debug)]
struct PendingRecord {
    /// Number of the message that the record belongs to. Always `Some`, because records about endpoints, which belong
    /// to no message, are never pending.
    message: Option<u64>,
    /// The encoded record with its header.
    bytes: Vec<u8>,
}

/// The open journal: its file, the state that its records result in, and the records that are still to be written.
#[derive(Debug)]
pub struct Journal {
    file: JournalFile,
    options: OpenOptions,
    /// Maximum total size in bytes of the old and the new file during a compaction.
    limit_bytes: u64,
    /// Bytes that new messages must leave free for records of attempts, outcomes and ends of the accepted messages.
    reserve_bytes: u64,
    /// State after all past events, including those whose records are still pending.
    contents: Contents,
    /// Records of past events that are not in the file yet, in the order of the events.
    pending: VecDeque<PendingRecord>,
    /// True if the last append or compaction failed in the file system.
    failing: bool,
}

impl Journal {
    /// Opens the journal in the folder and reads the incomplete messages. `limit_bytes` is the maximum size of the
    /// folder in bytes. `max_records` is the maximum number of records of attempts, outcomes and ends that all messages
    /// held at one time can need.
    ///
    /// # Errors
    /// Returns an error if the folder or the file can't be created, opened or read, or if the file is damaged and can't
    /// be rewritten. The call can be repeated without loss of data.
    pub fn open(
        folder: &Path,
        limit_bytes: u64,
        max_records: u64,
    ) -> Result<(Self, Recovery), JournalError> {
        let folder = folder.to_path_buf();
        Journal::open_with(OpenOptions {
            folder,
            limit_bytes,
            max_records,
        })
    }

    fn open_with(options: OpenOptions) -> Result<(Self, Recovery), JournalError> {
        fs::create_dir_all(&options.folder)?;
        let (file, bytes) = JournalFile::open(options.folder.join(FILE_NAME))?;
        let small_record_bytes = options.max_records.saturating_mul(MAX_SMALL_RECORD_BYTES);
        let mut journal = Journal {
            file,
            limit_bytes: options.limit_bytes.saturating_sub(FOLDER_OVERHEAD_BYTES),
            reserve_bytes: small_record_bytes.min(options.limit_bytes / RESERVE_DIVISOR),
            options,
            contents: Contents::default(),
            pending: VecDeque::new(),
            failing: false,
        };
        let recovery = recovery::read(&bytes, &mut journal.contents);
        if recovery.partial_record_bytes > 0 {
            journal
                .file
                .mark_partial_record(recovery.partial_record_bytes);
        }
        if recovery.damaged_bytes > 0 {
            journal.contents.presume_attempts()?;
            // later records refer to attempts by position, so the presumed attempts must be in the file before them
            journal.compact()?;
        } else if journal.file.whole_bytes > MIN_COMPACTION_BYTES
            || journal.file.cut_partial_record().is_err()
        {
            // a failed compaction loses nothing: the old file remains in use
            journal.failing = journal.compact().is_err();
        }
        Ok((journal, recovery))
    }

    /// Opens and reads the file again, because another process may have written it since it was read.
    ///
    /// # Errors
    /// Returns the errors of [`Journal::open`]; this journal is then unchanged.
    pub fn reopen(&mut self) -> Result<(), JournalError> {
        let (journal, _) = Journal::open_with(self.options.clone())?;
        *self = journal;
        Ok(())
    }

    /// Returns the incomplete messages by the number that [`Journal::accept`] was given for each.
    pub fn unfinished(&self) -> &BTreeMap<u64, UnfinishedMessage> {
        &self.contents.unfinished
    }

    /// Returns the size in bytes that a compacted file would have now.
    pub fn compacted_bytes(&self) -> u64 {
        self.contents.compacted_bytes
    }

    /// Returns the uids of the endpoints that operators have disabled.
    pub fn disabled_endpoints(&self) -> impl Iterator<Item = &str> {
        self.contents.disabled_endpoints.keys().map(String::as_str)
    }

    /// Returns true if operators have disabled the endpoint.
    pub fn is_disabled(&self, uid: &str) -> bool {
        self.contents.disabled_endpoints.contains_key(uid)
    }

    /// Returns true if the file holds at least one record, written by this or an earlier process.
    pub fn has_records(&self) -> bool {
        self.file.whole_bytes > 0
    }

    /// Returns true while records of past events are not in the file yet. A later process would not know of these
    /// events.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns true while writes to the file fail. Until they succeed, no message can be accepted and no call can
    /// start.
    pub fn is_failing(&self) -> bool {
        self.failing
    }

    /// Records that an endpoint is disabled or enabled. The operator may get a positive answer once this has succeeded.
    ///
    /// # Errors
    /// Returns an error if the record is not written.
    pub fn set_disabled(&mut self, uid: &str, disabled: bool) -> Result<(), JournalError> {
        let uid = uid.to_string();
        let record = if disabled {
            Record::EndpointDisabled(uid)
        } else {
            Record::EndpointEnabled(uid)
        };
        self.write_before_event(record, 0)
    }

    /// Records an accepted message. The client may get a positive answer once this has succeeded.
    ///
    /// # Errors
    /// Returns an error if the record is not written.
    pub fn accept(
        &mut self,
        number: u64,
        accepted: AcceptedMessage,
        origin: MessageOrigin,
        terms: ClassTerms,
    ) -> Result<(), JournalError> {
        let record = Record::Accepted(number, accepted, origin, terms);
        self.write_before_event(record, self.reserve_bytes)
    }

    /// Records the start of an attempt; the call may begin once this has succeeded. Returns the attempt's position
    /// among the message's recorded attempts. An attempt whose record could not be written takes no position.
    ///
    /// # Errors
    /// Returns an error if the record is not written.
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
        self.write_before_event(Record::AttemptStarted(number, attempt), 0)?;
        Ok(position)
    }

    /// Records that the endpoint certainly did not execute an attempt. Without this record a later process assumes that
    /// the endpoint may have executed it.
    ///
    /// # Errors
    /// Returns an error if the record can't be encoded; nothing is recorded then. Also returns an error if this record
    /// or an earlier pending one can't be written, for example because the journal is full. The record is then pending
    /// and is written once writes succeed again.
    pub fn attempt_never_ran(&mut self, message: u64, position: usize) -> Result<(), JournalError> {
        self.write_or_queue(Record::AttemptOutcome {
            message,
            attempt: position as u32,
            never_ran: true,
        })
    }

    /// Records that a message ended undelivered, so that its outcome notification is pending.
    ///
    /// # Errors
    /// Returns an error if the record can't be encoded; nothing is recorded then. Also returns an error if this record
    /// or an earlier pending one can't be written, for example because the journal is full. The record is then pending
    /// and is written once writes succeed again.
    pub fn end_undelivered(
        &mut self,
        number: u64,
        outcome: UndeliveredOutcome,
    ) -> Result<(), JournalError> {
        self.write_or_queue(Record::Undelivered(number, outcome))
    }

    /// Records that a message is complete. The proof argument makes sure that callers complete a message only with an
    /// end proof; the record does not store the proof.
    ///
    /// # Errors
    /// Returns an error if the record can't be encoded; nothing is recorded then. Also returns an error if this record
    /// or an earlier pending one can't be written, for example because the journal is full. The record is then pending
    /// and is written once writes succeed again.
    pub fn complete(&mut self, number: u64, _: EndProof) -> Result<(), JournalError> {
        if !self.contents.unfinished.contains_key(&number) {
            return Ok(());
        }
        // the message's other pending records have no meaning once it is complete
        self.pending.retain(|record| record.message != Some(number));
        self.write_or_queue(Record::Completed(number))
    }

    /// Retries failed writes: cuts off a partial record and writes the pending records. If the last write failed and
    /// none is pending, writes a record that changes nothing, to find out whether writes succeed again.
    ///
    /// # Errors
    /// Returns an error if writes still fail.
    pub fn retry_pending(&mut self) -> Result<(), JournalError> {
        if self.file.cut_partial_record().is_err() {
            // where the file can't be truncated, a compaction replaces it together with its partial record
            self.compact()?;
        }
        self.write_pending()?;
        if self.failing {
            let test_record = encode(&Record::Completed(NO_MESSAGE))?;
            self.append(&test_record, 0)?;
        }
        Ok(())
    }

    /// Writes the record of an event that has not happened yet, after all pending records. Fails if fewer than
    /// `reserve_bytes` bytes would remain free.
    fn write_before_event(
        &mut self,
        record: Record,
        reserve_bytes: u64,
    ) -> Result<(), JournalError> {
        self.write_pending()?;
        let bytes = encode(&record)?;
        self.append(&bytes, reserve_bytes)?;
        self.contents.apply(record, bytes.len() as u64);
        Ok(())
    }

    /// Updates the contents with the record of a past event and adds the record to the pending ones, then writes all
    /// pending records.
    fn write_or_queue(&mut self, record: Record) -> Result<(), JournalError> {
        let bytes = encode(&record)?;
        let message = record.message();
        self.contents.apply(record, bytes.len() as u64);
        self.pending.push_back(PendingRecord { message, bytes });
        self.write_pending()
    }

    /// Writes the pending records in order. Stops at the first failure; that record and all later ones stay pending.
    fn write_pending(&mut self) -> Result<(), JournalError> {
        while let Some(record) = self.pending.front() {
            let bytes = record.bytes.clone();
            self.append(&bytes, 0)?;
            // nothing is left to pop if `append` compacted the file, because a compaction writes all pending events
            self.pending.pop_front();
        }
        Ok(())
    }

    /// Appends a record if `reserve_bytes` bytes remain free after it, and compacts the file first if that makes the
    /// space.
    fn append(&mut self, bytes: &[u8], reserve_bytes: u64) -> Result<(), JournalError> {
        let length = bytes.len() as u64;
        let compacted_bytes = self.contents.compacted_bytes;
        // a later compaction, also one right after this record, must have space for the old and the new file together
        let fits =
            |size: u64| size + compacted_bytes + 2 * length + reserve_bytes <= self.limit_bytes;
        if !fits(self.file.whole_bytes) {
            if !fits(compacted_bytes) {
                return Err(JournalError::Full);
            }
            self.compact()?;
        }
        let written = self.file.append(bytes);
        self.failing = written.is_err();
        Ok(written?)
    }

    /// Replaces the file with a new one that holds only the records of the current state.
    fn compact(&mut self) -> Result<(), JournalError> {
        let bytes = self.contents.compacted()?;
        if self.file.whole_bytes + bytes.len() as u64 > self.limit_bytes {
            return Err(JournalError::Full);
        }
        let replaced = self.file.replace(&bytes);
        self.failing = replaced.is_err();
        replaced?;
        self.pending.clear();
        Ok(())
    }
}
