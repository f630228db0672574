//! Simulates 300 senders that share the rate limit of one destination, which does not report the limit. The tests run
//! the real decision module on simulated time, and check which share of the submitted messages is delivered in time and
//! how many calls are rejected. The destination counts calls in a token bucket that models no particular deployment.

mod common;

use common::{START, entry, settings};
use message_sender::*;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// Simulated time between two turns of all senders, in microseconds.
const STEP: Micros = 10 * MILLISECOND;
/// Time from a call to its outcome, in microseconds.
const LATENCY: Micros = 50 * MILLISECOND;
/// Latency objective of the message class, in microseconds: a later delivery counts as late.
const LATENCY_OBJECTIVE: Micros = 2 * SECOND;
const DEADLINE: Micros = 9 * SECOND;
const SENDERS: usize = 300;
const DESTINATION: u64 = 7;
/// Length of one simulated run, in microseconds.
const RUN_TIME: Micros = 24 * SECOND;
/// Time in microseconds that a restarted sender is down and handles no events.
const DOWNTIME: Micros = 2 * SECOND;

/// Conditions of one simulated run.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    /// Calls per second that the destination accepts from all senders together.
    limit: f64,
    /// Rate that the endpoint list states, as a fraction of `limit`.
    listed_fraction: f64,
    /// Messages submitted per second, as a fraction of `limit`.
    demand: f64,
    /// True if rejected calls use up the limit as well.
    rejections_count: bool,
    /// Start and end of the time in which the senders' endpoint lists are stale, in microseconds from the start of the
    /// run.
    stale: (Micros, Micros),
    /// Time in microseconds, from the start of the run, at which all senders resume with their pending messages after a
    /// restart.
    restart: Option<Micros>,
    seed: u64,
}

impl Scenario {
    const STEADY: Scenario = Scenario {
        limit: 60.0,
        listed_fraction: 1.0,
        demand: 0.8,
        rejections_count: false,
        stale: (0, 0),
        restart: None,
        seed: 1,
    };
}

#[derive(Debug, Default)]
struct Deliveries {
    submitted: usize,
    in_time: usize,
    late: usize,
    rejected_calls: usize,
}

impl Deliveries {
    fn share_in_time(&self) -> f64 {
        self.in_time as f64 / self.submitted as f64
    }

    fn share_delivered(&self) -> f64 {
        (self.in_time + self.late) as f64 / self.submitted as f64
    }

    fn rejected_share(&self) -> f64 {
        self.rejected_calls as f64 / self.submitted as f64
    }
}

/// Rate limit of the destination as a token bucket. The bucket holds at most the calls of half a second. Rejected calls
/// that use up the limit can make it negative, down to minus the same amount.
struct Limit {
    tokens: f64,
    /// Simulated time in microseconds at which `tokens` was last updated.
    refilled_at: Micros,
}

impl Limit {
    const DEPTH_SECONDS: f64 = 0.5;

    fn accepts(&mut self, now: Micros, rate: f64, rejections_count: bool) -> bool {
        let depth = rate * Self::DEPTH_SECONDS;
        self.tokens =
            (self.tokens + rate * (now - self.refilled_at) as f64 / SECOND as f64).min(depth);
        self.refilled_at = now;
        let accepted = self.tokens >= 1.0;
        if accepted || rejections_count {
            self.tokens = (self.tokens - 1.0).max(-depth);
        }
        accepted
    }
}

struct Message {
    sender: usize,
    submitted_at: Micros,
    attempts: usize,
    is_pending: bool,
}

/// Call in flight, with the outcome that the sender will receive.
struct Call {
    ends_at: Micros,
    sender: usize,
    message: u64,
    attempt: usize,
    endpoint: u32,
    outcome: Outcome,
}

struct Fleet {
    scenario: Scenario,
    settings: Settings,
    senders: Vec<Sender>,
    timers: Vec<BTreeSet<Micros>>,
    messages: BTreeMap<u64, Message>,
    calls: Vec<Call>,
    limit: Limit,
    random: Pcg32,
    now: Micros,
    messages_due: f64,
    deliveries: Deliveries,
}

impl Fleet {
    fn new(scenario: Scenario) -> Self {
        let mut settings = settings(6);
        settings.senders = SENDERS as u32;
        settings.weight_trust = 0.5;
        settings.classes[0] = Class::new("free", Effect::Idempotent, LATENCY_OBJECTIVE, DEADLINE);
        let mut fleet = Fleet {
            scenario,
            settings,
            senders: Vec::new(),
            timers: Vec::new(),
            messages: BTreeMap::new(),
            calls: Vec::new(),
            limit: Limit {
                tokens: 0.0,
                refilled_at: START,
            },
            random: Pcg32::seed_from_u64(scenario.seed),
            now: START,
            messages_due: 0.0,
            deliveries: Deliveries::default(),
        };
        fleet.start(0);
        fleet
    }

    /// Replaces all senders by new ones. `starts`, the number of starts before, makes their random seeds differ.
    fn start(&mut self, starts: u64) {
        let seeds =
            (0..SENDERS as u64).map(|number| number + 1000 * (self.scenario.seed + 100 * starts));
        let start = |seed| Sender::new(self.settings.clone(), seed).expect("settings");
        self.senders = seeds.map(start).collect();
        self.timers = vec![BTreeSet::new(); SENDERS];
    }

    fn endpoint_list(&self) -> Event {
        let weight = self.scenario.limit * self.scenario.listed_fraction;
        let entries = (1..=2)
            .map(|n| EndpointEntry {
                weight,
                ..entry(n, DESTINATION)
            })
            .collect();
        Event::EndpointList {
            scope: ListScope::Full,
            entries,
        }
    }

    /// Returns the events with which the senders recover after a restart: the endpoint list and their pending messages.
    /// Calls that were in flight ended without the senders learning the outcomes.
    fn resume(&mut self) -> Vec<Vec<Event>> {
        self.calls.clear();
        self.start(1);
        let mut events = vec![vec![self.endpoint_list()]; SENDERS];
        for (&id, message) in self
            .messages
            .iter()
            .filter(|(_, message)| message.is_pending)
        {
            let time_left = message.submitted_at + DEADLINE - self.now;
            let new = NewMessage::new(MessageId(id), 0, DESTINATION, time_left);
            let past = |_| PastAttempt {
                endpoint: EndpointId(1),
                sent: self.now - DOWNTIME,
                may_have_run: false,
            };
            let attempts = (0..message.attempts).map(past).collect();
            events[message.sender].push(Event::MessageRestored {
                message: new,
                attempts,
            });
        }
        events
    }

    fn submit(&mut self, events: &mut [Vec<Event>]) {
        self.messages_due +=
            self.scenario.limit * self.scenario.demand * STEP as f64 / SECOND as f64;
        while self.messages_due >= 1.0 {
            self.messages_due -= 1.0;
            // the minimum of two random numbers gives some senders several times the messages of others
            let [first, second] = [0, 1].map(|_| self.random.next_u32() as usize % SENDERS);
            let (sender, id) = (first.min(second), self.messages.len() as u64);
            let new = NewMessage::new(MessageId(id), 0, DESTINATION, DEADLINE);
            events[sender].push(Event::Accepted(new));
            self.messages.insert(
                id,
                Message {
                    sender,
                    submitted_at: self.now,
                    attempts: 0,
                    is_pending: true,
                },
            );
            self.deliveries.submitted += 1;
        }
    }

    fn end_calls(&mut self, events: &mut [Vec<Event>]) {
        let now = self.now;
        for call in self.calls.extract_if(.., |call| call.ends_at <= now) {
            let message = self.messages.get_mut(&call.message).expect("was submitted");
            if call.outcome == Outcome::Success {
                message.is_pending = false;
                let in_time = now - message.submitted_at <= LATENCY_OBJECTIVE;
                self.deliveries.in_time += usize::from(in_time);
                self.deliveries.late += usize::from(!in_time);
            }
            let ended = common::ended(
                call.message,
                call.attempt,
                call.endpoint,
                call.outcome,
                LATENCY,
            );
            events[call.sender].push(ended);
        }
    }

    /// Runs one sender's turn if it has an event or its timer has expired, and executes its actions.
    fn turn(&mut self, sender: usize, mut events: Vec<Event>) {
        if self.timers[sender]
            .first()
            .is_some_and(|at| *at <= self.now)
        {
            self.timers[sender].retain(|at| *at > self.now);
            events.push(Event::TimerExpired);
        }
        if events.is_empty() {
            return;
        }
        let mut actions = Vec::new();
        self.senders[sender].handle(self.now, &events, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer(at) => drop(self.timers[sender].insert(at)),
                Action::Send {
                    message, endpoint, ..
                } => self.call(sender, message.0, endpoint.0),
                Action::Reject { message, .. } | Action::Fail(message) => {
                    self.messages
                        .entry(message.0)
                        .and_modify(|message| message.is_pending = false);
                }
                _ => {}
            }
        }
    }

    fn call(&mut self, sender: usize, id: u64, endpoint: u32) {
        let message = self.messages.get_mut(&id).expect("was submitted");
        let accepted = self.limit.accepts(
            self.now,
            self.scenario.limit,
            self.scenario.rejections_count,
        );
        let outcome = if accepted {
            Outcome::Success
        } else {
            Outcome::Rejected { retry_after: None }
        };
        self.deliveries.rejected_calls += usize::from(!accepted);
        let (ends_at, attempt) = (self.now + LATENCY, message.attempts);
        message.attempts += 1;
        self.calls.push(Call {
            ends_at,
            sender,
            message: id,
            attempt,
            endpoint,
            outcome,
        });
    }

    fn is_down(&self) -> bool {
        let run_time = self.now - START;
        self.scenario
            .restart
            .is_some_and(|returns_at| (returns_at - DOWNTIME..returns_at).contains(&run_time))
    }
}

fn run(scenario: Scenario) -> Deliveries {
    let mut fleet = Fleet::new(scenario);
    let first_events = vec![vec![fleet.endpoint_list()]; SENDERS];
    let (mut pending_events, mut was_stale) = (first_events, false);
    while fleet.now < START + RUN_TIME {
        if scenario.restart == Some(fleet.now - START) {
            pending_events = fleet.resume();
        }
        let stale = (START + scenario.stale.0..START + scenario.stale.1).contains(&fleet.now);
        if stale != was_stale {
            pending_events
                .iter_mut()
                .for_each(|events| events.push(Event::EndpointListStale(stale)));
            was_stale = stale;
        }
        fleet.submit(&mut pending_events);
        if !fleet.is_down() {
            fleet.end_calls(&mut pending_events);
            for (sender, events) in pending_events.iter_mut().enumerate() {
                fleet.turn(sender, std::mem::take(events));
            }
        }
        fleet.now += STEP;
    }
    fleet.deliveries
}

/// Runs the scenario with three random seeds.
fn runs(scenario: Scenario) -> impl Iterator<Item = Deliveries> {
    (1..=3).map(move |seed| run(Scenario { seed, ..scenario }))
}

#[test]
fn limit_with_capacity_for_all_is_shared_without_rejections() {
    for listed_fraction in [0.6, 1.0, 1.4] {
        for deliveries in runs(Scenario {
            listed_fraction,
            ..Scenario::STEADY
        }) {
            assert!(
                deliveries.share_in_time() > 0.95,
                "{listed_fraction} {deliveries:?}"
            );
            assert!(
                deliveries.rejected_share() < 0.02,
                "{listed_fraction} {deliveries:?}"
            );
        }
    }
}

#[test]
fn backlog_of_stale_list_is_sent_gradually() {
    let stale = (6 * SECOND, 9 * SECOND);
    for (limit, rejections_count) in [(60.0, false), (60.0, true), (600.0, false), (600.0, true)] {
        for deliveries in runs(Scenario {
            limit,
            rejections_count,
            stale,
            ..Scenario::STEADY
        }) {
            assert!(
                deliveries.rejected_share() < 0.04,
                "{limit} {rejections_count} {deliveries:?}"
            );
            assert!(
                deliveries.share_delivered() > 0.88,
                "{limit} {rejections_count} {deliveries:?}"
            );
        }
    }
}

#[test]
fn backlog_of_restart_is_sent_gradually() {
    let restart = Some(8 * SECOND);
    for rejections_count in [false, true] {
        for deliveries in runs(Scenario {
            limit: 60.0,
            rejections_count,
            restart,
            ..Scenario::STEADY
        }) {
            assert!(
                deliveries.rejected_share() < 0.04,
                "{rejections_count} {deliveries:?}"
            );
            assert!(
                deliveries.share_delivered() > 0.88,
                "{rejections_count} {deliveries:?}"
            );
        }
    }
}
