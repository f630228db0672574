//! Module time: a time line that goes on from one process to the next as the monotonic clock does.
//!
//! It begins with the wall clock when the state folder is new. From then on it follows the monotonic clock, which runs on
//! over restarts of a process, so that a step of the wall clock changes no deadline, window or backoff, neither in this process
//! nor in the next. Only a restart of the machine, which begins another monotonic clock, is bridged by the wall clock.

use message_sender::Micros;
use nix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use std::fs;
use std::io;
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;
use tokio::time::Instant;

/// Where the folder keeps its anchor.
const ANCHOR_FILE: &str = "clock";
/// Tells one start of the machine from another; see `random(4)`.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";
/// A wall clock that is off by more is worth a line in the log.
const MIN_LOGGED_STEP: Micros = message_sender::SECOND;

/// Why the time line can't be continued.
#[derive(Debug, Error)]
pub enum ClockError {
    /// The folder or the system failed the reading or the writing: it is to be tried again.
    #[error("the clock's anchor: {0}")]
    Io(#[from] io::Error),
    /// The anchor can't be encoded: a defect.
    #[error("the clock's anchor can't be encoded: {0}")]
    Encode(#[from] serde_json::Error),
}

/// A point of the time line, which all processes on the folder share. Stored as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Anchor {
    /// The start of the machine that the monotonic clock belongs to.
    boot: String,
    /// The monotonic clock then.
    monotonic: Micros,
    /// Module time then.
    time: Micros,
}

/// What the clocks say at one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Reading {
    /// None where the system does not tell.
    boot: Option<String>,
    monotonic: Micros,
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

    /// Module time now, by an anchor of this start of the machine; none without one.
    fn by(&self, anchor: &Anchor) -> Option<Micros> {
        let passed = self.monotonic - anchor.monotonic;
        let same = self.boot.as_ref() == Some(&anchor.boot) && passed >= 0;
        same.then_some(anchor.time + passed)
    }
}

fn micros(span: Duration) -> Micros {
    Micros::try_from(span.as_micros()).unwrap_or(Micros::MAX)
}

/// Module time, as one process continues it.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: Micros,
}

impl Clock {
    /// The time line of the folder, which is anchored there if it is not yet.
    ///
    /// # Errors
    /// The anchor can't be read or written now.
    pub fn resume(folder: &Path) -> Result<Self, ClockError> {
        let start = Instant::now();
        let reading = Reading::now()?;
        let path = folder.join(ANCHOR_FILE);
        let anchor = match fs::read(&path) {
            // what can't be understood was written by no process of this time line
            Ok(bytes) => serde_json::from_slice::<Anchor>(&bytes).ok(),
            Err(error) if error.kind() == io::ErrorKind::NotFound => None,
            Err(error) => return Err(error.into()),
        };
        if let Some(time) = anchor.and_then(|anchor| reading.by(&anchor)) {
            let step = reading.wall - time;
            if step.abs() > MIN_LOGGED_STEP {
                super::log(format_args!(
                    "clock: the wall clock is {:.1} s off",
                    step as f64 / 1e6
                ));
            }
            return Ok(Clock { start, unix: time });
        }
        let Reading {
            boot,
            monotonic,
            wall,
        } = reading;
        if let Some(boot) = boot {
            let new = path.with_extension("new");
            fs::write(
                &new,
                serde_json::to_vec(&Anchor {
                    boot,
                    monotonic,
                    time: wall,
                })?,
            )?;
            fs::rename(&new, &path)?;
        }
        Ok(Clock { start, unix: wall })
    }

    /// Module time of an instant.
    pub fn at(&self, instant: Instant) -> Micros {
        self.unix + micros(instant.saturating_duration_since(self.start))
    }

    /// The instant of a module time; the start for all that was before it.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(u64::try_from(at - self.unix).unwrap_or(0))
    }
}

#[cfg(test)]
mod tests;
