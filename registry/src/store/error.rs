//! Why a replica's folder can't be used.

use crate::record_file::Corruption;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a replica's folder can't be used.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The file system reports an error.
    #[error("{path}: {error}", path = path.display())]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// The error.
        error: io::Error,
    },
    /// Another process has locked the folder.
    #[error("{path}: another process uses this folder", path = .0.display())]
    Locked(PathBuf),
    /// The file is damaged before its end.
    #[error("{path}: {corruption}", path = path.display())]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Where.
        corruption: Corruption,
    },
    /// A sound record can't be decoded, or a record can't be encoded.
    #[error("{path}: record {number} can't be read: {error}", path = path.display())]
    Record {
        /// The file.
        path: PathBuf,
        /// The record's number, from 0.
        number: usize,
        /// The codec's error.
        error: postcard::Error,
    },
    /// The file belongs to another replica.
    #[error("{path}: it is replica {id}'s of {cluster}", path = path.display())]
    OtherReplica {
        /// The file.
        path: PathBuf,
        /// The replica's id.
        id: u64,
        /// The replica's cluster.
        cluster: String,
    },
    /// A record is not of a kind or index that can follow the ones before.
    #[error("{path}: record {number} does not follow the ones before", path = path.display())]
    Order {
        /// The file.
        path: PathBuf,
        /// The record's number, from 0.
        number: usize,
    },
    /// A later program wrote the file.
    #[error("{path}: it has format {found}, this program reads {known}", path = path.display())]
    Format {
        /// The file.
        path: PathBuf,
        /// The file's format.
        found: u32,
        /// The format that this program reads.
        known: u32,
    },
}

/// Adds the path to an error of the file system.
pub(super) fn io_error_at(path: &Path) -> impl FnOnce(io::Error) -> StoreError + use<> {
    let path = path.to_path_buf();
    move |error| StoreError::Io { path, error }
}
