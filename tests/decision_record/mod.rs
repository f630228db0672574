//! A simulated host with a fixed seed. It drives one sender through faults, changes of the endpoint
//! list, restarts and commands, and adds every action and the serialized state to a digest. All
//! that it does follows from the number of the scenario and from the actions, so two versions with
//! equal digests make equal decisions.

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
/// Time for which a destination keeps the same fault.
const FAULT_PERIOD: Micros = 9 * SECOND;
/// Number of turns from one digest of the serialized state to the next.
const TURNS_PER_STATE_DIGEST: u64 = 100;
/// Number of turns from one handover to the next.
const TURNS_PER_HANDOVER: u64 = 400;
/// Number of turns from one restart to the next.
const TURNS_PER_RESTART: u64 = 700;

/// 64-bit FNV-1a hash of all actions and states. It gives the same value on every platform, and the
/// code for it is short.
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

/// Behaviour of a destination during one fault period.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    Errors,
    Rejections,
    RejectionsWithRetryAfter,
    Unresponsive,
    Unreachable,
    Slow,
    OneClassAtOneEndpoint,
}

/// An attempt in flight, with the time and the outcome with which it will end.
struct AttemptInFlight {
    message: u64,
    attempt: usize,
    endpoint: u32,
    sent: Micros,
    ends_at: Micros,
    outcome: Outcome,
}

struct SentAttempt {
    endpoint: u32,
    sent: Micros,
    may_have_run: bool,
}

struct Message {
    new: NewMessage,
    deadline: Micros,
    ended: bool,
    notification_pending: bool,
    attempts: Vec<SentAttempt>,
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
    in_flight: Vec<AttemptInFlight>,
    timers: BTreeSet<Micros>,
    notifications: BTreeMap<u64, Micros>,
    disabled: BTreeSet<u32>,
    unlisted: BTreeSet<u32>,
    stale: bool,
    host_failing: bool,
    events: Vec<Event>,
    pub digest: Digest,
    /// Number of actions of each variant, by the number under which `record` adds it to the digest.
    pub actions: [u64; 10],
    /// Number of log actions of each kind, by the number that `log_kind` gives it.
    pub log_counts: [u64; 5],
}

impl Host {
    /// Creates the host of scenario `number` before its first turn. Scenarios differ in settings,
    /// faults and other events.
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
            host_failing: false,
            events: Vec::new(),
            digest: Digest::default(),
            actions: [0; 10],
            log_counts: [0; 5],
        };
        host.list(ListScope::Stale);
        host
    }

    pub fn run(&mut self, turns: u64) {
        for _ in 0..turns {
            self.run_turn();
        }
    }

    fn random_below(&mut self, limit: u32) -> u32 {
        self.random.next_u32() % limit
    }

    fn run_turn(&mut self) {
        self.turn += 1;
        let time_step = Micros::from(5_000 * (1 + self.random_below(6)));
        let pause = if self.random_below(400) == 0 {
            2 * SECOND
        } else {
            0
        };
        self.now += if self.turn.is_multiple_of(50) {
            0
        } else {
            time_step + pause
        };
        self.restart_or_hand_over();
        self.submit_messages();
        self.end_attempts();
        self.deliver_notifications();
        self.change_list();
        self.change_fleet();
        self.change_limits();
        self.issue_commands();
        self.add_minor_events();
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
        let in_flight: BTreeSet<u64> = self
            .in_flight
            .iter()
            .map(|attempt_in_flight| attempt_in_flight.message)
            .collect();
        self.messages
            .retain(|id, message| keep(message) || in_flight.contains(id));
    }

    fn restart_or_hand_over(&mut self) {
        if self.turn.is_multiple_of(TURNS_PER_HANDOVER) {
            self.sender = postcard::from_bytes(&self.state()).expect("its own bytes");
            self.events.push(Event::HostFailing(self.host_failing));
        }
        if !self.turn.is_multiple_of(TURNS_PER_RESTART) || self.number.is_multiple_of(2) {
            return;
        }
        self.sender =
            Sender::new(self.settings.clone(), self.number + self.turn).expect("valid settings");
        self.timers.clear();
        self.stale = false;
        self.host_failing = false;
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

    /// Returns the serialized sender, as a handover transfers it.
    pub fn state(&self) -> Vec<u8> {
        postcard::to_allocvec(&self.sender).expect("a sender can be serialized")
    }

    fn submit_messages(&mut self) {
        let burst_size = if self.random_below(150) == 0 { 20 } else { 0 };
        let arrivals = if self.random_below(8) == 0 {
            1 + self.random_below(3)
        } else {
            burst_size
        };
        for _ in 0..arrivals {
            let class = self.random_below(CLASSES) as usize;
            let destination = u64::from(self.random_below(DESTINATIONS as u32));
            let time = [20 * SECOND, 20 * SECOND, 3 * SECOND][self.random_below(3) as usize];
            let mut new = NewMessage::new(MessageId(self.next_message), class, destination, time);
            new.key = (class >= 4 || self.random_below(8) == 0)
                .then(|| u64::from(self.random.next_u32() % 4));
            new.tenant = (self.random_below(2) == 0).then(|| self.random.next_u32() as usize % 2);
            new.resubmitted = self.random_below(20) == 0;
            new.max_attempts = (self.random_below(10) == 0).then_some(2);
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
            let attempt_in_flight = self.in_flight.swap_remove(index);
            let report = vec![
                f64::from(self.random_below(11)) / 10.0,
                f64::from(self.random_below(30)),
            ];
            let message = self
                .messages
                .get_mut(&attempt_in_flight.message)
                .expect("kept while in flight");
            message.attempts[attempt_in_flight.attempt].may_have_run =
                !attempt_in_flight.outcome.never_ran();
            message.ended |= attempt_in_flight.outcome == Outcome::Success;
            self.events.push(Event::AttemptEnded {
                message: MessageId(attempt_in_flight.message),
                attempt: attempt_in_flight.attempt,
                endpoint: EndpointId(attempt_in_flight.endpoint),
                outcome: attempt_in_flight.outcome,
                latency: self.now - attempt_in_flight.sent,
                complete: message.ended,
                report,
            });
            if self.random_below(40) == 0 {
                let delay = Micros::from(self.random_below(6_000_000));
                self.events.push(Event::RetryAfter {
                    endpoint: EndpointId(attempt_in_flight.endpoint),
                    delay,
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
        match self.random_below(600) {
            0..=4 => {
                let endpoint = self.random_below(ENDPOINTS);
                let mut entry = self.entry(endpoint);
                if !self.unlisted.remove(&endpoint) {
                    entry.status = if self.random_below(2) == 0 {
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
            // a stale list becomes current again soon
            _ if self.stale && self.random_below(40) == 0 => {
                self.stale = false;
                self.events.push(Event::EndpointListStale(false));
            }
            _ => {}
        }
    }

    fn change_fleet(&mut self) {
        if self.random_below(120) == 0 {
            let view = FleetView {
                present: 1 + self.random_below(self.settings.senders * 2),
                suspects: self.random_below(3) / 2,
                departed: self.random_below(self.settings.senders),
                agreeing: self.settings.senders,
                isolated: self.random_below(8) == 0,
            };
            let is_view_known = self.random_below(6) > 0;
            self.events
                .push(Event::FleetView(is_view_known.then_some(view)));
        }
        if self.random_below(90) == 0 {
            let destination = u64::from(self.random_below(DESTINATIONS as u32));
            let unavailable = self.random_below(2) == 0;
            self.events.push(Event::FleetHealth {
                destination,
                unavailable,
            });
        }
    }

    fn change_limits(&mut self) {
        let now = self.now;
        if self.number % 3 == 1 && (self.turn % 300 == 1 || self.random_below(200) == 0) {
            let quotas = settings::quotas(now, &mut self.random);
            let none = self.random_below(6) == 0;
            self.events
                .push(Event::Quotas((!none).then(|| Box::new(quotas))));
        }
        if self.number % 4 >= 2 && (self.turn % 300 == 1 || self.random_below(200) == 0) {
            let agreed = settings::agreed_rules(now, &mut self.random);
            let none = self.random_below(3) == 0;
            self.events
                .push(Event::AgreedRules((!none).then(|| Box::new(agreed))));
        }
    }

    fn issue_commands(&mut self) {
        match self.random_below(500) {
            0 | 1 => {
                let endpoint = self.random_below(ENDPOINTS);
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
                self.host_failing = !self.host_failing;
                self.events.push(Event::HostFailing(self.host_failing));
            }
            5 if self.turn % TURNS_PER_RESTART > TURNS_PER_RESTART - 100 => {
                self.events.push(Event::ShuttingDown {
                    at: self.now + SECOND,
                });
            }
            _ if self.host_failing && self.random_below(20) == 0 => {
                self.host_failing = false;
                self.events.push(Event::HostFailing(false));
            }
            _ => {}
        }
    }

    fn add_minor_events(&mut self) {
        match self.random_below(200) {
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
                if let Some(AttemptInFlight {
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
            2 => Fault::RejectionsWithRetryAfter,
            3 => Fault::Unresponsive,
            4 => Fault::Unreachable,
            5 => Fault::Slow,
            6 => Fault::OneClassAtOneEndpoint,
            _ => Fault::None,
        }
    }

    /// Returns how long an attempt takes, and its outcome.
    fn plan_attempt(&mut self, message: u64, endpoint: u32) -> (Micros, Outcome) {
        let quick = Micros::from(20_000 + self.random_below(100_000));
        let wait = Micros::from(self.random_below(2_500_000));
        let class = self.messages[&message].new.class;
        match self.fault(u64::from(endpoint / 3)) {
            Fault::Errors if self.random_below(5) > 0 => (quick, Outcome::Error),
            Fault::Rejections => (5_000, Outcome::Rejected { retry_after: None }),
            Fault::RejectionsWithRetryAfter if self.random_below(3) > 0 => (
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
            _ => match self.random_below(150) {
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
                let (latency, outcome) = self.plan_attempt(message.0, endpoint.0);
                let expired = self.now + latency > *expires;
                let sent_message = self.messages.get_mut(&message.0).expect("sent while open");
                assert_eq!(
                    *attempt,
                    sent_message.attempts.len(),
                    "attempts are numbered in order"
                );
                sent_message.attempts.push(SentAttempt {
                    endpoint: endpoint.0,
                    sent: self.now,
                    may_have_run: true,
                });
                self.in_flight.push(AttemptInFlight {
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
                let is_cancelled = |attempt_in_flight: &&mut AttemptInFlight| {
                    (attempt_in_flight.message, attempt_in_flight.attempt) == (message.0, *attempt)
                };
                if let Some(attempt_in_flight) = self.in_flight.iter_mut().find(is_cancelled)
                    && attempt_in_flight.ends_at > ends_at
                {
                    attempt_in_flight.ends_at = ends_at;
                    attempt_in_flight.outcome = Outcome::Cancelled;
                }
            }
            Action::Reject { message, .. } | Action::Fail(message) => {
                let delay = Micros::from(20_000 + self.random_below(400_000));
                let ended_message = self.messages.get_mut(&message.0).expect("ended while open");
                ended_message.ended = true;
                // a notification follows only if the settings complete messages by notification
                if self.settings.completion_by_notification {
                    ended_message.notification_pending = true;
                    self.notifications.insert(message.0, self.now + delay);
                }
            }
            Action::SetTimer(at) => drop(self.timers.insert(*at)),
            Action::Subscribe => {
                if self.random_below(2) == 0 {
                    self.list(ListScope::Full);
                } else {
                    self.events.push(Event::EndpointListFailed);
                }
            }
            _ => {}
        }
    }

    /// Adds one action to the digest: the number of its variant, then its fields. The numbers are
    /// written out here, so that renamed or reordered variants do not change the digest.
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
                let (kind, destination) = log_kind(*event);
                self.log_counts[kind as usize] += 1;
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
        if !self.turn.is_multiple_of(TURNS_PER_STATE_DIGEST) {
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

/// Returns the kind of a log action as a number, and the destination that it concerns.
fn log_kind(event: RouteEvent) -> (i64, i64) {
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
