//! The decision module alone, in passed-in time: destinations that are down hold the backlog, messages arrive, calls
//! end, alarms ring, and each of these is a turn of its own.

use super::resources::{Memory, bytes_each, thread_time};
use anyhow::{Context, ensure};
use clap::Args;
use message_sender::{
    Action, Class, DestinationId, Effect, EndpointEntry, EndpointId, Event, Kind, ListScope,
    MILLISECOND, MessageId, Micros, NewMessage, Outcome, PastAttempt, SECOND, Sender, Settings,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::Duration;

/// The fleet at the target: senders, and events a second of all.
/// Where limits are shared a sender with a long list looks at its demand a quarter of a lease of 1.5 s after the last time.
const LOOK_EVERY_S: f64 = 0.375;
const SENDERS: u32 = 2_100;
const FLEET_RATE: f64 = 630_000.0;
/// When the list comes; later than any span that the decisions look back.
const START: Micros = 100 * SECOND;
/// How long a call to a destination that is up takes.
const LATENCY: Micros = 50 * MILLISECOND;
/// A machine that is gone answers no handshake: the sender gives up after its dial timeout.
const DIAL_TIMEOUT: Micros = 500 * MILLISECOND;
/// Slots for each second of calls that a sender keeps busy, as deployments have it.
const SLOTS_PER_CALL: f64 = 2.2;
/// Held messages are kept for hours, so that none ends while this is measured.
const KEPT: Micros = 4 * 3600 * SECOND;
/// Room beyond the backlog: the policy begins to refuse at 85% of the most that is held.
const HELD_ROOM: f64 = 1.3;

/// Sizes.
#[derive(Debug, Args)]
pub struct Order {
    /// Destinations that are listed, of one endpoint each.
    #[arg(long)]
    destinations: u32,
    /// Messages held at the start, all of destinations that are down.
    #[arg(long)]
    backlog: u64,
    /// Share of the destinations that are down, at least one.
    #[arg(long, default_value_t = 0.015)]
    down: f64,
    /// Share of the held messages that were tried once.
    #[arg(long, default_value_t = 0.5)]
    tried: f64,
    /// Messages that arrive a second, over all destinations alike.
    #[arg(long, default_value_t = 300)]
    rate: u32,
    /// Seconds of passed-in time.
    #[arg(long, default_value_t = 10)]
    seconds: u32,
    /// Seconds of processor time after which it stops before.
    #[arg(long, default_value_t = 60)]
    most: u32,
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// What was measured.
#[derive(Debug, Serialize)]
pub struct Figures {
    measure: &'static str,
    destinations: u32,
    down: u32,
    backlog: u64,
    /// Passed-in time that was played, and whether the processor time ran out before all of it was.
    played_s: f64,
    stopped: bool,
    turns: usize,
    turn_median_us: f64,
    turn_p99_us: f64,
    turn_max_us: f64,
    /// Processor time for each second of passed-in time.
    cores: f64,
    /// Processor time of one look at what each destination could use, and at those that are in use, as for a long list.
    demand_us: f64,
    demand_in_use_us: f64,
    /// Destinations that are in use.
    in_use: usize,
    bytes_per_destination: f64,
    bytes_per_message: f64,
    resident_kib: u64,
    /// Calls to destinations that are down, and to others, a second.
    calls_down_per_s: f64,
    calls_up_per_s: f64,
    delivered: usize,
    /// Not delivered when it ended.
    held: usize,
}

/// Measures a backlog of one size.
///
/// # Errors
/// Sizes that make no sense.
pub fn measure(order: &Order) -> anyhow::Result<Figures> {
    ensure!(
        order.destinations > 0 && order.rate > 0,
        "there must be destinations and messages"
    );
    ensure!(
        (0.0..=1.0).contains(&order.down) && (0.0..=1.0).contains(&order.tried),
        "shares are 0 to 1"
    );
    let before = Memory::own()?;
    let mut play = Play::new(order)?;
    play.list(order);
    let listed = Memory::own()?;
    play.fill(order);
    let filled = Memory::own()?;
    let begin = play.now;
    play.turns.clear();
    play.run(order);
    let began = thread_time();
    let demand = play.sender.demand().len();
    let demand_us = (thread_time() - began).as_secs_f64() * 1e6;
    ensure!(
        demand >= order.destinations as usize,
        "every listed destination has a demand"
    );
    let played_s = (play.now - begin).max(1) as f64 / SECOND as f64;
    let busy: Duration = play.turns.iter().sum();
    play.turns.sort_unstable();
    let ranked = |part: f64| {
        let rank =
            ((play.turns.len() as f64 * part) as usize).min(play.turns.len().saturating_sub(1));
        play.turns
            .get(rank)
            .map_or(0.0, |turn| turn.as_secs_f64() * 1e6)
    };
    let mut figures = Figures {
        measure: "decisions",
        destinations: order.destinations,
        down: play.down,
        backlog: order.backlog,
        played_s,
        stopped: play.stopped,
        turns: play.turns.len(),
        turn_median_us: ranked(0.5),
        turn_p99_us: ranked(0.99),
        turn_max_us: ranked(1.0),
        cores: busy.as_secs_f64() / played_s,
        demand_us,
        demand_in_use_us: 0.0,
        in_use: 0,
        bytes_per_destination: bytes_each(before, listed, order.destinations.into()),
        bytes_per_message: bytes_each(listed, filled, order.backlog),
        resident_kib: filled.resident_kib,
        calls_down_per_s: play.calls_down as f64 / played_s,
        calls_up_per_s: play.calls_up as f64 / played_s,
        delivered: play.delivered,
        held: play.messages.len(),
    };
    (figures.demand_in_use_us, figures.in_use) = play.demand_in_use(order);
    Ok(figures)
}

/// A call whose end is to come: when, its message, attempt and endpoint, and when it was sent.
type Call = Reverse<(Micros, MessageId, usize, EndpointId, Micros)>;

/// The module, and what happens to it.
struct Play {
    sender: Sender,
    now: Micros,
    /// Destinations from 0 up to this one are down.
    down: u32,
    random: Pcg32,
    /// Attempts of each message that is held.
    messages: HashMap<MessageId, usize>,
    next_message: u64,
    calls: BinaryHeap<Call>,
    /// Calls that were called off, and the time of that.
    cancelled: BTreeMap<(MessageId, usize), Micros>,
    alarm: Micros,
    turns: Vec<Duration>,
    calls_down: usize,
    calls_up: usize,
    delivered: usize,
    stopped: bool,
}

impl Play {
    fn new(order: &Order) -> anyhow::Result<Self> {
        let sender = Sender::new(settings(order), order.seed).context("settings")?;
        let down = (f64::from(order.destinations) * order.down).ceil().max(1.0) as u32;
        Ok(Play {
            sender,
            now: START,
            down,
            random: Pcg32::seed_from_u64(order.seed),
            messages: HashMap::new(),
            next_message: 0,
            calls: BinaryHeap::new(),
            cancelled: BTreeMap::new(),
            alarm: Micros::MAX,
            turns: Vec::new(),
            calls_down: 0,
            calls_up: 0,
            delivered: 0,
            stopped: false,
        })
    }

    fn list(&mut self, order: &Order) {
        let weight = FLEET_RATE / f64::from(order.destinations);
        let entry = |number| EndpointEntry {
            weight,
            ..EndpointEntry::new(EndpointId(number), u64::from(number))
        };
        let entries = (0..order.destinations).map(entry).collect();
        self.turn(&[Event::EndpointList {
            scope: ListScope::Full,
            entries,
        }]);
        let unavailable = true;
        let words: Vec<Event> = (0..self.down)
            .map(|number| Event::FleetHealth {
                destination: number.into(),
                unavailable,
            })
            .collect();
        self.turn(&words);
    }

    /// Takes the backlog back as after a restart.
    fn fill(&mut self, order: &Order) {
        let mut events = Vec::new();
        for number in 0..order.backlog {
            let endpoint = (number % u64::from(self.down)) as u32;
            let tried = (number as f64 * order.tried).fract() + order.tried >= 1.0;
            let past = PastAttempt {
                endpoint: EndpointId(endpoint),
                sent: START,
                may_have_run: false,
            };
            let attempts = if tried { vec![past] } else { Vec::new() };
            let message = self.message(endpoint.into());
            self.messages.insert(message.id, attempts.len());
            events.push(Event::MessageRestored { message, attempts });
        }
        self.turn(&events);
    }

    fn message(&mut self, destination: DestinationId) -> NewMessage {
        let id = MessageId(self.next_message);
        self.next_message += 1;
        NewMessage::new(id, self.random.random_range(0..3), destination, KEPT)
    }

    /// Plays arrivals, ends of calls and alarms, each in a turn of its own.
    fn run(&mut self, order: &Order) {
        let (begin, most) = (self.now, Duration::from_secs(order.most.into()));
        let end = begin + Micros::from(order.seconds) * SECOND;
        let arrival = |number: i64| begin + number * SECOND / Micros::from(order.rate);
        let (mut arrivals, mut busy) = (1, Duration::ZERO);
        loop {
            let call = self.calls.peek().map_or(Micros::MAX, |call| call.0.0);
            let next = call.min(self.alarm).min(arrival(arrivals));
            if next >= end {
                self.now = end;
                return;
            }
            if busy >= most {
                self.stopped = true;
                return;
            }
            self.now = self.now.max(next);
            let event = if call == next {
                self.end_call()
            } else if self.alarm == next {
                self.alarm = Micros::MAX;
                Some(Event::TimerExpired)
            } else {
                arrivals += 1;
                let destination = self.random.random_range(0..order.destinations);
                let message = self.message(destination.into());
                self.messages.insert(message.id, 0);
                Some(Event::Accepted(message))
            };
            if let Some(event) = event {
                busy += self.turn(&[event]);
            }
        }
    }

    /// Microseconds of a look at the demand in use, and how many destinations that is, a quarter of a lease of arrivals after
    /// the look before.
    fn demand_in_use(&mut self, order: &Order) -> (f64, usize) {
        self.turn(&[Event::Quotas(Some(Box::default()))]);
        self.sender.demand_in_use(0);
        for _ in 0..(f64::from(order.rate) * LOOK_EVERY_S).ceil() as u32 {
            let destination = self.random.random_range(0..order.destinations);
            let message = self.message(destination.into());
            self.turn(&[Event::Accepted(message)]);
        }
        let began = thread_time();
        let (_, demand) = self.sender.demand_in_use(0);
        ((thread_time() - began).as_secs_f64() * 1e6, demand.len())
    }

    /// The end of the call that ends first; none if it was called off, which has been told.
    fn end_call(&mut self) -> Option<Event> {
        let Reverse((_, message, attempt, endpoint, sent)) = self.calls.pop()?;
        let (outcome, latency) = match self.cancelled.remove(&(message, attempt)) {
            Some(at) => (Outcome::Cancelled, at - sent),
            None if endpoint.0 < self.down => (Outcome::NoConnection, DIAL_TIMEOUT),
            None => (Outcome::Success, LATENCY),
        };
        if outcome == Outcome::Success {
            self.delivered += usize::from(self.messages.remove(&message).is_some());
        }
        let complete = outcome == Outcome::Success;
        Some(Event::AttemptEnded {
            message,
            attempt,
            endpoint,
            outcome,
            latency,
            complete,
            report: Vec::new(),
        })
    }

    fn turn(&mut self, events: &[Event]) -> Duration {
        let mut actions = Vec::new();
        let began = thread_time();
        self.sender.handle(self.now, events, &mut actions);
        let spent = thread_time() - began;
        self.turns.push(spent);
        actions
            .into_iter()
            .for_each(|action| self.carry_out(action));
        spent
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send {
                message, endpoint, ..
            } => {
                let attempts = self.messages.entry(message).or_default();
                let is_down = endpoint.0 < self.down;
                let lasts = if is_down { DIAL_TIMEOUT } else { LATENCY };
                self.calls.push(Reverse((
                    self.now + lasts,
                    message,
                    *attempts,
                    endpoint,
                    self.now,
                )));
                *attempts += 1;
                self.calls_down += usize::from(is_down);
                self.calls_up += usize::from(!is_down);
            }
            Action::Cancel { message, attempt } => {
                self.cancelled.insert((message, attempt), self.now);
            }
            Action::Reject { message, .. } | Action::Fail(message) => {
                self.messages.remove(&message);
            }
            Action::SetTimer(at) => self.alarm = at,
            _ => {}
        }
    }
}

fn settings(order: &Order) -> Settings {
    let busy = f64::from(order.rate) * LATENCY as f64 / SECOND as f64;
    let held = (order.backlog as f64 * HELD_ROOM) as usize + 1_000;
    let mut settings = Settings::new((busy * SLOTS_PER_CALL).ceil().max(3.0) as usize, held);
    settings.senders = SENDERS;
    settings.max_attempts = 1_000;
    settings.weight_trust = 0.5;
    settings.connection_idle_timeout = 10 * SECOND;
    let keyed = Effect::IdempotencyKey {
        window: 10 * SECOND,
        same_zone_only: false,
    };
    for (name, effect) in [
        ("repeatable", Effect::Idempotent),
        ("keyed", keyed),
        ("unsafe", Effect::NonIdempotent),
    ] {
        let class = Class::new(name, effect, 4 * SECOND, KEPT);
        settings.classes.push(Class {
            late_share: 0.1,
            ..class
        });
    }
    settings.kinds.push(Kind {
        name: "one".into(),
        separate_routes: false,
        bundle_max: 1,
    });
    settings
}
