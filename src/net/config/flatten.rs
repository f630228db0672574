//! Nested JSON to paths with text.

use serde_json::Value;
use std::collections::BTreeMap;

/// Paths with text, as the simulator's `setup` line has them: a list of plain values is joined with commas, a list of
/// objects has its length under `.count` and its items under their numbers.
pub(super) fn flatten(value: &Value) -> BTreeMap<String, String> {
    let mut paths = BTreeMap::new();
    flatten_below("", value, &mut paths);
    paths
}

fn flatten_below(path: &str, value: &Value, paths: &mut BTreeMap<String, String>) {
    let below = |name: &str| match path {
        "" => name.to_string(),
        _ => format!("{path}.{name}"),
    };
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                flatten_below(&below(name), value, paths);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            paths.insert(below("count"), items.len().to_string());
            for (index, item) in items.iter().enumerate() {
                flatten_below(&below(&index.to_string()), item, paths);
            }
        }
        Value::Array(items) if items.is_empty() => {
            paths.insert(below("count"), "0".to_string());
            paths.insert(path.to_string(), String::new());
        }
        Value::Array(items) => {
            let texts: Vec<String> = items.iter().map(plain).collect();
            paths.insert(path.to_string(), texts.join(","));
        }
        Value::Null => {}
        other => {
            paths.insert(path.to_string(), plain(other));
        }
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace([' ', ','], "_"),
        other => other.to_string(),
    }
}
