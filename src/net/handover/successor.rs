//! The successor's side: it takes over from the process that holds the lock, if there is one.

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

/// A lock that fails for so long is not to be had.
const LOCK_TIMEOUT: Duration = Duration::from_secs(1);

/// What a predecessor handed over.
pub struct ReceivedHandover {
    /// The decision module.
    pub sender: Box<Sender>,
    /// All else that it holds.
    pub state: HandoverState,
    /// The link to it.
    pub link: Link,
}

/// Who owns the state folder.
pub enum FolderOwnership {
    /// This process: no other held the lock, or its holder can't be known.
    Free,
    /// This process: a predecessor handed over.
    HandedOver(Box<ReceivedHandover>),
    /// A process that started later, which this one must not take over from.
    NewerProcess,
}

/// Waits until this process holds the lock, or a later one does.
pub async fn acquire_folder(lock: &FolderLock, folder: &Path) -> FolderOwnership {
    let mut version = VERSION;
    let mut logged = String::new();
    let started = Instant::now();
    loop {
        match lock.try_acquire() {
            Ok(true) => return FolderOwnership::Free,
            Ok(false) => {}
            Err(_) if started.elapsed() < LOCK_TIMEOUT => {
                sleep(RETRY_DELAY).await;
                continue;
            }
            Err(error) => {
                // where nothing can be locked nobody hands over either, and a start does not wait for it
                net::log(format_args!(
                    "handover: off, the lock is not available: {error}"
                ));
                return FolderOwnership::Free;
            }
        }
        match request_handover(folder, version).await {
            Ok(received) if lock.try_acquire().unwrap_or(false) => {
                return FolderOwnership::HandedOver(Box::new(received));
            }
            Ok(_) => {}
            Err(LinkError::NewerProcess) => return FolderOwnership::NewerProcess,
            Err(error) => {
                if matches!(error, LinkError::Unreadable(_)) {
                    version = JOURNAL_ONLY;
                }
                log_once(&mut logged, &error);
            }
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Logs an error unless it was the last one that was logged.
fn log_once(logged: &mut String, error: &LinkError) {
    let error = error.to_string();
    if error != *logged {
        net::log(format_args!(
            "handover: the predecessor does not hand over: {error}"
        ));
        *logged = error;
    }
}

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
