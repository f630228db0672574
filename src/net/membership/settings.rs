//! The `membership` object of the configuration: read strictly, with a default for all that may be left out.

use fleet_membership::{Settings, SettingsError};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Longest key file, bytes: a key, not a document.
const KEY_MOST: u64 = 4096;

/// What is wrong with the object.
#[derive(Debug, Error)]
pub enum MembershipError {
    #[error("membership: {0}")]
    Json(#[from] serde_json::Error),
    #[error("membership.{name} is not {wanted}")]
    Value {
        name: &'static str,
        wanted: &'static str,
    },
    #[error("membership.key_file: {path}: {error}", path = path.display())]
    KeyFile {
        path: PathBuf,
        error: std::io::Error,
    },
}

/// How this sender takes part.
#[derive(Debug, Clone, PartialEq)]
pub struct Membership {
    pub listen: SocketAddr,
    pub settings: Settings,
    /// The decisions are told how many live.
    pub act: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Object {
    listen: SocketAddr,
    advertise: Option<SocketAddr>,
    fleet: String,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    key_file: Option<PathBuf>,
    period_ms: Option<f64>,
    helpers: Option<usize>,
    suspicion: Option<f64>,
    suspicion_most: Option<f64>,
    confirmations: Option<u32>,
    retransmit: Option<u32>,
    sync: Option<u32>,
    members_most: Option<usize>,
    act: Option<bool>,
}

/// Reads the object for a sender of this name, one of so many.
///
/// # Errors
/// Names the key that is wrong.
pub fn read(
    value: &Value,
    name: &str,
    senders: u32,
) -> Result<Option<Membership>, MembershipError> {
    if value.is_null() {
        return Ok(None);
    }
    let object = Object::deserialize(value)?;
    let mut settings = Settings::new(name, object.advertise.unwrap_or(object.listen), senders);
    settings.fleet = object.fleet;
    settings.seeds = object.seeds;
    if let Some(period) = object.period_ms {
        let time = (10.0..=60_000.0).contains(&period);
        let wrong = MembershipError::Value {
            name: "period_ms",
            wanted: "a time from 10 to 60000",
        };
        settings.protocol_period = if time {
            (period * 1e3) as u64
        } else {
            return Err(wrong);
        };
    }
    settings.indirect_probers = object.helpers.unwrap_or(settings.indirect_probers);
    settings.suspicion_multiplier = object.suspicion.unwrap_or(settings.suspicion_multiplier);
    settings.max_suspicion_multiplier = object
        .suspicion_most
        .unwrap_or(settings.max_suspicion_multiplier);
    settings.confirmations = object.confirmations.unwrap_or(settings.confirmations);
    settings.retransmit_multiplier = object.retransmit.unwrap_or(settings.retransmit_multiplier);
    settings.push_pull_periods = object.sync.unwrap_or(settings.push_pull_periods);
    settings.max_members = object.members_most.unwrap_or(settings.max_members);
    settings.key = object.key_file.map(read_key).transpose()?;
    settings.validate().map_err(
        |SettingsError {
             setting,
             requirement,
         }| MembershipError::Value {
            name: setting,
            wanted: requirement,
        },
    )?;
    Ok(Some(Membership {
        listen: object.listen,
        settings,
        act: object.act.unwrap_or(true),
    }))
}

fn read_key(path: PathBuf) -> Result<Vec<u8>, MembershipError> {
    let read = std::fs::metadata(&path).and_then(|about| {
        if about.len() > KEY_MOST {
            return Err(std::io::Error::other("longer than 4096 bytes"));
        }
        std::fs::read(&path)
    });
    let mut key = read.map_err(|error| MembershipError::KeyFile { path, error })?;
    // an editor's last line end is no part of it
    while key.last().is_some_and(|byte| matches!(byte, b'\n' | b'\r')) {
        key.pop();
    }
    Ok(key)
}

#[cfg(test)]
mod tests;
