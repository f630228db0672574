//! The journal's file: whole records are appended, and half a record that a failed write left is cut off before anything
//! follows it.

use std::fs::{self, File, OpenOptions};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};

/// The open file.
#[derive(Debug)]
pub struct JournalFile {
    pub(super) path: PathBuf,
    pub(super) handle: File,
    /// Bytes of whole records.
    pub(super) size: u64,
    /// Half a record may stand behind the whole ones.
    pub(super) has_partial_record: bool,
}

impl JournalFile {
    /// Opens the file, or makes it; returns what stands in it too.
    ///
    /// # Errors
    /// The file can't be opened or read.
    pub fn open(path: PathBuf) -> io::Result<(Self, Vec<u8>)> {
        // what a kill in the middle of a compaction left behind; one that stays is written over
        let _ = fs::remove_file(new_path(&path));
        let bytes = match fs::read(&path) {
            Err(error) if error.kind() == ErrorKind::NotFound => Vec::new(),
            other => other?,
        };
        let handle = open_to_append(&path)?;
        let file = JournalFile {
            path,
            handle,
            size: bytes.len() as u64,
            has_partial_record: false,
        };
        Ok((file, bytes))
    }

    /// The last bytes are half a record.
    pub fn mark_partial_record(&mut self, length: usize) {
        self.size -= length as u64;
        self.has_partial_record = true;
    }

    /// Appends whole records.
    ///
    /// # Errors
    /// They are not written; half a record may stand behind the whole ones.
    pub fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let written = self.cut_partial_record().and_then(|()| {
            self.has_partial_record = true;
            self.handle.write_all(bytes)
        });
        if written.is_err() {
            // what can't be cut off now is cut off before the next record
            let _ = self.cut_partial_record();
            return written;
        }
        self.has_partial_record = false;
        self.size += bytes.len() as u64;
        Ok(())
    }

    /// Cuts off what a failed write may have left behind the whole records.
    ///
    /// # Errors
    /// It still stands there.
    pub fn cut_partial_record(&mut self) -> io::Result<()> {
        if self.has_partial_record {
            self.handle.set_len(self.size)?;
            self.has_partial_record = false;
        }
        Ok(())
    }

    /// Has a new file with these records take this one's place.
    ///
    /// # Errors
    /// The file is as it was.
    pub fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        let new = new_path(&self.path);
        match write_in_place_of(&new, &self.path, bytes) {
            Ok(handle) => {
                self.handle = handle;
                self.size = bytes.len() as u64;
                self.has_partial_record = false;
                Ok(())
            }
            Err(error) => {
                // one that stays is written over by the next
                let _ = fs::remove_file(&new);
                Err(error)
            }
        }
    }
}

fn new_path(path: &Path) -> PathBuf {
    path.with_extension("new")
}

fn open_to_append(path: &Path) -> io::Result<File> {
    OpenOptions::new().append(true).create(true).open(path)
}

/// Writes a file beside another one and has it take that one's name.
fn write_in_place_of(new: &Path, old: &Path, bytes: &[u8]) -> io::Result<File> {
    // a file is not opened to be appended to and cut to nothing at once
    fs::remove_file(new).or_else(|error| match error.kind() {
        ErrorKind::NotFound => Ok(()),
        _ => File::create(new).map(drop),
    })?;
    let mut file = open_to_append(new)?;
    file.write_all(bytes)?;
    match fs::rename(new, old) {
        // it may have been carried out before it failed
        Err(error) if new.exists() => Err(error),
        _ => Ok(file),
    }
}
