//! All decisions of a sender: which messages it accepts, where and when it sends them, and when it
//! ends them.
//!
//! [`Sender::handle`] runs one turn: it applies all events, then cancels, ends and sends messages,
//! and appends the actions of both steps. Most submodules make one kind of decision each. `demand`,
//! `message_index` and `timer` support them and decide nothing; `state` holds the records that all
//! of them share. Nothing here uses a socket or a clock: a sender with the same settings and seed
//! that gets the same events at the same times always gives the same actions.

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

/// State and decisions of one sender. A process hands it over to its successor in serialized form,
/// in which fields have no names: the order and the types of the fields are part of the format.
#[derive(Debug, Serialize, Deserialize)]
pub struct Sender {
    settings: Settings,
    random: Pcg32,
    now: Micros,
    /// Time at which the driver's timer expires; `Micros::MAX` while it is not set.
    timer_at: Micros,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    endpoints_by_destination: BTreeMap<DestinationId, BTreeSet<EndpointId>>,
    routes: BTreeMap<RouteId, Route>,
    messages: BTreeMap<MessageId, PendingMessage>,
    key_queues: BTreeMap<u64, KeyQueue>,
    /// Time before which no message with a key gets its first attempt. After a restart, the
    /// destination may still be processing a call that the earlier process cancelled; the next
    /// message of the same key must not overtake that call.
    key_backoff_until: Micros,
    calls: BTreeMap<u64, Call>,
    next_call: u64,
    /// Number of calls in flight that were opened for a hedge. A hedge that joined a call of
    /// another message is not counted.
    hedges_in_flight: usize,
    /// Score from 0 to 1 for each kind of destination, by its position in the settings: how often
    /// recent calls found no connection.
    connection_scarcity: BTreeMap<usize, f64>,
    /// Token bucket of each tenant, in the order of the settings.
    tenant_buckets: Vec<TokenBucket>,
    /// Time at which to subscribe to the endpoint list again; `None` if that is not due.
    list_retry_at: Option<Micros>,
    /// Average backoff in microseconds after the next subscription that fails.
    list_backoff: Micros,
    /// Time at which this process ends, once it is known. It is not serialized, because it does not
    /// apply to the successor.
    #[serde(skip)]
    shutdown_at: Option<Micros>,
    /// Earliest time for which this turn has scheduled another turn.
    next_deadline: Micros,
    /// Number of senders among which shared rates are divided: listed rates, reported limits, tenant
    /// allowances and the rates of trial calls. Quotas are not divided by it.
    fleet_size: u32,
    /// Last view of the other senders; `None` if there is none.
    fleet_view: Option<FleetView>,
    /// Time since which the fleet view has not changed, apart from its number of agreeing senders.
    fleet_view_since: Micros,
    agreed_rules: Option<Box<AgreedRules>>,
    /// True while the endpoint list may be out of date; sending is suspended then.
    list_stale: bool,
    /// True while the local host can't record what is sent; sending is suspended then. It is not
    /// serialized: the successor detects this for itself.
    #[serde(skip)]
    host_failing: bool,
    /// Share of the fleet-wide limits that this sender may use; `None` if no such limits apply.
    quotas: Option<Box<Quotas>>,
    quota_buckets: BTreeMap<DestinationId, QuotaBucket>,
    /// Number of messages for which the last turn looked for an endpoint.
    #[serde(skip)]
    candidates_examined: usize,
    /// Index of the pending messages: tells a turn which of them may be sent or must end.
    #[serde(skip)]
    index: MessageIndex,
    /// Number of calls in flight on lagging and ejected routes. Each turn counts them again, and
    /// adds the calls that it opens.
    #[serde(skip)]
    unhealthy_in_flight: usize,
}

impl Sender {
    /// Creates a sender without endpoints and messages. `seed` determines all of its random
    /// choices.
    ///
    /// # Errors
    /// Returns the first setting that is not valid.
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

    /// Returns the current settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Runs one turn at time `now`: applies all events, then cancels, ends and sends messages.
    /// Appends the actions of both steps to `actions`. If `now` is before the time of the last
    /// turn, that time is used instead.
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
            Event::RetryAfter { endpoint, delay } => {
                self.apply_retry_after(self.route_of(*endpoint), *delay, actions);
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
        self.rebuild_index(); // a changed effect of a class changes which messages must end
    }

    /// Returns the route against whose limits calls to the endpoint count.
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

    /// Returns the route, and creates it if it is not known.
    fn route_mut(&mut self, id: RouteId) -> &mut Route {
        let initial_limit = concurrency_limit::initial(self.settings.call_slots);
        let now = self.now;
        let new = || Route::new(initial_limit, now);
        self.routes.entry(id).or_insert_with(new)
    }

    /// Returns a random number of tokens, from 0 to 1, to which a token bucket is set. The next
    /// call has to wait until the bucket holds a whole token, so senders that limit the same route
    /// at the same time make their next calls at different times.
    fn random_tokens(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }
}

/// Returns `share` of `count`, rounded down to a whole number but at least 1.
fn count_for_share(count: usize, share: f64) -> usize {
    ((count as f64 * share).floor() as usize).max(1)
}
