//! Bodies of bulk calls.

use super::*;

#[test]
fn ids_of_a_bulk_body_are_read_whatever_the_messages_hold() {
    let body = b"a key-a 3\r\nx\r\n\r\nb - 0\r\n\r\n";
    assert_eq!(bulk_ids(body), ["a", "b"]);
    assert!(bulk_ids(b"a key-a\r\nx\r\n").is_empty(), "no length");
    assert_eq!(bulk_answer(&bulk_ids(body)), "a ok\r\nb ok\r\n");
    assert_eq!(bulk_answer(&["a".to_string()]), "");
}
