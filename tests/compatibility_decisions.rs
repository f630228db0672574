//! Compatibility of the decision module with its previous version. The same events must give the
//! same actions and, byte for byte, the same serialized state, since in a handover a process of one
//! version passes this state to a process of another.
//!
//! `UPDATE_GOLDEN=1` rewrites the golden files. This is needed only after an intended change of the
//! actions or of the serialized state.

mod decision_record;

use decision_record::{Host, layout};
use std::fmt::Write as _;
use std::path::PathBuf;

/// Number of recorded scenarios, apart from those of the golden senders.
const SCENARIOS: u64 = 48;
/// Number of turns of the decision module in each scenario.
const TURNS: u64 = 4000;
/// Files of serialized senders, with the scenario and the turn after which each was serialized.
/// Together they contain every state that a sender can hold at least once.
const GOLDEN_SENDERS: [(&str, u64, u64); 3] = [
    ("sender-1.postcard", 115, 1961),
    ("sender-2.postcard", 103, 2506),
    ("sender-3.postcard", 103, 1462),
];
/// Number of turns for which each golden sender is continued.
const CONTINUED_TURNS: u64 = 500;

fn golden_path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden/decisions")
        .join(name)
}

/// Returns the content of a golden file, after writing `actual` to the file if `UPDATE_GOLDEN` is
/// set.
fn expected(name: &str, actual: &[u8]) -> Vec<u8> {
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        std::fs::write(golden_path(name), actual).expect("written");
    }
    std::fs::read(golden_path(name)).expect("the golden file")
}

#[test]
fn recorded_scenarios_give_recorded_actions() {
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
    // the decisions never ask for a health check (5) or send a note (8)
    let taken: Vec<usize> = (0..10).filter(|&index| actions[index] > 0).collect();
    assert_eq!(
        taken,
        [0, 1, 2, 3, 4, 6, 7, 9],
        "every other kind of action is taken"
    );
    assert!(
        logged.iter().all(|&count| count > 0),
        "every kind of log event occurs: {logged:?}"
    );
}

#[test]
fn golden_senders_deserialized_and_serialized_keep_their_bytes() {
    let mut missing: Option<Vec<&str>> = None;
    for (name, scenario, turn) in GOLDEN_SENDERS {
        let mut host = Host::new(scenario);
        host.run(turn);
        let bytes = host.state();
        let golden = expected(name, &bytes);
        assert!(
            bytes == golden,
            "{name}: the same events give a sender with different bytes"
        );
        let sender: message_sender::Sender = postcard::from_bytes(&golden).expect("a sender");
        assert!(
            postcard::to_allocvec(&sender).expect("bytes") == golden,
            "{name}: a sender that was read serializes to different bytes"
        );
        let mirror: layout::Sender = postcard::from_bytes(&golden).expect("the layout");
        let missing_here = mirror.missing_states();
        missing = Some(missing.map_or(missing_here.clone(), |all| {
            all.into_iter()
                .filter(|state| missing_here.contains(state))
                .collect()
        }));
    }
    assert_eq!(
        missing,
        Some(Vec::new()),
        "the golden senders together contain every state"
    );
}

#[test]
fn deserialized_golden_senders_give_recorded_actions() {
    let mut lines = String::new();
    for (name, scenario, turn) in GOLDEN_SENDERS {
        let mut host = Host::new(scenario);
        host.run(turn);
        let golden = std::fs::read(golden_path(name)).expect("the golden file");
        host.sender = postcard::from_bytes(&golden).expect("a sender");
        host.run(CONTINUED_TURNS);
        writeln!(lines, "{name} {CONTINUED_TURNS} {:016x}", host.digest.0)
            .expect("written to a string");
    }
    let expected = String::from_utf8(expected("continued.txt", lines.as_bytes())).expect("text");
    assert_eq!(lines, expected);
}
