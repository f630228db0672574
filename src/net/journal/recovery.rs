//! Reading a journal that an earlier process wrote, also one that was cut short or damaged.

use super::contents::Contents;
use super::records::{MARK, decode};

/// What was found at the start.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Recovery {
    /// Sound records.
    pub records: usize,
    /// Bytes dropped at the end: a record that a kill cut short.
    pub torn: usize,
    /// Bytes skipped before sound records: real damage.
    pub damaged: usize,
}

/// Takes all sound records in.
pub fn read(bytes: &[u8], contents: &mut Contents) -> Recovery {
    let mut recovery = Recovery::default();
    let mut at = 0;
    let mut unreadable = 0;
    while at < bytes.len() {
        let Some((record, length)) = decode(&bytes[at..]) else {
            at += 1;
            unreadable += 1;
            continue;
        };
        recovery.damaged += std::mem::take(&mut unreadable);
        recovery.records += 1;
        at += length;
        contents.apply(record, length as u64);
    }
    let tail = &bytes[bytes.len() - unreadable..];
    if has_further_mark(tail) {
        recovery.damaged += unreadable;
    } else {
        recovery.torn = unreadable;
    }
    recovery
}

/// A kill cuts one record short; more than one lost at the end is damage.
fn has_further_mark(tail: &[u8]) -> bool {
    (1..tail.len()).any(|from| tail[from..].starts_with(&MARK))
}
