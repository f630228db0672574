//! The predecessor's side of the handover: listens on the Unix socket for successors.

use super::{Frame, Link, RETRY_DELAY, SOCKET, VERSION};
use crate::net;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::net::UnixListener;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

/// Maximum wait for the first frame on a new connection.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay between two attempts to bind the Unix socket.
const BIND_RETRY_DELAY: Duration = Duration::from_secs(1);

/// A successor's request for the handover.
#[derive(Debug)]
pub enum SuccessorRequest {
    /// The successor uses the same version of the frames, so this process can send its state over the link.
    SameVersion(Link),
    /// The successor uses another version or asked for the journal only, so it restores the messages from the journal.
    OtherVersion,
}

/// Accepts connections of successors and forwards their requests, until the receiver of the requests is dropped. Only
/// the holder of the folder's lock may call this, because it replaces the socket's file.
pub async fn wait_for_successors(folder: PathBuf, requests: mpsc::Sender<SuccessorRequest>) {
    let listener = listen(&folder.join(SOCKET)).await;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(RETRY_DELAY).await;
            continue;
        };
        let mut link = Link::new(stream);
        let request = match timeout(REQUEST_TIMEOUT, link.receive()).await {
            Ok(Ok(Frame::Request { version: VERSION })) => SuccessorRequest::SameVersion(link),
            Ok(Ok(Frame::Request { .. })) => SuccessorRequest::OtherVersion,
            _ => continue,
        };
        if requests.send(request).await.is_err() {
            return;
        }
    }
}

/// Binds the Unix socket, and retries until that succeeds.
async fn listen(path: &Path) -> UnixListener {
    let _ = fs::remove_file(path);
    let mut logged = false;
    loop {
        match UnixListener::bind(path) {
            Ok(listener) => return listener,
            Err(error) => {
                if !logged {
                    net::log(format_args!(
                        "handover: unavailable, the local socket can't be bound; retrying: {error}"
                    ));
                }
                logged = true;
                sleep(BIND_RETRY_DELAY).await;
            }
        }
    }
}

/// Runs the task until it completes or a successor has taken over from this process.
pub async fn run_until_handed_over<F: Future>(mut handed_over: watch::Receiver<bool>, task: F) {
    tokio::select! {
        _ = task => {}
        _ = handed_over.wait_for(|handed_over| *handed_over) => {}
    }
}
