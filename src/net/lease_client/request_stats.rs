//! How requests for leases went, for reports and the log.

/// Counts the requests of one session and remembers the last error, so that it is logged once.
#[derive(Debug, Default)]
pub struct RequestStats {
    /// Requests that were sent.
    pub sent: u64,
    /// Requests that were granted.
    pub granted: u64,
    /// Requests that failed or were rejected.
    pub failed: u64,
    /// The error of the last request; none if it was granted.
    pub last_error: Option<String>,
}

impl RequestStats {
    /// Counts a request that was granted; true if the one before had failed.
    pub fn record_grant(&mut self) -> bool {
        self.granted += 1;
        self.last_error.take().is_some()
    }

    /// Counts a request that failed; true if it failed by another error than the one before.
    pub fn record_failure(&mut self, error: String) -> bool {
        self.failed += 1;
        let is_new = self.last_error.as_ref() != Some(&error);
        self.last_error = Some(error);
        is_new
    }

    /// Which replica is asked next: each failure moves on to the next one.
    pub fn replica_turn(&self) -> usize {
        usize::try_from(self.failed).unwrap_or(usize::MAX)
    }
}
