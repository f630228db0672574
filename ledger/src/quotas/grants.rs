//! Quotas that may still be used, each until its end.

use versioned_config::Micros;

/// A quota that may be used until its lease ends. Of two, the larger one is greater.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Grant {
    /// How much, in the units of its key.
    pub quota: u64,
    /// When its lease ends.
    pub until: Micros,
}

/// Quotas of one limit that may still be used: of them the largest counts. A smaller one never takes the place of a larger
/// one before its end, at the allocator and at the sender alike: what comes back sooner could be used twice, for a quota
/// may be used up at its beginning.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct Grants(Vec<Grant>);

impl Grants {
    /// Adds a quota. Those that end no later and are no larger are dropped.
    pub(crate) fn push(&mut self, quota: u64, until: Micros) {
        let is_covered = self
            .0
            .iter()
            .any(|other| other.quota >= quota && other.until >= until);
        if !is_covered {
            self.0
                .retain(|other| other.quota > quota || other.until > until);
            self.0.push(Grant { quota, until });
        }
    }

    /// Drops what has ended.
    pub(crate) fn remove_expired(&mut self, now: Micros) {
        self.0.retain(|grant| grant.until > now);
    }

    /// The largest that has not ended.
    pub(crate) fn largest(&self, now: Micros) -> Option<Grant> {
        self.0
            .iter()
            .filter(|grant| grant.until > now)
            .copied()
            .max()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
