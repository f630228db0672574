//! The sender's side: what it may use now. A part's end is looked at by the time that is passed in, before each use.

use crate::keys::Key;
use crate::limits::Floors;
use crate::parts::{Dealt, Grants, Want};
use std::collections::BTreeMap;
use versioned_config::Micros;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Part {
    /// As it was dealt last, and until when that says that there is a limit or none.
    dealt: Dealt,
    until: Micros,
    grants: Grants,
}

impl Part {
    /// What may be used beside the floor, and until when; none: it has lapsed. None of a part: there is no limit.
    fn at(&self, now: Micros) -> Option<(Option<u64>, Micros)> {
        if self.dealt.part.is_none() && now < self.until {
            return Some((None, self.until));
        }
        self.grants
            .most(now)
            .map(|(part, until)| (Some(part), until))
    }
}

/// What a sender wants of one limit.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Wanted {
    /// Of what.
    pub key: Key,
    /// How much it could use beyond its floor.
    pub want: u64,
}

/// What a sender holds. It begins on its floors, whatever it knew in an earlier life.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Holder {
    floors: Floors,
    parts: BTreeMap<Key, Part>,
    number: u64,
    asked: Micros,
}

impl Holder {
    /// A sender that has just started.
    pub fn new(floors: Floors) -> Self {
        Holder {
            floors,
            parts: BTreeMap::new(),
            number: 0,
            asked: 0,
        }
    }

    /// Asks for parts: the question's number, and the wants as the keeper is to see them.
    pub fn ask(
        &mut self,
        now: Micros,
        wanted: impl IntoIterator<Item = Wanted>,
    ) -> (u64, Vec<Want>) {
        self.number += 1;
        self.asked = now;
        self.parts
            .values_mut()
            .for_each(|part| part.grants.lapse(now));
        self.parts
            .retain(|_, part| part.until > now || !part.grants.is_empty());
        let wants = wanted
            .into_iter()
            .map(|Wanted { key, want }| Want { key, want });
        (self.number, wants.collect())
    }

    /// The answer to a question, or as much of it as came; false if it is not to the last one. A lease counts from when the
    /// question was asked: it may have been answered at once, and the answer long under way.
    pub fn granted(&mut self, number: u64, lease: Micros, dealt: Vec<Dealt>) -> bool {
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
                .part
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
    pub fn may_use(&self, now: Micros, key: &Key) -> Option<u64> {
        match self.parts.get(key).and_then(|part| part.at(now)) {
            Some((part, _)) => Some(self.floors.of(key) + part?),
            None => self.floors.name(key).then(|| self.floors.of(key)),
        }
    }

    /// Whether it may use no more of a limit now than its fallback share.
    pub fn lacks(&self, now: Micros, key: &Key) -> bool {
        self.floors.name(key) && self.may_use(now, key) == Some(self.floors.of(key))
    }

    /// Until when what was allocated of a limit lasts; the time that is passed in where nothing does.
    pub fn lasts_until(&self, now: Micros, key: &Key) -> Micros {
        self.parts
            .get(key)
            .and_then(|part| part.at(now))
            .map_or(now, |(_, until)| until)
    }

    /// The floors.
    pub fn floors(&self) -> &Floors {
        &self.floors
    }

    /// What was dealt, what of it lasts beside the floor (none: there is no limit), and until when.
    pub fn parts(&self, now: Micros) -> impl Iterator<Item = (&Dealt, Option<u64>, Micros)> {
        self.parts
            .values()
            .filter_map(move |part| part.at(now).map(|(most, until)| (&part.dealt, most, until)))
    }
}
