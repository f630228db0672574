//! What a sender demands of the limits that all senders share, and what it reports of the health of destinations, by the
//! demand that its decisions report.

use message_sender::Demand;
use quota_ledger::health::HealthReport;
use quota_ledger::quotas::KeyDemand;
use quota_ledger::{FallbackQuotas, LimitKey, QuotaDemand, Resource};
use std::collections::BTreeMap;
use std::time::Duration;

/// Thousandths of a call a second that one call a microsecond is.
const MILLIRATE_PER_MICROSECOND: u64 = 1_000_000_000;

/// The limits of a destination that the decisions keep to: rate, concurrency, rate while it is not healthy.
pub(super) fn keys(destination: u64) -> [LimitKey; 3] {
    [
        Resource::Rate,
        Resource::Concurrency,
        Resource::RecoveryRate,
    ]
    .map(|resource| LimitKey::of(destination, resource))
}

/// What a sender demands of each limit beyond its fallback quotas: what waits and what it sent since that was last
/// counted. With `complete` of its whole list, else of the destinations that it uses.
pub(super) fn key_demands(
    fallback_quotas: &FallbackQuotas,
    demand: &BTreeMap<u64, Demand>,
    last_call_counts: Option<&BTreeMap<u64, u64>>,
    lease: Duration,
    complete: bool,
) -> Vec<KeyDemand> {
    let mut all = Vec::new();
    let lease = u64::try_from(lease.as_micros()).unwrap_or(u64::MAX).max(1);
    for (destination, demand) in demand {
        let counted = last_call_counts.map_or(demand.sent, |last_call_counts| {
            last_call_counts.get(destination).copied().unwrap_or(0)
        });
        let calls = demand.waiting + demand.sent.saturating_sub(counted);
        if !complete && calls == 0 && demand.in_flight == 0 {
            continue;
        }
        let rate = calls
            .saturating_mul(MILLIRATE_PER_MICROSECOND)
            .div_ceil(lease);
        let concurrency = demand.waiting + demand.in_flight;
        let rate_unhealthy = if demand.unhealthy { rate } else { 0 };
        let amounts = [rate, concurrency, rate_unhealthy];
        for (key, amount) in keys(*destination).into_iter().zip(amounts) {
            if fallback_quotas.is_limited(&key) {
                all.push(key_demand(fallback_quotas, key, amount, demand));
            }
        }
    }
    all
}

fn key_demand(
    fallback_quotas: &FallbackQuotas,
    key: LimitKey,
    amount: u64,
    demand: &Demand,
) -> KeyDemand {
    let beyond_fallback = amount.saturating_sub(fallback_quotas.of(&key));
    KeyDemand {
        demand: QuotaDemand {
            key,
            amount: beyond_fallback,
        },
        waiting: demand.waiting > 0,
        unhealthy: demand.unhealthy,
        calls_sent: demand.sent,
    }
}

/// What this sender reports of destinations by its own calls: nothing of those that it knows nothing of now.
pub(super) fn health_reports(demand: &BTreeMap<u64, Demand>) -> Vec<HealthReport> {
    demand
        .iter()
        .filter(|(_, demand)| demand.sent > 0 && (demand.failing || demand.alive))
        .map(|(destination, demand)| HealthReport {
            destination: *destination,
            unavailable: demand.failing,
        })
        .collect()
}

/// How many kinds of a destination's limits there may be, one at least.
pub(super) fn limited_kinds(fallback_quotas: &FallbackQuotas) -> usize {
    let is_of_kind = |name: &str, key: &LimitKey| {
        name.split('/')
            .next()
            .is_some_and(|kind| kind == key.kind())
    };
    keys(0)
        .iter()
        .filter(|key| {
            fallback_quotas
                .per_sender
                .keys()
                .any(|name| is_of_kind(name, key))
        })
        .count()
        .max(1)
}
