//! Queues of messages that share a key.

use crate::interface::{MessageId, Micros};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Messages of one key, which are sent one at a time.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct KeyQueue {
    /// Ids of the pending messages of the key, in the order of arrival.
    pub messages: VecDeque<MessageId>,
    /// Time before which no message of the key gets its first attempt.
    pub backoff_until: Micros,
}
