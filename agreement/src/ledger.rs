//! The registry's side: versions, the step of the change under way, and who may still act on what.
//!
//! The versions and the step are what a replicated log has to keep; leases are not. One that starts, or takes over as
//! leader, knows none and takes it that every sender holds one for as long as the longest may last.

use crate::Micros;
use crate::rules::{NoMeet, Rules};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

/// A version and the step on the way to it. Greater ones come later.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Tag {
    /// The version that holds, or is to hold.
    pub version: u64,
    /// False while the meet of it and the one before is in force.
    pub whole: bool,
}

/// How long leases last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Terms {
    /// On the sender's clock, counted from when it asked.
    pub lease: Micros,
    /// What that may be longer at most on the registry's clock: twice the bound on the drift of one clock, of the lease.
    pub drift: Micros,
}

impl Terms {
    /// The longest that a sender may act on a lease after it was given, on the registry's clock.
    fn longest(self) -> Micros {
        self.lease + self.drift
    }
}

/// What a sender is allowed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// Which rules these are.
    pub tag: Tag,
    /// What it may do.
    pub rules: Rules,
    /// For how long, counted from when it asked, on its clock.
    pub lease: Micros,
}

/// What is to be in force next.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Proposal {
    /// The version that it was made from.
    pub from: u64,
    /// The rules.
    pub rules: Rules,
}

/// Why a proposal is not taken.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Refusal {
    /// It was made from a version that is not the last.
    #[error("version {now} holds, the proposal was made from {from}")]
    Stale {
        /// The version that holds.
        now: u64,
        /// What it was made from.
        from: u64,
    },
    /// Another change is under way.
    #[error("version {0} may not be in force everywhere yet")]
    UnderWay(u64),
    /// A sender without a lease would act more freely than these rules allow.
    #[error("the floor is not within the rules")]
    BelowFloor,
    /// No sender can keep both while the change goes through.
    #[error(transparent)]
    NoMeet(#[from] NoMeet),
}

/// What a sender may act on, by what it was given and what it said.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Held {
    /// What it said it acts on.
    acts_on: Option<Tag>,
    /// Until when each grant may last that it has not gone beyond.
    grants: BTreeMap<Tag, Micros>,
}

/// The versions, and the senders' leases.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Ledger {
    terms: Terms,
    floor: Rules,
    tag: Tag,
    new: Rules,
    meet: Rules,
    /// Leases of before that may still last until then, whoever holds them.
    unknown_until: Micros,
    senders: BTreeMap<u64, Held>,
}

impl Ledger {
    /// A ledger whose first version is this one.
    ///
    /// # Errors
    /// The floor is not within the rules.
    pub fn new(terms: Terms, floor: Rules, rules: Rules, now: Micros) -> Result<Self, Refusal> {
        if !floor.within(&rules) {
            return Err(Refusal::BelowFloor);
        }
        Ok(Ledger {
            terms,
            floor,
            tag: Tag { version: 1, whole: true },
            meet: rules.clone(),
            new: rules,
            unknown_until: now + terms.longest(),
            senders: BTreeMap::new(),
        })
    }

    /// Begins again with what the log holds: any sender may hold a lease that is not known.
    pub fn take_over(&mut self, now: Micros) {
        self.senders.clear();
        self.unknown_until = now + self.terms.longest();
    }

    /// The version and step in force.
    pub fn tag(&self) -> Tag {
        self.tag
    }

    /// The rules that are granted now.
    pub fn rules(&self) -> &Rules {
        if self.tag.whole { &self.new } else { &self.meet }
    }

    /// Takes a change up: from now on the meet of both is granted. The same rules again make no version. While a
    /// sender may still act on the meet of the change before, that and the meet of this one could contradict each other.
    ///
    /// # Errors
    /// Says why it is not taken; nothing has changed then.
    pub fn propose(&mut self, now: Micros, proposal: Proposal) -> Result<Tag, Refusal> {
        if proposal.from != self.tag.version {
            return Err(Refusal::Stale { now: self.tag.version, from: proposal.from });
        }
        if proposal.rules == self.new {
            return Ok(self.tag);
        }
        if !self.is_settled(now) {
            return Err(Refusal::UnderWay(self.tag.version));
        }
        if !self.floor.within(&proposal.rules) {
            return Err(Refusal::BelowFloor);
        }
        let meet = self.new.meet(&proposal.rules)?;
        self.new = proposal.rules;
        self.meet = meet;
        self.tag = Tag { version: self.tag.version + 1, whole: false };
        Ok(self.tag)
    }

    /// A sender asks for a lease and says what it acts on; none: on the floor.
    pub fn ask(&mut self, now: Micros, sender: u64, acts_on: Option<Tag>) -> Grant {
        let until = now + self.terms.longest();
        let (tag, lease) = (self.tag, self.terms.lease);
        let held = self.senders.entry(sender).or_default();
        held.acts_on = held.acts_on.max(acts_on);
        // what it has gone beyond it acts on no more
        let acts_on = held.acts_on;
        held.grants.retain(|granted, until| Some(*granted) >= acts_on && *until > now);
        held.grants.insert(tag, until);
        Grant { tag, rules: self.rules().clone(), lease }
    }

    /// Who may still act on rules of before, and until when at the latest; none: nobody, and the next step may begin.
    pub fn waits_for(&self, now: Micros) -> Option<(Option<u64>, Micros)> {
        let unknown = (self.unknown_until > now).then_some((None, self.unknown_until));
        let late = |(sender, held): (&u64, &Held)| {
            let until = held.grants.range(..self.tag).map(|(_, until)| *until).max()?;
            let behind = held.acts_on < Some(self.tag) && until > now;
            behind.then_some((Some(*sender), until))
        };
        unknown.into_iter().chain(self.senders.iter().filter_map(late)).max_by_key(|(_, until)| *until)
    }

    /// Goes on from the meet to the new rules, if nobody may still act on the old ones; whether it did.
    pub fn advance(&mut self, now: Micros) -> bool {
        if self.tag.whole || self.waits_for(now).is_some() {
            return false;
        }
        self.tag.whole = true;
        true
    }

    /// Whether the version in force is in force everywhere, so that another change may begin.
    pub fn is_settled(&self, now: Micros) -> bool {
        self.tag.whole && self.waits_for(now).is_none()
    }
}
