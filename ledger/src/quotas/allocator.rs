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

/// How long a computed level of fair parts is good. Wants that come meanwhile are dealt by it.
const LEVEL_GOOD: Micros = 100_000;

/// Part of what nobody wants that is dealt to all that ask: ahead of a clump, and yet some is left for one that has it.
const AHEAD: u64 = 2;

/// What one sender may still use of one limit, and what it asked for last.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Held {
    grants: Grants,
    want: u64,
    /// Until when the want counts.
    wants_until: Micros,
}

impl Held {
    /// The most that it may still use.
    fn most(&self, now: Micros) -> u64 {
        self.grants.most(now).map_or(0, |(part, _)| part)
    }
}

/// What of one limit is out.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Account {
    held: BTreeMap<u64, Held>,
    /// The sum of what all may still use, and when that was last looked at in whole.
    out: u64,
    looked: Option<Micros>,
    /// The fair level in dealing units, and what every asker gets beyond its want.
    level: u64,
    spare: u64,
    /// Senders with numbers that come first in this lease's turn get one unit more.
    extra: u64,
}

/// Deals parts of the limits of one range.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Allocator {
    terms: LeaseTerms,
    /// Leases of a keeper before may last until then.
    from: Micros,
    accounts: BTreeMap<LimitKey, Account>,
}

impl Allocator {
    /// One that begins now, and does not know what one before it has dealt.
    pub fn new(terms: LeaseTerms, now: Micros) -> Self {
        Allocator {
            terms,
            from: now + terms.longest_validity(),
            accounts: BTreeMap::new(),
        }
    }

    /// When it begins to deal.
    pub fn allocates_from(&self) -> Micros {
        self.from
    }

    /// A sender's life asks. To be called only once a majority has confirmed, after the question came in, that this is
    /// still the keeper: the next one waits no longer than the leases that were asked for before it was named.
    pub fn allocate(
        &mut self,
        now: Micros,
        sender: u64,
        want: &QuotaDemand,
        limit: Limit,
        floors: &FallbackQuotas,
    ) -> Allocation {
        let QuotaDemand { key, amount: want } = want;
        let (terms, linger) = (self.terms, limit.expiry_grace_ms * 1000);
        let pool = limit.total.saturating_sub(floors.total_of(key));
        let unit = unit(key, terms);
        let account = self.accounts.entry(key.clone()).or_default();
        let held = account.held.entry(sender).or_default();
        (held.want, held.wants_until) = (*want, now + terms.longest_validity());
        account.look(now, pool, unit, terms);
        let held = account.held.get(&sender).map_or(0, |held| held.most(now));
        let others = account.out - held;
        let first_come = account.turn(now, sender, terms);
        let fair =
            account.level.saturating_mul(unit) + if first_come < account.extra { unit } else { 0 };
        let target = (*want).min(fair).saturating_add(account.spare);
        // the one line: what others may still use is not dealt again
        let left = if now < self.from {
            0
        } else {
            pool.saturating_sub(others)
        };
        let part = target.min(left);
        let until = now + terms.longest_validity() + linger;
        if let Some(held) = account.held.get_mut(&sender) {
            held.grants.push(part, until);
            account.out = others + held.most(now);
        }
        Allocation {
            key: key.clone(),
            quota: Some(part),
            total: Some(limit.total),
            expiry_grace_ms: limit.expiry_grace_ms,
        }
    }

    /// Takes over what another keeper of the same replica has dealt of these keys, whose range is this one's now.
    pub fn take_over(&mut self, other: &mut Allocator, theirs: impl Fn(&LimitKey) -> bool) {
        self.accounts
            .extend(other.accounts.extract_if(.., |key, _| theirs(key)));
        // this one knows all that was dealt of its keys
        self.from = other.from;
    }

    /// Forgets what has lapsed.
    pub fn remove_expired(&mut self, now: Micros) {
        self.accounts
            .values_mut()
            .for_each(|account| account.lapse(now));
        self.accounts.retain(|_, account| !account.held.is_empty());
    }

    /// Each key that was asked for, what is out of it, and how many hold or want some.
    pub fn entries(&self) -> impl Iterator<Item = (&LimitKey, u64, usize)> {
        self.accounts
            .iter()
            .map(|(key, account)| (key, account.out, account.held.len()))
    }

    /// What one sender may still use of a key, and wants.
    pub fn holders(&self, now: Micros, key: &LimitKey) -> impl Iterator<Item = (u64, u64, u64)> {
        let held = self
            .accounts
            .get(key)
            .into_iter()
            .flat_map(|account| &account.held);
        held.map(move |(sender, held)| (*sender, held.most(now), held.want))
    }
}

/// The least that is worth dealing: one call in a lease, or one at once. A smaller part of a rate would be worth nothing
/// within a message's time.
fn unit(key: &LimitKey, terms: LeaseTerms) -> u64 {
    if key.is_rate() {
        (1_000_000_000 / terms.lease.max(1)).max(1)
    } else {
        1
    }
}

impl Account {
    fn lapse(&mut self, now: Micros) {
        self.held
            .values_mut()
            .for_each(|held| held.grants.lapse(now));
        self.held
            .retain(|_, held| !held.grants.is_empty() || held.wants_until > now);
        self.out = self.held.values().map(|held| held.most(now)).sum();
    }

    /// Finds the level up to which all wants can be met at once, in whole units, when it was not found a short while ago.
    fn look(&mut self, now: Micros, pool: u64, unit: u64, terms: LeaseTerms) {
        self.lapse(now);
        if self
            .looked
            .is_some_and(|looked| now < looked + LEVEL_GOOD.min(terms.lease / 4))
        {
            return;
        }
        self.looked = Some(now);
        let mut wants: Vec<u64> = self
            .held
            .values()
            .filter(|held| held.want > 0 && held.wants_until > now)
            .map(|held| held.want.div_ceil(unit))
            .collect();
        wants.sort_unstable();
        let (mut left, mut rest) = (pool / unit, wants.len() as u64);
        (self.level, self.extra) = (u64::MAX / unit, 0);
        for want in wants {
            let even = left / rest;
            if want > even {
                (self.level, self.extra) = (even, left - even * rest);
                left = 0;
                break;
            }
            (left, rest) = (left - want, rest - 1);
        }
        let asked = self
            .held
            .values()
            .filter(|held| held.wants_until > now)
            .count() as u64;
        // in whole units: less is worth no call
        self.spare = (left / (AHEAD * asked).max(1)).saturating_mul(unit);
    }

    /// How many senders with wants are before this one in this lease's turn.
    fn turn(&self, now: Micros, sender: u64, terms: LeaseTerms) -> u64 {
        if self.extra == 0 {
            return 0;
        }
        let turn = now / terms.lease.max(1);
        let place = |sender: u64| {
            let bytes = [sender.to_le_bytes(), turn.to_le_bytes()].concat();
            (crc32fast::hash(&bytes), sender)
        };
        let own = place(sender);
        let before = self
            .held
            .iter()
            .filter(|(_, held)| held.want > 0 && held.wants_until > now);
        before.filter(|(other, _)| place(**other) < own).count() as u64
    }
}
