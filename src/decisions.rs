//! Every decision of the delivery service. The types, events and actions are in `interface.rs`, the records
//! of messages, attempts, calls and endpoints (plain data) in `state.rs`.
//!
//! Here: the state, `handle` (one turn), messages and lists that come in. In the modules below it, one job
//! each: what `outcomes` tell, `silence`, what rules give `permission` for, the `proposals` of sends and
//! ends, the `pace` of a destination, and the index of what is `held`.

mod held;
mod outcomes;
mod pace;
mod permission;
mod proposals;
mod silence;
pub(crate) mod state;

use crate::backlog::{Index, Standing};
use crate::decisions::state::{
    Attempt, Bucket, Call, Endpoint, Health, KeyLine, PendingMessage, Unit, UnitId, Warmup, seconds,
};
use crate::interface::*;
pub use held::InFlightAttempt;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Copy offset before any latency is known. Shorter finds trouble sooner, longer wastes less.
const FIRST_COPY_DELAY: Micros = SECOND;
/// Window of calls in flight per destination, as shares of the slots: at start, at most, and when sick.
const WINDOW_START: f64 = 0.25;
const WINDOW_MOST: f64 = 0.75;
const WINDOW_SICK: f64 = 0.5;
/// Pace that a first refusal leaves at least, calls a second, and that any leaves to all senders together.
/// Higher retries sooner, lower spares a destination that hundreds of senders share.
const PACE_FIRST: f64 = 0.35;
const PACE_LEAST: f64 = 1.5;
/// Burst of the pace, as a span of it. Longer takes clumps faster, shorter draws fewer refusals.
const PACE_BURST: f64 = 0.4;
const BURST: Micros = 400 * MILLISECOND; // the same of what all share, in whole microseconds
/// Weight of one more outcome in the failure score, and the scores at which a unit turns sick or is trusted.
const FAIL_WEIGHT: f64 = 0.25;
const FAIL_SICK: f64 = 0.55;
const FAIL_TRUST: f64 = 0.25;
/// A unit is silent when a call is out for this many copy offsets, and no shorter than this.
const SILENT_OFFSETS: i64 = 2;
const SILENT_LEAST: Micros = SECOND;
/// Senders that hear of a limit almost as soon as one alone does. Higher lets a larger fleet act as a few do.
const FEW_SENDERS: f64 = 4.0;
/// Part of the fail-back budget that is used. Higher returns sooner, lower leaves room for other senders.
const BUDGET_SHARE: f64 = 0.7;
/// Parts of a rough listed rate, half too high or too low, that a destination takes when warm: surely, and at
/// most. Higher returns and works backlogs off sooner, lower spares one that is listed too high.
const LISTED_SURE: f64 = 0.75;
const LISTED_MOST: f64 = 1.5;
/// Rest before a message is tried resubmitted: first, and at most. Longer spares attempts, shorter saves time.
const RETRY_FIRST: Micros = 150 * MILLISECOND;
const RETRY_MOST: Micros = 2 * SECOND;
/// Time kept before a deadline for a last answer, and before a keyed window or a wait ends.
pub const DEADLINE_MARGIN: Micros = 30 * MILLISECOND;
/// Part of the aim up to which a message gets more urgent.
const AIM_RISES: f64 = 0.9;
/// Backoff of a failed subscription: first and most.
const LIST_FIRST: Micros = 300 * MILLISECOND;
const LIST_MOST: Micros = 4 * SECOND;
/// Span of a tenant's token bucket, seconds of its share.
const TENANT_BURST: f64 = 2.0;
/// Messages beyond that which chance may bring one in a crowd: more sees excess late, fewer where none is.
const TENANT_CHANCE: f64 = 4.0;

/// The decisions of one sender. All that it knows can be written down and read back by the next process.
#[derive(Debug, Serialize, Deserialize)]
pub struct Sender {
    settings: Settings,
    random: Pcg32,
    now: Micros,
    alarm: Micros,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    routes: BTreeMap<DestinationId, BTreeSet<EndpointId>>,
    units: BTreeMap<UnitId, Unit>,
    messages: BTreeMap<MessageId, PendingMessage>,
    keys: BTreeMap<u64, KeyLine>,
    /// Until when no key's message starts, since an earlier life may have given up a call of any.
    keys_rest_until: Micros,
    calls: BTreeMap<u64, Call>,
    next_call: u64,
    copies_out: usize,
    /// For each kind of destination, how often calls lately found no connection.
    crowded: BTreeMap<usize, f64>,
    tenant_tokens: Vec<(f64, Micros)>,
    list_retry: Option<Micros>,
    list_rest: Micros,
    /// When the process will end, once that is known: no next process's affair.
    #[serde(skip)]
    ends: Option<Micros>,
    /// The next time at which something may be due; the alarm is set by it.
    due: Micros,
    /// The senders that all is scaled by, and what is known of the others, since when.
    counted: u32,
    fleet: Option<FleetView>,
    fleet_since: Micros,
    agreed: Option<Box<AgreedRules>>,
    /// The list may be older than what counts as told.
    stale: bool,
    /// This machine can't write down what is sent: the next process finds out for itself.
    #[serde(skip)]
    host_failing: bool,
    /// What limits that all senders share leave to this one, and the calls that they allow now.
    quotas: Option<Box<Quotas>>,
    buckets: BTreeMap<DestinationId, Bucket>,
    /// Messages for which an endpoint was looked for in the last turn.
    #[serde(skip)]
    weighed: usize,
    /// Where the held messages stand.
    #[serde(skip)]
    index: Index,
    /// Calls in flight of units that lag or are sick, as far as this turn has come.
    #[serde(skip)]
    burdens: usize,
}

impl Sender {
    /// A sender that knows nothing yet.
    ///
    /// # Errors
    /// When the settings make no sense.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let list_retry = settings.list_by_subscription.then_some(Micros::MIN);
        let tenant_tokens = settings.tenants.iter().map(|_| (f64::MAX, 0)).collect();
        Ok(Sender {
            counted: settings.senders,
            fleet: None,
            fleet_since: 0,
            agreed: None,
            stale: false,
            host_failing: false,
            quotas: None,
            buckets: BTreeMap::new(),
            settings,
            random: Pcg32::seed_from_u64(seed),
            now: 0,
            alarm: Micros::MAX,
            endpoints: BTreeMap::new(),
            routes: BTreeMap::new(),
            units: BTreeMap::new(),
            messages: BTreeMap::new(),
            keys: BTreeMap::new(),
            keys_rest_until: 0,
            calls: BTreeMap::new(),
            next_call: 0,
            copies_out: 0,
            crowded: BTreeMap::new(),
            tenant_tokens,
            list_retry,
            list_rest: LIST_FIRST,
            ends: None,
            due: Micros::MAX,
            weighed: 0,
            index: Index::default(),
            burdens: 0,
        })
    }

    /// The settings as they are now.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// One turn: takes in all events, then appends what to do. The time never goes backwards.
    pub fn handle(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.alarm = if self.alarm <= self.now {
            Micros::MAX
        } else {
            self.alarm
        };
        let was_held_back = self.is_held_back();
        self.build_index_once();
        for event in events {
            self.learn(event, actions);
        }
        let released = was_held_back && !self.is_held_back();
        if released
            || events
                .iter()
                .any(|event| matches!(event, Event::MessageRestored { .. }))
        {
            self.spread_backlog(released);
        }
        self.due = Micros::MAX;
        self.count_senders();
        actions.extend(
            self.list_retry
                .take_if(|at| *at <= self.now)
                .map(|_| Action::Subscribe),
        );
        self.look_for_silence(actions);
        self.end_hopeless(actions);
        self.send_due(actions);
        self.set_alarm(actions);
        #[cfg(debug_assertions)]
        self.check_index();
    }

    fn learn(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::AgreedRules(agreed) => self.agreed = agreed.clone(),
            Event::EndpointListStale(stale) => self.stale = *stale,
            Event::HostFailing(failing) => self.host_failing = *failing,
            Event::Quotas(quotas) => self.share(quotas.clone()),
            Event::FleetHealth {
                destination,
                unavailable,
            } => self.hear(*destination, *unavailable, actions),
            Event::FleetView(view) => {
                // who holds a view may grow; what is seen must stand
                let seen = |view: FleetView| FleetView {
                    agreeing: 0,
                    ..view
                };
                if view.map(seen) != self.fleet.map(seen) {
                    self.fleet_since = self.now;
                }
                self.fleet = *view;
            }
            Event::EndpointList { scope, entries } => self.learn_list(*scope, entries),
            Event::EndpointListFailed => {
                let jitter = Micros::from(self.random.next_u32()) % self.list_rest;
                self.list_retry = Some(self.now + self.list_rest / 2 + jitter);
                self.list_rest = (self.list_rest * 2).min(LIST_MOST);
            }
            Event::Accepted(message) => {
                if self.index.open()
                    < self.most(|bounds| bounds.max_messages, self.settings.max_pending)
                    && self.bound(message.class).is_none_or(|bound| bound.accepted)
                {
                    self.accept(message);
                } else {
                    actions.push(Action::Reject {
                        message: message.id,
                        retry_after: self.client_wait(),
                    });
                }
            }
            Event::MessageRestored { message, attempts } => self.resume(message, attempts),
            Event::Restarted => self.keys_rest_until = self.now + self.settings.safety.key_backoff,
            Event::NotificationPending(message) => {
                self.accept(message);
                let ended = |held: &mut PendingMessage| (held.open, held.unnoticed) = (false, true);
                self.messages.entry(message.id).and_modify(ended);
                self.reindex(message.id);
            }
            Event::NotificationDelivered(message) => {
                self.messages
                    .entry(*message)
                    .and_modify(|held| held.unnoticed = false);
                self.forget_if_done(*message);
            }
            Event::SettingsChanged(settings) => {
                let same = settings.senders == self.settings.senders;
                self.counted = if same { self.counted } else { settings.senders };
                self.settings = (**settings).clone();
                self.tenant_tokens
                    .resize(self.settings.tenants.len(), (f64::MAX, 0));
                self.rebuild_index(); // other effects end other messages
            }
            Event::Disabled(endpoint) => {
                let known = self.endpoints.entry(*endpoint).or_default();
                (known.out, known.warmup) = (true, None);
                actions.push(Action::Disconnect(*endpoint));
            }
            Event::Enabled(endpoint) => {
                let warmup = Warmup::new(self.now);
                if let Some(known) = self.endpoints.get_mut(endpoint).filter(|known| known.out) {
                    (known.out, known.warmup) = (false, Some(warmup));
                    known.classes.clear(); // it may be another process by now
                }
                actions.push(Action::Disconnect(*endpoint));
                self.forget_gone();
            }
            Event::ShuttingDown { at } => self.ends = Some(*at),
            Event::RetryAfter { endpoint, wait } => {
                let id = self.unit_of(*endpoint);
                self.heed(id, *wait, actions);
            }
            Event::AttemptEnded {
                message,
                attempt,
                outcome,
                latency,
                complete,
                report,
                ..
            } => {
                self.learn_outcome(*message, *attempt, *outcome, *latency, report, actions);
                if *outcome == Outcome::Success || *complete {
                    self.close(*message, actions);
                }
                self.forget_if_done(*message);
            }
            Event::MessageAbandoned(message) => {
                self.close(*message, actions);
                self.forget_if_done(*message);
            }
            Event::ResponseStarted { .. }
            | Event::HealthCheckEnded { .. }
            | Event::PeerNote { .. }
            | Event::TimerExpired => {}
        }
    }

    /// The number of senders that all is scaled by. Guards destinations against senders that hear less and
    /// grow bolder: it falls below the configured number only once nobody is suspect, a majority of the
    /// configured is known to hold just this view, and it has stood for the cold time; it rises at once, and
    /// is the configured one in a minority and in doubt. Senders never heard of count as living. Could starve
    /// a destination for that time after many have gone.
    fn count_senders(&mut self) {
        let (configured, before) = (self.settings.senders, self.counted);
        let target = self.fleet.map_or(configured, |view| {
            let minority = view.present.saturating_mul(2) <= configured;
            let gone = if view.isolated || minority {
                0
            } else {
                view.departed
            };
            view.present.max(configured.saturating_sub(gone)).max(1)
        });
        let sure = self
            .fleet
            .is_some_and(|view| view.suspects == 0 && view.agreeing.saturating_mul(2) > configured);
        let stands = self.fleet_since + self.settings.safety.warm_up_time;
        if target < before && !(sure && stands <= self.now) {
            self.due = if sure { self.due.min(stands) } else { self.due };
            return;
        }
        if target == before {
            return;
        }
        self.counted = target;
        let part = f64::from(before) / f64::from(target);
        for unit in self.units.values_mut() {
            (unit.share, unit.listed) = (unit.share * part, unit.listed * part);
            if part < 1.0 {
                // others are back: what was theirs is given up, and only successes bring it again
                (unit.pace, unit.best_rate) = (unit.pace * part, unit.best_rate * part);
            }
        }
    }

    fn learn_list(&mut self, scope: ListScope, entries: &[EndpointEntry]) {
        if scope != ListScope::Stale {
            self.list_rest = LIST_FIRST;
        }
        if scope != ListScope::Changes {
            self.endpoints
                .values_mut()
                .for_each(|known| known.serving = false);
        }
        for entry in entries {
            let known = self.endpoints.entry(entry.endpoint).or_default();
            let moved = (known.destination, known.kind) != (entry.destination, entry.kind);
            if moved && let Some(routes) = self.routes.get_mut(&known.destination) {
                routes.remove(&entry.endpoint);
            }
            known.update(entry);
            self.routes
                .entry(entry.destination)
                .or_default()
                .insert(entry.endpoint);
            let id = self.unit_of(entry.endpoint);
            let weight = if entry.weight.is_finite() {
                entry.weight.max(0.0)
            } else {
                0.0
            };
            let told = self.settings.weight_trust * weight / f64::from(self.counted);
            let listed = if told > 0.0 {
                told / self.settings.weight_trust
            } else {
                0.0
            };
            let unit = self.unit(id);
            (unit.share, unit.best_rate, unit.listed) = (told, unit.best_rate.max(told), listed);
        }
        self.forget_gone();
    }

    /// Forgets endpoints that no held message tried, units without calls, and idle keys, when they are gone.
    fn forget_gone(&mut self) {
        let attempts = self.messages.values().flat_map(|message| &message.attempts);
        let tried: BTreeSet<EndpointId> = attempts.map(|attempt| attempt.endpoint).collect();
        self.endpoints
            .retain(|id, known| known.serving || known.out || tried.contains(id));
        let known = &self.endpoints;
        self.routes
            .values_mut()
            .for_each(|routes| routes.retain(|id| known.contains_key(id)));
        self.routes.retain(|_, routes| !routes.is_empty());
        let (now, routes) = (self.now, &self.routes);
        self.units.retain(|(destination, route), unit| {
            let listed = routes
                .get(destination)
                .is_some_and(|ids| route.is_none_or(|id| ids.contains(&id)));
            listed || unit.in_flight > 0 || unit.wait_until > now
        });
        self.keys
            .retain(|_, line| !line.turn.is_empty() || line.rest_until > now);
    }

    fn accept(&mut self, new: &NewMessage) {
        let deadline = self.now + new.time_left;
        let class = self.settings.classes.get(new.class);
        let (mut priority_weight, ordered) =
            class.map_or((1.0, false), |class| (class.priority_weight, class.ordered));
        let born = class.map_or(self.now, |class| deadline - class.deadline);
        if let Some(tenant) = new
            .tenant
            .and_then(|index| self.settings.tenants.get(index))
        {
            let senders = f64::from(self.counted);
            let (rate, crowd) = (tenant.allowance / senders, crowd(senders));
            let (tokens, at) = &mut self.tenant_tokens[new.tenant.unwrap_or_default()];
            // a few messages at one of many senders are chance, not a tenant beyond its share
            let burst = (rate * TENANT_BURST).max(1.0 + TENANT_CHANCE * crowd);
            *tokens = (*tokens + rate * seconds(self.now - *at)).min(burst);
            *at = self.now;
            let within = *tokens >= 1.0;
            *tokens -= f64::from(u8::from(within));
            priority_weight *= if within {
                1.0
            } else {
                self.settings.over_share_weight
            };
        }
        let key = new
            .key
            .filter(|_| ordered || self.bound(new.class).is_some_and(|bound| bound.ordered));
        if let Some(key) = key {
            self.keys.entry(key).or_default().turn.push_back(new.id);
            if self.keys.len() > 2 * self.settings.max_pending {
                self.forget_gone();
            }
        }
        let mut held = PendingMessage {
            key,
            created_at: born,
            deadline,
            priority_weight,
            open: true,
            ..PendingMessage::default()
        };
        (held.class, held.destination, held.retry_rest) = (new.class, new.destination, RETRY_FIRST);
        held.most_attempts = new.max_attempts.unwrap_or(self.settings.max_attempts);
        if let Some(mut before) = self.messages.insert(new.id, held) {
            self.index.set(new.id, &mut before, Standing::default());
        }
        self.reindex(new.id);
    }

    /// Takes a message back after a restart. Its calls ended with the old process; those with no known
    /// outcome may have run. All count as overlapped: nobody knows the order of their ends, and a window of a
    /// key must count from the first.
    fn resume(&mut self, message: &NewMessage, attempts: &[PastAttempt]) {
        self.accept(message);
        let rest_until = self.now + self.key_backoff(message.class);
        let Some(held) = self.messages.get_mut(&message.id) else {
            return;
        };
        held.attempts.extend(attempts.iter().map(Attempt::resumed));
        let unsure = attempts.iter().any(|past| past.may_have_run);
        let line = held
            .key
            .filter(|_| unsure)
            .and_then(|key| self.keys.get_mut(&key));
        line.into_iter()
            .for_each(|line| line.rest_until = line.rest_until.max(rest_until));
        self.reindex(message.id);
    }

    /// Paces what has waited while nothing could be sent by the even share of the listed rate. Guards limits
    /// against backlogs of hundreds of senders at one moment; could slow down one with most of the traffic.
    /// What is resumed spreads each unit once, `released` messages each time.
    fn spread_backlog(&mut self, released: bool) {
        let waiting: BTreeSet<_> = self
            .messages
            .values()
            .map(|held| held.destination)
            .collect();
        let contended = self.crowd() > 0.0;
        for (_, unit) in self
            .units
            .iter_mut()
            .filter(|(id, _)| contended && waiting.contains(&id.0))
        {
            if unit.listed > 0.0
                && unit.health == Health::Well
                && (released || unit.pace.is_infinite())
            {
                unit.pace = unit.pace.min(unit.best_rate.max(unit.listed * LISTED_MOST));
                unit.tokens = f64::from(self.random.next_u32()) / f64::from(u32::MAX);
                unit.tokens_at = self.now;
            }
        }
    }

    // ---- small lookups -----------------------------------------------------------------------

    /// What a repeat does, and no more than agreed rules allow.
    fn effect(&self, class: usize) -> Effect {
        let own = self.own_effect(class);
        self.bound(class)
            .map_or(own, |bound| own.intersection(bound.effect))
    }

    /// What agreed rules allow a class now, if there are any. Guards against senders that contradict each
    /// other; could starve a class that the rules do not name.
    fn bound(&self, class: usize) -> Option<ClassBounds> {
        let bounds = self.agreed.as_ref()?.at(self.now);
        let name = self
            .settings
            .classes
            .get(class)
            .map_or("", |class| &class.name);
        Some(
            bounds
                .classes
                .get(name)
                .copied()
                .unwrap_or(ClassBounds::NOTHING),
        )
    }

    /// A limit of the settings, or a lower one of agreed rules.
    fn most(&self, limit: impl Fn(&RuleBounds) -> Option<usize>, own: usize) -> usize {
        let agreed = self
            .agreed
            .as_ref()
            .and_then(|agreed| limit(agreed.at(self.now)));
        agreed.map_or(own, |most| most.min(own))
    }

    fn key_backoff(&self, class: usize) -> Micros {
        self.settings
            .safety
            .key_backoff
            .max(self.bound(class).map_or(0, |bound| bound.key_backoff))
    }

    fn own_effect(&self, class: usize) -> Effect {
        self.settings
            .classes
            .get(class)
            .map_or(Effect::NonIdempotent, |class| class.effect)
    }

    fn unit_of(&self, endpoint: EndpointId) -> UnitId {
        let Some(known) = self.endpoints.get(&endpoint) else {
            return (0, Some(endpoint));
        };
        let apart = self
            .settings
            .kinds
            .get(known.kind)
            .is_some_and(|kind| kind.separate_routes);
        (known.destination, apart.then_some(endpoint))
    }

    /// The part of all senders that has not heard yet what this one has; none where they are few.
    fn crowd(&self) -> f64 {
        crowd(f64::from(self.counted))
    }

    /// A random part of one token, so that senders do not all start at once.
    fn phase(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }

    fn unit(&mut self, id: UnitId) -> &mut Unit {
        let (window, now) = (
            share_of(self.settings.call_slots, WINDOW_START) as f64,
            self.now,
        );
        let (pace, tokens, tokens_at, since) = (f64::INFINITY, 1.0, now, now);
        let new = || Unit {
            window,
            pace,
            tokens,
            tokens_at,
            since,
            succeeded: true,
            ..Unit::default()
        };
        self.units.entry(id).or_insert_with(new)
    }
}

/// The part of so many senders that has not heard yet what one has; none where they are few.
fn crowd(senders: f64) -> f64 {
    (1.0 - FEW_SENDERS / senders).max(0.0)
}

fn share_of(slots: usize, share: f64) -> usize {
    ((slots as f64 * share).floor() as usize).max(1)
}
