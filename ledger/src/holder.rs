//! The sender's side: what it may use now. A part's end is looked at by the time that is passed in, before each use.

use crate::keys::Key;
use crate::limits::Floors;
use crate::parts::{Dealt, Want};
use milletturn_agreement::Micros;
use std::collections::BTreeMap;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Part {
    dealt: Dealt,
    number: u64,
    until: Micros,
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
        Holder { floors, parts: BTreeMap::new(), number: 0, asked: 0 }
    }

    /// Asks for parts: the question's number, and the wants as the keeper is to see them.
    pub fn ask(&mut self, now: Micros, wanted: impl IntoIterator<Item = Wanted>) -> (u64, Vec<Want>) {
        self.number += 1;
        self.asked = now;
        self.parts.retain(|_, part| part.until > now);
        let acts_on = |key: &Key| self.parts.get(key).map_or(0, |part| part.number);
        let wants = wanted.into_iter().map(|Wanted { key, want }| Want { acts_on: acts_on(&key), key, want });
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
            self.parts.insert(dealt.key.clone(), Part { dealt, number, until });
        }
        true
    }

    /// What it may use of a limit now: its floor, and its part for as long as that lasts; none: all that it likes.
    pub fn may_use(&self, now: Micros, key: &Key) -> Option<u64> {
        match self.parts.get(key).filter(|part| now < part.until) {
            Some(part) => Some(self.floors.of(key) + part.dealt.part?),
            None => self.floors.name(key).then(|| self.floors.of(key)),
        }
    }

    /// The floors.
    pub fn floors(&self) -> &Floors {
        &self.floors
    }

    /// The parts that last, and until when.
    pub fn parts(&self, now: Micros) -> impl Iterator<Item = (&Dealt, Micros)> {
        self.parts.values().filter(move |part| now < part.until).map(|part| (&part.dealt, part.until))
    }
}
