//! What a sender may use of the limits that all senders share, in the decisions' own terms.

use super::demands::keys;
use super::settings::LedgerSettings;
use message_sender::{MILLISECOND, Micros, Quota, Quotas, Share};
use quota_ledger::{Dealt, Floors, Holder, Key};
use std::collections::{BTreeMap, BTreeSet};

/// How long a call may last where the registry has not said: as long as without a limit.
const UNLIMITED_CALL: Micros = Micros::MAX / 4;

/// An allocation that lasts.
struct Allocation<'a> {
    dealt: &'a Dealt,
    /// What may be used beside the fallback quota; none: there is no limit.
    amount: Option<u64>,
    /// When its lease expires, in module time.
    until: u64,
}

/// What holds without a lease.
pub fn fallback_only(settings: &LedgerSettings) -> Quotas {
    quotas(&Holder::new(settings.fallback_quotas()), 0)
}

/// What a holder may use: by name of the destinations of which something is allocated or whose fallback quota is their
/// own, and of all others.
pub(super) fn quotas(holder: &Holder, now: u64) -> Quotas {
    let fallback_quotas = holder.floors();
    let allocations: BTreeMap<&Key, Allocation<'_>> = holder
        .parts(now)
        .map(|(dealt, amount, until)| {
            let allocation = Allocation {
                dealt,
                amount,
                until,
            };
            (&dealt.key, allocation)
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
    fallback_quotas: &Floors,
    allocations: &BTreeMap<&Key, Allocation<'_>>,
) -> BTreeSet<u64> {
    let allocated = allocations.keys().map(|key| key.place());
    let with_own_fallback = fallback_quotas
        .each
        .keys()
        .filter_map(|name| Some(name.parse::<Key>().ok()?.place()));
    allocated.chain(with_own_fallback).collect()
}

fn destination_quota(
    destination: u64,
    fallback_quotas: &Floors,
    allocations: &BTreeMap<&Key, Allocation<'_>>,
) -> Quota {
    let share = |key: &Key| {
        let allocation = allocations.get(key);
        fallback_quotas.name(key).then(|| Share {
            fallback: fallback_quotas.of(key),
            part: allocation.and_then(Allocation::amount_until),
        })
    };
    let longest_call = |key: &Key| {
        let allocation = allocations.get(key);
        allocation.map_or(UNLIMITED_CALL, Allocation::longest_call)
    };
    let [rate, concurrency, rate_unhealthy] = keys(destination);
    Quota {
        rate: share(&rate),
        out: share(&concurrency).map(|share| (share, longest_call(&concurrency))),
        cold: share(&rate_unhealthy),
    }
}

/// The quota of a destination that has no allocation and no fallback quota of its own.
fn other_destinations_quota(fallback_quotas: &Floors) -> Quota {
    let share = |kind: &str| {
        let fallback = fallback_quotas.each.get(kind)?;
        Some(Share {
            fallback: *fallback,
            part: None,
        })
    };
    Quota {
        rate: share("rate"),
        out: share("out").map(|share| (share, UNLIMITED_CALL)),
        cold: share("cold"),
    }
}

impl Allocation<'_> {
    /// The amount, and until when it may be used; none: it expires later than module time can say.
    fn amount_until(&self) -> Option<(Option<u64>, Micros)> {
        let until = Micros::try_from(self.until).ok()?;
        Some((self.amount, until))
    }

    /// How long a call under it may last.
    fn longest_call(&self) -> Micros {
        match self.dealt.linger_ms {
            0 => UNLIMITED_CALL,
            linger_ms => Micros::try_from(linger_ms).unwrap_or(0) * MILLISECOND,
        }
    }
}
