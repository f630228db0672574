//! The store's file: a snapshot, hard state, and an entry with each kind of command.

use crate::golden;
use crate::samples::{addresses, others, state, taken};
use fleet_registry::replica::ReplicaChange;
use fleet_registry::state::{Command, State};
use fleet_registry::store::{Store, StoreOptions};
use fleet_registry::wire_types::{EntryKind, HardState, LogEntry};
use raft::{GetEntriesContext, Storage};
use std::path::Path;

/// The index of the first entry: the snapshot of a first start has index 1.
const FIRST: u64 = 2;

fn open(folder: &Path) -> Store {
    let purpose = StoreOptions {
        cluster: "golden".to_string(),
        id: 3,
        voters: vec![1, 2, 3],
        max_log_bytes: 1 << 20,
        sync: false,
    };
    let state = postcard::to_allocvec(&State::default()).expect("encoded");
    Store::open(folder, purpose, &state).expect("opened")
}

fn entry(index: u64, command: &Command) -> LogEntry {
    let data = postcard::to_allocvec(command).expect("encoded");
    LogEntry {
        kind: EntryKind::Normal,
        term: 2,
        index,
        data,
        context: (index as u128).to_le_bytes().to_vec(),
    }
}

/// A replica that comes, with the mark of its proposal before it.
fn replica_entry(index: u64, change: ReplicaChange) -> LogEntry {
    let context = postcard::to_allocvec(&(vec![7u8; 16], change)).expect("encoded");
    LogEntry {
        kind: EntryKind::Replicas,
        term: 2,
        index,
        data: Vec::new(),
        context,
    }
}

/// The entries after the snapshot.
fn entries() -> Vec<LogEntry> {
    let first = FIRST + taken().len() as u64;
    let mut entries: Vec<LogEntry> = others()
        .iter()
        .zip(first..)
        .map(|(command, index)| entry(index, command))
        .collect();
    let next = first + entries.len() as u64;
    entries.push(replica_entry(
        next,
        ReplicaChange {
            id: 4,
            addresses: Some(addresses()),
            votes: true,
        },
    ));
    entries.push(replica_entry(
        next + 1,
        ReplicaChange {
            id: 4,
            addresses: None,
            votes: false,
        },
    ));
    entries
}

fn hard_state() -> HardState {
    HardState {
        term: 2,
        vote: 1,
        commit: FIRST + taken().len() as u64,
    }
}

/// Writes the log: all entries, compacted up to those that the state takes.
fn write(folder: &Path) -> Store {
    let mut store = open(folder);
    let mut all: Vec<LogEntry> = taken()
        .iter()
        .zip(FIRST..)
        .map(|(command, index)| entry(index, command))
        .collect();
    all.extend(entries());
    store
        .append(all, Some(hard_state()), true)
        .expect("appended");
    let data = postcard::to_allocvec(&state()).expect("encoded");
    store
        .compact(FIRST + taken().len() as u64 - 1, data)
        .expect("compacted");
    store
}

#[test]
fn log_file_is_written_byte_for_byte() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = write(folder.path());
    let read = || std::fs::read(folder.path().join("log")).expect("the log");
    golden::assert_same("store-compacted.log", &read());
    let last = entries().last().expect("entries").index;
    let appended = entry(last + 1, &taken()[2]);
    let hard = HardState {
        term: 3,
        vote: 2,
        commit: last + 1,
    };
    store
        .append(vec![appended], Some(hard), true)
        .expect("appended");
    golden::assert_same("store-appended.log", &read());
}

#[test]
fn log_file_of_the_golden_program_is_read_and_written_again() {
    let folder = tempfile::tempdir().expect("a folder");
    let log = folder.path().join("log");
    std::fs::copy(golden::path("store-compacted.log"), &log).expect("copied");
    let mut store = open(folder.path());
    let snapshot = store.snapshot().clone();
    assert_eq!(State::read(&snapshot.data), Ok(state()));
    assert_eq!(
        (snapshot.term, snapshot.membership.voters.as_slice()),
        (2, &[1, 2, 3][..])
    );
    let (first, last) = (
        store.first_index().expect("an index"),
        store.last_index().expect("an index"),
    );
    let read = store
        .entries(first, last + 1, None, GetEntriesContext::empty(false))
        .expect("entries");
    let read: Vec<LogEntry> = read.iter().map(LogEntry::from).collect();
    assert_eq!(read, entries());
    for (entry, command) in read.iter().zip(others()) {
        assert_eq!(postcard::from_bytes(&entry.data), Ok(command));
    }
    // a compaction up to the same index writes all of it again
    store
        .compact(snapshot.index, snapshot.data.clone())
        .expect("compacted");
    golden::assert_same(
        "store-compacted.log",
        &std::fs::read(&log).expect("the log"),
    );
}
