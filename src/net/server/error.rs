//! Errors of client requests that fail without a decision of the driver.

use crate::net::request_memory::NoRoom;
use hyper::StatusCode;
use thiserror::Error;

/// Reason why a client's request fails. The error text is sent as the body of the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(super) enum RequestError {
    #[error("not ready")]
    NotReady,
    #[error("ending")]
    ShuttingDown,
    #[error("no such path")]
    UnknownPath,
    #[error("only GET")]
    OnlyGet,
    #[error("only POST")]
    OnlyPost,
    /// The named header is present more than once.
    #[error("{0}")]
    RepeatedHeader(&'static str),
    /// The named header is required but missing.
    #[error("{0} is missing")]
    MissingHeader(&'static str),
    #[error("unknown class")]
    UnknownClass,
    #[error("X-Priority-Class is missing or not the path's")]
    ClassMismatch,
    #[error("an id or key can't be read")]
    InvalidIdentifier,
    #[error("X-Timeout can't be read")]
    InvalidTimeout,
    #[error("dest can't be read")]
    InvalidDestination,
    #[error("subject can't be read")]
    InvalidSubject,
    #[error("the body is over 64 KiB")]
    BodyTooLong,
    #[error("the body did not come in time")]
    BodyTimeout,
    /// The client had stopped within the body, or sent it slowly, while others waited for its memory or connection.
    #[error("the body came too slowly while others waited; try again")]
    BodyStalled,
    /// The body is larger than the share of its connection, and no memory became free in time.
    #[error("no memory is free for the body; try again")]
    NoRoom,
    /// The client had closed its connection when its request was to be submitted.
    #[error("its client has left")]
    ClientLeft,
    #[error("the body is malformed")]
    MalformedBody,
    #[error("Content-Length is missing or not the body's")]
    LengthRequired,
}

impl RequestError {
    pub(super) fn status(self) -> StatusCode {
        match self {
            RequestError::NotReady
            | RequestError::ShuttingDown
            | RequestError::BodyStalled
            | RequestError::NoRoom
            | RequestError::ClientLeft => StatusCode::SERVICE_UNAVAILABLE,
            RequestError::UnknownPath => StatusCode::NOT_FOUND,
            RequestError::OnlyGet | RequestError::OnlyPost => StatusCode::METHOD_NOT_ALLOWED,
            RequestError::RepeatedHeader(_)
            | RequestError::MissingHeader(_)
            | RequestError::UnknownClass
            | RequestError::ClassMismatch
            | RequestError::InvalidIdentifier
            | RequestError::InvalidTimeout
            | RequestError::InvalidDestination
            | RequestError::InvalidSubject
            | RequestError::MalformedBody => StatusCode::BAD_REQUEST,
            RequestError::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            RequestError::LengthRequired => StatusCode::LENGTH_REQUIRED,
        }
    }

    /// Returns the method for the `Allow` header, if the request used one that the path does not allow.
    pub(super) fn allowed_method(self) -> Option<&'static str> {
        match self {
            RequestError::OnlyGet => Some("GET"),
            RequestError::OnlyPost => Some("POST"),
            _ => None,
        }
    }

    /// Returns whether part of the request's body stays unread, or nobody reads the answer, so that the connection must be
    /// closed after it.
    pub(super) fn ends_connection(self) -> bool {
        matches!(
            self,
            RequestError::BodyTooLong
                | RequestError::BodyTimeout
                | RequestError::BodyStalled
                | RequestError::NoRoom
                | RequestError::ClientLeft
        )
    }
}

impl From<NoRoom> for RequestError {
    fn from(_: NoRoom) -> Self {
        RequestError::NoRoom
    }
}
