//! What a sender wants of limits that all hold together, and what it reports of destinations, by the demand of its decisions.

use message_sender::Demand;
use quota_ledger::health::HealthReport;
use quota_ledger::quotas::KeyDemand;
use quota_ledger::{FallbackQuotas, LimitKey, QuotaDemand, Resource};
use std::collections::BTreeMap;
use std::time::Duration;

/// The limits of a destination that the decisions keep to.
pub(super) fn keys(destination: u64) -> [LimitKey; 3] {
    [
        Resource::Rate,
        Resource::Concurrency,
        Resource::RecoveryRate,
    ]
    .map(|what| LimitKey::of(destination, what))
}

/// What a sender wants of each limit: what waits and what it sent since it was last counted, beyond its fallback shares. With
/// `whole` of its list, else of the destinations that it uses.
pub(super) fn wanted(
    floors: &FallbackQuotas,
    demand: &BTreeMap<u64, Demand>,
    before: Option<&BTreeMap<u64, u64>>,
    lease: Duration,
    whole: bool,
) -> Vec<KeyDemand> {
    let mut all = Vec::new();
    let lease = u64::try_from(lease.as_micros()).unwrap_or(u64::MAX).max(1);
    for (destination, demand) in demand {
        let counted = before.map_or(demand.sent, |before| {
            before.get(destination).copied().unwrap_or(0)
        });
        let sent = demand.sent.saturating_sub(counted);
        let calls = demand.waiting + sent;
        if !whole && calls == 0 && demand.in_flight == 0 {
            continue;
        }
        let rate = calls.saturating_mul(1_000_000_000).div_ceil(lease);
        let [rate_key, out_key, cold_key] = keys(*destination);
        let cold = if demand.unhealthy { rate } else { 0 };
        for (key, want) in [
            (rate_key, rate),
            (out_key, demand.waiting + demand.in_flight),
            (cold_key, cold),
        ] {
            if floors.is_limited(&key) {
                let want = want.saturating_sub(floors.of(&key));
                let wanted = QuotaDemand { key, amount: want };
                let (waiting, sick) = (demand.waiting > 0, demand.unhealthy);
                all.push(KeyDemand {
                    demand: wanted,
                    waiting,
                    unhealthy: sick,
                    calls_sent: demand.sent,
                });
            }
        }
    }
    all
}

/// What this sender reports of destinations by its own calls: nothing of those that it knows nothing of now.
pub(super) fn reports(demand: &BTreeMap<u64, Demand>) -> Vec<HealthReport> {
    let report = |(destination, demand): (&u64, &Demand)| {
        let said = demand.sent > 0 && (demand.failing || demand.alive);
        said.then_some(HealthReport {
            destination: *destination,
            unavailable: demand.failing,
        })
    };
    demand.iter().filter_map(report).collect()
}

/// How many kinds of a destination's limits there may be, one at least.
pub(super) fn limited_kinds(floors: &FallbackQuotas) -> usize {
    let of_kind = |name: &str, key: &LimitKey| {
        name.split('/')
            .next()
            .is_some_and(|kind| kind == key.kind())
    };
    keys(0)
        .iter()
        .filter(|key| floors.per_sender.keys().any(|name| of_kind(name, key)))
        .count()
        .max(1)
}
