//! The predecessor's side: it listens for processes that want to take over.

use super::{Frame, Link, RETRY_DELAY, SOCKET, VERSION};
use crate::net;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::net::UnixListener;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

/// Longest time for the first frame of one who connects.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Between two tries to listen.
const BIND_RETRY_DELAY: Duration = Duration::from_secs(1);

/// What a process that connects wants.
#[derive(Debug)]
pub enum SuccessorRequest {
    /// It reads what this process hands over.
    SameVersion(Link),
    /// It reads another version: the journal must do.
    OtherVersion,
}

/// Waits for successors, for ever; only the holder of the lock may.
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

/// Listens on the local socket, as soon as it is to be had.
async fn listen(path: &Path) -> UnixListener {
    let _ = fs::remove_file(path);
    let mut logged = false;
    loop {
        match UnixListener::bind(path) {
            Ok(listener) => return listener,
            Err(error) => {
                if !logged {
                    net::log(format_args!(
                        "handover: off, the socket is not available: {error}"
                    ));
                }
                logged = true;
                sleep(BIND_RETRY_DELAY).await;
            }
        }
    }
}

/// Runs the task until it ends or the process has handed over.
pub async fn until_handed_over<F: Future>(mut handed_over: watch::Receiver<bool>, task: F) {
    tokio::select! {
        _ = task => {}
        _ = handed_over.wait_for(|handed_over| *handed_over) => {}
    }
}
