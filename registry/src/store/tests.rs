//! Tests of the log's file: starts after cuts and damage, overwritten entries, compaction.

use super::*;
use crate::wire_types::EntryKind;
use raft::Storage;

fn options() -> StoreOptions {
    StoreOptions {
        cluster: "hue".to_string(),
        id: 1,
        voters: vec![1],
        max_log_bytes: 4096,
        sync: true,
    }
}

fn entry(index: u64, term: u64) -> LogEntry {
    LogEntry {
        kind: EntryKind::Normal,
        term,
        index,
        data: vec![index as u8; 9],
        context: Vec::new(),
    }
}

fn hard_state(commit: u64) -> Option<HardState> {
    Some(HardState {
        term: 2,
        vote: 1,
        commit,
    })
}

#[test]
fn appended_entries_survive_a_cut_at_any_byte_of_later_records() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = Store::open(folder.path(), options(), b"state").expect("opened");
    let mut sizes = vec![(store.file.size, 1)];
    for index in 2..6 {
        store
            .append(vec![entry(index, 2)], hard_state(index - 1), true)
            .expect("appended");
        sizes.push((store.file.size, index));
    }
    drop(store);
    let log = folder.path().join("log");
    let complete = std::fs::read(&log).expect("the log");
    for length in sizes[0].0 as usize..=complete.len() {
        std::fs::write(&log, &complete[..length]).expect("cut");
        let mut store = Store::open(folder.path(), options(), b"other").expect("opened");
        // an entry stands before the hard state of its append
        let synced = sizes
            .iter()
            .rev()
            .find(|(size, _)| *size <= length as u64)
            .expect("the first");
        assert!(
            [synced.1, synced.1 + 1].contains(&store.last()),
            "cut at {length}: {}",
            store.last()
        );
        assert_eq!(store.snapshot().data, b"state");
        // it goes on from there
        let next = store.last() + 1;
        store
            .append(vec![entry(next, 3)], hard_state(next), true)
            .expect("appended");
        drop(store);
        let store = Store::open(folder.path(), options(), b"other").expect("opened");
        assert_eq!((store.last(), store.torn_bytes()), (next, 0));
    }
}

#[test]
fn damage_and_other_owners_stop_the_start() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = Store::open(folder.path(), options(), b"state").expect("opened");
    let at = store.file.size as usize;
    store
        .append(vec![entry(2, 2), entry(3, 2)], hard_state(3), true)
        .expect("appended");
    assert!(matches!(
        Store::open(folder.path(), options(), b""),
        Err(StoreError::Locked(_))
    ));
    drop(store);
    let other = StoreOptions { id: 2, ..options() };
    assert!(matches!(
        Store::open(folder.path(), other, b""),
        Err(StoreError::OtherReplica { id: 1, .. })
    ));
    let log = folder.path().join("log");
    let mut bytes = std::fs::read(&log).expect("the log");
    bytes[at + 14] ^= 1;
    std::fs::write(&log, &bytes).expect("damaged");
    let error = Store::open(folder.path(), options(), b"")
        .expect_err("damaged")
        .to_string();
    assert!(
        error.contains(&format!("damaged from byte {at} on")),
        "{error}"
    );
}

#[test]
fn overwritten_entries_stay_so_and_compaction_keeps_later_ones() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = Store::open(folder.path(), options(), b"state").expect("opened");
    store
        .append(
            (2..10).map(|index| entry(index, 2)).collect(),
            hard_state(4),
            true,
        )
        .expect("appended");
    store
        .append(vec![entry(6, 3)], hard_state(6), true)
        .expect("overwritten");
    assert_eq!(
        (store.last(), store.term(6).ok(), store.term(7).ok()),
        (6, Some(3), None)
    );
    store.compact(5, b"later".to_vec()).expect("compacted");
    drop(store);
    let store = Store::open(folder.path(), options(), b"").expect("opened");
    assert_eq!(
        (store.first_index().ok(), store.last(), store.term(5).ok()),
        (Some(6), 6, Some(2))
    );
    assert_eq!(
        (&store.snapshot().data[..], store.hard_state.commit),
        (&b"later"[..], 6)
    );
}
