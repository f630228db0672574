//! Limits that hold for all senders together: asks the registry's keepers for parts, and tells the decisions what they
//! may use. Off unless the configuration has a `ledger` object. `docs/ledger.md` states the protocol and its bound.

pub mod settings;

use super::asking::{self, AskError, whose_turn};
use super::events::{Clock, Input, Query};
use super::log;
use hyper::{Method, StatusCode};
use milletturn::{Demand, MILLISECOND, Micros, Quota, Quotas, Share};
use milletturn_ledger::compact::{self, Answer, Question};
use milletturn_ledger::naming::{self, ByteBudget, KeyDemand, Naming};
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
const LOOK_LEAST: Duration = Duration::from_millis(20);
/// The lease until an answer has told it.
const LEASE: Duration = Duration::from_millis(1500);
/// Rest between two tries of one sender while nobody answers, for each sender: a keeper bears some thousand questions a
/// second, and all that lost their parts at one moment ask it.
const RETRY_EACH: Duration = Duration::from_millis(2);
const RETRY_MOST: Duration = Duration::from_secs(5);
/// A replica that did not read the compact form is asked in it again after this time: it may have been upgraded.
const COMPACT_AGAIN: Duration = Duration::from_secs(30);

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

/// An answer in JSON, of replicas that do not read the compact form.
#[derive(Deserialize)]
struct JsonAnswer {
    lease: u64,
    dealt: Vec<Dealt>,
    #[serde(default)]
    verdicts: Vec<Verdict>,
}

/// What holds by the floors alone.
pub fn on_floors(ledger: &Ledger) -> Quotas {
    quotas(&Holder::new(ledger.floors()), 0)
}

/// What a holder may use, in the decisions' own terms: named are the destinations of which something is allocated or whose
/// fallback share is their own.
fn quotas(holder: &Holder, now: u64) -> Quotas {
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
    let allocated = parts.keys().map(|key| key.place());
    let own = floors.each.keys().filter_map(|name| Some(name.parse::<Key>().ok()?.place()));
    let destinations: BTreeSet<u64> = allocated.chain(own).collect();
    let named = destinations.into_iter().map(|destination| {
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

/// What a sender wants of each limit: what waits and what it sent since it was last counted, beyond its fallback shares. With
/// `whole` of its list, else of the destinations that it uses.
fn wanted(
    floors: &Floors, demand: &BTreeMap<u64, Demand>, before: Option<&BTreeMap<u64, u64>>, lease: Duration,
    whole: bool,
) -> Vec<KeyDemand> {
    let mut all = Vec::new();
    let lease = u64::try_from(lease.as_micros()).unwrap_or(u64::MAX).max(1);
    for (destination, demand) in demand {
        let counted = before.map_or(demand.sent, |before| before.get(destination).copied().unwrap_or(0));
        let sent = demand.sent.saturating_sub(counted);
        let calls = demand.waiting + sent;
        if !whole && calls == 0 && demand.out == 0 {
            continue;
        }
        let rate = calls.saturating_mul(1_000_000_000).div_ceil(lease);
        let [rate_key, out_key, cold_key] = keys(*destination);
        let cold = if demand.sick { rate } else { 0 };
        for (key, want) in [(rate_key, rate), (out_key, demand.waiting + demand.out), (cold_key, cold)] {
            if floors.name(&key) {
                let want = want.saturating_sub(floors.of(&key));
                let wanted = Wanted { key, want };
                let (waiting, sick) = (demand.waiting > 0, demand.sick);
                all.push(KeyDemand { wanted, waiting, sick, calls: demand.sent });
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
        let lease = u64::try_from(LEASE.as_micros()).unwrap_or(u64::MAX);
        let budget = ByteBudget::new(ledger.bytes_a_second, lease, means.now());
        let mut part = Part {
            means: &mut means,
            ledger,
            life,
            holder,
            random,
            lease: LEASE,
            naming: Naming::default(),
            budget,
            json_until: BTreeMap::new(),
            before: None,
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

    /// The number of destinations that are listed, and the demand at them: at all if they are `whole` at most.
    async fn demand(&self, whole: usize) -> (usize, BTreeMap<u64, Demand>) {
        let (reply, demand) = oneshot::channel();
        let _ = self.inputs.send(Input::Wanted { whole, reply });
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
    naming: Naming,
    budget: ByteBudget,
    /// Replicas that do not read the compact form, and until when they are not asked in it.
    json_until: BTreeMap<SocketAddr, Instant>,
    /// Calls sent to each destination that had any when that was last counted, once a lease while it is in use.
    before: Option<BTreeMap<u64, u64>>,
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
            let room = self.budget.room(self.means.now(), self.lease_us());
            let kinds = self.limited_kinds();
            let (listed, demand) = self.means.demand(room / kinds).await;
            let (list, whole) = (listed * kinds, listed <= room / kinds);
            let early = self.told.is_none() && whole && self.lacks(&demand);
            if room > 0 && (Instant::now() >= next || early) {
                let begun = Instant::now();
                let asked = self.ask(turn, &demand, list, room).await;
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
            let look = Instant::now() + (self.lease / LOOKS).max(LOOK_LEAST);
            // of a long list nothing is asked for before its time
            let look = if whole { look } else { look.max(next) };
            self.rest_until(look, queries).await;
        }
    }

    fn lease_us(&self) -> u64 {
        u64::try_from(self.lease.as_micros()).unwrap_or(u64::MAX)
    }

    /// How many kinds of a destination's limits there may be, one at least.
    fn limited_kinds(&self) -> usize {
        let of_kind = |name: &str, key: &Key| name.split('/').next().is_some_and(|kind| kind == key.kind());
        let floors = &self.holder.floors().each;
        keys(0).iter().filter(|key| floors.keys().any(|name| of_kind(name, key))).count().max(1)
    }

    fn part(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }

    /// Whether something waits for a part that it has none of.
    fn lacks(&self, demand: &BTreeMap<u64, Demand>) -> bool {
        let now = self.means.now();
        demand.iter().filter(|(_, demand)| demand.waiting > 0).any(|(destination, _)| {
            let [rate, out, _] = keys(*destination);
            self.holder.lacks(now, &rate) || self.holder.lacks(now, &out)
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

    /// Asks one replica for quotas of at most `room` limits, and has them bind.
    async fn ask(
        &mut self, turn: usize, demand: &BTreeMap<u64, Demand>, list: usize, room: usize,
    ) -> Result<(), AskError> {
        let (now, lease) = (self.means.now(), self.lease_us());
        let wants = wanted(self.holder.floors(), demand, self.before.as_ref(), self.lease, list <= room);
        let chosen = self.naming.choose(now, &self.holder, lease, wants, list, room);
        if self.before.is_none() || self.counted.elapsed() >= self.lease {
            self.counted = Instant::now();
            let sent = demand.iter().filter(|(_, demand)| demand.sent > 0);
            let sent = sent.map(|(destination, demand)| (*destination, demand.sent));
            self.before.get_or_insert_default().extend(sent);
        }
        let (number, wants) = self.holder.ask(now, chosen);
        self.asked += 1;
        let question = Question {
            sender: self.means.name.clone(),
            life: self.life,
            number,
            floors: self.holder.floors().clone(),
            zone: self.means.zone.clone(),
            wants,
            reports: naming::choose_reports(words(demand), |report| report.out, room),
        };
        let address = whose_turn(turn, *self.means.agent.borrow_and_update(), &self.ledger.others);
        let Answer { lease, quotas: allocated, verdicts, .. } = self.exchange(address, &question).await?;
        self.lease = Duration::from_micros(lease).max(Duration::from_millis(100));
        self.holder.granted(number, lease, allocated);
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
        let quotas = quotas(&self.holder, self.means.now());
        self.means.bind(Some(quotas)).await;
        Ok(())
    }

    /// One question and its answer, in the compact form unless this replica is known not to read it.
    async fn exchange(&mut self, address: SocketAddr, question: &Question) -> Result<Answer, AskError> {
        let path = "/v1/parts";
        if self.json_until.get(&address).is_none_or(|until| *until <= Instant::now()) {
            let body = question.write();
            self.budget.spend(body.len() as u64);
            let media = (compact::MEDIA_TYPE, body.into());
            match asking::exchange(address, Method::POST, path, media, ANSWER, ANSWER_MOST).await {
                Ok(answer) => {
                    self.budget.spend_more(answer.len() as u64);
                    return Ok(Answer::read(&answer)?);
                }
                Err(AskError::Refused(StatusCode::BAD_REQUEST | StatusCode::UNSUPPORTED_MEDIA_TYPE, _)) => {
                    log(format_args!("ledger: {address} is asked in JSON for a while"));
                    self.json_until.insert(address, Instant::now() + COMPACT_AGAIN);
                }
                Err(error) => return Err(error),
            }
        }
        let body = json!({ "sender": question.sender, "life": question.life, "number": question.number,
            "floors": question.floors, "wants": question.wants, "zone": question.zone, "words": question.reports });
        let body = body.to_string();
        self.budget.spend(body.len() as u64);
        let media = ("application/json", body.into());
        let answer = asking::exchange(address, Method::POST, path, media, ANSWER, ANSWER_MOST).await?;
        self.budget.spend_more(answer.len() as u64);
        let JsonAnswer { lease, dealt, verdicts } = serde_json::from_slice(&answer)?;
        Ok(Answer { lease, rev: 0, quotas: dealt, verdicts })
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
