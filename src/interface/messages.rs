//! The properties of a message that the driver passes to the sender.

use super::{DestinationId, MessageId, Micros};

/// A message that the sender has to deliver. The body stays with the driver.
#[derive(Debug, Clone, PartialEq)]
pub struct NewMessage {
    /// Number that the driver has given the message.
    pub id: MessageId,
    /// Class of the message, as an index into [`Settings::classes`](super::Settings::classes).
    /// An unknown class is treated as not idempotent.
    pub class: usize,
    /// Number of the destination that the message must be delivered to.
    pub destination: DestinationId,
    /// Time in microseconds from now until the message's deadline.
    pub time_left: Micros,
    /// Key of the message, where its class is ordered: messages of one key are delivered one at a
    /// time, in order.
    pub key: Option<u64>,
    /// Tenant of the message, as an index into [`Settings::tenants`](super::Settings::tenants).
    pub tenant: Option<usize>,
    /// True if the client has submitted this message before.
    pub resubmitted: bool,
    /// True if the client submits the message again after it was with another sender that died or
    /// did not answer.
    pub previous_sender_failed: bool,
    /// Maximum number of attempts for this message, fixed when the message was accepted. `None`
    /// stands for [`Settings::max_attempts`](super::Settings::max_attempts) at the time at which the
    /// sender receives the message.
    pub max_attempts: Option<usize>,
}

impl NewMessage {
    /// Creates a message without key and tenant that the client submits for the first time.
    pub fn new(id: MessageId, class: usize, destination: DestinationId, time_left: Micros) -> Self {
        NewMessage {
            id,
            class,
            destination,
            time_left,
            key: None,
            tenant: None,
            resubmitted: false,
            previous_sender_failed: false,
            max_attempts: None,
        }
    }
}
