//! Requests to the replicas, which are tried in turn.

use super::arguments::Replicas;
use bytes::Bytes;
use fleet_registry::round_trip::{RoundTripError, round_trip};
use hyper::header::{HOST, IF_MATCH};
use hyper::{Method, Request, StatusCode};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::time::{sleep, timeout};
use versioned_config::Rules;

/// The longest time for one replica to answer.
const REPLICA_TIMEOUT: Duration = Duration::from_secs(3);
/// The time between two looks at what is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Why there is no answer.
#[derive(Debug, Error)]
pub enum ClientError {
    /// No replica is named.
    #[error("no registry is named")]
    NoReplica,
    /// A replica did not answer in time.
    #[error("{0}: no answer in time")]
    Timeout(SocketAddr),
    /// A replica did not answer.
    #[error("{address}: {error}")]
    RoundTrip {
        /// The replica's address.
        address: SocketAddr,
        /// Why not.
        error: RoundTripError,
    },
    /// The request's path is none.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// The answer is no JSON, or not what was expected.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// A request to a replica.
pub struct ApiCall {
    method: Method,
    path: String,
    if_match: Option<u64>,
    body: Option<Value>,
}

impl ApiCall {
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        ApiCall {
            method,
            path: path.into(),
            if_match: None,
            body: None,
        }
    }

    pub fn get(path: impl Into<String>) -> Self {
        ApiCall::new(Method::GET, path)
    }

    /// Makes a write conditional.
    pub fn if_match(self, if_match: Option<u64>) -> Self {
        ApiCall { if_match, ..self }
    }

    pub fn body(self, body: Value) -> Self {
        ApiCall {
            body: Some(body),
            ..self
        }
    }
}

/// A replica's answer.
pub struct ApiAnswer {
    pub status: StatusCode,
    pub body: Bytes,
}

impl ApiAnswer {
    pub fn is_success(&self) -> bool {
        self.status.is_success()
    }

    /// The body as JSON; null if it is none.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Prints the answer, or the error on the other stream.
    pub fn print(&self) {
        let text = String::from_utf8_lossy(&self.body);
        if self.is_success() {
            println!(
                "{}",
                if text.trim().is_empty() {
                    "done"
                } else {
                    text.trim_end()
                }
            );
        } else {
            eprintln!("fleet-registry: {}: {}", self.status, text.trim_end());
        }
    }
}

impl Replicas {
    /// Sends a request, and prints the answer; whether it is a success.
    pub async fn show(&self, call: ApiCall) -> Result<bool, ClientError> {
        let answer = self.send(&call).await?;
        answer.print();
        Ok(answer.is_success())
    }

    /// The rules of a stored version; none if there is none, which is printed.
    pub async fn stored_rules(&self, version: u64) -> Result<Option<Rules>, ClientError> {
        let answer = self
            .send(&ApiCall::get(format!("/v1/rules/{version}")))
            .await?;
        if !answer.is_success() {
            answer.print();
            return Ok(None);
        }
        let body: Value = serde_json::from_slice(&answer.body)?;
        Ok(Some(serde_json::from_value(body["rules"].clone())?))
    }

    /// Polls the report on the rules until a condition holds; whether it did in time.
    pub async fn wait_for(&self, seconds: u64, holds: impl Fn(&Value) -> bool) -> bool {
        let deadline = Instant::now() + Duration::from_secs(seconds);
        loop {
            let answer = self.send(&ApiCall::get("/v1/rules")).await;
            let answer = answer.ok().filter(ApiAnswer::is_success);
            let report =
                answer.and_then(|answer| serde_json::from_slice::<Value>(&answer.body).ok());
            if report.as_ref().is_some_and(&holds) {
                println!("in force");
                return true;
            }
            if Instant::now() >= deadline {
                let waits_for = report.map_or("an answer".to_string(), |report| {
                    report["not_acknowledged"].to_string()
                });
                eprintln!("fleet-registry: not in force after {seconds} s; waits for {waits_for}");
                return false;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Sends a request to the replicas in turn, until one answers and is not overloaded.
    pub async fn send(&self, call: &ApiCall) -> Result<ApiAnswer, ClientError> {
        let mut last = Err(ClientError::NoReplica);
        for address in &self.registries {
            last = match timeout(REPLICA_TIMEOUT, send_to(*address, call)).await {
                Ok(answer) => answer,
                Err(_) => Err(ClientError::Timeout(*address)),
            };
            if last
                .as_ref()
                .is_ok_and(|answer| answer.status != StatusCode::SERVICE_UNAVAILABLE)
            {
                break;
            }
        }
        last
    }
}

async fn send_to(address: SocketAddr, call: &ApiCall) -> Result<ApiAnswer, ClientError> {
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(&call.path)
        .header(HOST, address.to_string());
    if let Some(version) = call.if_match {
        request = request.header(IF_MATCH, version);
    }
    let body = call.body.as_ref().map_or(String::new(), Value::to_string);
    let response = round_trip(address, request.body(body.into())?).await;
    let (head, body) = response
        .map_err(|error| ClientError::RoundTrip { address, error })?
        .into_parts();
    Ok(ApiAnswer {
        status: head.status,
        body,
    })
}
