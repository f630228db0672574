//! Module time: the time in microseconds that all processes on one state folder use for deadlines and stored
//! timestamps.
//!
//! Module time starts at the wall-clock time when the state folder is new. From then on it follows the monotonic clock,
//! which continues over restarts of the process, so that a step of the wall clock changes no deadline, window or
//! backoff, neither in this process nor in the next. A reboot of the host resets the monotonic clock; then, or if the
//! anchor file is missing or invalid, module time is set from the wall clock again.

use message_sender::Micros;
use nix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use std::fs;
use std::io;
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;
use tokio::time::Instant;

/// Name of the file in the state folder that stores the [`Anchor`].
const ANCHOR_FILE: &str = "clock";
/// File with an id that the kernel creates anew at each boot; see `random(4)`.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";
/// Difference in microseconds between wall clock and module time above which a starting process logs the difference.
const MIN_LOGGED_STEP: Micros = message_sender::SECOND;

/// Error of restoring module time from the state folder.
#[derive(Debug, Error)]
pub enum ClockError {
    /// Reading the clocks, or reading or writing the anchor file, failed. The operation can be retried.
    #[error("the clock's anchor can't be read or written: {0}")]
    Io(#[from] io::Error),
    /// The anchor can't be encoded, which is a defect of the program.
    #[error("the clock's anchor can't be encoded: {0}")]
    Encode(#[from] serde_json::Error),
}

/// A module time with the monotonic time of the same instant, from which each process on the state folder derives
/// module time. Stored as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Anchor {
    /// Id of the boot during which the anchor was written.
    boot: String,
    /// Time of the monotonic clock when the anchor was written, in microseconds.
    monotonic: Micros,
    /// Module time when the anchor was written, in microseconds.
    time: Micros,
}

/// Boot id and clock times that were read together; times in microseconds.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Reading {
    /// Id of the current boot; `None` if the system does not report it.
    boot: Option<String>,
    /// Time of the monotonic clock.
    monotonic: Micros,
    /// Wall-clock time since the Unix epoch.
    wall: Micros,
}

impl Reading {
    fn now() -> io::Result<Self> {
        let monotonic = Duration::from(clock_gettime(ClockId::CLOCK_MONOTONIC)?);
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let boot = fs::read_to_string(BOOT_ID)
            .ok()
            .map(|id| id.trim().to_string());
        Ok(Reading {
            boot,
            monotonic: micros(monotonic),
            wall: micros(wall),
        })
    }

    /// Returns the module time of this reading according to the anchor. Returns `None` if the anchor was written during
    /// another boot or the boot is unknown, or if the anchor is later than the reading.
    fn module_time_from(&self, anchor: &Anchor) -> Option<Micros> {
        let elapsed = self.monotonic - anchor.monotonic;
        let same_boot = self.boot.as_ref() == Some(&anchor.boot) && elapsed >= 0;
        same_boot.then_some(anchor.time + elapsed)
    }
}

fn micros(duration: Duration) -> Micros {
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX)
}

/// Converts between instants of this process and module time.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Instant at which the process read the clocks.
    start: Instant,
    /// Module time at `start`, in microseconds.
    start_time: Micros,
}

impl Clock {
    /// Continues the module time of the state folder. Starts a new one and writes its anchor if the folder has no
    /// anchor of the current boot.
    ///
    /// # Errors
    /// Returns an error if the clocks can't be read, or the anchor can't be read or written.
    pub fn resume(folder: &Path) -> Result<Self, ClockError> {
        let start = Instant::now();
        let reading = Reading::now()?;
        let path = folder.join(ANCHOR_FILE);
        let anchor = match fs::read(&path) {
            // no process writes an invalid anchor, so such a file is replaced like a missing one
            Ok(bytes) => serde_json::from_slice::<Anchor>(&bytes).ok(),
            Err(error) if error.kind() == io::ErrorKind::NotFound => None,
            Err(error) => return Err(error.into()),
        };
        if let Some(time) = anchor.and_then(|anchor| reading.module_time_from(&anchor)) {
            let difference_us = reading.wall - time;
            if difference_us.abs() > MIN_LOGGED_STEP {
                super::log(format_args!(
                    "clock: the wall clock differs from module time by {:.1} s",
                    difference_us as f64 / 1e6
                ));
            }
            return Ok(Clock {
                start,
                start_time: time,
            });
        }
        let Reading {
            boot,
            monotonic,
            wall,
        } = reading;
        if let Some(boot) = boot {
            let new_path = path.with_extension("new");
            fs::write(
                &new_path,
                serde_json::to_vec(&Anchor {
                    boot,
                    monotonic,
                    time: wall,
                })?,
            )?;
            fs::rename(&new_path, &path)?;
        }
        Ok(Clock {
            start,
            start_time: wall,
        })
    }

    /// Returns the module time of an instant, in microseconds. For instants before the start of this process, returns
    /// the time of the start.
    pub fn at(&self, instant: Instant) -> Micros {
        self.start_time + micros(instant.saturating_duration_since(self.start))
    }

    /// Returns the instant of a module time. For times before the start of this process, returns the instant of the
    /// start.
    pub fn instant(&self, time: Micros) -> Instant {
        self.start + Duration::from_micros(u64::try_from(time - self.start_time).unwrap_or(0))
    }
}

#[cfg(test)]
mod tests;
