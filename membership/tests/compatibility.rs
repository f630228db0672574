//! What others read of this crate: the stored form, the JSON of the reports, and the datagrams of a whole seeded run.

mod common;

use common::{Fleet, PERIOD};
use fleet_membership::{
    Change, DatagramCounters, DropReason, MemberReport, PersistedState, State, View,
};
use xxhash_rust::xxh3::Xxh3;

/// Holds a text against the recorded one.
fn compare(name: &str, written: &str) {
    let path = format!("{}/tests/golden/{name}", env!("CARGO_MANIFEST_DIR"));
    if std::env::var_os("WRITE_GOLDEN").is_some() {
        std::fs::write(&path, written).expect("written");
    }
    assert_eq!(
        written,
        std::fs::read_to_string(&path).expect("a golden file"),
        "{name}"
    );
}

#[test]
fn persisted_state_matches_the_golden_json() {
    let remembered = PersistedState {
        incarnation: 1 << 40,
        known_addresses: vec![
            "10.1.2.3:7946".parse().expect("one"),
            "[2001:db8::1]:65535".parse().expect("another"),
        ],
    };
    let written = serde_json::to_string(&remembered).expect("JSON");
    compare("remembered.json", &written);
    assert_eq!(
        serde_json::from_str::<PersistedState>(&written).expect("read"),
        remembered
    );
    assert!(
        serde_json::from_str::<PersistedState>(r#"{"incarnation":1,"contacts":[],"more":1}"#)
            .is_err()
    );
    assert!(serde_json::from_str::<PersistedState>(r#"{"incarnation":1}"#).is_err());
}

#[test]
fn reports_match_the_golden_json() {
    let view = View {
        present: 5,
        suspects: 1,
        departed: 2,
        agreeing: 4,
        isolated: true,
    };
    let dropped = [
        DropReason::TooLong,
        DropReason::Unreadable,
        DropReason::Version,
        DropReason::Fleet,
        DropReason::Unsigned,
        DropReason::Replayed,
        DropReason::OwnName,
        DropReason::Misdirected,
        DropReason::Unknown,
        DropReason::Full,
        DropReason::Busy,
    ];
    let counts = DatagramCounters {
        received: 1,
        sent: 2,
        bytes_received: 3,
        bytes_sent: 4,
        dropped: dropped.into_iter().zip(5..).collect(),
    };
    let member = |state: State, since_heard_ms: Option<u64>, observers: &[&str]| MemberReport {
        name: "member-1".to_string(),
        address: "10.1.2.3:7946".parse().expect("an address"),
        state,
        incarnation: 7,
        in_state_ms: 8,
        since_heard_ms,
        observers: observers
            .iter()
            .map(|observer| observer.to_string())
            .collect(),
    };
    let members = [
        member(State::Alive, Some(9), &[]),
        member(State::Suspect, None, &["member-2", "member-3"]),
        member(State::Dead, None, &[]),
        member(State::Left, None, &[]),
    ];
    let written = [
        serde_json::to_string_pretty(&view),
        serde_json::to_string_pretty(&counts),
        serde_json::to_string_pretty(&members),
    ];
    let written: Vec<String> = written
        .into_iter()
        .map(|text| text.expect("JSON"))
        .collect();
    compare("reports.json", &written.join("\n"));
    assert_eq!(
        serde_json::from_str::<View>(&written[0]).expect("read"),
        view
    );
}

/// A hash of every datagram and every change of one fleet that starts, loses members and datagrams, is split and heals.
fn digest_of_run(members: usize, seed: u64, lifeguard: bool) -> String {
    let mut fleet = Fleet::with(members, seed, move |settings| {
        settings.lifeguard = lifeguard
    });
    fleet.keep = true;
    fleet.run(30.0);
    fleet.kill(1);
    fleet.leave(2);
    fleet.loss = 0.1;
    fleet.run(40.0);
    fleet.start(1, true);
    fleet.start(2, false);
    fleet.pause(3, 4 * PERIOD);
    fleet.passes = Box::new(move |from, to| (from < members / 3) == (to < members / 3));
    fleet.run(60.0);
    fleet.passes = Box::new(|_, _| true);
    fleet.loss = 0.0;
    fleet.run(30.0);
    let mut datagrams = Xxh3::new();
    for (from, to, bytes) in &fleet.last {
        datagrams.update(&(*from as u64).to_le_bytes());
        datagrams.update(&(*to as u64).to_le_bytes());
        datagrams.update(&(bytes.len() as u64).to_le_bytes());
        datagrams.update(bytes);
    }
    let mut changes = Xxh3::new();
    for seen in &fleet.seen {
        let what = match &seen.change {
            Change::MemberState {
                name,
                previous,
                current,
                incarnation,
                address,
            } => {
                format!("state {name} {previous:?} {current:?} {incarnation} {address}")
            }
            Change::Refuted {
                claimed,
                incarnation,
            } => format!("refuted {claimed:?} {incarnation}"),
            Change::NameConflict { address, yields } => format!("rival {address} {yields}"),
            Change::Paused { micros } => format!("paused {micros}"),
            Change::Isolation { isolated } => format!("doubt {isolated}"),
        };
        changes.update(format!("{} {} {what}\n", seen.at, seen.observer).as_bytes());
    }
    let agreed = fleet.agrees();
    format!(
        "{members} members, seed {seed}, lifeguard {lifeguard}: {} datagrams {:016x}, {} changes {:016x}, agreed {agreed}\n",
        fleet.last.len(),
        datagrams.digest(),
        fleet.seen.len(),
        changes.digest()
    )
}

#[test]
fn seeded_runs_match_the_golden_digests() {
    let mut written = String::new();
    for seed in 0..12 {
        written += &digest_of_run(6 + 5 * seed as usize, seed, true);
    }
    written += &digest_of_run(20, 100, false);
    written += &digest_of_run(41, 101, false);
    compare("runs.txt", &written);
}
