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
struct HolderEntry {
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
    senders: BTreeMap<u64, HolderEntry>,
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

    /// Grants a lease to an incarnation of a sender, which says what it acts on; none: its fallback rules. To be called only once a majority
    /// has confirmed, after the request came in, that this one still leads; else the next leader may be past waiting.
    pub fn grant(
        &mut self,
        now: Micros,
        sender: u64,
        acts_on: Option<VersionTag>,
        versions: &VersionedRules,
    ) -> Grant {
        let tag = versions.tag();
        let holder = self.senders.entry(sender).or_default();
        holder.acts_on = holder.acts_on.max(acts_on);
        // what it has gone beyond it acts on no more
        let acts_on = holder.acts_on;
        holder
            .grants
            .retain(|granted, until| Some(*granted) >= acts_on && *until > now);
        holder
            .grants
            .insert(tag, now + self.terms.longest_validity());
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
        self.senders.iter().filter_map(move |(sender, holder)| {
            let until = holder.grants.range(..tag).map(|(_, until)| *until).max()?;
            let behind = holder.acts_on < Some(tag) && until > now;
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

    /// Removes the senders whose leases have all expired, and returns them.
    pub fn remove_expired(&mut self, now: Micros) -> Vec<u64> {
        let is_expired = |holder: &HolderEntry| holder.grants.values().all(|until| *until <= now);
        let expired = self
            .senders
            .iter()
            .filter(|(_, holder)| is_expired(holder))
            .map(|(sender, _)| *sender)
            .collect();
        self.senders.retain(|_, holder| !is_expired(holder));
        expired
    }

    /// Each sender with a lease, what it said it acts on, and until when it may act at all.
    pub fn holders(&self) -> impl Iterator<Item = (u64, Option<VersionTag>, Micros)> {
        self.senders.iter().map(|(sender, holder)| {
            (
                *sender,
                holder.acts_on,
                holder.grants.values().copied().max().unwrap_or_default(),
            )
        })
    }
}
