//! What the sender has taken on, in a file that outlasts the process.
//!
//! Records are appended whole, each by one write straight to the file: what was written outlasts a SIGKILL without a sync.
//! Before the file could grow beyond what lets old and new stand side by side under the limit, what is still owed is
//! written to a new file that then takes the old one's name.
//!
//! A write may fail for a while. No record is ever written before one that failed: what has happened (an outcome, an end)
//! is kept in its order and written first as soon as the disk takes it, and what is yet to happen (a message to be taken
//! on, a send) is not written, so that it must not happen, until then. Half a record is cut off before anything
//! follows it. So a next life reads a prefix of what happened, never a later part without an earlier one.

mod contents;
mod records;

use contents::Contents;
pub use contents::Owed;
pub use records::{Ending, Origin, Sent, Taken, Terms};
use records::{Entry, MARK, decode, encode};
use std::collections::{BTreeMap, VecDeque};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Most that one send, outcome or end takes up.
const SMALL_ENTRY: u64 = 64;
/// Part of the room that is kept free of new messages, at most.
const RESERVE_MOST: u64 = 4;
/// For the folder's own blocks, the clock's anchor, and the rounding of the files to whole 512 bytes.
const ROUNDING: u64 = 5 * 1024;
/// Below this a file is not worth compacting.
const SMALL: u64 = 256 * 1024;
/// No message has this number: that it is over says nothing, and shows that the disk takes records.
const NO_MESSAGE: u64 = u64::MAX;

/// Why an entry was not written.
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

/// What was found at the start.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Recovery {
    pub records: usize,
    /// Bytes dropped at the end: a record that a kill cut short.
    pub torn: usize,
    /// Bytes skipped before sound records: real damage.
    pub damaged: usize,
}

/// What a journal is opened with.
#[derive(Debug, Clone)]
struct Opening {
    folder: PathBuf,
    limit: u64,
    entries: u64,
}

/// The open journal.
#[derive(Debug)]
pub struct Journal {
    path: PathBuf,
    file: File,
    /// Bytes of whole records in the file.
    size: u64,
    limit: u64,
    opening: Opening,
    /// Kept free of new messages, for the sends, outcomes and ends of those that were taken.
    reserve: u64,
    /// All that has happened, what is pending included.
    contents: Contents,
    /// What has happened and is not in the file yet, in its order.
    pending: VecDeque<Entry>,
    /// Half a record may stand behind the whole ones.
    dirty: bool,
    /// The last write failed.
    failing: bool,
}

impl Journal {
    /// Opens the journal in the folder and reads what is owed. `limit` is what the folder may hold, `entries`
    /// the sends, outcomes and ends that the messages held at once may come to.
    ///
    /// # Errors
    /// The file can't be opened or read, or is damaged and can't be written anew. Nothing is lost by trying again.
    pub fn open(folder: &Path, limit: u64, entries: u64) -> Result<(Self, Recovery), JournalError> {
        fs::create_dir_all(folder)?;
        let path = folder.join("journal");
        // what a kill in the middle of a compaction left behind; one that stays is written over
        let _ = fs::remove_file(path.with_extension("new"));
        let bytes = match fs::read(&path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => Vec::new(),
            other => other?,
        };
        let file = OpenOptions::new().append(true).create(true).open(&path)?;
        let opening = Opening {
            folder: folder.to_path_buf(),
            limit,
            entries,
        };
        let mut journal = Journal {
            path,
            file,
            size: bytes.len() as u64,
            limit: limit.saturating_sub(ROUNDING),
            opening,
            reserve: entries
                .saturating_mul(SMALL_ENTRY)
                .min(limit / RESERVE_MOST),
            contents: Contents::default(),
            pending: VecDeque::new(),
            dirty: false,
            failing: false,
        };
        let recovery = journal.read(&bytes);
        if recovery.torn > 0 {
            journal.size -= recovery.torn as u64;
            journal.dirty = true;
        }
        if recovery.damaged > 0 {
            journal.contents.presume_sends()?;
            // what is presumed has to stand in the file before anything refers to it
            journal.compact()?;
        } else if journal.size > SMALL || journal.cut_half_record().is_err() {
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
        let Opening {
            folder,
            limit,
            entries,
        } = self.opening.clone();
        *self = Journal::open(&folder, limit, entries)?.0;
        Ok(())
    }

    /// What is owed, by the numbers of [`Journal::take`].
    pub fn owed(&self) -> &BTreeMap<u64, Owed> {
        &self.contents.owed
    }

    /// The endpoints that operators have taken out.
    pub fn out(&self) -> impl Iterator<Item = &str> {
        self.contents.out.keys().map(String::as_str)
    }

    /// True if operators have taken the endpoint out.
    pub fn is_out(&self, uid: &str) -> bool {
        self.contents.out.contains_key(uid)
    }

    /// True if an earlier process, or this one, has written something down.
    pub fn has_records(&self) -> bool {
        self.size > 0
    }

    /// True while something that has happened is not in the file yet: a next life would not know of it.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// True while the disk takes nothing: a message can't be taken on, and a call can't begin.
    pub fn is_failing(&self) -> bool {
        self.failing
    }

    /// Writes down that an endpoint is taken out or put back; it may be promised once this has succeeded.
    ///
    /// # Errors
    /// It is not written.
    pub fn set_out(&mut self, uid: &str, out: bool) -> Result<(), JournalError> {
        let uid = uid.to_string();
        self.write_ahead(
            if out {
                Entry::PutOut(uid)
            } else {
                Entry::PutBack(uid)
            },
            0,
        )
    }

    /// Writes a message down; it may be promised once this has succeeded.
    ///
    /// # Errors
    /// It is not written.
    pub fn take(
        &mut self,
        number: u64,
        taken: Taken,
        origin: Origin,
        terms: Terms,
    ) -> Result<(), JournalError> {
        self.write_ahead(Entry::TakenOn(number, taken, origin, terms), self.reserve)
    }

    /// Writes a send down; its call may begin once this has succeeded. Returns its position among the message's
    /// sends here, which one that was not written down does not take.
    ///
    /// # Errors
    /// It is not written.
    pub fn sent(&mut self, number: u64, uid: &str, sent_at: i64) -> Result<usize, JournalError> {
        let position = self
            .contents
            .owed
            .get(&number)
            .map_or(0, |owed| owed.attempts.len());
        self.write_ahead(
            Entry::Sent(
                number,
                Sent {
                    uid: uid.to_string(),
                    sent_at,
                    never_ran: false,
                },
            ),
            0,
        )?;
        Ok(position)
    }

    /// An attempt has proved that it never ran. That it may have run is what a send without outcome says.
    ///
    /// # Errors
    /// It is pending: known here, and written as soon as the disk takes it.
    pub fn never_ran(&mut self, message: u64, position: usize) -> Result<(), JournalError> {
        self.write_behind(Entry::Outcome {
            message,
            attempt: position as u32,
            never_ran: true,
        })
    }

    /// A message has ended, and a notice is owed.
    ///
    /// # Errors
    /// It is pending: known here, and written as soon as the disk takes it.
    pub fn ending(&mut self, number: u64, ending: Ending) -> Result<(), JournalError> {
        self.write_behind(Entry::Ending(number, ending))
    }

    /// Nothing more is owed.
    ///
    /// # Errors
    /// It is pending: known here, and written as soon as the disk takes it.
    pub fn over(&mut self, number: u64) -> Result<(), JournalError> {
        if !self.contents.owed.contains_key(&number) {
            return Ok(());
        }
        // what else is pending of it says nothing any more
        self.pending.retain(|entry| entry.message() != Some(number));
        self.write_behind(Entry::Over(number))
    }

    /// Tries again what failed: what is pending is written, and a disk that took nothing is asked whether it does again.
    ///
    /// # Errors
    /// It still fails.
    pub fn retry(&mut self) -> Result<(), JournalError> {
        if self.cut_half_record().is_err() {
            // the half may be left behind with the whole file
            self.compact()?;
        }
        self.flush()?;
        if self.failing {
            self.append(&Entry::Over(NO_MESSAGE), 0)?;
        }
        Ok(())
    }

    /// What is yet to happen: written before it does, and after all that has happened.
    fn write_ahead(&mut self, entry: Entry, reserve: u64) -> Result<(), JournalError> {
        self.flush()?;
        let length = self.append(&entry, reserve)?;
        self.contents.apply(entry, length);
        Ok(())
    }

    /// What has happened: true at once, and in the file now or later.
    fn write_behind(&mut self, entry: Entry) -> Result<(), JournalError> {
        let length = encode(&entry)?.len() as u64;
        self.contents.apply(entry.clone(), length);
        self.pending.push_back(entry);
        self.flush()
    }

    /// Writes what is pending, in its order.
    fn flush(&mut self) -> Result<(), JournalError> {
        while let Some(entry) = self.pending.front().cloned() {
            self.append(&entry, 0)?;
            // a compaction on the way has written all of it
            self.pending.pop_front();
        }
        Ok(())
    }

    /// Appends a record; its length.
    fn append(&mut self, entry: &Entry, reserve: u64) -> Result<u64, JournalError> {
        let record = encode(entry)?;
        let length = record.len() as u64;
        let live = self.contents.live;
        // old and new file must fit together, also after this record
        let fits = |size: u64| size + live + 2 * length + reserve <= self.limit;
        if !fits(self.size) {
            if !fits(live) {
                return Err(JournalError::Full);
            }
            self.compact()?;
        }
        let written = self.cut_half_record().and_then(|()| {
            self.dirty = true;
            self.file.write_all(&record)
        });
        self.failing = written.is_err();
        if let Err(error) = written {
            // what can't be cut off now is cut off before the next record
            let _ = self.cut_half_record();
            return Err(error.into());
        }
        self.dirty = false;
        self.size += length;
        Ok(length)
    }

    /// Cuts off what a failed write may have left behind the whole records.
    fn cut_half_record(&mut self) -> io::Result<()> {
        if self.dirty {
            self.file.set_len(self.size)?;
            self.dirty = false;
        }
        Ok(())
    }

    /// Writes what is still owed to a new file in the old one's place.
    fn compact(&mut self) -> Result<(), JournalError> {
        let bytes = self.contents.compacted()?;
        if self.size + bytes.len() as u64 > self.limit {
            return Err(JournalError::Full);
        }
        let new = self.path.with_extension("new");
        match replace_file(&new, &self.path, &bytes) {
            Ok(file) => {
                self.file = file;
                self.size = bytes.len() as u64;
                self.dirty = false;
                self.failing = false;
                self.pending.clear();
                Ok(())
            }
            Err(error) => {
                // one that stays is written over by the next
                let _ = fs::remove_file(&new);
                self.failing = true;
                Err(JournalError::Io(error))
            }
        }
    }

    fn read(&mut self, bytes: &[u8]) -> Recovery {
        let mut recovery = Recovery::default();
        let (mut at, mut bad) = (0, 0);
        while at < bytes.len() {
            let Some((entry, length)) = decode(&bytes[at..]) else {
                (at, bad) = (at + 1, bad + 1);
                continue;
            };
            recovery.damaged += std::mem::take(&mut bad);
            recovery.records += 1;
            at += length;
            self.contents.apply(entry, length as u64);
        }
        // a kill cuts one record short; more than one lost at the end is damage
        let tail = &bytes[bytes.len() - bad..];
        if tail
            .iter()
            .skip(1)
            .zip(1..)
            .any(|(_, from)| tail[from..].starts_with(&MARK))
        {
            recovery.damaged += bad;
        } else {
            recovery.torn = bad;
        }
        recovery
    }
}

/// Writes a file beside another one and has it take that one's name.
fn replace_file(new: &Path, old: &Path, bytes: &[u8]) -> io::Result<File> {
    // a file is not opened to be appended to and cut to nothing at once
    fs::remove_file(new).or_else(|error| match error.kind() {
        io::ErrorKind::NotFound => Ok(()),
        _ => File::create(new).map(drop),
    })?;
    let mut file = OpenOptions::new().append(true).create(true).open(new)?;
    file.write_all(bytes)?;
    match fs::rename(new, old) {
        // it may have been carried out before it failed
        Err(error) if new.exists() => Err(error),
        _ => Ok(file),
    }
}

#[cfg(test)]
mod tests;
