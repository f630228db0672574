//! The `ledger` object of the configuration, read strictly.

use quota_ledger::{FallbackQuotas, LIMIT_KINDS, LimitKey};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use thiserror::Error;

/// Addresses beside discovery's own.
const OTHERS_MOST: usize = 16;

/// Bytes a second for questions and answers where the settings name none: what is left of the 8 KiB for all control of a
/// sender by membership, lists and rules.
const BYTES: u64 = 6_000;
/// Fewer have no room for a question and what its lease is worth.
const BYTES_LEAST: u64 = 2_000;

/// What is wrong with the object, and what to write instead.
#[derive(Debug, Error)]
pub enum LedgerError {
    #[error("ledger: {0}; it has senders, floors, others and bytes_a_second")]
    Json(#[from] serde_json::Error),
    #[error(
        "ledger.senders is not above zero; it is the number of senders that the registry's ledger names"
    )]
    Senders,
    #[error("ledger.floors names '{0}'; write a kind ({kinds}) or a key like rate/7", kinds = LIMIT_KINDS.join(", "))]
    Floor(String),
    #[error(
        "ledger.bytes_a_second is {0}; write {BYTES_LEAST} or more, or leave it out for {BYTES}"
    )]
    Bytes(u64),
    #[error("ledger.others is not a list of up to {OTHERS_MOST} addresses")]
    Others,
}

/// How this sender shares limits with the others.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ledger {
    /// Senders that are configured.
    senders: u32,
    /// What each may use without asking, by key or kind: the same for all senders, and the registry's.
    floors: BTreeMap<String, u64>,
    /// Replicas of the registry to be asked where the one at discovery's address does not answer.
    #[serde(default)]
    pub others: Vec<SocketAddr>,
    /// Bytes a second that questions for quotas and their answers may take, out and in together.
    #[serde(default = "default_bytes")]
    pub bytes_a_second: u64,
}

fn default_bytes() -> u64 {
    BYTES
}

impl Ledger {
    /// The floors, as the registry's ledger has them.
    pub fn floors(&self) -> FallbackQuotas {
        FallbackQuotas {
            senders: self.senders,
            per_sender: self.floors.clone(),
        }
    }
}

/// Reads the object; none if there is none.
///
/// # Errors
/// Names the key that is wrong.
pub fn read(value: &Value) -> Result<Option<Ledger>, LedgerError> {
    if value.is_null() {
        return Ok(None);
    }
    let ledger = Ledger::deserialize(value)?;
    if ledger.senders == 0 {
        return Err(LedgerError::Senders);
    }
    let named = |name: &str| LIMIT_KINDS.contains(&name) || name.parse::<LimitKey>().is_ok();
    if let Some(name) = ledger.floors.keys().find(|name| !named(name)) {
        return Err(LedgerError::Floor(name.clone()));
    }
    if ledger.bytes_a_second < BYTES_LEAST {
        return Err(LedgerError::Bytes(ledger.bytes_a_second));
    }
    if ledger.others.len() > OTHERS_MOST {
        return Err(LedgerError::Others);
    }
    Ok(Some(ledger))
}

#[cfg(test)]
mod tests;
