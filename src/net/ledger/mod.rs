//! Limits that hold for all senders together: asks the registry's keepers for parts, and tells the decisions what they
//! may use. Off unless the configuration has a `ledger` object. `docs/ledger.md` states the protocol and its bound.

mod allowance;
mod exchange;
pub mod settings;
mod wants;

pub use allowance::on_floors;

use super::asking::{AskError, whose_turn};
use super::clock::Clock;
use super::events::{DriverInput, ReportRequest};
use super::log;
use exchange::Exchange;
use message_sender::{Demand, Quotas};
use quota_ledger::health::HealthVerdict;
use quota_ledger::quotas::compact::{QuotaRequest, QuotaResponse};
use quota_ledger::quotas::{self, ByteBudget, DemandSelector};
use quota_ledger::{Allocation, QuotaHolder};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use serde_json::json;
use settings::Ledger;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};

/// Parts are renewed after this part of their lease: three questions may be lost.
const RENEW: u32 = 4;
/// What waits is looked at so often in a lease, and a part that is missing asked for no sooner.
const LOOKS: u32 = 12;
const LOOK_LEAST: Duration = Duration::from_millis(20);
/// The lease until an answer has told it.
const LEASE: Duration = Duration::from_millis(1500);
/// Rest between two tries of one sender while nobody answers, for each sender: a keeper bears some thousand questions a
/// second, and all that lost their parts at one moment ask it.
const RETRY_EACH: Duration = Duration::from_millis(2);
const RETRY_MOST: Duration = Duration::from_secs(5);
/// What the lease client shares with the rest of the process.
pub struct Means {
    pub clock: Clock,
    pub name: String,
    pub seed: u64,
    /// The zone that it is in, by name.
    pub zone: String,
    pub inputs: mpsc::UnboundedSender<DriverInput>,
    /// Where the registry is.
    pub agent: watch::Receiver<SocketAddr>,
}

/// Holds parts for as long as the settings want it, until the process stops or hands over.
pub async fn hold(
    mut means: Means,
    mut wanted: watch::Receiver<Option<Ledger>>,
    mut queries: mpsc::Receiver<ReportRequest>,
    mut stopping: watch::Receiver<bool>,
) {
    // differs between any two processes of one name
    let mut life = u64::try_from(means.clock.at(Instant::now())).unwrap_or(0);
    let mut was_on = false;
    loop {
        let ledger = wanted.borrow_and_update().clone();
        let Some(ledger) = ledger else {
            if std::mem::take(&mut was_on) {
                log(format_args!("ledger: off"));
                means.bind(None).await;
            }
            tokio::select! {
                changed = wanted.changed() => if changed.is_err() { return },
                Some(query) = queries.recv() => drop(query),
                _ = stopping.wait_for(|stopping| *stopping) => return,
            }
            continue;
        };
        was_on = true;
        life += 1;
        means.bind(Some(on_floors(&ledger))).await;
        log(format_args!("ledger: on the floors until parts are had"));
        let random = Pcg32::seed_from_u64(means.seed ^ life);
        let holder = QuotaHolder::new(ledger.floors());
        let lease = u64::try_from(LEASE.as_micros()).unwrap_or(u64::MAX);
        let budget = ByteBudget::new(ledger.bytes_a_second, lease, means.now());
        let mut client = LeaseClient {
            means: &mut means,
            ledger,
            life,
            holder,
            random,
            lease: LEASE,
            naming: DemandSelector::default(),
            budget,
            exchange: Exchange::default(),
            before: None,
            counted: Instant::now(),
            verdicts: BTreeMap::new(),
            last_fault: None,
            asked: 0,
            granted: 0,
            failed: 0,
        };
        tokio::select! {
            () = client.run(&mut queries) => {}
            changed = wanted.changed() => if changed.is_err() { return },
            // what is held lasts as long as it lasts: a process that ends asks for no more
            _ = stopping.wait_for(|stopping| *stopping) => return,
        }
    }
}

impl Means {
    fn now(&self) -> u64 {
        u64::try_from(self.clock.at(Instant::now())).unwrap_or(0)
    }

    /// Has quotas bind all that is sent from now on; back once they do.
    async fn bind(&self, quotas: Option<Quotas>) {
        let (binds, bound) = oneshot::channel();
        let _ = self.inputs.send(DriverInput::Quotas {
            quotas: quotas.map(Box::new),
            applied: binds,
        });
        // the driver is gone only when the process ends or has handed over
        let _ = bound.await;
    }

    /// The number of destinations that are listed, and the demand at them: at all if they are `whole` at most.
    async fn demand(&self, whole: usize) -> (usize, BTreeMap<u64, Demand>) {
        let (reply, demand) = oneshot::channel();
        let _ = self.inputs.send(DriverInput::Demand {
            complete_up_to: whole,
            reply,
        });
        let report = demand
            .await
            .map(|report| (report.listed, report.by_destination));
        report.unwrap_or_default()
    }
}

/// The lease client by one set of settings.
struct LeaseClient<'a> {
    means: &'a mut Means,
    ledger: Ledger,
    life: u64,
    holder: QuotaHolder,
    random: Pcg32,
    lease: Duration,
    naming: DemandSelector,
    budget: ByteBudget,
    exchange: Exchange,
    /// Calls sent to each destination that had any when that was last counted, once a lease while it is in use.
    before: Option<BTreeMap<u64, u64>>,
    counted: Instant,
    /// What was agreed of destinations, the last of each.
    verdicts: BTreeMap<u64, HealthVerdict>,
    /// The last fault that was logged.
    last_fault: Option<String>,
    asked: u64,
    granted: u64,
    failed: u64,
}

impl LeaseClient<'_> {
    async fn run(&mut self, queries: &mut mpsc::Receiver<ReportRequest>) {
        let (mut turn, mut next) = (0, Instant::now());
        loop {
            let room = self
                .budget
                .available_keys(self.means.now(), self.lease_us());
            let kinds = wants::limited_kinds(self.holder.fallback_quotas());
            let (listed, demand) = self.means.demand(room / kinds).await;
            let (list, whole) = (listed * kinds, listed <= room / kinds);
            let early = self.last_fault.is_none() && whole && self.lacks(&demand);
            if room > 0 && (Instant::now() >= next || early) {
                let begun = Instant::now();
                let asked = self.ask(turn, &demand, list, room).await;
                let rest = match asked {
                    Ok(()) => {
                        self.granted += 1;
                        if self.last_fault.take().is_some() {
                            log(format_args!("ledger: parts are had again"));
                        }
                        self.lease / RENEW
                    }
                    Err(error) => {
                        (self.failed, turn) = (self.failed + 1, turn + 1);
                        self.log_fault(error.to_string());
                        let crowd =
                            RETRY_EACH.saturating_mul(self.holder.fallback_quotas().senders);
                        (self.lease / RENEW).max(crowd).min(RETRY_MOST)
                    }
                };
                next = begun + rest.mul_f64(0.75 + 0.5 * self.jitter());
            }
            let look = Instant::now() + (self.lease / LOOKS).max(LOOK_LEAST);
            // of a long list nothing is asked for before its time
            let look = if whole { look } else { look.max(next) };
            self.answer_until(look, queries).await;
        }
    }

    fn lease_us(&self) -> u64 {
        u64::try_from(self.lease.as_micros()).unwrap_or(u64::MAX)
    }

    fn jitter(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }

    /// Whether something waits for a part that it has none of.
    fn lacks(&self, demand: &BTreeMap<u64, Demand>) -> bool {
        let now = self.means.now();
        demand
            .iter()
            .filter(|(_, demand)| demand.waiting > 0)
            .any(|(destination, _)| {
                let [rate, out, _] = wants::keys(*destination);
                self.holder.is_at_fallback(now, &rate) || self.holder.is_at_fallback(now, &out)
            })
    }

    /// Answers operators until it is time to look again.
    async fn answer_until(&mut self, at: Instant, queries: &mut mpsc::Receiver<ReportRequest>) {
        loop {
            tokio::select! {
                () = sleep_until(at) => return,
                Some(query) = queries.recv() => {
                    // an operator that has gone asks again
                    let _ = query.send(self.report());
                }
            }
        }
    }

    fn log_fault(&mut self, fault: String) {
        if self.last_fault.as_ref() != Some(&fault) {
            log(format_args!("ledger: no parts: {fault}"));
            self.last_fault = Some(fault);
        }
    }

    /// Asks one replica for quotas of at most `room` limits, and has them bind.
    async fn ask(
        &mut self,
        turn: usize,
        demand: &BTreeMap<u64, Demand>,
        list: usize,
        room: usize,
    ) -> Result<(), AskError> {
        let (now, lease) = (self.means.now(), self.lease_us());
        let wants = wants::wanted(
            self.holder.fallback_quotas(),
            demand,
            self.before.as_ref(),
            self.lease,
            list <= room,
        );
        let chosen = self
            .naming
            .select(now, &self.holder, lease, wants, list, room);
        if self.before.is_none() || self.counted.elapsed() >= self.lease {
            self.counted = Instant::now();
            let sent = demand.iter().filter(|(_, demand)| demand.sent > 0);
            let sent = sent.map(|(destination, demand)| (*destination, demand.sent));
            self.before.get_or_insert_default().extend(sent);
        }
        let (number, wants) = (self.holder.request(now), chosen);
        self.asked += 1;
        let question = QuotaRequest {
            sender: self.means.name.clone(),
            incarnation: self.life,
            sequence: number,
            fallback_quotas: self.holder.fallback_quotas().clone(),
            zone: self.means.zone.clone(),
            demands: wants,
            reports: quotas::select_reports(
                wants::reports(demand),
                |report| report.unavailable,
                room,
            ),
        };
        let address = whose_turn(
            turn,
            *self.means.agent.borrow_and_update(),
            &self.ledger.others,
        );
        let QuotaResponse {
            lease,
            allocations: allocated,
            verdicts,
            ..
        } = self
            .exchange
            .ask(address, &question, &mut self.budget)
            .await?;
        self.lease = Duration::from_micros(lease).max(Duration::from_millis(100));
        self.holder.apply_allocations(number, lease, allocated);
        for verdict in verdicts {
            let known = self.verdicts.get(&verdict.destination).copied();
            let held = known.map_or(verdict, |known| known.merge(verdict));
            if known.map(|known| known.epoch) != Some(held.epoch) {
                let HealthVerdict {
                    destination,
                    unavailable: out,
                    observers,
                    ..
                } = held;
                let state = if out { "out" } else { "back" };
                log(format_args!(
                    "ledger: destination {destination} is {state}, {observers} senders say"
                ));
                let _ = self.means.inputs.send(DriverInput::FleetHealth {
                    destination,
                    unavailable: out,
                });
            }
            self.verdicts.insert(verdict.destination, held);
        }
        let quotas = allowance::quotas(&self.holder, self.means.now());
        self.means.bind(Some(quotas)).await;
        Ok(())
    }

    fn report(&self) -> String {
        let now = self.means.now();
        let parts = self.holder.allocations(now).map(|(dealt, part, until)| {
            let Allocation { key, total, .. } = dealt;
            json!({ "key": key, "floor": self.holder.fallback_quotas().of(key), "part": part, "total": total,
                "until_us": until, "left_ms": (until - now) / 1000 })
        });
        json!({
            "sender": self.means.name, "parts": parts.collect::<Vec<_>>(), "floors": self.holder.fallback_quotas(),
            "verdicts": self.verdicts.values().collect::<Vec<_>>(), "lease_ms": self.lease.as_millis() as u64, "now_us": now,
            "asked": self.asked, "granted": self.granted, "failed": self.failed, "fault": self.last_fault,
        })
        .to_string()
    }
}

#[cfg(test)]
mod tests;
