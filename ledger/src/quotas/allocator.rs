//! The allocator of a shard: who may still use which quota of a limit, and what is allocated to a sender that asks.
//!
//! Allocations are not replicated. A new allocator knows none, and allocates nothing until every lease that an earlier one
//! may have granted has surely expired. That nothing is allocated twice follows from one line: a quota is at most what is
//! left of the limit after all fallback quotas and all quotas that others may still use. A quota may be used up at its
//! beginning, so it counts as in use to its end whatever its sender reports.

use super::allocation::{Allocation, QuotaDemand};
use super::grants::Grants;
use super::key::LimitKey;
use super::limit::{FallbackQuotas, Limit};
use std::collections::BTreeMap;
use versioned_config::{LeaseTerms, Micros};

/// How long a computed fair level is used. Demands that come meanwhile are met by it.
const LEVEL_VALIDITY: Micros = 100_000;

/// Of what nobody demands, one part in so many is allocated to all that ask, ahead of a burst: some is left for a sender
/// that has one.
const SPARE_DIVISOR: u64 = 2;

/// What one sender may still use of one limit, and what it demanded last.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct HolderEntry {
    grants: Grants,
    demand: u64,
    /// Until when the demand counts.
    demand_until: Micros,
}

impl HolderEntry {
    /// The most that it may still use.
    fn usable(&self, now: Micros) -> u64 {
        self.grants.largest(now).map_or(0, |grant| grant.quota)
    }

    fn has_current_demand(&self, now: Micros) -> bool {
        self.demand > 0 && self.demand_until > now
    }
}

/// The quotas of one limit.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct LimitEntry {
    /// By the sender's number.
    holders: BTreeMap<u64, HolderEntry>,
    /// The sum of what all holders may still use.
    in_use: u64,
    /// When the fair level was computed.
    level_computed_at: Option<Micros>,
    /// The fair level in allocation units.
    level: u64,
    /// What each sender that asks gets beyond its demand.
    spare: u64,
    /// So many senders, the first ones in this lease's rotation, get one unit more.
    extra: u64,
}

/// Allocates quotas of the limits of one shard.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Allocator {
    terms: LeaseTerms,
    /// Leases of an earlier allocator may last until then.
    allocates_from: Micros,
    limits: BTreeMap<LimitKey, LimitEntry>,
}

impl Allocator {
    /// An allocator that begins now, and does not know what an earlier one has allocated.
    pub fn new(terms: LeaseTerms, now: Micros) -> Self {
        Allocator {
            terms,
            allocates_from: now + terms.longest_validity(),
            limits: BTreeMap::new(),
        }
    }

    /// When it begins to allocate.
    pub fn allocates_from(&self) -> Micros {
        self.allocates_from
    }

    /// Allocates a quota to a sender, which is known by the number of its incarnation. To be called only once a majority
    /// has confirmed, after the request came in, that this is still the allocator: the next one waits no longer than for
    /// the leases that were requested before it was named.
    pub fn allocate(
        &mut self,
        now: Micros,
        sender: u64,
        demand: &QuotaDemand,
        limit: Limit,
        fallback: &FallbackQuotas,
    ) -> Allocation {
        let key = &demand.key;
        let pool = limit.total.saturating_sub(fallback.total_of(key));
        let unit = allocation_unit(key, self.terms);
        let entry = self.limits.entry(key.clone()).or_default();
        entry.record_demand(sender, demand.amount, now + self.terms.longest_validity());
        entry.remove_expired(now);
        entry.update_level(now, pool, unit, self.terms);
        let others = entry.in_use_by_others(now, sender);
        let target = entry.target(now, sender, demand.amount, unit, self.terms);
        // the one line: what others may still use is not allocated again
        let left = if now < self.allocates_from {
            0
        } else {
            pool.saturating_sub(others)
        };
        let quota = target.min(left);
        let until = now + self.terms.longest_validity() + limit.expiry_grace_ms * 1000;
        entry.grant(now, sender, quota, until, others);
        Allocation {
            key: key.clone(),
            quota: Some(quota),
            total: Some(limit.total),
            expiry_grace_ms: limit.expiry_grace_ms,
        }
    }

    /// Takes over what another allocator of the same replica has allocated of the keys that belong to this one now.
    pub fn take_over(&mut self, other: &mut Allocator, is_own: impl Fn(&LimitKey) -> bool) {
        self.limits
            .extend(other.limits.extract_if(.., |key, _| is_own(key)));
        // this one knows all that was allocated of its keys
        self.allocates_from = other.allocates_from;
    }

    /// Removes what has expired.
    pub fn remove_expired(&mut self, now: Micros) {
        self.limits
            .values_mut()
            .for_each(|entry| entry.remove_expired(now));
        self.limits.retain(|_, entry| !entry.holders.is_empty());
    }

    /// Each limit of which something was demanded: its key, what is in use of it, and by how many holders.
    pub fn entries(&self) -> impl Iterator<Item = (&LimitKey, u64, usize)> {
        self.limits
            .iter()
            .map(|(key, entry)| (key, entry.in_use, entry.holders.len()))
    }

    /// Each holder of a limit: its number, what it may still use, and what it demands.
    pub fn holders(&self, now: Micros, key: &LimitKey) -> impl Iterator<Item = (u64, u64, u64)> {
        let holders = self.limits.get(key).map(|entry| &entry.holders);
        holders
            .into_iter()
            .flatten()
            .map(move |(sender, holder)| (*sender, holder.usable(now), holder.demand))
    }
}

/// The least that is worth allocating: one call in a lease, or one at once. A smaller quota of a rate would be worth
/// nothing within a message's time.
fn allocation_unit(key: &LimitKey, terms: LeaseTerms) -> u64 {
    if key.is_rate() {
        (1_000_000_000 / terms.lease.max(1)).max(1)
    } else {
        1
    }
}

impl LimitEntry {
    fn record_demand(&mut self, sender: u64, demand: u64, until: Micros) {
        let holder = self.holders.entry(sender).or_default();
        holder.demand = demand;
        holder.demand_until = until;
    }

    fn remove_expired(&mut self, now: Micros) {
        self.holders
            .values_mut()
            .for_each(|holder| holder.grants.remove_expired(now));
        self.holders
            .retain(|_, holder| !holder.grants.is_empty() || holder.demand_until > now);
        self.in_use = self.holders.values().map(|holder| holder.usable(now)).sum();
    }

    fn in_use_by_others(&self, now: Micros, sender: u64) -> u64 {
        let own = self.holders.get(&sender);
        self.in_use - own.map_or(0, |holder| holder.usable(now))
    }

    fn grant(&mut self, now: Micros, sender: u64, quota: u64, until: Micros, others: u64) {
        if let Some(holder) = self.holders.get_mut(&sender) {
            holder.grants.push(quota, until);
            self.in_use = others + holder.usable(now);
        }
    }

    /// What a sender is to get, if so much is left: its demand up to the fair level, and its part of the spare.
    fn target(&self, now: Micros, sender: u64, demand: u64, unit: u64, terms: LeaseTerms) -> u64 {
        let gets_extra = self.rotation_rank(now, sender, terms) < self.extra;
        let fair = self.level.saturating_mul(unit) + if gets_extra { unit } else { 0 };
        demand.min(fair).saturating_add(self.spare)
    }

    /// Computes the level up to which all demands can be met at once, in whole units, unless that was done a short while
    /// ago.
    fn update_level(&mut self, now: Micros, pool: u64, unit: u64, terms: LeaseTerms) {
        let validity = LEVEL_VALIDITY.min(terms.lease / 4);
        if self.level_computed_at.is_some_and(|at| now < at + validity) {
            return;
        }
        self.level_computed_at = Some(now);
        let mut demands: Vec<u64> = self
            .holders
            .values()
            .filter(|holder| holder.has_current_demand(now))
            .map(|holder| holder.demand.div_ceil(unit))
            .collect();
        demands.sort_unstable();
        let left = self.level_demands(&demands, pool / unit, u64::MAX / unit);
        let asking = self
            .holders
            .values()
            .filter(|holder| holder.demand_until > now)
            .count() as u64;
        // in whole units: less is worth no call
        self.spare = (left / (SPARE_DIVISOR * asking).max(1)).saturating_mul(unit);
    }

    /// Meets demands, smallest first, out of so many units; what is left of them.
    fn level_demands(&mut self, demands: &[u64], units: u64, unlimited: u64) -> u64 {
        let mut left = units;
        let mut remaining = demands.len() as u64;
        self.level = unlimited;
        self.extra = 0;
        for demand in demands {
            let even = left / remaining;
            if *demand > even {
                self.level = even;
                self.extra = left - even * remaining;
                return 0;
            }
            left -= demand;
            remaining -= 1;
        }
        left
    }

    /// How many senders with demands are before this one in this lease's rotation.
    fn rotation_rank(&self, now: Micros, sender: u64, terms: LeaseTerms) -> u64 {
        if self.extra == 0 {
            return 0;
        }
        let rotation = now / terms.lease.max(1);
        let rank = |sender: u64| {
            let bytes = [sender.to_le_bytes(), rotation.to_le_bytes()].concat();
            (crc32fast::hash(&bytes), sender)
        };
        let own = rank(sender);
        self.holders
            .iter()
            .filter(|(_, holder)| holder.has_current_demand(now))
            .filter(|(other, _)| rank(**other) < own)
            .count() as u64
    }
}
