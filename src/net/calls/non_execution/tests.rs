//! Tests of the evidence that an attempt was not executed, and of incomplete evidence that proves nothing.

use super::super::Item;
use super::super::answer::bulk_results;
use super::super::attempt_result::{AttemptResult, MayHaveRun};
use super::*;
use hyper::Response;
use hyper::header::{HeaderValue, RETRY_AFTER};

const NO_CONTEXT: RefusalContext = RefusalContext {
    is_bulk: false,
    connection_rejected: false,
    retry_after: None,
};

fn complete_answer(status: u16, retry_after: Option<&'static str>) -> CompleteAnswer {
    let mut response = Response::builder().status(status);
    if let Some(wait) = retry_after {
        response = response.header(RETRY_AFTER, wait);
    }
    let response = response.body(()).expect("a response");
    CompleteAnswer::of_head(response.into_parts().0)
}

#[test]
fn only_statuses_that_protocol_defines_as_refusals_prove_non_execution() {
    for is_bulk in [false, true] {
        for status in 200..600 {
            let context = RefusalContext {
                is_bulk,
                ..NO_CONTEXT
            };
            let proof = NonExecution::of_answer(&complete_answer(status, Some("0.5")), context);
            let is_refusal =
                matches!(status, 429 | 503 | 504) || is_bulk && matches!(status, 400 | 413);
            assert_eq!(proof.is_ok(), is_refusal, "{status}, bulk {is_bulk}");
            assert!(proof.is_ok_and(|proof| proof.outcome().never_ran()) || !is_refusal);
        }
    }
}

#[test]
fn answer_429_proves_non_execution_only_with_readable_retry_after() {
    let proof = |wait| NonExecution::of_answer(&complete_answer(429, wait), NO_CONTEXT);
    for wait in ["0", "0.000", "3", "0.25"] {
        assert!(proof(Some(wait)).is_ok(), "{wait}");
    }
    for wait in [
        "", "x", "0.4x7", "-1", "+1", "1e3", "inf", "nan", ".5", "5.", "1,5",
    ] {
        let error = proof(Some(wait)).expect_err("no proof");
        assert_eq!(error, Unproven::RetryAfter, "{wait}");
    }
    assert_eq!(proof(None), Err(Unproven::RetryAfter));
}

/// Returns the result of message `m1` in a bulk answer with this body.
fn result_of_m1(text: &[u8], is_length_known: bool) -> AttemptResult {
    let item = Item {
        id: HeaderValue::from_static("m1"),
        key: None,
        body: Default::default(),
    };
    let text = BulkText {
        text,
        is_length_known,
    };
    bulk_results(text, &[item], None)[0]
}

/// Guards against sending a message again by a line of a bulk answer that may be cut short, or that another line of the
/// answer contradicts.
#[test]
fn line_of_bulk_answer_proves_non_execution_only_in_complete_body_and_if_uncontradicted() {
    for line in ["m1 later\r\n", "m1 exhausted\r\n"] {
        let line = line.as_bytes();
        assert!(result_of_m1(line, true).outcome().never_ran());
        assert!(!result_of_m1(line, false).outcome().never_ran());
        let doubled = [line, line].concat();
        assert!(result_of_m1(&doubled, true).outcome().never_ran());
        for other in ["m1 ok\r\n", "m1 error\r\n", "m1 gone\r\n"] {
            let other = other.as_bytes();
            for text in [[line, other].concat(), [other, line].concat()] {
                let result = result_of_m1(&text, true);
                assert_eq!(result, MayHaveRun::Error.into(), "{text:?}");
            }
        }
    }
}

#[test]
fn partly_written_request_proves_non_execution_and_whole_request_does_not() {
    for written in 0..10 {
        let proof = NonExecution::of_partial_request(written, 10).expect("a proof");
        assert_eq!(proof.outcome(), Outcome::NoConnection);
    }
    assert!(NonExecution::of_partial_request(10, 10).is_none());
}
