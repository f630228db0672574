//! The lock of the state folder: its holder owns the messages.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io;
use std::path::Path;

/// The locked file, in the state folder.
pub(super) const LOCK: &str = "lock";

/// The exclusive lock of the state folder.
#[derive(Debug)]
pub struct FolderLock(File);

impl FolderLock {
    /// Opens the lock's file and does not acquire the lock.
    ///
    /// # Errors
    /// The folder or the file can't be made or opened.
    pub fn open(folder: &Path) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        let file = OpenOptions::new()
            .write(true)
            .create(true)
            .truncate(false)
            .open(folder.join(LOCK))?;
        Ok(FolderLock(file))
    }

    /// Acquires the lock; false if another process holds it.
    ///
    /// # Errors
    /// The file system can't lock the file now.
    pub fn try_acquire(&self) -> io::Result<bool> {
        match self.0.try_lock() {
            Ok(()) => Ok(true),
            Err(TryLockError::WouldBlock) => Ok(false),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }

    /// Releases the lock.
    ///
    /// # Errors
    /// The file system can't unlock the file now.
    pub fn release(&self) -> io::Result<()> {
        self.0.unlock()
    }
}
