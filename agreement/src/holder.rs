//! The sender's side: what it may act on now.

use crate::Micros;
use crate::leases::Grant;
use crate::rules::Rules;
use crate::versions::Tag;
use serde::{Deserialize, Serialize};

/// A question for the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ask {
    /// The life of the sender that asks; an answer to an earlier one's question counts for nothing.
    pub life: u64,
    /// Numbers the question; only the last one's answer counts.
    pub number: u64,
    /// What the sender acts on; none: the floor.
    pub acts_on: Option<Tag>,
}

/// What became of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Taken {
    /// The lease is longer, the rules are as they were.
    Renewed,
    /// Other rules hold.
    Changed,
    /// It is the answer to a question that counts no more.
    Late,
    /// It is of a step below one that this sender has had: the registry has come back from an older folder.
    Back,
    /// The rules forbid what this sender does without a lease: its floor is not the registry's.
    BelowFloor,
}

/// What a sender holds. It begins on the floor, whatever it knew in an earlier life.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Holder {
    floor: Rules,
    life: u64,
    held: Option<(Tag, Rules, Micros)>,
    /// The greatest that it ever was granted in this life: it never goes back.
    highest: Tag,
    number: u64,
    /// When the last question was asked.
    asked: Micros,
}

impl Holder {
    /// A sender that has just started; no two lives of one sender have the same number.
    pub fn new(floor: Rules, life: u64) -> Self {
        Holder {
            floor,
            life,
            held: None,
            highest: Tag::default(),
            number: 0,
            asked: 0,
        }
    }

    /// What it acts on now, if its lease lasts.
    pub fn tag(&self, now: Micros) -> Option<Tag> {
        self.held
            .as_ref()
            .filter(|(_, _, until)| now < *until)
            .map(|(tag, _, _)| *tag)
    }

    /// The rules that it acts on now.
    pub fn rules(&self, now: Micros) -> &Rules {
        match &self.held {
            Some((_, rules, until)) if now < *until => rules,
            _ => &self.floor,
        }
    }

    /// Until when its lease lasts, if it does.
    pub fn until(&self, now: Micros) -> Option<Micros> {
        self.held
            .as_ref()
            .map(|(_, _, until)| *until)
            .filter(|until| now < *until)
    }

    /// Asks for a lease.
    pub fn ask(&mut self, now: Micros) -> Ask {
        self.number += 1;
        self.asked = now;
        Ask {
            life: self.life,
            number: self.number,
            acts_on: self.tag(now),
        }
    }

    /// The answer to a question. The lease counts from when the question was asked, for the registry may have answered at
    /// once and the answer have been long under way.
    pub fn granted(&mut self, to: Ask, grant: Grant, now: Micros) -> Taken {
        if (to.life, to.number) != (self.life, self.number) {
            return Taken::Late;
        }
        if grant.tag < self.highest {
            return Taken::Back;
        }
        if !self.floor.within(&grant.rules) {
            return Taken::BelowFloor;
        }
        let before = self.tag(now);
        self.highest = grant.tag;
        let tag = grant.tag;
        self.held = Some((tag, grant.rules, self.asked + grant.lease));
        if before == Some(tag) {
            Taken::Renewed
        } else {
            Taken::Changed
        }
    }
}
