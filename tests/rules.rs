//! The six rules and the copy schedule, by scripted events.

mod common;
use common::*;
use message_sender::*;

fn pool(count: u32) -> Vec<EndpointEntry> {
    (1..=count).map(|endpoint| entry(endpoint, 7)).collect()
}

#[test]
fn hedges_start_at_doubling_intervals_and_first_success_cancels_the_rest() {
    let mut host = TestHost::new(settings(40), pool(5));
    host.handle(vec![message(1, IDEMPOTENT, 7)]);
    host.run(START + 4_500 * MILLISECOND);
    assert_eq!(host.sends_of(1), [0, SECOND, 2 * SECOND, 4 * SECOND]);
    let mut endpoints: Vec<u32> = host.sends.iter().map(|send| send.2).collect();
    endpoints.sort_unstable();
    endpoints.dedup();
    assert_eq!(endpoints.len(), 4, "each copy goes to an untried endpoint");
    let before = host.cancels(1);
    let (_, _, endpoint, attempt) = host.sends[1];
    host.handle(vec![ended(1, attempt, endpoint, Outcome::Success, SECOND)]);
    let cancelled_now = host.cancels(1) - before;
    assert!(
        cancelled_now >= 3,
        "the three others are called off, {cancelled_now} were"
    );
    host.run(START + 40 * SECOND);
    assert_eq!(host.sends_of(1).len(), 4, "nothing goes out after the end");
}

#[test]
fn hedge_delay_follows_observed_latency() {
    let mut host = TestHost::new(settings(40), pool(3));
    for id in 10..30 {
        host.handle(vec![message(id, IDEMPOTENT, 7)]);
        host.now += 200 * MILLISECOND;
        host.end(id, Outcome::Success, 200 * MILLISECOND);
    }
    let start = host.now - START;
    host.handle(vec![message(1, IDEMPOTENT, 7)]);
    host.run(host.now + 500 * MILLISECOND);
    assert_eq!(
        host.sends_of(1),
        [start, start + 200 * MILLISECOND, start + 400 * MILLISECOND]
    );
}

#[test]
fn hedge_needs_untried_endpoint_remaining_attempt_and_permission() {
    let mut host = TestHost::new(settings(40), pool(1));
    host.handle(vec![message(1, IDEMPOTENT, 7)]);
    host.run(START + 3 * SECOND);
    assert_eq!(host.sends_of(1).len(), 1);

    let mut few = settings(40);
    few.max_attempts = 2;
    let mut host = TestHost::new(few, pool(4));
    host.handle(vec![message(1, IDEMPOTENT, 7)]);
    host.run(START + 3 * SECOND);
    assert_eq!(host.sends_of(1).len(), 2);

    let mut none = settings(40);
    none.hedging_allowed = false;
    let mut host = TestHost::new(none, pool(4));
    host.handle(vec![message(1, IDEMPOTENT, 7)]);
    host.run(START + 3 * SECOND);
    assert_eq!(host.sends_of(1).len(), 1);

    let mut host = TestHost::new(settings(40), pool(4));
    let mut late = NewMessage::new(MessageId(1), IDEMPOTENT, 7, SECOND);
    late.resubmitted = true;
    host.handle(vec![Event::Accepted(late)]);
    host.run(START + 3 * SECOND);
    assert_eq!(host.sends_of(1).len(), 1, "no time was left for a copy");
}

#[test]
fn hedge_skipped_at_share_limit_keeps_its_interval() {
    // 12 slots: six copies at most. Four messages make four copies at 1 s and want four more at 2 s.
    let entries = (0..16).map(|n| entry(n, u64::from(n / 4))).collect();
    let mut host = TestHost::new(settings(12), entries);
    host.handle((0..4).map(|id| message(id, IDEMPOTENT, id)).collect());
    host.run(START + 2_500 * MILLISECOND);
    assert_eq!(host.sends.len(), 10, "4 first attempts and 6 copies");
    let waiting: Vec<u64> = (0..4).filter(|&id| host.sends_of(id).len() == 2).collect();
    assert_eq!(waiting.len(), 2);
    let done = (0..4)
        .find(|id| !waiting.contains(id))
        .expect("one has two copies");
    let calls: Vec<_> = host
        .sends
        .iter()
        .filter(|send| send.1 == done)
        .copied()
        .collect();
    let outcome = |n: usize| {
        if n == 0 {
            Outcome::Success
        } else {
            Outcome::Cancelled
        }
    };
    host.handle(
        calls
            .iter()
            .map(|call| ended(done, call.3, call.2, outcome(call.3), SECOND))
            .collect(),
    );
    for &id in &waiting {
        assert_eq!(
            host.sends_of(id),
            [0, SECOND, 2_500 * MILLISECOND],
            "at once when there is room"
        );
    }
}

#[test]
fn non_idempotent_message_that_may_have_run_fails() {
    for outcome in [
        Outcome::Error,
        Outcome::TimedOut,
        Outcome::Reset,
        Outcome::Cancelled,
    ] {
        let mut host = TestHost::new(settings(40), pool(3));
        host.handle(vec![message(1, NON_IDEMPOTENT, 7)]);
        host.run(START + 300 * MILLISECOND);
        host.end(1, outcome, 300 * MILLISECOND);
        host.run(START + 40 * SECOND);
        assert_eq!(host.sends_of(1).len(), 1, "{outcome:?}");
        assert!(host.failed(1) && !host.rejected(1), "{outcome:?}");
    }
}

#[test]
fn non_idempotent_message_that_never_ran_is_retried() {
    for outcome in [
        Outcome::Rejected { retry_after: None },
        Outcome::NoConnection,
        Outcome::NotSent { no_slot: true },
    ] {
        let mut host = TestHost::new(settings(40), pool(3));
        host.handle(vec![message(1, NON_IDEMPOTENT, 7)]);
        host.end(1, outcome, MILLISECOND);
        host.run(START + 3 * SECOND);
        assert_eq!(host.sends_of(1).len(), 2, "{outcome:?}");
    }
}

#[test]
fn idempotency_key_message_stays_in_zone_and_window() {
    let mut far = entry(2, 7);
    far.zone = 1;
    let mut host = TestHost::new(settings(40), vec![entry(1, 7), far]);
    host.handle(vec![message(1, WITH_IDEMPOTENCY_KEY, 7)]);
    host.run(START + 3 * SECOND);
    assert_eq!(
        host.sends_of(1).len(),
        1,
        "the only untried endpoint is in another zone"
    );
    host.end(1, Outcome::Error, SECOND);
    host.run(START + 30 * SECOND);
    assert!(
        host.sends
            .iter()
            .all(|send| send.2 == host.sends[0].2 && send.0 < START + 6 * SECOND)
    );
    assert!(
        !host.rejected(1),
        "it may have run and its group is one zone"
    );
}

#[test]
fn idempotency_key_window_end_stops_hedges_and_fails_message() {
    let mut short = settings(40);
    short.classes[WITH_IDEMPOTENCY_KEY].effect = Effect::IdempotencyKey {
        window: 1_500 * MILLISECOND,
        same_zone_only: true,
    };
    let mut host = TestHost::new(short, pool(4));
    host.handle(vec![message(1, WITH_IDEMPOTENCY_KEY, 7)]);
    host.run(START + 5 * SECOND);
    assert_eq!(
        host.sends_of(1),
        [0, SECOND],
        "the copy due at 2 s falls out of the window"
    );
    let calls: Vec<_> = host.sends.clone();
    host.handle(
        calls
            .iter()
            .map(|c| ended(1, c.3, c.2, Outcome::TimedOut, 5 * SECOND))
            .collect(),
    );
    assert!(host.failed(1));
}

#[test]
fn draining_or_removed_endpoint_gets_no_attempt() {
    let mut host = TestHost::new(settings(40), pool(2));
    host.handle(vec![message(1, IDEMPOTENT, 7)]);
    let (used, _) = host.last_send(1);
    let other = 3 - used;
    let mut drains = entry(other, 7);
    drains.status = EndpointStatus::Draining;
    host.handle(vec![Event::EndpointList {
        scope: ListScope::Changes,
        entries: vec![drains],
    }]);
    host.run(START + 3 * SECOND);
    assert_eq!(
        host.sends_of(1).len(),
        1,
        "no copy to the draining endpoint"
    );
    host.handle(vec![Event::EndpointList {
        scope: ListScope::Full,
        entries: Vec::new(),
    }]);
    host.end(1, Outcome::Error, SECOND);
    host.handle(vec![message(2, IDEMPOTENT, 7)]);
    host.run(START + 60 * SECOND);
    assert_eq!(host.sends.len(), 1, "an empty list leaves no endpoint");
    assert!(host.rejected(1) && host.rejected(2));
    let known = host.sends.len();
    host.handle(vec![
        Event::EndpointList {
            scope: ListScope::Full,
            entries: pool(2),
        },
        message(3, IDEMPOTENT, 7),
    ]);
    assert_eq!(
        host.sends.len(),
        known + 1,
        "a list that names it again counts"
    );
}

#[test]
fn disabled_endpoint_listed_again_stays_disabled_and_is_enabled_cold() {
    let mut host = TestHost::new(settings(40), pool(2));
    let out = EndpointId(1);
    host.handle(vec![Event::Disabled(out), Event::Disabled(out)]);
    // gone and back under the same id
    host.handle(vec![Event::EndpointList {
        scope: ListScope::Full,
        entries: vec![entry(2, 7)],
    }]);
    host.handle(vec![Event::EndpointList {
        scope: ListScope::Full,
        entries: pool(2),
    }]);
    for id in 0..20 {
        host.handle(vec![message(id, NON_IDEMPOTENT, 7)]);
        host.now += 200 * MILLISECOND;
        host.end(id, Outcome::Success, 100 * MILLISECOND);
    }
    assert!(
        host.sends.iter().all(|send| send.2 == 2),
        "{:?}",
        host.sends
    );
    // alone, so that all that goes is what it is given; one call back is enough
    host.handle(vec![Event::Disabled(EndpointId(2)), Event::Enabled(out)]);
    let sent_in = |host: &mut TestHost, from: u64| {
        let before = host.sends.len();
        for id in from..from + 40 {
            host.handle(vec![message(id, IDEMPOTENT, 7)]);
            host.now += 50 * MILLISECOND;
            let waiting: Vec<_> = host.sends[before..]
                .iter()
                .map(|send| (send.1, send.3))
                .collect();
            waiting.iter().for_each(|&(id, attempt)| {
                host.handle(vec![ended(
                    id,
                    attempt,
                    1,
                    Outcome::Success,
                    50 * MILLISECOND,
                )]);
            });
        }
        host.sends.len() - before
    };
    let cold = sent_in(&mut host, 100);
    host.run(host.now + 12 * SECOND);
    let warm = sent_in(&mut host, 200);
    assert!(
        (1..20).contains(&cold) && warm >= 40,
        "{cold} cold, {warm} warm"
    );
}

#[test]
fn retry_after_holds_destination_or_separate_route() {
    let wait = Outcome::Rejected {
        retry_after: Some(2 * SECOND),
    };
    let mut host = TestHost::new(settings(40), pool(3));
    host.handle(vec![
        message(1, IDEMPOTENT, 7),
        message(2, NON_IDEMPOTENT, 7),
    ]);
    host.now += 10 * MILLISECOND;
    let told = host.now;
    host.end(1, wait, 10 * MILLISECOND);
    host.end(2, Outcome::Rejected { retry_after: None }, 10 * MILLISECOND);
    host.handle(vec![message(3, IDEMPOTENT, 7)]);
    host.run(told + 10 * SECOND);
    let early: Vec<_> = host.sends[2..]
        .iter()
        .filter(|send| send.0 < told + 2 * SECOND)
        .collect();
    assert!(early.is_empty(), "{early:?}");
    assert!(host.sends.len() > 2, "they go when the wait is over");

    let routes = (1..=2)
        .map(|n| EndpointEntry {
            kind: 1,
            ..entry(n, 7)
        })
        .collect();
    let mut host = TestHost::new(settings(40), routes);
    host.handle(vec![message(1, IDEMPOTENT, 7)]);
    let (used, _) = host.last_send(1);
    host.end(1, wait, 10 * MILLISECOND);
    host.run(START + SECOND);
    assert_eq!(host.last_send(1).0, 3 - used, "the other route is free");
}

fn with_key(id: u64, key: u64) -> Event {
    let mut new = NewMessage::new(MessageId(id), ORDERED, 7, 30 * SECOND);
    new.key = Some(key);
    Event::Accepted(new)
}

#[test]
fn restart_backs_off_all_keys_and_nothing_else() {
    let mut host = TestHost::new(settings(8), vec![entry(1, 40)]);
    host.handle(vec![Event::Restarted]);
    let mut keyed = NewMessage::new(MessageId(1), ORDERED, 40, 30 * SECOND);
    keyed.key = Some(5);
    host.handle(vec![Event::Accepted(keyed), message(2, IDEMPOTENT, 40)]);
    assert_eq!((host.sends_of(1).len(), host.sends_of(2).len()), (0, 1));
    host.run(START + SECOND);
    let sent = host.sends_of(1)[0];
    assert!(
        (100 * MILLISECOND..110 * MILLISECOND).contains(&sent),
        "after {sent} us"
    );
}

#[test]
fn host_failure_suspends_sending_and_ejects_no_endpoint() {
    let mut host = TestHost::new(settings(8), vec![entry(1, 40)]);
    host.handle(vec![Event::HostFailing(true)]);
    host.handle(vec![
        message(1, IDEMPOTENT, 40),
        message(2, NON_IDEMPOTENT, 40),
    ]);
    host.run(START + 5 * SECOND);
    assert_eq!(host.sends.len(), 0);
    host.handle(vec![Event::HostFailing(false)]);
    host.run(START + 6 * SECOND);
    assert_eq!((host.sends_of(1).len(), host.sends_of(2).len()), (1, 1));
    assert!(
        !host
            .log
            .iter()
            .any(|(_, action)| matches!(action, Action::Log(RouteEvent::Ejected { .. })))
    );
}

#[test]
fn messages_of_key_go_in_order_and_uncertain_end_backs_key_off() {
    let mut host = TestHost::new(settings(40), pool(1));
    host.handle(vec![with_key(1, 5), with_key(2, 5), with_key(3, 6)]);
    assert_eq!(
        (
            host.sends_of(1).len(),
            host.sends_of(2).len(),
            host.sends_of(3).len()
        ),
        (1, 0, 1)
    );
    host.now += 50 * MILLISECOND;
    host.end(1, Outcome::Success, 50 * MILLISECOND);
    assert_eq!(
        host.sends_of(2).len(),
        1,
        "its turn comes at once after a sure end"
    );
    host.handle(vec![with_key(4, 5)]);
    host.now += 50 * MILLISECOND;
    host.handle(vec![Event::MessageAbandoned(MessageId(2))]);
    assert_eq!(
        host.sends_of(4).len(),
        0,
        "an attempt of the earlier one is still out"
    );
    let rests = host.now;
    host.end(2, Outcome::Cancelled, 50 * MILLISECOND);
    host.run(rests + SECOND);
    let sent = host.sends_of(4)[0] + START;
    assert!(sent >= rests + 100 * MILLISECOND && sent < rests + 200 * MILLISECOND);
}

#[test]
fn ended_message_holds_key_until_notification_is_delivered() {
    let mut settings = settings(40);
    settings.classes[ORDERED].effect = Effect::NonIdempotent;
    settings.completion_by_notification = true;
    let mut host = TestHost::new(settings, pool(1));
    host.handle(vec![with_key(1, 3), with_key(2, 3), with_key(3, 4)]);
    host.end(1, Outcome::Error, 20 * MILLISECOND);
    assert!(host.failed(1));
    host.run(host.now + SECOND);
    assert_eq!(
        host.sends_of(2).len(),
        0,
        "sent before the first one's notice arrived"
    );
    assert_eq!(host.sends_of(3).len(), 1, "another key waits for nothing");
    host.handle(vec![Event::NotificationDelivered(MessageId(1))]);
    assert_eq!(host.sends_of(2).len(), 1);
    // a notice that a life before still owes holds the key too
    let old = NewMessage {
        key: Some(5),
        ..NewMessage::new(MessageId(5), ORDERED, 7, SECOND)
    };
    host.handle(vec![Event::NotificationPending(old), with_key(6, 5)]);
    assert_eq!((host.sends_of(5).len(), host.sends_of(6).len()), (0, 0));
    host.handle(vec![Event::NotificationDelivered(MessageId(5))]);
    assert_eq!(host.sends_of(6).len(), 1);
}

#[test]
fn message_beyond_capacity_is_rejected_with_retry_after() {
    let mut settings = settings(10);
    (settings.max_pending, settings.max_retry_after) = (5, 3 * SECOND);
    let mut host = TestHost::new(settings, pool(1));
    let actions = host.handle((1..=6).map(|id| message(id, NON_IDEMPOTENT, 7)).collect());
    let refusals: Vec<&Action> = actions
        .iter()
        .filter(|a| matches!(a, Action::Reject { .. }))
        .collect();
    let retry_after = Some(3 * SECOND / 2);
    assert_eq!(
        refusals,
        [&Action::Reject {
            message: MessageId(6),
            retry_after
        }]
    );
    host.end(1, Outcome::Success, 100 * MILLISECOND);
    host.handle(vec![message(7, NON_IDEMPOTENT, 7)]);
    assert!(!host.rejected(7), "there is room again");
}

#[test]
fn every_message_ends_once_before_its_deadline() {
    let mut host = TestHost::new(settings(8), pool(2));
    let mut events: Vec<Event> = (0..30).map(|id| message(id, id as usize % 3, 7)).collect();
    events.push(message(100, IDEMPOTENT, 999));
    events.push(message(101, 57, 7));
    host.handle(events);
    host.run(START + 60 * SECOND);
    for id in (0..30).chain([100, 101]) {
        let ends: Vec<Micros> = host
            .log
            .iter()
            .filter(|(_, action)| match action {
                Action::Fail(m) | Action::Reject { message: m, .. } => m.0 == id,
                _ => false,
            })
            .map(|(at, _)| *at)
            .collect();
        assert_eq!(ends.len(), 1, "message {id}");
        assert!(ends[0] <= START + 30 * SECOND, "message {id}");
        assert!(
            host.sends_of(id).iter().all(|&at| at + START <= ends[0]),
            "message {id} sent after its end"
        );
    }
}

#[test]
fn late_and_unknown_events_are_ignored() {
    let mut host = TestHost::new(settings(8), pool(2));
    host.handle(vec![message(1, IDEMPOTENT, 7)]);
    host.run(START + 1_200 * MILLISECOND);
    let (endpoint, attempt) = host.last_send(1);
    assert_eq!(attempt, 1);
    host.handle(vec![ended(1, 0, 3 - endpoint, Outcome::Success, SECOND)]);
    let sends = host.sends.len();
    host.handle(vec![
        ended(1, 1, endpoint, Outcome::Success, SECOND), // a called-off copy that succeeds all the same
        ended(1, 1, endpoint, Outcome::TimedOut, SECOND),
        ended(77, 0, 99, Outcome::Success, SECOND),
        Event::MessageAbandoned(MessageId(1)),
        Event::MessageAbandoned(MessageId(78)),
        Event::ResponseStarted {
            message: MessageId(79),
            attempt: 4,
        },
        Event::HealthCheckEnded {
            endpoint: EndpointId(99),
            outcome: Outcome::TimedOut,
            report: vec![],
        },
        Event::PeerNote {
            from: 3,
            bytes: vec![1, 2, 3],
        },
        Event::EndpointListFailed,
        Event::EndpointList {
            scope: ListScope::Changes,
            entries: Vec::new(),
        },
        Event::TimerExpired,
    ]);
    host.run(START + 40 * SECOND);
    assert_eq!(host.sends.len(), sends);
    assert!(
        !host.failed(1) && !host.rejected(1),
        "a success needs no answer"
    );
}

#[test]
fn timeout_at_deadline_ends_message() {
    let mut host = TestHost::new(settings(8), pool(1));
    host.handle(vec![message(1, NON_IDEMPOTENT, 7)]);
    host.now = START + 30 * SECOND;
    let actions = host.end(1, Outcome::TimedOut, 30 * SECOND);
    assert!(actions.contains(&Action::Fail(MessageId(1))));
}

#[test]
fn failed_subscription_is_retried_with_growing_backoff() {
    let mut asks = settings(8);
    asks.list_by_subscription = true;
    let mut host = TestHost::new(asks, pool(1));
    let subscribed = |host: &TestHost| -> Vec<Micros> {
        host.log
            .iter()
            .filter(|(_, action)| *action == Action::Subscribe)
            .map(|(at, _)| at - START)
            .collect()
    };
    assert_eq!(subscribed(&host), [0]);
    for _ in 0..4 {
        host.handle(vec![Event::EndpointListFailed]);
        host.run(host.now + 8 * SECOND);
    }
    let times = subscribed(&host);
    assert_eq!(times.len(), 5);
    let rest = |n: usize| times[n] - (n as i64 - 1) * 8 * SECOND;
    assert!(rest(1) > 100 * MILLISECOND && rest(1) < SECOND, "{times:?}");
    assert!(rest(4) > SECOND && rest(4) < 6 * SECOND, "{times:?}");
}

#[test]
fn hedge_needs_time_for_usual_latency_before_deadline() {
    let mut host = TestHost::new(settings(40), pool(3));
    for id in 10..30 {
        host.handle(vec![message(id, IDEMPOTENT, 7)]);
        host.now += 400 * MILLISECOND;
        host.end(id, Outcome::Success, 400 * MILLISECOND);
    }
    for (id, left, copies) in [(1, 700, 1), (2, 900, 2)] {
        let new = NewMessage::new(MessageId(id), IDEMPOTENT, 7, left * MILLISECOND);
        host.handle(vec![Event::Accepted(new)]);
        host.run(host.now + 600 * MILLISECOND);
        assert_eq!(host.sends_of(id).len(), copies, "{left} ms left");
        host.end(id, Outcome::Success, 600 * MILLISECOND);
    }
}

#[test]
fn idempotency_window_counts_from_overlapped_first_attempt_that_never_ran() {
    // Found on a freshly drawn day: the first attempt found no connection after its copy had started.
    let mut host = TestHost::new(settings(40), pool(2));
    host.handle(vec![message(1, WITH_IDEMPOTENCY_KEY, 7)]);
    host.run(START + 1_100 * MILLISECOND);
    let calls = host.sends.clone();
    assert_eq!(calls.len(), 2);
    host.handle(vec![ended(
        1,
        0,
        calls[0].2,
        Outcome::NoConnection,
        1_100 * MILLISECOND,
    )]);
    host.run(START + 5_980 * MILLISECOND);
    host.handle(vec![ended(
        1,
        1,
        calls[1].2,
        Outcome::Cancelled,
        5 * SECOND,
    )]);
    host.run(START + 20 * SECOND);
    assert_eq!(
        host.sends_of(1).len(),
        2,
        "nothing goes after the first window"
    );
}

#[test]
fn quota_limits_each_call_and_allocation_ends_at_its_time() {
    let quotas = |amount, until| {
        let rate = Some(QuotaShare {
            fallback: 0,
            allocation: Some(QuotaAllocation { amount, until }),
        });
        let quota = Quota {
            rate,
            ..Quota::default()
        };
        Event::Quotas(Some(Box::new(Quotas {
            named: [(7, quota)].into(),
            ..Quotas::default()
        })))
    };
    let mut host = TestHost::new(settings(40), pool(5));
    let sent = |host: &mut TestHost| {
        // each call ends well at once
        for send in host.sends.clone() {
            host.handle(vec![ended(
                send.1,
                send.3,
                send.2,
                Outcome::Success,
                10 * MILLISECOND,
            )]);
        }
        host.sends.len()
    };
    host.handle(vec![quotas(Some(0), START + 10 * SECOND)]);
    host.handle((1..7).map(|id| message(id, NON_IDEMPOTENT, 7)).collect());
    assert_eq!(sent(&mut host), 1, "one that was never made is saved");
    host.run(START + 2 * SECOND);
    assert_eq!(sent(&mut host), 1, "the next one waits for a part");
    // two calls a second for a second bring one at once, since no more are saved, and another after half of it
    host.handle(vec![quotas(Some(2000), host.now + SECOND)]);
    assert_eq!(sent(&mut host), 2);
    host.run(START + 2600 * MILLISECOND);
    assert_eq!(sent(&mut host), 3);
    host.run(START + 10 * SECOND);
    assert_eq!(sent(&mut host), 3, "nothing once the part has ended");
    // the time without a part brought nothing, also where a small one comes then
    host.handle(vec![quotas(Some(1), host.now + SECOND)]);
    assert_eq!(sent(&mut host), 3);
    host.handle(vec![quotas(None, host.now + SECOND)]);
    assert_eq!(sent(&mut host), 6, "without a limit all go");
}

#[test]
fn fleet_health_ejects_route_only_without_own_successes() {
    let word = |unavailable| Event::FleetHealth {
        destination: 7,
        unavailable,
    };
    let mut host = TestHost::new(settings(40), pool(2));
    host.handle(vec![message(1, IDEMPOTENT, 7)]);
    host.end(1, Outcome::Success, 10 * MILLISECOND);
    let before = host.sender.demand()[&7];
    assert!(before.alive && !before.unhealthy);
    // it has just succeeded: a word changes nothing
    host.handle(vec![word(true)]);
    assert!(!host.sender.demand()[&7].unhealthy);
    host.run(START + 20 * SECOND);
    host.handle(vec![word(true)]);
    let told = host.sender.demand()[&7];
    assert!(
        told.unhealthy && !told.failing && !told.alive,
        "what others told is no word of its own: {told:?}"
    );
    // few are tried, until it is said to be back, and one success ends it
    host.handle((10..20).map(|id| message(id, IDEMPOTENT, 7)).collect());
    assert!(host.sends.len() <= 3, "{:?}", host.sends);
    host.handle(vec![word(false)]);
    let (_, id, ..) = *host.sends.last().expect("one is tried at once");
    host.end(id, Outcome::Success, 10 * MILLISECOND);
    assert!(!host.sender.demand()[&7].unhealthy);
    host.run(host.now + 2 * SECOND);
    assert!(host.sends.len() > 3, "{:?}", host.sends);
}
