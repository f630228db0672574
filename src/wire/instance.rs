//! State of one simulated sender.

use super::numbered::NameNumbers;
use super::settings::Names;
use crate::decisions::Sender;
use crate::interface::Event;

/// Simulated sender, called an instance in the line protocol.
pub(super) struct Instance {
    /// Decision module of the sender.
    pub(super) sender: Sender,
    /// Names that the settings define, for example of zones and classes.
    pub(super) names: Names,
    /// Message names with the numbers that the decision module uses.
    pub(super) messages: NameNumbers,
    /// Endpoint names with the numbers that the decision module uses.
    pub(super) endpoints: NameNumbers,
    /// Events of the current batch, handled when the batch ends.
    pub(super) events: Vec<Event>,
}

impl Instance {
    /// Creates an instance without messages, endpoints and events.
    pub(super) fn new(sender: Sender, names: Names) -> Self {
        Instance {
            sender,
            names,
            messages: NameNumbers::default(),
            endpoints: NameNumbers::default(),
            events: Vec::new(),
        }
    }
}
