//! The comparison of two versions of the rules.

use super::arguments::Replicas;
use super::requests::ClientError;
use serde_json::Value;

/// Prints which of two versions is the stricter, and the keys in which they differ; whether both are stored.
pub async fn compare(replicas: &Replicas, one: u64, other: u64) -> Result<bool, ClientError> {
    let Some(first) = replicas.stored_rules(one).await? else {
        return Ok(false);
    };
    let Some(second) = replicas.stored_rules(other).await? else {
        return Ok(false);
    };
    let relation = match (first.is_within(&second), second.is_within(&first)) {
        (true, true) => "allow the same",
        (true, false) => "the first is the stricter",
        (false, true) => "the second is the stricter",
        (false, false) => "contradict each other",
    };
    println!("{one} and {other}: {relation}");
    print_differences(
        "",
        &serde_json::to_value(first)?,
        &serde_json::to_value(second)?,
    );
    Ok(true)
}

fn print_differences(path: &str, one: &Value, other: &Value) {
    match (one, other) {
        (Value::Object(first), Value::Object(second)) => {
            let names = first
                .keys()
                .chain(second.keys().filter(|name| !first.contains_key(*name)));
            for name in names {
                let path = if path.is_empty() {
                    name.clone()
                } else {
                    format!("{path}.{name}")
                };
                print_differences(&path, &one[name], &other[name]);
            }
        }
        _ if one != other => println!("{path}: {one} -> {other}"),
        _ => {}
    }
}
