//! Types that describe a message to the index.

use crate::interface::{DestinationId, MessageId, Micros};

/// The properties of a message that do not change while the message is in the index.
#[derive(Debug, Clone, Copy)]
pub struct IndexedMessage {
    pub id: MessageId,
    pub destination: DestinationId,
    /// Time in microseconds at which the message was created: its deadline minus the maximum age of
    /// its class. For a message of an unknown class, the time at which it was accepted.
    pub created_at: Micros,
    /// Time in microseconds after which the message is no longer delivered.
    pub deadline: Micros,
}

/// Key of a group: messages of one destination with equal keys are all prevented from being sent by
/// the same conditions, so it is enough to examine the first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Group {
    /// Index of the messages' class in the settings.
    pub class: usize,
    /// Priority weight of each message, as the bits of its `f64`, which can be compared and
    /// ordered.
    pub priority_weight: u64,
    /// Number of attempts that each message has had.
    pub attempts: usize,
    /// True if the destination may have processed each of these messages in an earlier attempt, or
    /// may be processing it in one in flight.
    pub at_risk: bool,
    /// The only member, for a message that forms a group of its own because conditions apply to it
    /// alone.
    pub sole_member: Option<MessageId>,
}

/// When the next attempt of a message may be sent, judged by the state of the message alone: the
/// destination's limits and health may still prevent the attempt.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Eligibility {
    /// The message must wait for another event, such as the end of an earlier message of its key.
    #[default]
    Blocked,
    /// The next attempt may be sent from this time on, in microseconds.
    At(Micros),
    /// The next attempt may be sent now; the message waits in this group.
    Ready(Group),
}

/// State of a message as the index has it. Whenever the state changes, the old entry is replaced by
/// the new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IndexEntry {
    /// True until the message has ended; an ended message gets no further attempt.
    pub open: bool,
    /// True if an attempt of the message is in flight.
    pub in_flight: bool,
    /// Time in microseconds from which on no further attempt is allowed, so that the message must
    /// end undelivered. `Micros::MAX` if there is no such time, or while an attempt is in flight,
    /// because its outcome may allow another attempt.
    pub no_send_after: Micros,
    /// When the next attempt may be sent, and in which group the message waits once it may.
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
