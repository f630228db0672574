//! What the limits cost that all senders hold together, by destinations and senders: the log's state, the allocation table
//! of the replica that deals a range, and the bytes of a question. In process, with the ledger crate and the registry's own
//! types; nothing is sent.

#[cfg(test)]
mod tests;

use super::resources::{resident, thread_time};
use clap::Args;
use fleet_registry::replica::{QuotaRequest, QuotaResponse};
use quota_ledger::health::{EPOCHS_PER_ALLOCATOR, HealthVerdict};
use quota_ledger::{
    Allocation, Allocator, FallbackQuotas, LeaseTerms, LedgerEntry, LedgerError, LedgerState,
    Limit, LimitKey, Micros, QuotaDemand, Resource,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde::Serialize;

/// The registry's default lease, and what its clock may be wrong by.
pub(super) const TERMS: LeaseTerms = LeaseTerms {
    lease: 1_500_000,
    max_drift: 30_000,
};
/// A sender asks a quarter of a lease after it asked last.
const QUESTIONS_A_LEASE: f64 = 4.0;
/// Every sender's floor and wish, and what a destination takes beyond its floors: thousandths of a call a second.
const FLOOR: u64 = 1;
const WISH: u64 = 2_000;
const BEYOND_FLOORS: u64 = 20_000;
/// Allocations that are timed: enough that the clock's own cost is none of them.
const TIMED: usize = 20_000;

/// What is measured.
#[derive(Debug, Clone, Args)]
pub struct Order {
    /// Destinations, each with one limit.
    #[arg(long)]
    pub destinations: u64,
    /// Senders of the fleet.
    #[arg(long, default_value_t = 2_100)]
    pub senders: u32,
    /// Senders that hold a part of each destination.
    #[arg(long, default_value_t = 1)]
    pub holders: u32,
    /// Seed of the order in which parts are asked for.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// What the log keeps of the limits.
#[derive(Debug, Clone, Serialize)]
pub struct BookFigures {
    /// Limits that were taken.
    pub limits: u64,
    /// Why no more were taken.
    pub refused: Option<String>,
    /// Resident memory of each, bytes.
    pub bytes_each: f64,
    /// CPU time to set one, microseconds.
    pub set_us: f64,
}

/// What the replica that deals a range keeps in memory.
#[derive(Debug, Clone, Serialize)]
pub struct TableFigures {
    /// Pairs of a destination and a sender that holds a part of it.
    pub pairs: u64,
    /// Resident memory of the whole table, bytes.
    pub bytes: u64,
    /// The same for each pair.
    pub bytes_each: f64,
    /// CPU time for one allocation, microseconds.
    pub allocation_us: f64,
    /// The same at a destination of which every sender of the fleet holds a part.
    pub shared_by_all_us: f64,
}

/// What one sender's question takes, once an answer has told it all its limits. It names each destination of its list.
#[derive(Debug, Clone, Serialize)]
pub struct QuestionFigures {
    /// Bytes of the body.
    pub request_bytes: u64,
    /// Bytes of the answer's body.
    pub answer_bytes: u64,
    /// Both, a second: a question each quarter of a lease.
    pub bytes_a_second: f64,
    /// CPU time to write and read both, microseconds.
    pub codec_us: f64,
    /// Bytes of one verdict on a destination, as an answer has it.
    pub verdict_bytes: u64,
}

/// All figures of one run.
#[derive(Debug, Clone, Serialize)]
pub struct Figures {
    /// Destinations.
    pub destinations: u64,
    /// Senders.
    pub senders: u32,
    /// Senders that hold a part of each destination.
    pub holders: u32,
    /// Seed.
    pub seed: u64,
    /// The log's state.
    pub book: BookFigures,
    /// The allocation table.
    pub table: TableFigures,
    /// A question.
    pub question: QuestionFigures,
}

/// Measures all.
///
/// # Errors
/// Memory can't be read, or the ledger refuses something that no limit of size explains.
pub fn measure(order: &Order) -> anyhow::Result<Figures> {
    anyhow::ensure!(
        order.senders > 0 && order.destinations > 0,
        "a fleet has senders and destinations"
    );
    anyhow::ensure!(
        order.holders <= order.senders,
        "--holders: no more than there are senders"
    );
    Ok(Figures {
        destinations: order.destinations,
        senders: order.senders,
        holders: order.holders,
        seed: order.seed,
        book: book(order)?,
        table: table(order)?,
        question: question(order)?,
    })
}

fn floors(senders: u32) -> FallbackQuotas {
    FallbackQuotas {
        senders,
        per_sender: [("rate".to_string(), FLOOR)].into(),
    }
}

fn limit(senders: u32) -> Limit {
    Limit {
        total: FLOOR * u64::from(senders) + BEYOND_FLOORS,
        expiry_grace_ms: 0,
    }
}

pub(super) fn rate(destination: u64) -> LimitKey {
    LimitKey::of(destination, Resource::Rate)
}

fn microseconds(cpu: std::time::Duration, count: u64) -> f64 {
    cpu.as_secs_f64() * 1e6 / count.max(1) as f64
}

/// Sets one limit after the other until all are set or the ledger takes no more.
fn book(order: &Order) -> anyhow::Result<BookFigures> {
    let before = resident()?;
    let mut book = None;
    let begin = LedgerEntry::Create {
        fallback_quotas: floors(order.senders),
        terms: TERMS,
        split_at: Vec::new(),
    };
    LedgerState::apply(&mut book, begin)?;
    let cpu = thread_time();
    let (mut limits, mut refused) = (0, None);
    for destination in 0..order.destinations {
        let limit = Some(limit(order.senders));
        let entry = LedgerEntry::SetLimit {
            key: rate(destination),
            limit,
            if_match: None,
        };
        match LedgerState::apply(&mut book, entry) {
            Ok(()) => limits += 1,
            Err(error @ LedgerError::Limit(_)) => {
                refused = Some(error.to_string());
                break;
            }
            Err(error) => return Err(error.into()),
        }
    }
    let set_us = microseconds(thread_time().saturating_sub(cpu), limits);
    let bytes = resident()?.saturating_sub(before);
    Ok(BookFigures {
        limits,
        refused,
        bytes_each: bytes as f64 / limits.max(1) as f64,
        set_us,
    })
}

/// Allocates a part to one sender.
fn allocate(keeper: &mut Allocator, now: Micros, senders: u32, destination: u64, sender: u64) {
    let want = QuotaDemand {
        key: rate(destination),
        amount: WISH,
    };
    keeper.allocate(now, sender, &want, limit(senders), &floors(senders));
}

/// Fills the allocation table, and times allocations in it. The table itself has no limit of size.
fn table(order: &Order) -> anyhow::Result<TableFigures> {
    let before = resident()?;
    let mut keeper = Allocator::new(TERMS, 0);
    let now = TERMS.longest_validity();
    for destination in 0..order.destinations {
        for holder in 0..u64::from(order.holders) {
            allocate(&mut keeper, now, order.senders, destination, holder);
        }
    }
    let bytes = resident()?.saturating_sub(before);
    let pairs = order.destinations * u64::from(order.holders);
    let mut random = Pcg64::seed_from_u64(order.seed);
    // later than the level of a destination is good for, so that it is found anew
    let later = now + TERMS.lease / 2;
    let cpu = thread_time();
    for _ in 0..TIMED {
        let destination = random.random_range(0..order.destinations);
        let holder = random.random_range(0..u64::from(order.holders));
        allocate(&mut keeper, later, order.senders, destination, holder);
    }
    let allocation_us = microseconds(thread_time().saturating_sub(cpu), TIMED as u64);
    Ok(TableFigures {
        pairs,
        bytes,
        bytes_each: bytes as f64 / pairs as f64,
        allocation_us,
        shared_by_all_us: shared_by_all(order.senders),
    })
}

/// CPU time of one allocation where all senders ask at one destination, each once in a quarter of a lease.
fn shared_by_all(senders: u32) -> f64 {
    let mut keeper = Allocator::new(TERMS, 0);
    let round = TERMS.lease / QUESTIONS_A_LEASE as Micros;
    let mut spent = std::time::Duration::ZERO;
    let rounds = 3;
    for number in 0..=rounds {
        let cpu = thread_time();
        for sender in 0..u64::from(senders) {
            let now =
                TERMS.longest_validity() + number * round + sender * round / u64::from(senders);
            allocate(&mut keeper, now, senders, 0, sender);
        }
        // the first round fills the table
        if number > 0 {
            spent += thread_time().saturating_sub(cpu);
        }
    }
    microseconds(spent, rounds * u64::from(senders))
}

/// What is asked and answered of one sender's whole list.
fn question(order: &Order) -> anyhow::Result<QuestionFigures> {
    let wants = (0..order.destinations)
        .map(|destination| QuotaDemand {
            key: rate(destination),
            amount: 0,
        })
        .collect();
    let question = QuotaRequest {
        sender: "s-0001".to_string(),
        incarnation: 1_800_000_000_000_000,
        sequence: 1_000_000,
        fallback_quotas: floors(order.senders),
        demands: wants,
        zone: "zone-01".to_string(),
        health_reports: Vec::new(),
    };
    let total = limit(order.senders).total;
    let dealt = |destination| Allocation {
        key: rate(destination),
        quota: Some(WISH),
        total: Some(total),
        expiry_grace_ms: 0,
    };
    let answer = QuotaResponse {
        lease: TERMS.lease,
        rev: order.destinations,
        allocations: (0..order.destinations).map(dealt).collect(),
        ..QuotaResponse::default()
    };
    let cpu = thread_time();
    let request = serde_json::to_vec(&question)?;
    let reply = serde_json::to_vec(&answer)?;
    serde_json::from_slice::<QuotaRequest>(&request)?;
    serde_json::from_slice::<QuotaResponse>(&reply)?;
    let codec_us = microseconds(thread_time().saturating_sub(cpu), 1);
    let (request_bytes, answer_bytes) = (request.len() as u64, reply.len() as u64);
    let a_second = QUESTIONS_A_LEASE * 1e6 / TERMS.lease as f64;
    let bytes_a_second = (request_bytes + answer_bytes) as f64 * a_second;
    let verdict = HealthVerdict {
        destination: order.destinations,
        unavailable: true,
        epoch: EPOCHS_PER_ALLOCATOR + 1,
        observers: 2,
    };
    let verdict_bytes = serde_json::to_vec(&verdict)?.len() as u64;
    Ok(QuestionFigures {
        request_bytes,
        answer_bytes,
        bytes_a_second,
        codec_us,
        verdict_bytes,
    })
}
