//! The registry's replicated state of the rules: the current version, and the step of a change.
//! Versions count the accepted changes. Each change has two steps: first senders are granted the
//! intersection of the old and the new rules, then the new rules. Leases and times are not part of
//! this state.

use crate::rules::{NoIntersection, Rules};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Version of the rules and step of the change to this version. Later steps and versions compare
/// greater.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct VersionTag {
    /// Number of the version that is in force or being introduced; the first is 1.
    pub version: u64,
    /// True once the rules of this version are granted; false while the intersection of these
    /// rules and those of the version before is granted.
    #[serde(rename = "whole")]
    pub complete: bool,
}

/// Proposed change of the rules.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Proposal {
    /// Number of the version on which the proposal is based.
    pub from: u64,
    /// Rules of the next version.
    pub rules: Rules,
}

/// Reason why a proposal is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum ProposalError {
    /// The proposal is based on a version that is not the current one.
    #[error("version {now} holds, the proposal was made from {from}")]
    Stale {
        /// Number of the current version.
        now: u64,
        /// Number of the version on which the proposal is based.
        from: u64,
    },
    /// The change to this version is not complete, or, as the leader checks, a sender may still act
    /// on earlier rules.
    #[error("version {0} may not be in force everywhere yet")]
    ChangeInProgress(u64),
    /// The rules forbid something that the fallback rules allow to a sender without a lease.
    #[error("the floor is not within the rules")]
    BelowFallback,
    /// The old and the new rules have no intersection that senders could follow during the change.
    #[error(transparent)]
    NoIntersection(#[from] NoIntersection),
}

/// Replicated state of the rules: the current version, whether the change to this version is
/// complete, its rules, the intersection granted during the change, and the fallback rules.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VersionedRules {
    fallback: Rules,
    tag: VersionTag,
    /// Rules of the current version, granted once the change to this version is complete.
    target: Rules,
    /// Intersection of the rules of the current version and of the version before, granted until
    /// the change is complete; for version 1 the same as its rules.
    intersection: Rules,
}

impl VersionedRules {
    /// Creates the state with `rules` as version 1, which is complete.
    ///
    /// # Errors
    /// Returns [`ProposalError::BelowFallback`] if the fallback rules are not within the rules.
    pub fn new(fallback: Rules, rules: Rules) -> Result<Self, ProposalError> {
        if !fallback.is_within(&rules) {
            return Err(ProposalError::BelowFallback);
        }
        Ok(VersionedRules {
            fallback,
            tag: VersionTag {
                version: 1,
                complete: true,
            },
            intersection: rules.clone(),
            target: rules,
        })
    }

    /// Returns the current version and step.
    pub fn tag(&self) -> VersionTag {
        self.tag
    }

    /// Returns the rules that the registry grants in the current step.
    pub fn rules(&self) -> &Rules {
        if self.tag.complete {
            &self.target
        } else {
            &self.intersection
        }
    }

    /// Returns the rules of the current version, also while the change to it is not complete.
    pub fn target_rules(&self) -> &Rules {
        &self.target
    }

    /// Returns the fallback rules, on which senders act without a lease; every version allows them.
    pub fn fallback(&self) -> &Rules {
        &self.fallback
    }

    /// Begins a change: from now on the registry grants the intersection of the old and the new
    /// rules. A proposal based on the current version, with the rules of this version, changes
    /// nothing and succeeds. Before a change, the leader must check
    /// ([`crate::Leases::is_settled`]) that no sender can still act on rules from before the
    /// current version was complete: these may contradict the new intersection.
    ///
    /// # Errors
    /// Returns the reason why the proposal is rejected; the state is then unchanged.
    pub fn propose(&mut self, proposal: Proposal) -> Result<VersionTag, ProposalError> {
        if proposal.from != self.tag.version {
            return Err(ProposalError::Stale {
                now: self.tag.version,
                from: proposal.from,
            });
        }
        if proposal.rules == self.target {
            return Ok(self.tag);
        }
        if !self.tag.complete {
            return Err(ProposalError::ChangeInProgress(self.tag.version));
        }
        if !self.fallback.is_within(&proposal.rules) {
            return Err(ProposalError::BelowFallback);
        }
        let intersection = self.target.intersection(&proposal.rules)?;
        self.target = proposal.rules;
        self.intersection = intersection;
        self.tag = VersionTag {
            version: self.tag.version + 1,
            complete: false,
        };
        Ok(self.tag)
    }

    /// Completes the change to `version`: its rules are granted instead of the intersection.
    /// Returns false if no change to this version is in progress. The leader must check first
    /// ([`crate::Leases::blocking_lease`]) that no sender can still act on rules before the
    /// intersection.
    pub fn advance(&mut self, version: u64) -> bool {
        let advances = self.tag
            == VersionTag {
                version,
                complete: false,
            };
        self.tag.complete |= advances;
        advances
    }
}
