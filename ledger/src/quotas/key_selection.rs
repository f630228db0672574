//! Which limits the next quota request names, so that its cost follows the demand and not the length of the endpoint list.
//!
//! A list that fits into one request is named whole: a quota ahead of demand saves a first call the wait. Of a longer one a
//! request names what waits without a quota, then what is in use and whose quota ends soon, then what is unhealthy; the rest
//! is not named, and its first message triggers a request. What exceeds the capacity of a request waits for the next one, in
//! turns, with the newest demand of each key and no queue. [`ByteBudget`](super::ByteBudget) sets the capacity.

use super::allocation::QuotaDemand;
use super::key::LimitKey;
use super::lease_holder::QuotaHolder;
use std::collections::BTreeMap;
use std::ops::Bound;
use versioned_config::Micros;

/// Keys that one request may name: the registry rejects more.
pub const MAX_KEYS_PER_REQUEST: usize = 4_096;

/// A quota is renewed once no more than this part of its lease is left: one lost request is made up for by the next.
const RENEWAL_DIVISOR: u64 = 2;

/// Calls since a key was named that make it worth a quota ahead of the next call. One call is no sign of another.
const CALLS_IN_USE: u64 = 2;

/// What a sender could use of one limit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyDemand {
    /// What it demands beyond its fallback quota.
    pub demand: QuotaDemand,
    /// Messages wait for it.
    pub waiting: bool,
    /// Its destination is unhealthy: the few calls to it are within the fallback quota.
    pub unhealthy: bool,
    /// Calls sent under it since the process started.
    pub calls_sent: u64,
}

/// Chooses what requests name.
#[derive(Debug, Clone, Default)]
pub struct DemandSelector {
    /// When each key was named last, for as long as a quota of it may last.
    named: BTreeMap<LimitKey, NamedKey>,
    next_waiting: RotationStart,
    next_in_use: RotationStart,
    next_unhealthy: RotationStart,
}

/// The key at which the next request begins if the last one had no capacity left.
type RotationStart = Option<LimitKey>;

/// A key as it was named last.
#[derive(Debug, Clone, Copy)]
struct NamedKey {
    /// Calls that had been sent under it.
    calls_sent: u64,
    at: Micros,
}

/// Demands worth a request, by their priority.
#[derive(Default)]
struct Candidates {
    /// Messages wait, and there is no quota.
    waiting: BTreeMap<LimitKey, KeyDemand>,
    /// It is used, and its quota ends soon.
    in_use: BTreeMap<LimitKey, KeyDemand>,
    unhealthy: BTreeMap<LimitKey, KeyDemand>,
}

impl DemandSelector {
    /// The demands that the next request names, `capacity` of them at most. `list_length` is the number of keys that could
    /// be named.
    pub fn select(
        &mut self,
        now: Micros,
        holder: &QuotaHolder,
        lease: Micros,
        demands: Vec<KeyDemand>,
        list_length: usize,
        capacity: usize,
    ) -> Vec<QuotaDemand> {
        let capacity = capacity.min(MAX_KEYS_PER_REQUEST);
        self.named.retain(|_, named| now < named.at + 2 * lease);
        if list_length <= capacity {
            return demands.into_iter().map(|demand| demand.demand).collect();
        }
        let Candidates {
            waiting,
            in_use,
            unhealthy,
        } = self.candidates(now, holder, lease, demands);
        let mut chosen = Vec::new();
        rotate(waiting, &mut self.next_waiting, capacity, &mut chosen);
        rotate(in_use, &mut self.next_in_use, capacity, &mut chosen);
        rotate(unhealthy, &mut self.next_unhealthy, capacity, &mut chosen);
        for demand in &chosen {
            let named = NamedKey {
                calls_sent: demand.calls_sent,
                at: now,
            };
            self.named.insert(demand.demand.key.clone(), named);
        }
        chosen.into_iter().map(|demand| demand.demand).collect()
    }

    fn candidates(
        &self,
        now: Micros,
        holder: &QuotaHolder,
        lease: Micros,
        demands: Vec<KeyDemand>,
    ) -> Candidates {
        let mut candidates = Candidates::default();
        for demand in demands {
            let key = demand.demand.key.clone();
            if demand.unhealthy {
                candidates.unhealthy.insert(key, demand);
            } else if demand.waiting && holder.is_at_fallback(now, &key) {
                candidates.waiting.insert(key, demand);
            } else if self.is_due_for_renewal(now, holder, lease, &demand) {
                candidates.in_use.insert(key, demand);
            }
        }
        candidates
    }

    /// Whether a quota ends soon, and is used.
    fn is_due_for_renewal(
        &self,
        now: Micros,
        holder: &QuotaHolder,
        lease: Micros,
        demand: &KeyDemand,
    ) -> bool {
        let key = &demand.demand.key;
        let remaining = holder.valid_until(now, key).saturating_sub(now);
        let named = self.named.get(key);
        let calls = named.map_or(0, |named| {
            demand.calls_sent.saturating_sub(named.calls_sent)
        });
        remaining <= lease / RENEWAL_DIVISOR && (demand.waiting || calls >= CALLS_IN_USE)
    }
}

/// Adds demands until `capacity` are chosen, from `start` on and then from the beginning; the next rotation starts behind
/// them.
fn rotate(
    mut demands: BTreeMap<LimitKey, KeyDemand>,
    start: &mut RotationStart,
    capacity: usize,
    chosen: &mut Vec<KeyDemand>,
) {
    let from_start = match start.as_ref() {
        Some(first) => {
            let range = (Bound::Included(first.clone()), Bound::Unbounded);
            demands.extract_if(range, |_, _| true).collect()
        }
        None => Vec::new(),
    };
    let mut in_rotation = from_start.into_iter().chain(demands);
    let free = capacity.saturating_sub(chosen.len());
    chosen.extend(in_rotation.by_ref().take(free).map(|(_, demand)| demand));
    *start = in_rotation.next().map(|(key, _)| key);
}

/// The health reports that a request has capacity for: those of failing destinations first.
pub fn select_reports<T>(
    mut reports: Vec<T>,
    is_failing: impl Fn(&T) -> bool,
    capacity: usize,
) -> Vec<T> {
    reports.sort_by_key(|report| !is_failing(report));
    reports.truncate(capacity);
    reports
}
