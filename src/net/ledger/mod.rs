//! Limits that hold for all senders together: asks the registry's keepers for parts, and tells the decisions what they
//! may use. Off unless the configuration has a `ledger` object. `docs/ledger.md` states the protocol and its bound.

pub mod settings;

use super::asking::{AskError, ask, whose_turn};
use super::events::{Clock, Input, Query};
use super::log;
use hyper::Method;
use milletturn::{Demand, MILLISECOND, Micros, Quota, Quotas, Share};
use milletturn_ledger::verdicts::{Verdict, Word};
use milletturn_ledger::{Dealt, Floors, Holder, Key, Wanted, What};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use serde::Deserialize;
use serde_json::json;
use settings::Ledger;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};

/// One question, its answer read whole, takes no longer.
const ANSWER: Duration = Duration::from_millis(700);
/// Longest answer.
const ANSWER_MOST: usize = 1 << 20;
/// Parts are renewed after this part of their lease: three questions may be lost.
const RENEW: u32 = 4;
/// What waits is looked at so often in a lease, and a part that is missing asked for no sooner.
const LOOKS: u32 = 12;
/// The lease until an answer has told it.
const LEASE: Duration = Duration::from_millis(1500);
/// Rest between two tries of one sender while nobody answers, for each sender: a keeper bears some thousand questions a
/// second, and all that lost their parts at one moment ask it.
const RETRY_EACH: Duration = Duration::from_millis(2);
const RETRY_MOST: Duration = Duration::from_secs(5);

/// What the part shares with the rest of the process.
pub struct Means {
    pub clock: Clock,
    pub name: String,
    pub seed: u64,
    /// The zone that it is in, by name.
    pub zone: String,
    pub inputs: mpsc::UnboundedSender<Input>,
    /// Where the registry is.
    pub agent: watch::Receiver<SocketAddr>,
}

#[derive(Deserialize)]
struct Answer {
    lease: u64,
    dealt: Vec<Dealt>,
    #[serde(default)]
    verdicts: Vec<Verdict>,
}

/// What holds by the floors alone.
pub fn on_floors(ledger: &Ledger) -> Quotas {
    quotas(&Holder::new(ledger.floors()), &BTreeSet::new(), 0)
}

/// What a holder may use, in the decisions' own terms.
fn quotas(holder: &Holder, destinations: &BTreeSet<u64>, now: u64) -> Quotas {
    let parts: BTreeMap<&Key, _> =
        holder.parts(now).map(|(dealt, part, until)| (&dealt.key, (dealt, part, until))).collect();
    let floors = holder.floors();
    let kind = |name: &str| floors.each.get(name).map(|floor| Share { fallback: *floor, part: None });
    let share = |key: &Key| {
        let part = parts.get(key);
        let until = part.and_then(|(_, _, until)| Micros::try_from(*until).ok());
        let part = part.and_then(|(_, part, _)| Some((*part, until?)));
        floors.name(key).then(|| Share { fallback: floors.of(key), part })
    };
    let linger = |key: &Key| {
        let linger = parts.get(key).map_or(0, |(dealt, ..)| dealt.linger_ms);
        // without a word of how long calls may last they are as long as before
        if linger == 0 { Micros::MAX / 4 } else { Micros::try_from(linger).unwrap_or(0) * MILLISECOND }
    };
    let named = destinations.iter().map(|&destination| {
        let [rate, out, cold] = keys(destination);
        let quota = Quota {
            rate: share(&rate),
            out: share(&out).map(|share| (share, linger(&out))),
            cold: share(&cold),
        };
        (destination, quota)
    });
    let others = Quota {
        rate: kind("rate"),
        out: kind("out").map(|share| (share, Micros::MAX / 4)),
        cold: kind("cold"),
    };
    Quotas { named: named.collect(), others }
}

fn keys(destination: u64) -> [Key; 3] {
    [What::Rate, What::Out, What::Cold].map(|what| Key::of(destination, what))
}

/// What a sender wants of each limit: what waits and what it sent in the lease before, beyond its floors.
fn wanted(
    floors: &Floors, demand: &BTreeMap<u64, Demand>, before: &BTreeMap<u64, u64>, lease: Duration,
) -> Vec<Wanted> {
    let mut all = Vec::new();
    let lease = u64::try_from(lease.as_micros()).unwrap_or(u64::MAX).max(1);
    for (destination, demand) in demand {
        let sent = demand.sent.saturating_sub(before.get(destination).copied().unwrap_or(demand.sent));
        let calls = demand.waiting + sent;
        let rate = calls.saturating_mul(1_000_000_000).div_ceil(lease);
        let [rate_key, out_key, cold_key] = keys(*destination);
        let cold = if demand.sick { rate } else { 0 };
        for (key, want) in [(rate_key, rate), (out_key, demand.waiting + demand.out), (cold_key, cold)] {
            if floors.name(&key) {
                let want = want.saturating_sub(floors.of(&key));
                all.push(Wanted { key, want });
            }
        }
    }
    all
}

/// What this sender says of destinations by its own calls: nothing of those that it knows nothing of now.
fn words(demand: &BTreeMap<u64, Demand>) -> Vec<Word> {
    let word = |(destination, demand): (&u64, &Demand)| {
        let said = demand.sent > 0 && (demand.failing || demand.alive);
        said.then_some(Word { destination: *destination, out: demand.failing })
    };
    demand.iter().filter_map(word).collect()
}

/// Holds parts for as long as the settings want it, until the process stops or hands over.
pub async fn hold(
    mut means: Means, mut wanted: watch::Receiver<Option<Ledger>>, mut queries: mpsc::Receiver<Query>,
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
        let holder = Holder::new(ledger.floors());
        let mut part = Part {
            means: &mut means,
            ledger,
            life,
            holder,
            random,
            lease: LEASE,
            destinations: BTreeSet::new(),
            before: BTreeMap::new(),
            counted: Instant::now(),
            verdicts: BTreeMap::new(),
            told: None,
            asked: 0,
            granted: 0,
            failed: 0,
        };
        tokio::select! {
            () = part.run(&mut queries) => {}
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
        let _ = self.inputs.send(Input::Shared(quotas.map(Box::new), binds));
        // the driver is gone only when the process ends or has handed over
        let _ = bound.await;
    }

    async fn demand(&self) -> BTreeMap<u64, Demand> {
        let (reply, demand) = oneshot::channel();
        let _ = self.inputs.send(Input::Wanted(reply));
        demand.await.unwrap_or_default()
    }
}

/// Sharing by one set of settings.
struct Part<'a> {
    means: &'a mut Means,
    ledger: Ledger,
    life: u64,
    holder: Holder,
    random: Pcg32,
    lease: Duration,
    destinations: BTreeSet<u64>,
    /// Calls sent to each destination when that was last counted, once a lease.
    before: BTreeMap<u64, u64>,
    counted: Instant,
    /// What was agreed of destinations, the last of each.
    verdicts: BTreeMap<u64, Verdict>,
    /// The last fault that was logged.
    told: Option<String>,
    asked: u64,
    granted: u64,
    failed: u64,
}

impl Part<'_> {
    async fn run(&mut self, queries: &mut mpsc::Receiver<Query>) {
        let (mut turn, mut next) = (0, Instant::now());
        loop {
            let demand = self.means.demand().await;
            if Instant::now() >= next || self.lacks(&demand) && self.told.is_none() {
                let begun = Instant::now();
                let asked = self.ask(turn, &demand).await;
                let rest = match asked {
                    Ok(()) => {
                        self.granted += 1;
                        if self.told.take().is_some() {
                            log(format_args!("ledger: parts are had again"));
                        }
                        self.lease / RENEW
                    }
                    Err(error) => {
                        (self.failed, turn) = (self.failed + 1, turn + 1);
                        self.tell(error.to_string());
                        let crowd = RETRY_EACH.saturating_mul(self.holder.floors().senders);
                        (self.lease / RENEW).max(crowd).min(RETRY_MOST)
                    }
                };
                next = begun + rest.mul_f64(0.75 + 0.5 * self.part());
            }
            let look = (self.lease / LOOKS).max(Duration::from_millis(20));
            self.rest_until(Instant::now() + look, queries).await;
        }
    }

    fn part(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }

    /// Whether something waits for a part that it has none of.
    fn lacks(&self, demand: &BTreeMap<u64, Demand>) -> bool {
        let now = self.means.now();
        demand.iter().filter(|(_, demand)| demand.waiting > 0).any(|(destination, _)| {
            let none = |key: &Key| {
                let part = self.holder.may_use(now, key);
                self.holder.floors().name(key) && part == Some(self.holder.floors().of(key))
            };
            let [rate, out, _] = keys(*destination);
            none(&rate) || none(&out)
        })
    }

    /// Answers operators until it is time to look again.
    async fn rest_until(&mut self, at: Instant, queries: &mut mpsc::Receiver<Query>) {
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

    fn tell(&mut self, fault: String) {
        if self.told.as_ref() != Some(&fault) {
            log(format_args!("ledger: no parts: {fault}"));
            self.told = Some(fault);
        }
    }

    /// Asks one replica for parts, and has them bind.
    async fn ask(&mut self, turn: usize, demand: &BTreeMap<u64, Demand>) -> Result<(), AskError> {
        let wants = wanted(self.holder.floors(), demand, &self.before, self.lease);
        if self.counted.elapsed() >= self.lease {
            self.counted = Instant::now();
            self.before = demand.iter().map(|(destination, demand)| (*destination, demand.sent)).collect();
        }
        self.destinations = demand.keys().copied().collect();
        let address = whose_turn(turn, *self.means.agent.borrow_and_update(), &self.ledger.others);
        let (number, wants) = self.holder.ask(self.means.now(), wants);
        self.asked += 1;
        let question = json!({ "sender": self.means.name, "life": self.life, "number": number,
            "floors": self.holder.floors(), "wants": wants, "zone": self.means.zone, "words": words(demand) });
        let Answer { lease, dealt, verdicts } =
            ask(address, Method::POST, "/v1/parts", Some(question), ANSWER, ANSWER_MOST).await?;
        self.lease = Duration::from_micros(lease).max(Duration::from_millis(100));
        self.holder.granted(number, lease, dealt);
        for verdict in verdicts {
            let known = self.verdicts.get(&verdict.destination).copied();
            let held = known.map_or(verdict, |known| known.join(verdict));
            if known.map(|known| known.epoch) != Some(held.epoch) {
                let Verdict { destination, out, observers, .. } = held;
                let state = if out { "out" } else { "back" };
                log(format_args!("ledger: destination {destination} is {state}, {observers} senders say"));
                let _ = self.means.inputs.send(Input::Word { destination, out });
            }
            self.verdicts.insert(verdict.destination, held);
        }
        let quotas = quotas(&self.holder, &self.destinations, self.means.now());
        self.means.bind(Some(quotas)).await;
        Ok(())
    }

    fn report(&self) -> String {
        let now = self.means.now();
        let parts = self.holder.parts(now).map(|(dealt, part, until)| {
            let Dealt { key, total, .. } = dealt;
            json!({ "key": key, "floor": self.holder.floors().of(key), "part": part, "total": total,
                "until_us": until, "left_ms": (until - now) / 1000 })
        });
        json!({
            "sender": self.means.name, "parts": parts.collect::<Vec<_>>(), "floors": self.holder.floors(),
            "verdicts": self.verdicts.values().collect::<Vec<_>>(), "lease_ms": self.lease.as_millis() as u64, "now_us": now,
            "asked": self.asked, "granted": self.granted, "failed": self.failed, "fault": self.told,
        })
        .to_string()
    }
}
