//! The layout of a serialized sender, defined a second time. Tests deserialize senders of the
//! program with this definition: a sender that is handed over to a process of another version must
//! keep its layout. Postcard writes no field names, so both definitions agree only while the order
//! and the types of all fields and variants are the same. Types of the program's interface, such as
//! the settings, are not defined again.
#![allow(dead_code)]

use message_sender::{AgreedRules, FleetView, Micros, Quotas, Settings};
use rand_pcg::Pcg32;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub type RouteId = (u64, Option<u32>);

#[derive(Deserialize)]
pub struct Sender {
    pub settings: Settings,
    pub random: Pcg32,
    pub now: Micros,
    pub timer_at: Micros,
    pub endpoints: BTreeMap<u32, Endpoint>,
    pub endpoints_by_destination: BTreeMap<u64, BTreeSet<u32>>,
    pub routes: BTreeMap<RouteId, Route>,
    pub messages: BTreeMap<u64, PendingMessage>,
    pub key_queues: BTreeMap<u64, KeyQueue>,
    pub key_backoff_until: Micros,
    pub calls: BTreeMap<u64, Call>,
    pub next_call: u64,
    pub hedges_in_flight: usize,
    pub connection_scarcity: BTreeMap<usize, f64>,
    pub tenant_tokens: Vec<(f64, Micros)>,
    pub list_retry_at: Option<Micros>,
    pub list_backoff: Micros,
    pub next_deadline: Micros,
    pub fleet_size: u32,
    pub fleet_view: Option<FleetView>,
    pub fleet_view_since: Micros,
    pub agreed_rules: Option<AgreedRules>,
    pub list_stale: bool,
    pub quotas: Option<Quotas>,
    pub quota_buckets: BTreeMap<u64, QuotaBucket>,
}

#[derive(Deserialize)]
pub struct Endpoint {
    pub destination: u64,
    pub zone: u16,
    pub kind: usize,
    pub serving: bool,
    pub classes: BTreeMap<usize, ClassRecord>,
    pub connection_scarcity: f64,
    pub disabled: bool,
    pub warm_up: Option<WarmUp>,
}

#[derive(Deserialize)]
pub struct WarmUp {
    pub since: Micros,
    pub tokens: f64,
    pub tokens_refilled_at: Micros,
}

#[derive(Deserialize)]
pub struct ClassRecord {
    pub consecutive_failures: u32,
    pub avoided_until: Micros,
    pub last_success_at: Micros,
}

#[derive(Deserialize)]
pub struct Attempt {
    pub endpoint: u32,
    pub sent: Micros,
    pub call: u64,
    pub in_flight: bool,
    pub may_have_run: bool,
    pub overlapped: bool,
    pub cancelled: bool,
}

#[derive(Deserialize)]
pub struct PendingMessage {
    pub class: usize,
    pub destination: u64,
    pub key: Option<u64>,
    pub created_at: Micros,
    pub deadline: Micros,
    pub priority_weight: f64,
    pub max_attempts: usize,
    pub open: bool,
    pub notification_pending: bool,
    pub attempts: Vec<Attempt>,
    pub retry_at: Micros,
    pub retry_backoff: Micros,
    pub hedge_at: Micros,
    pub hedge_interval: Micros,
}

#[derive(Deserialize)]
pub struct Call {
    pub route: RouteId,
    pub endpoint: u32,
    pub sent: Micros,
    pub pending: usize,
    pub size: usize,
    pub is_hedge: bool,
}

#[derive(Deserialize)]
pub struct KeyQueue {
    pub messages: VecDeque<u64>,
    pub backoff_until: Micros,
}

#[derive(Deserialize)]
pub enum Health {
    Healthy,
    Ejected { may_be_slow: bool, since: Micros },
    Recovering { since: Micros },
}

#[derive(Deserialize)]
pub struct Route {
    pub health: Health,
    pub concurrency_limit: f64,
    pub concurrency_decreased_at: Micros,
    pub retry_after_until: Micros,
    pub latencies: VecDeque<Micros>,
    pub learned_hedge_delay: Option<Micros>,
    pub usual_latency: Option<Micros>,
    pub failure_score: f64,
    pub last_answer_at: Micros,
    pub failed_at: Micros,
    pub rejected_since: Micros,
    pub consecutive_rejections: u32,
    pub in_flight: usize,
    pub unanswered: usize,
    pub oldest_unanswered: Micros,
    pub is_lagging: bool,
    pub success_times: VecDeque<Micros>,
    pub best_rate: f64,
    pub sent: u64,
    pub first_seen_at: Micros,
    pub reported_limit: Option<f64>,
    pub fair_share: f64,
    pub listed_rate: f64,
    pub rate_limit: f64,
    pub succeeded: bool,
    pub tokens: f64,
    pub tokens_refilled_at: Micros,
}

#[derive(Deserialize)]
pub struct QuotaBucket {
    pub tokens: i64,
    pub refilled_at: Micros,
}

impl Sender {
    /// Returns the names of the states and records that a sender can hold and this one does not.
    pub fn missing_states(&self) -> Vec<&'static str> {
        let routes = || self.routes.values();
        let messages = || self.messages.values();
        let attempts = || messages().flat_map(|message| &message.attempts);
        let endpoints = || self.endpoints.values();
        let checks = [
            (
                "a serving endpoint",
                endpoints().any(|endpoint| endpoint.serving),
            ),
            (
                "an endpoint that is not listed",
                endpoints().any(|endpoint| !endpoint.serving),
            ),
            (
                "a disabled endpoint",
                endpoints().any(|endpoint| endpoint.disabled),
            ),
            (
                "an endpoint that warms up",
                endpoints().any(|endpoint| endpoint.warm_up.is_some()),
            ),
            (
                "an endpoint with scarce connections",
                endpoints().any(|endpoint| endpoint.connection_scarcity > 0.0),
            ),
            (
                "a class that fails at an endpoint",
                endpoints().any(|endpoint| {
                    endpoint
                        .classes
                        .values()
                        .any(|class| class.consecutive_failures > 0)
                }),
            ),
            (
                "a healthy route",
                routes().any(|route| matches!(route.health, Health::Healthy)),
            ),
            (
                "an ejected route",
                routes().any(|route| {
                    matches!(
                        route.health,
                        Health::Ejected {
                            may_be_slow: false,
                            ..
                        }
                    )
                }),
            ),
            (
                "an unresponsive route",
                routes().any(|route| {
                    matches!(
                        route.health,
                        Health::Ejected {
                            may_be_slow: true,
                            ..
                        }
                    )
                }),
            ),
            (
                "a recovering route",
                routes().any(|route| matches!(route.health, Health::Recovering { .. })),
            ),
            (
                "a route of one endpoint",
                self.routes.keys().any(|(_, endpoint)| endpoint.is_some()),
            ),
            (
                "a route in a Retry-After delay",
                routes().any(|route| route.retry_after_until > self.now),
            ),
            (
                "a lagging route",
                routes().any(|route| route.is_lagging && route.unanswered > 0),
            ),
            (
                "a route that rejects",
                routes().any(|route| route.consecutive_rejections > 0),
            ),
            (
                "a reported limit",
                routes().any(|route| route.reported_limit.is_some()),
            ),
            (
                "a listed rate",
                routes().any(|route| route.listed_rate > 0.0),
            ),
            (
                "a finite rate limit",
                routes().any(|route| route.rate_limit.is_finite()),
            ),
            (
                "an infinite rate limit",
                routes().any(|route| route.rate_limit.is_infinite()),
            ),
            ("an open message", messages().any(|message| message.open)),
            (
                "a message that waits for its notification",
                messages().any(|message| message.notification_pending),
            ),
            (
                "an attempt in flight",
                attempts().any(|attempt| attempt.in_flight),
            ),
            (
                "an attempt that may have run",
                attempts().any(|attempt| attempt.may_have_run),
            ),
            (
                "an overlapped attempt",
                attempts().any(|attempt| attempt.overlapped),
            ),
            (
                "a cancelled attempt",
                attempts().any(|attempt| attempt.cancelled),
            ),
            (
                "a hedged call",
                self.hedges_in_flight > 0 && self.calls.values().any(|call| call.is_hedge),
            ),
            (
                "a call with a bundle",
                self.calls.values().any(|call| call.size > 1),
            ),
            (
                "a queue with two messages",
                self.key_queues
                    .values()
                    .any(|queue| queue.messages.len() > 1),
            ),
            (
                "a queue that backs off",
                self.key_queues
                    .values()
                    .any(|queue| queue.backoff_until > self.now),
            ),
            ("a backoff of all keys", self.key_backoff_until > 0),
            (
                "scarce connections of a kind",
                self.connection_scarcity.values().any(|&score| score > 0.0),
            ),
            (
                "tokens of a tenant",
                self.tenant_tokens
                    .iter()
                    .any(|(tokens, _)| *tokens < f64::MAX),
            ),
            (
                "a retry of the subscription to the list",
                self.list_retry_at.is_some(),
            ),
            (
                "a view of the fleet",
                self.fleet_view.is_some() && self.fleet_view_since > 0,
            ),
            (
                "a fleet of another size than configured",
                self.fleet_size != self.settings.senders,
            ),
            (
                "agreed rules",
                self.agreed_rules
                    .as_ref()
                    .is_some_and(|rules| rules.leased.is_some()),
            ),
            (
                "quotas",
                self.quotas
                    .as_ref()
                    .is_some_and(|quotas| quotas.named.len() > 1),
            ),
            ("a quota bucket", !self.quota_buckets.is_empty()),
        ];
        checks
            .into_iter()
            .filter(|(_, is_present)| !is_present)
            .map(|(name, _)| name)
            .collect()
    }
}
