//! What a leader alone knows: leases, heartbeats, and which step it has proposed.

use super::Answer;
use crate::beats::Beats;
use crate::state::{Applied, Command, Refused, State};
use milletturn_agreement::{Leases, Micros, Refusal, Rules, Tag, Terms};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Lives of senders that may hold a lease at once.
const LIVES_MOST: usize = 4096;

/// A sender's question for a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Question {
    /// The sender's name.
    pub sender: String,
    /// Its life: differs between any two processes of one name.
    pub life: u64,
    /// What it acts on; none: the floor.
    pub acts_on: Option<Tag>,
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
    pub beats: Beats,
    /// Proposed by this leader, and neither applied nor refused yet.
    advancing: Option<u64>,
    beginning: bool,
    /// Leases that ran out and were not renewed, in this term.
    pub lapsed: u64,
}

impl Leading {
    pub fn new(term: u64, terms: Option<Terms>, now: Micros) -> Self {
        Leading {
            term,
            leases: terms.map(|terms| Leases::new(terms, now)),
            numbers: BTreeMap::new(),
            known: BTreeMap::new(),
            next: 0,
            beats: Beats::default(),
            advancing: None,
            beginning: false,
            lapsed: 0,
        }
    }

    /// The answer to a proposal that must not be appended now.
    pub fn judge(&self, now: Micros, command: &Command, state: &State) -> Option<Answer> {
        let Command::Rules(proposal) = command else { return None };
        let (Some(versions), Some(leases)) = (&state.versions, &self.leases) else {
            return Some(Answer::Refused(Refused::NoRules));
        };
        let other = proposal.from != versions.tag().version;
        let same = !other && &proposal.rules == versions.new_rules();
        let settled = leases.is_settled(now, versions) && self.advancing.is_none();
        let under_way = Refused::Proposal(Refusal::UnderWay(versions.tag().version));
        (!other && !same && !settled).then_some(Answer::Refused(under_way))
    }

    /// What an applied command means for what this leader knows.
    pub fn follow(&mut self, now: Micros, applied: &Applied, advances: bool, state: &State) {
        for (uid, target, gone) in &applied.changed {
            if !gone {
                self.beats.beat(now, uid, target);
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
        if &question.floor != versions.floor() {
            return Answer::OtherFloor;
        }
        let Question { sender: name, life, acts_on, rev, .. } = question;
        let key = (name.clone(), life);
        let number = match self.numbers.get(&key) {
            Some(number) => *number,
            None if self.numbers.len() >= LIVES_MOST => return Answer::Busy("too many senders hold leases"),
            None => {
                self.next += 1;
                self.numbers.insert(key, self.next);
                self.next
            }
        };
        self.known.insert(number, Known { name, life, rev });
        Answer::Granted(Box::new(leases.ask(now, number, acts_on, versions)))
    }

    /// The commands that are due, and how many endpoints are newly kept though they have run out.
    pub fn steps(&mut self, now: Micros, state: &State, begin: Option<&Command>) -> (Vec<Command>, usize) {
        let mut steps = Vec::new();
        if let Some(leases) = &mut self.leases {
            for number in leases.forget(now) {
                self.lapsed += 1;
                if let Some(Known { name, life, .. }) = self.known.remove(&number) {
                    self.numbers.remove(&(name, life));
                }
            }
            let waits = state.tag().is_none_or(|tag| tag.whole || leases.waits_for(now, tag).is_some());
            if let Some(tag) = state.tag().filter(|_| !waits && self.advancing.is_none()) {
                self.advancing = Some(tag.version);
                steps.push(Command::Advance(tag.version));
            }
        }
        if let Some(begin) = begin.filter(|_| state.versions.is_none() && !self.beginning) {
            self.beginning = true;
            steps.push(begin.clone());
        }
        let (gone, kept) = self.beats.run_out(now, &state.targets);
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
            _ => {}
        }
    }
}
