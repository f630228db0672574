//! Reads HTTP bodies piece by piece. Each piece is a part of its connection's read buffer and keeps the whole buffer in
//! memory, so a piece is copied or dropped before the next one is read.

use super::request_memory::Reservation;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use message_sender::memory::SMALL_BODY_BYTES;
use std::sync::Arc;
use thiserror::Error;
use tokio::sync::Semaphore;

/// Why a body can't be read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum BodyError {
    /// The body is longer than its reader allows.
    #[error("the body is too long")]
    TooLong,
    /// The connection ended within the body, or a chunk of the body is malformed.
    #[error("the body broke off or is malformed")]
    Broken,
}

/// Reads a body of at most `max_bytes` and passes each piece to `receive`.
///
/// # Errors
/// The body is longer, or it has no valid end.
pub async fn receive<B>(
    mut body: B,
    max_bytes: usize,
    mut receive: impl FnMut(&[u8]),
) -> Result<(), BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut received_bytes = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Broken)?;
        let Some(piece) = frame.data_ref() else {
            continue; // trailers mean nothing in this protocol
        };
        received_bytes += piece.len();
        if received_bytes > max_bytes {
            return Err(BodyError::TooLong);
        }
        receive(piece);
    }
    Ok(())
}

/// Reads a body of at most `max_bytes` and keeps nothing of it.
///
/// # Errors
/// The body is longer, or it has no valid end.
pub async fn discard<B>(body: B, max_bytes: usize) -> Result<(), BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    receive(body, max_bytes, |_| {}).await
}

/// Text of a body, with the memory that is reserved for it if it is long.
#[derive(Debug, Default)]
pub struct ReservedText {
    bytes: Vec<u8>,
    memory: Option<Reservation>,
}

impl ReservedText {
    /// Returns the bytes of the body.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads a body of at most `max_bytes`. One over [`SMALL_BODY_BYTES`] is read on once memory is reserved for it.
///
/// # Errors
/// The body is longer, or it has no valid end.
pub async fn read_reserved<B>(
    mut body: B,
    max_bytes: usize,
    free_bytes: Arc<Semaphore>,
) -> Result<ReservedText, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut text = ReservedText::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Broken)?;
        let Some(piece) = frame.data_ref() else {
            continue;
        };
        let length = text.bytes.len() + piece.len();
        if length > max_bytes {
            return Err(BodyError::TooLong);
        }
        if length > SMALL_BODY_BYTES && text.memory.is_none() {
            let permits = free_bytes.clone().acquire_many_owned(max_bytes as u32);
            text.memory = Some(Reservation::of(permits.await).map_err(|_| BodyError::Broken)?);
            text.bytes.reserve_exact(max_bytes - text.bytes.len());
        }
        text.bytes.extend_from_slice(piece);
    }
    Ok(text)
}
