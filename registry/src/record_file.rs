//! Records in a file or on a connection: a magic number, a length, a checksum, the bytes. A record that a kill has cut short
//! differs from damage by what follows it.

use thiserror::Error;

const MAGIC: [u8; 4] = *b"MTR1";
/// Bytes of a record's header.
pub const HEADER_LENGTH: usize = 12;
/// The longest record: a snapshot of the largest state.
pub const MAX_RECORD_LENGTH: usize = 64 << 20;

/// The file is damaged in its middle. What was answered may be lost, so that no start can be right.
#[derive(Debug, PartialEq, Eq, Error)]
#[error("damaged from byte {at} on, with a sound record at byte {sound}")]
pub struct Corruption {
    /// Where the damaged record begins.
    pub at: usize,
    /// Where a sound one follows.
    pub sound: usize,
}

/// A record's header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Header {
    /// Bytes of the record after the header.
    pub length: usize,
    /// The CRC-32 of these bytes.
    pub checksum: u32,
}

impl Header {
    /// Decodes a header; none if the bytes are no header.
    pub fn decode(bytes: &[u8; HEADER_LENGTH]) -> Option<Self> {
        let number = |from: usize| {
            bytes[from..from + 4]
                .try_into()
                .ok()
                .map(u32::from_le_bytes)
        };
        let header = Header {
            length: number(4)? as usize,
            checksum: number(8)?,
        };
        (bytes[..4] == MAGIC && header.length <= MAX_RECORD_LENGTH).then_some(header)
    }

    /// Whether these are the record's bytes.
    pub fn matches(&self, bytes: &[u8]) -> bool {
        bytes.len() == self.length && crc32fast::hash(bytes) == self.checksum
    }
}

/// The sound records of a file.
#[derive(Debug, PartialEq, Eq)]
pub struct Records<'a> {
    /// The records' bytes, in order.
    pub records: Vec<&'a [u8]>,
    /// Bytes of the file that they take: what follows is a torn last record.
    pub sound_length: usize,
}

/// Appends one record.
pub fn append_record(bytes: &[u8], to: &mut Vec<u8>) {
    to.extend_from_slice(&MAGIC);
    to.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
    to.extend_from_slice(&crc32fast::hash(bytes).to_le_bytes());
    to.extend_from_slice(bytes);
}

/// The record that begins at this byte; none if there is no sound one.
fn record_at(file: &[u8], at: usize) -> Option<&[u8]> {
    let begin = at + HEADER_LENGTH;
    let header = Header::decode(file.get(at..begin)?.try_into().ok()?)?;
    let bytes = file.get(begin..begin + header.length)?;
    header.matches(bytes).then_some(bytes)
}

/// Reads all records of a file.
///
/// # Errors
/// A sound record follows one that can't be read.
pub fn read_records(file: &[u8]) -> Result<Records<'_>, Corruption> {
    let mut records = Vec::new();
    let mut at = 0;
    while let Some(bytes) = record_at(file, at) {
        records.push(bytes);
        at += HEADER_LENGTH + bytes.len();
    }
    let rest = file.get(at + 1..).unwrap_or_default();
    let candidates = rest
        .windows(MAGIC.len())
        .enumerate()
        .filter(|(_, bytes)| *bytes == MAGIC);
    let mut candidates = candidates.map(|(offset, _)| at + 1 + offset);
    match candidates.find(|candidate| record_at(file, *candidate).is_some()) {
        Some(sound) => Err(Corruption { at, sound }),
        None => Ok(Records {
            records,
            sound_length: at,
        }),
    }
}

#[cfg(test)]
mod tests;
