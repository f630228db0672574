//! Requests and responses of the HTTP API, and its errors: each has a status and a line of text.

use crate::replica::BusyReason;
use crate::replica_thread::Overloaded;
use crate::state::CommandError;
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{
    ALLOW, CONNECTION, CONTENT_TYPE, HeaderName, HeaderValue, IF_MATCH, RETRY_AFTER,
};
use hyper::{Method, Request, Response, StatusCode};
use miette::Diagnostic;
use quota_ledger::freeze::FreezeError;
use quota_ledger::quotas::compact::CompactError;
use quota_ledger::splits::SplitError;
use quota_ledger::{InvalidKey, LedgerError, LimitError};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::convert::Infallible;
use std::time::Duration;
use thiserror::Error;
use tokio::time::timeout;
use versioned_config::{InvalidRules, ProposalError};

/// The longest time for a request's body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);
/// The `Retry-After` of an overloaded replica, in seconds.
pub(super) const RETRY_AFTER_SECONDS: &str = "0.5";
/// Marks a request that another replica has forwarded: it is not forwarded again.
pub(super) const HOP: &str = "x-registry-hop";
const ALLOWED_METHODS: &str = "GET, POST, PUT, DELETE";

/// The body of a response.
pub(super) type Body = UnsyncBoxBody<Bytes, Infallible>;
/// The result of a handler.
pub(super) type ApiResult = Result<Response<Body>, ApiError>;

/// A request with its body.
pub(super) struct ApiRequest {
    pub method: Method,
    pub path: String,
    pub query: String,
    pub if_match: Option<HeaderValue>,
    /// Whether another replica has forwarded it.
    pub forwarded: bool,
    pub content_type: Option<HeaderValue>,
    pub body: Bytes,
}

impl ApiRequest {
    /// Reads a request with a body of at most `max_body` bytes.
    pub(super) async fn read(
        request: Request<Incoming>,
        max_body: usize,
    ) -> Result<Self, ApiError> {
        let (head, body) = request.into_parts();
        let body = match timeout(BODY_TIMEOUT, Limited::new(body, max_body).collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                return Err(ApiError::BodyTooLong { max: max_body });
            }
            Ok(Err(_)) => return Err(ApiError::BodyMalformed),
            Err(_) => return Err(ApiError::BodyTimeout),
        };
        Ok(ApiRequest {
            method: head.method,
            path: head.uri.path().to_string(),
            query: head.uri.query().unwrap_or_default().to_string(),
            if_match: head.headers.get(IF_MATCH).cloned(),
            forwarded: head.headers.contains_key(HOP),
            content_type: head.headers.get(CONTENT_TYPE).cloned(),
            body,
        })
    }

    /// Decodes the body as JSON.
    pub(super) fn json<T: DeserializeOwned>(&self) -> Result<T, ApiError> {
        serde_json::from_slice(&self.body).map_err(ApiError::Json)
    }

    /// The version that a conditional write expects: `If-Match: 41`, with quotes or without.
    pub(super) fn expected_version(&self) -> Result<Option<u64>, ApiError> {
        let Some(header) = &self.if_match else {
            return Ok(None);
        };
        let text = header.to_str().map_err(|_| ApiError::InvalidIfMatch)?;
        let version = text.trim().trim_matches('"').parse();
        version.map(Some).map_err(|_| ApiError::InvalidIfMatch)
    }

    /// A parameter of the query.
    pub(super) fn parameter(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }

    /// The error for a method that the path does not have.
    pub(super) fn method_not_allowed(&self) -> ApiError {
        ApiError::MethodNotAllowed(self.method.clone())
    }
}

/// Why a request is not served.
#[derive(Debug, Error)]
pub(super) enum ApiError {
    #[error(transparent)]
    Json(serde_json::Error),
    #[error("line {line}: {error}")]
    OutcomeLine {
        line: usize,
        error: serde_json::Error,
    },
    #[error("{}", explain(.0))]
    Compact(#[from] CompactError),
    #[error("{}", explain(.0))]
    Key(#[from] InvalidKey),
    #[error("the body is malformed")]
    BodyMalformed,
    #[error("the body is over {max} bytes")]
    BodyTooLong { max: usize },
    #[error("the body did not come in time")]
    BodyTimeout,
    #[error("If-Match is no version")]
    InvalidIfMatch,
    #[error("from is no version")]
    InvalidFrom,
    #[error("fresh is not 1")]
    InvalidFresh,
    #[error("watch is not 1")]
    InvalidWatch,
    #[error("a write takes force=1 or nothing")]
    InvalidWriteQuery,
    #[error("the version is no number")]
    InvalidVersion,
    #[error("the replica's id is no number")]
    InvalidReplicaId,
    #[error(transparent)]
    InvalidRules(#[from] InvalidRules),
    #[error(transparent)]
    Forward(#[from] hyper::http::Error),
    #[error("no such path")]
    NoSuchPath,
    #[error("{0} means nothing here")]
    MethodNotAllowed(Method),
    #[error("no such version is kept")]
    UnknownVersion,
    #[error("no rules are agreed here")]
    NoRules,
    #[error("{}", explain(.0))]
    Ledger(LedgerError),
    #[error("{}", explain(.0))]
    Freeze(FreezeError),
    #[error(transparent)]
    Rejected(CommandError),
    #[error("the floor is not the one that is agreed here")]
    OtherFallback,
    #[error(transparent)]
    Overloaded(#[from] Overloaded),
    #[error(transparent)]
    Busy(BusyReason),
    #[error("no leader is known")]
    NoLeader,
    #[error("no leader is known: the list may be old")]
    ListMayBeOld,
    #[error("the leader's place is not known")]
    LeaderAddressUnknown,
    #[error("the leader did not answer")]
    LeaderSilent,
    #[error("the leader did not answer: it may be done or not")]
    LeaderSilentOnWrite,
    #[error("the leader changed: it may be done or not")]
    OutcomeUnknown,
    #[error("no majority is heard of")]
    NoMajority,
    #[error("the clock is not known yet")]
    ClockUnknown,
    #[error("all places for watches are taken")]
    TooManyWatches,
    #[error("this replica is behind that version")]
    Behind,
    #[error("{0}")]
    Encode(serde_json::Error),
}

impl From<CommandError> for ApiError {
    fn from(error: CommandError) -> Self {
        match error {
            CommandError::Ledger(error) => ApiError::Ledger(error),
            CommandError::Freeze(error) => ApiError::Freeze(error),
            error => ApiError::Rejected(error),
        }
    }
}

impl ApiError {
    /// The response's status.
    pub(super) fn status(&self) -> StatusCode {
        match self {
            ApiError::Json(_)
            | ApiError::OutcomeLine { .. }
            | ApiError::Compact(_)
            | ApiError::Key(_)
            | ApiError::BodyMalformed
            | ApiError::InvalidIfMatch
            | ApiError::InvalidFrom
            | ApiError::InvalidFresh
            | ApiError::InvalidWatch
            | ApiError::InvalidWriteQuery
            | ApiError::InvalidVersion
            | ApiError::InvalidReplicaId
            | ApiError::InvalidRules(_)
            | ApiError::Forward(_) => StatusCode::BAD_REQUEST,
            ApiError::BodyTooLong { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            ApiError::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            ApiError::NoSuchPath | ApiError::UnknownVersion | ApiError::NoRules => {
                StatusCode::NOT_FOUND
            }
            ApiError::MethodNotAllowed(_) => StatusCode::METHOD_NOT_ALLOWED,
            ApiError::Ledger(error) => ledger_status(error),
            ApiError::Freeze(error) => freeze_status(error),
            ApiError::Rejected(error) => rejection_status(error),
            ApiError::OtherFallback => StatusCode::CONFLICT,
            ApiError::LeaderSilentOnWrite | ApiError::OutcomeUnknown => StatusCode::GATEWAY_TIMEOUT,
            ApiError::Overloaded(_)
            | ApiError::Busy(_)
            | ApiError::NoLeader
            | ApiError::ListMayBeOld
            | ApiError::LeaderAddressUnknown
            | ApiError::LeaderSilent
            | ApiError::NoMajority
            | ApiError::ClockUnknown
            | ApiError::TooManyWatches
            | ApiError::Behind
            | ApiError::Encode(_) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// The response: the error as a line, and the headers that its status calls for.
    pub(super) fn into_response(self) -> Response<Body> {
        let status = self.status();
        let mut response = text(status, format!("{self}\n"));
        let mut set = |name: HeaderName, value| {
            response
                .headers_mut()
                .insert(name, HeaderValue::from_static(value));
        };
        match status {
            StatusCode::SERVICE_UNAVAILABLE => set(RETRY_AFTER, RETRY_AFTER_SECONDS),
            StatusCode::METHOD_NOT_ALLOWED => set(ALLOW, ALLOWED_METHODS),
            // the rest of the body is not read
            StatusCode::PAYLOAD_TOO_LARGE | StatusCode::REQUEST_TIMEOUT => set(CONNECTION, "close"),
            _ => {}
        }
        response
    }
}

fn rejection_status(error: &CommandError) -> StatusCode {
    match error {
        CommandError::Version { .. } | CommandError::Proposal(ProposalError::Stale { .. }) => {
            StatusCode::PRECONDITION_FAILED
        }
        CommandError::UnknownEndpoint(_) | CommandError::NoRules => StatusCode::NOT_FOUND,
        CommandError::InvalidEndpoint(_)
        | CommandError::InvalidRules(_)
        | CommandError::TooMany(_) => StatusCode::BAD_REQUEST,
        CommandError::StaleBoot { .. } | CommandError::RulesBegun | CommandError::Proposal(_) => {
            StatusCode::CONFLICT
        }
        CommandError::Ledger(error) => ledger_status(error),
        CommandError::Freeze(error) => freeze_status(error),
    }
}

fn ledger_status(error: &LedgerError) -> StatusCode {
    match error {
        LedgerError::NotCreated | LedgerError::Limit(LimitError::Unknown(_)) => {
            StatusCode::NOT_FOUND
        }
        LedgerError::VersionMismatch { .. } => StatusCode::PRECONDITION_FAILED,
        LedgerError::Limit(LimitError::Invalid(_) | LimitError::NoFallbackQuota(_))
        | LedgerError::InvalidShards => StatusCode::BAD_REQUEST,
        LedgerError::Split(SplitError::UnknownShard(_) | SplitError::NoSplit) => {
            StatusCode::NOT_FOUND
        }
        LedgerError::Split(SplitError::OutsideShard { .. }) => StatusCode::BAD_REQUEST,
        LedgerError::AlreadyCreated | LedgerError::Limit(_) | LedgerError::Split(_) => {
            StatusCode::CONFLICT
        }
    }
}

fn freeze_status(error: &FreezeError) -> StatusCode {
    match error {
        FreezeError::InvalidWindow { .. }
        | FreezeError::TooManyWindows
        | FreezeError::InvalidOverride(_) => StatusCode::BAD_REQUEST,
        FreezeError::VersionMismatch { .. } => StatusCode::PRECONDITION_FAILED,
        FreezeError::NoOverride => StatusCode::NOT_FOUND,
        FreezeError::Held { .. }
        | FreezeError::MixedBatch(_)
        | FreezeError::LastEndpoint { .. }
        | FreezeError::ChangeInProgress(_) => StatusCode::CONFLICT,
    }
}

/// An error, its code, and what an operator can do, on one line.
pub(super) fn explain(error: &dyn Diagnostic) -> String {
    let code = error
        .code()
        .map(|code| format!(" [{code}]"))
        .unwrap_or_default();
    let help = error
        .help()
        .map(|help| format!("; {help}"))
        .unwrap_or_default();
    format!("{error}{code}{help}")
}

/// A response with this body.
pub(super) fn text(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Full::from(text.into()).boxed_unsync());
    *response.status_mut() = status;
    response
}

/// A response without a body.
pub(super) fn no_content() -> Response<Body> {
    text(StatusCode::NO_CONTENT, "")
}

/// A JSON response.
pub(super) fn json(value: &serde_json::Value) -> Response<Body> {
    let mut response = text(StatusCode::OK, format!("{value}\n"));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// A JSON response of a value.
pub(super) fn json_of(value: impl Serialize) -> ApiResult {
    Ok(json(
        &serde_json::to_value(value).map_err(ApiError::Encode)?,
    ))
}

#[cfg(test)]
mod tests;
