//! The properties of a message that the host passes to the sender.

use super::{DestinationId, MessageId, Micros};

/// A message that the sender has to deliver. The body stays with the host.
#[derive(Debug, Clone, PartialEq)]
pub struct NewMessage {
    /// Number of the message.
    pub id: MessageId,
    /// Class of the message, as an index into [`Settings::classes`](super::Settings::classes).
    /// An unknown class is treated as not idempotent.
    pub class: usize,
    /// Destination that the message must be delivered to.
    pub destination: DestinationId,
    /// Time in microseconds from now until the message's deadline.
    pub time_left: Micros,
    /// Key of the message, where its class is ordered: messages of one key are delivered one at a
    /// time, in order.
    pub key: Option<u64>,
    /// Tenant of the message, as an index into [`Settings::tenants`](super::Settings::tenants).
    pub tenant: Option<usize>,
    /// The client has handed in this message before.
    pub resubmitted: bool,
    /// The client resubmits the message because the sender that had accepted the message
    /// failed.
    pub orphan: bool,
    /// Maximum number of attempts that held when the message was accepted. `None` means
    /// [`Settings::max_attempts`](super::Settings::max_attempts).
    pub max_attempts: Option<usize>,
}

impl NewMessage {
    /// Creates a message without key and tenant that is handed in for the first time.
    pub fn new(id: MessageId, class: usize, destination: DestinationId, time_left: Micros) -> Self {
        NewMessage {
            id,
            class,
            destination,
            time_left,
            key: None,
            tenant: None,
            resubmitted: false,
            orphan: false,
            max_attempts: None,
        }
    }
}
