//! Makes connections: TCP, then HTTP.

use super::traffic::{ImmediateRead, Traffic, TrafficStream};
use crate::net::events::MAX_BODY_BYTES;
use crate::net::stream::{ConnectError, Stream};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};

/// A connection that is up.
pub struct Connection {
    /// Sends requests on it.
    pub sender: SendRequest<Full<Bytes>>,
    /// What has gone over it.
    pub traffic: Arc<Traffic>,
}

/// A connection, and the future that drives it until it ends.
pub(super) struct NewConnection {
    pub(super) connection: Connection,
    pub(super) driver: Pin<Box<dyn Future<Output = ()>>>,
}

/// Where new connections come from.
pub(super) enum Connector {
    Tcp,
    /// One after another from here; dials beyond them are refused.
    #[cfg(test)]
    Ready(std::cell::RefCell<std::collections::VecDeque<tokio::io::DuplexStream>>),
}

impl Connector {
    #[cfg(test)]
    pub(super) fn ready(streams: Vec<tokio::io::DuplexStream>) -> Self {
        Connector::Ready(std::cell::RefCell::new(streams.into()))
    }

    /// A new connection to the address.
    pub(super) async fn connect(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<NewConnection, ConnectError> {
        let connected = match self {
            Connector::Tcp => handshake(Stream::connect(address, timeout).await?).await,
            #[cfg(test)]
            Connector::Ready(streams) => {
                let stream = streams.borrow_mut().pop_front();
                let refused = || ConnectError::Peer(io::ErrorKind::ConnectionRefused.into());
                handshake(stream.ok_or_else(refused)?).await
            }
        };
        connected.map_err(ConnectError::Peer)
    }
}

async fn handshake<S>(stream: S) -> io::Result<NewConnection>
where
    S: AsyncRead + AsyncWrite + ImmediateRead + Unpin + Send + 'static,
{
    let traffic = Arc::new(Traffic::default());
    let stream = TrafficStream {
        stream,
        traffic: traffic.clone(),
    };
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_BODY_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    Ok(NewConnection {
        connection: Connection { sender, traffic },
        // how it ends is told to the call on it
        driver: Box::pin(async move { drop(connection.await) }),
    })
}
