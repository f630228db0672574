//! The sender's side: what it may use now. The end of a quota is compared with the time that is passed in before each use.

use super::allocation::Allocation;
use super::grants::Grants;
use super::key::LimitKey;
use super::limit::FallbackQuotas;
use std::collections::BTreeMap;
use versioned_config::Micros;

/// What was allocated of one limit.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct HeldAllocation {
    /// The last allocation.
    latest: Allocation,
    /// Until when that says whether there is a limit.
    until: Micros,
    grants: Grants,
}

/// What may be used of a limit beside the fallback quota.
struct CurrentQuota {
    /// How much; none where there is no limit.
    quota: Option<u64>,
    /// When that ends.
    until: Micros,
}

impl HeldAllocation {
    /// What may be used now; none if all of it has expired.
    fn current(&self, now: Micros) -> Option<CurrentQuota> {
        if self.latest.quota.is_none() && now < self.until {
            return Some(CurrentQuota {
                quota: None,
                until: self.until,
            });
        }
        self.grants.largest(now).map(|grant| CurrentQuota {
            quota: Some(grant.quota),
            until: grant.until,
        })
    }
}

/// The quotas that a sender holds. It begins on its fallback quotas, whatever it held in an earlier incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct QuotaHolder {
    fallback: FallbackQuotas,
    allocations: BTreeMap<LimitKey, HeldAllocation>,
    /// Of the last request.
    sequence: u64,
    requested_at: Micros,
}

impl QuotaHolder {
    /// A sender that has just started.
    pub fn new(fallback: FallbackQuotas) -> Self {
        QuotaHolder {
            fallback,
            allocations: BTreeMap::new(),
            sequence: 0,
            requested_at: 0,
        }
    }

    /// Notes that a request is sent now; its sequence number.
    pub fn request(&mut self, now: Micros) -> u64 {
        self.sequence += 1;
        self.requested_at = now;
        self.allocations
            .values_mut()
            .for_each(|held| held.grants.remove_expired(now));
        self.allocations
            .retain(|_, held| held.until > now || !held.grants.is_empty());
        self.sequence
    }

    /// Takes the response to a request, or as much of it as came; false if it is not to the last one. A lease counts from
    /// when the request was sent: it may have been granted at once, and the response long under way.
    pub fn apply_allocations(
        &mut self,
        sequence: u64,
        lease: Micros,
        allocations: Vec<Allocation>,
    ) -> bool {
        if sequence != self.sequence {
            return false;
        }
        let until = self.requested_at + lease;
        for latest in allocations {
            let held = self.allocations.remove(&latest.key);
            let mut grants = held.map(|held| held.grants).unwrap_or_default();
            if let Some(quota) = latest.quota {
                grants.push(quota, until);
            }
            let held = HeldAllocation {
                latest,
                until,
                grants,
            };
            self.allocations.insert(held.latest.key.clone(), held);
        }
        true
    }

    /// What it may use of a limit now: its fallback quota, and what was allocated for as long as that lasts; none where
    /// there is no limit.
    pub fn usable(&self, now: Micros, key: &LimitKey) -> Option<u64> {
        match self.current(now, key) {
            Some(current) => Some(self.fallback.of(key) + current.quota?),
            None => self.fallback.is_limited(key).then(|| self.fallback.of(key)),
        }
    }

    /// Whether it may use no more of a limit now than its fallback quota.
    pub fn is_at_fallback(&self, now: Micros, key: &LimitKey) -> bool {
        self.fallback.is_limited(key) && self.usable(now, key) == Some(self.fallback.of(key))
    }

    /// Until when what was allocated of a limit lasts; the time that is passed in where nothing does.
    pub fn valid_until(&self, now: Micros, key: &LimitKey) -> Micros {
        self.current(now, key).map_or(now, |current| current.until)
    }

    /// What each sender may use without asking.
    pub fn fallback_quotas(&self) -> &FallbackQuotas {
        &self.fallback
    }

    /// What was allocated and lasts: the last allocation, what of it may be used beside the fallback quota (none where
    /// there is no limit), and until when.
    pub fn allocations(
        &self,
        now: Micros,
    ) -> impl Iterator<Item = (&Allocation, Option<u64>, Micros)> {
        self.allocations.values().filter_map(move |held| {
            let current = held.current(now)?;
            Some((&held.latest, current.quota, current.until))
        })
    }

    fn current(&self, now: Micros, key: &LimitKey) -> Option<CurrentQuota> {
        self.allocations.get(key)?.current(now)
    }
}
