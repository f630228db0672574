//! Leases of quotas by one version of the settings.

use super::QuotaLease;
use super::messages::{AllocationReport, LedgerReport};
use super::round_trip::RequestForms;
use super::settings::LedgerSettings;
use super::{allocation, demands};
use crate::net::events::{DemandReport, DriverInput};
use crate::net::http_client::{RequestError, replica_for_turn};
use crate::net::lease_client::{LeaseSession, RequestStats};
use crate::net::log;
use crate::net::sorted_json::to_sorted_json;
use message_sender::Demand;
use quota_ledger::QuotaHolder;
use quota_ledger::health::HealthVerdict;
use quota_ledger::quotas::compact::{QuotaRequest, QuotaResponse};
use quota_ledger::quotas::{self, ByteBudget, DemandSelector};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Quotas are renewed after this part of their lease: three requests may be lost.
const RENEWALS_PER_LEASE: u32 = 4;
/// Demand is checked so often in a lease, and a quota that is missing asked for no sooner.
const CHECKS_PER_LEASE: u32 = 12;
/// Shortest time between two checks of demand.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The lease until an answer has told it.
const INITIAL_LEASE: Duration = Duration::from_millis(1500);
/// Shortest lease that is believed.
const MIN_LEASE: Duration = Duration::from_millis(100);
/// Pause between two requests of one sender while nobody answers, for each sender: an allocator bears some thousand
/// requests a second, and all that lost their quotas at one moment ask it.
const RETRY_PAUSE_PER_SENDER: Duration = Duration::from_millis(2);
/// Longest pause between two requests.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(5);

/// What the next request may name.
struct Scope {
    /// Keys that the list has.
    listed_keys: usize,
    /// Keys that the byte budget has room for.
    capacity: usize,
    /// All keys of the list fit.
    is_complete: bool,
}

/// Leases of quotas by one version of the settings.
pub struct QuotaSession<'a> {
    lease: &'a mut QuotaLease,
    settings: LedgerSettings,
    incarnation: u64,
    holder: QuotaHolder,
    random: Pcg32,
    /// How long the last lease was granted for.
    granted_for: Duration,
    selector: DemandSelector,
    budget: ByteBudget,
    forms: RequestForms,
    /// Calls sent to each destination that had any when that was last counted, once a lease while it is in use.
    last_call_counts: Option<BTreeMap<u64, u64>>,
    last_count_at: Instant,
    /// The last health verdict on each destination.
    verdicts: BTreeMap<u64, HealthVerdict>,
    /// When the next request is due.
    next_request: Instant,
    requests: RequestStats,
}

impl<'a> QuotaSession<'a> {
    /// A session that holds no quota yet.
    pub(super) fn new(
        lease: &'a mut QuotaLease,
        settings: LedgerSettings,
        incarnation: u64,
    ) -> Self {
        let now = lease.dependencies.now();
        QuotaSession {
            incarnation,
            holder: QuotaHolder::new(settings.fallback_quotas()),
            random: Pcg32::seed_from_u64(lease.seed ^ incarnation),
            granted_for: INITIAL_LEASE,
            selector: DemandSelector::default(),
            budget: ByteBudget::new(settings.bytes_a_second, micros(INITIAL_LEASE), now),
            forms: RequestForms::default(),
            last_call_counts: None,
            last_count_at: Instant::now(),
            verdicts: BTreeMap::new(),
            next_request: Instant::now(),
            requests: RequestStats::default(),
            lease,
            settings,
        }
    }

    fn now(&self) -> u64 {
        self.lease.dependencies.now()
    }

    fn jitter(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }

    /// Whether something waits for a quota that it has none of.
    fn lacks_quota(&self, demand: &BTreeMap<u64, Demand>) -> bool {
        let now = self.now();
        demand
            .iter()
            .filter(|(_, demand)| demand.waiting > 0)
            .any(|(destination, _)| {
                let [rate, concurrency, _] = demands::keys(*destination);
                self.holder.is_at_fallback(now, &rate)
                    || self.holder.is_at_fallback(now, &concurrency)
            })
    }

    /// Whether a request is due: by its time, or because something waits for a quota that a request can name.
    fn is_due(&self, scope: &Scope, demand: &BTreeMap<u64, Demand>) -> bool {
        let is_urgent =
            self.requests.last_error.is_none() && scope.is_complete && self.lacks_quota(demand);
        scope.capacity > 0 && (Instant::now() >= self.next_request || is_urgent)
    }

    /// Sends a request and sets the time of the next one.
    async fn request_and_schedule(&mut self, scope: &Scope, demand: &BTreeMap<u64, Demand>) {
        let began = Instant::now();
        let pause = match self.request(scope, demand).await {
            Ok(()) => {
                if self.requests.record_grant() {
                    log(format_args!("ledger: leases are granted again"));
                }
                self.granted_for / RENEWALS_PER_LEASE
            }
            Err(error) => {
                if self.requests.record_failure(error.to_string()) {
                    log(format_args!("ledger: lease request failed: {error}"));
                }
                let senders = self.holder.fallback_quotas().senders;
                let contention = RETRY_PAUSE_PER_SENDER.saturating_mul(senders);
                (self.granted_for / RENEWALS_PER_LEASE)
                    .max(contention)
                    .min(MAX_RETRY_PAUSE)
            }
        };
        self.next_request = began + pause.mul_f64(0.75 + 0.5 * self.jitter());
    }

    /// Asks one replica for quotas and has the driver apply them.
    async fn request(
        &mut self,
        scope: &Scope,
        demand: &BTreeMap<u64, Demand>,
    ) -> Result<(), RequestError> {
        let request = self.build_request(scope, demand);
        let registry = *self.lease.dependencies.registry.borrow_and_update();
        let replica = replica_for_turn(
            self.requests.replica_turn(),
            registry,
            &self.settings.replicas,
        );
        self.requests.sent += 1;
        let answer = self
            .forms
            .round_trip(replica, &request, &mut self.budget)
            .await?;
        self.apply_answer(request.sequence, answer).await;
        Ok(())
    }

    fn build_request(&mut self, scope: &Scope, demand: &BTreeMap<u64, Demand>) -> QuotaRequest {
        let now = self.now();
        let lease = micros(self.granted_for);
        let key_demands = demands::key_demands(
            self.holder.fallback_quotas(),
            demand,
            self.last_call_counts.as_ref(),
            self.granted_for,
            scope.listed_keys <= scope.capacity,
        );
        let named = self.selector.select(
            now,
            &self.holder,
            lease,
            key_demands,
            scope.listed_keys,
            scope.capacity,
        );
        self.count_calls(demand);
        let sequence = self.holder.request(now);
        QuotaRequest {
            sender: self.lease.dependencies.name.clone(),
            incarnation: self.incarnation,
            sequence,
            fallback_quotas: self.holder.fallback_quotas().clone(),
            zone: self.lease.zone.clone(),
            demands: named,
            reports: quotas::select_reports(
                demands::health_reports(demand),
                |report| report.unavailable,
                scope.capacity,
            ),
        }
    }

    /// Remembers the calls sent so far, once a lease.
    fn count_calls(&mut self, demand: &BTreeMap<u64, Demand>) {
        if self.last_call_counts.is_some() && self.last_count_at.elapsed() < self.granted_for {
            return;
        }
        self.last_count_at = Instant::now();
        let sent = demand
            .iter()
            .filter(|(_, demand)| demand.sent > 0)
            .map(|(destination, demand)| (*destination, demand.sent));
        self.last_call_counts.get_or_insert_default().extend(sent);
    }

    /// Applies the answer to a request and has the driver apply it.
    async fn apply_answer(&mut self, sequence: u64, answer: QuotaResponse) {
        self.granted_for = Duration::from_micros(answer.lease).max(MIN_LEASE);
        self.holder
            .apply_allocations(sequence, answer.lease, answer.allocations);
        for verdict in answer.verdicts {
            self.apply_verdict(verdict);
        }
        let quotas = allocation::quotas(&self.holder, self.now());
        self.lease.apply(Some(quotas)).await;
    }

    /// Tells the driver of a verdict that is newer than the one known.
    fn apply_verdict(&mut self, verdict: HealthVerdict) {
        let previous = self.verdicts.get(&verdict.destination).copied();
        let current = previous.map_or(verdict, |previous| previous.merge(verdict));
        self.verdicts.insert(current.destination, current);
        if previous.map(|previous| previous.epoch) == Some(current.epoch) {
            return;
        }
        let state = if current.unavailable {
            "unavailable"
        } else {
            "available again"
        };
        log(format_args!(
            "ledger: destination {} is {state}, reported by {} senders",
            current.destination, current.observers
        ));
        let _ = self
            .lease
            .dependencies
            .driver
            .send(DriverInput::FleetHealth {
                destination: current.destination,
                unavailable: current.unavailable,
            });
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

impl LeaseSession for QuotaSession<'_> {
    async fn renew(&mut self) -> Instant {
        let capacity = self
            .budget
            .available_keys(self.now(), micros(self.granted_for));
        let kinds = demands::limited_kinds(self.holder.fallback_quotas());
        let DemandReport {
            listed,
            by_destination,
        } = self.lease.demand(capacity / kinds).await;
        let scope = Scope {
            listed_keys: listed * kinds,
            capacity,
            is_complete: listed <= capacity / kinds,
        };
        if self.is_due(&scope, &by_destination) {
            self.request_and_schedule(&scope, &by_destination).await;
        }
        let next_check =
            Instant::now() + (self.granted_for / CHECKS_PER_LEASE).max(MIN_CHECK_INTERVAL);
        // of a long list nothing is asked for before its time
        if scope.is_complete {
            next_check
        } else {
            next_check.max(self.next_request)
        }
    }

    fn report(&self) -> String {
        let now = self.now();
        let fallback_quotas = self.holder.fallback_quotas();
        let allocations = self
            .holder
            .allocations(now)
            .map(|(allocation, amount, until)| AllocationReport {
                key: &allocation.key,
                fallback: fallback_quotas.of(&allocation.key),
                allocated: amount,
                total: allocation.total,
                until_us: until,
                left_ms: (until - now) / 1000,
            });
        to_sorted_json(&LedgerReport {
            sender: &self.lease.dependencies.name,
            allocations: allocations.collect(),
            fallback_quotas,
            verdicts: self.verdicts.values().collect(),
            lease_ms: micros(self.granted_for) / 1000,
            now_us: now,
            sent: self.requests.sent,
            granted: self.requests.granted,
            failed: self.requests.failed,
            last_error: self.requests.last_error.as_deref(),
        })
    }
}
