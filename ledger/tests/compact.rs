//! The compact form of questions and answers: its bytes are fixed, what is written is read back, and nothing else is read.

use proptest::prelude::*;
use quota_ledger::compact::{Answer, CompactError, Question};
use quota_ledger::naming::NAMES_MOST;
use quota_ledger::verdicts::{Verdict, Word};
use quota_ledger::{Dealt, Floors, Key, Want, What};

fn question() -> Question {
    Question {
        sender: "n3".to_string(),
        life: 300,
        number: 2,
        floors: Floors {
            senders: 4,
            each: [("rate".to_string(), 1)].into(),
        },
        zone: "a".to_string(),
        wants: vec![
            Want {
                key: Key::of(70_000, What::Rate),
                want: 5,
            },
            Want {
                key: Key::of(70_003, What::Rate),
                want: 667,
            },
            Want {
                key: Key::of(9, What::Out),
                want: 1,
            },
            Want {
                key: Key::tenant("acme"),
                want: 2,
            },
        ],
        reports: vec![Word {
            destination: 9,
            out: true,
        }],
    }
}

fn answer() -> Answer {
    Answer {
        lease: 1_500_000,
        rev: 7,
        quotas: vec![
            Dealt {
                key: Key::of(70_000, What::Rate),
                part: Some(4),
                total: None,
                linger_ms: 0,
            },
            Dealt {
                key: Key::of(9, What::Out),
                part: Some(0),
                total: None,
                linger_ms: 300,
            },
            Dealt {
                key: Key::of(9, What::Cold),
                part: None,
                total: None,
                linger_ms: 0,
            },
        ],
        verdicts: vec![Verdict {
            destination: 9,
            out: true,
            epoch: 3,
            observers: 2,
        }],
    }
}

#[test]
fn the_bytes_of_version_1_stay_as_they_are() {
    let rates = [2, 0xf0, 0xa2, 4, 5, 3, 0x9b, 5];
    let named = [
        1, 11, b't', b'e', b'n', b'a', b'n', b't', b'/', b'a', b'c', b'm', b'e', 2,
    ];
    let head = [
        1, 2, b'n', b'3', 0xac, 2, 2, 4, 1, 4, b'r', b'a', b't', b'e', 1, 1, b'a',
    ];
    let bytes = [&head[..], &rates, &[1, 9, 1], &[0], &named, &[1, 9, 1]].concat();
    assert_eq!(question().write(), bytes);
    assert_eq!(Question::read(&bytes), Ok(question()));
    let quotas = [1, 0xf0, 0xa2, 4, 5, 1, 9, 1, 1, 9, 0, 0];
    let lingers = [0, 1, 9, 0xac, 2, 0, 0];
    let bytes = [
        &[1, 0xe0, 0xc6, 0x5b, 7][..],
        &quotas,
        &lingers,
        &[1, 9, 1, 3, 2],
    ]
    .concat();
    assert_eq!(answer().write(), bytes);
    assert_eq!(Answer::read(&bytes), Ok(answer()));
}

#[test]
fn another_version_and_json_are_refused_by_their_first_byte() {
    let mut bytes = question().write();
    bytes[0] = 2;
    assert_eq!(Question::read(&bytes), Err(CompactError::Version(Some(2))));
    assert_eq!(
        Question::read(b"{\"sender\":\"a\"}"),
        Err(CompactError::Version(Some(b'{')))
    );
    assert_eq!(Answer::read(&[]), Err(CompactError::Version(None)));
}

#[test]
fn what_is_cut_anywhere_or_too_long_is_refused() {
    for bytes in [question().write(), answer().write()] {
        for cut in 1..bytes.len() {
            let part = &bytes[..cut];
            assert!(
                Question::read(part).is_err() && Answer::read(part).is_err(),
                "{cut} of {bytes:?}"
            );
        }
    }
    let longer = [question().write(), vec![0]].concat();
    assert!(matches!(
        Question::read(&longer),
        Err(CompactError::Malformed(_))
    ));
}

#[test]
fn no_more_is_read_than_a_question_may_name_and_no_destination_beyond_the_numbers() {
    let wants = |count| {
        (0..count)
            .map(|place| Want {
                key: Key::of(place, What::Rate),
                want: 1,
            })
            .collect()
    };
    let full = Question {
        wants: wants(NAMES_MOST as u64),
        ..question()
    };
    assert_eq!(Question::read(&full.write()), Ok(full));
    let over = Question {
        wants: wants(NAMES_MOST as u64 + 1),
        ..question()
    };
    assert_eq!(Question::read(&over.write()), Err(CompactError::Many));
    let head = [1, 0, 0, 0, 0, 0, 0];
    let most = [0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1];
    // one destination at the last number, and one beyond
    let bytes = [&head[..], &[2], &most, &[1], &[1, 1], &[0, 0, 0, 0]].concat();
    assert!(
        matches!(Question::read(&bytes), Err(CompactError::Malformed(_))),
        "{:?}",
        Question::read(&bytes)
    );
}

proptest! {
    #[test]
    fn what_is_written_is_read_back_in_the_order_of_kinds_and_places(
        wants in prop::collection::btree_map(any::<u64>(), any::<u64>(), 0..50),
        reports in prop::collection::btree_map(any::<u64>(), any::<bool>(), 0..50),
    ) {
        let wants = wants.into_iter().map(|(place, want)| Want { key: Key::of(place, What::Cold), want });
        let reports = reports.into_iter().map(|(destination, out)| Word { destination, out });
        let question = Question { wants: wants.collect(), reports: reports.collect(), ..question() };
        prop_assert_eq!(Question::read(&question.write()), Ok(question));
    }

    #[test]
    fn no_bytes_make_it_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = (Question::read(&bytes), Answer::read(&bytes));
        let mut ours = vec![1];
        ours.extend(bytes);
        let _ = (Question::read(&ours), Answer::read(&ours));
    }

    #[test]
    fn one_changed_byte_is_read_as_another_question_or_refused(at in 0_usize..60, to in any::<u8>()) {
        let mut bytes = question().write();
        let length = bytes.len();
        bytes[at % length] = to;
        if let Ok(read) = Question::read(&bytes) {
            prop_assert!(read.wants.len() <= NAMES_MOST);
        }
    }
}
