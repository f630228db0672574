//! What senders demand of limits, and what they are allocated.

use super::key::LimitKey;
use serde::{Deserialize, Serialize};

/// A sender's wish for a part of one limit.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaDemand {
    /// Of what.
    pub key: LimitKey,
    /// How much it could use beyond its floor, in the key's units.
    #[serde(rename = "want")]
    pub amount: u64,
}

/// A part that a sender may use, beside its floor.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Allocation {
    /// Of what.
    pub key: LimitKey,
    /// How much, in the key's units; none: it has no limit now.
    #[serde(rename = "part")]
    pub quota: Option<u64>,
    /// The whole limit, for all senders, if there is one.
    pub total: Option<u64>,
    /// How long a call under it may last, ms; 0 where that does not matter.
    #[serde(default)]
    #[serde(rename = "linger_ms")]
    pub expiry_grace_ms: u64,
}
