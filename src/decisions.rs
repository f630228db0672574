//! Every decision of the delivery service.
//!
//! [`Sender::handle`] is one turn: it applies all events, then appends the actions that follow.
//! Each module below decides one thing; `state` holds the records that they share. There is no
//! socket and no clock here: the same events always give the same actions.

mod admission;
mod concurrency_limit;
mod connection_scarcity;
mod demand;
mod dispatch;
mod endpoint_list;
mod expiry;
mod fleet_size;
mod hedging;
mod key_ordering;
mod message_index;
mod outcomes;
mod outlier_detection;
mod permission;
mod priority;
mod quotas;
mod rate_limit;
mod retry;
mod routing;
mod slow_start;
pub(crate) mod state;
mod timer;

pub use demand::InFlightAttempt;
pub use expiry::DEADLINE_MARGIN;

use crate::interface::{
    Action, AgreedRules, DestinationId, EndpointId, Event, FleetView, MessageId, Micros, Quotas,
    Settings, SettingsError,
};
use crate::message_index::MessageIndex;
use outcomes::AttemptResult;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use serde::{Deserialize, Serialize};
use state::{Call, Endpoint, KeyQueue, PendingMessage, QuotaBucket, Route, RouteId, TokenBucket};
use std::collections::{BTreeMap, BTreeSet};

/// The decisions of one sender. It can be serialized, and another process goes on with it: the
/// order and the kinds of the fields are part of the format.
#[derive(Debug, Serialize, Deserialize)]
pub struct Sender {
    settings: Settings,
    random: Pcg32,
    now: Micros,
    /// When the host's timer expires; `Micros::MAX` where none is set.
    timer_at: Micros,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    endpoints_by_destination: BTreeMap<DestinationId, BTreeSet<EndpointId>>,
    routes: BTreeMap<RouteId, Route>,
    messages: BTreeMap<MessageId, PendingMessage>,
    key_queues: BTreeMap<u64, KeyQueue>,
    /// Until when no message of any key starts, because an earlier process may have cancelled a
    /// call of it.
    key_backoff_until: Micros,
    calls: BTreeMap<u64, Call>,
    next_call: u64,
    /// Calls in flight that carry hedged requests.
    hedges_in_flight: usize,
    /// For each kind of destination, how often calls lately found no connection, from 0 to 1.
    connection_scarcity: BTreeMap<usize, f64>,
    /// One for each tenant of the settings.
    tenant_buckets: Vec<TokenBucket>,
    /// When to subscribe to the endpoint list again.
    list_retry_at: Option<Micros>,
    list_backoff: Micros,
    /// When the process ends, once that is known; the next process must not hear of it.
    #[serde(skip)]
    shutdown_at: Option<Micros>,
    /// The next time at which something may have to be done; the timer is set by it.
    next_deadline: Micros,
    /// The number of senders that all rates are scaled by.
    fleet_size: u32,
    /// What is known of the other senders, and since when.
    fleet_view: Option<FleetView>,
    fleet_view_since: Micros,
    agreed_rules: Option<Box<AgreedRules>>,
    /// The endpoint list may be out of date.
    list_stale: bool,
    /// This machine can't record what is sent; the next process finds out for itself.
    #[serde(skip)]
    host_failing: bool,
    /// This sender's share of limits that hold for all senders, and what it may send by them now.
    quotas: Option<Box<Quotas>>,
    quota_buckets: BTreeMap<DestinationId, QuotaBucket>,
    /// Messages for which the last turn looked for an endpoint.
    #[serde(skip)]
    candidates_examined: usize,
    /// Which pending messages have to be looked at.
    #[serde(skip)]
    index: MessageIndex,
    /// Calls in flight on lagging and ejected routes, in this turn.
    #[serde(skip)]
    unhealthy_in_flight: usize,
}

impl Sender {
    /// A sender that knows nothing yet. `seed` determines all that it does at random.
    ///
    /// # Errors
    /// The first setting that is not valid.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let list_retry_at = settings.list_by_subscription.then_some(Micros::MIN);
        let tenant_buckets = vec![TokenBucket::FULL; settings.tenants.len()];
        Ok(Sender {
            fleet_size: settings.senders,
            settings,
            random: Pcg32::seed_from_u64(seed),
            now: 0,
            timer_at: Micros::MAX,
            endpoints: BTreeMap::new(),
            endpoints_by_destination: BTreeMap::new(),
            routes: BTreeMap::new(),
            messages: BTreeMap::new(),
            key_queues: BTreeMap::new(),
            key_backoff_until: 0,
            calls: BTreeMap::new(),
            next_call: 0,
            hedges_in_flight: 0,
            connection_scarcity: BTreeMap::new(),
            tenant_buckets,
            list_retry_at,
            list_backoff: endpoint_list::INITIAL_BACKOFF,
            shutdown_at: None,
            next_deadline: Micros::MAX,
            fleet_view: None,
            fleet_view_since: 0,
            agreed_rules: None,
            list_stale: false,
            host_failing: false,
            quotas: None,
            quota_buckets: BTreeMap::new(),
            candidates_examined: 0,
            index: MessageIndex::default(),
            unhealthy_in_flight: 0,
        })
    }

    /// The settings as they are now.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// One turn: applies all events, then appends the actions that follow. The time never goes
    /// backwards.
    pub fn handle(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.forget_expired_timer();
        let was_suspended = self.is_sending_suspended();
        self.build_index_once();
        for event in events {
            self.apply(event, actions);
        }
        let resumed = was_suspended && !self.is_sending_suspended();
        let is_restored = |event: &Event| matches!(event, Event::MessageRestored { .. });
        if resumed || events.iter().any(is_restored) {
            self.spread_backlog(resumed);
        }
        self.next_deadline = Micros::MAX;
        self.update_fleet_size();
        self.subscribe_when_due(actions);
        self.detect_unresponsive_routes(actions);
        self.cancel_lost_attempts(actions);
        self.end_undeliverable_messages(actions);
        self.send_ready_messages(actions);
        self.set_timer(actions);
        #[cfg(debug_assertions)]
        self.check_index();
    }

    fn apply(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::AgreedRules(rules) => self.agreed_rules = rules.clone(),
            Event::Quotas(quotas) => self.apply_quotas(quotas.clone()),
            Event::FleetHealth {
                destination,
                unavailable,
            } => self.apply_fleet_health(*destination, *unavailable, actions),
            Event::FleetView(view) => self.apply_fleet_view(*view),
            Event::EndpointList { scope, entries } => self.apply_endpoint_list(*scope, entries),
            Event::EndpointListFailed => self.back_off_subscription(),
            Event::EndpointListStale(stale) => self.list_stale = *stale,
            Event::HostFailing(failing) => self.host_failing = *failing,
            Event::Accepted(message) => self.admit_or_reject(message, actions),
            Event::MessageRestored { message, attempts } => self.restore(message, attempts),
            Event::Restarted => self.back_off_all_keys(),
            Event::NotificationPending(message) => self.restore_ended(message),
            Event::NotificationDelivered(message) => self.record_notification(*message),
            Event::SettingsChanged(settings) => self.apply_settings(settings),
            Event::Disabled(endpoint) => self.disable_endpoint(*endpoint, actions),
            Event::Enabled(endpoint) => self.enable_endpoint(*endpoint, actions),
            Event::ShuttingDown { at } => self.shutdown_at = Some(*at),
            Event::RetryAfter { endpoint, wait } => {
                self.apply_retry_after(self.route_of(*endpoint), *wait, actions);
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
                let result = AttemptResult {
                    message: *message,
                    attempt: *attempt,
                    outcome: *outcome,
                    latency: *latency,
                    report,
                };
                self.apply_attempt_ended(&result, *complete, actions);
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

    fn apply_settings(&mut self, settings: &Settings) {
        if settings.senders != self.settings.senders {
            self.fleet_size = settings.senders;
        }
        self.settings = settings.clone();
        let tenants = self.settings.tenants.len();
        self.tenant_buckets.resize(tenants, TokenBucket::FULL);
        self.rebuild_index(); // other effects end other messages
    }

    /// The route that calls to an endpoint belong to.
    fn route_of(&self, endpoint: EndpointId) -> RouteId {
        let Some(known) = self.endpoints.get(&endpoint) else {
            return RouteId::of_endpoint(0, endpoint);
        };
        let kind = self.settings.kinds.get(known.kind);
        if kind.is_some_and(|kind| kind.separate_routes) {
            RouteId::of_endpoint(known.destination, endpoint)
        } else {
            RouteId::of_destination(known.destination)
        }
    }

    /// A route, which is new where it was not known.
    fn route_mut(&mut self, id: RouteId) -> &mut Route {
        let initial_limit = concurrency_limit::initial(self.settings.call_slots);
        let now = self.now;
        let new = || Route::new(initial_limit, now);
        self.routes.entry(id).or_insert_with(new)
    }

    /// A random part of a token, from 0 to 1, so that senders do not all start at once.
    fn random_phase(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }
}

/// The whole number of so many that a share of them makes, at least one.
fn share_of(count: usize, share: f64) -> usize {
    ((count as f64 * share).floor() as usize).max(1)
}
