//! The sender's side: what it may act on now.

use crate::Micros;
use crate::leases::Grant;
use crate::rules::Rules;
use crate::versions::VersionTag;
use serde::{Deserialize, Serialize};

/// A question for the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The life of the sender that asks; an answer to an earlier one's question counts for nothing.
    pub incarnation: u64,
    /// Numbers the question; only the last one's answer counts.
    pub sequence: u64,
    /// What the sender acts on; none: the floor.
    pub acts_on: Option<VersionTag>,
}

/// What became of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantResult {
    /// The lease is longer, the rules are as they were.
    Renewed,
    /// Other rules hold.
    Changed,
    /// It is the answer to a question that counts no more.
    Outdated,
    /// It is of a step below one that this sender has had: the registry has come back from an older folder.
    VersionRegressed,
    /// The rules forbid what this sender does without a lease: its floor is not the registry's.
    BelowFallback,
}

/// What a sender holds. It begins on the floor, whatever it knew in an earlier life.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    floor: Rules,
    life: u64,
    held: Option<(VersionTag, Rules, Micros)>,
    /// The greatest that it ever was granted in this life: it never goes back.
    highest: VersionTag,
    number: u64,
    /// When the last question was asked.
    asked: Micros,
}

impl LeaseHolder {
    /// A sender that has just started; no two lives of one sender have the same number.
    pub fn new(floor: Rules, life: u64) -> Self {
        LeaseHolder {
            floor,
            life,
            held: None,
            highest: VersionTag::default(),
            number: 0,
            asked: 0,
        }
    }

    /// What it acts on now, if its lease lasts.
    pub fn tag(&self, now: Micros) -> Option<VersionTag> {
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
    pub fn valid_until(&self, now: Micros) -> Option<Micros> {
        self.held
            .as_ref()
            .map(|(_, _, until)| *until)
            .filter(|until| now < *until)
    }

    /// Asks for a lease.
    pub fn request(&mut self, now: Micros) -> LeaseRequest {
        self.number += 1;
        self.asked = now;
        LeaseRequest {
            incarnation: self.life,
            sequence: self.number,
            acts_on: self.tag(now),
        }
    }

    /// The answer to a question. The lease counts from when the question was asked, for the registry may have answered at
    /// once and the answer have been long under way.
    pub fn apply_grant(&mut self, to: LeaseRequest, grant: Grant, now: Micros) -> GrantResult {
        if (to.incarnation, to.sequence) != (self.life, self.number) {
            return GrantResult::Outdated;
        }
        if grant.tag < self.highest {
            return GrantResult::VersionRegressed;
        }
        if !self.floor.is_within(&grant.rules) {
            return GrantResult::BelowFallback;
        }
        let before = self.tag(now);
        self.highest = grant.tag;
        let tag = grant.tag;
        self.held = Some((tag, grant.rules, self.asked + grant.lease));
        if before == Some(tag) {
            GrantResult::Renewed
        } else {
            GrantResult::Changed
        }
    }
}
