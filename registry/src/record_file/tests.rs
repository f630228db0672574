//! Tests of files that were cut short or damaged.

use super::*;

fn file() -> Vec<u8> {
    let mut file = Vec::new();
    for record in [&b"first"[..], b"", b"the third, longer"] {
        append_record(record, &mut file);
    }
    file
}

#[test]
fn file_cut_at_any_byte_keeps_all_complete_records() {
    let file = file();
    let ends = [17, 29, file.len()];
    for length in 0..=file.len() {
        let complete = ends.iter().filter(|end| **end <= length).count();
        let Records {
            records,
            sound_length,
        } = read_records(&file[..length]).expect("torn, not damaged");
        let expected = (complete, [0, 17, 29, file.len()][complete]);
        assert_eq!((records.len(), sound_length), expected, "cut at {length}");
    }
}

#[test]
fn changed_byte_before_a_sound_record_is_corruption_with_its_position() {
    for at in 0..29 {
        let mut file = file();
        file[at] ^= 0x20;
        let broken = if at < 17 { 0 } else { 17 };
        let read = read_records(&file).map_err(|corruption| corruption.at);
        assert_eq!(read, Err(broken), "byte {at}");
    }
    let mut last = file();
    *last.last_mut().expect("bytes") ^= 1;
    assert_eq!(
        read_records(&last).map(|read| read.records.len()),
        Ok(2),
        "the last one is torn"
    );
}
