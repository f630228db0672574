//! File in the state folder with the binding times of missed list changes that no failure moves on, so that a process that
//! starts meanwhile, after a kill or at an upgrade, is held to them too.

use crate::net::clock::Clock;
use message_sender::Micros;
use serde::{Deserialize, Serialize};
use std::io;
use std::path::{Path, PathBuf};
use tokio::time::Instant;

/// Name of the file in the state folder.
const FILE_NAME: &str = "binding-times";
/// Space in bytes that the file takes in the state folder; it is there twice while it is replaced.
pub const MAX_DISK_BYTES: u64 = 2 * 4096;

/// Binding times of changes that may have been missed; `None` while no change is known to be missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct BindingTimes {
    /// From when on changes that were announced in a silence may be binding.
    pub silent: Option<Instant>,
    /// From when on all that discovery's new address has to tell is binding.
    pub moved: Option<Instant>,
}

/// [`BindingTimes`] as the file has them, in microseconds of module time. Stored as JSON.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct StoredTimes {
    silent: Option<Micros>,
    moved: Option<Micros>,
}

/// File that stores [`BindingTimes`]. It exists only while there is a time to store.
#[derive(Debug, Clone)]
pub struct BindingTimesFile {
    path: PathBuf,
    clock: Clock,
    /// Times that this process has stored last; `None` before the first ones.
    stored: Option<BindingTimes>,
    /// Times that an earlier process has stored and that hold for this one.
    known: BindingTimes,
}

impl BindingTimesFile {
    /// Reads the file, if there is one.
    ///
    /// # Errors
    /// The file can't be read.
    pub fn open(state_folder: &Path, clock: Clock, taken_over: bool) -> io::Result<Self> {
        let path = state_folder.join(FILE_NAME);
        let known = match std::fs::read(&path) {
            Ok(text) => known_times(&text, clock, taken_over),
            Err(error) if error.kind() == io::ErrorKind::NotFound => BindingTimes::default(),
            Err(error) => return Err(error),
        };
        Ok(BindingTimesFile {
            path,
            clock,
            stored: None,
            known,
        })
    }

    /// Returns the times that an earlier process has stored and that hold for this one. A time after `latest` comes from a
    /// clock that has been set back, and is brought forward to it.
    pub fn known(&self, latest: Instant) -> BindingTimes {
        BindingTimes {
            silent: self.known.silent.map(|at| at.min(latest)),
            moved: self.known.moved.map(|at| at.min(latest)),
        }
    }

    /// Stores the times. A failure is only logged, because this process does not need the file.
    pub fn store(&mut self, times: BindingTimes) {
        if self.stored == Some(times) {
            return;
        }
        self.stored = Some(times);
        if let Err(error) = self.replace(times) {
            crate::net::log(format_args!("discovery: binding times not stored: {error}"));
        }
    }

    fn replace(&self, times: BindingTimes) -> io::Result<()> {
        if times == BindingTimes::default() {
            return match std::fs::remove_file(&self.path) {
                Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
                _ => Ok(()),
            };
        }
        let stored = StoredTimes {
            silent: times.silent.map(|at| self.clock.at(at)),
            moved: times.moved.map(|at| self.clock.at(at)),
        };
        let new = self.path.with_extension("new");
        std::fs::write(&new, serde_json::to_vec(&stored)?)?;
        std::fs::rename(&new, &self.path)
    }
}

/// Returns the times of a stored text that hold for a process which has taken over from a predecessor, or not. A silence
/// binds the sender over an upgrade; a process that starts after the end of another one has a first list of its own.
fn known_times(text: &[u8], clock: Clock, taken_over: bool) -> BindingTimes {
    let Ok(stored) = serde_json::from_slice::<StoredTimes>(text) else {
        crate::net::log(format_args!("discovery: stored binding times are damaged"));
        return BindingTimes::default();
    };
    let silent = stored.silent.filter(|_| taken_over);
    BindingTimes {
        silent: silent.map(|at| clock.instant(at)),
        moved: stored.moved.map(|at| clock.instant(at)),
    }
}

#[cfg(test)]
mod tests;
