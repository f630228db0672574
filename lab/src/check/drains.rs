//! Draining endpoints: nothing new goes to an endpoint once its sender knows that it is not up.

use super::SOCKET_SLACK_US;
use crate::history::{Event, Record};
use crate::schedule::FaultAction;
use crate::violation::Violation;
use std::collections::{HashMap, HashSet};

/// Longest time in which new calls still go to an endpoint that drains or is gone.
const DRAIN_GRACE_US: u64 = 2_000_000;

/// A sender and an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Pair {
    sender: usize,
    endpoint: usize,
}

/// What senders were told of endpoints, as far as seen.
#[derive(Debug, Default)]
struct Drains {
    /// Since when a sender knows that an endpoint is not up.
    down_since: HashMap<Pair, u64>,
    /// Senders whose process is stopped.
    stopped: HashSet<usize>,
    violations: Vec<Violation>,
}

/// Nothing new goes to an endpoint for longer than the drain's grace after its sender was told that it is not up. A
/// sender whose process is stopped counts as told when it continues.
pub fn check(records: &[Record]) -> Vec<Violation> {
    let mut drains = Drains::default();
    for record in records {
        drains.apply(record);
    }
    drains.violations
}

impl Drains {
    fn apply(&mut self, record: &Record) {
        let at_us = record.at_us;
        match &record.event {
            Event::EndpointListed {
                sender,
                endpoint,
                up,
            } => {
                let pair = Pair {
                    sender: *sender,
                    endpoint: *endpoint,
                };
                if *up {
                    self.down_since.remove(&pair);
                } else {
                    self.down_since.entry(pair).or_insert(at_us);
                }
            }
            // another process is told again
            Event::ProcessStarted { sender, .. } => {
                self.down_since.retain(|pair, _| pair.sender != *sender);
            }
            Event::CallReceived {
                id,
                endpoint,
                sender,
                ..
            } => {
                let pair = Pair {
                    sender: *sender,
                    endpoint: *endpoint,
                };
                self.check_call(id, pair, at_us);
            }
            event => match event.fault_action() {
                Some(FaultAction::Stop { sender }) => {
                    self.stopped.insert(sender);
                }
                Some(FaultAction::Continue { sender }) => self.continue_sender(sender, at_us),
                _ => {}
            },
        }
    }

    fn continue_sender(&mut self, sender: usize, at_us: u64) {
        self.stopped.remove(&sender);
        for (pair, since) in &mut self.down_since {
            if pair.sender == sender {
                *since = at_us;
            }
        }
    }

    fn check_call(&mut self, id: &str, pair: Pair, at_us: u64) {
        if self.stopped.contains(&pair.sender) {
            return;
        }
        let Some(since) = self.down_since.get(&pair) else {
            return;
        };
        let latest = since + DRAIN_GRACE_US + SOCKET_SLACK_US;
        if let Some(late_us) = at_us.checked_sub(latest) {
            self.violations.push(Violation {
                rule: "drains",
                at_us,
                description: format!(
                    "{id} came to e{} from n{} {} ms after the grace of its drain",
                    pair.endpoint,
                    pair.sender,
                    late_us / 1000
                ),
            });
        }
    }
}
