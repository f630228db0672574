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

/// Names that one question may have: the registry refuses more.
pub const MAX_KEYS_PER_REQUEST: usize = 4_096;

/// A quota is renewed once no more than this part of its lease is left: one lost question is made up for by the next.
const RENEW_AT: u64 = 2;

/// Calls since a key was named that make it worth a quota ahead of the next call. One call is no sign of another.
const CALLS_IN_USE: u64 = 2;

/// What a sender could use of one limit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyDemand {
    /// What it wants, beyond its fallback share.
    pub demand: QuotaDemand,
    /// Messages wait for it.
    pub waiting: bool,
    /// Its destination is not well: its trickle of calls is within the fallback share.
    pub unhealthy: bool,
    /// Calls sent under it since the process started.
    pub calls_sent: u64,
}

/// Chooses what questions name.
#[derive(Debug, Clone, Default)]
pub struct DemandSelector {
    /// Calls that had been sent when each key was named last, for as long as a quota of it may last.
    named: BTreeMap<LimitKey, Named>,
    /// Where the next question begins if there was no room: for what waits, is in use, and is sick.
    turns: [Option<LimitKey>; 3],
}

#[derive(Debug, Clone, Copy)]
struct Named {
    calls: u64,
    at: Micros,
}

impl DemandSelector {
    /// The wants that the next question names, `room` of them at most. `list` is the number of keys that could be named.
    pub fn select(
        &mut self,
        now: Micros,
        holder: &QuotaHolder,
        lease: Micros,
        demand: Vec<KeyDemand>,
        list: usize,
        room: usize,
    ) -> Vec<QuotaDemand> {
        let room = room.min(MAX_KEYS_PER_REQUEST);
        self.named.retain(|_, named| now < named.at + 2 * lease);
        if list <= room {
            return demand.into_iter().map(|demand| demand.demand).collect();
        }
        let (mut waiting, mut in_use, mut sick) =
            (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        for demand in demand {
            let key = demand.demand.key.clone();
            let lasts = holder.valid_until(now, &key).saturating_sub(now);
            let calls = self
                .named
                .get(&key)
                .map_or(0, |named| demand.calls_sent.saturating_sub(named.calls));
            if demand.unhealthy {
                sick.insert(key, demand);
            } else if demand.waiting && holder.is_at_fallback(now, &key) {
                waiting.insert(key, demand);
            } else if lasts <= lease / RENEW_AT && (demand.waiting || calls >= CALLS_IN_USE) {
                in_use.insert(key, demand);
            }
        }
        let mut chosen = Vec::new();
        for (demands, turn) in [waiting, in_use, sick].into_iter().zip(&mut self.turns) {
            take_turns(demands, turn, room, &mut chosen);
        }
        for demand in &chosen {
            self.named.insert(
                demand.demand.key.clone(),
                Named {
                    calls: demand.calls_sent,
                    at: now,
                },
            );
        }
        chosen.into_iter().map(|demand| demand.demand).collect()
    }
}

/// Adds demands until `room` are chosen, from `turn` on and then from the beginning; the next turn begins behind them.
fn take_turns(
    mut demands: BTreeMap<LimitKey, KeyDemand>,
    turn: &mut Option<LimitKey>,
    room: usize,
    chosen: &mut Vec<KeyDemand>,
) {
    let later = match turn.as_ref() {
        Some(first) => demands
            .extract_if(
                (Bound::Included(first.clone()), Bound::Unbounded),
                |_, _| true,
            )
            .collect(),
        None => Vec::new(),
    };
    let mut in_turn = later.into_iter().chain(demands);
    let free = room.saturating_sub(chosen.len());
    chosen.extend(in_turn.by_ref().take(free).map(|(_, demand)| demand));
    *turn = in_turn.next().map(|(key, _)| key);
}

/// Health reports that a question has room for: those of failing destinations first.
pub fn select_reports<T>(mut reports: Vec<T>, failing: impl Fn(&T) -> bool, room: usize) -> Vec<T> {
    reports.sort_by_key(|report| !failing(report));
    reports.truncate(room);
    reports
}
