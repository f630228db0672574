//! What clients ask, over HTTP/1.1: discovery and notices as the protocol page has them, writing, leases, reports. A follower
//! passes on what only a leader can answer.

mod freeze;
mod ledger;
mod routes;
mod watch;

use crate::core::Core;
use crate::exchange::exchange;
use crate::replica::Answer;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::body::Incoming;
use hyper::header::{ALLOW, CONNECTION, CONTENT_TYPE, HeaderValue, IF_MATCH, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore, watch as seen};
use tokio::time::{sleep, timeout};

/// Longest time for a request's head, which is also how long a connection may stand idle, and for its body.
const HEAD_TIME: Duration = Duration::from_secs(30);
const BODY_TIME: Duration = Duration::from_secs(2);
/// Longest time in which another replica answers what is passed on to it.
const PASSED_ON: Duration = Duration::from_secs(2);
/// What a client that finds no room is told to wait, s.
const COME_BACK: &str = "0.5";
/// A request that another replica passed on goes no further.
const HOP: &str = "x-registry-hop";

type Body = UnsyncBoxBody<Bytes, Infallible>;

/// What the connections share.
pub struct Server {
    /// The replica.
    pub core: Core,
    /// Its number.
    pub id: u64,
    /// Places for watches.
    pub watchers: Arc<Semaphore>,
    /// How long a watch may take nothing.
    pub stalled: Duration,
    /// Watches that were cut for taking nothing.
    pub cut: AtomicU64,
    /// Versions that the furthest watcher is behind, as seen last.
    pub backlog: AtomicU64,
    /// Watches.
    pub watching: AtomicUsize,
    /// Notices by state: failed, returned.
    pub notices: [AtomicU64; 2],
    /// Turns true when the process ends.
    pub ending: seen::Receiver<bool>,
}

/// Accepts clients, so many at once, until the process ends.
pub async fn serve(listener: TcpListener, server: Arc<Server>, clients: usize) {
    let places = Arc::new(Semaphore::new(clients));
    let mut ending = server.ending.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = ending.wait_for(|ending| *ending) => return,
        };
        let Ok((stream, _)) = accepted else {
            sleep(Duration::from_millis(20)).await; // no descriptor is free just now
            continue;
        };
        match places.clone().try_acquire_owned() {
            Ok(place) => {
                let server = server.clone();
                tokio::spawn(async move {
                    serve_one(stream, server).await;
                    drop(place);
                });
            }
            Err(_) => drop(tokio::spawn(turn_away(stream))),
        }
    }
}

async fn turn_away(mut stream: TcpStream) {
    let text = format!(
        "HTTP/1.1 503 Service Unavailable\r\nRetry-After: {COME_BACK}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    );
    // one that does not read it finds its connection closed
    let _ = timeout(
        Duration::from_millis(200),
        stream.write_all(text.as_bytes()),
    )
    .await;
}

async fn serve_one(stream: TcpStream, server: Arc<Server>) {
    // without it answers still come, only later
    let _ = stream.set_nodelay(true);
    let cut = Arc::new(Notify::new());
    let mut ending = server.ending.clone();
    let service = service_fn(|request| {
        let (server, cut) = (server.clone(), cut.clone());
        async move { Ok::<_, Infallible>(answer(request, server, cut).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIME)
        .max_buf_size(64 * 1024)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        // how a client leaves is its own affair
        _ = &mut connection => {}
        () = cut.notified() => {}
        () = async { drop(ending.wait_for(|ending| *ending).await) } => {
            connection.as_mut().graceful_shutdown();
            let _ = timeout(Duration::from_millis(500), connection).await;
        }
    }
}

/// A no: the status, and a line that names what is wrong.
#[derive(Debug)]
struct No {
    status: StatusCode,
    what: String,
}

impl No {
    fn new(status: StatusCode, what: impl ToString) -> Self {
        No {
            status,
            what: what.to_string(),
        }
    }

    fn bad(what: impl ToString) -> Self {
        No::new(StatusCode::BAD_REQUEST, what)
    }

    fn busy(what: impl ToString) -> Self {
        No::new(StatusCode::SERVICE_UNAVAILABLE, what)
    }
}

impl From<crate::core::Overloaded> for No {
    fn from(_: crate::core::Overloaded) -> Self {
        No::busy("too many questions wait")
    }
}

/// A request, read whole.
struct Asked {
    method: Method,
    path: String,
    query: String,
    if_match: Option<HeaderValue>,
    hop: bool,
    content_type: Option<HeaderValue>,
    body: Bytes,
}

async fn answer(
    request: Request<Incoming>,
    server: Arc<Server>,
    cut: Arc<Notify>,
) -> Response<Body> {
    let answer = match read(request).await {
        Ok(asked) => routes::answer(&asked, &server, cut).await,
        Err(no) => Err(no),
    };
    answer.unwrap_or_else(|No { status, what }| {
        let mut response = text(status, format!("{what}\n"));
        let headers = response.headers_mut();
        match status {
            StatusCode::SERVICE_UNAVAILABLE => {
                headers.insert(RETRY_AFTER, HeaderValue::from_static(COME_BACK));
            }
            StatusCode::METHOD_NOT_ALLOWED => {
                headers.insert(ALLOW, HeaderValue::from_static("GET, POST, PUT, DELETE"));
            }
            // the rest of the body is not read
            StatusCode::PAYLOAD_TOO_LARGE | StatusCode::REQUEST_TIMEOUT => {
                headers.insert(CONNECTION, HeaderValue::from_static("close"));
            }
            _ => {}
        }
        response
    })
}

async fn read(request: Request<Incoming>) -> Result<Asked, No> {
    let (head, body) = request.into_parts();
    let most = routes::body_most(head.uri.path());
    let body = http_body_util::Limited::new(body, most).collect();
    let body = match timeout(BODY_TIME, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            return Err(No::new(
                StatusCode::PAYLOAD_TOO_LARGE,
                format!("the body is over {most} bytes"),
            ));
        }
        Ok(Err(_)) => return Err(No::bad("the body is malformed")),
        Err(_) => {
            return Err(No::new(
                StatusCode::REQUEST_TIMEOUT,
                "the body did not come in time",
            ));
        }
    };
    Ok(Asked {
        method: head.method,
        path: head.uri.path().to_string(),
        query: head.uri.query().unwrap_or_default().to_string(),
        if_match: head.headers.get(IF_MATCH).cloned(),
        hop: head.headers.contains_key(HOP),
        content_type: head.headers.get(CONTENT_TYPE).cloned(),
        body,
    })
}

fn text(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Full::from(text.into()).boxed_unsync());
    *response.status_mut() = status;
    response
}

fn json(value: &serde_json::Value) -> Response<Body> {
    let mut response = text(StatusCode::OK, format!("{value}\n"));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

impl Server {
    /// What an answer that is not the wanted one means for the client; a leader that is known is asked in this one's place.
    async fn otherwise(&self, asked: &Asked, answer: Answer) -> Result<Response<Body>, No> {
        use crate::state::Refused;
        match answer {
            Answer::NotLeader(Some(leader)) if leader != self.id && !asked.hop => {
                let place = self.core.seen.borrow().places.get(&leader).copied();
                let place = place.ok_or_else(|| No::busy("the leader's place is not known"))?;
                pass_on(place.clients, asked).await
            }
            Answer::NotLeader(_) => Err(No::busy("no leader is known")),
            Answer::Unsure => Err(No::new(
                StatusCode::GATEWAY_TIMEOUT,
                "the leader changed: it may be done or not",
            )),
            Answer::Busy(what) => Err(No::busy(what)),
            Answer::OtherFloor => Err(No::new(
                StatusCode::CONFLICT,
                "the floor is not the one that is agreed here",
            )),
            Answer::Refused(refused) => {
                let status = match &refused {
                    Refused::Version { .. } => StatusCode::PRECONDITION_FAILED,
                    Refused::Proposal(versioned_config::ProposalError::Stale { .. }) => {
                        StatusCode::PRECONDITION_FAILED
                    }
                    Refused::Ledger(error) => return Err(ledger::no(error)),
                    Refused::Freeze(error) => return Err(freeze::no(error)),
                    Refused::Unknown(_) | Refused::NoRules => StatusCode::NOT_FOUND,
                    Refused::Target(_) | Refused::Rules(_) | Refused::Size(_) => {
                        StatusCode::BAD_REQUEST
                    }
                    Refused::Senseless { .. } | Refused::Begun | Refused::Proposal(_) => {
                        StatusCode::CONFLICT
                    }
                };
                Err(No::new(status, refused))
            }
            Answer::Applied(_) | Answer::Granted(_) | Answer::Parts(_) | Answer::Fresh => {
                Ok(text(StatusCode::NO_CONTENT, ""))
            }
        }
    }
}

/// Makes sure that what is applied here is as late as the question; an answer if another gave it in this one's place.
async fn elsewhere(asked: &Asked, server: &Server) -> Result<Option<Response<Body>>, No> {
    match server.core.ask(crate::core::Asked::Read).await? {
        Answer::Fresh => Ok(None),
        other => server.otherwise(asked, other).await.map(Some),
    }
}

/// Asks another replica the same.
async fn pass_on(place: SocketAddr, asked: &Asked) -> Result<Response<Body>, No> {
    let path = match asked.query.as_str() {
        "" => asked.path.clone(),
        query => format!("{}?{query}", asked.path),
    };
    let mut request = Request::builder()
        .method(asked.method.clone())
        .uri(path)
        .header("host", place.to_string());
    if let Some(version) = &asked.if_match {
        request = request.header(IF_MATCH, version);
    }
    let request = request
        .header(HOP, "1")
        .body(Full::<Bytes>::from(asked.body.clone()))
        .map_err(No::bad)?;
    match timeout(PASSED_ON, exchange(place, request)).await {
        Ok(Ok(response)) => {
            let (head, body) = response.into_parts();
            let mut answer = text(head.status, body);
            for name in [CONTENT_TYPE, RETRY_AFTER] {
                if let Some(value) = head.headers.get(&name) {
                    answer.headers_mut().insert(name, value.clone());
                }
            }
            Ok(answer)
        }
        // it may have come to the leader
        _ if asked.method != Method::GET => Err(No::new(
            StatusCode::GATEWAY_TIMEOUT,
            "the leader did not answer: it may be done or not",
        )),
        _ => Err(No::busy("the leader did not answer")),
    }
}

fn count(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}
