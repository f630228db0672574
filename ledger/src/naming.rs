//! Which limits a sender's next question names, so that what it costs follows the demand and not the length of the list.
//!
//! A list that fits into one question is named whole: a quota ahead of demand saves a first call the wait. Of a longer one
//! a question names what waits without a quota, then what is in use and whose quota ends soon, then what is sick; the rest
//! is not named, and its first message asks. What exceeds the room of a question waits for the next one, in turns, with the newest want of
//! each key and no queue. [`ByteBudget`] sets the room.

use crate::holder::QuotaHolder;
use crate::keys::LimitKey;
use crate::parts::QuotaDemand;
use std::collections::BTreeMap;
use std::ops::Bound;
use versioned_config::Micros;

/// Names that one question may have: the registry refuses more.
pub const MAX_KEYS_PER_REQUEST: usize = 4_096;
/// Bytes of a question and its answer beside their bodies: a connection of its own (13 packets of 52 bytes with their
/// heads) and two HTTP heads of some 130.
pub const HEADER_BYTES: u64 = 950;
/// Bytes that one name and its answer take in the compact form, rather more than less: two differences of places and a want
/// and a quota of up to 3 bytes each. What they really took is booked afterwards.
const NAME_BYTES: u64 = 12;
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

/// Bytes that questions and answers may take: a token bucket that saves up one lease's bytes and may be overdrawn by one
/// question. Over any span T they take no more than rate x (T + lease) and one question.
#[derive(Debug, Clone)]
pub struct ByteBudget {
    /// Bytes a second.
    rate: u64,
    tokens: i64,
    at: Micros,
}

impl ByteBudget {
    /// A budget of so many bytes a second that begins full, a lease's worth.
    pub fn new(rate: u64, lease: Micros, now: Micros) -> Self {
        let mut budget = ByteBudget {
            rate,
            tokens: 0,
            at: now,
        };
        budget.tokens = budget.most(lease);
        budget
    }

    /// Names that a question has room for now; none: no question.
    pub fn available_keys(&mut self, now: Micros, lease: Micros) -> usize {
        let earned = now.saturating_sub(self.at).saturating_mul(self.rate) / 1_000_000;
        if earned > 0 {
            self.tokens = self
                .tokens
                .saturating_add_unsigned(earned)
                .min(self.most(lease));
            self.at = now;
        }
        let bytes = u64::try_from(self.tokens)
            .unwrap_or(0)
            .saturating_sub(HEADER_BYTES);
        usize::try_from(bytes / NAME_BYTES).unwrap_or(usize::MAX)
    }

    /// Books a question of so many bytes, and the heads of both.
    pub fn charge_request(&mut self, body: u64) {
        self.charge_response(body.saturating_add(HEADER_BYTES));
    }

    /// Books its answer.
    pub fn charge_response(&mut self, body: u64) {
        self.tokens = self.tokens.saturating_sub_unsigned(body);
    }

    /// What may be saved up: a lease's worth, and two questions' heads where leases are short.
    fn most(&self, lease: Micros) -> i64 {
        let worth = lease.saturating_mul(self.rate) / 1_000_000;
        i64::try_from(worth.max(2 * HEADER_BYTES)).unwrap_or(i64::MAX)
    }
}
