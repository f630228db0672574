//! Dials endpoints: establishes the TCP connection and sets up hyper's HTTP/1 client on it.

use super::traffic::{ImmediateRead, Traffic, TrafficStream};
use crate::net::head_memory::HeadMemory;
use crate::net::stream::{ConnectError, Stream};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use message_sender::memory::MAX_HEAD_BYTES;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};

/// Established connection to an endpoint.
pub struct Connection {
    /// Hyper's handle that sends requests over the connection.
    pub sender: SendRequest<Full<Bytes>>,
    /// Tracks the bytes written and received, and abandons a call without losing an answer that has already arrived.
    pub traffic: Arc<Traffic>,
}

/// New connection, with the hyper future that must be polled until the connection closes.
pub(super) struct NewConnection {
    pub(super) connection: Connection,
    pub(super) connection_task: Pin<Box<dyn Future<Output = ()>>>,
}

/// Source of new connections: real dials, or prepared streams in tests.
pub(super) enum Connector {
    Tcp,
    /// Prepared streams, one for each dial; further dials fail as refused.
    #[cfg(test)]
    Prepared(std::cell::RefCell<std::collections::VecDeque<tokio::io::DuplexStream>>),
}

impl Connector {
    #[cfg(test)]
    pub(super) fn prepared(streams: Vec<tokio::io::DuplexStream>) -> Self {
        Connector::Prepared(std::cell::RefCell::new(streams.into()))
    }

    /// Dials `address` and completes the HTTP handshake. `head_memory` is for large heads of answers.
    pub(super) async fn connect(
        &self,
        address: SocketAddr,
        timeout: Duration,
        head_memory: HeadMemory,
    ) -> Result<NewConnection, ConnectError> {
        let connected = match self {
            Connector::Tcp => {
                handshake(Stream::connect(address, timeout).await?, head_memory).await
            }
            #[cfg(test)]
            Connector::Prepared(streams) => {
                let stream = streams.borrow_mut().pop_front();
                let refused = || ConnectError::Peer(io::ErrorKind::ConnectionRefused.into());
                handshake(stream.ok_or_else(refused)?, head_memory).await
            }
        };
        connected.map_err(ConnectError::Peer)
    }
}

async fn handshake<S>(stream: S, head_memory: HeadMemory) -> io::Result<NewConnection>
where
    S: AsyncRead + AsyncWrite + ImmediateRead + Unpin + Send + 'static,
{
    let traffic = Arc::new(Traffic::default());
    let stream = TrafficStream {
        stream,
        traffic: traffic.clone(),
        head_memory,
    };
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    Ok(NewConnection {
        connection: Connection { sender, traffic },
        // an error of the connection is also returned to the call on it, so it is dropped here
        connection_task: Box::pin(async move { drop(connection.await) }),
    })
}
