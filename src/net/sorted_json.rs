//! Serializes reports and requests as JSON with sorted keys.

use serde::Serialize;

/// Serializes a report or request as JSON with its keys in alphabetical order, as all earlier versions did.
pub fn to_sorted_json(message: &impl Serialize) -> String {
    // serialization into memory fails only for maps whose keys are not strings, and no message has such a map
    serde_json::to_value(message)
        .map(|value| value.to_string())
        .unwrap_or_default()
}
