//! The successor's side of the handover: takes over from the process that holds the state folder's lock, if any.

use super::process_age::started_after_this;
use super::{
    FolderLock, Frame, HANDOVER_TIMEOUT, HandoverState, JOURNAL_ONLY, Link, LinkError, RETRY_DELAY,
    SOCKET, VERSION,
};
use crate::net;
use message_sender::Sender;
use std::path::Path;
use std::time::Duration;
use tokio::net::UnixStream;
use tokio::time::{Instant, sleep, timeout};

/// Time for which errors of locking are retried. After it the process starts without the lock.
const LOCK_TIMEOUT: Duration = Duration::from_secs(1);

/// State that a predecessor has sent, and the link to it.
pub struct ReceivedHandover {
    /// The predecessor's decision module, decoded.
    pub sender: Box<Sender>,
    /// The predecessor's other state. Its `sender` field is empty, as that is decoded already.
    pub state: HandoverState,
    /// Link to the predecessor, for the messages that follow the handover.
    pub link: Link,
}

/// Which process owns the state folder, and whether a predecessor handed over its state.
pub enum FolderOwnership {
    /// This process owns the folder without a handover: no other process holds the lock, or the folder can't be locked.
    WithoutHandover,
    /// This process owns the folder after a predecessor handed over its state.
    HandedOver(Box<ReceivedHandover>),
    /// A process that started later owns the folder, so this process must not take over.
    NewerProcess,
}

/// Waits until this process owns the state folder, or finds that a process that started later owns it.
pub async fn acquire_folder(lock: &FolderLock, folder: &Path) -> FolderOwnership {
    let mut version = VERSION;
    let mut logged_error = String::new();
    let started_at = Instant::now();
    loop {
        match lock.try_acquire() {
            Ok(true) => return FolderOwnership::WithoutHandover,
            Ok(false) => {}
            Err(_) if started_at.elapsed() < LOCK_TIMEOUT => {
                sleep(RETRY_DELAY).await;
                continue;
            }
            Err(error) => {
                // locking fails, and LOCK_TIMEOUT has passed since the first attempt: the process starts without the
                // lock and without a handover
                net::log(format_args!(
                    "handover: disabled, the state folder can't be locked: {error}"
                ));
                return FolderOwnership::WithoutHandover;
            }
        }
        match request_handover(folder, version).await {
            Ok(received) if lock.try_acquire().unwrap_or(false) => {
                return FolderOwnership::HandedOver(Box::new(received));
            }
            Ok(_) => {}
            Err(LinkError::NewerProcess) => return FolderOwnership::NewerProcess,
            Err(error) => {
                if matches!(error, LinkError::Codec(_)) {
                    version = JOURNAL_ONLY;
                }
                log_once(&mut logged_error, &error);
            }
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Logs an error of the handover, unless the last logged error has the same text.
fn log_once(logged_error: &mut String, error: &LinkError) {
    let error = error.to_string();
    if error != *logged_error {
        net::log(format_args!(
            "handover: no state received from the predecessor; retrying: {error}"
        ));
        *logged_error = error;
    }
}

/// Connects to the predecessor and receives its state, in the given version of the frames.
async fn request_handover(folder: &Path, version: u32) -> Result<ReceivedHandover, LinkError> {
    let exchange = async {
        let stream = UnixStream::connect(folder.join(SOCKET)).await?;
        if stream.peer_cred()?.pid().is_some_and(started_after_this) {
            return Err(LinkError::NewerProcess);
        }
        let mut link = Link::new(stream);
        link.send(&Frame::Request { version }).await?;
        match link.receive().await? {
            Frame::State(mut state) => {
                let sender = std::mem::take(&mut state.sender);
                Ok(ReceivedHandover {
                    sender: Box::new(postcard::from_bytes(&sender)?),
                    state: *state,
                    link,
                })
            }
            _ => Err(LinkError::Unexpected),
        }
    };
    timeout(HANDOVER_TIMEOUT, exchange)
        .await
        .map_err(|_| LinkError::Timeout)?
}
