//! Reads HTTP bodies piece by piece. Each piece is a part of its connection's read buffer and keeps the whole buffer in
//! memory, so a piece is copied or dropped before the next one is read.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use thiserror::Error;

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
