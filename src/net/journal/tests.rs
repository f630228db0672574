//! Records that fail to be written, and what a next life reads.

mod format;

use super::*;
use message_sender::{Class, Effect};
use std::fs::File;

#[test]
fn attempt_not_written_takes_no_position() {
    let folder = std::env::temp_dir().join(format!("journal-positions-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    let (mut journal, _) = Journal::open(&folder, 16 * 1024, 0).expect("opened");
    let taken = AcceptedMessage {
        id: "m".into(),
        key: None,
        class: "order".into(),
        destination: 7,
        accepted_at: 0,
        deadline: 1,
        body: Vec::new(),
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
            taken,
            MessageOrigin::default(),
            ClassTerms::of(&class, 12),
        )
        .expect("room");
    // the first is larger than the room there is, the second may have run, the third never did
    assert!(matches!(
        journal.start_attempt(5, &"x".repeat(20_000), 1),
        Err(JournalError::Full)
    ));
    assert_eq!(journal.start_attempt(5, "a", 2).expect("room"), 0);
    assert_eq!(journal.start_attempt(5, "b", 3).expect("room"), 1);
    journal.attempt_never_ran(5, 1).expect("room");
    journal.reopen().expect("opened");
    let sends: Vec<_> = journal.unfinished()[&5]
        .attempts
        .iter()
        .map(|sent| (sent.uid.as_str(), sent.never_ran))
        .collect();
    assert_eq!(sends, [("a", false), ("b", true)]);
    fs::remove_dir_all(&folder).expect("removed");
}

fn message(id: u64) -> (AcceptedMessage, MessageOrigin, ClassTerms) {
    let taken = AcceptedMessage {
        id: format!("m{id}"),
        key: None,
        class: "order".into(),
        destination: 7,
        accepted_at: 0,
        deadline: 1,
        body: vec![b'x'; 100],
    };
    (
        taken,
        MessageOrigin::default(),
        ClassTerms::of(&Class::new("order", Effect::NonIdempotent, 1, 1), 12),
    )
}

fn fresh(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    folder
}

/// Draws that follow from a seed alone.
struct Draws(u64);

impl Draws {
    fn below(&mut self, most: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % most
    }
}

/// Something is written down or has happened; true if it was acknowledged as durable.
fn step(journal: &mut Journal, draws: &mut Draws, next: &mut u64) -> bool {
    let owed: Vec<u64> = journal.unfinished().keys().copied().collect();
    let one = (!owed.is_empty()).then(|| owed[draws.below(owed.len() as u64) as usize]);
    match (draws.below(5), one) {
        (0, _) | (_, None) => {
            let (taken, origin, terms) = message(*next);
            let written = journal.accept(*next, taken, origin, terms);
            *next += u64::from(written.is_ok());
            written.is_ok()
        }
        (1, Some(one)) => journal.start_attempt(one, "s-1", 5).is_ok(),
        (2, Some(one)) => journal.attempt_never_ran(one, 0).is_ok(),
        (3, Some(one)) => journal
            .end_undelivered(one, UndeliveredOutcome::Failed)
            .is_ok(),
        (_, Some(one)) => journal.complete(one, accepted_notification()).is_ok(),
    }
}

/// Writes with a disk that fails and recovers; a next life at any moment reads a prefix of what happened, with all that
/// was acknowledged.
#[test]
fn reopened_journal_holds_prefix_of_history_after_failed_writes() {
    for seed in 0..40 {
        let folder = fresh("journal-prefix");
        // half of them are compacted on the way
        let limit = if seed % 2 == 0 { 1 << 20 } else { 16 * 1024 };
        let (mut journal, _) = Journal::open(&folder, limit, 16).expect("opened");
        let (mut draws, mut next) = (Draws(seed), 0);
        let mut states = vec![journal.unfinished().clone()];
        let mut durable = 0;
        for _ in 0..150 {
            match draws.below(8) {
                // a handle that takes nothing, neither records nor to be cut
                0 => journal.file.handle = File::open(&journal.file.path).expect("opened"),
                // half a record gets out before the disk fails
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
                    journal.retry_pending().expect("the disk is well");
                    durable = states.len() - 1;
                }
                _ => {}
            }
            let acknowledged = step(&mut journal, &mut draws, &mut next);
            states.push(journal.unfinished().clone());
            if acknowledged {
                assert!(
                    !journal.has_pending(),
                    "acknowledged before what was to be written first"
                );
                durable = states.len() - 1;
            }
            let (life, recovery) = {
                let copy = fresh("journal-prefix-copy");
                fs::create_dir_all(&copy).expect("a folder");
                fs::copy(&journal.file.path, copy.join("journal")).expect("copied");
                Journal::open(&copy, limit, 16).expect("opened")
            };
            assert_eq!(recovery.damaged, 0, "seed {seed}");
            let found = states[durable..]
                .iter()
                .any(|state| state == life.unfinished());
            assert!(
                found,
                "seed {seed}: {:?} is no state since {durable}: {:?}",
                life.unfinished(),
                &states[durable..]
            );
        }
    }
}

#[test]
fn truncated_journal_holds_records_before_the_cut() {
    let folder = fresh("journal-cut");
    let (mut journal, _) = Journal::open(&folder, 1 << 20, 16).expect("opened");
    let (mut draws, mut next) = (Draws(3), 0);
    let mut states = vec![(0, journal.unfinished().clone())];
    for _ in 0..40 {
        step(&mut journal, &mut draws, &mut next);
        states.push((journal.file.size, journal.unfinished().clone()));
    }
    let bytes = fs::read(&journal.file.path).expect("read");
    for length in 0..=bytes.len() {
        let copy = fresh("journal-cut-copy");
        fs::create_dir_all(&copy).expect("a folder");
        fs::write(copy.join("journal"), &bytes[..length]).expect("written");
        let (life, recovery) = Journal::open(&copy, 1 << 20, 16).expect("opened");
        let last = states
            .iter()
            .rev()
            .find(|(size, _)| *size <= length as u64)
            .expect("the empty one");
        assert_eq!(
            (life.unfinished(), recovery.damaged),
            (&last.1, 0),
            "{length} bytes"
        );
    }
}

/// The proof that a notification was accepted.
fn accepted_notification() -> EndProof {
    EndProof::of_notification_answer(hyper::StatusCode::NO_CONTENT).expect("it is 204")
}
