//! A TCP stream that waits for readiness only after a read or write returned `WouldBlock`.
//!
//! Tokio's own stream assumes after a short read or write that the next one would block, and waits for the next
//! readiness event of the socket. Linux allows short reads and writes at any time. After one that leaves the socket
//! ready, epoll reports no further event, so the connection would hang.

use super::local_errors::{RETRY_INTERVAL, is_local};
use message_sender::memory::MAX_BODY_BYTES;
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use socket2::SockRef;
use std::io::{self, ErrorKind, IoSlice, Read};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr};
use std::os::fd::AsFd;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout_at};

/// Error of opening a connection.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The local host caused the last failure before the time limit, or before the last attempt timed out. Operators
    /// must check file descriptors, local ports and routes.
    #[error("local host: {0}")]
    Local(io::Error),
    /// The peer refused the connection, or the network failed.
    #[error("{0}")]
    Peer(io::Error),
    /// The peer did not answer within the time limit, and no attempt failed because of the local host.
    #[error("connect timed out")]
    Timeout,
}

/// A connected TCP stream; see the module's documentation for the difference to [`TcpStream`].
#[derive(Debug)]
pub struct Stream(TcpStream);

impl From<TcpStream> for Stream {
    fn from(stream: TcpStream) -> Self {
        Stream(stream)
    }
}

impl Stream {
    /// Connects to the address within the time limit. Retries after failures of the local host, for example if no local
    /// port is free.
    ///
    /// # Errors
    /// Returns a [`ConnectError`] with the side that failed.
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
                // a local failure has used up part of the time, so the timeout does not show that the peer is slow
                Err(_) => {
                    return Err(local_error.map_or(ConnectError::Timeout, ConnectError::Local));
                }
            }
            sleep(RETRY_INTERVAL).await;
        }
    }

    /// Disables Nagle's algorithm, so that small writes are sent without delay. Errors are ignored: data is then still
    /// sent, only later.
    pub fn set_nodelay(&self) {
        let _ = self.0.set_nodelay(true);
    }

    /// Sets the size of the kernel's send buffer in bytes, of which the kernel reserves twice as much. Errors are ignored:
    /// the buffer then keeps the size that the system chooses.
    pub fn set_send_buffer(&self, bytes: usize) {
        let _ = SockRef::from(&self.0).set_send_buffer_size(bytes);
    }

    /// Reads the bytes that are in the socket's receive buffer now, without regard to the readiness that the runtime
    /// has recorded.
    ///
    /// # Errors
    /// Returns [`ErrorKind::WouldBlock`] if there are none, [`ErrorKind::Interrupted`] if a signal interrupted the
    /// read, and other errors of the socket.
    pub fn read_now(&self, buffer: &mut [u8]) -> io::Result<usize> {
        (&mut &*SockRef::from(&self.0)).read(buffer)
    }

    /// Returns whether the socket's receive buffer holds at least `bytes`, of which [`MAX_BODY_BYTES`] at most are counted.
    pub fn has_received(&self, bytes: usize) -> bool {
        let mut received = [MaybeUninit::uninit(); MAX_BODY_BYTES];
        let wanted = &mut received[..bytes.min(MAX_BODY_BYTES)];
        let length = wanted.len();
        SockRef::from(&self.0)
            .peek(wanted)
            .is_ok_and(|found| found >= length)
    }

    /// Returns whether the peer has closed the connection or its sending side. The kernel tells this also while received
    /// bytes are still unread. False if it can't be told.
    pub fn has_peer_closed(&self) -> bool {
        let closed = PollFlags::from_bits_retain(nix::libc::POLLRDHUP);
        let mut descriptors = [PollFd::new(self.0.as_fd(), closed)];
        let is_reported = poll(&mut descriptors, PollTimeout::ZERO).is_ok_and(|count| count > 0);
        is_reported
            && descriptors[0]
                .revents()
                // `PollFlags` has no name for `POLLRDHUP`, so events with it can't be converted
                .is_none_or(|events| events.intersects(PollFlags::POLLHUP | PollFlags::POLLERR))
    }

    /// Shuts down the sending direction. The peer's data can still be read.
    pub fn end_sending(&self) {
        // an error only means that the connection has ended already
        let _ = SockRef::from(&self.0).shutdown(Shutdown::Write);
    }

    /// Converts the result of a system call to the result of a poll. Returns `None` after `WouldBlock`, so that the
    /// caller polls for readiness again.
    fn poll_from<T>(
        context: &mut Context<'_>,
        result: io::Result<T>,
    ) -> Option<Poll<io::Result<T>>> {
        match result {
            Err(error) if error.kind() == ErrorKind::WouldBlock => None,
            Err(error) if error.kind() == ErrorKind::Interrupted => {
                // yields to other tasks before the retry, so that repeated interrupts can't starve them
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
            if let Some(poll) = Stream::poll_from(context, read) {
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
            if let Some(poll) = Stream::poll_from(context, self.0.try_write(bytes)) {
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
            if let Some(poll) = Stream::poll_from(context, self.0.try_write_vectored(buffers)) {
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
