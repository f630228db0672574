//! Tests of module time over restarts and reboots, and of the anchor's format on disk.

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
fn module_time_follows_monotonic_clock_only_within_same_boot() {
    let anchor = Anchor {
        boot: "a".to_string(),
        monotonic: 100,
        time: 1_000_000,
    };
    assert_eq!(
        reading(Some("a"), 150, 7).module_time_from(&anchor),
        Some(1_000_050)
    );
    // module time does not continue in another boot, in an unknown boot, or if the monotonic clock is before the
    // anchor's
    assert_eq!(reading(Some("b"), 150, 7).module_time_from(&anchor), None);
    assert_eq!(reading(None, 150, 7).module_time_from(&anchor), None);
    assert_eq!(reading(Some("a"), 50, 7).module_time_from(&anchor), None);
}

#[test]
fn successor_continues_module_time_and_broken_anchor_restarts_it() {
    let folder = std::env::temp_dir().join(format!("clock-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("a folder");
    let first = Clock::resume(&folder).expect("started");
    let written = fs::read(folder.join(ANCHOR_FILE)).expect("anchored");
    let mut anchor: Anchor = serde_json::from_slice(&written).expect("an anchor");
    anchor.time -= 3_600 * message_sender::SECOND; // as if the wall clock had been stepped by 1 h since then
    fs::write(
        folder.join(ANCHOR_FILE),
        serde_json::to_vec(&anchor).expect("encoded"),
    )
    .expect("written");
    let second = Clock::resume(&folder).expect("continued");
    let now = Instant::now();
    let difference_us = first.at(now) - second.at(now) - 3_600 * message_sender::SECOND;
    assert!(
        difference_us.abs() < message_sender::MILLISECOND,
        "{difference_us} us"
    );
    fs::write(folder.join(ANCHOR_FILE), b"{").expect("written");
    let third = Clock::resume(&folder).expect("started anew");
    assert!((third.at(now) - first.at(now)).abs() < message_sender::SECOND);
}

/// Golden file with an anchor as an earlier program version wrote it.
const RECORDED_ANCHOR: &[u8] = include_bytes!("../../../tests/golden/state/clock");

#[test]
fn anchor_decodes_and_encodes_to_recorded_bytes() {
    let anchor = Anchor {
        boot: "5f0d1e0c-8f5e-4a57-9d0a-0c0b7a3f2b11".to_string(),
        monotonic: 123_456_789,
        time: 1_700_000_000_000_001,
    };
    assert_same_bytes(
        "anchor",
        &serde_json::to_vec(&anchor).expect("encoded"),
        RECORDED_ANCHOR,
    );
    assert_eq!(
        serde_json::from_slice::<Anchor>(RECORDED_ANCHOR).expect("decoded"),
        anchor
    );
    assert_eq!(ANCHOR_FILE, "clock");
}
