//! The sender's side: what it may act on now.

use crate::Micros;
use crate::leases::Grant;
use crate::rules::Rules;
use crate::versions::VersionTag;
use serde::{Deserialize, Serialize};

/// A request for a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The incarnation of the sender; an answer to an earlier one's request counts for nothing.
    pub incarnation: u64,
    /// Numbers the request; only the last one's answer counts.
    pub sequence: u64,
    /// What the sender acts on; none: its fallback rules.
    pub acts_on: Option<VersionTag>,
}

/// What became of a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantResult {
    /// The lease is longer, the rules are as they were.
    Renewed,
    /// Other rules hold.
    Changed,
    /// It answers a request that counts no more.
    Outdated,
    /// It is of a step below one that this sender has had: the registry was restored from older data.
    VersionRegressed,
    /// The rules forbid what this sender does without a lease: its fallback rules are not the registry's.
    BelowFallback,
}

/// Rules under a lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct LeasedRules {
    tag: VersionTag,
    rules: Rules,
    until: Micros,
}

/// The lease that a sender holds. It begins on its fallback rules, whatever it knew in an earlier incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    fallback: Rules,
    incarnation: u64,
    leased: Option<LeasedRules>,
    /// The greatest that it ever was granted in this incarnation: it never goes back.
    highest: VersionTag,
    /// Of the last request.
    sequence: u64,
    requested_at: Micros,
}

impl LeaseHolder {
    /// A sender that has just started; no two incarnations of one sender have the same number.
    pub fn new(fallback: Rules, incarnation: u64) -> Self {
        LeaseHolder {
            fallback,
            incarnation,
            leased: None,
            highest: VersionTag::default(),
            sequence: 0,
            requested_at: 0,
        }
    }

    fn current(&self, now: Micros) -> Option<&LeasedRules> {
        self.leased.as_ref().filter(|leased| now < leased.until)
    }

    /// The version that it acts on now, if its lease lasts.
    pub fn tag(&self, now: Micros) -> Option<VersionTag> {
        self.current(now).map(|leased| leased.tag)
    }

    /// The rules that it acts on now.
    pub fn rules(&self, now: Micros) -> &Rules {
        self.current(now)
            .map_or(&self.fallback, |leased| &leased.rules)
    }

    /// Until when its lease lasts, if it does.
    pub fn valid_until(&self, now: Micros) -> Option<Micros> {
        self.current(now).map(|leased| leased.until)
    }

    /// A request for a lease that is sent now.
    pub fn request(&mut self, now: Micros) -> LeaseRequest {
        self.sequence += 1;
        self.requested_at = now;
        LeaseRequest {
            incarnation: self.incarnation,
            sequence: self.sequence,
            acts_on: self.tag(now),
        }
    }

    /// Takes the grant that answers a request. The lease counts from when the request was sent, for the registry may have
    /// granted it at once and the answer have been long under way.
    pub fn apply_grant(&mut self, to: LeaseRequest, grant: Grant, now: Micros) -> GrantResult {
        if (to.incarnation, to.sequence) != (self.incarnation, self.sequence) {
            return GrantResult::Outdated;
        }
        if grant.tag < self.highest {
            return GrantResult::VersionRegressed;
        }
        if !self.fallback.is_within(&grant.rules) {
            return GrantResult::BelowFallback;
        }
        let before = self.tag(now);
        self.highest = grant.tag;
        self.leased = Some(LeasedRules {
            tag: grant.tag,
            rules: grant.rules,
            until: self.requested_at + grant.lease,
        });
        if before == Some(grant.tag) {
            GrantResult::Renewed
        } else {
            GrantResult::Changed
        }
    }
}
