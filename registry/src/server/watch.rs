//! Watches: each has a place in the feed and takes what it lacks when it can.

use super::{Body, No, Server};
use crate::core::Asked;
use crate::locks::lock;
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

/// How often a watch is told that nothing changes.
const EMPTY_LINE: Duration = Duration::from_secs(2);
/// Pieces that wait for one watcher.
const AHEAD: usize = 1;

/// The whole list, if this replica may know it well enough.
///
/// # Errors
/// No leader is known: it may be behind by any time.
pub fn whole(server: &Server) -> Result<Bytes, No> {
    if server.core.seen.borrow().leader.is_none() {
        return Err(No::busy("no leader is known: the list may be old"));
    }
    Ok(lock(&server.core.feed).whole())
}

/// Begins a watch from a version.
///
/// # Errors
/// No leader is known, all places are taken, or this replica is behind the version and can't learn why.
pub async fn begin(
    server: &Arc<Server>,
    from: u64,
    cut: Arc<Notify>,
) -> Result<Response<Body>, No> {
    let place = server.watchers.clone().try_acquire_owned();
    let place = place.map_err(|_| No::busy("all places for watches are taken"))?;
    if server.core.seen.borrow().leader.is_none() {
        return Err(No::busy("no leader is known: the list may be old"));
    }
    // a watcher that has seen more than this replica must not be shown less, unless nobody has more
    if from > lock(&server.core.feed).rev() && server.core.ask(Asked::Read).await? != Answer::Fresh
    {
        return Err(No::busy("this replica is behind that version"));
    }
    let (lines, receiver) = mpsc::channel(AHEAD);
    let server = server.clone();
    tokio::spawn(async move {
        server.watching.fetch_add(1, Ordering::Relaxed);
        if watch(&server, from, lines).await.is_err() {
            server.cut.fetch_add(1, Ordering::Relaxed);
            tracing::info!(from, "a watcher that takes nothing is cut");
            cut.notify_one();
        }
        server.watching.fetch_sub(1, Ordering::Relaxed);
        drop(place);
    });
    Ok(Response::new(Lines(receiver).boxed_unsync()))
}

/// It took nothing for too long.
struct Stalled;

async fn watch(server: &Server, mut at: u64, lines: mpsc::Sender<Bytes>) -> Result<(), Stalled> {
    let mut seen = server.core.seen.clone();
    let mut ending = server.ending.clone();
    let mut empty = interval(EMPTY_LINE);
    empty.set_missed_tick_behavior(MissedTickBehavior::Delay);
    empty.reset();
    loop {
        if seen.borrow_and_update().leader.is_none() || *ending.borrow() {
            return Ok(()); // what it would be told may be old: the watch ends
        }
        let news = lock(&server.core.feed).since(at);
        let send = match news {
            Some((rev, news)) => {
                server
                    .backlog
                    .store(rev.saturating_sub(at), Ordering::Relaxed);
                at = rev;
                news
            }
            None => tokio::select! {
                changed = seen.changed() => if changed.is_err() { return Ok(()) } else { continue },
                _ = ending.changed() => continue,
                () = lines.closed() => return Ok(()),
                _ = empty.tick() => Bytes::from_static(b"\n"),
            },
        };
        match timeout(server.stalled, lines.send(send)).await {
            Ok(Ok(())) => empty.reset(),
            Ok(Err(_)) => return Ok(()),
            Err(_) => return Err(Stalled),
        }
    }
}

/// What a watch has to send.
struct Lines(mpsc::Receiver<Bytes>);

impl hyper::body::Body for Lines {
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
