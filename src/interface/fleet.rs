//! Membership counts of the fleet, as this sender sees them.

use serde::{Deserialize, Serialize};

/// Membership counts of the fleet, as this sender's membership protocol sees them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct FleetView {
    /// Number of senders that count as alive, including this one and all suspects.
    #[serde(rename = "living")]
    pub present: u32,
    /// Number of present senders under suspicion because a probe of them went unanswered.
    pub suspects: u32,
    /// Number of senders known to have failed or left.
    #[serde(rename = "gone")]
    pub departed: u32,
    /// Number of senders, including this one, known to see exactly the same set of senders
    /// present.
    #[serde(rename = "holders")]
    pub agreeing: u32,
    /// This sender may be cut off from the rest of the fleet by a network partition, so its
    /// counts may be wrong.
    #[serde(rename = "doubt")]
    pub isolated: bool,
}
