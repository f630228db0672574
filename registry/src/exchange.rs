//! One request on a connection of its own.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::net::TcpStream;

/// Why there is no whole answer.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// No connection.
    #[error("no connection: {0}")]
    Io(#[from] std::io::Error),
    /// The connection broke, or what came is no HTTP.
    #[error("{0}")]
    Http(#[from] hyper::Error),
}

/// Asks a replica; the answer, read whole. How long that may take is for the caller to say.
///
/// # Errors
/// It is not there, or the connection broke.
pub async fn exchange(
    place: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, ExchangeError> {
    let stream = TcpStream::connect(place).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let (head, body) = sender.send_request(request).await?.into_parts();
    Ok(Response::from_parts(head, body.collect().await?.to_bytes()))
}
