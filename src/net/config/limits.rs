//! Reads the `limits` object of the configuration.

use super::ConfigError;
use serde::Deserialize;

/// The `limits` object of the configuration file.
#[derive(Deserialize)]
pub(super) struct Limits {
    /// Maximum number of file descriptors of the process.
    pub(super) sockets: usize,
    /// Maximum size of the state folder in megabytes of 10^6 bytes.
    pub(super) disk_mb: f64,
    /// Maximum memory of the process in megabytes of 10^6 bytes.
    #[serde(default = "default_memory_mb")]
    pub(super) memory_mb: f64,
}

/// Returns the least memory that a deployment gives a sender, in megabytes. It applies where the configuration states no
/// memory.
fn default_memory_mb() -> f64 {
    32.0
}

/// Converts a limit from megabytes to bytes. `name` is the path of its key.
///
/// # Errors
/// The limit is no size of zero or more.
pub(super) fn read_megabytes(name: &'static str, megabytes: f64) -> Result<u64, ConfigError> {
    let bytes = megabytes * 1e6;
    if !(bytes.is_finite() && bytes >= 0.0) {
        return Err(ConfigError::Value {
            name,
            found: megabytes.to_string(),
            wanted: "a size of zero or more",
        });
    }
    Ok(bytes as u64)
}
