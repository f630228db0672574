//! The sender's side of leases: it requests leases from the registry, acts on the leased rules
//! while its lease is valid, and on its fallback rules without a valid lease.

use crate::Micros;
use crate::leases::Grant;
use crate::rules::Rules;
use crate::versions::VersionTag;
use serde::{Deserialize, Serialize};

/// Request of a sender to the registry for a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Incarnation of the sender; the sender ignores answers to requests of another incarnation.
    pub incarnation: u64,
    /// Number of the request within the incarnation; the sender accepts only answers to its latest
    /// request.
    pub sequence: u64,
    /// Version and step of the leased rules that the sender acts on; `None` if it acts on its
    /// fallback rules.
    pub acts_on: Option<VersionTag>,
}

/// Result of [`LeaseHolder::apply_grant`]. The sender applies a grant that is `Renewed` or
/// `Changed`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantResult {
    /// The sender held a valid lease on the same version and step, which now has a new expiry.
    Renewed,
    /// The sender held no valid lease, or one on another version or step.
    Changed,
    /// The grant answers an earlier request or one of another incarnation, and is ignored.
    Outdated,
    /// The grant is ignored: its version and step are before one granted in this incarnation, for
    /// example because the registry was restored from older data.
    VersionRegressed,
    /// The grant is ignored: its rules forbid something that this sender's fallback rules allow, so
    /// these differ from the registry's fallback rules.
    BelowFallback,
}

/// Rules that a sender may act on until its lease expires.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct LeasedRules {
    tag: VersionTag,
    rules: Rules,
    until: Micros,
}

/// Lease that a sender holds, and its fallback rules. A new incarnation begins on the fallback
/// rules: leases are not kept across restarts.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    fallback: Rules,
    incarnation: u64,
    leased: Option<LeasedRules>,
    /// Greatest version and step granted in this incarnation; grants of earlier ones are
    /// rejected.
    highest_tag: VersionTag,
    /// Number of the latest request; 0 before the first.
    sequence: u64,
    /// Time in microseconds on the sender's clock at which the latest request was sent.
    requested_at: Micros,
}

impl LeaseHolder {
    /// Creates the state of a sender that has just started. `incarnation` must differ between any
    /// two incarnations of one sender.
    pub fn new(fallback: Rules, incarnation: u64) -> Self {
        LeaseHolder {
            fallback,
            incarnation,
            leased: None,
            highest_tag: VersionTag::default(),
            sequence: 0,
            requested_at: 0,
        }
    }

    fn current(&self, now: Micros) -> Option<&LeasedRules> {
        self.leased.as_ref().filter(|leased| now < leased.until)
    }

    /// Returns the version and step of the leased rules, or `None` without a valid lease at `now`.
    pub fn tag(&self, now: Micros) -> Option<VersionTag> {
        self.current(now).map(|leased| leased.tag)
    }

    /// Returns the rules that the sender acts on at `now`: the leased rules, or the fallback rules
    /// without a valid lease.
    pub fn rules(&self, now: Micros) -> &Rules {
        self.current(now)
            .map_or(&self.fallback, |leased| &leased.rules)
    }

    /// Returns the time in microseconds on the sender's clock at which the lease expires, or `None`
    /// without a valid lease at `now`.
    pub fn valid_until(&self, now: Micros) -> Option<Micros> {
        self.current(now).map(|leased| leased.until)
    }

    /// Creates a request for a lease, to be sent at `now`. Answers to earlier requests no longer
    /// count.
    pub fn request(&mut self, now: Micros) -> LeaseRequest {
        self.sequence += 1;
        self.requested_at = now;
        LeaseRequest {
            incarnation: self.incarnation,
            sequence: self.sequence,
            acts_on: self.tag(now),
        }
    }

    /// Applies the grant that answers `request`. The lease counts from the time at which the
    /// request was sent, because the sender does not know when the registry granted it: the
    /// answer may have been delayed, while the registry counts the lease from the grant.
    pub fn apply_grant(&mut self, request: LeaseRequest, grant: Grant, now: Micros) -> GrantResult {
        if (request.incarnation, request.sequence) != (self.incarnation, self.sequence) {
            return GrantResult::Outdated;
        }
        if grant.tag < self.highest_tag {
            return GrantResult::VersionRegressed;
        }
        if !self.fallback.is_within(&grant.rules) {
            return GrantResult::BelowFallback;
        }
        let previous_tag = self.tag(now);
        self.highest_tag = grant.tag;
        self.leased = Some(LeasedRules {
            tag: grant.tag,
            rules: grant.rules,
            until: self.requested_at + grant.lease,
        });
        if previous_tag == Some(grant.tag) {
            GrantResult::Renewed
        } else {
            GrantResult::Changed
        }
    }
}
