//! Tests that stored binding times are read back, also those of an earlier program version.

use super::*;
use std::time::Duration;

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("message-sender-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("created");
    folder
}

#[test]
fn times_are_stored_as_by_an_earlier_version_and_removed_with_the_last_one() {
    let folder = folder("times");
    let clock = Clock::resume(&folder).expect("resumed");
    let now = Instant::now();
    let open = || BindingTimesFile::open(&folder, clock, true).expect("opened");
    let mut file = open();
    let times = BindingTimes {
        silent: None,
        moved: Some(now + Duration::from_secs(4)),
    };
    file.store(times);
    let written = std::fs::read_to_string(folder.join(FILE_NAME)).expect("written");
    let at = clock.at(now + Duration::from_secs(4));
    assert_eq!(written, format!(r#"{{"silent":null,"moved":{at}}}"#));
    let known = open().known(now + Duration::from_secs(6));
    let difference = known.moved.expect("known").duration_since(now);
    assert!(difference <= Duration::from_secs(4) && difference > Duration::from_millis(3999));
    file.store(BindingTimes::default());
    assert!(!folder.join(FILE_NAME).exists());
    std::fs::remove_dir_all(folder).expect("removed");
}

#[test]
fn time_of_a_clock_that_was_set_back_is_brought_forward_and_damage_is_no_time() {
    let folder = folder("times-damaged");
    let clock = Clock::resume(&folder).expect("resumed");
    let latest = Instant::now() + Duration::from_secs(6);
    let open = || BindingTimesFile::open(&folder, clock, false).expect("opened");
    let far = clock.at(latest) + 3_600_000_000;
    let text = format!(r#"{{"silent":{far},"moved":{far}}}"#);
    std::fs::write(folder.join(FILE_NAME), text).expect("written");
    let known = open().known(latest);
    assert_eq!((known.silent, known.moved), (None, Some(latest)));
    std::fs::write(folder.join(FILE_NAME), "{").expect("written");
    assert_eq!(open().known(latest), BindingTimes::default());
    std::fs::remove_dir_all(folder).expect("removed");
}
