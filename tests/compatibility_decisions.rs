//! What a version of the decisions must have in common with the one before it: the bytes of a
//! serialized sender, which a handover carries from one to the other, and every action for the same
//! events.
//!
//! `UPDATE_GOLDEN=1` writes the golden files; only a change of behaviour that is meant may need
//! that.

mod decision_record;

use decision_record::{Host, layout};
use std::fmt::Write as _;
use std::path::PathBuf;

const SCENARIOS: u64 = 48;
const TURNS: u64 = 4000;
/// Files of serialized senders, with their scenario and turn; together they hold at least one of
/// everything.
const GOLDEN_SENDERS: [(&str, u64, u64); 3] = [
    ("sender-1.postcard", 115, 1961),
    ("sender-2.postcard", 103, 2506),
    ("sender-3.postcard", 103, 1462),
];
/// Turns that each golden sender goes on for.
const CONTINUED: u64 = 500;

fn golden(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden/decisions")
        .join(name)
}

/// The content of a golden file, or this where the files are to be written.
fn expected(name: &str, actual: &[u8]) -> Vec<u8> {
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        std::fs::write(golden(name), actual).expect("written");
    }
    std::fs::read(golden(name)).expect("the golden file")
}

#[test]
fn recorded_scenarios_run_again_take_the_same_actions() {
    let mut lines = String::from("scenario turns digest actions_by_variant log_events_by_kind\n");
    let mut actions = [0; 10];
    let mut logged = [0; 5];
    for number in (0..SCENARIOS).chain([103, 115, 127, 139]) {
        let mut host = Host::new(number);
        host.run(TURNS);
        writeln!(
            lines,
            "{number} {TURNS} {:016x} {:?} {:?}",
            host.digest.0, host.actions, host.log_counts
        )
        .expect("written to a string");
        (0..10).for_each(|index| actions[index] += host.actions[index]);
        (0..5).for_each(|index| logged[index] += host.log_counts[index]);
    }
    let expected = String::from_utf8(expected("actions.txt", lines.as_bytes())).expect("text");
    assert_eq!(lines, expected);
    // no decision asks for probes or writes to other senders
    let taken: Vec<usize> = (0..10).filter(|&index| actions[index] > 0).collect();
    assert_eq!(
        taken,
        [0, 1, 2, 3, 4, 6, 7, 9],
        "each other action is there"
    );
    assert!(
        logged.iter().all(|&count| count > 0),
        "each log event is there: {logged:?}"
    );
}

#[test]
fn golden_senders_read_and_written_keep_each_byte() {
    let mut missing: Option<Vec<&str>> = None;
    for (name, scenario, turn) in GOLDEN_SENDERS {
        let mut host = Host::new(scenario);
        host.run(turn);
        let bytes = host.state();
        let golden = expected(name, &bytes);
        assert!(
            bytes == golden,
            "{name}: the same events led to other bytes"
        );
        let sender: message_sender::Sender = postcard::from_bytes(&golden).expect("a sender");
        assert!(
            postcard::to_allocvec(&sender).expect("bytes") == golden,
            "{name}: written otherwise than read"
        );
        let mirror: layout::Sender = postcard::from_bytes(&golden).expect("the layout");
        let here = mirror.missing_states();
        missing = Some(missing.map_or(here.clone(), |all| {
            all.into_iter().filter(|what| here.contains(what)).collect()
        }));
    }
    assert_eq!(
        missing,
        Some(Vec::new()),
        "together they hold at least one of everything"
    );
}

#[test]
fn golden_senders_continued_take_the_same_actions() {
    let mut lines = String::new();
    for (name, scenario, turn) in GOLDEN_SENDERS {
        let mut host = Host::new(scenario);
        host.run(turn);
        let golden = std::fs::read(golden(name)).expect("the golden file");
        host.sender = postcard::from_bytes(&golden).expect("a sender");
        host.run(CONTINUED);
        writeln!(lines, "{name} {CONTINUED} {:016x}", host.digest.0).expect("written to a string");
    }
    let expected = String::from_utf8(expected("continued.txt", lines.as_bytes())).expect("text");
    assert_eq!(lines, expected);
}
