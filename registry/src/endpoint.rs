//! One endpoint of the list, as the protocol page has it.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use thiserror::Error;

/// The longest name of an endpoint, a zone or a model.
const MAX_NAME_LENGTH: usize = 128;
/// The shortest time to live, ms.
const MIN_TTL_MS: u64 = 500;
/// The longest time to live, ms.
const MAX_TTL_MS: u64 = 86_400_000;
const EXPECTED_NAME: &str = "a name of up to 128 visible characters";

/// Whether an endpoint takes new messages.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointState {
    /// It does.
    #[default]
    Up,
    /// It finishes what it has and takes nothing new.
    Draining,
}

/// An endpoint, except for its name. The order of the fields is the stored form.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// The address.
    pub endpoint: SocketAddr,
    /// The zone.
    #[serde(default)]
    pub az: String,
    /// The kind of endpoint.
    #[serde(default)]
    pub model: String,
    /// The destination.
    pub pod_group: u64,
    /// Whether the endpoint takes new messages.
    #[serde(default)]
    pub state: EndpointState,
    /// Calls a second that the destination takes, roughly; 0: not known.
    #[serde(default)]
    pub capacity_hint: f64,
    /// When the endpoint last started, Unix time in ms; 0: long ago.
    #[serde(default)]
    pub boot_ms: u64,
    /// The endpoint is removed when no heartbeat has come for so long, ms; none: it stays.
    #[serde(default)]
    pub ttl_ms: Option<u64>,
}

/// A value of an endpoint that is not valid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{uid}: {key} is not {expected}")]
pub struct InvalidEndpoint {
    /// The endpoint's name.
    pub uid: String,
    /// The key of the value.
    pub key: &'static str,
    /// What the value must be.
    pub expected: &'static str,
}

/// Whether this is a name: not empty, not too long, visible ASCII without spaces.
pub fn is_name(text: &str) -> bool {
    (1..=MAX_NAME_LENGTH).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_graphic())
}

fn is_name_or_empty(text: &str) -> bool {
    text.is_empty() || is_name(text)
}

impl Endpoint {
    /// Checks what the types allow and the protocol does not.
    ///
    /// # Errors
    /// Names the first key whose value is not valid.
    pub fn validate(&self, uid: &str) -> Result<(), InvalidEndpoint> {
        let check = |holds: bool, key, expected| {
            if holds {
                Ok(())
            } else {
                Err(InvalidEndpoint {
                    uid: uid.to_string(),
                    key,
                    expected,
                })
            }
        };
        check(is_name(uid), "uid", EXPECTED_NAME)?;
        check(is_name_or_empty(&self.az), "az", EXPECTED_NAME)?;
        check(is_name_or_empty(&self.model), "model", EXPECTED_NAME)?;
        check(
            self.pod_group <= u64::from(u16::MAX),
            "pod_group",
            "a number up to 65535",
        )?;
        let reachable = !self.endpoint.ip().is_unspecified() && self.endpoint.port() > 0;
        check(reachable, "endpoint", "an address to be called at")?;
        let is_rate = self.capacity_hint.is_finite() && self.capacity_hint >= 0.0;
        check(is_rate, "capacity_hint", "a rate")?;
        let is_ttl = self
            .ttl_ms
            .is_none_or(|ttl_ms| (MIN_TTL_MS..=MAX_TTL_MS).contains(&ttl_ms));
        check(is_ttl, "ttl_ms", "a time from 500 to 86400000")
    }

    /// The endpoint as the protocol writes it. Only changes name one that is removed.
    pub fn to_json(&self, uid: &str, removed: bool) -> String {
        let state = match (removed, self.state) {
            (true, _) => "removed",
            (_, EndpointState::Up) => "up",
            (_, EndpointState::Draining) => "draining",
        };
        serde_json::json!({
            "uid": uid, "endpoint": self.endpoint, "az": self.az, "model": self.model,
            "pod_group": self.pod_group, "state": state, "capacity_hint": self.capacity_hint,
            "boot_ms": self.boot_ms
        })
        .to_string()
    }
}
