//! The `ledger` object of the configuration.

use crate::net::settings_object::{self, SettingsObject, SettingsObjectError, validate_replicas};
use quota_ledger::{FallbackQuotas, LIMIT_KINDS, LimitKey};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Bytes a second for requests and answers where the settings name none: what is left of the 8 KiB for all control of a
/// sender by membership, lists and rules.
const DEFAULT_BYTES_A_SECOND: u64 = 6_000;
/// Fewer have no room for a request and what its lease is worth.
const MIN_BYTES_A_SECOND: u64 = 2_000;

/// How this sender shares limits with the others.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerSettings {
    /// Senders that are configured.
    senders: u32,
    /// What each may use without asking, by key or kind: the same for all senders, and the registry's.
    #[serde(rename = "floors")]
    fallback_quotas: BTreeMap<String, u64>,
    /// Replicas of the registry to be asked where the one at discovery's address does not answer.
    #[serde(default, rename = "others")]
    pub replicas: Vec<SocketAddr>,
    /// Bytes a second that requests for quotas and their answers may take, out and in together.
    #[serde(default = "default_bytes_a_second")]
    pub bytes_a_second: u64,
}

fn default_bytes_a_second() -> u64 {
    DEFAULT_BYTES_A_SECOND
}

impl LedgerSettings {
    /// The fallback quotas, as the registry's ledger has them.
    pub fn fallback_quotas(&self) -> FallbackQuotas {
        FallbackQuotas {
            senders: self.senders,
            per_sender: self.fallback_quotas.clone(),
        }
    }
}

impl SettingsObject for LedgerSettings {
    const NAME: &'static str = "ledger";
    const KEYS: &'static str = "senders, floors, others and bytes_a_second";

    fn validate(&self) -> Result<(), SettingsObjectError> {
        if self.senders == 0 {
            return Err(SettingsObjectError::Value {
                object: Self::NAME,
                key: "senders",
                expected:
                    "above zero; it is the number of senders that the registry's ledger names"
                        .to_string(),
            });
        }
        let is_limited =
            |name: &str| LIMIT_KINDS.contains(&name) || name.parse::<LimitKey>().is_ok();
        if let Some(name) = self.fallback_quotas.keys().find(|name| !is_limited(name)) {
            return Err(SettingsObjectError::FallbackQuota(name.clone()));
        }
        if self.bytes_a_second < MIN_BYTES_A_SECOND {
            return Err(SettingsObjectError::ByteBudget {
                found: self.bytes_a_second,
                min: MIN_BYTES_A_SECOND,
                default: DEFAULT_BYTES_A_SECOND,
            });
        }
        validate_replicas::<Self>(&self.replicas)
    }
}

/// Reads the object; none if there is none.
///
/// # Errors
/// Names the key that is wrong.
pub fn read(value: &Value) -> Result<Option<LedgerSettings>, SettingsObjectError> {
    settings_object::read(value)
}

#[cfg(test)]
mod tests;
