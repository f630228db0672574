//! The log's clock: wall time from the log, advanced by the time that has passed here since.

use super::Replica;
use quota_ledger::freeze::schedule::{Clocks, MAX_CLOCK_SKEW_MS};
use versioned_config::Micros;

/// The log's clock, as it was set here last.
#[derive(Debug, Clone, Copy)]
pub(super) struct LogClock {
    /// What it showed, Unix time in ms.
    ms: u64,
    /// When it showed that, by this replica's monotonic clock.
    set_at: Micros,
}

impl Replica {
    /// Sets what this machine's clock shows, Unix time in ms. It may jump.
    pub fn set_wall_clock(&mut self, now: Micros, wall_ms: u64) {
        self.wall_ms = wall_ms;
        if self.log_clock.is_none() && self.is_leader() && wall_ms > 0 {
            // nothing was applied in this process: the log's clock may be as old as the last one
            let ms = wall_ms.max(self.state.freeze.clock_ms());
            self.log_clock = Some(LogClock { ms, set_at: now });
        }
    }

    /// The two clocks that a calendar goes by; none before the wall clock is set.
    pub fn clocks(&self, now: Micros) -> Option<Clocks> {
        if self.wall_ms == 0 {
            return None;
        }
        let log_ms = self.log_clock_ms(now).unwrap_or(self.wall_ms);
        Some(Clocks {
            wall_ms: self.wall_ms,
            log_ms,
        })
    }

    /// The log's clock, advanced by the time that has passed since it was set.
    fn log_clock_ms(&self, now: Micros) -> Option<u64> {
        self.log_clock
            .map(|clock| clock.ms + now.saturating_sub(clock.set_at) / 1000)
    }

    /// Applies an entry of the log's clock. An entry that is read again after a start may be old.
    pub(super) fn apply_clock(&mut self, now: Micros, ms: u64) {
        let advanced = self.log_clock_ms(now);
        if advanced.is_some() || self.wall_ms.abs_diff(ms) <= MAX_CLOCK_SKEW_MS {
            let ms = advanced.unwrap_or(ms).max(ms);
            self.log_clock = Some(LogClock { ms, set_at: now });
        }
    }
}
