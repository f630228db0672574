//! The `agreement` object of the configuration, read strictly.

use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use thiserror::Error;
use versioned_config::{InvalidRules, Rules};

/// Addresses beside discovery's own.
const OTHERS_MOST: usize = 16;

/// What is wrong with the object.
#[derive(Debug, Error)]
pub enum AgreementError {
    #[error("agreement: {0}")]
    Json(#[from] serde_json::Error),
    #[error("agreement.floor: {0}")]
    Floor(#[from] InvalidRules),
    #[error("agreement.others is not a list of up to {OTHERS_MOST} addresses")]
    Others,
}

/// How this sender agrees with the others.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Agreement {
    /// What it does without a lease: the same for all senders, and the registry's.
    pub floor: Rules,
    /// Replicas of the registry to be asked where the one at discovery's address does not answer.
    #[serde(default)]
    pub others: Vec<SocketAddr>,
}

/// Reads the object; none if there is none.
///
/// # Errors
/// Names the key that is wrong.
pub fn read(value: &Value) -> Result<Option<Agreement>, AgreementError> {
    if value.is_null() {
        return Ok(None);
    }
    let agreement = Agreement::deserialize(value)?;
    agreement.floor.validate()?;
    if agreement.others.len() > OTHERS_MOST {
        return Err(AgreementError::Others);
    }
    Ok(Some(agreement))
}

#[cfg(test)]
mod tests;
