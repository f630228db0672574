//! What a leader alone knows, for its term: leases, heartbeats, which voters are alive, and the steps it has proposed.

mod freeze_steps;
mod ledger_steps;

use super::interface::{Answer, BusyReason};
use crate::heartbeats::{Expiry, Heartbeats};
use crate::state::{Applied, Command, CommandError, State};
use freeze_steps::FreezeSteps;
use ledger_steps::LedgerSteps;
use quota_ledger::freeze::schedule::Clocks;
use quota_ledger::freeze::{FreezeEntry, FreezeState};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use versioned_config::{LeaseTerms, Leases, Micros, ProposalError, Rules, VersionTag};

/// The most incarnations of senders that may hold a lease at once.
const MAX_LEASE_HOLDERS: usize = 4096;

/// A sender's request for a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SenderLeaseRequest {
    /// The sender's name.
    pub sender: String,
    /// The sender's incarnation: it differs between any two processes of one name.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The version that the sender acts on; none: the fallback.
    pub acts_on: Option<VersionTag>,
    /// The version of the endpoint list that the sender acts on.
    pub rev: u64,
    /// The rules of the sender without a lease.
    #[serde(rename = "floor")]
    pub fallback: Rules,
}

/// A sender's process.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SenderId {
    pub name: String,
    pub incarnation: u64,
}

/// A sender with a lease, as its last request told.
#[derive(Debug, Clone)]
pub(super) struct LeaseHolderInfo {
    pub id: SenderId,
    /// The version of the endpoint list that it acts on.
    pub rev: u64,
}

/// The steps that the leader is to propose.
pub(super) struct LeaderSteps {
    pub commands: Vec<Command>,
    /// Endpoints that have expired and are newly retained.
    pub newly_retained: usize,
}

/// A term as leader.
pub(super) struct Leadership {
    pub term: u64,
    pub leases: Option<Leases>,
    /// The number of each sender in `leases`.
    numbers: BTreeMap<SenderId, u64>,
    pub holders: BTreeMap<u64, LeaseHolderInfo>,
    last_number: u64,
    pub heartbeats: Heartbeats,
    /// The version whose advance this leader has proposed, until it is applied.
    advancing: Option<u64>,
    /// Whether this leader has proposed the first rules.
    rules_proposed: bool,
    /// When each voter was last heard.
    last_heard: BTreeMap<u64, Micros>,
    freeze: FreezeSteps,
    ledger: LedgerSteps,
    /// Leases of this term that ran out and were not renewed.
    pub lapsed: u64,
}

impl Leadership {
    pub fn new(term: u64, terms: Option<LeaseTerms>, now: Micros) -> Self {
        Leadership {
            term,
            leases: terms.map(|terms| Leases::new(terms, now)),
            numbers: BTreeMap::new(),
            holders: BTreeMap::new(),
            last_number: 0,
            heartbeats: Heartbeats::default(),
            advancing: None,
            rules_proposed: false,
            last_heard: BTreeMap::new(),
            freeze: FreezeSteps::default(),
            ledger: LedgerSteps::default(),
            lapsed: 0,
        }
    }

    /// The answer to a proposal that must not be appended now.
    pub fn check(&self, now: Micros, command: &Command, state: &State) -> Option<Answer> {
        let Command::ProposeRules(proposal) = command else {
            return None;
        };
        let (Some(versions), Some(leases)) = (&state.versions, &self.leases) else {
            return Some(Answer::Rejected(CommandError::NoRules));
        };
        let current = versions.tag().version;
        let is_stale = proposal.from != current;
        let is_same = &proposal.rules == versions.target_rules();
        let settled = leases.is_settled(now, versions) && self.advancing.is_none();
        if is_stale || is_same || settled {
            return None; // the state decides
        }
        Some(Answer::Rejected(CommandError::Proposal(
            ProposalError::ChangeInProgress(current),
        )))
    }

    /// Follows an applied command.
    pub fn follow(&mut self, now: Micros, applied: &Applied, advances: bool, state: &State) {
        for change in applied.changed.iter().filter(|change| !change.removed) {
            self.heartbeats.record(now, &change.uid, &change.endpoint);
        }
        if advances {
            self.advancing = None;
        }
        if self.leases.is_none() {
            self.leases = state.terms.map(|terms| Leases::new(terms, now));
        }
    }

    /// Grants a lease, after a majority has confirmed that this replica still leads.
    pub fn grant(&mut self, now: Micros, request: SenderLeaseRequest, state: &State) -> Answer {
        let (Some(versions), Some(leases)) = (&state.versions, &mut self.leases) else {
            return Answer::Rejected(CommandError::NoRules);
        };
        if &request.fallback != versions.fallback() {
            return Answer::OtherFallback;
        }
        let SenderLeaseRequest {
            sender,
            incarnation,
            acts_on,
            rev,
            ..
        } = request;
        let id = SenderId {
            name: sender,
            incarnation,
        };
        let number = match self.numbers.get(&id) {
            Some(number) => *number,
            None if self.numbers.len() >= MAX_LEASE_HOLDERS => {
                return Answer::Busy(BusyReason::LeaseHolders);
            }
            None => {
                self.last_number += 1;
                self.numbers.insert(id.clone(), self.last_number);
                self.last_number
            }
        };
        self.holders.insert(number, LeaseHolderInfo { id, rev });
        Answer::Granted(Box::new(leases.grant(now, number, acts_on, versions)))
    }

    /// Notes which voters there are, and which were heard a short while ago.
    pub fn note_voters(&mut self, now: Micros, voters: &[u64], active: &[u64]) {
        self.last_heard.retain(|id, _| voters.contains(id));
        for id in voters {
            let heard = self.last_heard.entry(*id).or_insert(now);
            if active.contains(id) {
                *heard = now;
            }
        }
    }

    /// The steps that are due, except those of the freeze.
    pub fn steps(&mut self, now: Micros, state: &State, initial: &[Command]) -> LeaderSteps {
        let mut commands = self.ledger.steps(now, state, initial, &self.last_heard);
        self.forget_lapsed(now);
        commands.extend(self.advance_step(now, state));
        commands.extend(self.first_rules(state, initial));
        let Expiry {
            expired,
            newly_retained,
        } = self.heartbeats.expire(now, &state.endpoints);
        if !expired.is_empty() {
            commands.push(Command::Expire(expired));
        }
        LeaderSteps {
            commands,
            newly_retained,
        }
    }

    fn forget_lapsed(&mut self, now: Micros) {
        let Some(leases) = &mut self.leases else {
            return;
        };
        for number in leases.remove_expired(now) {
            self.lapsed += 1;
            if let Some(holder) = self.holders.remove(&number) {
                self.numbers.remove(&holder.id);
            }
        }
    }

    /// Advances a change of the rules, once no lease on the version before can last.
    fn advance_step(&mut self, now: Micros, state: &State) -> Option<Command> {
        let leases = self.leases.as_ref()?;
        let tag = state.tag()?;
        let must_wait = tag.complete || leases.blocking_lease(now, tag).is_some();
        if must_wait || self.advancing.is_some() {
            return None;
        }
        self.advancing = Some(tag.version);
        Some(Command::AdvanceRules(tag.version))
    }

    fn first_rules(&mut self, state: &State, initial: &[Command]) -> Option<Command> {
        let begin = initial
            .iter()
            .find(|command| matches!(command, Command::BeginRules { .. }))?;
        if state.versions.is_some() || self.rules_proposed {
            return None;
        }
        self.rules_proposed = true;
        Some(begin.clone())
    }

    /// The engine did not append a step: it may be proposed again.
    pub fn not_appended(&mut self, command: &Command) {
        match command {
            Command::AdvanceRules(_) => self.advancing = None,
            Command::BeginRules { .. } => self.rules_proposed = false,
            Command::Ledger(entry) => self.ledger.not_appended(entry),
            _ => {}
        }
    }

    /// Windows that begin or end, and calendars that have settled.
    pub fn freeze_steps(
        &mut self,
        now: Micros,
        freeze: &FreezeState,
        clocks: Clocks,
    ) -> Vec<FreezeEntry> {
        self.freeze.steps(now, freeze, clocks)
    }
}
