//! Settings objects of the configuration that may be left out: `membership`, `agreement`, `ledger` and `freeze`, each read
//! strictly.

use quota_ledger::LIMIT_KINDS;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;
use versioned_config::InvalidRules;

/// Replicas of the registry that an object may name beside discovery's own address.
const MAX_REPLICAS: usize = 16;

/// What is wrong with a settings object, and what to write instead.
#[derive(Debug, Error)]
pub enum SettingsObjectError {
    /// It is not an object of this form.
    #[error("{object}: {error}; it has {keys}")]
    Form {
        /// The object's key in the configuration.
        object: &'static str,
        /// Where it departs from the form.
        error: serde_json::Error,
        /// The keys that it may have.
        keys: &'static str,
    },
    /// A value is out of range.
    #[error("{object}.{key} is not {expected}")]
    Value {
        /// The object's key in the configuration.
        object: &'static str,
        /// The key within it.
        key: &'static str,
        /// What is allowed.
        expected: String,
    },
    /// The fallback rules make no sense.
    #[error("agreement.floor: {0}")]
    FallbackRules(#[from] InvalidRules),
    /// A fallback quota is of something that is not limited.
    #[error("ledger.floors names '{0}'; write a kind ({kinds}) or a key like rate/7", kinds = LIMIT_KINDS.join(", "))]
    FallbackQuota(String),
    /// Requests for quotas would have no room.
    #[error("ledger.bytes_a_second is {found}; write {min} or more, or leave it out for {default}")]
    ByteBudget {
        /// What was written.
        found: u64,
        /// The least that is allowed.
        min: u64,
        /// What holds without the key.
        default: u64,
    },
    /// The key file can't be read.
    #[error("membership.key_file: {path}: {error}", path = path.display())]
    KeyFile {
        /// The file.
        path: PathBuf,
        /// Why.
        error: std::io::Error,
    },
}

/// A settings object that may be left out.
pub trait SettingsObject: DeserializeOwned {
    /// Its key in the configuration.
    const NAME: &'static str;
    /// The keys that it may have, for operators.
    const KEYS: &'static str;

    /// Checks what its form does not say.
    ///
    /// # Errors
    /// Names the key that is wrong.
    fn validate(&self) -> Result<(), SettingsObjectError>;
}

/// Reads a settings object; none if it is left out.
///
/// # Errors
/// Names the key that is wrong.
pub fn read<T: SettingsObject>(value: &Value) -> Result<Option<T>, SettingsObjectError> {
    if value.is_null() {
        return Ok(None);
    }
    let settings = T::deserialize(value).map_err(|error| SettingsObjectError::Form {
        object: T::NAME,
        error,
        keys: T::KEYS,
    })?;
    settings.validate()?;
    Ok(Some(settings))
}

/// Checks the replicas that an object names.
///
/// # Errors
/// There are too many.
pub fn validate_replicas<T: SettingsObject>(
    replicas: &[SocketAddr],
) -> Result<(), SettingsObjectError> {
    if replicas.len() <= MAX_REPLICAS {
        return Ok(());
    }
    Err(SettingsObjectError::Value {
        object: T::NAME,
        key: "others",
        expected: format!("a list of up to {MAX_REPLICAS} addresses"),
    })
}
