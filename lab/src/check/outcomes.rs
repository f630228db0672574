//! Outcomes of messages: each accepted message ends exactly once, and in time.

use super::SOCKET_SLACK_US;
use crate::history::{Event, Record};
use crate::schedule::FaultAction;
use crate::violation::Violation;
use std::collections::{BTreeMap, HashMap};

/// Slack of a message's outcome after its deadline, and after its sender is ready again.
pub(super) const DEADLINE_SLACK_US: u64 = 300_000;
const READY_SLACK_US: u64 = 1_500_000;
/// System calls without which a sender can notify nobody of an outcome, however it tries.
const NOTIFICATION_CALLS: [&str; 3] = ["socket", "connect", "send"];
/// Percent of calls that fail where all do.
const ALL_CALLS: u8 = 100;

/// A message that a client submitted.
#[derive(Debug, Clone, Copy)]
struct Submission {
    sender: usize,
    deadline_us: u64,
}

/// A message that a sender accepted.
#[derive(Debug)]
struct AcceptedMessage {
    submission: Submission,
    /// When it was first delivered or its outcome first notified.
    ended_us: Option<u64>,
    /// The outcome that was notified.
    notified: Option<String>,
}

impl AcceptedMessage {
    fn new(submission: Submission) -> Self {
        AcceptedMessage {
            submission,
            ended_us: None,
            notified: None,
        }
    }

    fn end(&mut self, at_us: u64) {
        self.ended_us.get_or_insert(at_us);
    }
}

/// A time in which a sender can complete no message: it is stopped, or all its calls of a kind fail.
#[derive(Debug, Clone, Copy)]
struct Outage {
    from_us: u64,
    until_us: u64,
}

/// Whether a sender's process runs, once that has changed.
#[derive(Debug, Clone, Copy)]
enum ProcessState {
    Down,
    /// From this time on it is expected to meet deadlines.
    Ready {
        settled_us: u64,
    },
}

/// What was seen of messages and senders so far.
#[derive(Debug, Default)]
struct Outcomes<'a> {
    submitted: HashMap<&'a str, Submission>,
    accepted: BTreeMap<&'a str, AcceptedMessage>,
    processes: HashMap<usize, ProcessState>,
    /// The process of each sender that was started last.
    last_process: HashMap<usize, u32>,
    outages: HashMap<usize, Vec<Outage>>,
    /// Since when all calls of a name fail, by sender and call.
    failing_since: HashMap<(usize, String), u64>,
    violations: Vec<Violation>,
}

/// An accepted message is delivered, or its outcome is notified, in time; and no two different outcomes are notified.
/// A message whose client had no answer in time does not count.
pub fn check(records: &[Record]) -> Vec<Violation> {
    let mut outcomes = Outcomes::default();
    for record in records {
        outcomes.apply(record);
    }
    let last_us = records.last().map_or(0, |record| record.at_us);
    outcomes.check_deadlines(last_us);
    outcomes.violations
}

impl<'a> Outcomes<'a> {
    fn apply(&mut self, record: &'a Record) {
        let at_us = record.at_us;
        match &record.event {
            Event::Submitted {
                id,
                sender,
                deadline_us,
                ..
            } => {
                let submission = Submission {
                    sender: *sender,
                    deadline_us: *deadline_us,
                };
                self.submitted.insert(id, submission);
            }
            Event::SubmissionAnswered {
                id,
                status: 200 | 202,
            } => {
                self.accept(id);
            }
            // it may be delivered before its client has read the answer
            Event::CallAnswered {
                id, status: 200, ..
            } => {
                if let Some(message) = self.accept(id) {
                    message.end(at_us);
                }
            }
            Event::OutcomeNotified { id, state } => self.notify(id, state, at_us),
            Event::StateLost { sender } => self.accepted.retain(|_, message| {
                message.submission.sender != *sender || message.ended_us.is_some()
            }),
            Event::ProcessStarted { sender, pid } => {
                self.last_process.insert(*sender, *pid);
            }
            // the end of one that another process took over from leaves that one running
            Event::ProcessEnded { sender, pid, .. } => {
                if self.last_process.get(sender).is_none_or(|last| last == pid) {
                    self.processes.insert(*sender, ProcessState::Down);
                }
            }
            Event::ProcessReady { sender } => {
                let settled_us = at_us + READY_SLACK_US;
                self.processes
                    .insert(*sender, ProcessState::Ready { settled_us });
            }
            event => {
                if let Some(action) = event.fault_action() {
                    self.apply_fault(action, at_us);
                }
            }
        }
    }

    /// The message, which counts as accepted from now on; none if no client submitted it.
    fn accept(&mut self, id: &'a str) -> Option<&mut AcceptedMessage> {
        let submission = *self.submitted.get(id)?;
        let message = self.accepted.entry(id);
        Some(message.or_insert_with(|| AcceptedMessage::new(submission)))
    }

    /// A notification may come in before its client has read the answer.
    fn notify(&mut self, id: &'a str, state: &str, at_us: u64) {
        let Some(message) = self.accept(id) else {
            return;
        };
        message.end(at_us);
        let Some(before) = message.notified.replace(state.to_string()) else {
            return;
        };
        if before != state {
            self.violations.push(Violation {
                rule: "ends once",
                at_us,
                description: format!("{id} ended {before} and then {state}"),
            });
        }
    }

    fn apply_fault(&mut self, action: FaultAction, at_us: u64) {
        match action {
            FaultAction::Stop { sender } => self.outages.entry(sender).or_default().push(Outage {
                from_us: at_us,
                until_us: u64::MAX,
            }),
            FaultAction::Continue { sender } => {
                let outages = self.outages.get_mut(&sender);
                if let Some(outage) = outages.and_then(|outages| outages.last_mut()) {
                    outage.until_us = at_us;
                }
            }
            FaultAction::FailCalls {
                sender,
                call,
                percent: ALL_CALLS,
                ..
            } if NOTIFICATION_CALLS.contains(&call.as_str()) => {
                self.failing_since.insert((sender, call), at_us);
            }
            FaultAction::RestoreCalls { sender, call } => {
                if let Some(from_us) = self.failing_since.remove(&(sender, call)) {
                    self.outages.entry(sender).or_default().push(Outage {
                        from_us,
                        until_us: at_us,
                    });
                }
            }
            _ => {}
        }
    }

    /// The latest time for the end of a message; none if its sender is down and still owes the outcome.
    fn latest_end_us(&self, submission: Submission) -> Option<u64> {
        let settled_us = match self.processes.get(&submission.sender) {
            Some(ProcessState::Down) => return None,
            Some(ProcessState::Ready { settled_us }) => *settled_us,
            None => 0,
        };
        let slack_us = DEADLINE_SLACK_US + SOCKET_SLACK_US;
        let mut latest_us = (submission.deadline_us + slack_us).max(settled_us);
        // a sender that can complete nothing has its slack after that
        for outage in self.outages.get(&submission.sender).into_iter().flatten() {
            if (outage.from_us..outage.until_us).contains(&latest_us) {
                latest_us = outage.until_us.saturating_add(slack_us);
            }
        }
        Some(latest_us)
    }

    /// Reports messages that ended late or never, as far as a history that ends at `last_us` shows it.
    fn check_deadlines(&mut self, last_us: u64) {
        let mut late = Vec::new();
        for (id, message) in &self.accepted {
            let Some(latest_us) = self.latest_end_us(message.submission) else {
                continue;
            };
            let ended_us = message.ended_us.unwrap_or(u64::MAX);
            if ended_us <= latest_us || latest_us > last_us {
                continue;
            }
            let description = match message.ended_us {
                Some(ended_us) => {
                    format!("{id} ended {} ms too late", (ended_us - latest_us) / 1000)
                }
                None => format!("{id} never ended"),
            };
            late.push(Violation {
                rule: "ends once",
                at_us: latest_us,
                description,
            });
        }
        self.violations.append(&mut late);
    }
}
