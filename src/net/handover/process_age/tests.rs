//! Tests of reading process start times from `/proc`.

use super::*;
use std::process::id;

#[test]
fn start_time_is_parsed_after_any_program_name() {
    let fields = "S 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 4711 20 21";
    for name in ["message-sender", "a) b (c", ") S 1 2"] {
        let stat = format!("12 ({name}) {fields}");
        assert_eq!(start_time_in(&stat), Some(4711), "{name}");
    }
    assert_eq!(start_time_in("12 (cut) S 1"), None);
    assert_eq!(start_time_in(""), None);
}

#[test]
fn current_unknown_and_earlier_processes_did_not_start_later() {
    let this = i32::try_from(id()).expect("an id");
    assert!(start_time("self").is_some());
    for process in [this, 1, i32::MAX] {
        assert!(!started_after_this(process), "{process}");
    }
}
