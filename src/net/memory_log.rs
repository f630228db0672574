//! Log of the memory of the process, so that a process that was killed for its memory shows what it held before.

use super::log;
use std::fmt;
use std::fs;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// File in which Linux describes the memory of the process.
const STATUS_FILE: &str = "/proc/self/status";
/// Interval between two measurements.
const MEASUREMENT_INTERVAL: Duration = Duration::from_secs(1);
/// A measurement is logged if it exceeds the last logged one by this fraction of the limit.
const LOGGED_STEPS_OF_LIMIT: u64 = 16;

/// Memory that counts against the limit of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct MemoryUse {
    /// Resident anonymous memory in bytes.
    anonymous_bytes: u64,
    /// Length of the files of the state folder in bytes.
    file_bytes: u64,
}

impl MemoryUse {
    /// Measures the memory of this process; `None` if the system does not tell it.
    fn measure(state_folder: &PathBuf) -> Option<Self> {
        let anonymous_bytes = anonymous_bytes(&fs::read_to_string(STATUS_FILE).ok()?)?;
        let files = fs::read_dir(state_folder).ok()?;
        let lengths = files.filter_map(|entry| Some(entry.ok()?.metadata().ok()?.len()));
        Some(MemoryUse {
            anonymous_bytes,
            file_bytes: lengths.sum(),
        })
    }

    fn total_bytes(self) -> u64 {
        self.anonymous_bytes + self.file_bytes
    }
}

/// Reads the resident anonymous memory in bytes from the text of the status file.
fn anonymous_bytes(status: &str) -> Option<u64> {
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"))?;
    let kibibytes: u64 = line.trim().strip_suffix(" kB")?.parse().ok()?;
    Some(kibibytes * 1024)
}

/// What the process holds for its peers, for the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HeldForPeers {
    /// Number of open client connections.
    pub client_connections: usize,
    /// Number of messages that are accepted and not complete.
    pub messages: usize,
    /// Number of calls to endpoints that have not ended.
    pub calls: usize,
}

impl fmt::Display for HeldForPeers {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let HeldForPeers {
            client_connections,
            messages,
            calls,
        } = self;
        write!(
            formatter,
            "{client_connections} client connections, {messages} messages, {calls} calls"
        )
    }
}

/// Measures the memory of the process and logs each new peak.
#[derive(Debug)]
pub struct MemoryLog {
    limit_bytes: u64,
    state_folder: PathBuf,
    next_measurement: Instant,
    logged_bytes: u64,
}

impl MemoryLog {
    /// Creates the log of a process with a limit of `limit_bytes`, which includes the files of the state folder.
    pub fn new(limit_bytes: u64, state_folder: PathBuf) -> Self {
        MemoryLog {
            limit_bytes,
            state_folder,
            next_measurement: Instant::now(),
            logged_bytes: 0,
        }
    }

    /// Measures the memory if that is due, and logs it if it is a new peak.
    pub fn measure_if_due(&mut self, held: HeldForPeers) {
        let now = Instant::now();
        if now < self.next_measurement {
            return;
        }
        self.next_measurement = now + MEASUREMENT_INTERVAL;
        if let Some(used) = MemoryUse::measure(&self.state_folder)
            && self.is_new_peak(used)
        {
            self.logged_bytes = used.total_bytes();
            log(format_args!(
                "memory: {:.1} MB and {:.1} MB of files, limit {:.1} MB; {held}",
                megabytes(used.anonymous_bytes),
                megabytes(used.file_bytes),
                megabytes(self.limit_bytes)
            ));
        }
    }

    fn is_new_peak(&self, used: MemoryUse) -> bool {
        used.total_bytes() > self.logged_bytes + self.limit_bytes / LOGGED_STEPS_OF_LIMIT
    }
}

fn megabytes(bytes: u64) -> f64 {
    bytes as f64 / 1e6
}

#[cfg(test)]
mod tests;
