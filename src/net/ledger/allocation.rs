//! What a sender may use of the limits that all senders share, in the decisions' own terms.

use super::demands::keys;
use super::settings::LedgerSettings;
use message_sender::{
    ConcurrencyQuota, MILLISECOND, Micros, Quota, QuotaAllocation, QuotaShare, Quotas,
};
use quota_ledger::{Allocation, FallbackQuotas, LimitKey, QuotaHolder};
use std::collections::{BTreeMap, BTreeSet};

/// How long a call may last where the registry has not said: as long as without a limit.
const UNLIMITED_CALL: Micros = Micros::MAX / 4;

/// An allocation that lasts.
struct CurrentAllocation<'a> {
    allocation: &'a Allocation,
    /// What may be used beside the fallback quota; none: there is no limit.
    amount: Option<u64>,
    /// When its lease expires, in module time.
    until: u64,
}

/// What holds without a lease.
pub fn fallback_only(settings: &LedgerSettings) -> Quotas {
    quotas(&QuotaHolder::new(settings.fallback_quotas()), 0)
}

/// What a holder may use: by name of the destinations of which something is allocated or whose fallback quota is their
/// own, and of all others.
pub(super) fn quotas(holder: &QuotaHolder, now: u64) -> Quotas {
    let fallback_quotas = holder.fallback_quotas();
    let allocations: BTreeMap<&LimitKey, CurrentAllocation<'_>> = holder
        .allocations(now)
        .map(|(allocation, amount, until)| {
            let current = CurrentAllocation {
                allocation,
                amount,
                until,
            };
            (&allocation.key, current)
        })
        .collect();
    let named = named_destinations(fallback_quotas, &allocations)
        .into_iter()
        .map(|destination| {
            let quota = destination_quota(destination, fallback_quotas, &allocations);
            (destination, quota)
        })
        .collect();
    Quotas {
        named,
        others: other_destinations_quota(fallback_quotas),
    }
}

fn named_destinations(
    fallback_quotas: &FallbackQuotas,
    allocations: &BTreeMap<&LimitKey, CurrentAllocation<'_>>,
) -> BTreeSet<u64> {
    let allocated = allocations.keys().map(|key| key.position());
    let with_own_fallback = fallback_quotas
        .per_sender
        .keys()
        .filter_map(|name| Some(name.parse::<LimitKey>().ok()?.position()));
    allocated.chain(with_own_fallback).collect()
}

fn destination_quota(
    destination: u64,
    fallback_quotas: &FallbackQuotas,
    allocations: &BTreeMap<&LimitKey, CurrentAllocation<'_>>,
) -> Quota {
    let share = |key: &LimitKey| {
        let allocation = allocations.get(key);
        fallback_quotas.is_limited(key).then(|| QuotaShare {
            fallback: fallback_quotas.of(key),
            allocation: allocation.and_then(CurrentAllocation::quota),
        })
    };
    let longest_call = |key: &LimitKey| {
        let allocation = allocations.get(key);
        allocation.map_or(UNLIMITED_CALL, CurrentAllocation::longest_call)
    };
    let [rate, concurrency, rate_unhealthy] = keys(destination);
    Quota {
        rate: share(&rate),
        in_flight: share(&concurrency).map(|share| ConcurrencyQuota {
            share,
            max_duration: longest_call(&concurrency),
        }),
        unhealthy_rate: share(&rate_unhealthy),
    }
}

/// The quota of a destination that has no allocation and no fallback quota of its own.
fn other_destinations_quota(fallback_quotas: &FallbackQuotas) -> Quota {
    let share = |kind: &str| {
        let fallback = fallback_quotas.per_sender.get(kind)?;
        Some(QuotaShare {
            fallback: *fallback,
            allocation: None,
        })
    };
    Quota {
        rate: share("rate"),
        in_flight: share("out").map(|share| ConcurrencyQuota {
            share,
            max_duration: UNLIMITED_CALL,
        }),
        unhealthy_rate: share("cold"),
    }
}

impl CurrentAllocation<'_> {
    /// In the decisions' own terms; none: it expires later than module time can say.
    fn quota(&self) -> Option<QuotaAllocation> {
        let until = Micros::try_from(self.until).ok()?;
        Some(QuotaAllocation {
            amount: self.amount,
            until,
        })
    }

    /// How long a call under it may last.
    fn longest_call(&self) -> Micros {
        match self.allocation.expiry_grace_ms {
            0 => UNLIMITED_CALL,
            grace_ms => Micros::try_from(grace_ms).unwrap_or(0) * MILLISECOND,
        }
    }
}
