//! Order of keys, repeats and backoffs.

use super::*;

const A: MessageId = MessageId(1);
const B: MessageId = MessageId(2);
const BACKOFF: Micros = 300;

fn two(effect: Effect) -> Lifecycle {
    let mut lifecycle = Lifecycle::default();
    for id in [A, B] {
        lifecycle.accept(id, DeliveryGuarantee::new(Some(9), effect));
    }
    lifecycle
}

#[test]
fn messages_of_a_key_begin_in_order_and_after_the_backoff() {
    let mut lifecycle = two(Effect::Idempotent);
    assert_eq!(lifecycle.begin_attempt(B, 0), Err(Violation::OutOfOrder));
    assert_eq!(lifecycle.begin_attempt(A, 0), Ok(()));
    lifecycle.complete(A);
    assert_eq!(
        lifecycle.begin_attempt(B, 1),
        Err(Violation::OutOfOrder),
        "the call of the first is in flight"
    );
    lifecycle.end_attempt(A, Outcome::Cancelled, 10, BACKOFF);
    assert_eq!(lifecycle.begin_attempt(B, 309), Err(Violation::KeyBackoff));
    assert_eq!(lifecycle.begin_attempt(B, 310), Ok(()));
}

#[test]
fn closed_message_blocks_its_key_until_complete() {
    let mut lifecycle = two(Effect::Idempotent);
    lifecycle.close(A);
    assert_eq!(lifecycle.begin_attempt(A, 0), Err(Violation::NotOpen));
    assert_eq!(lifecycle.begin_attempt(B, 0), Err(Violation::OutOfOrder));
    lifecycle.complete(A);
    assert_eq!(lifecycle.begin_attempt(B, 0), Ok(()));
}

#[test]
fn non_idempotent_message_is_repeated_only_if_it_never_ran() {
    let mut lifecycle = two(Effect::NonIdempotent);
    assert_eq!(lifecycle.begin_attempt(A, 0), Ok(()));
    assert_eq!(
        lifecycle.begin_attempt(A, 0),
        Err(Violation::Repeated),
        "a hedge"
    );
    lifecycle.end_attempt(A, Outcome::NoConnection, 1, BACKOFF);
    assert_eq!(lifecycle.begin_attempt(A, 2), Ok(()));
    lifecycle.end_attempt(A, Outcome::Error, 3, BACKOFF);
    assert_eq!(lifecycle.begin_attempt(A, 4), Err(Violation::Repeated));
}

#[test]
fn restored_message_counts_its_calls_in_flight() {
    let mut lifecycle = Lifecycle::default();
    lifecycle.restore(
        A,
        DeliveryGuarantee::new(None, Effect::NonIdempotent),
        1,
        false,
    );
    assert_eq!(lifecycle.begin_attempt(A, 0), Err(Violation::Repeated));
    lifecycle.end_attempt(A, Outcome::Rejected { retry_after: None }, 0, BACKOFF);
    assert_eq!(lifecycle.begin_attempt(A, 0), Ok(()));
    assert_eq!(lifecycle.begin_attempt(B, 0), Err(Violation::NotOpen));
}
