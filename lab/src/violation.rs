//! A rule that did not hold, as every check of a run reports it.

/// A rule that was broken.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    /// The rule's name.
    pub rule: &'static str,
    /// When, in microseconds since the run began.
    pub at_us: u64,
    /// What was seen, with the ids.
    pub description: String,
}
