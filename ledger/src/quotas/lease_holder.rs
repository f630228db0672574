//! The sender's side: what it may use now. The end of a quota is compared with the time that is passed in before each use.

use super::allocation::Allocation;
use super::grants::Grants;
use super::key::LimitKey;
use super::limit::FallbackQuotas;
use std::collections::BTreeMap;
use versioned_config::Micros;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Part {
    /// As it was dealt last, and until when that says that there is a limit or none.
    dealt: Allocation,
    until: Micros,
    grants: Grants,
}

impl Part {
    /// What may be used beside the floor, and until when; none: it has lapsed. None of a part: there is no limit.
    fn at(&self, now: Micros) -> Option<(Option<u64>, Micros)> {
        if self.dealt.quota.is_none() && now < self.until {
            return Some((None, self.until));
        }
        self.grants
            .most(now)
            .map(|(part, until)| (Some(part), until))
    }
}

/// What a sender holds. It begins on its floors, whatever it knew in an earlier life.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct QuotaHolder {
    floors: FallbackQuotas,
    parts: BTreeMap<LimitKey, Part>,
    number: u64,
    asked: Micros,
}

impl QuotaHolder {
    /// A sender that has just started.
    pub fn new(floors: FallbackQuotas) -> Self {
        QuotaHolder {
            floors,
            parts: BTreeMap::new(),
            number: 0,
            asked: 0,
        }
    }

    /// A request is sent now: its sequence number.
    pub fn request(&mut self, now: Micros) -> u64 {
        self.number += 1;
        self.asked = now;
        self.parts
            .values_mut()
            .for_each(|part| part.grants.lapse(now));
        self.parts
            .retain(|_, part| part.until > now || !part.grants.is_empty());
        self.number
    }

    /// The answer to a question, or as much of it as came; false if it is not to the last one. A lease counts from when the
    /// question was asked: it may have been answered at once, and the answer long under way.
    pub fn apply_allocations(
        &mut self,
        number: u64,
        lease: Micros,
        dealt: Vec<Allocation>,
    ) -> bool {
        if number != self.number {
            return false;
        }
        let until = self.asked + lease;
        for dealt in dealt {
            let mut grants = self
                .parts
                .remove(&dealt.key)
                .map(|part| part.grants)
                .unwrap_or_default();
            dealt
                .quota
                .into_iter()
                .for_each(|part| grants.push(part, until));
            self.parts.insert(
                dealt.key.clone(),
                Part {
                    dealt,
                    until,
                    grants,
                },
            );
        }
        true
    }

    /// What it may use of a limit now: its floor, and its part for as long as that lasts; none: all that it likes.
    pub fn usable(&self, now: Micros, key: &LimitKey) -> Option<u64> {
        match self.parts.get(key).and_then(|part| part.at(now)) {
            Some((part, _)) => Some(self.floors.of(key) + part?),
            None => self.floors.is_limited(key).then(|| self.floors.of(key)),
        }
    }

    /// Whether it may use no more of a limit now than its fallback share.
    pub fn is_at_fallback(&self, now: Micros, key: &LimitKey) -> bool {
        self.floors.is_limited(key) && self.usable(now, key) == Some(self.floors.of(key))
    }

    /// Until when what was allocated of a limit lasts; the time that is passed in where nothing does.
    pub fn valid_until(&self, now: Micros, key: &LimitKey) -> Micros {
        self.parts
            .get(key)
            .and_then(|part| part.at(now))
            .map_or(now, |(_, until)| until)
    }

    /// The floors.
    pub fn fallback_quotas(&self) -> &FallbackQuotas {
        &self.floors
    }

    /// What was dealt, what of it lasts beside the floor (none: there is no limit), and until when.
    pub fn allocations(
        &self,
        now: Micros,
    ) -> impl Iterator<Item = (&Allocation, Option<u64>, Micros)> {
        self.parts
            .values()
            .filter_map(move |part| part.at(now).map(|(most, until)| (&part.dealt, most, until)))
    }
}
