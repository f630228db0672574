//! The rules documents that the replicas and senders of a run agree on.

use crate::workload::{CLASSES, DEDUPLICATION_WINDOW_S};
use serde_json::{Map, Value, json};

/// The rules of a version. Two successive versions contradict each other: each allows more than the other in one limit.
pub fn rules_of_version(version: u64) -> Value {
    let is_odd = version % 2 == 1;
    if is_odd {
        document(400, 300)
    } else {
        document(300, 400)
    }
}

/// The rules of a sender that holds no lease.
pub fn fallback_rules() -> Value {
    document(200, 200)
}

fn document(calls: u64, messages: u64) -> Value {
    let mut classes = Map::new();
    for class in &CLASSES {
        let effect = match class.effect {
            "deduplicated" => {
                json!({ "deduplicated": { "window_ms": (DEDUPLICATION_WINDOW_S * 1e3) as u64 } })
            }
            other => json!(other),
        };
        let class_rules = json!({
            "accepted": true,
            "effect": effect,
            "attempts": 12,
            "in_order": class.in_order,
            "keyed_by": "reader",
            "gap_ms": 0,
        });
        classes.insert(class.name.to_string(), class_rules);
    }
    json!({ "classes": classes, "limits": { "calls": calls, "messages": messages } })
}
