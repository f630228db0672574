//! What the index holds of one message.

use crate::interface::{DestinationId, MessageId, Micros};

/// The properties of a message that stay as they are while it is indexed.
#[derive(Debug, Clone, Copy)]
pub struct IndexedMessage {
    pub id: MessageId,
    pub destination: DestinationId,
    /// When the client first handed it in.
    pub created_at: Micros,
    pub deadline: Micros,
}

/// What messages of one destination have in common that can be sent, or not, for the same reasons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Group {
    pub class: usize,
    /// The bits of one message's priority weight.
    pub priority_weight: u64,
    /// Attempts so far, and whether any of them may have run.
    pub attempts: usize,
    pub at_risk: bool,
    /// The message, where it is a group of its own.
    pub sole_member: Option<MessageId>,
}

/// When a message may be sent next, as far as its own state tells.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Eligibility {
    /// Not before something else has happened.
    #[default]
    Blocked,
    /// At this time.
    At(Micros),
    /// Now.
    Ready(Group),
}

/// What the index holds of one message, which changes with the message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IndexEntry {
    /// It has no outcome yet.
    pub open: bool,
    /// An attempt has no outcome yet.
    pub in_flight: bool,
    /// From when on no further send can be legal.
    pub no_send_after: Micros,
    pub eligibility: Eligibility,
}

impl Default for IndexEntry {
    fn default() -> Self {
        IndexEntry {
            open: false,
            in_flight: false,
            no_send_after: Micros::MAX,
            eligibility: Eligibility::Blocked,
        }
    }
}
