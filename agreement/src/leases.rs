//! The registry's side of leases. A lease allows a sender to act for a limited time on the rules
//! granted in one step of a change: first the intersection of the old and the new rules, then the
//! new rules. The leader grants leases and tracks which senders may still act on earlier rules,
//! because the next step must wait for them. Leases are not replicated: a new leader assumes that
//! senders may hold leases of an earlier leader until the last of these must have expired.

use crate::Micros;
use crate::rules::Rules;
use crate::versions::{VersionTag, VersionedRules};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Duration of leases, and the allowance for clocks that run at different rates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseTerms {
    /// Duration of a lease in microseconds on the sender's clock, counted from its request.
    pub lease: Micros,
    /// Maximum time in microseconds by which a lease may last longer on the registry's clock than
    /// on the sender's. The sender's clock may run slow and the registry's fast, so this is about
    /// twice the drift of one clock over a lease.
    pub max_drift: Micros,
}

impl LeaseTerms {
    /// Returns the maximum time in microseconds on the registry's clock for which a sender may act
    /// on a lease after the registry has granted it.
    pub fn longest_validity(self) -> Micros {
        self.lease + self.max_drift
    }
}

/// Answer of the registry that grants a lease to a sender.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// Version and step of the granted rules.
    pub tag: VersionTag,
    /// Rules that the sender may act on during the lease.
    pub rules: Rules,
    /// Duration of the lease in microseconds on the sender's clock, counted from the time at
    /// which the sender sent its request.
    pub lease: Micros,
}

/// Versions and steps that one sender may act on, as far as the leader knows.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct HolderEntry {
    /// Greatest version and step that the sender has reported in its requests; `None` if it has
    /// reported only its fallback rules.
    acts_on: Option<VersionTag>,
    /// Time in microseconds on the leader's clock until which the sender may act on each granted
    /// version and step.
    grants: BTreeMap<VersionTag, Micros>,
}

/// Lease on earlier rules that delays the next step of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BlockingLease {
    /// Number of the sender; `None` stands for leases that an earlier leader may have granted.
    pub sender: Option<u64>,
    /// Time in microseconds on the leader's clock at which the lease has expired at the latest.
    pub until: Micros,
}

/// Leases that this leader has granted, and the time until which leases of earlier leaders may be
/// valid.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Leases {
    terms: LeaseTerms,
    /// Time in microseconds on the leader's clock until which any sender may hold a lease of an
    /// earlier leader.
    unknown_until: Micros,
    senders: BTreeMap<u64, HolderEntry>,
}

impl Leases {
    /// Creates the state of a replica that becomes leader at `now`.
    pub fn new(terms: LeaseTerms, now: Micros) -> Self {
        Leases {
            terms,
            unknown_until: now + terms.longest_validity(),
            senders: BTreeMap::new(),
        }
    }

    /// Grants a lease on the rules of the current step to a sender. `sender` is a number that
    /// differs between any two incarnations; `acts_on` is the version and step that the sender
    /// reports, or `None` if it acts on its fallback rules.
    ///
    /// The caller must first have a majority confirm, after the request arrived, that this replica
    /// still leads. A deposed leader could otherwise grant a lease after the next leader has
    /// stopped waiting for leases of earlier leaders.
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
        // a sender never returns to a version and step below one that it has acted on
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

    /// Returns the lease that expires last of those on rules before `tag`, or `None` if no sender
    /// can still act on such rules, so that the next step may begin. Leases of an earlier leader
    /// count as leases on rules before `tag`.
    pub fn blocking_lease(&self, now: Micros, tag: VersionTag) -> Option<BlockingLease> {
        let unknown = (self.unknown_until > now).then_some(BlockingLease {
            sender: None,
            until: self.unknown_until,
        });
        unknown
            .into_iter()
            .chain(self.senders_behind(now, tag))
            .max_by_key(|lease| lease.until)
    }

    /// Returns the senders that may still act on rules before `tag` under a lease of this leader:
    /// they have not reported `tag` or a later one, and such a lease has not expired.
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

    /// Returns whether the current version is complete and no sender can still act under a lease
    /// on earlier rules, so that another change may begin.
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

    /// Returns each known sender, the greatest version and step that it has reported, and the time
    /// in microseconds on the leader's clock at which the last of its leases expires.
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
