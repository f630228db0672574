//! The sender as a process round the decision module: sockets in, calls out, one subsystem a module.

pub mod agreement;
pub mod calls;
pub mod clock;
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
pub mod http_client;
#[cfg(test)]
mod http_golden;
pub mod journal;
pub mod lease_client;
pub mod ledger;
pub mod local_errors;
pub mod membership;
pub mod message_log;
pub mod pool;
pub mod process;
pub mod server;
pub mod settings_object;
pub mod sorted_json;
pub mod startup;
pub mod stream;
#[cfg(test)]
mod stub_registry;

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Writes a line to the log. A reader of the log that has gone away must not take the sender with it, as a failed
/// `eprintln!` would.
pub fn log(line: std::fmt::Arguments<'_>) {
    use std::io::Write;
    let _ = std::io::stderr()
        .lock()
        .write_all(format!("{line}\n").as_bytes());
}

/// Whether the ordinary steps of messages are logged too.
pub fn traces() -> bool {
    static WANTED: std::sync::OnceLock<bool> = std::sync::OnceLock::new();
    *WANTED.get_or_init(|| std::env::var_os("RELAY_TRACE").is_some())
}

/// How often a fault that lasts is logged.
const RATE_LIMITED_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Logs a fault that lasts when it begins and then once in a while, not for each message that it meets.
#[derive(Debug, Default)]
pub struct RateLimitedLog(Cell<Option<Instant>>);

impl RateLimitedLog {
    /// Logs the line unless one was logged a short while ago.
    pub fn log(&self, line: std::fmt::Arguments<'_>) {
        let last = self.0.get();
        if last.is_none_or(|last| last.elapsed() > RATE_LIMITED_LOG_INTERVAL) {
            self.0.set(Some(Instant::now()));
            log(line);
        }
    }
}
