//! The index of the held messages: random plays give the same actions where each message is looked at on its own, and
//! a turn's work does not grow with those that can't go. Debug builds hold the index against a new one in each turn.

mod common;
use common::*;
use message_sender::*;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

const TURNS: u64 = 1_500;
const DESTINATIONS: u32 = 6;
const ENDPOINTS: u32 = 2;

/// A sender under random events, and what it does.
struct Play {
    /// Every turn looks at each message.
    each: bool,
    sender: Sender,
    random: Pcg32,
    now: Micros,
    next: u64,
    events: Vec<Event>,
    /// When each call ends: message, attempt, endpoint, time of the send.
    calls: Vec<(Micros, u64, usize, u32, Micros)>,
    attempts: BTreeMap<u64, usize>,
    timers: BTreeSet<Micros>,
    actions: Vec<(Micros, Vec<Action>)>,
}

fn play_settings(seed: u64) -> Settings {
    let mut settings = settings([12, 4, 30][seed as usize % 3]);
    settings.max_pending = if seed.is_multiple_of(2) { 60 } else { 400 };
    settings.max_attempts = 5;
    settings.senders = [1, 300, 3][seed as usize % 3];
    settings.weight_trust = 0.5;
    settings.max_retry_after = 3 * SECOND;
    settings.completion_by_notification = seed % 4 < 2;
    settings.connection_idle_timeout = 5 * SECOND;
    settings.tenants = vec![Tenant {
        name: "first".into(),
        allowance: 5.0,
    }];
    settings.over_share_weight = if seed % 5 == 4 { 0.0 } else { 0.3 };
    settings.weight_decay = if seed % 4 == 3 {
        WeightDecay::Halving
    } else {
        WeightDecay::Linear
    };
    if seed % 3 == 1 {
        settings
            .kinds
            .iter_mut()
            .for_each(|kind| kind.bundle_max = 1);
    }
    for (index, class) in settings.classes.iter_mut().enumerate() {
        class.priority_weight = 1.0 + index as f64;
        class.late_share = [0.2, 0.0, 1.0, 0.1][(index + seed as usize) % 4];
    }
    settings
}

fn bounds(attempts: usize, effect: Effect) -> RuleBounds {
    let of = |effect| ClassBounds {
        accepted: true,
        effect,
        max_attempts: attempts,
        ordered: false,
        key_backoff: 0,
    };
    let names = ["free", "keyed", "unsafe", "ordered"];
    let classes = names
        .iter()
        .map(|name| (name.to_string(), of(effect)))
        .collect();
    RuleBounds {
        classes,
        max_calls: None,
        max_messages: None,
    }
}

impl Play {
    fn new(seed: u64, each: bool) -> Self {
        let mut sender = Sender::new(play_settings(seed), seed).expect("settings");
        if each {
            sender.examine_each_message();
        }
        Play {
            each,
            sender,
            random: Pcg32::seed_from_u64(seed ^ 0x5ca1e),
            now: START,
            next: 0,
            events: vec![Event::EndpointList {
                scope: ListScope::Full,
                entries: (0..DESTINATIONS * ENDPOINTS).map(listed).collect(),
            }],
            calls: Vec::new(),
            attempts: BTreeMap::new(),
            timers: BTreeSet::new(),
            actions: Vec::new(),
        }
    }

    fn below(&mut self, most: u32) -> u32 {
        self.random.next_u32() % most
    }

    fn run(mut self) -> Vec<(Micros, Vec<Action>)> {
        for turn in 0..TURNS {
            self.now += Micros::from(self.below(30_000));
            self.arrive(turn);
            self.disturb();
            self.end_calls(turn);
            while self.timers.first().is_some_and(|&at| at <= self.now) {
                self.timers.pop_first();
                self.events.push(Event::TimerExpired);
            }
            if turn == TURNS / 2 {
                let bytes = postcard::to_allocvec(&self.sender).expect("written");
                self.sender = postcard::from_bytes(&bytes).expect("read back");
                if self.each {
                    self.sender.examine_each_message();
                }
            }
            self.turn();
        }
        self.actions
    }

    fn arrive(&mut self, turn: u64) {
        // a flood, then a calm in which what waits runs off
        let most = if (turn / 250).is_multiple_of(2) { 4 } else { 1 };
        for _ in 0..self.below(most + 1) {
            let class = self.below(4) as usize;
            let destination = u64::from(self.below(DESTINATIONS));
            let left = SECOND * Micros::from(3 + self.below(30));
            let mut new = NewMessage::new(MessageId(self.next), class, destination, left);
            self.next += 1;
            new.key = (class == ORDERED).then(|| u64::from(self.below(6)));
            new.tenant = (self.below(3) == 0).then_some(0);
            new.max_attempts = (self.below(5) == 0).then_some(3);
            let tried = self.below(12) == 0;
            self.attempts.insert(new.id.0, usize::from(tried));
            let endpoint = EndpointId(destination as u32 * ENDPOINTS);
            let sent = self.now - SECOND;
            let may_have_run = self.below(2) == 0;
            let past = PastAttempt {
                endpoint,
                sent,
                may_have_run,
            };
            self.events.push(match tried {
                true => Event::MessageRestored {
                    message: new,
                    attempts: vec![past],
                },
                false => Event::Accepted(new),
            });
        }
    }

    fn disturb(&mut self) {
        let (destination, endpoint) = (u64::from(self.below(DESTINATIONS)), self.below(12));
        let event = match self.below(300) {
            0 => Event::FleetHealth {
                destination,
                unavailable: true,
            },
            1 | 2 => Event::FleetHealth {
                destination,
                unavailable: false,
            },
            3 => Event::Disabled(EndpointId(endpoint)),
            4..=6 => Event::Enabled(EndpointId(endpoint)),
            7 => Event::RetryAfter {
                endpoint: EndpointId(endpoint),
                delay: SECOND,
            },
            8 => {
                let status = if self.below(2) == 0 {
                    EndpointStatus::Draining
                } else {
                    EndpointStatus::Removed
                };
                let entries = vec![EndpointEntry {
                    status,
                    ..listed(endpoint)
                }];
                Event::EndpointList {
                    scope: ListScope::Changes,
                    entries,
                }
            }
            9..=11 => Event::EndpointList {
                scope: ListScope::Changes,
                entries: vec![listed(endpoint)],
            },
            12 => {
                let attempts = self.below(4) as usize;
                let effect = [Effect::NonIdempotent, Effect::Idempotent][self.below(2) as usize];
                Event::AgreedRules(Some(Box::new(AgreedRules {
                    leased: None,
                    fallback: bounds(attempts, effect),
                })))
            }
            13..=15 => Event::AgreedRules(None),
            16 => {
                let rate = Some(QuotaShare {
                    fallback: 2_000 * u64::from(self.below(4)),
                    allocation: None,
                });
                let in_flight = Some(ConcurrencyQuota {
                    share: QuotaShare {
                        fallback: 3,
                        allocation: None,
                    },
                    max_duration: SECOND,
                });
                let named = BTreeMap::from([(
                    destination,
                    Quota {
                        rate,
                        in_flight,
                        unhealthy_rate: None,
                    },
                )]);
                Event::Quotas(Some(Box::new(Quotas {
                    named,
                    others: Quota::default(),
                })))
            }
            17 | 18 => Event::Quotas(None),
            19 => Event::EndpointListStale(true),
            20..=29 => Event::EndpointListStale(false),
            30 => {
                let mut settings = self.sender.settings().clone();
                settings.classes.swap(IDEMPOTENT, WITH_IDEMPOTENCY_KEY);
                Event::SettingsChanged(Box::new(settings))
            }
            31 if self.next > 0 => Event::MessageAbandoned(MessageId(self.next - 1)),
            32..=40 if self.next > 0 => {
                Event::NotificationDelivered(MessageId(self.random.next_u64() % self.next))
            }
            _ => return,
        };
        self.events.push(event);
    }

    fn end_calls(&mut self, turn: u64) {
        let (now, mut index) = (self.now, 0);
        while index < self.calls.len() {
            if self.calls[index].0 > now {
                index += 1;
                continue;
            }
            let (_, message, attempt, endpoint, sent) = self.calls.swap_remove(index);
            let bad = u64::from(endpoint / ENDPOINTS) % 3 == turn / 300 % 3;
            let outcome = match self.below(if bad { 8 } else { 60 }) {
                0 | 1 => Outcome::Error,
                2 => Outcome::Rejected {
                    retry_after: (self.below(2) == 0).then_some(SECOND),
                },
                3 => Outcome::NoConnection,
                4 => Outcome::TimedOut,
                5 => Outcome::NotSent {
                    no_slot: self.below(2) == 0,
                },
                _ => Outcome::Success,
            };
            self.events
                .push(ended(message, attempt, endpoint, outcome, now - sent));
        }
    }

    fn turn(&mut self) {
        let mut actions = Vec::new();
        let events = std::mem::take(&mut self.events);
        self.sender.handle(self.now, &events, &mut actions);
        for action in &actions {
            match action {
                Action::Send {
                    message, endpoint, ..
                } => {
                    let lasts = Micros::from(20_000 + self.random.next_u32() % 60_000);
                    // now and then one that nobody answers
                    let lasts = if self.random.next_u32().is_multiple_of(40) {
                        5 * SECOND
                    } else {
                        lasts
                    };
                    let attempt = self.attempts.entry(message.0).or_default();
                    self.calls
                        .push((self.now + lasts, message.0, *attempt, endpoint.0, self.now));
                    *attempt += 1;
                }
                Action::SetTimer(at) => drop(self.timers.insert(*at)),
                _ => {}
            }
        }
        self.actions.push((self.now, actions));
    }
}

fn listed(endpoint: u32) -> EndpointEntry {
    let destination = endpoint / ENDPOINTS;
    let (zone, kind) = ((endpoint % 2) as u16, (destination % 3) as usize);
    EndpointEntry {
        zone,
        kind,
        weight: 200.0,
        ..entry(endpoint, destination.into())
    }
}

#[test]
fn groups_change_no_action() {
    for seed in 0..24 {
        let (grouped, each) = (Play::new(seed, false).run(), Play::new(seed, true).run());
        let sends = |actions: &[(Micros, Vec<Action>)]| {
            let all = actions.iter().flat_map(|turn| &turn.1);
            all.filter(|action| matches!(action, Action::Send { .. }))
                .count()
        };
        assert!(
            sends(&grouped) > 50,
            "seed {seed}: {} sends",
            sends(&grouped)
        );
        for (turn, (grouped, each)) in grouped.iter().zip(&each).enumerate() {
            assert_eq!(grouped, each, "seed {seed}, turn {turn}");
        }
    }
}

/// For how many messages a turn looks for an endpoint while so many wait for a destination that is out.
fn looked_at(waiting: u64) -> usize {
    let mut roomy = settings(8);
    roomy.max_pending = 10 * waiting as usize;
    let mut host = TestHost::new(roomy, vec![entry(1, 7), entry(2, 8)]);
    host.handle(vec![Event::FleetHealth {
        destination: 7,
        unavailable: true,
    }]);
    host.handle(
        (0..waiting)
            .map(|id| {
                message(
                    id,
                    [IDEMPOTENT, WITH_IDEMPOTENCY_KEY, NON_IDEMPOTENT][id as usize % 3],
                    7,
                )
            })
            .collect(),
    );
    host.handle(vec![message(waiting, IDEMPOTENT, 8)]);
    assert_eq!(host.last_send(waiting).0, 2, "what can go does");
    host.sender.candidates_examined()
}

#[test]
fn a_turn_looks_at_no_more_messages_however_many_wait_for_a_destination_that_is_out() {
    // each turn looked for an endpoint for each of them: 2.4 us a message, 947 cores with 1.19 million
    let (few, many) = (looked_at(60), looked_at(3_000));
    assert_eq!(few, many, "with 60 and with 3000 waiting");
    assert!(
        many <= 4,
        "{many}: one of each class, and the one that goes"
    );
}
