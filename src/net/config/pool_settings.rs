//! Reads the `pool` object of the configuration. Unknown keys are errors.

use super::ConfigError;
use message_sender::pool::PoolSettings;
use serde_json::{Map, Value};
use std::ops::RangeInclusive;

/// Text in the error for a limit that is out of range, if `pool.all` is its upper bound.
const WITHIN_ALL: &str = "a whole number from 1 to pool.all";

/// Returns the maximum number of connections to endpoints in a process with `descriptors` file descriptors: half of
/// them. Clients' connections take a third, and files the rest.
pub fn max_pool_connections(descriptors: usize) -> usize {
    (descriptors / 2).max(1)
}

/// Reads the `pool` object of a process that may hold `descriptors` file descriptors. Returns the defaults if there is no
/// such object.
///
/// # Errors
/// Names the first key that is unknown or has an invalid value.
pub(super) fn read_pool_settings(
    value: &Value,
    descriptors: usize,
) -> Result<PoolSettings, ConfigError> {
    let fields = match value {
        Value::Null => return Ok(PoolSettings::default()),
        Value::Object(fields) => fields,
        other => return Err(wrong("pool", other, "an object")),
    };
    let mut settings = read_limits(fields, max_pool_connections(descriptors))?;
    for (key, value) in fields {
        match key.as_str() {
            "all" | "per_endpoint" | "dials" | "idle" | "idle_per_endpoint" => {}
            "decay_s" => {
                let wanted = "seconds from 0.1 to 3600";
                settings.decay_s = read_number("pool.decay_s", value, 0.1..=3600.0, wanted)?;
            }
            "learn_caps" => {
                let flag = value.as_bool();
                settings.learn_caps =
                    flag.ok_or(wrong("pool.learn_caps", value, "true or false"))?;
            }
            "warm_share" => {
                let wanted = "a share from 0 to 1";
                settings.warm_share = read_number("pool.warm_share", value, 0.0..=1.0, wanted)?;
            }
            other => return Err(ConfigError::Unknown(format!("pool.{other}"))),
        }
    }
    Ok(settings)
}

/// Reads the limits first: `pool.all` is the upper bound of the others, wherever it stands in the object.
fn read_limits(fields: &Map<String, Value>, max: usize) -> Result<PoolSettings, ConfigError> {
    let within_descriptors = "a whole number from 1 to half of limits.sockets";
    let all = read_limit(fields, "pool.all", max, within_descriptors)?;
    let within_all = |name| read_limit(fields, name, all.unwrap_or(max), WITHIN_ALL);
    Ok(PoolSettings {
        all,
        per_endpoint: within_all("pool.per_endpoint")?,
        dials: within_all("pool.dials")?,
        idle: within_all("pool.idle")?,
        idle_per_endpoint: within_all("pool.idle_per_endpoint")?,
        ..PoolSettings::default()
    })
}

fn read_limit(
    fields: &Map<String, Value>,
    name: &'static str,
    max: usize,
    wanted: &'static str,
) -> Result<Option<usize>, ConfigError> {
    let Some(value) = fields.get(name.trim_start_matches("pool.")) else {
        return Ok(None);
    };
    let number = value.as_u64().and_then(|number| number.try_into().ok());
    match number.filter(|number| (1..=max).contains(number)) {
        Some(number) => Ok(Some(number)),
        None => Err(wrong(name, value, wanted)),
    }
}

fn read_number(
    name: &'static str,
    value: &Value,
    range: RangeInclusive<f64>,
    wanted: &'static str,
) -> Result<f64, ConfigError> {
    let number = value.as_f64().filter(|number| range.contains(number));
    number.ok_or(wrong(name, value, wanted))
}

fn wrong(name: &'static str, value: &Value, wanted: &'static str) -> ConfigError {
    ConfigError::Value {
        name,
        found: value.to_string(),
        wanted,
    }
}
