//! A rule that did not hold, as every check of a run tells it.

/// A rule that was broken.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    /// The rule's name.
    pub rule: &'static str,
    /// When, since the run's beginning.
    pub at_us: u64,
    /// What was seen, with the ids.
    pub what: String,
}
