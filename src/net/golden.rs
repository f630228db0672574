//! Comparison with bytes that an earlier program wrote. Golden files are never rewritten by a test: a difference means
//! that a process of this program and one of an earlier program no longer read each other.

/// Asserts that the bytes are the recorded ones.
pub fn assert_same_bytes(subject: &str, written: &[u8], recorded: &[u8]) {
    if written == recorded {
        return;
    }
    let same = written
        .iter()
        .zip(recorded)
        .take_while(|(one, other)| one == other)
        .count();
    panic!(
        "{subject}: differs from byte {same} on, {} bytes written, {} recorded:\nwritten  {:?}\nrecorded {:?}",
        written.len(),
        recorded.len(),
        String::from_utf8_lossy(&written[same.saturating_sub(16)..(same + 32).min(written.len())]),
        String::from_utf8_lossy(
            &recorded[same.saturating_sub(16)..(same + 32).min(recorded.len())]
        ),
    );
}
