//! What a sender's questions for quotas cost by the length of its list, in passed-in time: the ledger crate's own rules of
//! what is named, its budget of bytes, its lease client, its lease holder and the compact form. Nothing is sent.
//!
//! The worst case for questions: every event is of a destination drawn evenly from the whole list, and none may go on the
//! fallback share, so that each one needs a quota.

#[cfg(test)]
mod tests;

use super::ledger::{TERMS, rate};
use super::resources::thread_time;
use super::spread::Spread;
use clap::{Args, ValueEnum};
use quota_ledger::quotas::compact::{QuotaRequest, QuotaResponse};
use quota_ledger::quotas::{ByteBudget, DemandSelector, HEADER_BYTES, KeyDemand};
use quota_ledger::{Allocator, FallbackQuotas, Limit, Micros, QuotaDemand, QuotaHolder};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde::Serialize;
use std::collections::BTreeMap;

/// The sender looks at its demand so often in a lease, and asks this often.
const LOOKS: u64 = 12;
const QUESTIONS: u64 = 4;
/// How long an answer is under way.
const ANSWER: Micros = 5_000;
const SECOND: Micros = 1_000_000;
/// What a destination takes from all senders, thousandths of a call a second: quotas are had, and the questions are what is
/// measured.
const TOTAL: u64 = 1_000_000;

/// What a question names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Names {
    /// What is used, as the sender does.
    Used,
    /// The whole list each time: a planted fault.
    Whole,
}

/// What is measured.
#[derive(Debug, Clone, Args)]
pub struct Order {
    /// Destinations, each with one limit.
    #[arg(long)]
    pub destinations: u64,
    /// Events a second.
    #[arg(long, default_value_t = 300)]
    pub events: u64,
    /// Bytes a second that questions and answers may take.
    #[arg(long, default_value_t = 6_000)]
    pub budget: u64,
    /// Seconds of passed-in time.
    #[arg(long, default_value_t = 60)]
    pub seconds: u64,
    /// What questions name.
    #[arg(long, value_enum, default_value_t = Names::Used)]
    pub names: Names,
    /// Seed of the events.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// All figures of one run.
#[derive(Debug, Clone, Serialize)]
pub struct Figures {
    /// Destinations.
    pub destinations: u64,
    /// Events a second.
    pub events: u64,
    /// Seed.
    pub seed: u64,
    /// Bytes a second of questions and answers with their heads, in the mean.
    pub bytes_a_second: f64,
    /// Bytes of one question and its answer, heads included.
    pub question: Spread,
    /// Questions a second.
    pub questions_a_second: f64,
    /// Names of one question.
    pub names: Spread,
    /// Seconds from an event until its destination has a quota.
    pub wait: Spread,
    /// Events that still waited at the end.
    pub waiting: u64,
    /// CPU time of the choice and of both codecs on the sender's side, % of a core.
    pub cpu: f64,
}

/// Events of one destination.
#[derive(Debug, Default)]
struct Use {
    since: Vec<Micros>,
    calls: u64,
    counted: u64,
}

/// Plays a sender that asks one lease holder.
///
/// # Errors
/// The order makes no sense.
pub fn measure(order: &Order) -> anyhow::Result<Figures> {
    anyhow::ensure!(
        order.destinations > 0 && order.seconds > 0,
        "there is nothing to measure"
    );
    let floors = FallbackQuotas {
        senders: 2_100,
        per_sender: [("rate".to_string(), 0)].into(),
    };
    let begin = TERMS.longest_validity();
    let mut sender = Sender {
        holder: QuotaHolder::new(floors.clone()),
        naming: DemandSelector::default(),
        budget: ByteBudget::new(order.budget, TERMS.lease, begin),
        uses: BTreeMap::new(),
        floors,
        list: usize::try_from(order.destinations)?,
        names: order.names,
        cpu: std::time::Duration::ZERO,
    };
    let mut lease_holder = Allocator::new(TERMS, 0);
    let mut random = Pcg64::seed_from_u64(order.seed);
    let (mut asked, mut waits, mut next) = (Vec::new(), Vec::new(), begin);
    let look = TERMS.lease / LOOKS;
    for number in 0..order.seconds * SECOND / look {
        let now = begin + number * look;
        let events =
            (number + 1) * look * order.events / SECOND - number * look * order.events / SECOND;
        for _ in 0..events {
            let destination = random.random_range(0..order.destinations);
            // spread over the time since the last look
            let at = now - random.random_range(0..look);
            sender.uses.entry(destination).or_default().since.push(at);
        }
        if now >= next && sender.ask(now, &mut lease_holder, &mut asked) {
            next = now + TERMS.lease / QUESTIONS;
        }
        sender.serve(now + ANSWER, &mut waits);
        if number % LOOKS == 0 {
            sender.count();
        }
    }
    let bytes: Vec<f64> = asked.iter().map(|(bytes, _)| *bytes as f64).collect();
    let seconds = order.seconds as f64;
    Ok(Figures {
        destinations: order.destinations,
        events: order.events,
        seed: order.seed,
        bytes_a_second: bytes.iter().sum::<f64>() / seconds,
        questions_a_second: bytes.len() as f64 / seconds,
        question: Spread::of(bytes),
        names: Spread::of(asked.iter().map(|(_, names)| *names as f64).collect()),
        wait: Spread::of(waits),
        waiting: sender
            .uses
            .values()
            .map(|used| used.since.len() as u64)
            .sum(),
        cpu: 100.0 * sender.cpu.as_secs_f64() / seconds,
    })
}

/// One sender's side.
struct Sender {
    holder: QuotaHolder,
    naming: DemandSelector,
    budget: ByteBudget,
    uses: BTreeMap<u64, Use>,
    floors: FallbackQuotas,
    list: usize,
    names: Names,
    cpu: std::time::Duration,
}

impl Sender {
    /// Asks if there is room and something to name; the bytes and the names of the question.
    fn ask(
        &mut self,
        now: Micros,
        lease_holder: &mut Allocator,
        asked: &mut Vec<(u64, usize)>,
    ) -> bool {
        let cpu = thread_time();
        let room = self.budget.available_keys(now, TERMS.lease);
        if room == 0 {
            return false;
        }
        let wanted = match self.names {
            Names::Used => self.naming.select(
                now,
                &self.holder,
                TERMS.lease,
                self.demand(),
                self.list,
                room,
            ),
            Names::Whole => (0..self.list as u64)
                .map(|place| QuotaDemand {
                    key: rate(place),
                    amount: 0,
                })
                .collect(),
        };
        let (number, wants) = (self.holder.request(now), wanted);
        let question = QuotaRequest {
            sender: "s-0001".to_string(),
            incarnation: 1_800_000_000_000_000,
            sequence: number,
            fallback_quotas: self.floors.clone(),
            zone: "zone-01".to_string(),
            demands: wants,
            reports: Vec::new(),
        };
        let request = question.encode();
        self.cpu += thread_time().saturating_sub(cpu);
        let limit = Limit {
            total: TOTAL,
            expiry_grace_ms: 0,
        };
        let quotas = question
            .demands
            .iter()
            .map(|want| lease_holder.allocate(now, 0, want, limit, &self.floors));
        let answer = QuotaResponse {
            lease: TERMS.lease,
            revision: 480_000,
            allocations: quotas.collect(),
            verdicts: Vec::new(),
        };
        let reply = answer.encode();
        let cpu = thread_time();
        if let Ok(answer) = QuotaResponse::decode(&reply) {
            self.holder
                .apply_allocations(number, answer.lease, answer.allocations);
        }
        self.cpu += thread_time().saturating_sub(cpu);
        let body = (request.len() + reply.len()) as u64;
        self.budget.charge_request(body);
        asked.push((body + HEADER_BYTES, question.demands.len()));
        true
    }

    fn demand(&self) -> Vec<KeyDemand> {
        let demand = |(destination, used): (&u64, &Use)| {
            let calls = used.since.len() as u64 + used.calls - used.counted;
            let want = calls.saturating_mul(1_000_000_000).div_ceil(TERMS.lease);
            let wanted = QuotaDemand {
                key: rate(*destination),
                amount: want,
            };
            KeyDemand {
                demand: wanted,
                waiting: !used.since.is_empty(),
                unhealthy: false,
                calls_sent: used.calls,
            }
        };
        self.uses.iter().map(demand).collect()
    }

    /// Sends what has a quota now.
    fn serve(&mut self, now: Micros, waits: &mut Vec<f64>) {
        for (destination, used) in &mut self.uses {
            if !used.since.is_empty() && !self.holder.is_at_fallback(now, &rate(*destination)) {
                used.calls += used.since.len() as u64;
                waits.extend(
                    used.since
                        .drain(..)
                        .map(|since| (now - since) as f64 / SECOND as f64),
                );
            }
        }
    }

    /// Counts what was sent once a lease, and forgets what is not used.
    fn count(&mut self) {
        self.uses
            .retain(|_, used| !used.since.is_empty() || used.calls > used.counted);
        self.uses
            .values_mut()
            .for_each(|used| used.counted = used.calls);
    }
}
