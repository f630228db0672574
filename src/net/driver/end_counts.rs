//! Number of messages that ended by each kind of end proof, and the log line of these counts.

use crate::net;
use crate::net::end_proof::EndProof;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// Minimum time between two log lines of the counts while the process is not shutting down.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Number of ended messages since the process began, by kind of end proof.
#[derive(Debug)]
pub(super) struct EndCounts {
    by_proof: BTreeMap<EndProof, u64>,
    changed: bool,
    logged_at: Instant,
}

impl EndCounts {
    pub fn new(now: Instant) -> Self {
        EndCounts {
            by_proof: BTreeMap::new(),
            changed: false,
            logged_at: now,
        }
    }

    pub fn count(&mut self, proof: EndProof) {
        *self.by_proof.entry(proof).or_default() += 1;
        self.changed = true;
    }

    /// Logs the counts if they have changed and the last line is at least [`LOG_INTERVAL`] old.
    pub fn log_if_due(&mut self, now: Instant) {
        if self.changed && now.saturating_duration_since(self.logged_at) >= LOG_INTERVAL {
            self.log(now);
        }
    }

    /// Logs the counts, whether they have changed or not.
    pub fn log(&mut self, now: Instant) {
        self.changed = false;
        self.logged_at = now;
        net::log(format_args!("messages ended: {self}"));
    }
}

impl fmt::Display for EndCounts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (proof, count)) in self.by_proof.iter().enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            write!(formatter, "{separator}{count} {proof}")?;
        }
        Ok(())
    }
}
