//! The queues of keys.

use crate::interface::{MessageId, Micros};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The messages of one key, which go one at a time.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct KeyQueue {
    /// In the order of arrival.
    pub messages: VecDeque<MessageId>,
    /// No message of the key starts before.
    pub backoff_until: Micros,
}
