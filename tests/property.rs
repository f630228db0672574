//! Sends random valid events with a fixed seed to a sender, and checks its actions against the
//! rules. No server is simulated.

mod common;
use common::*;
use message_sender::*;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

struct CallInFlight {
    message: u64,
    attempt: usize,
    endpoint: u32,
    sent: Micros,
    expires: Micros,
}

#[derive(Default)]
struct MessageRecord {
    class: usize,
    destination: u64,
    key: Option<u64>,
    deadline: Micros,
    ended: bool,
    in_flight: usize,
    attempts: usize,
    /// Endpoint and send time of each attempt that the destination may have processed, by the
    /// position of the attempt.
    attempts_at_risk: BTreeMap<usize, (u32, Micros)>,
}

fn destination(endpoint: u32) -> u64 {
    u64::from(endpoint / 3)
}

fn listed_entry(endpoint: u32) -> EndpointEntry {
    let kind = (endpoint / 3 % 3) as usize;
    EndpointEntry {
        zone: (endpoint % 2) as u16,
        kind,
        ..entry(endpoint, destination(endpoint))
    }
}

fn route_key(endpoint: u32) -> (u64, Option<u32>) {
    let has_separate_routes = listed_entry(endpoint).kind == 1;
    (
        destination(endpoint),
        has_separate_routes.then_some(endpoint),
    )
}

fn run_random_events(seed: u64) -> (Vec<Action>, usize) {
    let mut random = Pcg32::seed_from_u64(seed);
    let mut below = |limit: u32| random.next_u32() % limit;
    let mut settings = settings([10, 3, 2][seed as usize % 3]);
    settings.max_attempts = 5;
    settings.senders = [1, 3, 300][seed as usize % 3];
    (settings.notes_allowed, settings.list_by_subscription) = (true, seed.is_multiple_of(2));
    (settings.report_remaining, settings.report_limit) = (Some(0), Some(1));
    settings.tenants = vec![Tenant {
        name: "first".into(),
        allowance: 5.0,
    }];
    settings.connection_idle_timeout = 5 * SECOND;
    let mut sender = Sender::new(settings.clone(), seed).expect("settings");
    let (mut now, mut next_id) = (START, 0u64);
    let mut records: BTreeMap<u64, MessageRecord> = BTreeMap::new();
    let mut calls_in_flight: Vec<CallInFlight> = Vec::new();
    let mut draining_or_removed: BTreeMap<u32, Micros> = BTreeMap::new();
    let mut retry_after_ends: BTreeMap<(u64, Option<u32>), Micros> = BTreeMap::new();
    let mut key_queues: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    let mut key_backoff_ends: BTreeMap<u64, Micros> = BTreeMap::new();
    let mut all_actions = Vec::new();
    let mut timers: BTreeSet<Micros> = BTreeSet::new();
    let mut events = vec![Event::EndpointList {
        scope: ListScope::Stale,
        entries: (0..12).map(listed_entry).collect(),
    }];
    let mut sends = 0;
    for turn in 0..6000u64 {
        let step = Micros::from(5_000 * (1 + below(6)));
        now += if turn % 50 == 0 { 0 } else { step };
        let arrivals = if turn < 5000 && below(3) == 0 {
            1 + below(3)
        } else {
            0
        };
        for _ in 0..arrivals {
            let class = below(4) as usize;
            let key = (class == ORDERED).then(|| u64::from(below(3)));
            let mut new =
                NewMessage::new(MessageId(next_id), class, u64::from(below(5)), 20 * SECOND);
            new.key = key;
            new.tenant = (below(2) == 0).then_some(0);
            let deadline = now + new.time_left;
            let record = MessageRecord {
                class,
                destination: new.destination,
                key,
                deadline,
                ..MessageRecord::default()
            };
            records.insert(next_id, record);
            if let Some(key) = key {
                key_queues.entry(key).or_default().push(next_id);
            }
            events.push(Event::Accepted(new));
            next_id += 1;
        }
        if below(200) == 0 {
            let endpoint = below(12);
            let mut changed = listed_entry(endpoint);
            if draining_or_removed.remove(&endpoint).is_none() {
                changed.status = if below(2) == 0 {
                    EndpointStatus::Draining
                } else {
                    EndpointStatus::Removed
                };
                draining_or_removed.insert(endpoint, now);
            }
            events.push(Event::EndpointList {
                scope: ListScope::Changes,
                entries: vec![changed],
            });
        }
        let mut index = 0;
        while index < calls_in_flight.len() {
            let has_expired = now >= calls_in_flight[index].expires;
            let outcome_draw = below(60);
            if !has_expired && outcome_draw > 5 {
                index += 1;
                continue;
            }
            let call = calls_in_flight.swap_remove(index);
            let is_faulty = destination(call.endpoint) == turn / 1000 % 4;
            let outcome = match outcome_draw {
                _ if has_expired => Outcome::TimedOut,
                _ if is_faulty && below(4) != 0 => Outcome::Error,
                0 => Outcome::Error,
                1 => Outcome::Rejected {
                    retry_after: (below(2) == 0).then(|| Micros::from(below(3_000_000))),
                },
                2 if below(3) == 0 => Outcome::NoConnection,
                3 if below(3) == 0 => Outcome::Reset,
                _ => Outcome::Success,
            };
            let record = records.get_mut(&call.message).expect("known");
            record.in_flight -= 1;
            if outcome.never_ran() {
                record.attempts_at_risk.remove(&call.attempt);
            }
            if let (Some(key), Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) =
                (record.key, outcome)
            {
                key_backoff_ends.insert(key, now + settings.safety.key_backoff);
            }
            if let Outcome::Rejected {
                retry_after: Some(wait),
            } = outcome
            {
                let until = retry_after_ends
                    .entry(route_key(call.endpoint))
                    .or_default();
                *until = (*until).max(now + wait);
            }
            let is_complete = record.ended || outcome == Outcome::Success;
            record.ended = is_complete;
            let mut event = ended(
                call.message,
                call.attempt,
                call.endpoint,
                outcome,
                now - call.sent,
            );
            if let Event::AttemptEnded {
                complete: reported_complete,
                report,
                ..
            } = &mut event
            {
                *reported_complete = is_complete;
                *report = vec![f64::from(below(11)) / 10.0, f64::from(below(30))];
            }
            if below(10) == 0 {
                events.push(Event::PeerNote {
                    from: below(5),
                    bytes: vec![7; below(300) as usize],
                });
            }
            events.push(event);
        }
        while timers.first().is_some_and(|&at| at <= now) {
            timers.pop_first();
            events.push(Event::TimerExpired);
        }
        let mut actions = Vec::new();
        sender.handle(now, &events, &mut actions);
        events.clear();
        for action in &actions {
            match action {
                Action::Send {
                    message,
                    attempt,
                    endpoint,
                    expires,
                    start_by,
                } => {
                    sends += 1;
                    let (id, endpoint) = (message.0, endpoint.0);
                    assert_eq!(
                        *attempt, records[&id].attempts,
                        "attempts are not numbered in order"
                    );
                    let has_incomplete_earlier_message = |id: u64, key: u64| {
                        key_queues[&key]
                            .iter()
                            .take_while(|&&other| other != id)
                            .any(|other| !records[other].ended || records[other].in_flight > 0)
                    };
                    let record = &records[&id];
                    assert!(!record.ended && now < record.deadline, "sent after its end");
                    assert_eq!(destination(endpoint), record.destination);
                    assert!(
                        !draining_or_removed.contains_key(&endpoint),
                        "sent to a drained endpoint"
                    );
                    assert!(record.attempts < settings.max_attempts);
                    let retry_after_end = retry_after_ends
                        .get(&route_key(endpoint))
                        .copied()
                        .unwrap_or(0);
                    assert!(now >= retry_after_end, "sent during a Retry-After delay");
                    match settings.classes[record.class].effect {
                        Effect::Idempotent => {}
                        Effect::NonIdempotent => {
                            assert!(
                                record.attempts_at_risk.is_empty(),
                                "a non-idempotent message that may have run was sent again"
                            )
                        }
                        Effect::IdempotencyKey { window, .. } => assert!(
                            record
                                .attempts_at_risk
                                .values()
                                .all(|&(earlier_endpoint, sent)| earlier_endpoint % 2
                                    == endpoint % 2
                                    && now < sent + window
                                    && start_by.is_some_and(|latest_start| now < latest_start
                                        && latest_start < sent + window)),
                            "a message with an idempotency key leaves its zone or its window, or may do so later"
                        ),
                    }
                    if let Some(key) = record.key {
                        assert!(
                            !has_incomplete_earlier_message(id, key),
                            "sent before an earlier message of its key was complete"
                        );
                        let backoff_end = key_backoff_ends.get(&key).copied().unwrap_or(0);
                        assert!(
                            record.attempts > 0 || now >= backoff_end,
                            "sent during the backoff of its key"
                        );
                    }
                    let record = records.get_mut(&id).expect("known");
                    record
                        .attempts_at_risk
                        .insert(record.attempts, (endpoint, now));
                    let attempt = record.attempts;
                    record.attempts += 1;
                    record.in_flight += 1;
                    calls_in_flight.push(CallInFlight {
                        message: id,
                        attempt,
                        endpoint,
                        sent: now,
                        expires: *expires,
                    });
                }
                Action::Reject { message, .. } => {
                    let record = records.get_mut(&message.0).expect("known");
                    assert!(
                        !record.ended && now <= record.deadline + settings.safety.answer_grace,
                        "ended twice or too late"
                    );
                    let is_idempotent = settings.classes[record.class].effect == Effect::Idempotent;
                    assert!(
                        is_idempotent || record.attempts_at_risk.is_empty(),
                        "rejected although it may have run"
                    );
                    record.ended = true;
                }
                Action::Fail(message) => {
                    let record = records.get_mut(&message.0).expect("known");
                    assert!(
                        !record.ended && now <= record.deadline + settings.safety.answer_grace,
                        "ended twice or too late"
                    );
                    record.ended = true;
                }
                Action::Cancel { message, attempt } => {
                    let id = (message.0, *attempt);
                    if let Some(call) = calls_in_flight
                        .iter_mut()
                        .find(|call| (call.message, call.attempt) == id)
                    {
                        call.expires = now + 20 * MILLISECOND;
                    }
                }
                Action::SetTimer(at) => {
                    assert!(*at > now);
                    timers.insert(*at);
                }
                _ => {}
            }
        }
        all_actions.extend(actions);
    }
    assert!(
        records
            .values()
            .all(|record| record.ended || record.deadline > now),
        "a message has no end after its deadline"
    );
    (all_actions, sends)
}

#[test]
fn random_valid_events_break_no_rule() {
    for seed in 0..6 {
        let (_, sends) = run_random_events(seed);
        assert!(
            sends > [300, 150, 40][seed as usize % 3],
            "seed {seed}: {sends} sends"
        );
    }
}

#[test]
fn same_events_give_same_actions() {
    assert_eq!(run_random_events(5).0, run_random_events(5).0);
}
