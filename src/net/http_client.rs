//! HTTP client for discovery and the registry; each request uses a new connection.

use super::body;
use super::stream::{ConnectError, Stream};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use message_sender::memory::MAX_HEAD_BYTES;
use quota_ledger::quotas::compact::CompactError;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::error::Error;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::time::timeout;

const JSON_MEDIA_TYPE: &str = "application/json";
/// Maximum number of characters kept of a rejection's message.
const MAX_MESSAGE_CHARS: usize = 300;

/// Reason why a call got no response.
#[derive(Debug, Error)]
pub enum CallError {
    /// The connection could not be established.
    #[error("no connection: {0}")]
    Connect(#[from] ConnectError),
    /// The connection failed, or the response is not HTTP.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The HTTP request could not be built from its path and headers.
    #[error("bad request: {0}")]
    Request(#[from] hyper::http::Error),
    /// No response arrived within the time limit.
    #[error("no answer in time")]
    Timeout,
}

impl CallError {
    /// Returns whether the failure shows that the server is down: its host refused or reset the connection, or closed
    /// it without a response. After a time-out the server may still be reachable by others, and a call that was never
    /// sent says nothing about the server.
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

    /// Returns whether the call failed by an error of the local host, not of the server.
    pub fn is_local(&self) -> bool {
        matches!(self, CallError::Connect(ConnectError::Local(_)))
    }
}

/// Reason why a request to the registry got no usable answer. The texts of [`RequestError::Json`],
/// [`RequestError::Compact`] and [`RequestError::IncompleteBody`] name what operators should check first.
#[derive(Debug, Error)]
pub enum RequestError {
    /// The call got no response.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The status of the answer is not 200; the message is the first line of its body.
    #[error("{status}: {message}")]
    Rejected { status: StatusCode, message: String },
    /// The body is not JSON of the expected form.
    #[error("the answer can't be read: {0}; does the registry run the same version?")]
    Json(#[from] serde_json::Error),
    /// The body is no valid message of the compact quota format.
    #[error("the answer can't be read: {0}; does the registry run the same version?")]
    Compact(#[from] CompactError),
    /// The body is longer than the limit, was incomplete at the time limit, or ended early because the connection
    /// failed.
    #[error(
        "the answer was too long or incomplete at the time limit; see GET /v1/status of each replica"
    )]
    IncompleteBody,
    /// The HTTP request could not be built from its path and headers.
    #[error("bad request: {0}")]
    Request(#[from] hyper::http::Error),
}

/// Limits on the duration of a request and on the size of its answer.
#[derive(Debug, Clone, Copy)]
pub struct RequestLimits {
    /// Time limit of the whole request, from the start of the dial to the end of the answer's body.
    pub timeout: Duration,
    /// Maximum size of the answer's body, in bytes.
    pub max_answer_bytes: usize,
}

/// HTTP request to one replica of the registry.
#[derive(Debug)]
pub struct RegistryRequest<'a> {
    pub method: Method,
    pub path: &'a str,
    pub media_type: &'a str,
    pub body: Bytes,
    pub limits: RequestLimits,
}

/// Sends a request with an optional JSON body to one replica, and parses its JSON answer.
///
/// # Errors
/// The request fails as in [`round_trip`], or the answer is not JSON of the expected form.
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

/// Sends a request to one replica and returns the body of its answer.
///
/// # Errors
/// The connection to the replica fails, the replica does not answer in time or rejects the request, or its answer
/// exceeds the size limit.
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
        let mut answer = Vec::new();
        body::receive(response.into_body(), max_answer_bytes, |piece| {
            answer.extend_from_slice(piece);
        })
        .await
        .map_err(|_| RequestError::IncompleteBody)?;
        Ok::<_, RequestError>((status, Bytes::from(answer)))
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

/// Returns the first line of a rejection's body, cut to [`MAX_MESSAGE_CHARS`].
fn first_line(body: &[u8]) -> String {
    let text = String::from_utf8_lossy(body);
    let line = text.lines().next().unwrap_or_default();
    line.chars().take(MAX_MESSAGE_CHARS).collect()
}

/// Returns the replica to ask in the given turn: turns go round `first`, the replica at discovery's address, and the
/// `others`.
pub fn replica_for_turn(turn: usize, first: SocketAddr, others: &[SocketAddr]) -> SocketAddr {
    match turn % (1 + others.len()) {
        0 => first,
        other => others[other - 1],
    }
}

/// Sends one request on a new connection. The server is near, so a new connection costs little, while an older one may
/// have been cut without notice.
///
/// # Errors
/// No response arrives within `time_limit`, or the call fails earlier; see [`CallError`].
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
        let (mut sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await?;
        tokio::spawn(connection);
        Ok(sender.send_request(request).await?)
    };
    timeout(time_limit, exchange)
        .await
        .map_err(|_| CallError::Timeout)?
}
