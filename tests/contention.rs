//! Many senders share the limit of one destination that tells nothing of it: how much of what they are handed is
//! delivered in time, in passed-in time over the real module. The destination counts calls in a token bucket;
//! nothing of it is fitted to a deployment.

mod common;

use common::{START, entry, settings};
use message_sender::*;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

const STEP: Micros = 10 * MILLISECOND;
const LATENCY: Micros = 50 * MILLISECOND;
const AIM: Micros = 2 * SECOND;
const DEADLINE: Micros = 9 * SECOND;
const SENDERS: usize = 300;
const DESTINATION: u64 = 7;
const LENGTH: Micros = 24 * SECOND;
/// How long a restarted sender takes nothing in.
const DOWN: Micros = 2 * SECOND;

/// One simulated run.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    /// Calls a second that the destination takes from all senders together.
    limit: f64,
    /// What the list says of that, as a share of it.
    listed: f64,
    /// Messages handed in, as a share of the limit.
    demand: f64,
    /// Refused calls use the limit up too.
    refusals_count: bool,
    /// From when to when the senders may not send by their lists.
    stale: (Micros, Micros),
    /// When all senders are back from a restart, with what they held.
    restart: Option<Micros>,
    seed: u64,
}

impl Scenario {
    const STEADY: Scenario = Scenario {
        limit: 60.0,
        listed: 1.0,
        demand: 0.8,
        refusals_count: false,
        stale: (0, 0),
        restart: None,
        seed: 1,
    };
}

#[derive(Debug, Default)]
struct Served {
    handed_in: usize,
    in_time: usize,
    late: usize,
    refused_calls: usize,
}

impl Served {
    fn share_in_time(&self) -> f64 {
        self.in_time as f64 / self.handed_in as f64
    }

    fn share_delivered(&self) -> f64 {
        (self.in_time + self.late) as f64 / self.handed_in as f64
    }

    fn refused_share(&self) -> f64 {
        self.refused_calls as f64 / self.handed_in as f64
    }
}

/// A limit in calls a second: a bucket that holds half a second of it, in debt by as much at most.
struct Limit {
    tokens: f64,
    at: Micros,
}

impl Limit {
    const DEPTH_SECONDS: f64 = 0.5;

    fn takes(&mut self, now: Micros, rate: f64, refusals_count: bool) -> bool {
        let depth = rate * Self::DEPTH_SECONDS;
        self.tokens = (self.tokens + rate * (now - self.at) as f64 / SECOND as f64).min(depth);
        self.at = now;
        let taken = self.tokens >= 1.0;
        if taken || refusals_count {
            self.tokens = (self.tokens - 1.0).max(-depth);
        }
        taken
    }
}

struct Message {
    sender: usize,
    born: Micros,
    attempts: usize,
    open: bool,
}

/// A call whose outcome has not come.
struct Call {
    ends: Micros,
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
    due: f64,
    served: Served,
}

impl Fleet {
    fn new(scenario: Scenario) -> Self {
        let mut settings = settings(6);
        settings.senders = SENDERS as u32;
        settings.weight_trust = 0.5;
        settings.classes[0] = Class::new("free", Effect::Idempotent, AIM, DEADLINE);
        let mut fleet = Fleet {
            scenario,
            settings,
            senders: Vec::new(),
            timers: Vec::new(),
            messages: BTreeMap::new(),
            calls: Vec::new(),
            limit: Limit {
                tokens: 0.0,
                at: START,
            },
            random: Pcg32::seed_from_u64(scenario.seed),
            now: START,
            due: 0.0,
            served: Served::default(),
        };
        fleet.start(0);
        fleet
    }

    /// All senders start, each for so many times before.
    fn start(&mut self, starts: u64) {
        let seeds =
            (0..SENDERS as u64).map(|number| number + 1000 * (self.scenario.seed + 100 * starts));
        let start = |seed| Sender::new(self.settings.clone(), seed).expect("settings");
        self.senders = seeds.map(start).collect();
        self.timers = vec![BTreeSet::new(); SENDERS];
    }

    fn listed(&self) -> Event {
        let weight = self.scenario.limit * self.scenario.listed;
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

    /// What the senders hold once they are back; their calls ended unheard.
    fn resume(&mut self) -> Vec<Vec<Event>> {
        self.calls.clear();
        self.start(1);
        let mut events = vec![vec![self.listed()]; SENDERS];
        for (&id, message) in self.messages.iter().filter(|(_, message)| message.open) {
            let left = message.born + DEADLINE - self.now;
            let new = NewMessage::new(MessageId(id), 0, DESTINATION, left);
            let past = |_| PastAttempt {
                endpoint: EndpointId(1),
                sent: self.now - DOWN,
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

    fn hand_in(&mut self, events: &mut [Vec<Event>]) {
        self.due += self.scenario.limit * self.scenario.demand * STEP as f64 / SECOND as f64;
        while self.due >= 1.0 {
            self.due -= 1.0;
            // some senders are handed in several times what others are
            let [first, second] = [0, 1].map(|_| self.random.next_u32() as usize % SENDERS);
            let (sender, id) = (first.min(second), self.messages.len() as u64);
            let new = NewMessage::new(MessageId(id), 0, DESTINATION, DEADLINE);
            events[sender].push(Event::Accepted(new));
            self.messages.insert(
                id,
                Message {
                    sender,
                    born: self.now,
                    attempts: 0,
                    open: true,
                },
            );
            self.served.handed_in += 1;
        }
    }

    fn end_calls(&mut self, events: &mut [Vec<Event>]) {
        let now = self.now;
        for call in self.calls.extract_if(.., |call| call.ends <= now) {
            let message = self.messages.get_mut(&call.message).expect("was handed in");
            if call.outcome == Outcome::Success {
                message.open = false;
                let in_time = now - message.born <= AIM;
                self.served.in_time += usize::from(in_time);
                self.served.late += usize::from(!in_time);
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

    /// One sender's turn, if it has an event or its alarm rings.
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
                        .and_modify(|message| message.open = false);
                }
                _ => {}
            }
        }
    }

    fn call(&mut self, sender: usize, id: u64, endpoint: u32) {
        let message = self.messages.get_mut(&id).expect("was handed in");
        let taken = self
            .limit
            .takes(self.now, self.scenario.limit, self.scenario.refusals_count);
        let outcome = if taken {
            Outcome::Success
        } else {
            Outcome::Rejected { retry_after: None }
        };
        self.served.refused_calls += usize::from(!taken);
        let (ends, attempt) = (self.now + LATENCY, message.attempts);
        message.attempts += 1;
        self.calls.push(Call {
            ends,
            sender,
            message: id,
            attempt,
            endpoint,
            outcome,
        });
    }

    fn is_down(&self) -> bool {
        let passed = self.now - START;
        self.scenario
            .restart
            .is_some_and(|back| (back - DOWN..back).contains(&passed))
    }
}

fn run(scenario: Scenario) -> Served {
    let mut fleet = Fleet::new(scenario);
    let first = vec![vec![fleet.listed()]; SENDERS];
    let (mut waiting, mut was_stale) = (first, false);
    while fleet.now < START + LENGTH {
        if scenario.restart == Some(fleet.now - START) {
            waiting = fleet.resume();
        }
        let stale = (START + scenario.stale.0..START + scenario.stale.1).contains(&fleet.now);
        if stale != was_stale {
            waiting
                .iter_mut()
                .for_each(|events| events.push(Event::EndpointListStale(stale)));
            was_stale = stale;
        }
        fleet.hand_in(&mut waiting);
        if !fleet.is_down() {
            fleet.end_calls(&mut waiting);
            for (sender, events) in waiting.iter_mut().enumerate() {
                fleet.turn(sender, std::mem::take(events));
            }
        }
        fleet.now += STEP;
    }
    fleet.served
}

/// The same run with three seeds.
fn runs(scenario: Scenario) -> impl Iterator<Item = Served> {
    (1..=3).map(move |seed| run(Scenario { seed, ..scenario }))
}

#[test]
fn limit_with_capacity_for_all_is_shared_without_rejections() {
    for listed in [0.6, 1.0, 1.4] {
        for served in runs(Scenario {
            listed,
            ..Scenario::STEADY
        }) {
            assert!(served.share_in_time() > 0.95, "{listed} {served:?}");
            assert!(served.refused_share() < 0.02, "{listed} {served:?}");
        }
    }
}

#[test]
fn backlog_of_stale_list_is_not_sent_at_once() {
    let stale = (6 * SECOND, 9 * SECOND);
    for (limit, refusals_count) in [(60.0, false), (60.0, true), (600.0, false), (600.0, true)] {
        for served in runs(Scenario {
            limit,
            refusals_count,
            stale,
            ..Scenario::STEADY
        }) {
            assert!(
                served.refused_share() < 0.04,
                "{limit} {refusals_count} {served:?}"
            );
            assert!(
                served.share_delivered() > 0.88,
                "{limit} {refusals_count} {served:?}"
            );
        }
    }
}

#[test]
fn backlog_of_restart_is_not_sent_at_once() {
    let restart = Some(8 * SECOND);
    for refusals_count in [false, true] {
        for served in runs(Scenario {
            limit: 60.0,
            refusals_count,
            restart,
            ..Scenario::STEADY
        }) {
            assert!(served.refused_share() < 0.04, "{refusals_count} {served:?}");
            assert!(
                served.share_delivered() > 0.88,
                "{refusals_count} {served:?}"
            );
        }
    }
}
