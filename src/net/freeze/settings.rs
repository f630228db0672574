//! The `freeze` object of the configuration.

use crate::net::settings_object::{self, SettingsObject, SettingsObjectError, validate_replicas};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// How this sender keeps to the freeze calendar.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FreezeSettings {
    /// How often the registry is polled, ms.
    pub poll_ms: u64,
    /// How long widening changes are held back while no calendar is known, ms.
    pub unknown_ms: u64,
    /// Mean time between two entries that are admitted after a freeze, ms.
    pub ramp_ms: u64,
    /// Replicas of the registry to be asked where the one at discovery's address does not answer.
    #[serde(rename = "others")]
    pub replicas: Vec<SocketAddr>,
}

impl Default for FreezeSettings {
    fn default() -> Self {
        FreezeSettings {
            poll_ms: 1000,
            unknown_ms: 10_000,
            ramp_ms: 500,
            replicas: Vec::new(),
        }
    }
}

impl SettingsObject for FreezeSettings {
    const NAME: &'static str = "freeze";
    const KEYS: &'static str = "poll_ms, unknown_ms, ramp_ms and others";

    fn validate(&self) -> Result<(), SettingsObjectError> {
        validate_time("poll_ms", self.poll_ms, 50..=60_000)?;
        validate_time("unknown_ms", self.unknown_ms, 0..=3_600_000)?;
        validate_time("ramp_ms", self.ramp_ms, 0..=60_000)?;
        validate_replicas::<Self>(&self.replicas)
    }
}

fn validate_time(
    key: &'static str,
    time: u64,
    allowed: RangeInclusive<u64>,
) -> Result<(), SettingsObjectError> {
    if allowed.contains(&time) {
        return Ok(());
    }
    Err(SettingsObjectError::Value {
        object: FreezeSettings::NAME,
        key,
        expected: format!("a time from {} to {}", allowed.start(), allowed.end()),
    })
}

/// Reads the object; none if there is none.
///
/// # Errors
/// Names the key that is wrong.
pub fn read(value: &Value) -> Result<Option<FreezeSettings>, SettingsObjectError> {
    settings_object::read(value)
}

#[cfg(test)]
mod tests;
