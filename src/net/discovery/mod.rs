//! Client of discovery: watches the endpoint list and posts outcome notifications.
//!
//! `reading` parses lists, `backoff` spaces the calls to discovery, `freshness` decides when the list is too old to send
//! by, and `notices` posts the notifications that end undelivered messages.

mod backoff;
mod binding_times;
mod freshness;
mod notices;
mod reading;

use super::events::DriverInput;
use super::http_client::{CallError, call};
use super::local_errors::RETRY_INTERVAL;
use backoff::SILENCE_TIMEOUT;
pub use backoff::{Backoff, DiscoveryClients};
pub use binding_times::{BindingTimesFile, MAX_DISK_BYTES};
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

/// Minimum timeout of a call to discovery. The sender's own agent runs on the local host and answers within this time;
/// a call to a common discovery gets at least this time, even if the sender will be held to missed changes sooner.
const MIN_CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that a local agent has to send its stored list after the head of its answer. An agent that sends nothing in this
/// time has no newer list.
const INITIAL_LIST_WAIT: Duration = Duration::from_millis(300);

#[derive(Debug, Error)]
enum WatchError {
    #[error("silent for {SILENCE_TIMEOUT:?}")]
    Silent,
    #[error("answered {0}")]
    Status(StatusCode),
    #[error("discovery ended the stream")]
    Ended,
    #[error("received text that can't be parsed; requesting the full list")]
    Unreadable,
    #[error(transparent)]
    Connect(#[from] CallError),
    #[error(transparent)]
    Http(#[from] hyper::Error),
}

/// Watches the endpoint list until the receiver of `inputs` is dropped and sends each received list there. Starts a new
/// watch after each failure, and at the new address when the address in `agent` changes. A list of over `max_list_bytes`
/// is unreadable.
pub async fn watch(
    agent: Receiver<SocketAddr>,
    version: u64,
    max_list_bytes: usize,
    clients: DiscoveryClients,
    backoff: Backoff,
    freshness: Freshness,
    inputs: mpsc::UnboundedSender<DriverInput>,
) {
    Watch {
        agent,
        version,
        max_list_bytes,
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
    /// Maximum length in bytes of a list that is sent in one piece.
    max_list_bytes: usize,
    clients: DiscoveryClients,
    backoff: Backoff,
    freshness: Freshness,
    inputs: mpsc::UnboundedSender<DriverInput>,
    /// True if the last watch received text that could not be parsed. The next watch then requests the full list and uses
    /// those entries of it that can be parsed.
    full_list_needed: bool,
    /// True if the last watch has received a complete list or an empty line, which resets the backoff.
    list_received: bool,
}

impl Watch {
    async fn run(mut self) {
        // a sender that already knows a list can wait, so senders that start together spread their first calls
        if self.version > 0 {
            let delay = self.backoff.start_delay();
            self.wait_unless_moved(delay).await;
        }
        let mut logged_error = String::new();
        loop {
            self.list_received = false;
            if self.has_moved() {
                self.freshness.moved();
                self.backoff.advance(false);
                logged_error.clear();
            }
            let address = *self.agent.borrow_and_update();
            let mut address_changes = self.agent.clone();
            let result = tokio::select! {
                result = self.watch_once(address) => result,
                Ok(()) = address_changes.changed() => continue,
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
            // a starting process waits for one call to its agent before it sends by the known list
            self.freshness.call_ended();
            if matches!(error, WatchError::Unreadable) {
                continue;
            }
            let delay = match error {
                WatchError::Silent => self.backoff.delay_after_silence(),
                // connecting has already retried until the call's timeout, so after a failure of the local host the
                // delay is short and does not grow
                WatchError::Connect(error) if error.is_local() => RETRY_INTERVAL,
                _ => self.backoff.next_delay(),
            };
            self.wait_unless_moved(delay).await;
            self.backoff.advance(true);
        }
    }

    /// Returns true if the agent's address has changed since the last watch was opened.
    fn has_moved(&self) -> bool {
        self.agent.has_changed().unwrap_or(false)
    }

    /// Waits for `delay`, or until the agent's address changes.
    async fn wait_unless_moved(&self, delay: Duration) {
        let mut address_changes = self.agent.clone();
        tokio::select! {
            () = sleep(delay) => {}
            Ok(()) = address_changes.changed() => {}
        }
    }

    /// Runs one watch until it fails. Returns `Ok` only if the receiver of `inputs` has been dropped.
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
            // a local agent that refuses connections is down and receives no changes
            CallError::Connect(_) if !self.clients.is_common_service && error.is_rejection() => {
                self.freshness.agent_is_quiet()
            }
            error if error.is_rejection() => self.freshness.unavailable(call_started),
            _ => self.freshness.silent(call_started),
        })?;
        match response.status() {
            StatusCode::OK => {}
            // discovery answers calls with 503 while it is down
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
            ListReader::new(self.max_list_bytes),
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
                // discovery ends its open watches when it goes down, so it counts as unavailable and not as silent
                Ok(ended) => {
                    self.freshness.unavailable(last_data_at);
                    return Err(ended
                        .and_then(Result::err)
                        .map_or(WatchError::Ended, WatchError::Http));
                }
                Err(_) if awaits_initial_list => {
                    awaits_initial_list = false;
                    self.freshness.agent_is_quiet();
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
                    super::log(format_args!(
                        "discovery: text skipped: not an endpoint list"
                    ));
                    continue;
                };
                self.version = update.version;
                if self.inputs.send(DriverInput::EndpointList(update)).is_err() {
                    return Ok(());
                }
            }
            // the unparsed text may hold changes, so the full list is requested; if that can't be parsed completely
            // either, its readable entries are used
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

    /// Returns the timeout of the next call. The call should end before the platform holds the sender to changes that it
    /// has missed.
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

#[cfg(test)]
mod compatibility;
