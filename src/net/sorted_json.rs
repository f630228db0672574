//! Reports and requests as JSON.

use serde::Serialize;

/// A report or request as JSON, its keys in alphabetical order: the form of all versions so far.
pub fn to_sorted_json(message: &impl Serialize) -> String {
    // a message without maps of other keys than texts can't fail to be written into memory
    serde_json::to_value(message)
        .map(|value| value.to_string())
        .unwrap_or_default()
}
