//! Flattens nested JSON into pairs of a dotted path and a text.

use serde_json::Value;
use std::collections::BTreeMap;

/// Returns the text of each value by its dotted path, in the form of the simulator's settings. The values of a list are
/// joined with commas. A list of objects has its length under `.count` and its items under their indexes, from 0.
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

/// Returns the text of a value that is not a list or object. Spaces and commas in strings become `_`, because they
/// separate values.
fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace([' ', ','], "_"),
        other => other.to_string(),
    }
}
