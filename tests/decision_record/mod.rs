//! A simulated host with a fixed seed that drives one sender through faults, list changes, restarts
//! and commands, and folds every action and the serialized state into a digest. What it does
//! depends on nothing but the scenario's number and the actions, so that equal digests of two
//! versions mean equal decisions.

pub mod layout;
pub mod settings;

use message_sender::*;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

const START: Micros = 100 * SECOND;
const DESTINATIONS: u64 = 6;
const ENDPOINTS: u32 = 18;
const CLASSES: u32 = 6;
const FAULT_PERIOD: Micros = 9 * SECOND;
/// Turns from one digest of the serialized state to the next.
const STATE_EVERY: u64 = 100;
/// Turns from one handover, and from one restart, to the next.
const HANDOVER_EVERY: u64 = 400;
const RESTART_EVERY: u64 = 700;

/// FNV-1a over 64 bits: stable, and short enough to be read here.
#[derive(Clone, Copy)]
pub struct Digest(pub u64);

impl Digest {
    fn bytes(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    fn number(&mut self, number: i64) {
        self.bytes(&number.to_le_bytes());
    }
}

impl Default for Digest {
    fn default() -> Self {
        Digest(0xcbf2_9ce4_8422_2325)
    }
}

/// How a destination behaves for a while.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    Errors,
    Rejections,
    RejectionsWithWait,
    Unresponsive,
    Unreachable,
    Slow,
    OneClassAtOneEndpoint,
}

/// An attempt that is in flight, and how it is going to end.
struct Flight {
    message: u64,
    attempt: usize,
    endpoint: u32,
    sent: Micros,
    ends_at: Micros,
    outcome: Outcome,
}

struct Past {
    endpoint: u32,
    sent: Micros,
    may_have_run: bool,
}

struct Message {
    new: NewMessage,
    deadline: Micros,
    ended: bool,
    notification_pending: bool,
    attempts: Vec<Past>,
}

/// One sender with the simulated host around it.
pub struct Host {
    number: u64,
    random: Pcg32,
    settings: Settings,
    pub sender: Sender,
    pub now: Micros,
    turn: u64,
    next_message: u64,
    messages: BTreeMap<u64, Message>,
    in_flight: Vec<Flight>,
    timers: BTreeSet<Micros>,
    notifications: BTreeMap<u64, Micros>,
    disabled: BTreeSet<u32>,
    unlisted: BTreeSet<u32>,
    stale: bool,
    local_fault: bool,
    events: Vec<Event>,
    pub digest: Digest,
    /// Actions by the number of their variant.
    pub actions: [u64; 10],
    /// Log actions by what they say.
    pub logged: [u64; 5],
}

impl Host {
    /// A host at its start; scenarios differ in settings, in faults and in what else happens.
    pub fn new(number: u64) -> Self {
        let settings = settings::settings(number);
        let sender = Sender::new(settings.clone(), number + 1000).expect("valid settings");
        let mut host = Host {
            number,
            random: Pcg32::seed_from_u64(number),
            settings,
            sender,
            now: START,
            turn: 0,
            next_message: 0,
            messages: BTreeMap::new(),
            in_flight: Vec::new(),
            timers: BTreeSet::new(),
            notifications: BTreeMap::new(),
            disabled: BTreeSet::new(),
            unlisted: BTreeSet::new(),
            stale: false,
            local_fault: false,
            events: Vec::new(),
            digest: Digest::default(),
            actions: [0; 10],
            logged: [0; 5],
        };
        host.list(ListScope::Stale);
        host
    }

    pub fn run(&mut self, turns: u64) {
        for _ in 0..turns {
            self.run_turn();
        }
    }

    fn below(&mut self, limit: u32) -> u32 {
        self.random.next_u32() % limit
    }

    fn run_turn(&mut self) {
        self.turn += 1;
        let step = Micros::from(5_000 * (1 + self.below(6)));
        let pause = if self.below(400) == 0 { 2 * SECOND } else { 0 };
        self.now += if self.turn.is_multiple_of(50) {
            0
        } else {
            step + pause
        };
        self.restart_or_hand_over();
        self.hand_in();
        self.end_attempts();
        self.deliver_notifications();
        self.change_list();
        self.change_fleet();
        self.change_limits();
        self.command();
        self.notify_of_little();
        while self.timers.first().is_some_and(|&at| at <= self.now) {
            self.timers.pop_first();
            self.events.push(Event::TimerExpired);
        }
        let events = std::mem::take(&mut self.events);
        let mut actions = Vec::new();
        self.sender.handle(self.now, &events, &mut actions);
        self.digest.number(self.now);
        for action in &actions {
            self.record(action);
            self.carry_out(action);
        }
        self.record_state();
        let keep = |message: &Message| !message.ended || message.notification_pending;
        let in_flight: BTreeSet<u64> = self.in_flight.iter().map(|flight| flight.message).collect();
        self.messages
            .retain(|id, message| keep(message) || in_flight.contains(id));
    }

    fn restart_or_hand_over(&mut self) {
        if self.turn.is_multiple_of(HANDOVER_EVERY) {
            self.sender = postcard::from_bytes(&self.state()).expect("its own bytes");
            self.events.push(Event::HostFailing(self.local_fault));
        }
        if !self.turn.is_multiple_of(RESTART_EVERY) || self.number.is_multiple_of(2) {
            return;
        }
        self.sender =
            Sender::new(self.settings.clone(), self.number + self.turn).expect("valid settings");
        self.timers.clear();
        self.stale = false;
        self.local_fault = false;
        self.events.push(Event::Restarted);
        self.list(ListScope::Stale);
        self.in_flight.clear();
        for message in self.messages.values() {
            let new = NewMessage {
                time_left: message.deadline - self.now,
                ..message.new.clone()
            };
            if message.ended && message.notification_pending {
                self.events.push(Event::NotificationPending(new));
            } else if !message.ended {
                let attempts = message.attempts.iter().map(|past| PastAttempt {
                    endpoint: EndpointId(past.endpoint),
                    sent: past.sent,
                    may_have_run: past.may_have_run,
                });
                self.events.push(Event::MessageRestored {
                    message: new,
                    attempts: attempts.collect(),
                });
            }
        }
        self.messages
            .retain(|_, message| !message.ended || message.notification_pending);
    }

    /// The serialized sender, as a handover carries it.
    pub fn state(&self) -> Vec<u8> {
        postcard::to_allocvec(&self.sender).expect("a sender can be serialized")
    }

    fn hand_in(&mut self) {
        let bursts = if self.below(150) == 0 { 20 } else { 0 };
        let arrivals = if self.below(8) == 0 {
            1 + self.below(3)
        } else {
            bursts
        };
        for _ in 0..arrivals {
            let class = self.below(CLASSES) as usize;
            let destination = u64::from(self.below(DESTINATIONS as u32));
            let time = [20 * SECOND, 20 * SECOND, 3 * SECOND][self.below(3) as usize];
            let mut new = NewMessage::new(MessageId(self.next_message), class, destination, time);
            new.key =
                (class >= 4 || self.below(8) == 0).then(|| u64::from(self.random.next_u32() % 4));
            new.tenant = (self.below(2) == 0).then(|| self.random.next_u32() as usize % 2);
            new.resubmitted = self.below(20) == 0;
            new.max_attempts = (self.below(10) == 0).then_some(2);
            let deadline = self.now + time;
            let message = Message {
                new: new.clone(),
                deadline,
                ended: false,
                notification_pending: false,
                attempts: Vec::new(),
            };
            self.messages.insert(self.next_message, message);
            self.next_message += 1;
            self.events.push(Event::Accepted(new));
        }
    }

    fn end_attempts(&mut self) {
        let mut index = 0;
        while index < self.in_flight.len() {
            if self.in_flight[index].ends_at > self.now {
                index += 1;
                continue;
            }
            let flight = self.in_flight.swap_remove(index);
            let report = vec![f64::from(self.below(11)) / 10.0, f64::from(self.below(30))];
            let message = self
                .messages
                .get_mut(&flight.message)
                .expect("kept while in flight");
            message.attempts[flight.attempt].may_have_run = !flight.outcome.never_ran();
            message.ended |= flight.outcome == Outcome::Success;
            self.events.push(Event::AttemptEnded {
                message: MessageId(flight.message),
                attempt: flight.attempt,
                endpoint: EndpointId(flight.endpoint),
                outcome: flight.outcome,
                latency: self.now - flight.sent,
                complete: message.ended,
                report,
            });
            if self.below(40) == 0 {
                let wait = Micros::from(self.below(6_000_000));
                self.events.push(Event::RetryAfter {
                    endpoint: EndpointId(flight.endpoint),
                    wait,
                });
            }
        }
    }

    fn deliver_notifications(&mut self) {
        let due = self
            .notifications
            .iter()
            .filter(|(_, at)| **at <= self.now)
            .map(|(id, _)| *id);
        for id in due.collect::<Vec<_>>() {
            self.notifications.remove(&id);
            if let Some(message) = self.messages.get_mut(&id) {
                message.notification_pending = false;
                self.events
                    .push(Event::NotificationDelivered(MessageId(id)));
            }
        }
    }

    fn entry(&self, endpoint: u32) -> EndpointEntry {
        let destination = u64::from(endpoint / 3);
        EndpointEntry {
            endpoint: EndpointId(endpoint),
            destination,
            zone: (endpoint % 2) as u16,
            kind: (destination % 3) as usize,
            status: EndpointStatus::Serving,
            weight: 5.0 + f64::from(endpoint),
        }
    }

    fn list(&mut self, scope: ListScope) {
        let listed = (0..ENDPOINTS).filter(|endpoint| !self.unlisted.contains(endpoint));
        let entries = listed.map(|endpoint| self.entry(endpoint)).collect();
        self.events.push(Event::EndpointList { scope, entries });
    }

    fn change_list(&mut self) {
        match self.below(600) {
            0..=4 => {
                let endpoint = self.below(ENDPOINTS);
                let mut entry = self.entry(endpoint);
                if !self.unlisted.remove(&endpoint) {
                    entry.status = if self.below(2) == 0 {
                        EndpointStatus::Draining
                    } else {
                        EndpointStatus::Removed
                    };
                    self.unlisted.insert(endpoint);
                }
                self.events.push(Event::EndpointList {
                    scope: ListScope::Changes,
                    entries: vec![entry],
                });
            }
            5 => self.list(ListScope::Full),
            6 | 7 => self.events.push(Event::EndpointListFailed),
            8 => {
                self.stale = !self.stale;
                self.events.push(Event::EndpointListStale(self.stale));
            }
            // what is stale is not for long
            _ if self.stale && self.below(40) == 0 => {
                self.stale = false;
                self.events.push(Event::EndpointListStale(false));
            }
            _ => {}
        }
    }

    fn change_fleet(&mut self) {
        if self.below(120) == 0 {
            let view = FleetView {
                present: 1 + self.below(self.settings.senders * 2),
                suspects: self.below(3) / 2,
                departed: self.below(self.settings.senders),
                agreeing: self.settings.senders,
                isolated: self.below(8) == 0,
            };
            let known = self.below(6) > 0;
            self.events.push(Event::FleetView(known.then_some(view)));
        }
        if self.below(90) == 0 {
            let destination = u64::from(self.below(DESTINATIONS as u32));
            let unavailable = self.below(2) == 0;
            self.events.push(Event::FleetHealth {
                destination,
                unavailable,
            });
        }
    }

    fn change_limits(&mut self) {
        let now = self.now;
        if self.number % 3 == 1 && (self.turn % 300 == 1 || self.below(200) == 0) {
            let quotas = settings::quotas(now, &mut self.random);
            let none = self.below(6) == 0;
            self.events
                .push(Event::Quotas((!none).then(|| Box::new(quotas))));
        }
        if self.number % 4 >= 2 && (self.turn % 300 == 1 || self.below(200) == 0) {
            let agreed = settings::agreed_rules(now, &mut self.random);
            let none = self.below(3) == 0;
            self.events
                .push(Event::AgreedRules((!none).then(|| Box::new(agreed))));
        }
    }

    fn command(&mut self) {
        match self.below(500) {
            0 | 1 => {
                let endpoint = self.below(ENDPOINTS);
                if self.disabled.remove(&endpoint) {
                    self.events.push(Event::Enabled(EndpointId(endpoint)));
                } else {
                    self.disabled.insert(endpoint);
                    self.events.push(Event::Disabled(EndpointId(endpoint)));
                }
            }
            2 => {
                if let Some(endpoint) = self.disabled.pop_first() {
                    self.events.push(Event::Enabled(EndpointId(endpoint)));
                }
            }
            3 => {
                settings::change(&mut self.settings, &mut self.random);
                self.events
                    .push(Event::SettingsChanged(Box::new(self.settings.clone())));
            }
            4 => {
                self.local_fault = !self.local_fault;
                self.events.push(Event::HostFailing(self.local_fault));
            }
            5 if self.turn % RESTART_EVERY > RESTART_EVERY - 100 => {
                self.events.push(Event::ShuttingDown {
                    at: self.now + SECOND,
                });
            }
            _ if self.local_fault && self.below(20) == 0 => {
                self.local_fault = false;
                self.events.push(Event::HostFailing(false));
            }
            _ => {}
        }
    }

    fn notify_of_little(&mut self) {
        match self.below(200) {
            0 => self.events.push(Event::PeerNote {
                from: 1,
                bytes: vec![7; 9],
            }),
            1 => self.events.push(Event::HealthCheckEnded {
                endpoint: EndpointId(2),
                outcome: Outcome::Error,
                report: vec![],
            }),
            2 => {
                let open = self.messages.iter_mut().find(|(_, message)| !message.ended);
                if let Some((&id, message)) = open {
                    message.ended = true;
                    self.events.push(Event::MessageAbandoned(MessageId(id)));
                }
            }
            3 => {
                if let Some(Flight {
                    message, attempt, ..
                }) = self.in_flight.first()
                {
                    let (message, attempt) = (MessageId(*message), *attempt);
                    self.events
                        .push(Event::ResponseStarted { message, attempt });
                }
            }
            _ => {}
        }
    }

    fn fault(&self, destination: u64) -> Fault {
        let period = (self.now / FAULT_PERIOD) as u64;
        match (self.number * 31 + destination * 17 + period * 7919) % 97 % 18 {
            0 => Fault::Errors,
            1 => Fault::Rejections,
            2 => Fault::RejectionsWithWait,
            3 => Fault::Unresponsive,
            4 => Fault::Unreachable,
            5 => Fault::Slow,
            6 => Fault::OneClassAtOneEndpoint,
            _ => Fault::None,
        }
    }

    /// How long an attempt takes, and how it ends.
    fn plan(&mut self, message: u64, endpoint: u32) -> (Micros, Outcome) {
        let quick = Micros::from(20_000 + self.below(100_000));
        let wait = Micros::from(self.below(2_500_000));
        let class = self.messages[&message].new.class;
        match self.fault(u64::from(endpoint / 3)) {
            Fault::Errors if self.below(5) > 0 => (quick, Outcome::Error),
            Fault::Rejections => (5_000, Outcome::Rejected { retry_after: None }),
            Fault::RejectionsWithWait if self.below(3) > 0 => (
                5_000,
                Outcome::Rejected {
                    retry_after: Some(wait),
                },
            ),
            Fault::Unresponsive => (Micros::MAX / 4, Outcome::TimedOut),
            Fault::Unreachable => (1_000, Outcome::NoConnection),
            Fault::Slow => (1_500_000 + quick * 10, Outcome::Success),
            Fault::OneClassAtOneEndpoint if class == 0 && endpoint.is_multiple_of(3) => {
                (Micros::MAX / 4, Outcome::TimedOut)
            }
            _ => match self.below(150) {
                0 => (quick, Outcome::Error),
                1 => (quick, Outcome::Rejected { retry_after: None }),
                2 => (quick, Outcome::Reset),
                3 => (0, Outcome::NotSent { no_slot: true }),
                4 => (0, Outcome::NotSent { no_slot: false }),
                5 => (quick, Outcome::NoConnection),
                6 => (4 * SECOND, Outcome::Success),
                _ => (quick, Outcome::Success),
            },
        }
    }

    fn carry_out(&mut self, action: &Action) {
        match action {
            Action::Send {
                message,
                attempt,
                endpoint,
                expires,
                ..
            } => {
                let (latency, outcome) = self.plan(message.0, endpoint.0);
                let expired = self.now + latency > *expires;
                let known = self.messages.get_mut(&message.0).expect("sent while open");
                assert_eq!(
                    *attempt,
                    known.attempts.len(),
                    "attempts are numbered in order"
                );
                known.attempts.push(Past {
                    endpoint: endpoint.0,
                    sent: self.now,
                    may_have_run: true,
                });
                self.in_flight.push(Flight {
                    message: message.0,
                    attempt: *attempt,
                    endpoint: endpoint.0,
                    sent: self.now,
                    ends_at: if expired {
                        *expires
                    } else {
                        self.now + latency
                    },
                    outcome: if expired { Outcome::TimedOut } else { outcome },
                });
            }
            Action::Cancel { message, attempt } => {
                let ends_at = self.now + 20 * MILLISECOND;
                let same = |flight: &&mut Flight| {
                    (flight.message, flight.attempt) == (message.0, *attempt)
                };
                if let Some(flight) = self.in_flight.iter_mut().find(same)
                    && flight.ends_at > ends_at
                {
                    flight.ends_at = ends_at;
                    flight.outcome = Outcome::Cancelled;
                }
            }
            Action::Reject { message, .. } | Action::Fail(message) => {
                let delay = Micros::from(20_000 + self.below(400_000));
                let known = self.messages.get_mut(&message.0).expect("ended while open");
                known.ended = true;
                // one that was never taken on has nothing to be notified of later
                if self.settings.completion_by_notification {
                    known.notification_pending = true;
                    self.notifications.insert(message.0, self.now + delay);
                }
            }
            Action::SetTimer(at) => drop(self.timers.insert(*at)),
            Action::Subscribe => {
                if self.below(2) == 0 {
                    self.list(ListScope::Full);
                } else {
                    self.events.push(Event::EndpointListFailed);
                }
            }
            _ => {}
        }
    }

    /// Folds one action into the digest: the number of its variant, then its fields. The numbers
    /// are given by hand, so that no name and no order in the program has a part in them.
    fn record(&mut self, action: &Action) {
        let none = i64::MIN;
        let fields: Vec<i64> = match action {
            Action::Send {
                message,
                attempt,
                endpoint,
                expires,
                start_by,
            } => {
                let start_by = start_by.unwrap_or(none);
                vec![
                    0,
                    message.0 as i64,
                    *attempt as i64,
                    i64::from(endpoint.0),
                    *expires,
                    start_by,
                ]
            }
            Action::Cancel { message, attempt } => vec![1, message.0 as i64, *attempt as i64],
            Action::Reject {
                message,
                retry_after,
            } => vec![2, message.0 as i64, retry_after.unwrap_or(none)],
            Action::Fail(message) => vec![3, message.0 as i64],
            Action::SetTimer(at) => vec![4, *at],
            Action::HealthCheck(endpoint) => vec![5, i64::from(endpoint.0)],
            Action::Disconnect(endpoint) => vec![6, i64::from(endpoint.0)],
            Action::Subscribe => vec![7],
            Action::SendNote(bytes) => vec![8, bytes.len() as i64],
            Action::Log(event) => {
                let (kind, destination) = logged(*event);
                self.logged[kind as usize] += 1;
                vec![9, kind, destination]
            }
        };
        self.actions[fields[0] as usize] += 1;
        fields
            .into_iter()
            .for_each(|field| self.digest.number(field));
    }

    fn record_state(&mut self) {
        let numbers = [
            self.sender.candidates_examined() as i64,
            i64::from(self.sender.fleet_size()),
            self.sender.attempts_in_flight() as i64,
        ];
        numbers
            .into_iter()
            .for_each(|number| self.digest.number(number));
        if !self.turn.is_multiple_of(STATE_EVERY) {
            return;
        }
        let state = self.state();
        self.digest.bytes(&state);
        for (destination, demand) in self.sender.demand() {
            let Demand {
                waiting,
                in_flight,
                sent,
                unhealthy,
                failing,
                alive,
            } = demand;
            let flags = i64::from(unhealthy) + 2 * i64::from(failing) + 4 * i64::from(alive);
            let numbers = [
                destination as i64,
                waiting as i64,
                in_flight as i64,
                sent as i64,
                flags,
            ];
            numbers
                .into_iter()
                .for_each(|number| self.digest.number(number));
        }
    }
}

/// What a log action says, and of which destination.
fn logged(event: RouteEvent) -> (i64, i64) {
    match event {
        RouteEvent::Recovering { destination } => (0, destination as i64),
        RouteEvent::Ejected {
            destination,
            reason,
        } => {
            let kind = match reason {
                EjectionReason::Unresponsive => 1,
                EjectionReason::Closed => 2,
                EjectionReason::Failures => 3,
                EjectionReason::FleetHealth => 4,
            };
            (kind, destination as i64)
        }
    }
}
