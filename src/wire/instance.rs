//! One instance on the wire.

use super::numbered::NameNumbers;
use super::settings::Names;
use crate::decisions::Sender;
use crate::interface::Event;

/// One instance: its module, its names and the events that wait for the end of the batch.
pub(super) struct Instance {
    pub(super) sender: Sender,
    pub(super) names: Names,
    pub(super) messages: NameNumbers,
    pub(super) endpoints: NameNumbers,
    pub(super) events: Vec<Event>,
}

impl Instance {
    /// An instance that has been told nothing yet.
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
