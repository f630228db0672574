//! File in the state folder with the terms of classes that may still hold for new messages. A process that starts while a
//! new configuration takes effect, after a kill or at an upgrade, must know the earlier terms too.

use message_sender::class_transition::ClassTransition;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Name of the file in the state folder.
const FILE_NAME: &str = "class-terms";
/// Maximum size of the file in bytes, enough for the terms of some 150 classes.
const MAX_FILE_BYTES: usize = 8 * 1024;
/// Space in bytes that the file takes in the state folder; it is there twice while it is replaced.
pub const MAX_DISK_BYTES: u64 = 2 * MAX_FILE_BYTES as u64;

/// Why the terms can't be stored. This process goes on without the file; a later one then knows only the terms of its
/// configuration.
#[derive(Debug, Error)]
enum StoreError {
    #[error("the file can't be written: {0}")]
    Io(#[from] io::Error),
    #[error("the terms can't be encoded: {0}")]
    Encode(#[from] postcard::Error),
    #[error(
        "the terms take {0} bytes, more than {MAX_FILE_BYTES}; fewer classes or configurations in a row fit"
    )]
    TooLarge(usize),
}

/// File that stores a [`ClassTransition`] over restarts.
#[derive(Debug, Clone)]
pub struct ClassTermsFile {
    path: PathBuf,
}

impl ClassTermsFile {
    /// Creates the file's handle; nothing is read or written yet.
    pub fn new(state_folder: &Path) -> Self {
        ClassTermsFile {
            path: state_folder.join(FILE_NAME),
        }
    }

    /// Returns the stored terms, or `None` if there are none, or they are damaged.
    ///
    /// # Errors
    /// The file can't be read.
    pub fn read(&self) -> io::Result<Option<ClassTransition>> {
        let bytes = match std::fs::read(&self.path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error),
        };
        let decoded = postcard::from_bytes(&bytes);
        Ok(decoded
            .inspect_err(|error| {
                super::log(format_args!("classes: stored terms are damaged: {error}"));
            })
            .ok())
    }

    /// Stores the terms. A failure is only logged, because this process does not need the file.
    pub fn write(&self, transition: &ClassTransition) {
        if let Err(error) = self.replace(transition) {
            super::log(format_args!("classes: terms not stored: {error}"));
        }
    }

    fn replace(&self, transition: &ClassTransition) -> Result<(), StoreError> {
        let bytes = postcard::to_allocvec(transition)?;
        if bytes.len() > MAX_FILE_BYTES {
            return Err(StoreError::TooLarge(bytes.len()));
        }
        let new = self.path.with_extension("new");
        std::fs::write(&new, &bytes)?;
        Ok(std::fs::rename(&new, &self.path)?)
    }
}

#[cfg(test)]
mod tests;
