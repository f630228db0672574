//! Tests of the lines of the log.

use super::*;

#[test]
fn long_line_is_cut_and_ends_with_line_end() {
    assert_eq!(line_of("short".to_string()), b"short\n");
    let line = line_of("x".repeat(2 * MAX_LINE_BYTES));
    assert_eq!(line.len(), MAX_LINE_BYTES);
    assert_eq!(line.last(), Some(&b'\n'));
}
