//! The leader's side: who may still act on what. Leases are not replicated: one that becomes leader knows none, and takes
//! it that every sender holds one for as long as the longest may last.

use crate::Micros;
use crate::rules::Rules;
use crate::versions::{VersionTag, VersionedRules};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How long leases last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseTerms {
    /// On the sender's clock, counted from when it asked.
    pub lease: Micros,
    /// What that may be longer at most on the registry's clock: twice the bound on the drift of one clock, of the lease.
    pub max_drift: Micros,
}

impl LeaseTerms {
    /// The longest that a sender may act on a lease after it was given, on the registry's clock.
    pub fn longest_validity(self) -> Micros {
        self.lease + self.max_drift
    }
}

/// What a sender is allowed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// Which rules these are.
    pub tag: VersionTag,
    /// What it may do.
    pub rules: Rules,
    /// For how long, counted from when it asked, on its clock.
    pub lease: Micros,
}

/// What a sender may act on, by what it was given and what it said.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Held {
    /// What it said it acts on.
    acts_on: Option<VersionTag>,
    /// Until when each grant may last that it has not gone beyond.
    grants: BTreeMap<VersionTag, Micros>,
}

/// Who is waited for, and until when at the latest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BlockingLease {
    /// None: leases that one before this leader may have given.
    pub sender: Option<u64>,
    /// On the leader's clock.
    pub until: Micros,
}

/// The leases that this leader gave.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Leases {
    terms: LeaseTerms,
    /// Leases of before that may still last until then, whoever holds them.
    unknown_until: Micros,
    senders: BTreeMap<u64, Held>,
}

impl Leases {
    /// Of one that becomes leader now.
    pub fn new(terms: LeaseTerms, now: Micros) -> Self {
        Leases {
            terms,
            unknown_until: now + terms.longest_validity(),
            senders: BTreeMap::new(),
        }
    }

    /// A life of a sender asks for a lease and says what it acts on; none: on the floor. To be called only once a majority
    /// has confirmed, after the question came in, that this one still leads; else the next leader may be past waiting.
    pub fn grant(
        &mut self,
        now: Micros,
        sender: u64,
        acts_on: Option<VersionTag>,
        versions: &VersionedRules,
    ) -> Grant {
        let tag = versions.tag();
        let held = self.senders.entry(sender).or_default();
        held.acts_on = held.acts_on.max(acts_on);
        // what it has gone beyond it acts on no more
        let acts_on = held.acts_on;
        held.grants
            .retain(|granted, until| Some(*granted) >= acts_on && *until > now);
        held.grants.insert(tag, now + self.terms.longest_validity());
        Grant {
            tag,
            rules: versions.rules().clone(),
            lease: self.terms.lease,
        }
    }

    /// Who may still act on rules before this step; none: nobody, and the next step may begin.
    pub fn blocking_lease(&self, now: Micros, tag: VersionTag) -> Option<BlockingLease> {
        let unknown = (self.unknown_until > now).then_some(BlockingLease {
            sender: None,
            until: self.unknown_until,
        });
        unknown
            .into_iter()
            .chain(self.senders_behind(now, tag))
            .max_by_key(|wait| wait.until)
    }

    /// The senders that may still act on rules before this step.
    pub fn senders_behind(
        &self,
        now: Micros,
        tag: VersionTag,
    ) -> impl Iterator<Item = BlockingLease> {
        self.senders.iter().filter_map(move |(sender, held)| {
            let until = held.grants.range(..tag).map(|(_, until)| *until).max()?;
            let behind = held.acts_on < Some(tag) && until > now;
            behind.then_some(BlockingLease {
                sender: Some(*sender),
                until,
            })
        })
    }

    /// Whether the version in force is in force everywhere, so that another change may begin.
    pub fn is_settled(&self, now: Micros, versions: &VersionedRules) -> bool {
        versions.tag().complete && self.blocking_lease(now, versions.tag()).is_none()
    }

    /// Forgets those whose leases have all run out, and tells them.
    pub fn remove_expired(&mut self, now: Micros) -> Vec<u64> {
        let lapsed = |held: &Held| held.grants.values().all(|until| *until <= now);
        let gone = self
            .senders
            .iter()
            .filter(|(_, held)| lapsed(held))
            .map(|(sender, _)| *sender)
            .collect();
        self.senders.retain(|_, held| !lapsed(held));
        gone
    }

    /// Each sender with a lease, what it said it acts on, and until when it may act at all.
    pub fn holders(&self) -> impl Iterator<Item = (u64, Option<VersionTag>, Micros)> {
        self.senders.iter().map(|(sender, held)| {
            (
                *sender,
                held.acts_on,
                held.grants.values().copied().max().unwrap_or_default(),
            )
        })
    }
}
