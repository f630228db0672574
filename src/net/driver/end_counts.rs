//! How many messages ended by each kind of proof, and the log of these counts.

use crate::net;
use crate::net::end_proof::EndProof;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// How often the counts are logged while they change.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Ends since the process began.
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

    /// Logs the counts, unless they are those of the last line or that is a short while ago.
    pub fn log_if_due(&mut self, now: Instant) {
        if self.changed && now.saturating_duration_since(self.logged_at) >= LOG_INTERVAL {
            self.log(now);
        }
    }

    /// Logs the counts now.
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
