//! The HTTP/1.1 API for clients: discovery and outcome notifications as the protocol page has them, writes, leases, reports.
//! A follower forwards what only the leader can answer.

mod api;
mod cluster;
mod endpoints;
mod forwarding;
mod freeze;
mod ledger;
mod outcomes;
mod quotas;
mod routes;
mod rules;
mod splits;
mod watch;

use crate::replica_thread::ReplicaHandle;
use api::{ApiError, ApiRequest, Body, RETRY_AFTER_SECONDS};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore, watch as tokio_watch};
use tokio::time::{sleep, timeout};

/// The longest time for a request's head, and so for a connection to stand idle.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);
/// The pause after a connection could not be accepted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// The longest time to write the response to a client that is rejected at once.
const REJECT_TIMEOUT: Duration = Duration::from_millis(200);
/// The longest time for a connection's last response during a shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(500);
/// Bytes of a request that are buffered.
const READ_BUFFER: usize = 64 * 1024;

/// What the connections share.
pub struct Server {
    /// The replica.
    pub replica: ReplicaHandle,
    /// The replica's id.
    pub id: u64,
    /// One permit for each watch.
    pub watch_permits: Arc<Semaphore>,
    /// How long a watcher may take nothing before its connection is closed.
    pub stall_timeout: Duration,
    /// Figures for the status report.
    pub metrics: ServerMetrics,
    /// Turns true when the process shuts down.
    pub shutdown: tokio_watch::Receiver<bool>,
}

/// Figures for the status report.
#[derive(Debug, Default)]
pub struct ServerMetrics {
    /// Watches that were closed because their watcher took nothing.
    pub stalled_watches: AtomicU64,
    /// VersionedRules that the last watcher to be served was behind.
    pub watch_backlog: AtomicU64,
    /// Watches that are open.
    pub open_watches: AtomicUsize,
    /// Notifications of messages that failed.
    pub failed_outcomes: AtomicU64,
    /// Notifications of messages that were returned.
    pub returned_outcomes: AtomicU64,
}

/// Accepts up to `max_clients` connections at once, until the process shuts down.
pub async fn serve(listener: TcpListener, server: Arc<Server>, max_clients: usize) {
    let permits = Arc::new(Semaphore::new(max_clients));
    let mut shutdown = server.shutdown.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = shutdown.wait_for(|shutdown| *shutdown) => return,
        };
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_BACKOFF).await; // no descriptor is free just now
            continue;
        };
        match permits.clone().try_acquire_owned() {
            Ok(permit) => {
                let server = server.clone();
                tokio::spawn(async move {
                    serve_connection(stream, server).await;
                    drop(permit);
                });
            }
            Err(_) => drop(tokio::spawn(reject_connection(stream))),
        }
    }
}

async fn reject_connection(mut stream: TcpStream) {
    let text = format!(
        "HTTP/1.1 503 Service Unavailable\r\nRetry-After: {RETRY_AFTER_SECONDS}\r\nContent-Length: 0\r\n\
         Connection: close\r\n\r\n"
    );
    // a client that does not read it finds its connection closed
    let _ = timeout(REJECT_TIMEOUT, stream.write_all(text.as_bytes())).await;
}

async fn serve_connection(stream: TcpStream, server: Arc<Server>) {
    // without it responses still come, only later
    let _ = stream.set_nodelay(true);
    let stalled = Arc::new(Notify::new());
    let mut shutdown = server.shutdown.clone();
    let service = service_fn(|request| {
        let server = server.clone();
        let stalled = stalled.clone();
        async move { Ok::<_, Infallible>(respond(request, server, stalled).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(READ_BUFFER)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        // how a client leaves is its own affair
        _ = &mut connection => {}
        () = stalled.notified() => {}
        () = async { drop(shutdown.wait_for(|shutdown| *shutdown).await) } => {
            connection.as_mut().graceful_shutdown();
            let _ = timeout(SHUTDOWN_TIMEOUT, connection).await;
        }
    }
}

/// Answers one request. `stalled` closes the connection of a watcher that takes nothing.
async fn respond(
    request: Request<Incoming>,
    server: Arc<Server>,
    stalled: Arc<Notify>,
) -> Response<Body> {
    let max_body = routes::max_body(request.uri().path());
    let response = match ApiRequest::read(request, max_body).await {
        Ok(request) => routes::handle(&request, &server, stalled).await,
        Err(error) => Err(error),
    };
    response.unwrap_or_else(ApiError::into_response)
}
