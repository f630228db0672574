//! The sender's process around the decision module: client connections, calls to endpoints, state on disk, and the
//! clients of discovery and the registry. Each subsystem has its own module.

pub mod agreement;
pub mod body;
pub mod calls;
pub mod class_terms_file;
pub mod clock;
pub mod complete_answer;
pub mod config;
pub mod connection;
pub mod control;
pub mod discovery;
pub mod driver;
pub mod end_proof;
pub mod events;
pub mod freeze;
#[cfg(test)]
mod golden;
pub mod handover;
pub mod head_memory;
pub mod http_client;
#[cfg(test)]
mod http_golden;
pub mod journal;
pub mod lease_client;
pub mod ledger;
pub mod local_errors;
mod log;
pub mod membership;
pub mod memory_log;
pub mod message_log;
pub mod pool;
pub mod process;
pub mod request_memory;
pub mod server;
pub mod settings_object;
pub mod sorted_json;
pub mod startup;
pub mod stream;
#[cfg(test)]
mod stub_registry;

pub use log::log;
use std::cell::Cell;
use std::time::{Duration, Instant};

/// Returns true if the environment variable `RELAY_TRACE` is set, so that the normal steps of each message are logged
/// as well.
pub fn trace_enabled() -> bool {
    static ENABLED: std::sync::OnceLock<bool> = std::sync::OnceLock::new();
    *ENABLED.get_or_init(|| std::env::var_os("RELAY_TRACE").is_some())
}

/// Minimum time between two lines of one [`RateLimitedLog`].
const RATE_LIMITED_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Log for a condition that may last: limits its lines to one per [`RATE_LIMITED_LOG_INTERVAL`], so that an error that
/// affects every message does not flood the log.
#[derive(Debug, Default)]
pub struct RateLimitedLog(Cell<Option<Instant>>);

impl RateLimitedLog {
    /// Logs the line unless this log has written a line within [`RATE_LIMITED_LOG_INTERVAL`].
    pub fn log(&self, line: std::fmt::Arguments<'_>) {
        let last_logged_at = self.0.get();
        if last_logged_at.is_none_or(|logged_at| logged_at.elapsed() > RATE_LIMITED_LOG_INTERVAL) {
            self.0.set(Some(Instant::now()));
            log(line);
        }
    }
}
