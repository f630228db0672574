//! Why a client's request fails before the driver decides on it.

use hyper::StatusCode;
use thiserror::Error;

/// Why a client's request fails; its text is the body of the answer.
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
    /// The header of this name came more than once.
    #[error("{0}")]
    RepeatedHeader(&'static str),
    /// The header of this name did not come.
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
    #[error("the body is malformed")]
    MalformedBody,
    #[error("Content-Length is missing or not the body's")]
    LengthRequired,
}

impl RequestError {
    /// The status of the answer.
    pub(super) fn status(self) -> StatusCode {
        match self {
            RequestError::NotReady | RequestError::ShuttingDown => StatusCode::SERVICE_UNAVAILABLE,
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

    /// The method that the path allows, where another one was used.
    pub(super) fn allowed_method(self) -> Option<&'static str> {
        match self {
            RequestError::OnlyGet => Some("GET"),
            RequestError::OnlyPost => Some("POST"),
            _ => None,
        }
    }

    /// Whether the rest of the body stays unread, so that the connection can't be used again.
    pub(super) fn leaves_body_unread(self) -> bool {
        matches!(self, RequestError::BodyTooLong | RequestError::BodyTimeout)
    }
}
