//! The `freeze` object of the configuration, read strictly.

use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use thiserror::Error;

/// Addresses beside discovery's own.
const OTHERS_MOST: usize = 16;

/// What is wrong with the object, and what to write instead.
#[derive(Debug, Error)]
pub enum FreezeSettingsError {
    #[error("freeze: {0}; it has poll_ms, unknown_ms, ramp_ms and others")]
    Json(#[from] serde_json::Error),
    #[error("freeze.{0} is not a time from {1} to {2}")]
    Time(&'static str, u64, u64),
    #[error("freeze.others is not a list of up to {OTHERS_MOST} addresses")]
    Others,
}

/// How this sender keeps to the freeze calendar.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FreezeSettings {
    /// How often the registry is asked, ms.
    pub poll_ms: u64,
    /// How long what widens is held while no calendar is known, ms.
    pub unknown_ms: u64,
    /// Between two entries that are admitted after a thaw, ms.
    pub ramp_ms: u64,
    /// Replicas of the registry to be asked where the one at discovery's address does not answer.
    pub others: Vec<SocketAddr>,
}

impl Default for FreezeSettings {
    fn default() -> Self {
        FreezeSettings {
            poll_ms: 1000,
            unknown_ms: 10_000,
            ramp_ms: 500,
            others: Vec::new(),
        }
    }
}

/// Reads the object; none if there is none.
///
/// # Errors
/// Names the key that is wrong.
pub fn read(value: &Value) -> Result<Option<FreezeSettings>, FreezeSettingsError> {
    if value.is_null() {
        return Ok(None);
    }
    let settings = FreezeSettings::deserialize(value)?;
    for (name, time, least, most) in [
        ("poll_ms", settings.poll_ms, 50, 60_000),
        ("unknown_ms", settings.unknown_ms, 0, 3_600_000),
        ("ramp_ms", settings.ramp_ms, 0, 60_000),
    ] {
        if !(least..=most).contains(&time) {
            return Err(FreezeSettingsError::Time(name, least, most));
        }
    }
    if settings.others.len() > OTHERS_MOST {
        return Err(FreezeSettingsError::Others);
    }
    Ok(Some(settings))
}

#[cfg(test)]
mod tests;
