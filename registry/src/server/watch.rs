//! Watches of the endpoint list: each has a version, and takes the changes since when it can.

use super::Server;
use super::api::{ApiError, ApiResult};
use crate::commands::ClientRequest;
use crate::lock::lock;
use crate::replica::Answer;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Frame;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio::time::{MissedTickBehavior, interval, timeout};

/// The interval of empty lines on a watch without changes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Lines that wait for one watcher.
const LINE_BUFFER: usize = 1;

/// The whole list.
///
/// # Errors
/// No leader is known: this replica may be behind by any time.
pub(super) fn full_list(server: &Server) -> Result<Bytes, ApiError> {
    if server.replica.view.borrow().leader.is_none() {
        return Err(ApiError::ListMayBeOld);
    }
    Ok(lock(&server.replica.broadcaster).full_list())
}

/// Opens a watch from a version. `stalled` is notified when its watcher takes nothing for too long.
///
/// # Errors
/// No leader is known, too many watches are open, or this replica is behind the version and can't learn why.
pub(super) async fn open(server: &Arc<Server>, from: u64, stalled: Arc<Notify>) -> ApiResult {
    let permit = server.watch_permits.clone().try_acquire_owned();
    let permit = permit.map_err(|_| ApiError::TooManyWatches)?;
    if server.replica.view.borrow().leader.is_none() {
        return Err(ApiError::ListMayBeOld);
    }
    // a watcher that has seen more than this replica must not be shown less, unless nobody has more
    let ahead = from > lock(&server.replica.broadcaster).rev();
    if ahead && server.replica.request(ClientRequest::Read).await? != Answer::UpToDate {
        return Err(ApiError::Behind);
    }
    let (lines, receiver) = mpsc::channel(LINE_BUFFER);
    let server = server.clone();
    tokio::spawn(async move {
        let metrics = &server.metrics;
        metrics.open_watches.fetch_add(1, Ordering::Relaxed);
        if run(&server, from, lines).await.is_err() {
            metrics.stalled_watches.fetch_add(1, Ordering::Relaxed);
            tracing::info!(from, "a stalled watcher's connection is closed");
            stalled.notify_one();
        }
        metrics.open_watches.fetch_sub(1, Ordering::Relaxed);
        drop(permit);
    });
    Ok(Response::new(LineStream(receiver).boxed_unsync()))
}

/// The watcher took nothing for too long.
struct Stalled;

async fn run(server: &Server, from: u64, lines: mpsc::Sender<Bytes>) -> Result<(), Stalled> {
    let mut known = from;
    let mut view = server.replica.view.clone();
    let mut shutdown = server.shutdown.clone();
    let mut keep_alive = interval(KEEP_ALIVE_INTERVAL);
    keep_alive.set_missed_tick_behavior(MissedTickBehavior::Delay);
    keep_alive.reset();
    loop {
        if view.borrow_and_update().leader.is_none() || *shutdown.borrow() {
            return Ok(()); // what would follow may be old: the watch ends
        }
        let update = lock(&server.replica.broadcaster).changes_since(known);
        let line = match update {
            Some(update) => {
                let backlog = update.rev.saturating_sub(known);
                server
                    .metrics
                    .watch_backlog
                    .store(backlog, Ordering::Relaxed);
                known = update.rev;
                update.line
            }
            None => tokio::select! {
                changed = view.changed() => if changed.is_err() { return Ok(()) } else { continue },
                _ = shutdown.changed() => continue,
                () = lines.closed() => return Ok(()),
                _ = keep_alive.tick() => Bytes::from_static(b"\n"),
            },
        };
        match timeout(server.stall_timeout, lines.send(line)).await {
            Ok(Ok(())) => keep_alive.reset(),
            Ok(Err(_)) => return Ok(()),
            Err(_) => return Err(Stalled),
        }
    }
}

/// The lines of a watch, as a response's body.
struct LineStream(mpsc::Receiver<Bytes>);

impl hyper::body::Body for LineStream {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0
            .poll_recv(context)
            .map(|line| line.map(|line| Ok(Frame::data(line))))
    }
}
