//! Order of a key: its messages go one at a time, in the order in which they were submitted to a sender, over its restarts.

use super::SOCKET_SLACK_US;
use crate::history::{Event, Record};
use crate::schedule::FaultAction;
use crate::violation::Violation;
use std::collections::{BTreeMap, HashMap};

/// Backoff of a key after a call that may still run, as the senders are configured.
const KEY_BACKOFF_US: u64 = 300_000;

/// A message of a key, as far as seen.
#[derive(Debug)]
struct Message<'a> {
    id: &'a str,
    accepted: bool,
    completed: bool,
    called: bool,
    /// Calls that endpoints have read and not ended.
    calls: usize,
    /// When one of them was last abandoned.
    abandoned_us: Option<u64>,
}

/// All violations, in order of time.
pub fn check(records: &[Record]) -> Vec<Violation> {
    let mut keys: BTreeMap<(usize, u32), Vec<Message>> = BTreeMap::new();
    let mut key_of: HashMap<&str, (usize, u32)> = HashMap::new();
    // an endpoint learns late of the end of a call where something holds up the way to it
    let impaired = records.iter().any(|record| {
        matches!(
            record.event.fault_action(),
            Some(FaultAction::Impair { .. })
        )
    });
    let mut violations = Vec::new();
    for Record { at_us, event } in records {
        let mut change = |id: &str, change: fn(&mut Message, u64)| {
            let messages = key_of.get(id).and_then(|key| keys.get_mut(key));
            let message = messages.and_then(|all| all.iter_mut().find(|message| message.id == id));
            message
                .into_iter()
                .for_each(|message| change(message, *at_us));
        };
        match event {
            Event::Submitted {
                id,
                sender,
                key: Some(key),
                ..
            } => {
                key_of.insert(id, (*sender, *key));
                let message = Message {
                    id,
                    accepted: false,
                    completed: false,
                    called: false,
                    calls: 0,
                    abandoned_us: None,
                };
                keys.entry((*sender, *key)).or_default().push(message);
            }
            Event::SubmissionAnswered {
                id,
                status: 200 | 202,
            } => change(id, |message, _| message.accepted = true),
            Event::OutcomeNotified { id, .. } => change(id, |message, _| message.completed = true),
            Event::CallAnswered { id, status, .. } => {
                change(id, |message, _| {
                    message.calls = message.calls.saturating_sub(1)
                });
                if *status == 200 {
                    change(id, |message, _| message.completed = true);
                }
            }
            Event::CallAbandoned { id, .. } => change(id, |message, at_us| {
                message.calls = message.calls.saturating_sub(1);
                message.abandoned_us = Some(at_us);
            }),
            Event::StateLost { sender } => keys.retain(|(of, _), _| of != sender),
            Event::CallReceived { id, sender, .. } => {
                let Some(key) = key_of.get(id.as_str()) else {
                    continue;
                };
                let Some(messages) = keys.get_mut(key) else {
                    continue;
                };
                let Some(at) = messages.iter().position(|message| message.id == id) else {
                    continue;
                };
                for before in &messages[..at] {
                    let why = overtaken(before, *at_us, impaired);
                    violations.extend(why.map(|why| Violation {
                        rule: "order",
                        at_us: *at_us,
                        description: format!(
                            "{id} came from n{sender} {why} {} of its key",
                            before.id
                        ),
                    }));
                }
                let after = messages[at + 1..]
                    .iter()
                    .find(|later| messages[at].accepted && later.called);
                violations.extend(after.map(|later| Violation {
                    rule: "order",
                    at_us: *at_us,
                    description: format!("{id} came from n{sender} after {} of its key", later.id),
                }));
                (messages[at].called, messages[at].calls) = (true, messages[at].calls + 1);
            }
            _ => {}
        }
    }
    violations
}

/// Why a call of a later message comes too early, if it does.
fn overtaken(before: &Message, at_us: u64, impaired: bool) -> Option<&'static str> {
    if before.accepted && !before.completed {
        return Some("before the end of");
    }
    if impaired {
        return None;
    }
    let in_backoff = |since: u64| at_us + SOCKET_SLACK_US < since + KEY_BACKOFF_US;
    match (before.calls, before.abandoned_us) {
        (1.., _) => Some("during a call of"),
        (0, Some(since)) if in_backoff(since) => Some("in the backoff after an abandoned call of"),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
