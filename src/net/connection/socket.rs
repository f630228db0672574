//! The socket of an accepted connection as hyper sees it: reads are limited in size, a large head waits for memory, and
//! the input ends only when the kernel has no more received bytes.

use super::presence::{ClientPresence, locked};
use super::state::ConnectionState;
use crate::net::head_memory::{HeadMemory, limited, poll_limited_read};
use crate::net::stream::Stream;
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Semaphore;
use tokio::time::Instant;

/// Socket shared with hyper; it stays open after hyper has finished, so that late bytes can be read.
#[derive(Clone)]
pub(super) struct Socket {
    stream: Arc<Mutex<Stream>>,
    state: Rc<ConnectionState>,
    /// Memory for a large head; `None` if heads need no reservation.
    head_memory: Option<Rc<RefCell<HeadMemory>>>,
}

impl Socket {
    pub(super) fn new(
        stream: Stream,
        state: Rc<ConnectionState>,
        free_bytes: Option<Arc<Semaphore>>,
    ) -> Self {
        Socket {
            stream: Arc::new(Mutex::new(stream)),
            state,
            head_memory: free_bytes.map(|free| Rc::new(RefCell::new(HeadMemory::new(free)))),
        }
    }

    pub(super) fn presence(&self) -> ClientPresence {
        ClientPresence::of(&self.stream)
    }

    /// Returns the stream, unless another clone of the socket is left. Frees the memory for a large head.
    pub(super) fn into_stream(self) -> Option<Stream> {
        let stream = Arc::into_inner(self.stream)?;
        Some(stream.into_inner().unwrap_or_else(PoisonError::into_inner))
    }

    /// Waits until memory is reserved for the rest of a large head.
    fn poll_head_memory(&self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some(memory) = self
            .head_memory
            .as_ref()
            .filter(|_| self.state.needs_head_memory())
        else {
            return Poll::Ready(Ok(()));
        };
        ready!(memory.borrow_mut().poll_reserve(context))?;
        self.state.set_holds_head_memory();
        Poll::Ready(Ok(()))
    }

    fn with<T>(&self, poll: impl FnOnce(Pin<&mut Stream>) -> T) -> T {
        poll(Pin::new(&mut *locked(&self.stream)))
    }

    /// Returns whether the connection may end if the kernel has no more bytes to read: it is closing, the time returned
    /// by `closable_from` has passed, and the kernel has accepted all bytes of the answers that were written.
    fn may_end_if_drained(&self) -> bool {
        let state = &self.state;
        state.is_closing() && !state.is_write_blocked() && state.may_close(Instant::now())
    }

    /// Reads from the kernel directly, since the runtime polls the socket only between task turns and a timer may fire
    /// before it has noticed received bytes. If there are none, reports the end of the input to hyper, which then ends
    /// the connection between requests.
    fn read_or_end_input(
        &self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read = locked(&self.stream).read_now(limited(buffer));
        match read {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Poll::Ready(Ok(())),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {
                context.waker().wake_by_ref();
                Poll::Pending
            }
            Err(error) => Poll::Ready(Err(error)),
            Ok(read) => {
                buffer.advance(read);
                self.state.record_read(read);
                Poll::Ready(Ok(()))
            }
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.poll_head_memory(context) {
            // a head that waits for memory does not keep its connection from closing
            Poll::Pending if self.may_end_if_drained() => return Poll::Ready(Ok(())),
            waited => ready!(waited)?,
        }
        match self.with(|stream| poll_limited_read(stream, context, buffer)) {
            Poll::Pending if self.may_end_if_drained() => self.read_or_end_input(context, buffer),
            Poll::Pending => Poll::Pending,
            Poll::Ready(read) => {
                let read = read?;
                if read > 0 {
                    self.state.record_read(read);
                }
                Poll::Ready(Ok(()))
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = self.with(|stream| stream.poll_write(context, bytes));
        self.state.record_write(written.is_pending());
        written
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with(|stream| stream.poll_flush(context))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with(|stream| stream.poll_shutdown(context))
    }
}
