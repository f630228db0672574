//! The real sender round the decision module: sockets in, calls out, one job a file.

pub mod agreement;
pub mod asking;
pub mod calls;
pub mod clock;
pub mod config;
pub mod connection;
pub mod control;
pub mod discovery;
pub mod driver;
pub mod events;
pub mod freeze;
#[cfg(test)]
mod golden;
pub mod handover;
#[cfg(test)]
mod http_golden;
pub mod journal;
pub mod lease_client;
pub mod ledger;
pub mod local_errors;
pub mod membership;
pub mod pool;
pub mod process;
pub mod server;
pub mod settings_object;
pub mod startup;
pub mod stream;
#[cfg(test)]
mod stub_registry;

/// A line for the log. A reader of the log that has gone away must not take the sender with it, as a failed
/// `eprintln!` would.
pub fn log(line: std::fmt::Arguments<'_>) {
    use std::io::Write;
    let _ = std::io::stderr()
        .lock()
        .write_all(format!("{line}\n").as_bytes());
}

/// Whether steps of messages are traced.
pub fn traces() -> bool {
    static WANTED: std::sync::OnceLock<bool> = std::sync::OnceLock::new();
    *WANTED.get_or_init(|| std::env::var_os("RELAY_TRACE").is_some())
}

/// A line for each step of a message, with its id, where `RELAY_TRACE` is set: for operators who look for one message.
pub fn trace(id: &hyper::header::HeaderValue, step: std::fmt::Arguments<'_>) {
    if traces() {
        log(format_args!(
            "trace: {} {step}",
            String::from_utf8_lossy(id.as_bytes())
        ));
    }
}

/// A fault that lasts is logged when it begins and then seldom, not for each message that it meets.
#[derive(Debug, Default)]
pub struct RateLimitedLog(std::cell::Cell<Option<std::time::Instant>>);

impl RateLimitedLog {
    /// Logs the line unless one was logged a short while ago.
    pub fn log(&self, line: std::fmt::Arguments<'_>) {
        const REST: std::time::Duration = std::time::Duration::from_secs(10);
        if self.0.get().is_none_or(|last| last.elapsed() > REST) {
            self.0.set(Some(std::time::Instant::now()));
            log(line);
        }
    }
}
