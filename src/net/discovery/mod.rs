//! The platform's agent: the watch of the endpoint list. Beside it: `reading` lists from bytes, `backoff` between tries,
//! `freshness` when the list is too old to send by, `notices` that end undelivered messages.

mod backoff;
mod freshness;
mod notices;
mod reading;

use super::events::DriverInput;
use super::http_client::{CallError, call};
use super::local_errors::RETRY_INTERVAL;
use backoff::SILENCE;
pub use backoff::{Backoff, Shared};
use bytes::Bytes;
pub use freshness::Freshness;
use http_body_util::{BodyExt, Empty};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
pub use notices::{OutcomeNotification, post_notices};
use reading::Reading;
pub use reading::parse_list;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::sync::watch::Receiver;
use tokio::time::{Instant, sleep, timeout_at};

/// An agent of one's own is on this machine and answers at once; a call that is owed gets at least as long.
const ANSWER: Duration = Duration::from_secs(1);
/// What such an agent holds comes right after its head.
const SETTLE: Duration = Duration::from_millis(300);

#[derive(Debug, Error)]
enum WatchError {
    #[error("silent for {SILENCE:?}")]
    Silent,
    #[error("answered {0}")]
    Status(StatusCode),
    #[error("the stream ended")]
    Ended,
    #[error("it told what can't be read: the whole list is asked for")]
    Gap,
    #[error(transparent)]
    Connect(#[from] CallError),
    #[error(transparent)]
    Http(#[from] hyper::Error),
}

/// Watches the list for ever, wherever the agent is, and hands each change on.
pub async fn watch(
    agent: Receiver<SocketAddr>,
    version: u64,
    shared: Shared,
    backoff: Backoff,
    freshness: Freshness,
    inputs: mpsc::UnboundedSender<DriverInput>,
) {
    Watch {
        agent,
        version,
        shared,
        backoff,
        freshness,
        inputs,
        whole: false,
        open: false,
    }
    .run()
    .await;
}

struct Watch {
    agent: Receiver<SocketAddr>,
    version: u64,
    shared: Shared,
    backoff: Backoff,
    freshness: Freshness,
    inputs: mpsc::UnboundedSender<DriverInput>,
    /// Something could not be read: the next watch asks for the whole list, and takes of it what can be read.
    whole: bool,
    /// The last watch has told something.
    open: bool,
}

impl Watch {
    async fn run(mut self) {
        // with a list to serve from, many that start at one moment do not all ask at that moment
        if self.version > 0 {
            sleep(self.backoff.start()).await;
        }
        let mut told = String::new();
        loop {
            self.open = false;
            let address = *self.agent.borrow_and_update();
            let mut moves = self.agent.clone();
            let ended = tokio::select! {
                ended = self.once(address) => ended,
                Ok(()) = moves.changed() => {
                    self.freshness.moved();
                    self.backoff.advance(false);
                    told.clear();
                    continue;
                }
            };
            let Err(error) = ended else { return };
            if self.open {
                self.backoff.advance(false);
                told.clear();
            }
            let text = error.to_string();
            if text != told {
                super::log(format_args!("discovery: watch lost: {text}"));
                told = text;
            }
            // a process that starts has waited for its agent once
            self.freshness.started();
            if matches!(error, WatchError::Gap) {
                continue;
            }
            let delay = match error {
                WatchError::Silent => self.backoff.after_silence(),
                // it has taken its time already
                WatchError::Connect(error) if error.is_local() => RETRY_INTERVAL,
                _ => self.backoff.spread(),
            };
            let moved = back_off_or_move(delay, &mut self.agent).await;
            if moved {
                self.freshness.moved();
            }
            self.backoff.advance(!moved);
        }
    }

    /// Ends well only when nobody takes the changes any more.
    async fn once(&mut self, agent: SocketAddr) -> Result<(), WatchError> {
        let whole = std::mem::take(&mut self.whole);
        let from = if whole { 0 } else { self.version };
        let path = format!("/v1/endpoints?watch=1&from={from}");
        let request = Request::get(path)
            .header(HOST, agent.to_string())
            .body(Empty::<Bytes>::new());
        let began = Instant::now();
        let response = call(agent, request.map_err(CallError::from)?, self.patience()).await;
        let response = response.inspect_err(|error| match error {
            // an agent of one's own that refuses is down, and learns nothing
            CallError::Connect(_) if !self.shared.asked && error.is_rejection() => {
                self.freshness.told()
            }
            error if error.is_rejection() => self.freshness.refused(began),
            _ => self.freshness.silent(began),
        })?;
        match response.status() {
            StatusCode::OK => {}
            // so it ends calls while it is down
            status @ StatusCode::SERVICE_UNAVAILABLE => {
                self.freshness.refused(began);
                return Err(WatchError::Status(status));
            }
            status => {
                self.freshness.silent(began);
                return Err(WatchError::Status(status));
            }
        }
        let mut body = response.into_body();
        let (mut reading, mut last, mut settling) =
            (Reading::default(), Instant::now(), !self.shared.asked);
        loop {
            let wait = if settling { SETTLE } else { SILENCE };
            let frame = match timeout_at(last + wait, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                // so it ends watches when it goes down
                Ok(ended) => {
                    self.freshness.refused(last);
                    return Err(ended
                        .and_then(Result::err)
                        .map_or(WatchError::Ended, WatchError::Http));
                }
                Err(_) if settling => {
                    settling = false;
                    self.freshness.told();
                    continue;
                }
                Err(_) => {
                    self.freshness.silent(last);
                    return Err(WatchError::Silent);
                }
            };
            (last, settling) = (Instant::now(), false);
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let read = reading.take(&data);
            let told = reading.is_between() || !read.lists.is_empty();
            let mut gap = read.unreadable.is_some();
            if let Some(text) = read.unreadable {
                super::log(format_args!("discovery: text skipped: {text}"));
            }
            for update in read.lists {
                let Some(update) = update else {
                    gap = true;
                    super::log(format_args!("discovery: text skipped: it is no list"));
                    continue;
                };
                self.version = update.version;
                if self.inputs.send(DriverInput::EndpointList(update)).is_err() {
                    return Ok(());
                }
            }
            // what changed meanwhile was never read; a second time what can be read must do
            if gap && !whole {
                self.whole = true;
                self.freshness.silent(last);
                return Err(WatchError::Gap);
            }
            if told {
                self.open = true;
                self.freshness.told();
            }
        }
    }

    /// How long a call may take: what was missed is to be here by the time that it counts as told.
    fn patience(&self) -> Duration {
        match self.freshness.counts() {
            Some(counts) => counts
                .saturating_duration_since(Instant::now())
                .clamp(ANSWER, SILENCE),
            None if self.freshness.is_starting() => ANSWER,
            None => SILENCE,
        }
    }
}

/// Backs off before another try, shorter if the agent moves meanwhile, which it tells.
async fn back_off_or_move(delay: Duration, agent: &mut Receiver<SocketAddr>) -> bool {
    tokio::select! {
        () = sleep(delay) => false,
        Ok(()) = agent.changed() => true,
    }
}

#[cfg(test)]
mod compatibility;
