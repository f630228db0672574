//! What is known of the other senders.

use serde::{Deserialize, Serialize};

/// What is known of the other senders of the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct FleetView {
    /// Senders that are alive, this one and the suspects among them counted.
    #[serde(rename = "living")]
    pub present: u32,
    /// Those that some have had no answer from.
    pub suspects: u32,
    /// Senders known to have died or left.
    #[serde(rename = "gone")]
    pub departed: u32,
    /// Senders known to see just the same ones present, this one counted.
    #[serde(rename = "holders")]
    pub agreeing: u32,
    /// This sender has reason to doubt what it sees: it may be cut off from the others.
    #[serde(rename = "doubt")]
    pub isolated: bool,
}
