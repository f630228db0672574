//! Tests of the rules for sending and of the schedule of hedges, with scripted events.

mod common;
use common::*;
use message_sender::*;

fn endpoint_entries(count: u32) -> Vec<EndpointEntry> {
    (1..=count).map(|endpoint| entry(endpoint, 7)).collect()
}

#[test]
fn hedges_start_at_doubling_intervals_and_first_success_cancels_other_attempts() {
    let mut host = TestHost::new(settings(40), endpoint_entries(5));
    host.handle(vec![message(1, IDEMPOTENT, 7)]);
    host.run(START + 4_500 * MILLISECOND);
    assert_eq!(host.sends_of(1), [0, SECOND, 2 * SECOND, 4 * SECOND]);
    let mut endpoints: Vec<u32> = host.sends.iter().map(|send| send.2).collect();
    endpoints.sort_unstable();
    endpoints.dedup();
    assert_eq!(endpoints.len(), 4, "each hedge goes to an untried endpoint");
    let before = host.cancels(1);
    let (_, _, endpoint, attempt) = host.sends[1];
    host.handle(vec![ended(1, attempt, endpoint, Outcome::Success, SECOND)]);
    let cancelled_now = host.cancels(1) - before;
    assert!(
        cancelled_now >= 3,
        "{cancelled_now} of the three other attempts were cancelled"
    );
    host.run(START + 40 * SECOND);
    assert_eq!(
        host.sends_of(1).len(),
        4,
        "nothing is sent after the message has ended"
    );
}

#[test]
fn hedge_delay_follows_observed_latency() {
    let mut host = TestHost::new(settings(40), endpoint_entries(3));
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
    let mut host = TestHost::new(settings(40), endpoint_entries(1));
    host.handle(vec![message(1, IDEMPOTENT, 7)]);
    host.run(START + 3 * SECOND);
    assert_eq!(host.sends_of(1).len(), 1);

    let mut two_attempts = settings(40);
    two_attempts.max_attempts = 2;
    let mut host = TestHost::new(two_attempts, endpoint_entries(4));
    host.handle(vec![message(1, IDEMPOTENT, 7)]);
    host.run(START + 3 * SECOND);
    assert_eq!(host.sends_of(1).len(), 2);

    let mut without_hedging = settings(40);
    without_hedging.hedging_allowed = false;
    let mut host = TestHost::new(without_hedging, endpoint_entries(4));
    host.handle(vec![message(1, IDEMPOTENT, 7)]);
    host.run(START + 3 * SECOND);
    assert_eq!(host.sends_of(1).len(), 1);

    let mut host = TestHost::new(settings(40), endpoint_entries(4));
    let mut expiring = NewMessage::new(MessageId(1), IDEMPOTENT, 7, SECOND);
    expiring.resubmitted = true;
    host.handle(vec![Event::Accepted(expiring)]);
    host.run(START + 3 * SECOND);
    assert_eq!(host.sends_of(1).len(), 1, "no time was left for a hedge");
}

#[test]
fn hedge_skipped_at_share_limit_keeps_its_interval() {
    // With 12 call slots, at most six may hold hedges. Four messages start four hedges at 1 s, and
    // four more are due at 2 s.
    let entries = (0..16).map(|n| entry(n, u64::from(n / 4))).collect();
    let mut host = TestHost::new(settings(12), entries);
    host.handle((0..4).map(|id| message(id, IDEMPOTENT, id)).collect());
    host.run(START + 2_500 * MILLISECOND);
    assert_eq!(host.sends.len(), 10, "4 first attempts and 6 hedges");
    let waiting: Vec<u64> = (0..4).filter(|&id| host.sends_of(id).len() == 2).collect();
    assert_eq!(waiting.len(), 2);
    let hedged_twice = (0..4)
        .find(|id| !waiting.contains(id))
        .expect("a message with two hedges");
    let calls: Vec<_> = host
        .sends
        .iter()
        .filter(|send| send.1 == hedged_twice)
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
            .map(|call| ended(hedged_twice, call.3, call.2, outcome(call.3), SECOND))
            .collect(),
    );
    for &id in &waiting {
        assert_eq!(
            host.sends_of(id),
            [0, SECOND, 2_500 * MILLISECOND],
            "the hedge is sent as soon as hedges may use a slot again"
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
        let mut host = TestHost::new(settings(40), endpoint_entries(3));
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
        let mut host = TestHost::new(settings(40), endpoint_entries(3));
        host.handle(vec![message(1, NON_IDEMPOTENT, 7)]);
        host.end(1, outcome, MILLISECOND);
        host.run(START + 3 * SECOND);
        assert_eq!(host.sends_of(1).len(), 2, "{outcome:?}");
    }
}

#[test]
fn idempotency_key_message_stays_in_zone_and_window() {
    let mut other_zone = entry(2, 7);
    other_zone.zone = 1;
    let mut host = TestHost::new(settings(40), vec![entry(1, 7), other_zone]);
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
        "it may have run, and its idempotency key holds in one zone only"
    );
}

#[test]
fn idempotency_key_window_end_stops_hedges_and_fails_message() {
    let mut short_window = settings(40);
    short_window.classes[WITH_IDEMPOTENCY_KEY].effect = Effect::IdempotencyKey {
        window: 1_500 * MILLISECOND,
        same_zone_only: true,
    };
    let mut host = TestHost::new(short_window, endpoint_entries(4));
    host.handle(vec![message(1, WITH_IDEMPOTENCY_KEY, 7)]);
    host.run(START + 5 * SECOND);
    assert_eq!(
        host.sends_of(1),
        [0, SECOND],
        "the hedge due at 2 s would start after the window"
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
    let mut host = TestHost::new(settings(40), endpoint_entries(2));
    host.handle(vec![message(1, IDEMPOTENT, 7)]);
    let (used, _) = host.last_send(1);
    let other = 3 - used;
    let mut draining_entry = entry(other, 7);
    draining_entry.status = EndpointStatus::Draining;
    host.handle(vec![Event::EndpointList {
        scope: ListScope::Changes,
        entries: vec![draining_entry],
    }]);
    host.run(START + 3 * SECOND);
    assert_eq!(
        host.sends_of(1).len(),
        1,
        "no hedge to the draining endpoint"
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
    let sends_before = host.sends.len();
    host.handle(vec![
        Event::EndpointList {
            scope: ListScope::Full,
            entries: endpoint_entries(2),
        },
        message(3, IDEMPOTENT, 7),
    ]);
    assert_eq!(
        host.sends.len(),
        sends_before + 1,
        "endpoints that are listed again receive messages"
    );
}

#[test]
fn disabled_endpoint_listed_again_stays_disabled_and_is_enabled_cold() {
    let mut host = TestHost::new(settings(40), endpoint_entries(2));
    let disabled = EndpointId(1);
    host.handle(vec![Event::Disabled(disabled), Event::Disabled(disabled)]);
    // the endpoint leaves the list and is listed again under the same id
    host.handle(vec![Event::EndpointList {
        scope: ListScope::Full,
        entries: vec![entry(2, 7)],
    }]);
    host.handle(vec![Event::EndpointList {
        scope: ListScope::Full,
        entries: endpoint_entries(2),
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
    // the enabled endpoint is the only one, so that all messages have to go to it
    host.handle(vec![
        Event::Disabled(EndpointId(2)),
        Event::Enabled(disabled),
    ]);
    let sends_of_40_messages = |host: &mut TestHost, from: u64| {
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
    let cold = sends_of_40_messages(&mut host, 100);
    host.run(host.now + 12 * SECOND);
    let warm = sends_of_40_messages(&mut host, 200);
    assert!(
        (1..20).contains(&cold) && warm >= 40,
        "{cold} cold, {warm} warm"
    );
}

#[test]
fn retry_after_suspends_destination_or_separate_route() {
    let rejection = Outcome::Rejected {
        retry_after: Some(2 * SECOND),
    };
    let mut host = TestHost::new(settings(40), endpoint_entries(3));
    host.handle(vec![
        message(1, IDEMPOTENT, 7),
        message(2, NON_IDEMPOTENT, 7),
    ]);
    host.now += 10 * MILLISECOND;
    let rejected_at = host.now;
    host.end(1, rejection, 10 * MILLISECOND);
    host.end(2, Outcome::Rejected { retry_after: None }, 10 * MILLISECOND);
    host.handle(vec![message(3, IDEMPOTENT, 7)]);
    host.run(rejected_at + 10 * SECOND);
    let early: Vec<_> = host.sends[2..]
        .iter()
        .filter(|send| send.0 < rejected_at + 2 * SECOND)
        .collect();
    assert!(early.is_empty(), "{early:?}");
    assert!(
        host.sends.len() > 2,
        "messages are sent after the Retry-After delay"
    );

    let routes = (1..=2)
        .map(|n| EndpointEntry {
            kind: 1,
            ..entry(n, 7)
        })
        .collect();
    let mut host = TestHost::new(settings(40), routes);
    host.handle(vec![message(1, IDEMPOTENT, 7)]);
    let (used, _) = host.last_send(1);
    host.end(1, rejection, 10 * MILLISECOND);
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
fn messages_of_key_are_sent_in_order_and_uncertain_end_backs_key_off() {
    let mut host = TestHost::new(settings(40), endpoint_entries(1));
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
        "the next message is sent at once after a certain end"
    );
    host.handle(vec![with_key(4, 5)]);
    host.now += 50 * MILLISECOND;
    host.handle(vec![Event::MessageAbandoned(MessageId(2))]);
    assert_eq!(
        host.sends_of(4).len(),
        0,
        "an attempt of the earlier message is still in flight"
    );
    let cancelled_at = host.now;
    host.end(2, Outcome::Cancelled, 50 * MILLISECOND);
    host.run(cancelled_at + SECOND);
    let sent = host.sends_of(4)[0] + START;
    assert!(sent >= cancelled_at + 100 * MILLISECOND && sent < cancelled_at + 200 * MILLISECOND);
}

#[test]
fn ended_message_holds_key_until_notification_is_delivered() {
    let mut settings = settings(40);
    settings.classes[ORDERED].effect = Effect::NonIdempotent;
    settings.completion_by_notification = true;
    let mut host = TestHost::new(settings, endpoint_entries(1));
    host.handle(vec![with_key(1, 3), with_key(2, 3), with_key(3, 4)]);
    host.end(1, Outcome::Error, 20 * MILLISECOND);
    assert!(host.failed(1));
    host.run(host.now + SECOND);
    assert_eq!(
        host.sends_of(2).len(),
        0,
        "sent before the notification of the first message was delivered"
    );
    assert_eq!(
        host.sends_of(3).len(),
        1,
        "a message of another key is not held back"
    );
    host.handle(vec![Event::NotificationDelivered(MessageId(1))]);
    assert_eq!(host.sends_of(2).len(), 1);
    // a notification that is pending since before a restart also holds back its key
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
    let mut host = TestHost::new(settings, endpoint_entries(1));
    let actions = host.handle((1..=6).map(|id| message(id, NON_IDEMPOTENT, 7)).collect());
    let rejections: Vec<&Action> = actions
        .iter()
        .filter(|a| matches!(a, Action::Reject { .. }))
        .collect();
    let retry_after = Some(3 * SECOND / 2);
    assert_eq!(
        rejections,
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
    let mut host = TestHost::new(settings(8), endpoint_entries(2));
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
    let mut host = TestHost::new(settings(8), endpoint_entries(2));
    host.handle(vec![message(1, IDEMPOTENT, 7)]);
    host.run(START + 1_200 * MILLISECOND);
    let (endpoint, attempt) = host.last_send(1);
    assert_eq!(attempt, 1);
    host.handle(vec![ended(1, 0, 3 - endpoint, Outcome::Success, SECOND)]);
    let sends = host.sends.len();
    host.handle(vec![
        ended(1, 1, endpoint, Outcome::Success, SECOND), // a cancelled hedge that succeeds nevertheless
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
        "a message that succeeded is neither failed nor rejected"
    );
}

#[test]
fn timeout_at_deadline_ends_message() {
    let mut host = TestHost::new(settings(8), endpoint_entries(1));
    host.handle(vec![message(1, NON_IDEMPOTENT, 7)]);
    host.now = START + 30 * SECOND;
    let actions = host.end(1, Outcome::TimedOut, 30 * SECOND);
    assert!(actions.contains(&Action::Fail(MessageId(1))));
}

#[test]
fn failed_subscription_is_retried_with_growing_backoff() {
    let mut subscribing = settings(8);
    subscribing.list_by_subscription = true;
    let mut host = TestHost::new(subscribing, endpoint_entries(1));
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
    let backoff_after_failure = |n: usize| times[n] - (n as i64 - 1) * 8 * SECOND;
    assert!(
        backoff_after_failure(1) > 100 * MILLISECOND && backoff_after_failure(1) < SECOND,
        "{times:?}"
    );
    assert!(
        backoff_after_failure(4) > SECOND && backoff_after_failure(4) < 6 * SECOND,
        "{times:?}"
    );
}

#[test]
fn hedge_needs_time_for_usual_latency_before_deadline() {
    let mut host = TestHost::new(settings(40), endpoint_entries(3));
    for id in 10..30 {
        host.handle(vec![message(id, IDEMPOTENT, 7)]);
        host.now += 400 * MILLISECOND;
        host.end(id, Outcome::Success, 400 * MILLISECOND);
    }
    for (id, time_left_ms, attempts) in [(1, 700, 1), (2, 900, 2)] {
        let new = NewMessage::new(MessageId(id), IDEMPOTENT, 7, time_left_ms * MILLISECOND);
        host.handle(vec![Event::Accepted(new)]);
        host.run(host.now + 600 * MILLISECOND);
        assert_eq!(host.sends_of(id).len(), attempts, "{time_left_ms} ms left");
        host.end(id, Outcome::Success, 600 * MILLISECOND);
    }
}

#[test]
fn idempotency_window_counts_from_overlapped_first_attempt_that_never_ran() {
    // The first attempt finds no connection only after its hedge has started. The window must still
    // count from that first attempt.
    let mut host = TestHost::new(settings(40), endpoint_entries(2));
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
        "nothing is sent after the window of the first attempt"
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
    let mut host = TestHost::new(settings(40), endpoint_entries(5));
    let sends_so_far = |host: &mut TestHost| {
        // each call succeeds at once
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
    assert_eq!(sends_so_far(&mut host), 1, "one unused call is saved up");
    host.run(START + 2 * SECOND);
    assert_eq!(
        sends_so_far(&mut host),
        1,
        "the next call needs an allocation"
    );
    // an allocation of two calls per second for one second allows one call at once, since no more
    // are saved up, and another after half a second
    host.handle(vec![quotas(Some(2000), host.now + SECOND)]);
    assert_eq!(sends_so_far(&mut host), 2);
    host.run(START + 2600 * MILLISECOND);
    assert_eq!(sends_so_far(&mut host), 3);
    host.run(START + 10 * SECOND);
    assert_eq!(
        sends_so_far(&mut host),
        3,
        "no call once the allocation has ended"
    );
    // the time without an allocation adds no tokens, even if a small allocation follows
    host.handle(vec![quotas(Some(1), host.now + SECOND)]);
    assert_eq!(sends_so_far(&mut host), 3);
    host.handle(vec![quotas(None, host.now + SECOND)]);
    assert_eq!(
        sends_so_far(&mut host),
        6,
        "without a limit all messages are sent"
    );
}

#[test]
fn fleet_health_ejects_route_only_without_own_successes() {
    let verdict = |unavailable| Event::FleetHealth {
        destination: 7,
        unavailable,
    };
    let mut host = TestHost::new(settings(40), endpoint_entries(2));
    host.handle(vec![message(1, IDEMPOTENT, 7)]);
    host.end(1, Outcome::Success, 10 * MILLISECOND);
    let before = host.sender.demand()[&7];
    assert!(before.alive && !before.unhealthy);
    // the route has just succeeded, so the verdict of the fleet changes nothing
    host.handle(vec![verdict(true)]);
    assert!(!host.sender.demand()[&7].unhealthy);
    host.run(START + 20 * SECOND);
    host.handle(vec![verdict(true)]);
    let after_verdict = host.sender.demand()[&7];
    assert!(
        after_verdict.unhealthy && !after_verdict.failing && !after_verdict.alive,
        "the verdict of other senders is not reported as an observation of its own: {after_verdict:?}"
    );
    // few messages are tried until the fleet reports the destination available again; then one
    // success makes the route healthy
    host.handle((10..20).map(|id| message(id, IDEMPOTENT, 7)).collect());
    assert!(host.sends.len() <= 3, "{:?}", host.sends);
    host.handle(vec![verdict(false)]);
    let (_, id, ..) = *host.sends.last().expect("a message is tried at once");
    host.end(id, Outcome::Success, 10 * MILLISECOND);
    assert!(!host.sender.demand()[&7].unhealthy);
    host.run(host.now + 2 * SECOND);
    assert!(host.sends.len() > 3, "{:?}", host.sends);
}
