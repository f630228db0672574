//! Quotas that may still be used, each until its end.

use versioned_config::Micros;

/// Parts of one limit that may still be used, each until its end: of them the largest counts. A smaller one never takes the
/// place of a larger one before its end, at the keeper and at the sender alike: what comes back sooner could be used twice, for
/// a part may be used up at its beginning.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct Grants(Vec<(u64, Micros)>);

impl Grants {
    /// A further part. Those that end no later and are no larger are forgotten.
    pub(crate) fn push(&mut self, part: u64, until: Micros) {
        if !self
            .0
            .iter()
            .any(|(other, end)| *other >= part && *end >= until)
        {
            self.0.retain(|(other, end)| *other > part || *end > until);
            self.0.push((part, until));
        }
    }

    /// Forgets what has ended.
    pub(crate) fn lapse(&mut self, now: Micros) {
        self.0.retain(|(_, until)| *until > now);
    }

    /// The largest that lasts, and until when.
    pub(crate) fn most(&self, now: Micros) -> Option<(u64, Micros)> {
        self.0
            .iter()
            .filter(|(_, until)| *until > now)
            .copied()
            .max()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
