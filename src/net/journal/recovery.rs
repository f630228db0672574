//! Reading a journal file that an earlier process wrote, including a file that was truncated or damaged.

use super::contents::Contents;
use super::records::{MARKER, decode};

/// Result of reading the journal file when the process starts.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Recovery {
    /// Number of valid records.
    pub records: usize,
    /// Size in bytes of an incomplete record at the end, which a kill during a write leaves behind. It is dropped.
    pub partial_record_bytes: usize,
    /// Number of unreadable bytes that can't come from a single interrupted write, and so show that the file is
    /// damaged.
    pub damaged_bytes: usize,
}

/// Applies all valid records in the bytes to the contents, and skips bytes that are no record.
pub fn read(bytes: &[u8], contents: &mut Contents) -> Recovery {
    let mut recovery = Recovery::default();
    let mut offset = 0;
    let mut unreadable_bytes = 0;
    while offset < bytes.len() {
        let Some((record, length)) = decode(&bytes[offset..]) else {
            offset += 1;
            unreadable_bytes += 1;
            continue;
        };
        recovery.damaged_bytes += std::mem::take(&mut unreadable_bytes);
        recovery.records += 1;
        offset += length;
        contents.apply(record, length as u64);
    }
    let tail = &bytes[bytes.len() - unreadable_bytes..];
    if has_further_marker(tail) {
        recovery.damaged_bytes += unreadable_bytes;
    } else {
        recovery.partial_record_bytes = unreadable_bytes;
    }
    recovery
}

/// Returns true if the unreadable end of the file contains a record marker after its first byte. A kill during a write
/// leaves at most one incomplete record, so a further marker is treated as damage.
fn has_further_marker(tail: &[u8]) -> bool {
    (1..tail.len()).any(|start| tail[start..].starts_with(&MARKER))
}
