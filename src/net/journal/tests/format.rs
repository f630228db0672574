//! Compatibility tests of the journal's format on disk: files of an earlier program version are read, and their records
//! are encoded again to the same bytes.

use super::super::records::{Record, decode, encode};
use super::*;
use crate::net::golden::assert_same_bytes;

/// Golden file with the records of [`every_record`], which include the kinds that are no longer written.
const EVERY_RECORD: &[u8] = include_bytes!("../../../../tests/golden/state/journal-every-record");
/// Golden file as it is after [`write_through_journal`].
const WRITTEN: &[u8] = include_bytes!("../../../../tests/golden/state/journal-written");
/// Golden file as it is after the journal [`EVERY_RECORD`] was compacted.
const COMPACTED: &[u8] = include_bytes!("../../../../tests/golden/state/journal-compacted");

fn accepted_message(id: &str) -> AcceptedMessage {
    AcceptedMessage {
        id: id.into(),
        key: Some("key-1".into()),
        class: "order".into(),
        destination: 77,
        received_at: 1_700_000_000_000_001,
        deadline: 1_700_000_020_000_002,
        body: Bytes::from_static(b"body \0\xff"),
    }
}

fn origin() -> MessageOrigin {
    MessageOrigin {
        subject: Some("account-9".into()),
        tenant: Some("acme".into()),
    }
}

fn terms(effect: Effect) -> ClassTerms {
    let class = Class {
        name: "order".into(),
        effect,
        latency_objective: 4_000_003,
        deadline: 20_000_004,
        priority_weight: 1.25,
        late_share: 0.5,
        ordered: true,
    };
    ClassTerms::of(&class, 12)
}

fn key_effect(same_zone_only: bool) -> Effect {
    Effect::IdempotencyKey {
        window: 12_000_005,
        same_zone_only,
    }
}

fn every_record() -> Vec<Record> {
    let attempt = |uid: &str, never_ran| RecordedAttempt {
        uid: uid.into(),
        sent_at: 1_700_000_000_500_006,
        never_ran,
    };
    vec![
        Record::AcceptedWithoutOrigin(1, accepted_message("m1")),
        Record::AcceptedWithoutTerms(
            2,
            AcceptedMessage {
                key: None,
                ..accepted_message("m2")
            },
            origin(),
        ),
        Record::AcceptedWithoutTerms(3, accepted_message("m3"), MessageOrigin::default()),
        Record::Accepted(
            4,
            accepted_message("m4"),
            origin(),
            terms(Effect::Idempotent),
        ),
        Record::Accepted(
            5,
            accepted_message("m5"),
            origin(),
            terms(key_effect(false)),
        ),
        Record::Accepted(6, accepted_message("m6"), origin(), terms(key_effect(true))),
        Record::Accepted(
            300,
            accepted_message("m300"),
            origin(),
            terms(Effect::NonIdempotent),
        ),
        Record::AttemptStarted(4, attempt("s-1", false)),
        Record::AttemptStarted(4, attempt("s-2", true)),
        Record::AttemptOutcome {
            message: 4,
            attempt: 1,
            never_ran: true,
        },
        Record::AttemptOutcome {
            message: 300,
            attempt: 200,
            never_ran: false,
        },
        Record::Undelivered(2, UndeliveredOutcome::Failed),
        Record::Undelivered(3, UndeliveredOutcome::Returned { after_ms: None }),
        Record::Undelivered(
            5,
            UndeliveredOutcome::Returned {
                after_ms: Some(1_234),
            },
        ),
        Record::EndpointDisabled("s-7".into()),
        Record::EndpointDisabled("s-8".into()),
        Record::EndpointEnabled("s-7".into()),
        Record::Completed(6),
        Record::Completed(NO_MESSAGE),
    ]
}

fn folder_with(name: &str, bytes: &[u8]) -> PathBuf {
    let folder = fresh_folder(name);
    fs::create_dir_all(&folder).expect("a folder");
    fs::write(folder.join("journal"), bytes).expect("written");
    folder
}

#[test]
fn every_record_kind_encodes_to_recorded_bytes() {
    let written: Vec<u8> = every_record()
        .iter()
        .flat_map(|entry| encode(entry).expect("encoded"))
        .collect();
    assert_same_bytes("records", &written, EVERY_RECORD);
}

#[test]
fn every_recorded_record_decodes_and_encodes_to_same_bytes() {
    let mut offset = 0;
    for expected in every_record() {
        let (entry, length) = decode(&EVERY_RECORD[offset..]).expect("a record");
        assert_eq!(
            format!("{entry:?}"),
            format!("{expected:?}"),
            "at byte {offset}"
        );
        assert_same_bytes(
            "record",
            &encode(&entry).expect("encoded"),
            &EVERY_RECORD[offset..offset + length],
        );
        offset += length;
    }
    assert_eq!(offset, EVERY_RECORD.len());
}

#[test]
fn recorded_journal_opens_and_compacts_to_recorded_bytes() {
    let folder = folder_with("journal-golden-open", EVERY_RECORD);
    let (mut journal, recovery) = Journal::open(&folder, 1 << 20, 16).expect("opened");
    assert_eq!(
        recovery,
        Recovery {
            records: every_record().len(),
            partial_record_bytes: 0,
            damaged_bytes: 0
        }
    );
    assert_eq!(
        journal.unfinished().keys().copied().collect::<Vec<_>>(),
        [1, 2, 3, 4, 5, 300]
    );
    let first = &journal.unfinished()[&1];
    assert_eq!(
        (&first.accepted, &first.origin, &first.terms),
        (&accepted_message("m1"), &MessageOrigin::default(), &None)
    );
    let attempts: Vec<_> = journal.unfinished()[&4]
        .attempts
        .iter()
        .map(|attempt| (attempt.uid.as_str(), attempt.never_ran))
        .collect();
    assert_eq!(attempts, [("s-1", false), ("s-2", true)]);
    assert_eq!(
        journal.unfinished()[&5].outcome,
        Some(UndeliveredOutcome::Returned {
            after_ms: Some(1_234)
        })
    );
    assert_eq!(
        journal.unfinished()[&300].terms,
        Some(terms(Effect::NonIdempotent))
    );
    assert_eq!(journal.disabled_endpoints().collect::<Vec<_>>(), ["s-8"]);
    journal.compact().expect("room");
    assert_same_bytes(
        "compacted file",
        &fs::read(&journal.file.path).expect("read"),
        COMPACTED,
    );
    fs::remove_dir_all(&folder).expect("removed");
}

fn write_through_journal(journal: &mut Journal) {
    journal.set_disabled("s-7", true).expect("room");
    journal.set_disabled("s-8", true).expect("room");
    journal.set_disabled("s-7", false).expect("room");
    for (number, effect) in [
        (4, Effect::Idempotent),
        (5, key_effect(true)),
        (6, Effect::NonIdempotent),
    ] {
        journal
            .accept(
                number,
                accepted_message(&format!("m{number}")),
                origin(),
                terms(effect),
            )
            .expect("room");
    }
    assert_eq!(
        journal
            .start_attempt(4, "s-1", 1_700_000_000_500_006)
            .expect("room"),
        0
    );
    assert_eq!(
        journal
            .start_attempt(4, "s-2", 1_700_000_000_600_007)
            .expect("room"),
        1
    );
    journal.attempt_never_ran(4, 1).expect("written");
    journal
        .end_undelivered(
            5,
            UndeliveredOutcome::Returned {
                after_ms: Some(1_234),
            },
        )
        .expect("written");
    journal
        .end_undelivered(4, UndeliveredOutcome::Failed)
        .expect("written");
    journal
        .complete(6, accepted_notification())
        .expect("written");
}

#[test]
fn journal_writes_recorded_bytes_and_appends_to_recorded_file() {
    let folder = fresh_folder("journal-golden-written");
    let (mut journal, _) = Journal::open(&folder, 1 << 20, 16).expect("opened");
    write_through_journal(&mut journal);
    assert_same_bytes(
        "written file",
        &fs::read(&journal.file.path).expect("read"),
        WRITTEN,
    );
    let state = journal.unfinished().clone();
    let other = folder_with("journal-golden-read", WRITTEN);
    let (mut found, recovery) = Journal::open(&other, 1 << 20, 16).expect("opened");
    assert_eq!(
        (
            found.unfinished(),
            recovery.partial_record_bytes,
            recovery.damaged_bytes
        ),
        (&state, 0, 0)
    );
    assert_eq!(found.disabled_endpoints().collect::<Vec<_>>(), ["s-8"]);
    // the next record is appended after the recorded bytes, which stay unchanged
    found.complete(5, accepted_notification()).expect("written");
    let file = fs::read(&found.file.path).expect("read");
    assert_same_bytes("start of continued file", &file[..WRITTEN.len()], WRITTEN);
    assert_same_bytes(
        "last record",
        &file[WRITTEN.len()..],
        &encode(&Record::Completed(5)).expect("encoded"),
    );
    fs::remove_dir_all(&folder).expect("removed");
    fs::remove_dir_all(&other).expect("removed");
}
