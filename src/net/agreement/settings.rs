//! The `agreement` object of the configuration.

use crate::net::settings_object::{self, SettingsObject, SettingsObjectError, validate_replicas};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use versioned_config::Rules;

/// How this sender agrees on rules with the others.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgreementSettings {
    /// What it does without a lease: the same for all senders, and the registry's.
    #[serde(rename = "floor")]
    pub fallback: Rules,
    /// Replicas of the registry to be asked where the one at discovery's address does not answer.
    #[serde(default, rename = "others")]
    pub replicas: Vec<SocketAddr>,
}

impl SettingsObject for AgreementSettings {
    const NAME: &'static str = "agreement";
    const KEYS: &'static str = "floor and others";

    fn validate(&self) -> Result<(), SettingsObjectError> {
        self.fallback.validate()?;
        validate_replicas::<Self>(&self.replicas)
    }
}

/// Reads the object; none if there is none.
///
/// # Errors
/// Names the key that is wrong.
pub fn read(value: &Value) -> Result<Option<AgreementSettings>, SettingsObjectError> {
    settings_object::read(value)
}

#[cfg(test)]
mod tests;
