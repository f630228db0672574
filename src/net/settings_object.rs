//! Reads the optional objects of the configuration: `membership`, `agreement`, `ledger` and `freeze`. Unknown keys are
//! errors.

use quota_ledger::LIMIT_KINDS;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;
use versioned_config::InvalidRules;

/// Maximum number of registry replicas that an object may name in addition to discovery's address.
const MAX_REPLICAS: usize = 16;

/// Why a settings object is invalid. The text tells the operator what to write instead.
#[derive(Debug, Error)]
pub enum SettingsObjectError {
    /// The value is not an object, or has an unknown or missing key or a value of the wrong type.
    #[error("{object}: {error}; valid keys are {keys}")]
    Form {
        /// Key of the object in the configuration.
        object: &'static str,
        /// Error of the JSON parser.
        error: serde_json::Error,
        /// Valid keys of the object, as a text.
        keys: &'static str,
    },
    /// A value of the object is out of range.
    #[error("{object}.{key} is not {expected}")]
    Value {
        /// Key of the object in the configuration.
        object: &'static str,
        /// Key within the object.
        key: &'static str,
        /// Description of the valid values.
        expected: String,
    },
    /// The fallback rules (`agreement.floor`) are invalid.
    #[error("agreement.floor: {0}")]
    FallbackRules(#[from] InvalidRules),
    /// A key of `ledger.floors` names no limit, so no fallback quota can be set for it.
    #[error("ledger.floors names '{0}'; write a kind ({kinds}) or a key like rate/7", kinds = LIMIT_KINDS.join(", "))]
    FallbackQuota(String),
    /// The byte budget of `ledger.bytes_a_second` is too small for quota requests.
    #[error("ledger.bytes_a_second is {found}; write {min} or more, or leave it out for {default}")]
    ByteBudget {
        /// Configured bytes per second.
        found: u64,
        /// Minimum number of bytes per second.
        min: u64,
        /// Bytes per second that apply if the key is left out.
        default: u64,
    },
    /// The file with the fleet's shared key can't be read, or is too long.
    #[error("membership.key_file: {path}: {error}", path = path.display())]
    KeyFile {
        /// Path of the key file.
        path: PathBuf,
        /// Why the key file can't be read, or that it is too long.
        error: std::io::Error,
    },
}

/// Optional object of the configuration.
pub trait SettingsObject: DeserializeOwned {
    /// Key of the object in the configuration.
    const NAME: &'static str;
    /// Valid keys of the object, for error messages.
    const KEYS: &'static str;

    /// Checks the values beyond the types that deserialization has checked.
    ///
    /// # Errors
    /// Names the key with an invalid value.
    fn validate(&self) -> Result<(), SettingsObjectError>;
}

/// Reads and validates a settings object. Returns `None` if the configuration leaves the object out.
///
/// # Errors
/// The value can't be read as the object, for example because a key is unknown or missing, or a key has an invalid
/// value. The error names the object, and the key if it is known.
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

/// Checks the number of replicas that an object names under `others`.
///
/// # Errors
/// The object names more than 16 replicas.
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
