//! Start times as the system tells them.

use super::*;
use std::process::id;

#[test]
fn start_time_is_read_behind_any_program_name() {
    let fields = "S 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 4711 20 21";
    for name in ["message-sender", "a) b (c", ") S 1 2"] {
        let stat = format!("12 ({name}) {fields}");
        assert_eq!(start_time_in(&stat), Some(4711), "{name}");
    }
    assert_eq!(start_time_in("12 (cut) S 1"), None);
    assert_eq!(start_time_in(""), None);
}

#[test]
fn neither_this_process_nor_an_unknown_or_earlier_one_started_after_it() {
    let this = i32::try_from(id()).expect("an id");
    assert!(start_time("self").is_some());
    for process in [this, 1, i32::MAX] {
        assert!(!started_after_this(process), "{process}");
    }
}
