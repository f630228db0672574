//! Rules, checked over a history. Each says what it saw break, with the time and the id.

mod order;
mod recovery;

use crate::agreement;
use crate::history::{Event, Head, Record};
use crate::limits;
use crate::members;
use crate::plan::{Act, CLASSES};
use crate::violation::Violation;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Slack of a message's end after its time is up, and after its sender is ready again.
const END_SLACK_US: u64 = 300_000;
const READY_SLACK_US: u64 = 1_500_000;
/// Longest time in which new calls still go to an endpoint that drains or is gone.
const DRAIN_US: u64 = 2_000_000;
/// System calls without which a sender can tell nobody of an end, however it tries.
const TELLING: [&str; 3] = ["socket", "connect", "send"];
/// Slack of all time limits on sockets.
const SLACK_US: u64 = 50_000;

/// All violations of all rules, in order of time.
pub fn check(head: &Head, records: &[Record]) -> Vec<Violation> {
    // what the lab does to the processes after the run breaks nothing
    let over = records
        .iter()
        .position(|record| record.event == Event::Over {});
    let records = over.map_or(records, |over| &records[..=over]);
    let members = members::check(head, records);
    let agreement = agreement::check(records);
    let drains = drains(records);
    let limits = limits::check(records);
    let mut violations = [
        ends(records),
        effects(records),
        uninvited(records),
        processes(records),
        members,
        agreement,
        drains,
        limits,
        order::check(records),
        recovery::check(records, head.ends_us),
        invariants(records),
    ]
    .concat();
    violations.sort_by_key(|violation| violation.at_us);
    violations
}

/// A message that was taken on is delivered or ended by a notice in time, and not given two different ends.
/// What a client that had no answer in time handed in counts for nothing.
fn ends(records: &[Record]) -> Vec<Violation> {
    struct Owed {
        sender: usize,
        deadline: u64,
        end: Option<u64>,
        notice: Option<String>,
    }
    let mut handed: HashMap<&str, (usize, u64)> = HashMap::new();
    let mut owed: BTreeMap<&str, Owed> = BTreeMap::new();
    let mut lost: HashSet<usize> = HashSet::new();
    // when each sender is due again: none while it is down
    let mut back: HashMap<usize, Option<u64>> = HashMap::new();
    // when the lab had each sender stand still, or left it no way to tell an end
    let mut stood: HashMap<usize, Vec<(u64, u64)>> = HashMap::new();
    let mut speechless: HashMap<(usize, String), u64> = HashMap::new();
    let mut violations = Vec::new();
    for Record { at_us, event } in records {
        let at_us = *at_us;
        match event {
            Event::Step { what } => match serde_json::from_str(what) {
                Ok(Act::Stop { sender }) => {
                    stood.entry(sender).or_default().push((at_us, u64::MAX))
                }
                Ok(Act::Continue { sender }) => {
                    let spans = stood.get_mut(&sender).and_then(|spans| spans.last_mut());
                    spans.into_iter().for_each(|(_, until)| *until = at_us);
                }
                Ok(Act::FailCalls {
                    sender,
                    call,
                    percent: 100,
                    ..
                }) if TELLING.contains(&call.as_str()) => {
                    speechless.insert((sender, call), at_us);
                }
                Ok(Act::RestoreCalls { sender, call }) => {
                    if let Some(since) = speechless.remove(&(sender, call)) {
                        stood.entry(sender).or_default().push((since, at_us));
                    }
                }
                _ => {}
            },
            Event::Handed {
                id,
                sender,
                deadline_us,
                ..
            } => {
                handed.insert(id, (*sender, *deadline_us));
            }
            Event::Answered {
                id,
                status: 200 | 202,
            } => {
                if let Some(&(sender, deadline)) = handed.get(id.as_str()) {
                    owed.entry(id).or_insert(Owed {
                        sender,
                        deadline,
                        end: None,
                        notice: None,
                    });
                }
            }
            Event::Replied {
                id, status: 200, ..
            } => {
                // it may be delivered before its client has read the answer
                match owed.get_mut(id.as_str()) {
                    Some(owed) => owed.end = owed.end.or(Some(at_us)),
                    None => {
                        if let Some(&(sender, deadline)) = handed.get(id.as_str()) {
                            let end = Some(at_us);
                            owed.insert(
                                id,
                                Owed {
                                    sender,
                                    deadline,
                                    end,
                                    notice: None,
                                },
                            );
                        }
                    }
                }
            }
            Event::Notice { id, state } => {
                let Some(owed) = owed.get_mut(id.as_str()) else {
                    continue;
                };
                match &owed.notice {
                    Some(before) if before != state => violations.push(Violation {
                        rule: "ends once",
                        at_us,
                        what: format!("{id} ended {before} and then {state}"),
                    }),
                    _ => owed.notice = Some(state.clone()),
                }
                owed.end = owed.end.or(Some(at_us));
            }
            Event::FolderLost { sender } => {
                lost.insert(*sender);
                owed.retain(|_, owed| owed.sender != *sender || owed.end.is_some());
            }
            Event::Ended { sender, .. } => {
                back.insert(*sender, None);
            }
            Event::Ready { sender } => {
                back.insert(*sender, Some(at_us + READY_SLACK_US));
            }
            _ => {}
        }
    }
    let last = records.last().map_or(0, |record| record.at_us);
    for (id, owed) in owed {
        let slack = match back.get(&owed.sender) {
            Some(None) => continue, // it never came back: it still owes the end
            Some(Some(ready)) => *ready,
            None => 0,
        };
        let mut due = (owed.deadline + END_SLACK_US + SLACK_US).max(slack);
        // a process that stands still ends nothing: its slack counts from when it goes on
        for (from, until) in stood.get(&owed.sender).into_iter().flatten() {
            if (*from..*until).contains(&due) {
                due = until.saturating_add(END_SLACK_US + SLACK_US);
            }
        }
        let end = owed.end.unwrap_or(u64::MAX);
        if end > due && due <= last {
            let what = match owed.end {
                Some(end) => format!("{id} ended {} ms too late", (end - due) / 1000),
                None => format!("{id} never ended"),
            };
            violations.push(Violation {
                rule: "ends once",
                at_us: due,
                what,
            });
        }
    }
    violations
}

/// What must not take effect twice runs at most once.
fn effects(records: &[Record]) -> Vec<Violation> {
    let mut classes: HashMap<&str, usize> = HashMap::new();
    let mut run: HashSet<&str> = HashSet::new();
    let mut violations = Vec::new();
    for Record { at_us, event } in records {
        match event {
            Event::Handed { id, class, .. } => {
                classes.insert(id, *class);
            }
            Event::Called { id, run: true, .. } => {
                let class = classes
                    .get(id.as_str())
                    .and_then(|&class| CLASSES.get(class));
                let once = class.is_some_and(|class| class.effect == "at_most_once");
                if once && !run.insert(id) {
                    let what = format!("{id} took effect twice");
                    violations.push(Violation {
                        rule: "effects",
                        at_us: *at_us,
                        what,
                    });
                }
            }
            _ => {}
        }
    }
    violations
}

/// Every call is a message that a client handed in before, to an endpoint of its destination.
fn uninvited(records: &[Record]) -> Vec<Violation> {
    let mut handed: HashSet<&str> = HashSet::new();
    let mut violations = Vec::new();
    for Record { at_us, event } in records {
        match event {
            Event::Handed { id, .. } => {
                handed.insert(id);
            }
            Event::Called { id, endpoint, .. } if !handed.contains(id.as_str()) => {
                let what =
                    format!("endpoint e{endpoint} was called with {id}, which no client handed in");
                violations.push(Violation {
                    rule: "calls",
                    at_us: *at_us,
                    what,
                });
            }
            _ => {}
        }
    }
    violations
}

/// Nothing new goes to an endpoint for longer than the drain's grace after the sender was told that it is not up. One that
/// stood still is told when it goes on.
fn drains(records: &[Record]) -> Vec<Violation> {
    let mut down: HashMap<(usize, usize), u64> = HashMap::new();
    let mut stopped: HashSet<usize> = HashSet::new();
    let mut violations = Vec::new();
    for Record { at_us, event } in records {
        match event {
            Event::Told {
                sender,
                endpoint,
                up: true,
            } => {
                down.remove(&(*sender, *endpoint));
            }
            Event::Told {
                sender,
                endpoint,
                up: false,
            } => {
                down.entry((*sender, *endpoint)).or_insert(*at_us);
            }
            // another process is told again
            Event::Ended { sender, .. } => down.retain(|(of, _), _| of != sender),
            Event::Step { what } => match serde_json::from_str(what) {
                Ok(Act::Stop { sender }) => {
                    stopped.insert(sender);
                }
                Ok(Act::Continue { sender }) => {
                    stopped.remove(&sender);
                    let of = down.iter_mut().filter(|((of, _), _)| *of == sender);
                    of.for_each(|(_, since)| *since = *at_us);
                }
                _ => {}
            },
            Event::Called {
                id,
                endpoint,
                sender,
                ..
            } => {
                let since = down
                    .get(&(*sender, *endpoint))
                    .filter(|_| !stopped.contains(sender));
                if let Some(late) =
                    since.and_then(|since| at_us.checked_sub(since + DRAIN_US + SLACK_US))
                {
                    let what = format!(
                        "{id} came to e{endpoint} from n{sender} {} ms after the grace of its drain",
                        late / 1000
                    );
                    violations.push(Violation {
                        rule: "drains",
                        at_us: *at_us,
                        what,
                    });
                }
            }
            _ => {}
        }
    }
    violations
}

/// No sender saw an invariant of its own broken.
fn invariants(records: &[Record]) -> Vec<Violation> {
    let violated = |record: &Record| match &record.event {
        Event::Violated { sender, line } => {
            let what = format!("n{sender}: {line}");
            Some(Violation {
                rule: "invariants",
                at_us: record.at_us,
                what,
            })
        }
        _ => None,
    };
    records.iter().filter_map(violated).collect()
}

/// No process ends but by the lab.
fn processes(records: &[Record]) -> Vec<Violation> {
    let ended = |record: &Record| match &record.event {
        Event::ReplicaEnded {
            replica,
            meant: false,
            status,
            ..
        } => {
            let what = format!("r{replica} ended by itself: {status}");
            Some(Violation {
                rule: "processes",
                at_us: record.at_us,
                what,
            })
        }
        Event::Ended {
            sender,
            meant: false,
            status,
            ..
        } => {
            let what = format!("n{sender} ended by itself: {status}");
            Some(Violation {
                rule: "processes",
                at_us: record.at_us,
                what,
            })
        }
        _ => None,
    };
    records.iter().filter_map(ended).collect()
}

#[cfg(test)]
mod tests;
