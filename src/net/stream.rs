//! A TCP stream that waits only when the system says that it would block.
//!
//! The runtime's own stream takes a short read or write for the last one before the socket blocks, and waits for the next
//! edge. Linux allows short reads and writes at any time, and then no edge comes.

use super::local_errors::{RETRY_INTERVAL, is_local};
use socket2::SockRef;
use std::io::{self, ErrorKind, IoSlice, Read};
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout_at};

/// Why no connection came up.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// A fault of this machine that lasted as long as there was time; operators see to descriptors, local ports and routes.
    #[error("this machine: {0}")]
    Local(io::Error),
    /// A fault of the peer or of the network.
    #[error("{0}")]
    Peer(io::Error),
    /// No connection came up in time.
    #[error("no answer in time")]
    Timeout,
}

/// A connected TCP stream.
#[derive(Debug)]
pub struct Stream(TcpStream);

impl From<TcpStream> for Stream {
    fn from(stream: TcpStream) -> Self {
        Stream(stream)
    }
}

impl Stream {
    /// A connection to the address, made again as often as this machine fails it, within `time_limit`.
    ///
    /// # Errors
    /// See [`ConnectError`].
    pub async fn connect(address: SocketAddr, time_limit: Duration) -> Result<Self, ConnectError> {
        let deadline = Instant::now() + time_limit;
        let mut local_error = None;
        loop {
            match timeout_at(deadline, TcpStream::connect(address)).await {
                Ok(Ok(stream)) => {
                    let stream = Stream(stream);
                    stream.set_nodelay();
                    return Ok(stream);
                }
                Ok(Err(error)) if !is_local(&error) => return Err(ConnectError::Peer(error)),
                Ok(Err(error)) if Instant::now() + RETRY_INTERVAL >= deadline => {
                    return Err(ConnectError::Local(error));
                }
                Ok(Err(error)) => local_error = Some(error),
                // how long the peer would have taken is not known where this machine used up the time
                Err(_) => {
                    return Err(local_error.map_or(ConnectError::Timeout, ConnectError::Local));
                }
            }
            sleep(RETRY_INTERVAL).await;
        }
    }

    /// Small writes go out at once; without that they still do, only later.
    pub fn set_nodelay(&self) {
        let _ = self.0.set_nodelay(true);
    }

    /// Reads what the system has now, whatever the runtime knows of that.
    ///
    /// # Errors
    /// [`ErrorKind::WouldBlock`] if there is nothing, [`ErrorKind::Interrupted`] if that is not known.
    pub fn read_now(&self, buffer: &mut [u8]) -> io::Result<usize> {
        (&mut &*SockRef::from(&self.0)).read(buffer)
    }

    /// Nothing more is sent; what comes can still be read.
    pub fn end_sending(&self) {
        // a connection that has ended sends nothing either
        let _ = SockRef::from(&self.0).shutdown(Shutdown::Write);
    }

    /// What a poll returns for the result of one system call: none if it would block, so that the poll waits.
    fn poll_of<T>(context: &mut Context<'_>, result: io::Result<T>) -> Option<Poll<io::Result<T>>> {
        match result {
            Err(error) if error.kind() == ErrorKind::WouldBlock => None,
            Err(error) if error.kind() == ErrorKind::Interrupted => {
                // others have their turn first, however often it comes
                context.waker().wake_by_ref();
                Some(Poll::Pending)
            }
            result => Some(Poll::Ready(result)),
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if buffer.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        loop {
            ready!(self.0.poll_read_ready(context))?;
            let read = self.0.try_read_buf(buffer);
            if let Some(poll) = Stream::poll_of(context, read) {
                return poll.map_ok(|_| ());
            }
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(context))?;
            if let Some(poll) = Stream::poll_of(context, self.0.try_write(bytes)) {
                return poll;
            }
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(context))?;
            if let Some(poll) = Stream::poll_of(context, self.0.try_write_vectored(buffers)) {
                return poll;
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.0).shutdown(Shutdown::Write))
    }
}
