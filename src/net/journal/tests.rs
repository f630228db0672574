//! Tests of failed and interrupted writes: which records a later process reads.

mod format;

use super::*;
use bytes::Bytes;
use message_sender::{Class, Effect};
use std::fs::File;

#[test]
fn unrecorded_attempt_takes_no_position() {
    let folder = std::env::temp_dir().join(format!("journal-positions-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    let (mut journal, _) = Journal::open(&folder, 16 * 1024, 0).expect("opened");
    let accepted = AcceptedMessage {
        id: "m".into(),
        key: None,
        class: "order".into(),
        destination: 7,
        received_at: 0,
        deadline: 1,
        body: Bytes::new(),
    };
    let class = Class {
        name: "order".into(),
        effect: Effect::NonIdempotent,
        latency_objective: 1,
        deadline: 1,
        priority_weight: 1.0,
        late_share: 0.0,
        ordered: false,
    };
    journal
        .accept(
            5,
            accepted,
            MessageOrigin::default(),
            ClassTerms::of(&class, 12),
        )
        .expect("room");
    // The first attempt's record is too large for the journal. The second attempt gets no outcome record. For the third,
    // the journal records that the endpoint did not process it.
    assert!(matches!(
        journal.start_attempt(5, &"x".repeat(20_000), 1),
        Err(JournalError::Full)
    ));
    assert_eq!(journal.start_attempt(5, "a", 2).expect("room"), 0);
    assert_eq!(journal.start_attempt(5, "b", 3).expect("room"), 1);
    journal.attempt_never_ran(5, 1).expect("room");
    journal.reopen().expect("opened");
    let attempts: Vec<_> = journal.unfinished()[&5]
        .attempts
        .iter()
        .map(|attempt| (attempt.uid.as_str(), attempt.never_ran))
        .collect();
    assert_eq!(attempts, [("a", false), ("b", true)]);
    fs::remove_dir_all(&folder).expect("removed");
}

fn message(id: u64) -> (AcceptedMessage, MessageOrigin, ClassTerms) {
    let accepted = AcceptedMessage {
        id: format!("m{id}"),
        key: None,
        class: "order".into(),
        destination: 7,
        received_at: 0,
        deadline: 1,
        body: vec![b'x'; 100].into(),
    };
    (
        accepted,
        MessageOrigin::default(),
        ClassTerms::of(&Class::new("order", Effect::NonIdempotent, 1, 1), 12),
    )
}

fn fresh_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    folder
}

/// Deterministic pseudo-random numbers, generated from a seed.
struct SeededNumbers(u64);

impl SeededNumbers {
    /// Returns the next number, which is at least 0 and below `bound`.
    fn next_below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

/// Performs a random operation of the journal. Returns true if the journal confirmed the operation as durable.
fn random_operation(
    journal: &mut Journal,
    numbers: &mut SeededNumbers,
    next_number: &mut u64,
) -> bool {
    let unfinished: Vec<u64> = journal.unfinished().keys().copied().collect();
    let number = (!unfinished.is_empty())
        .then(|| unfinished[numbers.next_below(unfinished.len() as u64) as usize]);
    match (numbers.next_below(5), number) {
        (0, _) | (_, None) => {
            let (accepted, origin, terms) = message(*next_number);
            let written = journal.accept(*next_number, accepted, origin, terms);
            *next_number += u64::from(written.is_ok());
            written.is_ok()
        }
        (1, Some(number)) => journal.start_attempt(number, "s-1", 5).is_ok(),
        (2, Some(number)) => journal.attempt_never_ran(number, 0).is_ok(),
        (3, Some(number)) => journal
            .end_undelivered(number, UndeliveredOutcome::Failed)
            .is_ok(),
        (_, Some(number)) => journal.complete(number, accepted_notification()).is_ok(),
    }
}

/// Guards against lost or reordered records when writes fail and succeed again. A process that opens a copy of the file
/// after any operation must find the state after some earlier operation, at or after the last durable one.
#[test]
fn reopened_journal_holds_prefix_of_history_after_failed_writes() {
    for seed in 0..40 {
        let folder = fresh_folder("journal-prefix");
        // the smaller limit makes the journal compact its file, for half of the seeds
        let limit = if seed % 2 == 0 { 1 << 20 } else { 16 * 1024 };
        let (mut journal, _) = Journal::open(&folder, limit, 16).expect("opened");
        let (mut numbers, mut next_number) = (SeededNumbers(seed), 0);
        let mut states = vec![journal.unfinished().clone()];
        let mut last_durable_step = 0;
        for _ in 0..150 {
            match numbers.next_below(8) {
                // writing and truncating fail through a read-only handle
                0 => journal.file.handle = File::open(&journal.file.path).expect("opened"),
                // a failed write leaves half a record in the file
                1 => {
                    use std::io::Write;
                    let mut file = File::options()
                        .append(true)
                        .open(&journal.file.path)
                        .expect("opened");
                    let record = encode(&Record::Completed(7)).expect("encoded");
                    if !journal.file.has_partial_record {
                        file.write_all(&record[..record.len() / 2])
                            .expect("written");
                        journal.file.has_partial_record = true;
                    }
                }
                2 => {
                    journal.file.handle = File::options()
                        .append(true)
                        .open(&journal.file.path)
                        .expect("opened");
                    journal.retry_pending().expect("writes succeed");
                    last_durable_step = states.len() - 1;
                }
                _ => {}
            }
            let confirmed = random_operation(&mut journal, &mut numbers, &mut next_number);
            states.push(journal.unfinished().clone());
            if confirmed {
                assert!(
                    !journal.has_pending(),
                    "confirmed while earlier records are pending"
                );
                last_durable_step = states.len() - 1;
            }
            let (reopened, recovery) = {
                let copy = fresh_folder("journal-prefix-copy");
                fs::create_dir_all(&copy).expect("a folder");
                fs::copy(&journal.file.path, copy.join("journal")).expect("copied");
                Journal::open(&copy, limit, 16).expect("opened")
            };
            assert_eq!(recovery.damaged_bytes, 0, "seed {seed}");
            let found = states[last_durable_step..]
                .iter()
                .any(|state| state == reopened.unfinished());
            assert!(
                found,
                "seed {seed}: {:?} is no state since step {last_durable_step}: {:?}",
                reopened.unfinished(),
                &states[last_durable_step..]
            );
        }
    }
}

#[test]
fn truncated_journal_holds_all_whole_records_before_truncation() {
    let folder = fresh_folder("journal-cut");
    let (mut journal, _) = Journal::open(&folder, 1 << 20, 16).expect("opened");
    let (mut numbers, mut next_number) = (SeededNumbers(3), 0);
    let mut states = vec![(0, journal.unfinished().clone())];
    for _ in 0..40 {
        random_operation(&mut journal, &mut numbers, &mut next_number);
        states.push((journal.file.whole_bytes, journal.unfinished().clone()));
    }
    let bytes = fs::read(&journal.file.path).expect("read");
    for length in 0..=bytes.len() {
        let copy = fresh_folder("journal-cut-copy");
        fs::create_dir_all(&copy).expect("a folder");
        fs::write(copy.join("journal"), &bytes[..length]).expect("written");
        let (reopened, recovery) = Journal::open(&copy, 1 << 20, 16).expect("opened");
        let last = states
            .iter()
            .rev()
            .find(|(size, _)| *size <= length as u64)
            .expect("the empty state");
        assert_eq!(
            (reopened.unfinished(), recovery.damaged_bytes),
            (&last.1, 0),
            "{length} bytes"
        );
    }
}

/// Returns the end proof of a notification that the platform has accepted.
fn accepted_notification() -> EndProof {
    EndProof::of_notification_answer(hyper::StatusCode::NO_CONTENT).expect("it is 204")
}
