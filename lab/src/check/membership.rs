//! What the senders said of one another, held against what the lab knows to be true.

use crate::history::{Event, Head, Record};
use crate::schedule::{FaultAction, Impairment, Party};
use crate::violation::Violation;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Periods after a disturbance of a member in which others may hold anything of it, and all must agree again. The
/// protocol's own bounds are 40 periods for one member and 90 for a part of the fleet.
pub const SETTLING_PERIODS: u64 = 90;

/// A view as a sender told it.
#[derive(Debug, Deserialize)]
struct View {
    living: usize,
    suspects: usize,
    members: Vec<Listed>,
}

#[derive(Debug, Deserialize)]
struct Listed {
    name: String,
    state: String,
}

/// How soon the fleet saw something, s; none: not before something else happened.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Seen {
    pub at_s: f64,
    pub what: String,
    /// Until the first suspected it, held it for gone, and until all did. The senders are asked now and then, so that
    /// each figure is late by up to that time.
    pub suspected_s: Option<f64>,
    pub first_s: Option<f64>,
    pub all_s: Option<f64>,
}

/// What is true of the senders at a time.
#[derive(Debug, Default, Clone)]
struct Truth {
    running: BTreeSet<usize>,
    stopped: BTreeSet<usize>,
    /// Senders cut off from more than half of the fleet, by fault.
    cut: BTreeMap<usize, BTreeSet<usize>>,
    /// When each was last disturbed.
    disturbed: BTreeMap<usize, u64>,
}

impl Truth {
    fn apply(&mut self, senders: usize, record: &Record) {
        let at = record.at_us;
        match &record.event {
            Event::ProcessReady { sender } => {
                self.running.insert(*sender);
                self.disturbed.insert(*sender, at);
            }
            Event::ProcessEnded { sender, .. } => {
                // of two processes of an upgrade the first ends while the second runs, which its start told
                self.disturbed.insert(*sender, at);
            }
            event => {
                if let Some(action) = event.fault_action() {
                    self.apply_fault(senders, at, &action);
                }
            }
        }
    }

    fn apply_fault(&mut self, senders: usize, at: u64, act: &FaultAction) {
        match act {
            FaultAction::Kill { sender } | FaultAction::Term { sender } => {
                self.running.remove(sender);
                self.disturbed.insert(*sender, at);
            }
            FaultAction::Stop { sender } => {
                self.stopped.insert(*sender);
                self.disturbed.insert(*sender, at);
            }
            FaultAction::Continue { sender } => {
                self.stopped.remove(sender);
                self.disturbed.insert(*sender, at);
            }
            FaultAction::Upgrade { sender } => {
                self.disturbed.insert(*sender, at);
            }
            FaultAction::Impair {
                fault,
                from,
                to,
                impairment: Impairment::Cut { .. },
            } => {
                let only = |parties: &[Party]| -> BTreeSet<usize> {
                    let sender = |party: &Party| match party {
                        Party::Sender(sender) => Some(*sender),
                        _ => None,
                    };
                    parties.iter().filter_map(sender).collect()
                };
                let (from, to) = (only(from), only(to));
                let mut cut = BTreeSet::new();
                for (some, others) in [(&from, &to), (&to, &from)] {
                    let away = |sender: &&usize| {
                        2 * others.iter().filter(|other| other != sender).count() + 1 > senders
                    };
                    cut.extend(some.iter().filter(away));
                }
                // where all are named on one side, those of the other are the ones that are cut off
                if cut.len() > from.len().min(to.len()) {
                    cut = if from.len() < to.len() { from } else { to };
                }
                cut.iter().for_each(|sender| {
                    self.disturbed.insert(*sender, at);
                });
                self.cut.insert(*fault, cut);
            }
            FaultAction::Heal { fault } => {
                for sender in self.cut.remove(fault).unwrap_or_default() {
                    self.disturbed.insert(sender, at);
                }
            }
            _ => {}
        }
    }

    /// Nothing has disturbed it for long enough.
    fn clean(&self, sender: usize, at: u64, settles: u64) -> bool {
        self.running.contains(&sender)
            && !self.stopped.contains(&sender)
            && !self.cut.values().any(|cut| cut.contains(&sender))
            && self
                .disturbed
                .get(&sender)
                .is_none_or(|since| at >= since + settles)
    }

    fn undisturbed(&self, at: u64, settles: u64) -> bool {
        self.stopped.is_empty()
            && self.cut.is_empty()
            && self.disturbed.values().all(|since| at >= since + settles)
    }
}

fn number(name: &str) -> Option<usize> {
    name.strip_prefix('n')?.parse().ok()
}

/// No member that runs undisturbed is held for gone by another one, and all agree once nothing disturbs them.
pub fn check(head: &Head, records: &[Record]) -> Vec<Violation> {
    let Some(period_us) = head.period_us else {
        return Vec::new();
    };
    let settles = SETTLING_PERIODS * period_us;
    let mut truth = Truth::default();
    let mut violations = Vec::new();
    let mut told = BTreeSet::new();
    for record in records {
        truth.apply(head.senders, record);
        let Event::MembershipReported { sender, view } = &record.event else {
            continue;
        };
        let Ok(view) = serde_json::from_value::<View>(view.clone()) else {
            let what = format!("n{sender} told no view");
            violations.push(Violation {
                rule: "members",
                at_us: record.at_us,
                description: what,
            });
            continue;
        };
        let at_us = record.at_us;
        if !truth.clean(*sender, at_us, settles) {
            continue;
        }
        for listed in &view.members {
            let gone = matches!(listed.state.as_str(), "dead" | "left");
            let Some(of) = number(&listed.name).filter(|_| gone) else {
                continue;
            };
            if truth.clean(of, at_us, settles) && told.insert((*sender, of)) {
                let what = format!("n{sender} holds n{of} for {}, which runs", listed.state);
                violations.push(Violation {
                    rule: "members",
                    at_us,
                    description: what,
                });
            }
        }
        let right = view.living == truth.running.len() && view.suspects == 0;
        if truth.undisturbed(at_us, settles) && !right && told.insert((*sender, usize::MAX)) {
            let (living, runs) = (view.living, truth.running.len());
            let what = format!(
                "n{sender} sees {living} living and {} suspect, {runs} run",
                view.suspects
            );
            violations.push(Violation {
                rule: "members",
                at_us,
                description: what,
            });
        }
    }
    violations
}

/// How soon each death was seen, and how soon all agreed after each end of a disturbance.
pub fn figures(head: &Head, records: &[Record]) -> Vec<Seen> {
    let mut seen = Vec::new();
    let acts: Vec<(u64, FaultAction)> = records
        .iter()
        .filter_map(|record| Some((record.at_us, record.event.fault_action()?)))
        .collect();
    for (at, act) in &acts {
        let until = acts
            .iter()
            .map(|(other, _)| *other)
            .find(|other| *other > *at + 100_000);
        let until = until.unwrap_or(u64::MAX);
        let what = match act {
            FaultAction::Kill { sender } => Some((format!("n{sender} killed"), *sender)),
            FaultAction::Term { sender } => Some((format!("n{sender} leaves"), *sender)),
            FaultAction::Stop { sender } => Some((format!("n{sender} stopped"), *sender)),
            _ => None,
        };
        let seconds = |then: u64| (then - at) as f64 / 1e6;
        if let Some((what, of)) = what {
            let first = |states: &[&str]| {
                views(records, *at, until).find(|(_, _, view)| holds(view, of, states))
            };
            let (suspected, gone) = (
                first(&["suspect", "dead", "left"]),
                first(&["dead", "left"]),
            );
            let all = all_hold(head, records, (*at, until), |sender, view| {
                sender == of || holds(view, of, &["dead", "left"])
            });
            seen.push(Seen {
                at_s: *at as f64 / 1e6,
                what,
                suspected_s: suspected.map(|found| seconds(found.0)),
                first_s: gone.map(|found| seconds(found.0)),
                all_s: all.map(seconds),
            });
        } else if matches!(
            act,
            FaultAction::Heal { .. } | FaultAction::Continue { .. } | FaultAction::Start { .. }
        ) {
            let mut truth = Truth::default();
            records
                .iter()
                .take_while(|record| record.at_us <= *at)
                .for_each(|record| truth.apply(head.senders, record));
            if let FaultAction::Start { sender, .. } = act {
                truth.running.insert(*sender);
            }
            let runs = truth.running.len();
            let agrees = |_, view: &View| view.living == runs && view.suspects == 0;
            let all = all_hold(head, records, (*at, until), agrees);
            let what = serde_json::to_string(act).unwrap_or_default();
            seen.push(Seen {
                at_s: *at as f64 / 1e6,
                what,
                suspected_s: None,
                first_s: None,
                all_s: all.map(seconds),
            });
        }
    }
    seen
}

fn views(records: &[Record], from: u64, until: u64) -> impl Iterator<Item = (u64, usize, View)> {
    let within = move |record: &&Record| (from..until).contains(&record.at_us);
    records
        .iter()
        .filter(within)
        .filter_map(|record| match &record.event {
            Event::MembershipReported { sender, view } => Some((
                record.at_us,
                *sender,
                serde_json::from_value(view.clone()).ok()?,
            )),
            _ => None,
        })
}

fn holds(view: &View, of: usize, states: &[&str]) -> bool {
    view.members
        .iter()
        .any(|listed| number(&listed.name) == Some(of) && states.contains(&listed.state.as_str()))
}

/// When the last view of each sender that tells one at all agrees, and stays so within the span.
fn all_hold(
    head: &Head,
    records: &[Record],
    (from, until): (u64, u64),
    agrees: impl Fn(usize, &View) -> bool,
) -> Option<u64> {
    let mut last: BTreeMap<usize, bool> = BTreeMap::new();
    let mut since = None;
    let mut told: BTreeSet<usize> = BTreeSet::new();
    for (at, sender, view) in views(records, from, until) {
        told.insert(sender);
        last.insert(sender, agrees(sender, &view));
        let all = last.values().all(|agrees| *agrees);
        since = if all { since.or(Some(at)) } else { None };
    }
    // where most never told a view, nothing is known of the fleet
    since.filter(|_| 2 * told.len() > head.senders)
}

#[cfg(test)]
mod tests;
