//! What the log's entries change: the list and the rules, each with its version. Every replica that applies the same entries
//! has the same state; no clock and no chance is in it.

use crate::target::{BadTarget, Standing, Target};
use crate::topology::{judge_limit, judge_list, judge_rules};
use quota_ledger::freeze::{ChangeKind, FreezeEntry, FreezeError, FreezeState, ResourceChange};
use quota_ledger::{LedgerEntry, LedgerError, LedgerState};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use thiserror::Error;
use versioned_config::{
    InvalidRules, LeaseTerms, Proposal, ProposalError, Rules, VersionTag, VersionedRules,
};

/// Endpoints that a list may have, and changes of one write.
pub const TARGETS_MOST: usize = 10_000;
/// Versions of the rules that can be compared and gone back to.
pub const KEPT: usize = 32;

/// Where a replica is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// By the other replicas.
    pub peers: SocketAddr,
    /// By clients.
    pub clients: SocketAddr,
}

/// One change of the list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Change {
    /// It is there, just so.
    Put {
        /// Its name.
        uid: String,
        /// What it is.
        target: Target,
    },
    /// It wants nothing new.
    Drain {
        /// Its name.
        uid: String,
    },
    /// It is gone.
    Remove {
        /// Its name.
        uid: String,
    },
}

/// What is proposed to the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Changes of the list: one version, or not at all.
    List {
        /// Only if the list has this version.
        if_match: Option<u64>,
        /// In order.
        changes: Vec<Change>,
    },
    /// These have run out, if they are still as they were.
    Expire(Vec<(String, Target)>),
    /// The first rules.
    Begin {
        /// What a sender without a lease acts on.
        floor: Rules,
        /// The first version.
        rules: Rules,
        /// How long leases last, from now on.
        terms: LeaseTerms,
    },
    /// Other rules.
    Rules(Proposal),
    /// The change to this version goes on from the meet.
    Advance(u64),
    /// Of the ledger.
    Ledger(LedgerEntry),
    /// Of the freeze.
    Freeze(FreezeEntry),
    /// As a list's changes, also where a window would rather keep a destination's last endpoint.
    Forced {
        /// Only if the list has this version.
        if_match: Option<u64>,
        /// In order.
        changes: Vec<Change>,
    },
}

/// An endpoint that has changed, as it is now or was last, and whether it is gone.
pub type Changed = (String, Target, bool);

/// What a command did.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Applied {
    /// The list's version.
    pub rev: u64,
    /// The rules' version and step, where there are rules.
    pub tag: Option<VersionTag>,
    /// Endpoints that have changed or are gone, as they are now or were last.
    pub changed: Vec<Changed>,
    /// It was an entry of the ledger or the freeze.
    pub ledger: bool,
}

/// Why a command did nothing.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Refused {
    /// The list has another version.
    #[error("the list has version {now}, not {wanted}")]
    Version {
        /// What it has.
        now: u64,
        /// What was wanted.
        wanted: u64,
    },
    /// No endpoint has this name.
    #[error("{0}: no such endpoint")]
    Unknown(String),
    /// It can't become what is wanted.
    #[error("{uid}: {problem}")]
    Senseless {
        /// The endpoint.
        uid: String,
        /// Why not.
        problem: &'static str,
    },
    /// An endpoint is none.
    #[error(transparent)]
    Target(#[from] BadTarget),
    /// Rules are none.
    #[error(transparent)]
    Rules(#[from] InvalidRules),
    /// Too many.
    #[error("{0}")]
    Size(&'static str),
    /// There are no rules yet.
    #[error("no rules are agreed here")]
    NoRules,
    /// The rules have begun already.
    #[error("rules are agreed here already")]
    Begun,
    /// Other rules can't follow.
    #[error(transparent)]
    Proposal(#[from] ProposalError),
    /// The ledger does not take it.
    #[error(transparent)]
    Ledger(#[from] LedgerError),
    /// A freeze holds it, or does not take it.
    #[error(transparent)]
    Freeze(#[from] FreezeError),
}

/// The state.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// The list's version.
    pub rev: u64,
    /// The list.
    pub targets: BTreeMap<String, Target>,
    /// The rules.
    pub versions: Option<VersionedRules>,
    /// How long leases last.
    pub terms: Option<LeaseTerms>,
    /// Versions of before and now, the last [`KEPT`].
    pub kept: BTreeMap<u64, Rules>,
    /// Replicas that came after the start.
    pub replicas: BTreeMap<u64, Place>,
    /// The ledger. What came with later versions stands last: a replica of one before reads what lies before it.
    pub ledger: Option<LedgerState>,
    /// The freeze.
    pub freeze: FreezeState,
}

/// Zeros that stand for what a version before did not know: no ledger, no calendar.
const UNKNOWN: [u8; 8] = [0; 8];

impl State {
    /// Reads a snapshot of this version or one before, whose store vouches for its bytes.
    ///
    /// # Errors
    /// It is neither.
    pub fn read(bytes: &[u8]) -> Result<Self, postcard::Error> {
        match postcard::from_bytes(bytes) {
            Err(postcard::Error::DeserializeUnexpectedEnd) => {
                postcard::from_bytes(&[bytes, &UNKNOWN].concat())
            }
            read => read,
        }
    }

    /// Applies a command: all of it or nothing.
    ///
    /// # Errors
    /// Says why nothing was done.
    pub fn apply(&mut self, command: Command) -> Result<Applied, Refused> {
        let ledger = matches!(command, Command::Ledger(_) | Command::Freeze(_));
        let changed = match command {
            Command::List { if_match, changes } => self.change(if_match, &changes, false)?,
            Command::Forced { if_match, changes } => self.change(if_match, &changes, true)?,
            Command::Expire(gone) => {
                let still =
                    |(uid, target): &(String, Target)| self.targets.get(uid) == Some(target);
                let changes: Vec<Change> = gone
                    .into_iter()
                    .filter(|gone| still(gone))
                    .map(|(uid, _)| Change::Remove { uid })
                    .collect();
                // what has run out is gone, whatever is frozen
                self.change(None, &changes, true)?
            }
            Command::Begin {
                floor,
                rules,
                terms,
            } => {
                if self.versions.is_some() {
                    return Err(Refused::Begun);
                }
                floor.validate()?;
                rules.validate()?;
                let versions = VersionedRules::new(floor, rules)?;
                self.keep(&versions);
                (self.versions, self.terms) = (Some(versions), Some(terms));
                Vec::new()
            }
            Command::Rules(proposal) => {
                proposal.rules.validate()?;
                judge_rules(self, &proposal.rules)?;
                let versions = self.versions.as_mut().ok_or(Refused::NoRules)?;
                versions.propose(proposal)?;
                let versions = versions.clone();
                self.keep(&versions);
                Vec::new()
            }
            Command::Advance(version) => {
                // a step that has been taken already is no fault: two leaders may have proposed it
                self.versions
                    .as_mut()
                    .ok_or(Refused::NoRules)?
                    .advance(version);
                Vec::new()
            }
            Command::Freeze(entry) => {
                self.freeze.apply(entry)?;
                Vec::new()
            }
            Command::Ledger(entry) => {
                if let LedgerEntry::SetLimit { key, limit, .. } = &entry {
                    judge_limit(self, key, *limit)?;
                }
                if let LedgerEntry::BeginSplit { first, .. } = &entry {
                    let destinations = vec![*first];
                    let split = ResourceChange {
                        destinations,
                        ..ResourceChange::of_all(ChangeKind::Split)
                    };
                    self.freeze.check_changes(&[split], false)?;
                }
                LedgerState::apply(&mut self.ledger, entry)?;
                Vec::new()
            }
        };
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

    fn keep(&mut self, versions: &VersionedRules) {
        self.kept
            .insert(versions.tag().version, versions.target_rules().clone());
        while self.kept.len() > KEPT {
            self.kept.pop_first();
        }
    }

    fn change(
        &mut self,
        if_match: Option<u64>,
        changes: &[Change],
        forced: bool,
    ) -> Result<Vec<Changed>, Refused> {
        if let Some(wanted) = if_match.filter(|wanted| *wanted != self.rev) {
            return Err(Refused::Version {
                now: self.rev,
                wanted,
            });
        }
        if changes.len() > TARGETS_MOST {
            return Err(Refused::Size("more than 10000 changes at once"));
        }
        let mut targets = self.targets.clone();
        changes
            .iter()
            .try_for_each(|change| change.apply(&mut targets))?;
        if targets.len() > TARGETS_MOST {
            return Err(Refused::Size("more than 10000 endpoints"));
        }
        judge_list(self, &self.targets, &targets, forced)?;
        let before = std::mem::replace(&mut self.targets, targets);
        let now = self
            .targets
            .iter()
            .filter(|(uid, target)| before.get(*uid) != Some(target));
        let gone = before
            .iter()
            .filter(|(uid, _)| !self.targets.contains_key(*uid));
        let copy = |(uid, target): (&String, &Target), gone| (uid.clone(), target.clone(), gone);
        let changed: Vec<_> = now
            .map(|entry| copy(entry, false))
            .chain(gone.map(|entry| copy(entry, true)))
            .collect();
        // the same write again makes no version
        self.rev += u64::from(!changed.is_empty());
        Ok(changed)
    }
}

impl Change {
    fn apply(&self, targets: &mut BTreeMap<String, Target>) -> Result<(), Refused> {
        match self {
            Change::Put { uid, target } => {
                target.validate(uid)?;
                let before = targets.get(uid);
                // what drains has told its peers that it ends: only another start brings it back
                let back = before.is_some_and(|before| {
                    before.state == Standing::Draining
                        && target.state == Standing::Up
                        && target.boot_ms <= before.boot_ms
                });
                if back {
                    let problem = "it drains, and is up again only with a later boot_ms";
                    return Err(Refused::Senseless {
                        uid: uid.clone(),
                        problem,
                    });
                }
                if before.is_some_and(|before| before.boot_ms > target.boot_ms) {
                    let problem = "it has started later than boot_ms says";
                    return Err(Refused::Senseless {
                        uid: uid.clone(),
                        problem,
                    });
                }
                targets.insert(uid.clone(), target.clone());
            }
            Change::Drain { uid } => {
                let target = targets
                    .get_mut(uid)
                    .ok_or_else(|| Refused::Unknown(uid.clone()))?;
                target.state = Standing::Draining;
            }
            Change::Remove { uid } => {
                targets
                    .remove(uid)
                    .ok_or_else(|| Refused::Unknown(uid.clone()))?;
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    pub fn target(port: u16) -> Target {
        serde_json::from_value(serde_json::json!({
            "endpoint": format!("10.1.0.1:{port}"), "pod_group": 3, "boot_ms": 5
        }))
        .expect("a target")
    }

    fn list(changes: Vec<Change>) -> Command {
        Command::List {
            if_match: None,
            changes,
        }
    }

    fn put(uid: &str, port: u16) -> Change {
        Change::Put {
            uid: uid.to_string(),
            target: target(port),
        }
    }

    #[test]
    fn a_snapshot_of_the_version_before_is_read_and_it_reads_ours() {
        let mut state = State::default();
        state.apply(list(vec![put("a", 1)])).expect("put");
        let bytes = postcard::to_allocvec(&state).expect("encoded");
        // no ledger is one byte at the end, an empty freeze six
        for unknown in [6, 7] {
            let before = &bytes[..bytes.len() - unknown];
            assert_eq!(
                State::read(before).as_ref(),
                Ok(&state),
                "without {unknown} bytes"
            );
        }
        assert_eq!(State::read(&bytes).as_ref(), Ok(&state));
        // what lies before it is as it was: the version before stops there
        type Before = (
            u64,
            BTreeMap<String, Target>,
            Option<VersionedRules>,
            Option<LeaseTerms>,
        );
        assert_eq!(
            postcard::from_bytes::<Before>(&bytes).map(|before| before.0),
            Ok(1)
        );
    }

    #[test]
    fn a_freeze_holds_what_widens_and_lets_relief_pass() {
        use quota_ledger::freeze::{ActiveWindow, Scope};
        let mut state = State::default();
        state
            .apply(list(vec![put("a", 1), put("b", 2)]))
            .expect("put");
        let (reason, owner) = ("term begins".to_string(), "lan".to_string());
        let on = ActiveWindow {
            until_ms: 9,
            scope: Scope::default(),
            held_changes: Default::default(),
            reason,
            owner,
        };
        state
            .apply(Command::Freeze(FreezeEntry::BeginWindow("w".into(), on)))
            .expect("begun");
        let drain = |uid: &str| Change::Drain {
            uid: uid.to_string(),
        };
        let hint = |hint| Change::Put {
            uid: "a".into(),
            target: Target {
                capacity_hint: hint,
                ..target(1)
            },
        };
        let moved = Change::Put {
            uid: "a".into(),
            target: Target {
                pod_group: 4,
                ..target(1)
            },
        };
        for held in [put("c", 3), hint(9.0), moved] {
            let refused = state.apply(list(vec![held.clone()]));
            assert!(
                matches!(refused, Err(Refused::Freeze(FreezeError::Held { .. }))),
                "{held:?}: {refused:?}"
            );
        }
        let mixed = state.apply(list(vec![drain("a"), put("c", 3)]));
        assert_eq!(
            mixed,
            Err(Refused::Freeze(FreezeError::MixedBatch("w".into())))
        );
        state.apply(list(vec![drain("a")])).expect("relief passes");
        // a restart of what serves is neither
        let started = Change::Put {
            uid: "b".into(),
            target: Target {
                boot_ms: 6,
                ..target(2)
            },
        };
        state.apply(list(vec![started])).expect("passes");
        let back = Change::Put {
            uid: "a".into(),
            target: Target {
                boot_ms: 7,
                ..target(1)
            },
        };
        assert!(matches!(
            state.apply(list(vec![back])),
            Err(Refused::Freeze(FreezeError::Held { .. }))
        ));
        let last = state.apply(list(vec![drain("b")]));
        assert!(
            matches!(
                last,
                Err(Refused::Freeze(FreezeError::LastEndpoint {
                    destination: 3,
                    ..
                }))
            ),
            "{last:?}"
        );
        let forced = Command::Forced {
            if_match: None,
            changes: vec![drain("b")],
        };
        state.apply(forced).expect("forced");
        state
            .apply(Command::Freeze(FreezeEntry::EndWindow("w".into())))
            .expect("ended");
        state
            .apply(list(vec![put("c", 3)]))
            .expect("after the thaw");
    }

    #[test]
    fn a_batch_is_one_version_or_nothing() {
        let mut state = State::default();
        let applied = state
            .apply(list(vec![put("a", 1), put("b", 2)]))
            .expect("both");
        assert_eq!((applied.rev, applied.changed.len()), (1, 2));
        let before = state.clone();
        let refused = state.apply(list(vec![
            put("c", 3),
            Change::Drain {
                uid: "d".to_string(),
            },
        ]));
        assert_eq!(refused, Err(Refused::Unknown("d".to_string())));
        assert_eq!(state, before);
        // the same write again
        let applied = state
            .apply(list(vec![put("b", 2), put("a", 1)]))
            .expect("the same");
        assert_eq!((applied.rev, applied.changed), (1, vec![]));
        let stale = Command::List {
            if_match: Some(0),
            changes: vec![put("a", 9)],
        };
        assert_eq!(
            state.apply(stale),
            Err(Refused::Version { now: 1, wanted: 0 })
        );
    }

    #[test]
    fn what_drains_comes_back_only_by_another_start() {
        let mut state = State::default();
        state.apply(list(vec![put("a", 1)])).expect("put");
        state
            .apply(list(vec![Change::Drain {
                uid: "a".to_string(),
            }]))
            .expect("drained");
        let back = state.apply(list(vec![put("a", 1)]));
        assert!(matches!(back, Err(Refused::Senseless { .. })), "{back:?}");
        let started = Change::Put {
            uid: "a".to_string(),
            target: Target {
                boot_ms: 6,
                ..target(1)
            },
        };
        assert_eq!(
            state.apply(list(vec![started])).map(|applied| applied.rev),
            Ok(3)
        );
        let older = state.apply(list(vec![put("a", 1)]));
        assert!(matches!(older, Err(Refused::Senseless { .. })), "{older:?}");
    }

    #[test]
    fn only_what_is_still_as_it_was_runs_out() {
        let mut state = State::default();
        state
            .apply(list(vec![put("a", 1), put("b", 2)]))
            .expect("put");
        let gone = vec![("a".to_string(), target(1)), ("b".to_string(), target(7))];
        let applied = state.apply(Command::Expire(gone)).expect("one of them");
        assert_eq!(applied.changed, [("a".to_string(), target(1), true)]);
        assert_eq!(state.targets.len(), 1);
    }
}
