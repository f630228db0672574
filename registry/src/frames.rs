//! Records in a file: a mark, a length, a checksum, the bytes. A record that a kill cut short is told from damage by what
//! comes after it.

use thiserror::Error;

const MARK: [u8; 4] = *b"MTR1";
/// Bytes before those of the record.
pub const HEAD: usize = 12;
/// Longest record: a snapshot of the largest state.
pub const LONGEST: usize = 64 << 20;

/// The file is damaged in its middle: what was answered may be lost, so no start can be right.
#[derive(Debug, PartialEq, Eq, Error)]
#[error("damaged from byte {at} on, with a sound record at byte {sound}")]
pub struct Damage {
    /// Where the broken record begins.
    pub at: usize,
    /// Where a sound one follows.
    pub sound: usize,
}

/// Appends one record.
pub fn write(bytes: &[u8], to: &mut Vec<u8>) {
    to.extend_from_slice(&MARK);
    to.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
    to.extend_from_slice(&crc32fast::hash(bytes).to_le_bytes());
    to.extend_from_slice(bytes);
}

/// The length and the checksum that a head tells; none if it is no head.
pub fn read_head(head: &[u8; HEAD]) -> Option<(usize, u32)> {
    let number = |from: usize| head[from..from + 4].try_into().ok().map(u32::from_le_bytes);
    let length = number(4)? as usize;
    (head[..4] == MARK && length <= LONGEST).then_some((length, number(8)?))
}

/// The record that begins at `at`, and where it ends; none if there is no sound one.
fn read_one(file: &[u8], at: usize) -> Option<(&[u8], usize)> {
    let (length, sum) = read_head(file.get(at..at + HEAD)?.try_into().ok()?)?;
    let bytes = file.get(at + HEAD..at + HEAD + length)?;
    (crc32fast::hash(bytes) == sum).then_some((bytes, at + HEAD + length))
}

/// All records, and how many bytes they take: what comes after is a torn last record.
///
/// # Errors
/// A sound record follows what can't be read.
pub fn read(file: &[u8]) -> Result<(Vec<&[u8]>, usize), Damage> {
    let (mut records, mut at) = (Vec::new(), 0);
    while let Some((bytes, end)) = read_one(file, at) {
        records.push(bytes);
        at = end;
    }
    let after = file.get(at + 1..).unwrap_or_default();
    let marks = after
        .windows(MARK.len())
        .enumerate()
        .filter(|(_, bytes)| *bytes == MARK);
    let mut marks = marks.map(|(step, _)| at + 1 + step);
    match marks.find(|mark| read_one(file, *mark).is_some()) {
        Some(sound) => Err(Damage { at, sound }),
        None => Ok((records, at)),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn file() -> Vec<u8> {
        let mut file = Vec::new();
        for record in [&b"first"[..], b"", b"the third, longer"] {
            write(record, &mut file);
        }
        file
    }

    #[test]
    fn a_file_cut_at_any_byte_keeps_all_whole_records() {
        let file = file();
        let ends = [17, 29, file.len()];
        for length in 0..=file.len() {
            let whole = ends.iter().filter(|end| **end <= length).count();
            let (records, sound) = read(&file[..length]).expect("torn, not damaged");
            assert_eq!(
                (records.len(), sound),
                (whole, [0, 17, 29, file.len()][whole]),
                "cut at {length}"
            );
        }
    }

    #[test]
    fn a_changed_byte_before_a_sound_record_is_damage_with_its_place() {
        for at in 0..29 {
            let mut file = file();
            file[at] ^= 0x20;
            let broken = if at < 17 { 0 } else { 17 };
            assert_eq!(
                read(&file).map_err(|damage| damage.at),
                Err(broken),
                "byte {at}"
            );
        }
        let mut last = file();
        *last.last_mut().expect("bytes") ^= 1;
        assert_eq!(
            read(&last).map(|(records, _)| records.len()),
            Ok(2),
            "the last one is torn"
        );
    }
}
