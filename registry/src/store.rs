//! The log of a replica in a file: appended to and synced before anything is said that rests on it. When it grows past its
//! bound, the state replaces the entries that made it, in a new file that then takes the old one's name.

mod error;
mod log_file;
mod raft_storage;

pub use error::StoreError;

use crate::record_file::{Records, read_records};
use crate::wire_types::{HardState, LogEntry, Membership, Snapshot};
use log_file::{LogFile, Record};
use std::path::Path;

/// The file's format, raised when an older program could not read it.
const FORMAT: u32 = 1;
/// The index of a first start's snapshot: above 0, so that a replica that knows nothing gets a snapshot.
const FIRST_INDEX: u64 = 1;
/// The term of a first start's snapshot.
const FIRST_TERM: u64 = 1;

/// The log of one replica.
#[derive(Debug)]
pub struct Store {
    file: LogFile,
    cluster: String,
    id: u64,
    /// The file is compacted above this, bytes.
    max_log_bytes: u64,
    hard_state: HardState,
    membership: Membership,
    snapshot: Snapshot,
    entries: Vec<LogEntry>,
    /// Bytes of a torn last record that the start has dropped.
    torn_bytes: usize,
}

/// What a store is opened with.
#[derive(Debug, Clone)]
pub struct StoreOptions {
    /// The cluster's name: a file of another cluster is rejected.
    pub cluster: String,
    /// The replica's id: a file of another replica is rejected.
    pub id: u64,
    /// The voters of the first start; none: the replica waits for a leader's snapshot.
    pub voters: Vec<u64>,
    /// Bytes above which the log is compacted.
    pub max_log_bytes: u64,
    /// Whether writes are synced. Only tests leave it.
    pub sync: bool,
}

/// Sizes for the status report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreSizes {
    /// Bytes of the file.
    pub log_bytes: u64,
    /// The index of the snapshot.
    pub snapshot_index: u64,
    /// Bytes of the snapshot.
    pub snapshot_bytes: usize,
}

impl Store {
    /// Opens the store in a folder, which is created where there is none. `initial_state` is the state of a first start.
    ///
    /// # Errors
    /// The folder can't be used, or what it holds can't be trusted.
    pub fn open(
        folder: &Path,
        options: StoreOptions,
        initial_state: &[u8],
    ) -> Result<Self, StoreError> {
        let (file, bytes) = LogFile::open(folder, options.sync)?;
        let mut store = Store {
            file,
            cluster: options.cluster,
            id: options.id,
            max_log_bytes: options.max_log_bytes,
            hard_state: HardState::default(),
            membership: Membership::default(),
            snapshot: Snapshot::default(),
            entries: Vec::new(),
            torn_bytes: 0,
        };
        let Records {
            records,
            sound_length,
        } = read_records(&bytes).map_err(|corruption| StoreError::Damaged {
            path: store.file.path.clone(),
            corruption,
        })?;
        store.replay(&records)?;
        store.torn_bytes = bytes.len() - sound_length;
        if records.is_empty() {
            store.begin(options.voters, initial_state)?;
        } else if store.torn_bytes > 0 {
            store.file.truncate(sound_length as u64)?;
        }
        Ok(store)
    }

    /// Begins the log: at the first start, or after one that a kill has cut short.
    fn begin(&mut self, voters: Vec<u64>, initial_state: &[u8]) -> Result<(), StoreError> {
        self.snapshot.data = initial_state.to_vec();
        if !voters.is_empty() {
            self.membership = Membership {
                voters,
                learners: Vec::new(),
            };
            self.snapshot.index = FIRST_INDEX;
            self.snapshot.term = FIRST_TERM;
            self.snapshot.membership = self.membership.clone();
            self.hard_state = HardState {
                term: FIRST_TERM,
                vote: 0,
                commit: FIRST_INDEX,
            };
        }
        self.rewrite()
    }

    fn replay(&mut self, records: &[&[u8]]) -> Result<(), StoreError> {
        for (number, bytes) in records.iter().enumerate() {
            let record = postcard::from_bytes(bytes).map_err(|error| StoreError::Record {
                path: self.file.path.clone(),
                number,
                error,
            })?;
            self.replay_record(number, record)?;
        }
        Ok(())
    }

    fn replay_record(&mut self, number: usize, record: Record) -> Result<(), StoreError> {
        match record {
            Record::Head {
                format,
                cluster,
                id,
            } if number == 0 => self.check_head(format, cluster, id)?,
            Record::Snapshot(snapshot) if number == 1 => {
                self.membership = snapshot.membership.clone();
                self.snapshot = snapshot;
            }
            Record::HardState(hard_state) if number > 1 => self.hard_state = hard_state,
            Record::Entry(entry) if number > 1 && self.can_follow(&entry) => self.put(entry),
            _ => {
                return Err(StoreError::Order {
                    path: self.file.path.clone(),
                    number,
                });
            }
        }
        Ok(())
    }

    fn check_head(&self, format: u32, cluster: String, id: u64) -> Result<(), StoreError> {
        let path = || self.file.path.clone();
        if format != FORMAT {
            return Err(StoreError::Format {
                path: path(),
                found: format,
                known: FORMAT,
            });
        }
        if cluster != self.cluster || id != self.id {
            return Err(StoreError::OtherReplica {
                path: path(),
                id,
                cluster,
            });
        }
        Ok(())
    }

    /// Whether the entry stands after the snapshot, and leaves no gap.
    fn can_follow(&self, entry: &LogEntry) -> bool {
        (self.snapshot.index + 1..=self.last() + 1).contains(&entry.index)
    }

    /// Puts the entry in place of the one of its index and of all after it.
    fn put(&mut self, entry: LogEntry) {
        self.entries
            .truncate((entry.index - self.snapshot.index - 1) as usize);
        self.entries.push(entry);
    }

    /// The last entry's index.
    fn last(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    fn term_of(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        let position = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(position as usize).map(|entry| entry.term)
    }

    /// Bytes of a torn last record that the start has dropped.
    pub fn torn_bytes(&self) -> usize {
        self.torn_bytes
    }

    /// Sizes for the status report.
    pub fn sizes(&self) -> StoreSizes {
        StoreSizes {
            log_bytes: self.file.size,
            snapshot_index: self.snapshot.index,
            snapshot_bytes: self.snapshot.data.len(),
        }
    }

    /// The snapshot.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// The replicas that take part.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Sets the replicas that take part. They are written with the next snapshot; until then the log's entries name them
    /// again.
    pub fn set_membership(&mut self, membership: Membership) {
        self.membership = membership;
    }

    /// Appends entries and hard state. With `must_sync` they are on the disk before this returns.
    ///
    /// # Errors
    /// They can't be written: nothing may be said any more.
    pub fn append(
        &mut self,
        entries: Vec<LogEntry>,
        hard_state: Option<HardState>,
        must_sync: bool,
    ) -> Result<(), StoreError> {
        let mut records: Vec<Record> = entries.iter().cloned().map(Record::Entry).collect();
        records.extend(hard_state.map(Record::HardState));
        if !records.is_empty() {
            self.file.append(&records)?;
        }
        entries.into_iter().for_each(|entry| self.put(entry));
        self.hard_state = hard_state.unwrap_or(self.hard_state);
        if must_sync {
            self.file.sync()?;
        }
        Ok(())
    }

    /// Whether the file is past its bound.
    pub fn is_long(&self) -> bool {
        self.file.size > self.max_log_bytes + self.snapshot.data.len() as u64
    }

    /// Replaces the entries up to an index by the state that they made.
    ///
    /// # Errors
    /// The new file can't be written; the old one stands.
    pub fn compact(&mut self, applied: u64, data: Vec<u8>) -> Result<(), StoreError> {
        let Some(term) = self.term_of(applied) else {
            return Ok(());
        };
        self.entries = self
            .entries
            .split_off((applied - self.snapshot.index) as usize);
        self.snapshot = Snapshot {
            index: applied,
            term,
            membership: self.membership.clone(),
            data,
        };
        // what is in the state was committed, whether or not the log says so yet
        self.hard_state.commit = self.hard_state.commit.max(applied);
        self.rewrite()
    }

    /// Replaces everything by a leader's snapshot.
    ///
    /// # Errors
    /// The new file can't be written.
    pub fn install(
        &mut self,
        snapshot: Snapshot,
        hard_state: Option<HardState>,
    ) -> Result<(), StoreError> {
        self.entries.clear();
        self.membership = snapshot.membership.clone();
        self.hard_state = hard_state.unwrap_or(self.hard_state);
        self.hard_state.commit = self.hard_state.commit.max(snapshot.index);
        self.hard_state.term = self.hard_state.term.max(snapshot.term);
        self.snapshot = snapshot;
        self.rewrite()
    }

    /// Writes all that is known to a new file.
    fn rewrite(&mut self) -> Result<(), StoreError> {
        let head = Record::Head {
            format: FORMAT,
            cluster: self.cluster.clone(),
            id: self.id,
        };
        let snapshot = Record::Snapshot(self.snapshot.clone());
        let mut records = vec![head, snapshot, Record::HardState(self.hard_state)];
        records.extend(self.entries.iter().cloned().map(Record::Entry));
        self.file.replace(&records)
    }
}

#[cfg(test)]
mod tests;
