//! Effects of calls: none without a message, none twice where that is forbidden.

use crate::history::{Event, Record};
use crate::violation::Violation;
use crate::workload::CLASSES;
use std::collections::{HashMap, HashSet};

/// A message whose class must not take effect twice is executed at most once.
pub fn check_effects(records: &[Record]) -> Vec<Violation> {
    let mut classes: HashMap<&str, usize> = HashMap::new();
    let mut executed: HashSet<&str> = HashSet::new();
    let mut violations = Vec::new();
    for Record { at_us, event } in records {
        match event {
            Event::Submitted { id, class, .. } => {
                classes.insert(id, *class);
            }
            Event::CallReceived {
                id, executed: true, ..
            } => {
                let class = classes.get(id.as_str()).copied();
                if class.is_some_and(is_at_most_once) && !executed.insert(id) {
                    violations.push(Violation {
                        rule: "effects",
                        at_us: *at_us,
                        description: format!("{id} took effect twice"),
                    });
                }
            }
            _ => {}
        }
    }
    violations
}

fn is_at_most_once(class: usize) -> bool {
    CLASSES
        .get(class)
        .is_some_and(|class| class.effect == "at_most_once")
}

/// Every call is a message that a client submitted before.
pub fn check_calls(records: &[Record]) -> Vec<Violation> {
    let mut submitted: HashSet<&str> = HashSet::new();
    let mut violations = Vec::new();
    for Record { at_us, event } in records {
        match event {
            Event::Submitted { id, .. } => {
                submitted.insert(id);
            }
            Event::CallReceived { id, endpoint, .. } if !submitted.contains(id.as_str()) => {
                violations.push(Violation {
                    rule: "calls",
                    at_us: *at_us,
                    description: format!(
                        "endpoint e{endpoint} was called with {id}, which no client submitted"
                    ),
                });
            }
            _ => {}
        }
    }
    violations
}
