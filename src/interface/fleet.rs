//! What is known of the other senders.

use serde::{Deserialize, Serialize};

/// What is known of the other senders of the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct FleetView {
    /// Senders that are alive, this one and the suspects among them counted.
    pub living: u32,
    /// Those that some have had no answer from.
    pub suspects: u32,
    /// Senders known to have died or left.
    pub gone: u32,
    /// Senders known to see just the same living ones, this one counted.
    #[serde(rename = "holders")]
    pub agreeing: u32,
    /// This sender has reason to doubt what it sees.
    #[serde(rename = "doubt")]
    pub in_doubt: bool,
}
