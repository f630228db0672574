//! Tests of the log of the process's memory.

use super::*;

#[test]
fn anonymous_memory_is_read_from_status_text() {
    let status = "Name:\tx\nVmRSS:\t    9000 kB\nRssAnon:\t    1234 kB\nRssFile:\t 50 kB\n";
    assert_eq!(anonymous_bytes(status), Some(1234 * 1024));
    assert_eq!(anonymous_bytes("VmRSS:\t 1 kB\n"), None);
}

#[test]
fn peak_is_logged_once_it_has_grown_by_a_step() {
    let mut memory_log = MemoryLog::new(1600, PathBuf::new());
    let used = |anonymous_bytes| MemoryUse {
        anonymous_bytes,
        file_bytes: 1,
    };
    memory_log.logged_bytes = 500;
    assert!(!memory_log.is_new_peak(used(599)));
    assert!(memory_log.is_new_peak(used(600)));
}
