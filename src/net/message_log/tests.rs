//! Tests of which events are logged without tracing, of the line format and of the rate limit.

use super::*;
use std::time::Duration;

#[test]
fn only_ordinary_events_require_tracing() {
    let ended = |number, outcome| MessageEvent::AttemptEnded {
        number,
        endpoint: Some("s-1"),
        outcome,
        proof: None,
    };
    let began = |number| MessageEvent::AttemptBegan {
        number,
        endpoint: "s-1",
    };
    for ordinary in [
        MessageEvent::Answered(SubmissionResult::Accepted),
        began(0),
        ended(0, Outcome::Success),
    ] {
        assert!(ordinary.is_ordinary(), "{ordinary}");
    }
    for other in [
        MessageEvent::Answered(SubmissionResult::NotStored),
        MessageEvent::Answered(SubmissionResult::Rejected { retry_after: None }),
        began(1),
        ended(0, Outcome::Reset),
        ended(1, Outcome::Success),
        MessageEvent::ClientLeft,
        MessageEvent::Notified,
        MessageEvent::EndedUndelivered(UndeliveredOutcome::Failed),
    ] {
        assert!(!other.is_ordinary(), "{other}");
    }
}

#[test]
fn attempt_and_incomplete_call_lines_name_endpoint_and_outcome() {
    let event = MessageEvent::AttemptEnded {
        number: 2,
        endpoint: Some("s-7"),
        outcome: Outcome::Rejected {
            retry_after: Some(500 * MILLISECOND),
        },
        proof: None,
    };
    assert_eq!(
        event.to_string(),
        "attempt 2 at s-7 ended: rejected, retry after 500 ms"
    );
    let id = HeaderValue::from_static("m1");
    let call = IncompleteCall {
        address: ([127, 0, 0, 1], 9).into(),
        ids: vec![&id],
        outcome: Outcome::Reset,
        answer_bytes: 13,
        answer_start: b"HTTP/1.1 200 ".to_vec(),
    };
    assert_eq!(
        call.to_string(),
        "call to 127.0.0.1:9 ended: Reset, after 13 bytes of an answer (\"HTTP/1.1 200 \"), messages m1"
    );
}

#[test]
fn lines_over_budget_are_suppressed_and_counted() {
    let now = Instant::now();
    let mut budget = LineBudget::new(now);
    let burst = MAX_BURST_LINES as usize;
    let logged = (0..burst + 50)
        .filter(|_| budget.take(now).is_some())
        .count();
    assert_eq!(logged, burst);
    assert_eq!(budget.take(now + Duration::from_secs(1)), Some(50));
    assert_eq!(budget.take(now + Duration::from_secs(1)), Some(0));
}
