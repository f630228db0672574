//! One endpoint of the list, as the protocol page has it.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use thiserror::Error;

/// Longest name of an endpoint, zone or kind.
const NAME_MOST: usize = 128;
/// Shortest and longest time to live, ms.
const TTL_LEAST: u64 = 500;
const TTL_MOST: u64 = 86_400_000;

/// Whether an endpoint takes messages.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// It does.
    #[default]
    Up,
    /// It finishes what it has and wants nothing new.
    Draining,
}

/// An endpoint, but for its name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Where it is.
    pub endpoint: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub az: String,
    /// Its kind.
    #[serde(default)]
    pub model: String,
    /// Its destination.
    pub pod_group: u64,
    /// Whether it takes messages.
    #[serde(default)]
    pub state: Standing,
    /// Calls a second that its destination takes, roughly; 0: not known.
    #[serde(default)]
    pub capacity_hint: f64,
    /// When it last started, Unix time in ms; 0: long ago.
    #[serde(default)]
    pub boot_ms: u64,
    /// It is removed when no heartbeat has come for so long, ms; none: it stays.
    #[serde(default)]
    pub ttl_ms: Option<u64>,
}

/// What is wrong with an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{uid}: {key} is not {wanted}")]
pub struct BadTarget {
    /// The endpoint.
    pub uid: String,
    /// What is wrong.
    pub key: &'static str,
    /// What it should be.
    pub wanted: &'static str,
}

/// Whether it is a name: not empty, visible text without spaces.
pub fn is_name(text: &str) -> bool {
    (1..=NAME_MOST).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_graphic())
}

impl Target {
    /// Checks what its types allow and the protocol does not.
    ///
    /// # Errors
    /// Names the key.
    pub fn validate(&self, uid: &str) -> Result<(), BadTarget> {
        let holds = |holds: bool, key, wanted| {
            if holds {
                Ok(())
            } else {
                Err(BadTarget {
                    uid: uid.to_string(),
                    key,
                    wanted,
                })
            }
        };
        holds(
            is_name(uid),
            "uid",
            "a name of up to 128 visible characters",
        )?;
        let word = |text: &str| text.is_empty() || is_name(text);
        holds(
            word(&self.az),
            "az",
            "a name of up to 128 visible characters",
        )?;
        holds(
            word(&self.model),
            "model",
            "a name of up to 128 visible characters",
        )?;
        holds(
            self.pod_group <= u64::from(u16::MAX),
            "pod_group",
            "a number up to 65535",
        )?;
        let ip = self.endpoint.ip();
        holds(
            !ip.is_unspecified() && self.endpoint.port() > 0,
            "endpoint",
            "an address to be called at",
        )?;
        holds(
            self.capacity_hint.is_finite() && self.capacity_hint >= 0.0,
            "capacity_hint",
            "a rate",
        )?;
        let times = self
            .ttl_ms
            .is_none_or(|ttl| (TTL_LEAST..=TTL_MOST).contains(&ttl));
        holds(times, "ttl_ms", "a time from 500 to 86400000")
    }

    /// As the protocol writes it. `removed` stands only among changes.
    pub fn line(&self, uid: &str, removed: bool) -> String {
        let state = match (removed, self.state) {
            (true, _) => "removed",
            (_, Standing::Up) => "up",
            (_, Standing::Draining) => "draining",
        };
        serde_json::json!({
            "uid": uid, "endpoint": self.endpoint, "az": self.az, "model": self.model,
            "pod_group": self.pod_group, "state": state, "capacity_hint": self.capacity_hint,
            "boot_ms": self.boot_ms
        })
        .to_string()
    }
}
