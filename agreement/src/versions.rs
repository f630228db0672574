//! What the replicated log keeps: the versions, and the step of the change under way. No lease and no time is in it.

use crate::rules::{NoIntersection, Rules};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A version and the step on the way to it. Greater ones come later.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct VersionTag {
    /// The version that holds, or is to hold.
    pub version: u64,
    /// False while the intersection of it and the one before is in force.
    #[serde(rename = "whole")]
    pub complete: bool,
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
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum ProposalError {
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
    ChangeInProgress(u64),
    /// A sender without a lease would act more freely than these rules allow.
    #[error("the floor is not within the rules")]
    BelowFallback,
    /// No sender can keep both while the change goes through.
    #[error(transparent)]
    NoIntersection(#[from] NoIntersection),
}

/// The versions.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VersionedRules {
    fallback: Rules,
    tag: VersionTag,
    target: Rules,
    intersection: Rules,
}

impl VersionedRules {
    /// Versions of which these rules are the first.
    ///
    /// # Errors
    /// The fallback rules are not within the rules.
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

    /// The version and step in force.
    pub fn tag(&self) -> VersionTag {
        self.tag
    }

    /// The rules that are granted now.
    pub fn rules(&self) -> &Rules {
        if self.tag.complete {
            &self.target
        } else {
            &self.intersection
        }
    }

    /// The rules that hold once the change under way is through.
    pub fn target_rules(&self) -> &Rules {
        &self.target
    }

    /// What is within every version.
    pub fn fallback(&self) -> &Rules {
        &self.fallback
    }

    /// Takes a change up: from now on the intersection of both is granted. The same rules again make no version. It is for the
    /// leader to see first that nobody can still act on the intersection of the change before ([`crate::Leases::is_settled`]).
    ///
    /// # Errors
    /// Says why it is not taken; nothing has changed then.
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

    /// Goes on from the intersection of this version to its rules; whether it did. It is for the leader to see first that nobody
    /// can still act on the rules before ([`crate::Leases::blocking_lease`]).
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
