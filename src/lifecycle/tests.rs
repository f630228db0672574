//! Tests of the order of messages with one key, of repeats and of key backoffs.

use super::*;

const EARLIER: MessageId = MessageId(1);
const LATER: MessageId = MessageId(2);
/// Backoff of a key, in microseconds.
const BACKOFF: Micros = 300;

fn lifecycle_with_two_messages_of_a_key(effect: Effect) -> Lifecycle {
    let mut lifecycle = Lifecycle::default();
    for id in [EARLIER, LATER] {
        lifecycle.accept(id, DeliveryGuarantee::new(Some(9), effect));
    }
    lifecycle
}

#[test]
fn messages_of_a_key_begin_in_order_and_after_the_backoff() {
    let mut lifecycle = lifecycle_with_two_messages_of_a_key(Effect::Idempotent);
    assert_eq!(
        lifecycle.begin_attempt(LATER, 0),
        Err(Violation::OutOfOrder)
    );
    assert_eq!(lifecycle.begin_attempt(EARLIER, 0), Ok(()));
    lifecycle.complete(EARLIER);
    assert_eq!(
        lifecycle.begin_attempt(LATER, 1),
        Err(Violation::OutOfOrder),
        "a call with the earlier message is in flight"
    );
    lifecycle.end_attempt(EARLIER, Outcome::Cancelled, 10, BACKOFF);
    assert_eq!(
        lifecycle.begin_attempt(LATER, 309),
        Err(Violation::KeyBackoff)
    );
    assert_eq!(lifecycle.begin_attempt(LATER, 310), Ok(()));
}

#[test]
fn closed_message_blocks_its_key_until_complete() {
    let mut lifecycle = lifecycle_with_two_messages_of_a_key(Effect::Idempotent);
    lifecycle.close(EARLIER);
    assert_eq!(lifecycle.begin_attempt(EARLIER, 0), Err(Violation::NotOpen));
    assert_eq!(
        lifecycle.begin_attempt(LATER, 0),
        Err(Violation::OutOfOrder)
    );
    lifecycle.complete(EARLIER);
    assert_eq!(lifecycle.begin_attempt(LATER, 0), Ok(()));
}

#[test]
fn non_idempotent_message_is_repeated_only_if_never_processed() {
    let mut lifecycle = lifecycle_with_two_messages_of_a_key(Effect::NonIdempotent);
    assert_eq!(lifecycle.begin_attempt(EARLIER, 0), Ok(()));
    assert_eq!(
        lifecycle.begin_attempt(EARLIER, 0),
        Err(Violation::Repeated),
        "a hedge could make the destination process the message twice"
    );
    lifecycle.end_attempt(EARLIER, Outcome::NoConnection, 1, BACKOFF);
    assert_eq!(lifecycle.begin_attempt(EARLIER, 2), Ok(()));
    lifecycle.end_attempt(EARLIER, Outcome::Error, 3, BACKOFF);
    assert_eq!(
        lifecycle.begin_attempt(EARLIER, 4),
        Err(Violation::Repeated)
    );
}

#[test]
fn restored_message_counts_its_calls_in_flight() {
    let mut lifecycle = Lifecycle::default();
    lifecycle.restore(
        EARLIER,
        DeliveryGuarantee::new(None, Effect::NonIdempotent),
        1,
        false,
    );
    assert_eq!(
        lifecycle.begin_attempt(EARLIER, 0),
        Err(Violation::Repeated)
    );
    lifecycle.end_attempt(EARLIER, Outcome::Rejected { retry_after: None }, 0, BACKOFF);
    assert_eq!(lifecycle.begin_attempt(EARLIER, 0), Ok(()));
    assert_eq!(lifecycle.begin_attempt(LATER, 0), Err(Violation::NotOpen));
}
