//! The log's clock: wall time that was agreed on, carried on by the time that has passed here since.

use super::Replica;
use quota_ledger::freeze::schedule::{Clocks, MAX_CLOCK_SKEW_MS};
use versioned_config::Micros;

impl Replica {
    /// What this machine's clock shows, Unix time in ms. It may jump.
    pub fn tell_time(&mut self, now: Micros, wall_ms: u64) {
        self.wall_ms = wall_ms;
        if self.clock.is_none() && self.leads() && wall_ms > 0 {
            // nothing was heard in this life: the log's clock may be as old as the last process
            self.clock = Some((wall_ms.max(self.state.freeze.clock_ms()), now));
        }
    }

    /// What the two clocks show that a calendar goes by; none while no clock was told.
    pub fn clocks(&self, now: Micros) -> Option<Clocks> {
        let carried = self.carried_ms(now);
        (self.wall_ms > 0).then(|| Clocks {
            wall_ms: self.wall_ms,
            log_ms: carried.unwrap_or(self.wall_ms),
        })
    }

    /// The log's clock, carried on by the time that has passed since it showed.
    fn carried_ms(&self, now: Micros) -> Option<u64> {
        self.clock
            .map(|(ms, at)| ms + now.saturating_sub(at) / 1000)
    }

    /// The log's clock was written. One that is read again after a start is as old as that.
    pub(super) fn hear_clock(&mut self, now: Micros, ms: u64) {
        let carried = self.carried_ms(now);
        if carried.is_some() || self.wall_ms.abs_diff(ms) <= MAX_CLOCK_SKEW_MS {
            self.clock = Some((carried.unwrap_or(ms).max(ms), now));
        }
    }
}
