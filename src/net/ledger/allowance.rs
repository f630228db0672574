//! What a lease client may use, in the decisions' own terms.

use super::settings::Ledger;
use super::wants::keys;
use message_sender::{
    Allocation, ConcurrencyQuota, MILLISECOND, Micros, Quota, QuotaShare, Quotas,
};
use quota_ledger::{LimitKey, QuotaHolder};
use std::collections::{BTreeMap, BTreeSet};

/// What holds by the floors alone.
pub fn on_floors(ledger: &Ledger) -> Quotas {
    quotas(&QuotaHolder::new(ledger.floors()), 0)
}

/// What a holder may use, in the decisions' own terms: named are the destinations of which something is allocated or whose
/// fallback share is their own.
pub(super) fn quotas(holder: &QuotaHolder, now: u64) -> Quotas {
    let parts: BTreeMap<&LimitKey, _> = holder
        .allocations(now)
        .map(|(dealt, part, until)| (&dealt.key, (dealt, part, until)))
        .collect();
    let floors = holder.fallback_quotas();
    let kind = |name: &str| {
        floors.per_sender.get(name).map(|floor| QuotaShare {
            fallback: *floor,
            allocation: None,
        })
    };
    let share = |key: &LimitKey| {
        let part = parts.get(key);
        let until = part.and_then(|(_, _, until)| Micros::try_from(*until).ok());
        let allocation = part.and_then(|(_, part, _)| {
            Some(Allocation {
                amount: *part,
                until: until?,
            })
        });
        floors.is_limited(key).then(|| QuotaShare {
            fallback: floors.of(key),
            allocation,
        })
    };
    let linger = |key: &LimitKey| {
        let linger = parts
            .get(key)
            .map_or(0, |(dealt, ..)| dealt.expiry_grace_ms);
        // without a word of how long calls may last they are as long as before
        if linger == 0 {
            Micros::MAX / 4
        } else {
            Micros::try_from(linger).unwrap_or(0) * MILLISECOND
        }
    };
    let allocated = parts.keys().map(|key| key.position());
    let own = floors
        .per_sender
        .keys()
        .filter_map(|name| Some(name.parse::<LimitKey>().ok()?.position()));
    let destinations: BTreeSet<u64> = allocated.chain(own).collect();
    let named = destinations.into_iter().map(|destination| {
        let [rate, out, cold] = keys(destination);
        let quota = Quota {
            rate: share(&rate),
            in_flight: share(&out).map(|share| ConcurrencyQuota {
                share,
                max_duration: linger(&out),
            }),
            unhealthy_rate: share(&cold),
        };
        (destination, quota)
    });
    let others = Quota {
        rate: kind("rate"),
        in_flight: kind("out").map(|share| ConcurrencyQuota {
            share,
            max_duration: Micros::MAX / 4,
        }),
        unhealthy_rate: kind("cold"),
    };
    Quotas {
        named: named.collect(),
        others,
    }
}
