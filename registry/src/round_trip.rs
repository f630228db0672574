//! One HTTP request on a connection of its own.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::net::TcpStream;

/// Why there is no complete response.
#[derive(Debug, Error)]
pub enum RoundTripError {
    /// No connection came up.
    #[error("no connection: {0}")]
    Connect(#[from] std::io::Error),
    /// The connection broke, or what came is no HTTP.
    #[error("{0}")]
    Http(#[from] hyper::Error),
}

/// Sends a request to a replica and reads the whole response. The caller bounds the time.
///
/// # Errors
/// There is no connection, or it broke.
pub async fn round_trip(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, RoundTripError> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let (head, body) = sender.send_request(request).await?.into_parts();
    Ok(Response::from_parts(head, body.collect().await?.to_bytes()))
}
