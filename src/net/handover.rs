//! The handover from a running process (the predecessor) to the process that replaces it (the successor). A lock in the
//! state folder decides which process owns the messages, and the predecessor sends its state over a Unix socket in that
//! folder.
//!
//! Only the holder of the lock writes the journal and starts calls. The predecessor releases the lock before it sends
//! its state, and waits for [`Frame::Accepted`]. If the link breaks before that, it tries to acquire the lock again.

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
pub use predecessor::{SuccessorRequest, run_until_handed_over, wait_for_successors};
use serde::{Deserialize, Serialize};
pub use state::{
    AttemptState, CallItemState, CallState, EndpointState, HandoverState, MAY_HAVE_RUN_MARK,
    MessageState,
};
use std::time::Duration;
pub use successor::{FolderOwnership, ReceivedHandover, acquire_folder};

/// Version of the frames, including the encoded state of the decision module. It must be increased with every change of
/// [`Frame`], of the types in it, or of the decision module's state.
const VERSION: u32 = 10;
/// Version number by which a successor asks the predecessor to exit without sending its state, so that the successor
/// restores the messages from the journal alone.
const JOURNAL_ONLY: u32 = 0;
/// File name of the Unix socket in the state folder.
const SOCKET: &str = "upgrade.sock";
/// Maximum duration of the exchange of state between the two processes.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1000);
/// Delay after a failed attempt to acquire the lock, to connect to the predecessor or to accept a successor's
/// connection.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Outcome that is assumed for calls that were in flight when the process that made them ended. The endpoint may have
/// executed them.
pub const LOST_CALL_OUTCOME: Outcome = Outcome::Reset;

/// A frame that one process sends to the other over the link. Each variant is encoded as its position in this enum.
#[derive(Debug, Serialize, Deserialize)]
pub enum Frame {
    /// First frame, from the successor. It must stay the first variant, so that all versions can decode it.
    Request {
        /// Version of the frames that the successor can decode, or 0 to ask for the journal only.
        version: u32,
    },
    /// State of the predecessor, which has released the lock before it sends this frame.
    State(Box<HandoverState>),
    /// The successor has acquired the lock and opened the journal. From this frame on only the successor owns the
    /// messages.
    Accepted,
    /// Message between the two processes after the successor has taken over.
    Message(HandoverMessage),
}

/// Returns the value of a message's id or key header as text. Such a value is always visible ASCII; for any other value
/// the result is empty.
pub fn header_text(value: &HeaderValue) -> String {
    value.to_str().map(str::to_string).unwrap_or_default()
}
