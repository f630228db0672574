//! What senders demand of limits, and what they are allocated.

use super::key::LimitKey;
use serde::{Deserialize, Serialize};

/// A sender's demand for a quota of one limit.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaDemand {
    /// The limit.
    pub key: LimitKey,
    /// How much it could use beyond its fallback quota, in the units of the key.
    #[serde(rename = "want")]
    pub amount: u64,
}

/// A quota that a sender may use beside its fallback quota.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Allocation {
    /// The limit.
    pub key: LimitKey,
    /// How much, in the units of the key; none where there is no limit now.
    #[serde(rename = "part")]
    pub quota: Option<u64>,
    /// The whole limit, for all senders, if there is one.
    pub total: Option<u64>,
    /// How long a call under it may last, in ms; 0 where that does not matter.
    #[serde(default, rename = "linger_ms")]
    pub expiry_grace_ms: u64,
}
