//! The journal's form on disk: files that an earlier program wrote are read, and written again byte for byte.

use super::super::records::{Record, decode, encode};
use super::*;
use crate::net::golden::assert_same_bytes;

/// One record of each kind, also of the kinds that are only read.
const EVERY_RECORD: &[u8] = include_bytes!("../../../../tests/golden/state/journal-every-record");
/// The file after [`write_through_the_interface`].
const WRITTEN: &[u8] = include_bytes!("../../../../tests/golden/state/journal-written");
/// The same journal after a compaction.
const COMPACTED: &[u8] = include_bytes!("../../../../tests/golden/state/journal-compacted");

fn handed_in(id: &str) -> AcceptedMessage {
    AcceptedMessage {
        id: id.into(),
        key: Some("key-1".into()),
        class: "order".into(),
        destination: 77,
        accepted_at: 1_700_000_000_000_001,
        deadline: 1_700_000_020_000_002,
        body: b"body \0\xff".to_vec(),
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

fn keyed(same_zone_only: bool) -> Effect {
    Effect::IdempotencyKey {
        window: 12_000_005,
        same_zone_only,
    }
}

fn every_record() -> Vec<Record> {
    let sent = |uid: &str, never_ran| RecordedAttempt {
        uid: uid.into(),
        sent_at: 1_700_000_000_500_006,
        never_ran,
    };
    vec![
        Record::AcceptedWithoutOrigin(1, handed_in("m1")),
        Record::AcceptedWithoutTerms(
            2,
            AcceptedMessage {
                key: None,
                ..handed_in("m2")
            },
            origin(),
        ),
        Record::AcceptedWithoutTerms(3, handed_in("m3"), MessageOrigin::default()),
        Record::Accepted(4, handed_in("m4"), origin(), terms(Effect::Idempotent)),
        Record::Accepted(5, handed_in("m5"), origin(), terms(keyed(false))),
        Record::Accepted(6, handed_in("m6"), origin(), terms(keyed(true))),
        Record::Accepted(
            300,
            handed_in("m300"),
            origin(),
            terms(Effect::NonIdempotent),
        ),
        Record::AttemptStarted(4, sent("s-1", false)),
        Record::AttemptStarted(4, sent("s-2", true)),
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
    let folder = fresh(name);
    fs::create_dir_all(&folder).expect("a folder");
    fs::write(folder.join("journal"), bytes).expect("written");
    folder
}

#[test]
fn every_record_kind_is_encoded_as_recorded() {
    let written: Vec<u8> = every_record()
        .iter()
        .flat_map(|entry| encode(entry).expect("encoded"))
        .collect();
    assert_same_bytes("records", &written, EVERY_RECORD);
}

#[test]
fn every_recorded_record_is_decoded_and_encoded_again() {
    let mut at = 0;
    for expected in every_record() {
        let (entry, length) = decode(&EVERY_RECORD[at..]).expect("a record");
        assert_eq!(
            format!("{entry:?}"),
            format!("{expected:?}"),
            "at byte {at}"
        );
        assert_same_bytes(
            "record",
            &encode(&entry).expect("encoded"),
            &EVERY_RECORD[at..at + length],
        );
        at += length;
    }
    assert_eq!(at, EVERY_RECORD.len());
}

#[test]
fn recorded_journal_opens_and_compacts_as_recorded() {
    let folder = folder_with("journal-golden-open", EVERY_RECORD);
    let (mut journal, recovery) = Journal::open(&folder, 1 << 20, 16).expect("opened");
    assert_eq!(
        recovery,
        Recovery {
            records: every_record().len(),
            torn: 0,
            damaged: 0
        }
    );
    assert_eq!(
        journal.unfinished().keys().copied().collect::<Vec<_>>(),
        [1, 2, 3, 4, 5, 300]
    );
    let first = &journal.unfinished()[&1];
    assert_eq!(
        (&first.accepted, &first.origin, &first.terms),
        (&handed_in("m1"), &MessageOrigin::default(), &None)
    );
    let attempts: Vec<_> = journal.unfinished()[&4]
        .attempts
        .iter()
        .map(|sent| (sent.uid.as_str(), sent.never_ran))
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

fn write_through_the_interface(journal: &mut Journal) {
    journal.set_disabled("s-7", true).expect("room");
    journal.set_disabled("s-8", true).expect("room");
    journal.set_disabled("s-7", false).expect("room");
    for (number, effect) in [
        (4, Effect::Idempotent),
        (5, keyed(true)),
        (6, Effect::NonIdempotent),
    ] {
        journal
            .accept(
                number,
                handed_in(&format!("m{number}")),
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
fn journal_is_written_as_recorded_and_recorded_one_is_continued() {
    let folder = fresh("journal-golden-written");
    let (mut journal, _) = Journal::open(&folder, 1 << 20, 16).expect("opened");
    write_through_the_interface(&mut journal);
    assert_same_bytes(
        "written file",
        &fs::read(&journal.file.path).expect("read"),
        WRITTEN,
    );
    let state = journal.unfinished().clone();
    let other = folder_with("journal-golden-read", WRITTEN);
    let (mut found, recovery) = Journal::open(&other, 1 << 20, 16).expect("opened");
    assert_eq!(
        (found.unfinished(), recovery.torn, recovery.damaged),
        (&state, 0, 0)
    );
    assert_eq!(found.disabled_endpoints().collect::<Vec<_>>(), ["s-8"]);
    // what is written next stands behind what stood there
    found.complete(5, accepted_notification()).expect("written");
    let file = fs::read(&found.file.path).expect("read");
    assert_same_bytes("file gone on with", &file[..WRITTEN.len()], WRITTEN);
    assert_same_bytes(
        "last record",
        &file[WRITTEN.len()..],
        &encode(&Record::Completed(5)).expect("encoded"),
    );
    fs::remove_dir_all(&folder).expect("removed");
    fs::remove_dir_all(&other).expect("removed");
}
