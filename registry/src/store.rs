//! The log in a file: appended to and synced before anything that rests on it is said. When it grows past its bound, the
//! state takes the place of the entries that made it, in a new file that then takes the old one's name.

use crate::frames::{self, Damage};
use crate::mirror::{Entry, Hard, Snapshot, Voters};
use raft::eraftpb;
use raft::{GetEntriesContext, RaftState, Storage, StorageError};
use serde::{Deserialize, Serialize};
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Raised when an older program could not read the file.
const FORMAT: u32 = 1;

/// Why a folder can't be used.
#[derive(Debug, Error)]
pub enum StoreError {
    #[error("{path}: {error}", path = path.display())]
    /// The file system says no.
    Io {
        /// What was touched.
        path: PathBuf,
        /// What it says.
        error: io::Error,
    },
    /// Another process has it.
    #[error("{path}: another process uses this folder", path = .0.display())]
    Taken(PathBuf),
    /// Not a torn end, but damage.
    #[error("{path}: {damage}", path = path.display())]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Where.
        damage: Damage,
    },
    /// A sound record that is none of this program's.
    #[error("{path}: record {number} can't be read: {error}", path = path.display())]
    Record {
        /// The file.
        path: PathBuf,
        /// Counted from 0.
        number: usize,
        /// Why.
        error: postcard::Error,
    },
    /// It belongs to somebody else.
    #[error("{path}: it is replica {found}'s of {cluster}", path = path.display())]
    Other {
        /// The file.
        path: PathBuf,
        /// Whose.
        found: u64,
        /// Of which cluster.
        cluster: String,
    },
    /// A record in a place where none can be.
    #[error("{path}: record {number} does not follow the ones before", path = path.display())]
    Order {
        /// The file.
        path: PathBuf,
        /// Counted from 0.
        number: usize,
    },
    /// Of a later program.
    #[error("{path}: it has format {found}, this program reads {FORMAT}", path = path.display())]
    Format {
        /// The file.
        path: PathBuf,
        /// Its format.
        found: u32,
    },
}

#[derive(Debug, Serialize, Deserialize)]
enum Record {
    Head {
        format: u32,
        cluster: String,
        id: u64,
    },
    Snapshot(Snapshot),
    Hard(Hard),
    Entry(Entry),
}

/// The log of one replica.
#[derive(Debug)]
pub struct Store {
    path: PathBuf,
    file: File,
    /// Held for as long as the process has the folder.
    _lock: File,
    cluster: String,
    id: u64,
    size: u64,
    /// The file is compacted above this, bytes.
    most: u64,
    sync: bool,
    hard: Hard,
    voters: Voters,
    snapshot: Snapshot,
    entries: Vec<Entry>,
    unsynced: bool,
    torn: usize,
}

/// What a store is opened for.
#[derive(Debug, Clone)]
pub struct Purpose {
    /// Replicas of another name are none of it.
    pub cluster: String,
    /// Which replica.
    pub id: u64,
    /// Who votes at the first start; nobody: it waits to be told by a leader.
    pub voters: Vec<u64>,
    /// Bytes above which the log is compacted.
    pub most: u64,
    /// Whether writes are synced. Only tests leave it.
    pub sync: bool,
}

fn io_at(path: &Path) -> impl FnOnce(io::Error) -> StoreError + use<> {
    let path = path.to_path_buf();
    move |error| StoreError::Io { path, error }
}

impl Store {
    /// Opens the folder, which is made where there is none; the first start's state is `state`.
    ///
    /// # Errors
    /// It can't be used, or what it holds can't be trusted.
    pub fn open(folder: &Path, purpose: Purpose, state: &[u8]) -> Result<Self, StoreError> {
        std::fs::create_dir_all(folder).map_err(io_at(folder))?;
        let lock_path = folder.join("lock");
        let lock = File::create(&lock_path).map_err(io_at(&lock_path))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(StoreError::Taken(folder.to_path_buf())),
            Err(TryLockError::Error(error)) => {
                return Err(StoreError::Io {
                    path: lock_path,
                    error,
                });
            }
        }
        let path = folder.join("log");
        let Purpose {
            cluster,
            id,
            voters,
            most,
            sync,
        } = purpose;
        let bytes = match std::fs::read(&path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => Vec::new(),
            Err(error) => return Err(StoreError::Io { path, error }),
        };
        let open = || {
            OpenOptions::new()
                .append(true)
                .create(true)
                .open(&path)
                .map_err(io_at(&path))
        };
        let mut store = Store {
            file: open()?,
            path: path.clone(),
            _lock: lock,
            cluster,
            id,
            size: 0,
            most,
            sync,
            hard: Hard::default(),
            voters: Voters::default(),
            snapshot: Snapshot::default(),
            entries: Vec::new(),
            unsynced: false,
            torn: 0,
        };
        let (records, sound) = frames::read(&bytes).map_err(|damage| StoreError::Damaged {
            path: path.clone(),
            damage,
        })?;
        for (number, record) in records.iter().enumerate() {
            let record = postcard::from_bytes(record).map_err(|error| StoreError::Record {
                path: path.clone(),
                number,
                error,
            })?;
            store.take(number, record)?;
        }
        store.torn = bytes.len() - sound;
        if records.is_empty() {
            // the first start, or one that a kill cut short
            if !voters.is_empty() {
                // begins at an index above 0, so that one that knows nothing gets a snapshot
                let voters = Voters {
                    voters,
                    learners: Vec::new(),
                };
                store.snapshot = Snapshot {
                    index: 1,
                    term: 1,
                    voters: voters.clone(),
                    data: state.to_vec(),
                };
                (store.voters, store.hard) = (
                    voters,
                    Hard {
                        term: 1,
                        vote: 0,
                        commit: 1,
                    },
                );
            } else {
                store.snapshot.data = state.to_vec();
            }
            store.rewrite()?;
        } else if store.torn > 0 {
            store.file.set_len(sound as u64).map_err(io_at(&path))?;
        }
        if store.size == 0 {
            store.size = sound as u64;
        }
        Ok(store)
    }

    fn take(&mut self, number: usize, record: Record) -> Result<(), StoreError> {
        let path = || self.path.clone();
        match record {
            Record::Head {
                format,
                cluster,
                id,
            } if number == 0 => {
                if format != FORMAT {
                    return Err(StoreError::Format {
                        path: path(),
                        found: format,
                    });
                }
                if cluster != self.cluster || id != self.id {
                    return Err(StoreError::Other {
                        path: path(),
                        found: id,
                        cluster,
                    });
                }
            }
            Record::Snapshot(snapshot) if number == 1 => {
                self.voters = snapshot.voters.clone();
                self.snapshot = snapshot;
            }
            Record::Hard(hard) if number > 1 => self.hard = hard,
            Record::Entry(entry)
                if number > 1
                    && (self.snapshot.index + 1..=self.last() + 1).contains(&entry.index) =>
            {
                self.put(entry);
            }
            _ => {
                return Err(StoreError::Order {
                    path: path(),
                    number,
                });
            }
        }
        Ok(())
    }

    /// Takes the entry in, in place of the one that stood there and of all after it.
    fn put(&mut self, entry: Entry) {
        self.entries
            .truncate((entry.index - self.snapshot.index - 1) as usize);
        self.entries.push(entry);
    }

    fn last(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    /// Bytes of a torn last record that the start has dropped.
    pub fn torn(&self) -> usize {
        self.torn
    }

    /// Bytes of the file, and the index and bytes of the snapshot in it.
    pub fn sizes(&self) -> (u64, u64, usize) {
        (self.size, self.snapshot.index, self.snapshot.data.len())
    }

    /// What the state was at the snapshot.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Who votes.
    pub fn voters(&self) -> &Voters {
        &self.voters
    }

    /// Who votes from now on. It is written with the snapshot; till then the log's entries tell it again.
    pub fn set_voters(&mut self, voters: Voters) {
        self.voters = voters;
    }

    fn write(&mut self, records: &[Record]) -> Result<(), StoreError> {
        let mut bytes = Vec::new();
        for record in records {
            let encoded = postcard::to_allocvec(record).map_err(|error| StoreError::Record {
                path: self.path.clone(),
                number: 0,
                error,
            })?;
            frames::write(&encoded, &mut bytes);
        }
        self.file.write_all(&bytes).map_err(io_at(&self.path))?;
        self.size += bytes.len() as u64;
        self.unsynced = true;
        Ok(())
    }

    /// Appends entries and what must outlast the process; `must` sync before anything is said that rests on it.
    ///
    /// # Errors
    /// They can't be written: nothing may be said any more.
    pub fn append(
        &mut self,
        entries: Vec<Entry>,
        hard: Option<Hard>,
        must: bool,
    ) -> Result<(), StoreError> {
        let records: Vec<Record> = entries
            .iter()
            .cloned()
            .map(Record::Entry)
            .chain(hard.map(Record::Hard))
            .collect();
        if !records.is_empty() {
            self.write(&records)?;
        }
        entries.into_iter().for_each(|entry| self.put(entry));
        self.hard = hard.unwrap_or(self.hard);
        if must && self.sync && self.unsynced {
            self.file.sync_data().map_err(io_at(&self.path))?;
            self.unsynced = false;
        }
        Ok(())
    }

    /// Whether the file is past its bound.
    pub fn is_long(&self) -> bool {
        self.size > self.most + self.snapshot.data.len() as u64
    }

    /// Puts the state at an index in place of the entries that made it.
    ///
    /// # Errors
    /// The new file can't be written; the old one stands.
    pub fn compact(&mut self, applied: u64, data: Vec<u8>) -> Result<(), StoreError> {
        let Some(term) = self.term_of(applied) else {
            return Ok(());
        };
        let voters = self.voters.clone();
        let kept = self
            .entries
            .split_off((applied - self.snapshot.index) as usize);
        self.entries = kept;
        self.snapshot = Snapshot {
            index: applied,
            term,
            voters,
            data,
        };
        // what is in the state was committed, whether or not the log says so yet
        self.hard.commit = self.hard.commit.max(applied);
        self.rewrite()
    }

    /// Takes a leader's snapshot in place of all.
    ///
    /// # Errors
    /// The new file can't be written.
    pub fn install(&mut self, snapshot: Snapshot, hard: Option<Hard>) -> Result<(), StoreError> {
        self.entries.clear();
        self.voters = snapshot.voters.clone();
        self.hard = hard.unwrap_or(self.hard);
        self.hard.commit = self.hard.commit.max(snapshot.index);
        self.hard.term = self.hard.term.max(snapshot.term);
        self.snapshot = snapshot;
        self.rewrite()
    }

    /// Writes all that is known to a new file, which takes the old one's place once it is on the disk.
    fn rewrite(&mut self) -> Result<(), StoreError> {
        let new = self.path.with_extension("new");
        let file = File::create(&new).map_err(io_at(&new))?;
        let old = std::mem::replace(&mut self.file, file);
        let size = std::mem::replace(&mut self.size, 0);
        let head = Record::Head {
            format: FORMAT,
            cluster: self.cluster.clone(),
            id: self.id,
        };
        let mut records = vec![
            head,
            Record::Snapshot(self.snapshot.clone()),
            Record::Hard(self.hard),
        ];
        records.extend(self.entries.iter().cloned().map(Record::Entry));
        let written = self.write(&records).and_then(|()| {
            if self.sync {
                self.file.sync_all().map_err(io_at(&new))?;
            }
            std::fs::rename(&new, &self.path).map_err(io_at(&self.path))
        });
        if let Err(error) = written {
            (self.file, self.size) = (old, size);
            return Err(error);
        }
        self.unsynced = false;
        if self.sync
            && let Some(folder) = self.path.parent()
        {
            // the name too must outlast a power cut
            File::open(folder)
                .and_then(|folder| folder.sync_all())
                .map_err(io_at(folder))?;
        }
        Ok(())
    }

    fn term_of(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        let at = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(at as usize).map(|entry| entry.term)
    }
}

impl Storage for Store {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState::new(self.hard.into(), (&self.voters).into()))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<eraftpb::Entry>> {
        if low <= self.snapshot.index {
            return Err(StorageError::Compacted.into());
        }
        let at = |index: u64| (index - self.snapshot.index - 1) as usize;
        let Some(range) = self.entries.get(at(low)..at(high)) else {
            return Err(StorageError::Unavailable.into());
        };
        let most = max_size.into().unwrap_or(u64::MAX);
        let mut bytes = 0;
        let fits = |(number, entry): &(usize, &Entry)| {
            bytes += (entry.data.len() + entry.context.len() + 24) as u64;
            *number == 0 || bytes <= most
        };
        Ok(range
            .iter()
            .enumerate()
            .take_while(fits)
            .map(|(_, entry)| entry.clone().into())
            .collect())
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index < self.snapshot.index {
            return Err(StorageError::Compacted.into());
        }
        self.term_of(index)
            .ok_or_else(|| StorageError::Unavailable.into())
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.snapshot.index + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, _: u64) -> raft::Result<eraftpb::Snapshot> {
        if self.snapshot.index < request_index {
            return Err(StorageError::SnapshotTemporarilyUnavailable.into());
        }
        Ok((&self.snapshot).into())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::mirror::Kind;

    fn purpose() -> Purpose {
        Purpose {
            cluster: "hue".to_string(),
            id: 1,
            voters: vec![1],
            most: 4096,
            sync: true,
        }
    }

    fn entry(index: u64, term: u64) -> Entry {
        Entry {
            kind: Kind::Normal,
            term,
            index,
            data: vec![index as u8; 9],
            context: Vec::new(),
        }
    }

    fn hard(commit: u64) -> Option<Hard> {
        Some(Hard {
            term: 2,
            vote: 1,
            commit,
        })
    }

    #[test]
    fn what_was_appended_is_there_after_a_cut_at_any_byte_of_the_last_records() {
        let folder = tempfile::tempdir().expect("a folder");
        let mut store = Store::open(folder.path(), purpose(), b"state").expect("opened");
        let mut sizes = vec![(store.size, 1)];
        for index in 2..6 {
            store
                .append(vec![entry(index, 2)], hard(index - 1), true)
                .expect("appended");
            sizes.push((store.size, index));
        }
        drop(store);
        let log = folder.path().join("log");
        let whole = std::fs::read(&log).expect("the log");
        for length in sizes[0].0 as usize..=whole.len() {
            std::fs::write(&log, &whole[..length]).expect("cut");
            let mut store = Store::open(folder.path(), purpose(), b"other").expect("opened");
            // an entry stands before the hard state of its append
            let synced = sizes
                .iter()
                .rev()
                .find(|(size, _)| *size <= length as u64)
                .expect("the first");
            assert!(
                [synced.1, synced.1 + 1].contains(&store.last()),
                "cut at {length}: {}",
                store.last()
            );
            assert_eq!(store.snapshot().data, b"state");
            // it goes on from there
            let next = store.last() + 1;
            store
                .append(vec![entry(next, 3)], hard(next), true)
                .expect("appended");
            drop(store);
            let store = Store::open(folder.path(), purpose(), b"other").expect("opened");
            assert_eq!((store.last(), store.torn()), (next, 0));
        }
    }

    #[test]
    fn damage_and_other_owners_stop_the_start() {
        let folder = tempfile::tempdir().expect("a folder");
        let mut store = Store::open(folder.path(), purpose(), b"state").expect("opened");
        let at = store.size as usize;
        store
            .append(vec![entry(2, 2), entry(3, 2)], hard(3), true)
            .expect("appended");
        assert!(matches!(
            Store::open(folder.path(), purpose(), b""),
            Err(StoreError::Taken(_))
        ));
        drop(store);
        let other = Purpose { id: 2, ..purpose() };
        assert!(matches!(
            Store::open(folder.path(), other, b""),
            Err(StoreError::Other { found: 1, .. })
        ));
        let log = folder.path().join("log");
        let mut bytes = std::fs::read(&log).expect("the log");
        bytes[at + 14] ^= 1;
        std::fs::write(&log, &bytes).expect("damaged");
        let error = Store::open(folder.path(), purpose(), b"")
            .expect_err("damaged")
            .to_string();
        assert!(
            error.contains(&format!("damaged from byte {at} on")),
            "{error}"
        );
    }

    #[test]
    fn an_overwritten_tail_stays_overwritten_and_compaction_keeps_what_is_after() {
        let folder = tempfile::tempdir().expect("a folder");
        let mut store = Store::open(folder.path(), purpose(), b"state").expect("opened");
        store
            .append(
                (2..10).map(|index| entry(index, 2)).collect(),
                hard(4),
                true,
            )
            .expect("appended");
        store
            .append(vec![entry(6, 3)], hard(6), true)
            .expect("overwritten");
        assert_eq!(
            (store.last(), store.term(6).ok(), store.term(7).ok()),
            (6, Some(3), None)
        );
        store.compact(5, b"later".to_vec()).expect("compacted");
        drop(store);
        let store = Store::open(folder.path(), purpose(), b"").expect("opened");
        assert_eq!(
            (store.first_index().ok(), store.last(), store.term(5).ok()),
            (Some(6), 6, Some(2))
        );
        assert_eq!(
            (&store.snapshot().data[..], store.hard.commit),
            (&b"later"[..], 6)
        );
    }
}
