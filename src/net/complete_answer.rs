//! Answers of endpoints that were received in full. A statement that needs a complete answer as its evidence, such as
//! that the endpoint did not execute the call, takes a [`CompleteAnswer`].

use super::body::{self, BodyError};
use super::events::MAX_BODY_BYTES;
use hyper::Version;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use std::time::Duration;
use thiserror::Error;
use tokio::time::timeout;

/// Answer whose head and body were received in full. Only [`CompleteAnswer::receive`] creates one.
#[derive(Debug)]
pub struct CompleteAnswer {
    head: Parts,
}

/// Why an answer is not complete, or cannot be recognized as complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum IncompleteAnswer {
    /// The protocol with endpoints is HTTP/1.1.
    #[error("it is not HTTP/1.1")]
    Version,
    /// The body ends with the connection, so a body that was cut short looks like a complete one.
    #[error("its head does not say where its body ends")]
    UnknownLength,
    /// The connection ended within the body, or a chunk of the body is malformed.
    #[error("its body broke off or is malformed")]
    BrokenBody,
    /// The body is longer than the protocol allows.
    #[error("its body is longer than {MAX_BODY_BYTES} bytes")]
    BodyTooLong,
    /// The endpoint did not complete the body in time.
    #[error("its body was not complete in time")]
    BodyTimeout,
}

impl CompleteAnswer {
    /// Receives the body that belongs to `head`, for at most `time_limit`.
    ///
    /// # Errors
    /// Returns why the answer is not complete. The connection of such an answer cannot carry another call.
    pub async fn receive(
        head: Parts,
        body: Incoming,
        time_limit: Duration,
    ) -> Result<Self, IncompleteAnswer> {
        if head.version != Version::HTTP_11 {
            return Err(IncompleteAnswer::Version);
        }
        if !is_length_known(&head.headers) {
            return Err(IncompleteAnswer::UnknownLength);
        }
        match timeout(time_limit, body::discard(body, MAX_BODY_BYTES)).await {
            Ok(Ok(())) => Ok(CompleteAnswer { head }),
            Ok(Err(BodyError::TooLong)) => Err(IncompleteAnswer::BodyTooLong),
            Ok(Err(BodyError::Broken)) => Err(IncompleteAnswer::BrokenBody),
            Err(_) => Err(IncompleteAnswer::BodyTimeout),
        }
    }

    /// Returns the head of the answer.
    pub fn head(&self) -> &Parts {
        &self.head
    }

    /// Creates an answer that needs no evidence.
    #[cfg(test)]
    pub fn of_head(head: Parts) -> Self {
        CompleteAnswer { head }
    }
}

/// Returns whether the head says where the body ends. Otherwise the body ends with the connection, so that a body that
/// was cut short cannot be distinguished from a complete one.
pub fn is_length_known(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}
