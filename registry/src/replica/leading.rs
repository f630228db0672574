//! What a leader alone knows: leases, heartbeats, and which step it has proposed.

use super::Answer;
use crate::heartbeats::Heartbeats;
use crate::state::{Applied, Command, Refused, State};
use quota_ledger::LedgerEntry;
use quota_ledger::freeze::schedule::Clocks;
use quota_ledger::freeze::{ChangeKind, FreezeEntry, FreezeError, FreezeState, ResourceChange};
use quota_ledger::splits::SplitError;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use versioned_config::{LeaseTerms, Leases, Micros, ProposalError, Rules, VersionTag};

/// Lives of senders that may hold a lease at once.
const LIVES_MOST: usize = 4096;

/// A replica that was not heard of for so long keeps nothing: two elections' time, in which a new leader would be found.
const SILENT: Micros = 2_000_000;

/// Steps of the freeze are looked for again so long after some were proposed.
const FREEZE_REST: Micros = 300_000;
/// Of two calendars both are in force for so long: every sender that is reached has asked twice in it.
pub const SETTLES: Micros = 3_000_000;

/// Keys that a split copies or compares in one step, how long it is compared at least and may last at most.
const SPLIT_KEYS: u64 = 256;
const SPLIT_LEAST: Micros = 3_000_000;
const SPLIT_MOST: Micros = 120_000_000;

/// A sender's question for a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Question {
    /// The sender's name.
    pub sender: String,
    /// Its life: differs between any two processes of one name.
    pub life: u64,
    /// What it acts on; none: the floor.
    pub acts_on: Option<VersionTag>,
    /// The list that it acts on.
    pub rev: u64,
    /// What it does without a lease.
    pub floor: Rules,
}

/// A sender's life, as its last question told.
#[derive(Debug, Clone)]
pub(super) struct Known {
    pub name: String,
    pub life: u64,
    pub rev: u64,
}

/// A term of leading.
pub(super) struct Leading {
    pub term: u64,
    pub leases: Option<Leases>,
    numbers: BTreeMap<(String, u64), u64>,
    pub known: BTreeMap<u64, Known>,
    next: u64,
    pub heartbeats: Heartbeats,
    /// Proposed by this leader, and neither applied nor refused yet.
    advancing: Option<u64>,
    beginning: bool,
    /// A ledger, or a keeper for each of these ranges, has been proposed.
    ledger_beginning: bool,
    naming: BTreeMap<u64, u64>,
    /// When each voter was last heard of.
    heard: BTreeMap<u64, Micros>,
    /// When steps of the freeze were proposed last, and since when two calendars are in force.
    froze: Micros,
    settles: Option<(u64, Micros)>,
    /// It was said that the clocks differ.
    clocks_differ: bool,
    /// Since when a split is under way, as this leader knows.
    split_since: Option<Micros>,
    /// Leases that ran out and were not renewed, in this term.
    pub lapsed: u64,
}

impl Leading {
    pub fn new(term: u64, terms: Option<LeaseTerms>, now: Micros) -> Self {
        Leading {
            term,
            leases: terms.map(|terms| Leases::new(terms, now)),
            numbers: BTreeMap::new(),
            known: BTreeMap::new(),
            next: 0,
            heartbeats: Heartbeats::default(),
            advancing: None,
            beginning: false,
            ledger_beginning: false,
            naming: BTreeMap::new(),
            heard: BTreeMap::new(),
            froze: 0,
            split_since: None,
            settles: None,
            clocks_differ: false,
            lapsed: 0,
        }
    }

    /// The answer to a proposal that must not be appended now.
    pub fn judge(&self, now: Micros, command: &Command, state: &State) -> Option<Answer> {
        let Command::Rules(proposal) = command else {
            return None;
        };
        let (Some(versions), Some(leases)) = (&state.versions, &self.leases) else {
            return Some(Answer::Refused(Refused::NoRules));
        };
        let other = proposal.from != versions.tag().version;
        let same = !other && &proposal.rules == versions.target_rules();
        let settled = leases.is_settled(now, versions) && self.advancing.is_none();
        let under_way = Refused::Proposal(ProposalError::ChangeInProgress(versions.tag().version));
        (!other && !same && !settled).then_some(Answer::Refused(under_way))
    }

    /// What an applied command means for what this leader knows.
    pub fn follow(&mut self, now: Micros, applied: &Applied, advances: bool, state: &State) {
        for (uid, target, gone) in &applied.changed {
            if !gone {
                self.heartbeats.beat(now, uid, target);
            }
        }
        if advances {
            self.advancing = None;
        }
        if self.leases.is_none() {
            self.leases = state.terms.map(|terms| Leases::new(terms, now));
        }
    }

    /// Grants a lease, a majority having said that this one still leads.
    pub fn grant(&mut self, now: Micros, question: Question, state: &State) -> Answer {
        let (Some(versions), Some(leases)) = (&state.versions, &mut self.leases) else {
            return Answer::Refused(Refused::NoRules);
        };
        if &question.floor != versions.fallback() {
            return Answer::OtherFloor;
        }
        let Question {
            sender: name,
            life,
            acts_on,
            rev,
            ..
        } = question;
        let key = (name.clone(), life);
        let number = match self.numbers.get(&key) {
            Some(number) => *number,
            None if self.numbers.len() >= LIVES_MOST => {
                return Answer::Busy("too many senders hold leases");
            }
            None => {
                self.next += 1;
                self.numbers.insert(key, self.next);
                self.next
            }
        };
        self.known.insert(number, Known { name, life, rev });
        Answer::Granted(Box::new(leases.grant(now, number, acts_on, versions)))
    }

    /// Which voters there are, and which were heard of a short while ago.
    pub fn hear_of(&mut self, now: Micros, voters: &[u64], active: &[u64]) {
        self.heard.retain(|id, _| voters.contains(id));
        for id in voters {
            let heard = self.heard.entry(*id).or_insert(now);
            *heard = if active.contains(id) { now } else { *heard };
        }
    }

    /// Windows that begin or end, calendars that have settled.
    pub fn freeze_steps(
        &mut self,
        now: Micros,
        freeze: &FreezeState,
        clocks: Clocks,
    ) -> Vec<FreezeEntry> {
        if std::mem::replace(&mut self.clocks_differ, clocks.differ()) != clocks.differ() {
            let Clocks { wall_ms, log_ms } = clocks;
            tracing::warn!(
                wall_ms,
                log_ms,
                differ = clocks.differ(),
                "the strict side of the clocks holds"
            );
        }
        if now < self.froze + FREEZE_REST {
            return Vec::new();
        }
        let mut due = freeze.due_entries(clocks);
        let rev = freeze.previous_calendar().map(|_| freeze.revision());
        if rev != self.settles.map(|(rev, _)| rev) {
            self.settles = rev.map(|rev| (rev, now));
        }
        due.extend(
            self.settles
                .filter(|(_, since)| now >= since + SETTLES)
                .map(|(rev, _)| FreezeEntry::SettleCalendar(rev)),
        );
        if !due.is_empty() {
            self.froze = now;
        }
        due
    }

    /// What the ledger lacks: its beginning, or keepers for ranges that have none that is alive.
    fn ledger_steps(&mut self, now: Micros, state: &State, begin: &[Command]) -> Vec<Command> {
        let Some(book) = &state.ledger else {
            let begin = begin
                .iter()
                .find(|command| matches!(command, Command::Ledger(_)));
            let begin = begin.filter(|_| !std::mem::replace(&mut self.ledger_beginning, true));
            return begin.cloned().into_iter().collect();
        };
        let mut due = Vec::new();
        match book.split() {
            None => self.split_since = None,
            Some(split) => {
                let since = *self.split_since.get_or_insert(now);
                let frozen = ResourceChange {
                    destinations: vec![split.first],
                    ..ResourceChange::of_all(ChangeKind::Split)
                };
                let frozen = state.freeze.check_changes(&[frozen], false);
                let proven = split.is_proven();
                // what is compared in whole is finished; what is not is undone, so that nothing is left half
                due.extend(match frozen {
                    _ if split.disagreement_count > 0 => Some(LedgerEntry::RollBack(
                        SplitError::Disagreements(split.disagreement_count),
                    )),
                    _ if split.planted_fault.is_some()
                        && split.compared_all
                        && now >= since + SPLIT_LEAST =>
                    {
                        Some(LedgerEntry::RollBack(SplitError::Rehearsed))
                    }
                    Err(FreezeError::Held { window, .. }) if !proven => {
                        Some(LedgerEntry::RollBack(SplitError::Frozen(window)))
                    }
                    _ if proven && now >= since + SPLIT_LEAST => Some(LedgerEntry::CutOver),
                    _ if now >= since + SPLIT_MOST => {
                        Some(LedgerEntry::RollBack(SplitError::TimedOut))
                    }
                    _ if !proven => Some(LedgerEntry::AdvanceSplit(SPLIT_KEYS)),
                    _ => None,
                });
            }
        }
        let alive = |(_, heard): &(&u64, &Micros)| now < **heard + SILENT;
        let alive: Vec<u64> = self.heard.iter().filter(alive).map(|(id, _)| *id).collect();
        due.extend(book.allocator_assignments(&alive));
        due.retain(|entry| match entry {
            // proposed already, and neither applied nor lost yet
            LedgerEntry::AssignAllocator { shard, epoch, .. } => {
                self.naming.insert(*shard, *epoch) != Some(*epoch)
            }
            _ => true,
        });
        due.into_iter().map(Command::Ledger).collect()
    }

    /// The commands that are due, and how many endpoints are newly kept though they have run out.
    pub fn steps(
        &mut self,
        now: Micros,
        state: &State,
        begin: &[Command],
    ) -> (Vec<Command>, usize) {
        let mut steps = self.ledger_steps(now, state, begin);
        if let Some(leases) = &mut self.leases {
            for number in leases.remove_expired(now) {
                self.lapsed += 1;
                if let Some(Known { name, life, .. }) = self.known.remove(&number) {
                    self.numbers.remove(&(name, life));
                }
            }
            let waits = state
                .tag()
                .is_none_or(|tag| tag.complete || leases.blocking_lease(now, tag).is_some());
            if let Some(tag) = state.tag().filter(|_| !waits && self.advancing.is_none()) {
                self.advancing = Some(tag.version);
                steps.push(Command::Advance(tag.version));
            }
        }
        let begin = begin
            .iter()
            .find(|command| matches!(command, Command::Begin { .. }));
        if let Some(begin) = begin.filter(|_| state.versions.is_none() && !self.beginning) {
            self.beginning = true;
            steps.push(begin.clone());
        }
        let (gone, kept) = self.heartbeats.run_out(now, &state.targets);
        if !gone.is_empty() {
            steps.push(Command::Expire(gone));
        }
        (steps, kept)
    }

    /// The engine took a step not.
    pub fn not_appended(&mut self, command: &Command) {
        match command {
            Command::Advance(_) => self.advancing = None,
            Command::Begin { .. } => self.beginning = false,
            Command::Ledger(LedgerEntry::AssignAllocator { shard, .. }) => {
                drop(self.naming.remove(shard))
            }
            Command::Ledger(_) => self.ledger_beginning = false,
            _ => {}
        }
    }
}
