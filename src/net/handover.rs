//! The handover between the process that ends and the next one: a lock that says who owns the messages, and a local socket
//! in the state folder over which the predecessor sends what it holds.
//!
//! Only the holder of the lock writes the journal and starts calls. The predecessor releases the lock before it sends its
//! state, and waits for [`Frame::Accepted`]; if the link breaks before that, it takes the lock back if it can.

mod link;
mod lock;
mod predecessor;
mod process_age;
mod state;
mod successor;
#[cfg(test)]
mod tests;

use super::events::HandoverMessage;
use hyper::header::HeaderValue;
pub use link::{Link, LinkError, LinkWriter};
pub use lock::FolderLock;
use message_sender::Outcome;
pub use predecessor::{SuccessorRequest, until_handed_over, wait_for_successors};
use serde::{Deserialize, Serialize};
pub use state::{
    AttemptState, CallItemState, CallState, EndpointState, HandoverState, MessageState,
};
use std::time::Duration;
pub use successor::{FolderOwnership, ReceivedHandover, acquire_folder};

/// What the two processes send each other, the state of the decision module included. To be raised with every change
/// of [`Frame`], of what it holds, or of anything that the decision module keeps.
const VERSION: u32 = 10;
/// Asks the predecessor to leave the journal and end, and to hand over nothing else.
const JOURNAL_ONLY: u32 = 0;
/// The local socket, in the state folder.
const SOCKET: &str = "upgrade.sock";
/// Longest time for the handover.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1000);
/// Between two tries at a handover.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// The outcome of calls that were in flight when the process that made them was lost: they may have run.
pub const LOST_CALL_OUTCOME: Outcome = Outcome::Reset;

/// What goes over the link. The order of the variants is their encoding.
#[derive(Debug, Serialize, Deserialize)]
pub enum Frame {
    /// The successor's first frame; stays the first variant for ever.
    Request {
        /// The version of the frames that the successor reads.
        version: u32,
    },
    /// All that the predecessor holds; it has released the lock.
    State(Box<HandoverState>),
    /// The successor has the lock and the journal: from here on it alone owns the messages.
    Accepted,
    /// Whatever the two send each other from then on.
    Message(HandoverMessage),
}

/// The text of an id or key, which is visible ASCII.
pub fn text(value: &HeaderValue) -> String {
    value.to_str().map(str::to_string).unwrap_or_default()
}
