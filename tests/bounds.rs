//! Agreed rules bind what is sent, whatever own settings allow: while a lease lasts what it grants, after it the floor.

mod common;

use common::*;
use message_sender::*;

fn bound(effect: Effect, attempts: usize) -> ClassBounds {
    ClassBounds {
        accepted: true,
        effect,
        max_attempts: attempts,
        ordered: false,
        key_backoff: 0,
    }
}

fn bounds(classes: &[(&str, ClassBounds)]) -> RuleBounds {
    RuleBounds {
        classes: classes
            .iter()
            .map(|(name, bound)| (name.to_string(), *bound))
            .collect(),
        ..RuleBounds::default()
    }
}

/// Rules until a time after the start, then the floor.
fn agreed(leased: RuleBounds, until: Micros, floor: RuleBounds) -> Event {
    Event::AgreedRules(Some(Box::new(AgreedRules {
        leased: Some(LeasedBounds {
            bounds: leased,
            until: START + until,
        }),
        fallback: floor,
    })))
}

fn host() -> TestHost {
    TestHost::new(settings(8), vec![entry(1, 7), entry(2, 7)])
}

#[test]
fn a_class_that_the_rules_do_not_accept_is_refused_and_one_that_they_do_not_name_is_not_sent() {
    let mut host = host();
    host.handle(vec![message(1, IDEMPOTENT, 7)]);
    assert_eq!(host.sends_of(1).len(), 1);
    host.end(1, Outcome::Success, SECOND / 10);
    let shut = ClassBounds {
        accepted: false,
        ..bound(Effect::Idempotent, 9)
    };
    let free = bounds(&[("free", bound(Effect::Idempotent, 9)), ("keyed", shut)]);
    host.handle(vec![agreed(free, 10 * SECOND, bounds(&[]))]);
    host.handle(vec![
        message(2, IDEMPOTENT, 7),
        message(3, WITH_IDEMPOTENCY_KEY, 7),
        message(4, NON_IDEMPOTENT, 7),
    ]);
    assert_eq!((host.sends_of(2).len(), host.rejected(2)), (1, false));
    assert!(host.rejected(3) && host.rejected(4));
    // the lease runs out without a word: nothing of the class goes again, and nobody is told that it is over
    host.now = START + 10 * SECOND;
    host.end(2, Outcome::Error, SECOND);
    host.run(START + 15 * SECOND);
    assert_eq!(
        (host.sends_of(2).len(), host.rejected(2), host.failed(2)),
        (1, false, false)
    );
    host.handle(vec![agreed(
        bounds(&[("free", bound(Effect::Idempotent, 9))]),
        60 * SECOND,
        bounds(&[]),
    )]);
    host.run(START + 20 * SECOND);
    assert!(
        host.sends_of(2).len() > 1,
        "it goes on once rules allow it again"
    );
}

#[test]
fn a_stricter_effect_and_fewer_attempts_bind_messages_that_were_taken_on_before() {
    for (floor, name) in [
        (
            bounds(&[("free", bound(Effect::NonIdempotent, 9))]),
            "effect",
        ),
        (
            bounds(&[("free", bound(Effect::Idempotent, 1))]),
            "attempts",
        ),
    ] {
        let mut host = host();
        let free = bounds(&[("free", bound(Effect::Idempotent, 9))]);
        host.handle(vec![
            agreed(free.clone(), SECOND, floor),
            message(1, IDEMPOTENT, 7),
        ]);
        host.now = START + SECOND;
        host.end(1, Outcome::TimedOut, SECOND);
        host.run(START + 6 * SECOND);
        assert_eq!(
            (host.sends_of(1).len(), host.failed(1), host.rejected(1)),
            (1, false, false),
            "{name}"
        );
        host.handle(vec![agreed(free, 60 * SECOND, bounds(&[]))]);
        host.run(START + 9 * SECOND);
        assert!(host.sends_of(1).len() > 1, "{name}: its own terms allow it");
    }
}

#[test]
fn calls_messages_order_and_rests_are_the_stricter_of_both() {
    let mut host = host();
    let free = ClassBounds {
        ordered: true,
        key_backoff: 2 * SECOND,
        ..bound(Effect::Idempotent, 9)
    };
    let leased = RuleBounds {
        max_calls: Some(2),
        max_messages: Some(3),
        ..bounds(&[("free", free)])
    };
    let keyed = |id, key| {
        Event::Accepted(NewMessage {
            key: Some(key),
            ..NewMessage::new(MessageId(id), IDEMPOTENT, 7, 30 * SECOND)
        })
    };
    host.handle(vec![agreed(leased, 60 * SECOND, bounds(&[]))]);
    host.handle(vec![keyed(1, 5), keyed(2, 5), keyed(3, 6), keyed(4, 7)]);
    assert!(host.rejected(4), "three may be held");
    assert_eq!(
        [1, 2, 3].map(|id| host.sends_of(id).len()),
        [1, 0, 1],
        "the second waits for its turn"
    );
    // the first two are over, the third is called off: its key rests
    host.end(1, Outcome::Success, SECOND / 10);
    host.end(2, Outcome::Success, SECOND / 10);
    host.handle(vec![Event::MessageAbandoned(MessageId(3))]);
    host.end(3, Outcome::Cancelled, SECOND);
    host.handle(vec![keyed(5, 6)]);
    host.run(START + 19 * SECOND / 10);
    assert_eq!(
        host.sends_of(5).len(),
        0,
        "for two seconds, not for a tenth"
    );
    host.run(START + 21 * SECOND / 10);
    assert_eq!(host.sends_of(5).len(), 1);
    host.handle(vec![keyed(6, 8), keyed(7, 9)]);
    assert_eq!(
        [6, 7].map(|id| host.sends_of(id).len()),
        [1, 0],
        "two calls may be out"
    );
}

#[test]
fn a_lone_own_setting_that_is_stricter_stays() {
    let mut host = host();
    let loose = bounds(&[("unsafe", bound(Effect::Idempotent, 99))]);
    host.handle(vec![
        agreed(loose, 60 * SECOND, bounds(&[])),
        message(1, NON_IDEMPOTENT, 7),
    ]);
    host.end(1, Outcome::Error, SECOND);
    host.run(START + 3 * SECOND);
    assert_eq!(
        host.sends_of(1).len(),
        1,
        "what must not run twice does not"
    );
    assert!(host.failed(1));
}
