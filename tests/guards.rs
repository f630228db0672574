//! Regression tests of the decision module, one for each failure that load tests of the whole sender have shown. They
//! run the module alone, on simulated time.

mod common;
use common::*;
use message_sender::*;

fn two_destinations() -> Vec<EndpointEntry> {
    vec![entry(1, 7), entry(2, 8)]
}

/// Makes ten calls to each of both destinations that are answered after 100 ms, from which the sender learns that
/// latency.
fn warm(host: &mut TestHost) {
    for id in 1000..1020 {
        host.handle(vec![message(id, IDEMPOTENT, 7 + id % 2)]);
        host.now += 100 * MILLISECOND;
        host.end(id, Outcome::Success, 100 * MILLISECOND);
    }
}

#[test]
fn unresponsive_destination_calls_are_cancelled() {
    // guards against hung calls that stay in flight until their deadline and fill all call slots
    let mut host = TestHost::new(settings(8), two_destinations());
    warm(&mut host);
    host.handle((0..8).map(|id| message(id, IDEMPOTENT, 7)).collect());
    let sent: Vec<u64> = host
        .sends
        .iter()
        .filter(|send| send.1 < 8)
        .map(|send| send.1)
        .collect();
    assert!(sent.len() >= 2);
    host.run(host.now + 4 * SECOND);
    assert!(
        sent.iter().all(|&id| host.cancels(id) == 1),
        "all calls to the unresponsive destination are cancelled"
    );
}

#[test]
fn lost_call_is_cancelled_although_others_are_answered() {
    let mut settings = settings(40);
    settings.classes[WITH_IDEMPOTENCY_KEY].effect = Effect::IdempotencyKey {
        window: 20 * SECOND,
        same_zone_only: false,
    };
    let mut host = TestHost::new(settings, vec![entry(1, 7)]);
    host.handle(vec![
        message(1, WITH_IDEMPOTENCY_KEY, 7),
        message(2, NON_IDEMPOTENT, 7),
    ]);
    for id in 10..28 {
        host.handle(vec![message(id, WITH_IDEMPOTENCY_KEY, 7)]);
        host.run(host.now + 200 * MILLISECOND);
        host.end(id, Outcome::Success, 200 * MILLISECOND);
        if host.now < START + 2 * SECOND {
            assert_eq!(host.cancels(1), 0, "a slow call is not cancelled early");
        }
    }
    assert_eq!(
        (host.cancels(1), host.cancels(2)),
        (1, 0),
        "a non-idempotent call is cancelled only when call slots are scarce"
    );
    host.end(1, Outcome::Cancelled, 3 * SECOND);
    host.run(host.now + SECOND);
    assert_eq!(host.sends_of(1).len(), 2, "the message is retried");
}

#[test]
fn overtaken_idempotent_call_is_cancelled_early_when_slots_are_full() {
    // guards against single unanswered calls that occupy most of the call slots: once they held most of ten slots for
    // three seconds each
    for (slots, is_scarce) in [(4, true), (40, false)] {
        let mut host = TestHost::new(settings(slots), vec![entry(1, 7), entry(2, 8), entry(3, 9)]);
        warm(&mut host);
        host.handle(vec![
            message(1, IDEMPOTENT, 7),
            message(2, NON_IDEMPOTENT, 8),
            message(3, IDEMPOTENT, 9),
        ]);
        assert_eq!(host.sends.iter().filter(|send| send.1 <= 3).count(), 3);
        let sent = host.now;
        for id in 10..16 {
            host.handle(vec![message(id, IDEMPOTENT, 7 + id % 2)]);
            host.run(host.now + 100 * MILLISECOND);
            host.end(id, Outcome::Success, 100 * MILLISECOND);
            if host.now <= sent + 400 * MILLISECOND {
                assert_eq!(host.cancels(1), 0, "a slow call is not cancelled early");
            }
        }
        assert_eq!(
            host.cancels(1) == 1,
            is_scarce,
            "{slots} slots, five times the usual latency"
        );
        assert_eq!(
            (host.cancels(2), host.cancels(3)),
            (0, 0),
            "neither the non-idempotent call nor the one that no later call overtook is cancelled"
        );
    }
}

#[test]
fn non_idempotent_calls_are_cancelled_only_when_slots_are_scarce() {
    // guards against non-idempotent calls to a silent destination that occupy call slots until their long deadlines
    for (slots, is_scarce) in [(4, true), (40, false)] {
        let mut host = TestHost::new(
            settings(slots),
            (1..=3).map(|n| entry(n, u64::from(n))).collect(),
        );
        host.handle((1..=3).map(|n| message(n, NON_IDEMPOTENT, n)).collect());
        assert_eq!(host.sends.len(), 3);
        host.run(START + 10 * SECOND);
        let cancelled: usize = (1..=3).map(|id| host.cancels(id)).sum();
        assert_eq!(cancelled > 0, is_scarce, "{slots} slots");
    }
}

#[test]
fn non_idempotent_messages_wait_while_route_is_unanswered() {
    // guards against losing the messages that are sent in the first second after a destination stops answering
    let mut host = TestHost::new(settings(40), two_destinations());
    warm(&mut host);
    host.handle(vec![message(1, IDEMPOTENT, 7)]);
    host.run(host.now + 500 * MILLISECOND);
    host.handle(vec![
        message(2, NON_IDEMPOTENT, 7),
        message(3, NON_IDEMPOTENT, 8),
    ]);
    assert_eq!(
        host.sends_of(2).len(),
        0,
        "destination 7 has not answered for 500 ms"
    );
    assert_eq!(host.sends_of(3).len(), 1);
    host.end(1, Outcome::Success, 500 * MILLISECOND);
    assert_eq!(host.sends_of(2).len(), 1);
}

#[test]
fn lagging_destination_leaves_half_of_the_slots() {
    // guards against a destination that answers only a few of its calls and so occupies more and more call slots
    let mut host = TestHost::new(settings(8), vec![entry(1, 7), entry(2, 8), entry(3, 9)]);
    warm(&mut host);
    host.handle(
        (0..30)
            .map(|id| message(id, NON_IDEMPOTENT, 7 + id % 2))
            .collect(),
    );
    for step in 0..40 {
        host.run(host.now + 300 * MILLISECOND);
        // every fifth step answers one call of each destination, so that both are slow but never silent
        if step % 5 == 4 {
            for endpoint in [1, 2] {
                let in_flight = host
                    .sends
                    .iter()
                    .filter(|s| s.1 < 30 && s.2 == endpoint)
                    .map(|s| s.1)
                    .next_back();
                if let Some(id) = in_flight {
                    host.end(id, Outcome::Success, 1_500 * MILLISECOND);
                }
            }
        }
    }
    host.handle(vec![message(90, IDEMPOTENT, 9)]);
    assert_eq!(
        host.sends_of(90).len(),
        1,
        "a call slot is left for the healthy destination"
    );
}

#[test]
fn hedges_of_one_message_do_not_make_route_unresponsive() {
    let mut host = TestHost::new(settings(40), (1..=5).map(|n| entry(n, 7)).collect());
    host.handle(vec![message(1, IDEMPOTENT, 7)]);
    host.run(START + 3_900 * MILLISECOND);
    assert!(
        host.count(|action| matches!(
            action,
            Action::Log(RouteEvent::Ejected {
                reason: EjectionReason::Unresponsive,
                ..
            })
        )) == 0
    );
}

#[test]
fn one_rejected_burst_does_not_keep_rate_low() {
    // guards against a rejection that cuts the rate limit to the demand at that time, from which it did not recover
    let mut host = TestHost::new(settings(40), two_destinations());
    for id in 1000..1040 {
        host.handle(vec![message(id, IDEMPOTENT, 7)]);
        host.now += 100 * MILLISECOND;
        host.end(id, Outcome::Success, 100 * MILLISECOND);
    }
    host.run(host.now + 5 * SECOND); // idle time, after which no recent call counts as served
    host.handle(vec![message(1, IDEMPOTENT, 7)]);
    host.end(1, Outcome::Rejected { retry_after: None }, MILLISECOND);
    let start = host.now;
    host.handle((100..140).map(|id| message(id, IDEMPOTENT, 7)).collect());
    while host.now < start + 3 * SECOND {
        let calls: Vec<_> = host
            .sends
            .iter()
            .filter(|s| s.0 == host.now && s.1 < 1000)
            .copied()
            .collect();
        host.now += 20 * MILLISECOND;
        let ends = calls
            .iter()
            .map(|s| ended(s.1, s.3, s.2, Outcome::Success, 20 * MILLISECOND))
            .collect();
        host.handle(ends);
    }
    let sent = host
        .sends
        .iter()
        .filter(|s| s.1 >= 100 && s.1 < 200)
        .count();
    assert!(
        sent >= 12,
        "{sent} in 3 s at a destination that served 10 a second"
    );
}

#[test]
fn sender_short_of_reported_limit_grows_beyond_fair_share() {
    // guards against a sender that has most of the fleet's traffic but never sends more than its fair share of the
    // limit
    let mut settings = settings(40);
    settings.senders = 8;
    settings.report_limit = Some(0);
    let mut host = TestHost::new(settings, two_destinations());
    host.handle((0..400).map(|id| message(id, IDEMPOTENT, 7)).collect());
    let mut counts = [0usize; 2];
    for step in 0..500 {
        let calls: Vec<_> = host
            .sends
            .iter()
            .filter(|s| s.0 == host.now)
            .copied()
            .collect();
        counts[usize::from(step >= 50)] +=
            usize::from((25..50).contains(&step) || step >= 475) * calls.len();
        host.now += 40 * MILLISECOND;
        let ends = calls.iter().map(|s| {
            let mut end = ended(s.1, s.3, s.2, Outcome::Success, 40 * MILLISECOND);
            if let Event::AttemptEnded { report, .. } = &mut end {
                report.push(16.0);
            }
            end
        });
        let ends = ends.collect();
        host.handle(ends);
    }
    // counts[0] is the number of calls in the second second, whose rate is still near the fair share of 2 calls per
    // second; counts[1] is that of the last second, whose rate is near the whole limit of 16
    assert!(counts[0] <= 8, "starts near the fair share: {counts:?}");
    assert!(
        counts[1] >= 10 && counts[1] <= 17,
        "grows towards the limit, but not beyond it: {counts:?}"
    );
}

#[test]
fn failing_destination_gets_trickle_and_recovers_by_slow_start() {
    let mut host = TestHost::new(settings(40), two_destinations());
    warm(&mut host);
    host.handle((0..200).map(|id| message(id, IDEMPOTENT, 7)).collect());
    let fail_until = host.now + 10 * SECOND;
    let end = fail_until + 20 * SECOND;
    while host.now < end {
        let calls: Vec<_> = host
            .sends
            .iter()
            .filter(|s| s.0 == host.now && s.1 < 200)
            .copied()
            .collect();
        host.now += 20 * MILLISECOND;
        let result = if host.now < fail_until {
            Outcome::Error
        } else {
            Outcome::Success
        };
        let ends = calls
            .iter()
            .map(|s| ended(s.1, s.3, s.2, result, 20 * MILLISECOND))
            .collect();
        host.handle(ends);
    }
    let within = |from: Micros, to: Micros| {
        host.sends
            .iter()
            .filter(|s| s.1 < 200 && s.0 >= from && s.0 < to)
            .count()
    };
    let while_failing = within(fail_until - 6 * SECOND, fail_until);
    assert!(
        (2..=4).contains(&while_failing),
        "one call per overload span while failing: {while_failing}"
    );
    let during_slow_start = within(fail_until, fail_until + 4 * SECOND);
    let after_slow_start = within(fail_until + 10 * SECOND, fail_until + 14 * SECOND);
    assert!(
        during_slow_start <= 16 && after_slow_start > 2 * during_slow_start,
        "during slow start {during_slow_start}, after it {after_slow_start}"
    );
}

#[test]
fn messages_of_ejected_destination_are_rejected_when_too_many_are_pending() {
    let mut small = settings(8);
    small.max_pending = 20;
    let mut host = TestHost::new(small, two_destinations());
    host.handle((0..8).map(|id| message(id, IDEMPOTENT, 7)).collect());
    host.run(START + 6 * SECOND);
    host.handle((20..34).map(|id| message(id, IDEMPOTENT, 7)).collect());
    host.run(host.now + SECOND);
    let rejected = (0..40).filter(|&id| host.rejected(id)).count();
    assert!(rejected >= 4, "{rejected}");
}

#[test]
fn bundle_fills_one_call() {
    let mut host = TestHost::new(
        settings(4),
        vec![EndpointEntry {
            kind: 2,
            ..entry(1, 7)
        }],
    );
    host.handle((0..5).map(|id| message(id, IDEMPOTENT, 7)).collect());
    assert_eq!(
        host.sends.len(),
        5,
        "a concurrency limit of 1 allows one call, which bundles five messages"
    );
    host.handle((5..8).map(|id| message(id, IDEMPOTENT, 7)).collect());
    assert_eq!(host.sends.len(), 5);
}

#[test]
fn throttled_destination_recovers_without_slow_start() {
    // guards against holding a throttled destination, which has only rejected a series of calls, to the slow start of a
    // destination that was closed
    let mut host = TestHost::new(settings(40), two_destinations());
    for id in 1000..1080 {
        host.handle(vec![message(id, IDEMPOTENT, 7)]);
        host.now += 50 * MILLISECOND;
        host.end(id, Outcome::Success, 50 * MILLISECOND);
    }
    host.handle((0..300).map(|id| message(id, IDEMPOTENT, 7)).collect());
    let rejects_until = host.now + 2 * SECOND;
    let mut sent = 0;
    while host.now < rejects_until + 6 * SECOND {
        let calls: Vec<_> = host
            .sends
            .iter()
            .filter(|s| s.0 == host.now && s.1 < 300)
            .copied()
            .collect();
        host.now += 20 * MILLISECOND;
        let result = if host.now < rejects_until {
            Outcome::Rejected { retry_after: None }
        } else {
            Outcome::Success
        };
        sent += if host.now > rejects_until + 2 * SECOND {
            calls.len()
        } else {
            0
        };
        let ends = calls
            .iter()
            .map(|s| ended(s.1, s.3, s.2, result, 20 * MILLISECOND))
            .collect();
        host.handle(ends);
    }
    assert_eq!(
        host.count(|a| matches!(
            a,
            Action::Log(RouteEvent::Ejected {
                reason: EjectionReason::Closed,
                ..
            })
        )),
        1
    );
    assert!(
        sent >= 30,
        "{sent} in 4 s at a destination that served up to 20 a second"
    );
}

#[test]
fn bundle_is_filled_before_another_endpoint_gets_a_call() {
    // guards against opening a second call at another endpoint while the bundle of the first call has room
    let entries = (1..=3)
        .map(|n| EndpointEntry {
            kind: 2,
            ..entry(n, 7)
        })
        .collect();
    let mut host = TestHost::new(settings(40), entries);
    host.handle((0..5).map(|id| message(id, IDEMPOTENT, 7)).collect());
    assert!(host.sends.len() == 5 && host.sends.iter().all(|send| send.2 == host.sends[0].2));
}

#[test]
fn class_unanswered_at_one_endpoint_goes_to_the_other() {
    // guards against a class that fails at one endpoint and goes unnoticed, because the answers to the other class make
    // endpoint and destination look healthy
    let mut host = TestHost::new(settings(8), vec![entry(1, 7), entry(2, 7)]);
    for id in 1000..1012 {
        host.handle(vec![message(id, IDEMPOTENT, 7)]);
        host.now += 100 * MILLISECOND;
        host.end(id, Outcome::Success, 100 * MILLISECOND);
    }
    let (failing_endpoint, mut answered) = (host.sends[0].2, host.sends.len());
    let mut lost = [0, 0];
    for step in 0..80u64 {
        // the failing endpoint fails each non-idempotent message and accepts the others
        host.handle(vec![
            message(step, NON_IDEMPOTENT, 7),
            message(500 + step, IDEMPOTENT, 7),
        ]);
        let calls = host.sends[answered..].to_vec();
        answered = host.sends.len();
        host.run(host.now + 100 * MILLISECOND);
        let fails = |call: &(Micros, u64, u32, usize)| call.1 < 500 && call.2 == failing_endpoint;
        lost[usize::from(step >= 40)] += calls.iter().filter(|call| fails(call)).count();
        let outcome = |call| {
            if fails(call) {
                Outcome::Error
            } else {
                Outcome::Success
            }
        };
        host.handle(
            calls
                .iter()
                .map(|c| ended(c.1, c.3, c.2, outcome(c), 100 * MILLISECOND))
                .collect(),
        );
    }
    let non_idempotent_sends = host.sends.iter().filter(|send| send.1 < 500).count();
    assert!(
        non_idempotent_sends >= 60,
        "{non_idempotent_sends} non-idempotent messages sent"
    );
    assert!(
        lost[0] >= 1 && lost[1] <= 8,
        "lost to the failing endpoint: {lost:?}"
    );
}

#[test]
fn turn_examines_only_messages_that_may_be_sent() {
    // guards against turns that examine every pending message: with hundreds of messages pending for disabled
    // endpoints, the turns took all of the CPU time
    let mut host = TestHost::new(settings(4), two_destinations());
    host.sender = {
        let mut settings = settings(4);
        settings.kinds.retain(|kind| kind.bundle_max == 1);
        Sender::new(settings, 11).expect("settings make sense")
    };
    host.handle(vec![Event::EndpointList {
        scope: ListScope::Full,
        entries: two_destinations(),
    }]);
    host.handle(vec![Event::Disabled(EndpointId(1))]);
    host.handle((0..300).map(|id| message(id, IDEMPOTENT, 7)).collect());
    assert_eq!(
        (host.sender.candidates_examined(), host.sends.len()),
        (0, 0)
    );
    host.handle((300..303).map(|id| message(id, IDEMPOTENT, 8)).collect());
    // the first message is sent; the second is blocked by the limit, which also blocks the third without examining it
    assert_eq!(host.sender.candidates_examined(), 2);
    assert!(!host.sends.is_empty());
    // once the endpoint is enabled, its pending messages are examined again
    host.handle(vec![Event::Enabled(EndpointId(1))]);
    assert!(host.sends.iter().any(|send| send.2 == 1));
}
