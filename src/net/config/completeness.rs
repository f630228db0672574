//! Checks a new configuration file for completeness before any of its values take effect.

use super::ConfigError;
use serde_json::{Map, Value};

/// Keys of a message class that are optional in the settings, so that a new file may leave them out.
const OPTIONAL_CLASS_KEYS: [&str; 2] = ["aimStretch", "oneAtATime"];
/// Top-level objects that a new file may leave out or add.
const OPTIONAL_OBJECTS: [&str; 5] = ["pool", "membership", "agreement", "ledger", "freeze"];
/// Paths below which keys are not compared: they are used at the start only, or all their keys have defaults.
const UNCHECKED_PATHS: [&str; 8] = [
    "/known",
    "/control",
    "/seed",
    "/pool",
    "/membership",
    "/agreement",
    "/ledger",
    "/freeze",
];

/// Checks that the new file has each key of the file in force, with a value of the same type. Each object in a list must
/// have the keys that all objects of the old list have. A list may become empty only if it was empty before.
///
/// # Errors
/// Names the first key that is missing or has a value of another type.
pub(super) fn check_complete(before: &Value, new: &Value) -> Result<(), ConfigError> {
    check_value("", before, new)
}

fn missing(path: &str, suffix: &str) -> Result<(), ConfigError> {
    Err(ConfigError::Incomplete(format!("{path}{suffix}")))
}

fn check_value(path: &str, before: &Value, new: &Value) -> Result<(), ConfigError> {
    if UNCHECKED_PATHS.contains(&path) {
        return Ok(());
    }
    match (before, new) {
        (Value::Object(before), Value::Object(new)) => check_object(path, before, new),
        (Value::Array(before), Value::Array(new)) => check_list(path, before, new),
        (Value::String(_), Value::String(_))
        | (Value::Number(_), Value::Number(_))
        | (Value::Bool(_), Value::Bool(_))
        | (Value::Null, _) => Ok(()),
        _ => missing(path, " with a value of the same type"),
    }
}

fn check_object(
    path: &str,
    before: &Map<String, Value>,
    new: &Map<String, Value>,
) -> Result<(), ConfigError> {
    before.iter().try_for_each(|(name, value)| {
        let optional = OPTIONAL_CLASS_KEYS.contains(&name.as_str())
            || path.is_empty() && OPTIONAL_OBJECTS.contains(&name.as_str());
        match new.get(name) {
            Some(new) => check_value(&format!("{path}/{name}"), value, new),
            None if optional => Ok(()),
            None => missing(path, &format!("/{name}")),
        }
    })
}

fn check_list(path: &str, before: &[Value], new: &[Value]) -> Result<(), ConfigError> {
    if new.is_empty() && !before.is_empty() {
        return missing(path, " items");
    }
    let Some(Value::Object(first)) = before.first() else {
        return Ok(());
    };
    let is_common = |name: &str| before.iter().all(|item| item.get(name).is_some());
    let common = first.iter().filter(|(name, _)| is_common(name));
    let common = common.map(|(name, value)| (name.clone(), value.clone()));
    let common = Value::Object(common.collect());
    let mut items = new.iter().enumerate();
    items.try_for_each(|(index, item)| check_value(&format!("{path}/{index}"), &common, item))
}

/// Checks that the deadlines of all classes are numbers above zero, and the maximum number of attempts a whole number
/// above zero.
///
/// # Errors
/// Names the first key with another value.
pub(super) fn check_numbers(settings: &Value) -> Result<(), ConfigError> {
    check_positive("caps.mostTries", &settings["caps"]["mostTries"], true)?;
    let classes = settings["classes"].as_array();
    let Some(classes) = classes.filter(|classes| !classes.is_empty()) else {
        return missing("/settings/classes", "");
    };
    classes
        .iter()
        .try_for_each(|class| check_positive("classes.deadline", &class["deadline"], false))
}

fn check_positive(name: &'static str, value: &Value, whole: bool) -> Result<(), ConfigError> {
    let is_valid = |number: f64| number > 0.0 && (!whole || number.fract() == 0.0);
    if value.as_f64().is_some_and(is_valid) {
        return Ok(());
    }
    Err(ConfigError::Value {
        name,
        found: value.to_string(),
        wanted: "a number above zero",
    })
}
