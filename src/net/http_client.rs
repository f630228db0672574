//! HTTP requests to discovery and to the registry, each on a connection of its own.

use super::stream::{ConnectError, Stream};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use quota_ledger::quotas::compact::CompactError;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::error::Error;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::time::timeout;

/// Media type of JSON bodies.
const JSON_MEDIA_TYPE: &str = "application/json";
/// Of the message of a rejection this many characters are kept.
const MAX_MESSAGE_CHARS: usize = 300;

/// Why a call got no response.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection came up.
    #[error("no connection: {0}")]
    Connect(#[from] ConnectError),
    /// The connection failed, or the response is not HTTP.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The request could not be built.
    #[error("bad request: {0}")]
    Request(#[from] hyper::http::Error),
    /// The time for the call is over.
    #[error("no answer in time")]
    Timeout,
}

impl CallError {
    /// The server itself rejected the call, or nobody listens there: so a call ends while the server is down. One that
    /// had no response may have met a server that others reach, and one that never left says nothing of it.
    pub fn is_rejection(&self) -> bool {
        match self {
            CallError::Connect(ConnectError::Peer(error)) => {
                matches!(
                    error.kind(),
                    ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset
                )
            }
            CallError::Http(error) => !error.is_parse(),
            CallError::Connect(_) | CallError::Request(_) | CallError::Timeout => false,
        }
    }

    /// A fault of this machine, not of the peer.
    pub fn is_local(&self) -> bool {
        matches!(self, CallError::Connect(ConnectError::Local(_)))
    }
}

/// Why a request to the registry has no usable answer, and where to look.
#[derive(Debug, Error)]
pub enum RequestError {
    /// There is no response.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The status is not 200; with the first line of the body.
    #[error("{status}: {message}")]
    Rejected { status: StatusCode, message: String },
    /// The body is not the JSON that was expected.
    #[error("the answer can't be read: {0}; is the registry of this version?")]
    Json(#[from] serde_json::Error),
    /// The body is not the compact form that was expected.
    #[error("the answer can't be read: {0}; is the registry of this version?")]
    Compact(#[from] CompactError),
    /// The body is too long or did not come in time.
    #[error("the answer did not come whole in time; see GET /v1/status of each replica")]
    IncompleteBody,
    /// The request could not be built.
    #[error("bad request: {0}")]
    Request(#[from] hyper::http::Error),
}

/// How long a request may take and how long its answer may be.
#[derive(Debug, Clone, Copy)]
pub struct RequestLimits {
    /// For everything, from the connection to the end of the body.
    pub timeout: Duration,
    /// Longest body of the answer.
    pub max_answer_bytes: usize,
}

/// A request to one replica of the registry.
#[derive(Debug)]
pub struct RegistryRequest<'a> {
    pub method: Method,
    pub path: &'a str,
    pub media_type: &'a str,
    pub body: Bytes,
    pub limits: RequestLimits,
}

/// Sends a request with a JSON body, if any, to one replica and reads its JSON answer.
///
/// # Errors
/// There is no answer in time, it is a rejection, or it can't be read.
pub async fn round_trip_json<T: DeserializeOwned>(
    replica: SocketAddr,
    method: Method,
    path: &str,
    body: Option<Value>,
    limits: RequestLimits,
) -> Result<T, RequestError> {
    let body = body.map(|body| body.to_string()).unwrap_or_default();
    let request = RegistryRequest {
        method,
        path,
        media_type: JSON_MEDIA_TYPE,
        body: body.into(),
        limits,
    };
    let answer = round_trip(replica, request).await?;
    Ok(serde_json::from_slice(&answer)?)
}

/// Sends a request to one replica and reads the body of its answer.
///
/// # Errors
/// There is no answer in time, or it is a rejection.
pub async fn round_trip(
    replica: SocketAddr,
    request: RegistryRequest<'_>,
) -> Result<Bytes, RequestError> {
    let RequestLimits {
        timeout: time_limit,
        max_answer_bytes,
    } = request.limits;
    let request = Request::builder()
        .method(request.method)
        .uri(request.path)
        .header(HOST, replica.to_string())
        .header(CONTENT_TYPE, request.media_type)
        .body(Full::<Bytes>::from(request.body))?;
    let exchange = async {
        let response = call(replica, request, time_limit).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), max_answer_bytes)
            .collect()
            .await
            .map_err(|_| RequestError::IncompleteBody)?;
        Ok::<_, RequestError>((status, body.to_bytes()))
    };
    let (status, body) = timeout(time_limit, exchange)
        .await
        .map_err(|_| RequestError::IncompleteBody)??;
    if status != StatusCode::OK {
        return Err(RequestError::Rejected {
            status,
            message: first_line(&body),
        });
    }
    Ok(body)
}

/// The first line of a rejection's body, cut to [`MAX_MESSAGE_CHARS`].
fn first_line(body: &[u8]) -> String {
    let text = String::from_utf8_lossy(body);
    let line = text.lines().next().unwrap_or_default();
    line.chars().take(MAX_MESSAGE_CHARS).collect()
}

/// The replica for a request by its turn: the one at discovery's address, or one of the others.
pub fn replica_for_turn(turn: usize, first: SocketAddr, others: &[SocketAddr]) -> SocketAddr {
    match turn % (1 + others.len()) {
        0 => first,
        other => others[other - 1],
    }
}

/// Sends one request on a connection of its own, since the server is near and older connections may have gone silent.
///
/// # Errors
/// There is no response within `time_limit`; see [`CallError`].
pub async fn call<B>(
    server: SocketAddr,
    request: Request<B>,
    time_limit: Duration,
) -> Result<Response<Incoming>, CallError>
where
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let exchange = async {
        let stream = Stream::connect(server, time_limit).await?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(sender.send_request(request).await?)
    };
    timeout(time_limit, exchange)
        .await
        .map_err(|_| CallError::Timeout)?
}
