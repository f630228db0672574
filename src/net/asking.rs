//! Questions to the registry: one request, its answer read whole.

use super::discovery::{CallError, call};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request, StatusCode};
use quota_ledger::quotas::compact::CompactError;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::time::timeout;

/// Of a refusal so much is told, in characters.
const TOLD: usize = 300;

/// Why there is no answer that can be used, and where to look.
#[derive(Debug, Error)]
pub enum AskError {
    #[error(transparent)]
    Call(#[from] CallError),
    #[error("{0}: {1}")]
    Refused(StatusCode, String),
    #[error("the answer can't be read: {0}; is the registry of this version?")]
    Json(#[from] serde_json::Error),
    #[error("the answer can't be read: {0}; is the registry of this version?")]
    Compact(#[from] CompactError),
    #[error("the answer did not come whole in time; see GET /v1/status of each replica")]
    Body,
    #[error("bad request: {0}")]
    Request(#[from] hyper::http::Error),
}

/// Asks one replica in JSON; all of it takes no longer than `within`, and the answer has no more bytes than `most`.
///
/// # Errors
/// There is no answer in time, it is a refusal, or it can't be read.
pub async fn ask<T: DeserializeOwned>(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Option<Value>,
    within: Duration,
    most: usize,
) -> Result<T, AskError> {
    let body = body.map(|body| body.to_string()).unwrap_or_default();
    let answer = exchange(
        address,
        method,
        path,
        ("application/json", body.into()),
        within,
        most,
    )
    .await?;
    Ok(serde_json::from_slice(&answer)?)
}

/// The same for a body and an answer of any media type.
///
/// # Errors
/// There is no answer in time, or it is a refusal.
pub async fn exchange(
    address: SocketAddr,
    method: Method,
    path: &str,
    (media, body): (&str, Bytes),
    within: Duration,
    most: usize,
) -> Result<Bytes, AskError> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, media)
        .body(Full::<Bytes>::from(body))?;
    let exchange = async {
        let response = call(address, request, within).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), most).collect().await;
        Ok::<_, AskError>((status, body.map_err(|_| AskError::Body)?.to_bytes()))
    };
    let (status, body) = timeout(within, exchange)
        .await
        .map_err(|_| AskError::Body)??;
    if status != StatusCode::OK {
        let text = String::from_utf8_lossy(&body);
        let line = text
            .lines()
            .next()
            .unwrap_or_default()
            .chars()
            .take(TOLD)
            .collect();
        return Err(AskError::Refused(status, line));
    }
    Ok(body)
}

/// The replica whose turn it is: the one at discovery's address, or one of the others.
pub fn whose_turn(turn: usize, first: SocketAddr, others: &[SocketAddr]) -> SocketAddr {
    match turn % (1 + others.len()) {
        0 => first,
        other => others[other - 1],
    }
}
