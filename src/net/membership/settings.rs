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
        settings.period = if time {
            (period * 1e3) as u64
        } else {
            return Err(wrong);
        };
    }
    settings.helpers = object.helpers.unwrap_or(settings.helpers);
    settings.suspicion = object.suspicion.unwrap_or(settings.suspicion);
    settings.suspicion_most = object.suspicion_most.unwrap_or(settings.suspicion_most);
    settings.confirmations = object.confirmations.unwrap_or(settings.confirmations);
    settings.retransmit = object.retransmit.unwrap_or(settings.retransmit);
    settings.sync = object.sync.unwrap_or(settings.sync);
    settings.most = object.members_most.unwrap_or(settings.most);
    settings.key = object.key_file.map(read_key).transpose()?;
    settings
        .validate()
        .map_err(|SettingsError { name, wanted }| {
            // the one name that differs
            MembershipError::Value {
                name: if name == "most" { "members_most" } else { name },
                wanted,
            }
        })?;
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
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn an_object_is_read_with_defaults_and_a_faulty_one_names_its_key() {
        let good = json!({ "listen": "10.0.0.4:7946", "fleet": "hue", "seeds": ["10.0.0.5:7946"], "period_ms": 200 });
        let read_it = |value: &Value| read(value, "n3", 300);
        let membership = read_it(&good).expect("good").expect("there");
        let settings = membership.settings;
        assert_eq!(
            (settings.period, settings.configured, settings.advertise),
            (200_000, 300, membership.listen)
        );
        assert!(membership.act && settings.key.is_none());
        assert_eq!(read_it(&Value::Null).expect("none is none"), None);
        for (key, value, told) in [
            ("perriod_ms", json!(200), "unknown field `perriod_ms`"),
            ("fleet", json!(""), "membership.fleet is not"),
            ("listen", json!("here"), "membership: "),
            ("period_ms", json!(-1), "membership.period_ms is not"),
            (
                "members_most",
                json!(100_000),
                "membership.members_most is not",
            ),
            (
                "advertise",
                json!("0.0.0.0:7946"),
                "membership.advertise is not",
            ),
            (
                "key_file",
                json!("/nowhere/key"),
                "membership.key_file: /nowhere/key",
            ),
            ("act", json!("yes"), "membership: "),
        ] {
            let mut bad = good.clone();
            bad[key] = value;
            let error = read_it(&bad).expect_err(key).to_string();
            assert!(
                error.starts_with(told) || error.contains(told),
                "{key}: {error}"
            );
        }
    }
}
