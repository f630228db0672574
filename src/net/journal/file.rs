//! The journal's file. Records are appended whole. If a failed write leaves part of a record at the end, the file is
//! truncated to the last whole record before the next append.

use std::fs::{self, File, OpenOptions};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};

/// The journal's file, open for appending.
#[derive(Debug)]
pub struct JournalFile {
    pub(super) path: PathBuf,
    pub(super) handle: File,
    /// Total size in bytes of the whole records, which is the length of the file without a partial record.
    pub(super) whole_bytes: u64,
    /// True if part of a record may follow the whole records, after a failed write.
    pub(super) has_partial_record: bool,
}

impl JournalFile {
    /// Opens the file, or creates it if it does not exist, and returns it with its current bytes.
    ///
    /// # Errors
    /// Returns an error if the file can't be created, opened or read.
    pub fn open(path: PathBuf) -> io::Result<(Self, Vec<u8>)> {
        // removes the temporary file of a compaction that was interrupted by a kill; if the removal fails, the next
        // compaction overwrites that file
        let _ = fs::remove_file(new_path(&path));
        let bytes = match fs::read(&path) {
            Err(error) if error.kind() == ErrorKind::NotFound => Vec::new(),
            other => other?,
        };
        let handle = open_to_append(&path)?;
        let file = JournalFile {
            path,
            handle,
            whole_bytes: bytes.len() as u64,
            has_partial_record: false,
        };
        Ok((file, bytes))
    }

    /// Marks the last `length` bytes of the file as an incomplete record, which is cut off before the next append.
    pub fn mark_partial_record(&mut self, length: usize) {
        self.whole_bytes -= length as u64;
        self.has_partial_record = true;
    }

    /// Appends the bytes of whole records.
    ///
    /// # Errors
    /// Returns an error if an earlier partial record can't be cut off, or if the write fails. The records then don't
    /// count as written, and part of them may follow the whole records in the file.
    pub fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let written = self.cut_partial_record().and_then(|()| {
            self.has_partial_record = true;
            self.handle.write_all(bytes)
        });
        if written.is_err() {
            // if the truncation fails as well, the next append repeats it before it writes
            let _ = self.cut_partial_record();
            return written;
        }
        self.has_partial_record = false;
        self.whole_bytes += bytes.len() as u64;
        Ok(())
    }

    /// Truncates the file to its whole records if a failed write may have left part of a record at the end.
    ///
    /// # Errors
    /// Returns an error if the file can't be truncated; the partial record is then still there.
    pub fn cut_partial_record(&mut self) -> io::Result<()> {
        if self.has_partial_record {
            self.handle.set_len(self.whole_bytes)?;
            self.has_partial_record = false;
        }
        Ok(())
    }

    /// Replaces the file with a new one that holds the given records.
    ///
    /// # Errors
    /// Returns an error if the new file can't be written or renamed; the old file is then unchanged.
    pub fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        let new = new_path(&self.path);
        match write_and_rename(&new, &self.path, bytes) {
            Ok(handle) => {
                self.handle = handle;
                self.whole_bytes = bytes.len() as u64;
                self.has_partial_record = false;
                Ok(())
            }
            Err(error) => {
                // if the removal fails, the next compaction overwrites the temporary file
                let _ = fs::remove_file(&new);
                Err(error)
            }
        }
    }
}

/// Returns the path of the temporary file that a compaction writes before it is renamed.
fn new_path(path: &Path) -> PathBuf {
    path.with_extension("new")
}

fn open_to_append(path: &Path) -> io::Result<File> {
    OpenOptions::new().append(true).create(true).open(path)
}

/// Writes the bytes to the file `new` and renames it to `old`, which replaces the file of that name.
fn write_and_rename(new: &Path, old: &Path, bytes: &[u8]) -> io::Result<File> {
    // `OpenOptions` allows no truncation together with append mode, so an existing file is removed or emptied first
    fs::remove_file(new).or_else(|error| match error.kind() {
        ErrorKind::NotFound => Ok(()),
        _ => File::create(new).map(drop),
    })?;
    let mut file = open_to_append(new)?;
    file.write_all(bytes)?;
    match fs::rename(new, old) {
        // if `new` is gone, the rename took effect although the call returned an error
        Err(error) if new.exists() => Err(error),
        _ => Ok(file),
    }
}
