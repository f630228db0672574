//! Reads the body of a client's request within the memory that is reserved for it.

use super::Client;
use super::error::RequestError;
use crate::net::body::{self, BodyError};
use crate::net::connection::BodyReception;
use crate::net::events::MAX_BODY_BYTES;
use crate::net::request_memory::{RequestMemory, Reservation};
use bytes::Bytes;
use hyper::Request;
use hyper::body::{Body, Incoming};
use hyper::header::TRANSFER_ENCODING;
use message_sender::memory::{MAX_READ_BYTES, SMALL_BODY_BYTES};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Maximum time for receiving a body, the wait for memory included. Clients wait only 400 ms for their answer.
pub(super) const BODY_TIMEOUT: Duration = Duration::from_millis(600);

/// Body of a request, and the memory reserved for it beyond the share of its connection.
pub(super) struct ReceivedBody {
    pub(super) bytes: Bytes,
    pub(super) reservation: Option<Reservation>,
}

/// Reads the body of a request. One over [`SMALL_BODY_BYTES`] is read once memory is reserved for it.
pub(super) async fn read(
    request: Request<Incoming>,
    client: &Client,
    memory: &RequestMemory,
) -> Result<ReceivedBody, RequestError> {
    // hyper removes Content-Length if Transfer-Encoding is present, so a request with both, whose body has two possible
    // ends, cannot be recognised: every Transfer-Encoding is rejected
    let has_transfer_encoding = request.headers().contains_key(TRANSFER_ENCODING);
    let length = usize::try_from(request.body().size_hint().lower()).unwrap_or(usize::MAX);
    if length > MAX_BODY_BYTES {
        return Err(RequestError::BodyTooLong);
    }
    // the head is dropped before the first wait, since it keeps its connection's read buffer in memory
    let body = request.into_body();
    let deadline = Instant::now() + BODY_TIMEOUT;
    if has_transfer_encoding {
        let reception = client.state.receive_body(false);
        let discarded = body::receive(body, MAX_BODY_BYTES, |_| reception.record_progress());
        bounded(deadline, &reception, discarded).await?;
        return Err(RequestError::LengthRequired);
    }
    let reservation = if length > SMALL_BODY_BYTES {
        // a part of the body may have been read together with the head
        let has_arrived = || {
            client
                .presence
                .has_received(length.saturating_sub(MAX_READ_BYTES))
        };
        Some(memory.reserve_body(length, has_arrived).await?)
    } else {
        None
    };
    let reception = client.state.receive_body(reservation.is_some());
    let mut bytes = Vec::with_capacity(length);
    let received = body::receive(body, length, |piece| {
        bytes.extend_from_slice(piece);
        reception.record_progress();
    });
    bounded(deadline, &reception, received).await?;
    Ok(ReceivedBody {
        bytes: bytes.into(),
        reservation,
    })
}

/// Waits until the body has been received, but not beyond the deadline, and ends early if the body is refused in favour
/// of other clients.
async fn bounded(
    deadline: Instant,
    reception: &BodyReception<'_>,
    received: impl Future<Output = Result<(), BodyError>>,
) -> Result<(), RequestError> {
    let outcome = tokio::select! {
        biased;
        received = timeout_at(deadline, received) => received,
        () = reception.refused() => return Err(RequestError::BodyStalled),
    };
    match outcome {
        Ok(Ok(())) => Ok(()),
        Ok(Err(BodyError::TooLong)) => Err(RequestError::BodyTooLong),
        Ok(Err(BodyError::Broken)) => Err(RequestError::MalformedBody),
        Err(_) => Err(RequestError::BodyTimeout),
    }
}
