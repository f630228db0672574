//! The compact form of questions and answers: its bytes are fixed, what is written is read back, and nothing else is read.

use proptest::prelude::*;
use quota_ledger::health::{HealthReport, HealthVerdict};
use quota_ledger::quotas::MAX_KEYS_PER_REQUEST;
use quota_ledger::quotas::compact::{CompactError, QuotaRequest, QuotaResponse};
use quota_ledger::{Allocation, FallbackQuotas, LimitKey, QuotaDemand, Resource};

fn question() -> QuotaRequest {
    QuotaRequest {
        sender: "n3".to_string(),
        incarnation: 300,
        sequence: 2,
        fallback_quotas: FallbackQuotas {
            senders: 4,
            per_sender: [("rate".to_string(), 1)].into(),
        },
        zone: "a".to_string(),
        demands: vec![
            QuotaDemand {
                key: LimitKey::of(70_000, Resource::Rate),
                amount: 5,
            },
            QuotaDemand {
                key: LimitKey::of(70_003, Resource::Rate),
                amount: 667,
            },
            QuotaDemand {
                key: LimitKey::of(9, Resource::Concurrency),
                amount: 1,
            },
            QuotaDemand {
                key: LimitKey::tenant("acme"),
                amount: 2,
            },
        ],
        reports: vec![HealthReport {
            destination: 9,
            unavailable: true,
        }],
    }
}

fn answer() -> QuotaResponse {
    QuotaResponse {
        lease: 1_500_000,
        revision: 7,
        allocations: vec![
            Allocation {
                key: LimitKey::of(70_000, Resource::Rate),
                quota: Some(4),
                total: None,
                expiry_grace_ms: 0,
            },
            Allocation {
                key: LimitKey::of(9, Resource::Concurrency),
                quota: Some(0),
                total: None,
                expiry_grace_ms: 300,
            },
            Allocation {
                key: LimitKey::of(9, Resource::RecoveryRate),
                quota: None,
                total: None,
                expiry_grace_ms: 0,
            },
        ],
        verdicts: vec![HealthVerdict {
            destination: 9,
            unavailable: true,
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
    assert_eq!(question().encode(), bytes);
    assert_eq!(QuotaRequest::decode(&bytes), Ok(question()));
    let quotas = [1, 0xf0, 0xa2, 4, 5, 1, 9, 1, 1, 9, 0, 0];
    let lingers = [0, 1, 9, 0xac, 2, 0, 0];
    let bytes = [
        &[1, 0xe0, 0xc6, 0x5b, 7][..],
        &quotas,
        &lingers,
        &[1, 9, 1, 3, 2],
    ]
    .concat();
    assert_eq!(answer().encode(), bytes);
    assert_eq!(QuotaResponse::decode(&bytes), Ok(answer()));
}

#[test]
fn another_version_and_json_are_refused_by_their_first_byte() {
    let mut bytes = question().encode();
    bytes[0] = 2;
    assert_eq!(
        QuotaRequest::decode(&bytes),
        Err(CompactError::UnknownVersion(Some(2)))
    );
    assert_eq!(
        QuotaRequest::decode(b"{\"sender\":\"a\"}"),
        Err(CompactError::UnknownVersion(Some(b'{')))
    );
    assert_eq!(
        QuotaResponse::decode(&[]),
        Err(CompactError::UnknownVersion(None))
    );
}

#[test]
fn what_is_cut_anywhere_or_too_long_is_refused() {
    for bytes in [question().encode(), answer().encode()] {
        for cut in 1..bytes.len() {
            let part = &bytes[..cut];
            assert!(
                QuotaRequest::decode(part).is_err() && QuotaResponse::decode(part).is_err(),
                "{cut} of {bytes:?}"
            );
        }
    }
    let longer = [question().encode(), vec![0]].concat();
    assert!(matches!(
        QuotaRequest::decode(&longer),
        Err(CompactError::Malformed(_))
    ));
}

#[test]
fn no_more_is_read_than_a_question_may_name_and_no_destination_beyond_the_numbers() {
    let wants = |count| {
        (0..count)
            .map(|place| QuotaDemand {
                key: LimitKey::of(place, Resource::Rate),
                amount: 1,
            })
            .collect()
    };
    let full = QuotaRequest {
        demands: wants(MAX_KEYS_PER_REQUEST as u64),
        ..question()
    };
    assert_eq!(QuotaRequest::decode(&full.encode()), Ok(full));
    let over = QuotaRequest {
        demands: wants(MAX_KEYS_PER_REQUEST as u64 + 1),
        ..question()
    };
    assert_eq!(
        QuotaRequest::decode(&over.encode()),
        Err(CompactError::TooManyKeys)
    );
    let head = [1, 0, 0, 0, 0, 0, 0];
    let most = [0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1];
    // one destination at the last number, and one beyond
    let bytes = [&head[..], &[2], &most, &[1], &[1, 1], &[0, 0, 0, 0]].concat();
    assert!(
        matches!(
            QuotaRequest::decode(&bytes),
            Err(CompactError::Malformed(_))
        ),
        "{:?}",
        QuotaRequest::decode(&bytes)
    );
}

proptest! {
    #[test]
    fn what_is_written_is_read_back_in_the_order_of_kinds_and_places(
        wants in prop::collection::btree_map(any::<u64>(), any::<u64>(), 0..50),
        reports in prop::collection::btree_map(any::<u64>(), any::<bool>(), 0..50),
    ) {
        let wants = wants.into_iter().map(|(place, want)| QuotaDemand { key: LimitKey::of(place, Resource::RecoveryRate), amount: want });
        let reports = reports.into_iter().map(|(destination, out)| HealthReport { destination, unavailable: out });
        let question = QuotaRequest { demands: wants.collect(), reports: reports.collect(), ..question() };
        prop_assert_eq!(QuotaRequest::decode(&question.encode()), Ok(question));
    }

    #[test]
    fn no_bytes_make_it_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = (QuotaRequest::decode(&bytes), QuotaResponse::decode(&bytes));
        let mut ours = vec![1];
        ours.extend(bytes);
        let _ = (QuotaRequest::decode(&ours), QuotaResponse::decode(&ours));
    }

    #[test]
    fn one_changed_byte_is_read_as_another_question_or_refused(at in 0_usize..60, to in any::<u8>()) {
        let mut bytes = question().encode();
        let length = bytes.len();
        bytes[at % length] = to;
        if let Ok(read) = QuotaRequest::decode(&bytes) {
            prop_assert!(read.demands.len() <= MAX_KEYS_PER_REQUEST);
        }
    }
}
