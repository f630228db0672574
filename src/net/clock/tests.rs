//! The time line over restarts, and the anchor's form on disk.

use super::*;
use crate::net::golden::assert_same_bytes;

fn reading(boot: Option<&str>, monotonic: Micros, wall: Micros) -> Reading {
    Reading {
        boot: boot.map(str::to_string),
        monotonic,
        wall,
    }
}

#[test]
fn monotonic_clock_of_same_boot_overrides_wall_clock() {
    let anchor = Anchor {
        boot: "a".to_string(),
        monotonic: 100,
        time: 1_000_000,
    };
    assert_eq!(reading(Some("a"), 150, 7).by(&anchor), Some(1_000_050));
    // another start, one that is not told, a clock that began anew
    assert_eq!(reading(Some("b"), 150, 7).by(&anchor), None);
    assert_eq!(reading(None, 150, 7).by(&anchor), None);
    assert_eq!(reading(Some("a"), 50, 7).by(&anchor), None);
}

#[test]
fn successor_continues_time_line_and_broken_anchor_begins_another() {
    let folder = std::env::temp_dir().join(format!("clock-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("a folder");
    let first = Clock::resume(&folder).expect("begun");
    let written = fs::read(folder.join(ANCHOR_FILE)).expect("anchored");
    let mut anchor: Anchor = serde_json::from_slice(&written).expect("an anchor");
    anchor.time -= 3_600 * message_sender::SECOND; // as if the wall clock had been stepped since
    fs::write(
        folder.join(ANCHOR_FILE),
        serde_json::to_vec(&anchor).expect("encoded"),
    )
    .expect("written");
    let second = Clock::resume(&folder).expect("gone on");
    let now = Instant::now();
    let apart = first.at(now) - second.at(now) - 3_600 * message_sender::SECOND;
    assert!(apart.abs() < message_sender::MILLISECOND, "{apart} us");
    fs::write(folder.join(ANCHOR_FILE), b"{").expect("written");
    let third = Clock::resume(&folder).expect("begun anew");
    assert!((third.at(now) - first.at(now)).abs() < message_sender::SECOND);
}

/// The anchor as an earlier program wrote it.
const RECORDED: &[u8] = include_bytes!("../../../tests/golden/state/clock");

#[test]
fn anchor_is_decoded_and_encoded_as_recorded() {
    let anchor = Anchor {
        boot: "5f0d1e0c-8f5e-4a57-9d0a-0c0b7a3f2b11".to_string(),
        monotonic: 123_456_789,
        time: 1_700_000_000_000_001,
    };
    assert_same_bytes(
        "anchor",
        &serde_json::to_vec(&anchor).expect("encoded"),
        RECORDED,
    );
    assert_eq!(
        serde_json::from_slice::<Anchor>(RECORDED).expect("decoded"),
        anchor
    );
    assert_eq!(ANCHOR_FILE, "clock");
}
