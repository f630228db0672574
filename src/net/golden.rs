//! Comparison with golden files: bytes that an earlier program version wrote. No test rewrites these files. A
//! difference means that this program and an earlier version can no longer read each other's data.

/// Asserts that the written bytes equal the bytes of a golden file, and otherwise shows both around the first
/// difference.
pub fn assert_same_bytes(subject: &str, written: &[u8], recorded: &[u8]) {
    if written == recorded {
        return;
    }
    let first_difference = written
        .iter()
        .zip(recorded)
        .take_while(|(written, recorded)| written == recorded)
        .count();
    panic!(
        "{subject}: differs from byte {first_difference} on, {} bytes written, {} recorded:\nwritten  {:?}\nrecorded {:?}",
        written.len(),
        recorded.len(),
        String::from_utf8_lossy(
            &written
                [first_difference.saturating_sub(16)..(first_difference + 32).min(written.len())]
        ),
        String::from_utf8_lossy(
            &recorded
                [first_difference.saturating_sub(16)..(first_difference + 32).min(recorded.len())]
        ),
    );
}
