//! The lock of the state folder. The process that holds it owns the messages.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io;
use std::path::Path;

/// Name of the lock file in the state folder.
pub(super) const LOCK_FILE: &str = "lock";

/// An exclusive lock on a file in the state folder. The system releases it when the process ends.
#[derive(Debug)]
pub struct FolderLock(File);

impl FolderLock {
    /// Opens the lock file without acquiring the lock.
    ///
    /// # Errors
    /// Returns an error if the folder or the file can't be created or opened.
    pub fn open(folder: &Path) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        let file = OpenOptions::new()
            .write(true)
            .create(true)
            .truncate(false)
            .open(folder.join(LOCK_FILE))?;
        Ok(FolderLock(file))
    }

    /// Tries to acquire the lock. Returns false if another process holds it.
    ///
    /// # Errors
    /// Returns an error if the file system fails to lock the file.
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
    /// Returns an error if the file system fails to unlock the file.
    pub fn release(&self) -> io::Result<()> {
        self.0.unlock()
    }
}
