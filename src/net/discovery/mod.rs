//! The platform's agent: the watch of the endpoint list. Beside it: `reading` lists from bytes, `backoff` between tries,
//! `freshness` when the list is too old to send by, `notices` that end undelivered messages.

mod backoff;
mod freshness;
mod notices;
mod reading;

use super::events::DriverInput;
use super::http_client::{CallError, call};
use super::local_errors::RETRY_INTERVAL;
use backoff::SILENCE_TIMEOUT;
pub use backoff::{Backoff, DiscoveryClients};
use bytes::Bytes;
pub use freshness::Freshness;
use http_body_util::{BodyExt, Empty};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
pub use notices::{OutcomeNotification, post_notices};
use reading::ListReader;
pub use reading::parse_list;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::sync::watch::Receiver;
use tokio::time::{Instant, sleep, timeout_at};

/// An agent of one's own is on this machine and answers at once; a call that is owed gets at least as long.
const MIN_CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// What such an agent holds comes right after its head.
const INITIAL_LIST_WAIT: Duration = Duration::from_millis(300);

#[derive(Debug, Error)]
enum WatchError {
    #[error("silent for {SILENCE_TIMEOUT:?}")]
    Silent,
    #[error("answered {0}")]
    Status(StatusCode),
    #[error("the stream ended")]
    Ended,
    #[error("it told what can't be read: the whole list is asked for")]
    Unreadable,
    #[error(transparent)]
    Connect(#[from] CallError),
    #[error(transparent)]
    Http(#[from] hyper::Error),
}

/// Watches the list for ever, wherever the agent is, and hands each change on.
pub async fn watch(
    agent: Receiver<SocketAddr>,
    version: u64,
    clients: DiscoveryClients,
    backoff: Backoff,
    freshness: Freshness,
    inputs: mpsc::UnboundedSender<DriverInput>,
) {
    Watch {
        agent,
        version,
        clients,
        backoff,
        freshness,
        inputs,
        full_list_needed: false,
        list_received: false,
    }
    .run()
    .await;
}

struct Watch {
    agent: Receiver<SocketAddr>,
    version: u64,
    clients: DiscoveryClients,
    backoff: Backoff,
    freshness: Freshness,
    inputs: mpsc::UnboundedSender<DriverInput>,
    /// Something could not be read: the next watch asks for the whole list, and takes of it what can be read.
    full_list_needed: bool,
    /// The last watch has told something.
    list_received: bool,
}

impl Watch {
    async fn run(mut self) {
        // with a list to serve from, many that start at one moment do not all ask at that moment
        if self.version > 0 {
            sleep(self.backoff.start_delay()).await;
        }
        let mut logged_error = String::new();
        loop {
            self.list_received = false;
            let address = *self.agent.borrow_and_update();
            let mut address_changes = self.agent.clone();
            let result = tokio::select! {
                result = self.watch_once(address) => result,
                Ok(()) = address_changes.changed() => {
                    self.freshness.moved();
                    self.backoff.advance(false);
                    logged_error.clear();
                    continue;
                }
            };
            let Err(error) = result else { return };
            if self.list_received {
                self.backoff.advance(false);
                logged_error.clear();
            }
            let text = error.to_string();
            if text != logged_error {
                super::log(format_args!("discovery: watch lost: {text}"));
                logged_error = text;
            }
            // a process that starts has waited for its agent once
            self.freshness.first_try_ended();
            if matches!(error, WatchError::Unreadable) {
                continue;
            }
            let delay = match error {
                WatchError::Silent => self.backoff.delay_after_silence(),
                // it has taken its time already
                WatchError::Connect(error) if error.is_local() => RETRY_INTERVAL,
                _ => self.backoff.next_delay(),
            };
            let moved = back_off_or_move(delay, &mut self.agent).await;
            if moved {
                self.freshness.moved();
            }
            self.backoff.advance(!moved);
        }
    }

    /// Ends well only when nobody takes the changes any more.
    async fn watch_once(&mut self, agent: SocketAddr) -> Result<(), WatchError> {
        let requests_full = std::mem::take(&mut self.full_list_needed);
        let from = if requests_full { 0 } else { self.version };
        let path = format!("/v1/endpoints?watch=1&from={from}");
        let request = Request::get(path)
            .header(HOST, agent.to_string())
            .body(Empty::<Bytes>::new());
        let call_started = Instant::now();
        let response = call(
            agent,
            request.map_err(CallError::from)?,
            self.call_timeout(),
        )
        .await;
        let response = response.inspect_err(|error| match error {
            // an agent of one's own that refuses is down, and learns nothing
            CallError::Connect(_) if !self.clients.is_common_service && error.is_rejection() => {
                self.freshness.received()
            }
            error if error.is_rejection() => self.freshness.unavailable(call_started),
            _ => self.freshness.silent(call_started),
        })?;
        match response.status() {
            StatusCode::OK => {}
            // so it ends calls while it is down
            status @ StatusCode::SERVICE_UNAVAILABLE => {
                self.freshness.unavailable(call_started);
                return Err(WatchError::Status(status));
            }
            status => {
                self.freshness.silent(call_started);
                return Err(WatchError::Status(status));
            }
        }
        let mut body = response.into_body();
        let (mut reader, mut last_data_at, mut awaits_initial_list) = (
            ListReader::default(),
            Instant::now(),
            !self.clients.is_common_service,
        );
        loop {
            let wait = if awaits_initial_list {
                INITIAL_LIST_WAIT
            } else {
                SILENCE_TIMEOUT
            };
            let frame = match timeout_at(last_data_at + wait, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                // so it ends watches when it goes down
                Ok(ended) => {
                    self.freshness.unavailable(last_data_at);
                    return Err(ended
                        .and_then(Result::err)
                        .map_or(WatchError::Ended, WatchError::Http));
                }
                Err(_) if awaits_initial_list => {
                    awaits_initial_list = false;
                    self.freshness.received();
                    continue;
                }
                Err(_) => {
                    self.freshness.silent(last_data_at);
                    return Err(WatchError::Silent);
                }
            };
            (last_data_at, awaits_initial_list) = (Instant::now(), false);
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let read = reader.read(&data);
            let is_complete = reader.is_at_value_boundary() || !read.lists.is_empty();
            let mut unreadable = read.unreadable.is_some();
            if let Some(text) = read.unreadable {
                super::log(format_args!("discovery: text skipped: {text}"));
            }
            for update in read.lists {
                let Some(update) = update else {
                    unreadable = true;
                    super::log(format_args!("discovery: text skipped: it is no list"));
                    continue;
                };
                self.version = update.version;
                if self.inputs.send(DriverInput::EndpointList(update)).is_err() {
                    return Ok(());
                }
            }
            // what changed meanwhile was never read; a second time what can be read must do
            if unreadable && !requests_full {
                self.full_list_needed = true;
                self.freshness.silent(last_data_at);
                return Err(WatchError::Unreadable);
            }
            if is_complete {
                self.list_received = true;
                self.freshness.received();
            }
        }
    }

    /// How long a call may take: what was missed is to be here by the time that it counts as told.
    fn call_timeout(&self) -> Duration {
        match self.freshness.binding_from() {
            Some(binding_from) => binding_from
                .saturating_duration_since(Instant::now())
                .clamp(MIN_CALL_TIMEOUT, SILENCE_TIMEOUT),
            None if self.freshness.is_starting() => MIN_CALL_TIMEOUT,
            None => SILENCE_TIMEOUT,
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
