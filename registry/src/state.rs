//! The replicated state machine: the endpoint list and the agreed rules, each with its version, the quota ledger and the
//! freeze calendar. Replicas that apply the same commands have the same state: it depends on no clock and no random number.

mod command;
mod endpoint_list;

pub use command::{
    Applied, BootProblem, Command, CommandError, EndpointChange, ExpiredEndpoint, ListChange,
    ReplicaAddresses, TooMany,
};
pub use endpoint_list::Endpoints;

use crate::topology::{check_limit_change, check_rules_change};
use quota_ledger::freeze::{ChangeKind, FreezeState, ResourceChange};
use quota_ledger::{LedgerEntry, LedgerState};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use versioned_config::{LeaseTerms, Proposal, Rules, VersionTag, VersionedRules};

/// The most endpoints of a list, and the most changes of one command.
pub const MAX_ENDPOINTS: usize = 10_000;
/// VersionedRules of the rules that are stored, to be compared or gone back to.
pub const STORED_RULES: usize = 32;

/// The state. The order of the fields is the form of the snapshot.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// The endpoint list's version.
    pub rev: u64,
    /// The endpoint list.
    pub endpoints: Endpoints,
    /// The agreed rules.
    pub versions: Option<VersionedRules>,
    /// The duration of leases on the rules.
    pub terms: Option<LeaseTerms>,
    /// The last [`STORED_RULES`] versions of the rules.
    pub stored_rules: BTreeMap<u64, Rules>,
    /// The replicas that joined after the first start.
    pub replicas: BTreeMap<u64, ReplicaAddresses>,
    /// The quota ledger. Fields of later versions stand last: an older replica reads what precedes them.
    pub ledger: Option<LedgerState>,
    /// The freeze calendar.
    pub freeze: FreezeState,
}

/// Zeros in place of the fields that an older version did not write: no ledger, no calendar.
const MISSING_FIELDS: [u8; 8] = [0; 8];

impl State {
    /// Decodes a snapshot of this version or an older one. The store has checked its bytes.
    ///
    /// # Errors
    /// The bytes are no snapshot.
    pub fn read(bytes: &[u8]) -> Result<Self, postcard::Error> {
        match postcard::from_bytes(bytes) {
            Err(postcard::Error::DeserializeUnexpectedEnd) => {
                postcard::from_bytes(&[bytes, &MISSING_FIELDS].concat())
            }
            read => read,
        }
    }

    /// Applies a command as a whole.
    ///
    /// # Errors
    /// The command is rejected, and nothing has changed.
    pub fn apply(&mut self, command: Command) -> Result<Applied, CommandError> {
        let ledger = matches!(command, Command::Ledger(_) | Command::Freeze(_));
        let mut changed = Vec::new();
        match command {
            Command::ChangeList { if_match, changes } => {
                changed = self.change_list(if_match, &changes, false)?;
            }
            Command::ForceChangeList { if_match, changes } => {
                changed = self.change_list(if_match, &changes, true)?;
            }
            Command::Expire(expired) => changed = self.expire(expired)?,
            Command::BeginRules {
                fallback,
                rules,
                terms,
            } => self.begin_rules(fallback, rules, terms)?,
            Command::ProposeRules(proposal) => self.propose_rules(proposal)?,
            Command::AdvanceRules(version) => {
                // a step that has been taken is no fault: two leaders may have proposed it
                self.versions
                    .as_mut()
                    .ok_or(CommandError::NoRules)?
                    .advance(version);
            }
            Command::Freeze(entry) => self.freeze.apply(entry)?,
            Command::Ledger(entry) => self.apply_ledger(entry)?,
        }
        Ok(Applied {
            rev: self.rev,
            tag: self.tag(),
            changed,
            ledger,
        })
    }

    /// The rules' version and step.
    pub fn tag(&self) -> Option<VersionTag> {
        self.versions.as_ref().map(VersionedRules::tag)
    }

    fn expire(
        &mut self,
        expired: Vec<ExpiredEndpoint>,
    ) -> Result<Vec<EndpointChange>, CommandError> {
        let changes: Vec<ListChange> = expired
            .into_iter()
            .filter(|expired| self.endpoints.get(&expired.uid) == Some(&expired.endpoint))
            .map(|expired| ListChange::Remove { uid: expired.uid })
            .collect();
        // an expired endpoint does not serve any more, whatever is frozen
        self.change_list(None, &changes, true)
    }

    fn begin_rules(
        &mut self,
        fallback: Rules,
        rules: Rules,
        terms: LeaseTerms,
    ) -> Result<(), CommandError> {
        if self.versions.is_some() {
            return Err(CommandError::RulesBegun);
        }
        fallback.validate()?;
        rules.validate()?;
        let versions = VersionedRules::new(fallback, rules)?;
        self.store_rules(&versions);
        self.versions = Some(versions);
        self.terms = Some(terms);
        Ok(())
    }

    fn propose_rules(&mut self, proposal: Proposal) -> Result<(), CommandError> {
        proposal.rules.validate()?;
        check_rules_change(&self.freeze, self.versions.as_ref(), &proposal.rules)?;
        let versions = self.versions.as_mut().ok_or(CommandError::NoRules)?;
        versions.propose(proposal)?;
        let versions = versions.clone();
        self.store_rules(&versions);
        Ok(())
    }

    fn apply_ledger(&mut self, entry: LedgerEntry) -> Result<(), CommandError> {
        if let LedgerEntry::SetLimit { key, limit, .. } = &entry {
            check_limit_change(&self.freeze, self.ledger.as_ref(), key, *limit)?;
        }
        if let LedgerEntry::BeginSplit { first, .. } = &entry {
            let split = ResourceChange {
                destinations: vec![*first],
                ..ResourceChange::of_all(ChangeKind::Split)
            };
            self.freeze.check_changes(&[split], false)?;
        }
        LedgerState::apply(&mut self.ledger, entry)?;
        Ok(())
    }

    fn store_rules(&mut self, versions: &VersionedRules) {
        self.stored_rules
            .insert(versions.tag().version, versions.target_rules().clone());
        while self.stored_rules.len() > STORED_RULES {
            self.stored_rules.pop_first();
        }
    }
}

#[cfg(test)]
mod tests;
