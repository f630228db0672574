use super::*;
use serde_json::{Value, json};

fn said(at_us: u64, sender: usize, part: u64, left_us: u64) -> Record {
    let report: Value = json!({ "lease_ms": 1500, "now_us": 5_000_000 + at_us,
            "floors": { "senders": 2, "each": { "rate": 100 } },
            "parts": [{ "key": "rate/0", "part": part, "until_us": 5_000_000 + at_us + left_us }] });
    Record {
        at_us,
        event: Event::QuotasReported { sender, report },
    }
}

#[test]
fn sum_over_limit_is_a_violation_and_quota_of_ended_process_is_not() {
    let limited = |at_us, total| Record {
        at_us,
        event: Event::LimitSet { total },
    };
    let held =
        |last: Record| check(&[limited(0, 1000), said(10, 0, 500, 1_000_000), last]).is_empty();
    assert!(held(said(20, 1, 300, 900_000)));
    assert!(!held(said(20, 1, 301, 900_000)));
    assert!(
        held(said(1_100_000, 1, 800, 900_000)),
        "the first part has ended"
    );
    // lowered: the one before counts for a lease
    let lowered = |at_us| {
        check(&[
            limited(0, 1000),
            limited(100, 600),
            said(at_us, 0, 500, 1_000_000),
        ])
        .is_empty()
    };
    assert!(lowered(1_600_000) && !lowered(1_700_000));
    let ended = Event::ProcessEnded {
        sender: 0,
        pid: 1,
        intended: true,
        status: String::new(),
    };
    let records = [
        limited(0, 1000),
        said(10, 0, 700, 9_000_000),
        Record {
            at_us: 15,
            event: ended,
        },
        said(20, 1, 800, 9),
    ];
    assert!(check(&records).is_empty());
    assert_eq!(
        (figures(&records).reports, figures(&records).most),
        (2, 1.0)
    );
}
