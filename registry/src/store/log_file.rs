//! The file of the log: appended to, or replaced by a new file that takes the old one's name.

use super::error::{StoreError, io_error_at};
use crate::record_file;
use crate::wire_types::{HardState, LogEntry, Snapshot};
use serde::{Deserialize, Serialize};
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

const LOCK_NAME: &str = "lock";
const LOG_NAME: &str = "log";
/// The extension of the new file until it takes the old one's name.
const NEW_EXTENSION: &str = "new";

/// A record of the file. The order of the variants and their fields is the stored form.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Record {
    /// The first record: whose file it is.
    Head {
        format: u32,
        cluster: String,
        id: u64,
    },
    /// The second record.
    Snapshot(Snapshot),
    /// Replaces the hard state before it.
    HardState(HardState),
    /// Replaces the entry of its index, and all later ones.
    Entry(LogEntry),
}

/// The file of the log.
#[derive(Debug)]
pub(super) struct LogFile {
    pub path: PathBuf,
    /// Bytes of the file.
    pub size: u64,
    file: File,
    /// Locked for as long as the process has the folder.
    _lock: File,
    /// Whether writes are synced.
    sync: bool,
    unsynced: bool,
}

impl LogFile {
    /// Locks the folder, and opens its file; both are created where there are none. Also returns what the file holds.
    pub fn open(folder: &Path, sync: bool) -> Result<(Self, Vec<u8>), StoreError> {
        std::fs::create_dir_all(folder).map_err(io_error_at(folder))?;
        let lock = lock_folder(folder)?;
        let path = folder.join(LOG_NAME);
        let bytes = match std::fs::read(&path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => Vec::new(),
            Err(error) => return Err(StoreError::Io { path, error }),
        };
        let file = OpenOptions::new()
            .append(true)
            .create(true)
            .open(&path)
            .map_err(io_error_at(&path))?;
        let size = bytes.len() as u64;
        Ok((
            LogFile {
                path,
                size,
                file,
                _lock: lock,
                sync,
                unsynced: false,
            },
            bytes,
        ))
    }

    /// Cuts the file.
    pub fn truncate(&mut self, size: u64) -> Result<(), StoreError> {
        self.size = size;
        self.file.set_len(size).map_err(io_error_at(&self.path))
    }

    /// Appends records.
    pub fn append(&mut self, records: &[Record]) -> Result<(), StoreError> {
        let mut bytes = Vec::new();
        for record in records {
            let encoded = postcard::to_allocvec(record).map_err(|error| StoreError::Record {
                path: self.path.clone(),
                number: 0,
                error,
            })?;
            record_file::append_record(&encoded, &mut bytes);
        }
        self.file
            .write_all(&bytes)
            .map_err(io_error_at(&self.path))?;
        self.size += bytes.len() as u64;
        self.unsynced = true;
        Ok(())
    }

    /// Waits until all that was appended is on the disk.
    pub fn sync(&mut self) -> Result<(), StoreError> {
        if self.sync && self.unsynced {
            self.file.sync_data().map_err(io_error_at(&self.path))?;
            self.unsynced = false;
        }
        Ok(())
    }

    /// Writes records to a new file, which takes the old one's name once it is on the disk. After an error the old file
    /// stands.
    pub fn replace(&mut self, records: &[Record]) -> Result<(), StoreError> {
        let new_path = self.path.with_extension(NEW_EXTENSION);
        let new_file = File::create(&new_path).map_err(io_error_at(&new_path))?;
        let old_file = std::mem::replace(&mut self.file, new_file);
        let old_size = std::mem::replace(&mut self.size, 0);
        if let Err(error) = self.write_new(&new_path, records) {
            self.file = old_file;
            self.size = old_size;
            return Err(error);
        }
        self.unsynced = false;
        self.sync_folder()
    }

    fn write_new(&mut self, new_path: &Path, records: &[Record]) -> Result<(), StoreError> {
        self.append(records)?;
        if self.sync {
            self.file.sync_all().map_err(io_error_at(new_path))?;
        }
        std::fs::rename(new_path, &self.path).map_err(io_error_at(&self.path))
    }

    /// The file's name too must outlast a power cut.
    fn sync_folder(&self) -> Result<(), StoreError> {
        match self.path.parent() {
            Some(folder) if self.sync => {
                let synced = File::open(folder).and_then(|folder| folder.sync_all());
                synced.map_err(io_error_at(folder))
            }
            _ => Ok(()),
        }
    }
}

fn lock_folder(folder: &Path) -> Result<File, StoreError> {
    let path = folder.join(LOCK_NAME);
    let lock = File::create(&path).map_err(io_error_at(&path))?;
    match lock.try_lock() {
        Ok(()) => Ok(lock),
        Err(TryLockError::WouldBlock) => Err(StoreError::Locked(folder.to_path_buf())),
        Err(TryLockError::Error(error)) => Err(StoreError::Io { path, error }),
    }
}
