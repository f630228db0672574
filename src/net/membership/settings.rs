//! The `membership` object of the configuration, with a default for all that may be left out.

use crate::net::settings_object::{self, SettingsObject, SettingsObjectError};
use fleet_membership::Settings;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Longest key file, bytes: a key, not a document.
const MAX_KEY_BYTES: u64 = 4096;

/// How this sender takes part.
#[derive(Debug, Clone, PartialEq)]
pub struct MembershipSettings {
    /// Where it listens for datagrams.
    pub listen: SocketAddr,
    /// The settings of the protocol.
    pub protocol: Settings,
    /// Whether the decisions are told how many senders live.
    pub act: bool,
}

/// The object as it is written.
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

impl SettingsObject for Object {
    const NAME: &'static str = "membership";
    const KEYS: &'static str = "listen, advertise, fleet, seeds, key_file, period_ms, helpers, suspicion, \
        suspicion_most, confirmations, retransmit, sync, members_most and act";

    fn validate(&self) -> Result<(), SettingsObjectError> {
        let period = self.period_ms.unwrap_or(1000.0);
        if (10.0..=60_000.0).contains(&period) {
            return Ok(());
        }
        Err(out_of_range("period_ms", "a time from 10 to 60000"))
    }
}

fn out_of_range(key: &'static str, expected: &str) -> SettingsObjectError {
    SettingsObjectError::Value {
        object: Object::NAME,
        key,
        expected: expected.to_string(),
    }
}

impl Object {
    /// The protocol's settings; what is left out has the protocol's default.
    fn protocol(self, name: &str, senders: u32) -> Result<Settings, SettingsObjectError> {
        let default = Settings::new(name, self.advertise.unwrap_or(self.listen), senders);
        let settings = Settings {
            fleet: self.fleet,
            seeds: self.seeds,
            protocol_period: self
                .period_ms
                .map_or(default.protocol_period, |period| (period * 1e3) as u64),
            indirect_probers: self.helpers.unwrap_or(default.indirect_probers),
            suspicion_multiplier: self.suspicion.unwrap_or(default.suspicion_multiplier),
            max_suspicion_multiplier: self
                .suspicion_most
                .unwrap_or(default.max_suspicion_multiplier),
            confirmations: self.confirmations.unwrap_or(default.confirmations),
            retransmit_multiplier: self.retransmit.unwrap_or(default.retransmit_multiplier),
            push_pull_periods: self.sync.unwrap_or(default.push_pull_periods),
            max_members: self.members_most.unwrap_or(default.max_members),
            key: self.key_file.map(read_key).transpose()?,
            ..default
        };
        settings
            .validate()
            .map_err(|error| out_of_range(error.setting, error.requirement))?;
        Ok(settings)
    }
}

/// Reads the object for a sender of this name, one of so many.
///
/// # Errors
/// Names the key that is wrong.
pub fn read(
    value: &Value,
    name: &str,
    senders: u32,
) -> Result<Option<MembershipSettings>, SettingsObjectError> {
    let Some(object) = settings_object::read::<Object>(value)? else {
        return Ok(None);
    };
    Ok(Some(MembershipSettings {
        listen: object.listen,
        act: object.act.unwrap_or(true),
        protocol: object.protocol(name, senders)?,
    }))
}

fn read_key(path: PathBuf) -> Result<Vec<u8>, SettingsObjectError> {
    let read = std::fs::metadata(&path).and_then(|metadata| {
        if metadata.len() > MAX_KEY_BYTES {
            return Err(std::io::Error::other("longer than 4096 bytes"));
        }
        std::fs::read(&path)
    });
    let mut key = read.map_err(|error| SettingsObjectError::KeyFile { path, error })?;
    // an editor's last line end is no part of it
    while key.last().is_some_and(|byte| matches!(byte, b'\n' | b'\r')) {
        key.pop();
    }
    Ok(key)
}

#[cfg(test)]
mod tests;
