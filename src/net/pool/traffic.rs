//! Byte-level tracking of one connection: counts the bytes written, keeps the start of an answer for the log, and
//! abandons a call without losing an answer that has already arrived.

use super::status_line::{StatusLineReader, SuccessLine};
use crate::net::head_memory::{HeadMemory, limited, poll_limited_read};
use crate::net::stream::Stream;
use message_sender::memory::SMALL_HEAD_BYTES;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

/// Number of bytes from the start of an answer that are kept for the log.
const KEPT_ANSWER_BYTES: usize = 32;

/// Progress of one connection that hyper does not expose, shared by the socket and the call on it.
#[derive(Default)]
pub struct Traffic {
    written: AtomicU64,
    /// Value of `written` at which the request of the current call is complete.
    request_end: AtomicU64,
    /// True if bytes arrived that belong to no call.
    has_stray_bytes: AtomicBool,
    /// True once memory is reserved for a large head of an answer, until the connection ends.
    holds_head_memory: AtomicBool,
    answer: Mutex<AnswerProgress>,
    success_line_read: Notify,
    abandonment: Mutex<Abandonment>,
    input_drained: Notify,
}

/// Part of the current answer that has been received.
#[derive(Default)]
struct AnswerProgress {
    bytes: u64,
    /// True once the whole head has been received, so that further bytes belong to the body.
    is_head_received: bool,
    /// First bytes of the answer, up to [`KEPT_ANSWER_BYTES`].
    start: Vec<u8>,
    status_line: StatusLineReader,
}

/// Progress of abandoning a call. The call ends once the kernel has no more received bytes to read, so that an answer
/// that has arrived by then still counts.
#[derive(Default)]
struct Abandonment {
    /// True while the call must be abandoned as soon as a read finds no more received bytes.
    is_requested: bool,
    /// True once all bytes received before the end of the call have been read, or the connection has closed.
    is_input_drained: bool,
    /// True once the sending side of the connection is shut.
    is_shut: bool,
    /// True once the connection is closed, so that nothing more can be read.
    is_closed: bool,
    /// Wakes the task that waits to read from the connection.
    reader: Option<Waker>,
}

impl Traffic {
    /// Returns the number of bytes written to the connection since it was opened.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    fn abandonment(&self) -> MutexGuard<'_, Abandonment> {
        self.abandonment
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Abandons the call on this connection: waits until all received bytes have been read and the sending side is
    /// shut. From then on the endpoint can see that the call has ended.
    pub async fn abandon_call(&self) {
        let reader = {
            let mut abandonment = self.abandonment();
            abandonment.is_requested = true;
            abandonment.is_input_drained = abandonment.is_closed;
            abandonment.reader.take()
        };
        reader.into_iter().for_each(Waker::wake);
        while !self.abandonment().is_input_drained {
            self.input_drained.notified().await;
        }
    }

    /// Withdraws the request to abandon the call after its answer has arrived, so that the connection can be kept.
    pub fn keep_connection(&self) {
        self.abandonment().is_requested = false;
    }

    /// Returns whether the sending side is shut, so that the connection cannot carry another call.
    pub(super) fn is_shut(&self) -> bool {
        self.abandonment().is_shut
    }

    fn answer(&self) -> MutexGuard<'_, AnswerProgress> {
        self.answer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of bytes of the current answer that have been received.
    pub fn answer_bytes(&self) -> u64 {
        self.answer().bytes
    }

    /// Returns the first bytes of the current answer, up to `KEPT_ANSWER_BYTES`.
    pub fn answer_start(&self) -> Vec<u8> {
        self.answer().start.clone()
    }

    /// Begins a call whose request has this length in bytes, and discards the record of the previous answer. Bytes that
    /// arrive before the whole request is written are not the answer to it: they belong to no call, and the connection
    /// ends.
    pub fn begin_call(&self, request_length: u64) {
        *self.answer() = AnswerProgress::default();
        let request_end = self.written() + request_length;
        self.request_end.store(request_end, Ordering::Relaxed);
    }

    /// Records that the whole head of the answer has been received.
    pub fn record_head_received(&self) {
        self.answer().is_head_received = true;
    }

    /// Returns whether the connection has read a head for which memory is reserved. Its read buffer stays large, so it
    /// must not carry another call.
    pub fn holds_head_memory(&self) -> bool {
        self.holds_head_memory.load(Ordering::Relaxed)
    }

    /// Returns whether more of an incomplete head may be read only once memory is reserved for it.
    fn needs_head_memory(&self) -> bool {
        let answer = self.answer();
        let is_large = answer.bytes >= SMALL_HEAD_BYTES as u64;
        is_large && !answer.is_head_received && !self.holds_head_memory()
    }

    /// Returns whether the whole request of the current call has been written.
    fn is_request_written(&self) -> bool {
        self.written() >= self.request_end.load(Ordering::Relaxed)
    }

    /// Returns whether bytes arrived that belong to no call, so that the connection was closed.
    pub fn has_stray_bytes(&self) -> bool {
        self.has_stray_bytes.load(Ordering::Relaxed)
    }

    /// Records bytes that belong to no call, and returns the error that ends their connection.
    fn stray_bytes_error(&self) -> io::Error {
        self.has_stray_bytes.store(true, Ordering::Relaxed);
        io::Error::new(
            io::ErrorKind::InvalidData,
            "bytes arrived before the whole request was written",
        )
    }

    fn record_answer_bytes(&self, bytes: &[u8]) {
        let mut answer = self.answer();
        answer.bytes += bytes.len() as u64;
        let capacity_left = KEPT_ANSWER_BYTES.saturating_sub(answer.start.len());
        answer
            .start
            .extend_from_slice(&bytes[..bytes.len().min(capacity_left)]);
        answer.status_line.read(bytes);
        if answer.status_line.success().is_some() {
            self.success_line_read.notify_one();
        }
    }

    /// Returns proof of a status line with 200 once the whole line has been received, whatever follows it.
    pub fn success_line(&self) -> Option<SuccessLine> {
        self.answer().status_line.success()
    }

    /// Waits until a whole status line with 200 has been received.
    pub async fn wait_for_success_line(&self) -> SuccessLine {
        loop {
            if let Some(line) = self.success_line() {
                return line;
            }
            self.success_line_read.notified().await;
        }
    }
}

/// Stream that records its bytes in [`Traffic`]. The count of written bytes shows whether the endpoint may have
/// processed a request: it cannot have processed one whose last byte was never written.
pub(super) struct TrafficStream<S> {
    pub(super) stream: S,
    pub(super) traffic: Arc<Traffic>,
    pub(super) head_memory: HeadMemory,
}

impl<S> TrafficStream<S> {
    /// Waits until memory is reserved for the rest of a large head.
    fn poll_head_memory(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.traffic.needs_head_memory() {
            ready!(self.head_memory.poll_reserve(context))?;
            self.traffic
                .holds_head_memory
                .store(true, Ordering::Relaxed);
        }
        Poll::Ready(Ok(()))
    }

    fn record_written(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &result {
            self.traffic
                .written
                .fetch_add(*bytes as u64, Ordering::Relaxed);
        }
        result
    }
}

impl<S: ImmediateRead> TrafficStream<S> {
    /// Checks that nothing has been received before the next bytes of a request are written. Asks the kernel, since the
    /// runtime may not have noticed received bytes yet. `Pending` if a signal interrupted the check.
    fn poll_nothing_received(&self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.traffic.is_request_written() {
            return Poll::Ready(Ok(()));
        }
        if self.traffic.has_stray_bytes() {
            // the call counts as never executed, so the rest of its request must not be written
            return Poll::Ready(Err(self.traffic.stray_bytes_error()));
        }
        match self.stream.read_now(&mut [0]) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Poll::Ready(Ok(())),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {
                context.waker().wake_by_ref();
                Poll::Pending
            }
            Err(error) => Poll::Ready(Err(error)),
            // the endpoint has closed its side, so no answer can follow
            Ok(0) => Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into())),
            Ok(_) => Poll::Ready(Err(self.traffic.stray_bytes_error())),
        }
    }
}

impl<S> Drop for TrafficStream<S> {
    fn drop(&mut self) {
        // nothing more can be read from a closed connection, so a task that waits in `abandon_call` may continue
        let mut abandonment = self.traffic.abandonment();
        abandonment.is_input_drained = true;
        abandonment.is_closed = true;
        drop(abandonment);
        self.traffic.input_drained.notify_one();
    }
}

/// Socket operations that ask the kernel directly. The runtime polls sockets only between task turns, so a timer may
/// fire before the runtime has noticed bytes that have already arrived.
pub(super) trait ImmediateRead {
    /// Reads received bytes without waiting; fails with `WouldBlock` if there are none.
    fn read_now(&self, buffer: &mut [u8]) -> io::Result<usize>;

    /// Shuts the sending side of the connection; the receiving side stays open.
    fn end_sending(&self);
}

impl ImmediateRead for Stream {
    fn read_now(&self, buffer: &mut [u8]) -> io::Result<usize> {
        Stream::read_now(self, buffer)
    }

    fn end_sending(&self) {
        Stream::end_sending(self);
    }
}

#[cfg(test)]
impl ImmediateRead for tokio::io::DuplexStream {
    fn read_now(&self, _: &mut [u8]) -> io::Result<usize> {
        Err(io::ErrorKind::WouldBlock.into())
    }

    fn end_sending(&self) {}
}

impl<S: AsyncRead + ImmediateRead + Unpin> AsyncRead for TrafficStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let waits_for_memory = match self.poll_head_memory(context) {
            Poll::Ready(reserved) => {
                reserved?;
                false
            }
            Poll::Pending => true,
        };
        let mut result = if waits_for_memory {
            Poll::Pending
        } else {
            let stream = Pin::new(&mut self.stream);
            poll_limited_read(stream, context, buffer).map_ok(|_| ())
        };
        if result.is_pending() {
            let mut abandonment = self.traffic.abandonment();
            abandonment.reader = Some(context.waker().clone());
            if std::mem::take(&mut abandonment.is_requested) {
                let read = if waits_for_memory {
                    // the rest of a large head is given up together with its call
                    Err(io::ErrorKind::WouldBlock.into())
                } else {
                    self.stream.read_now(limited(buffer))
                };
                match read {
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                        // the endpoint must be able to see the end before this process acts on it, for example by
                        // sending the next message of the same key
                        self.stream.end_sending();
                        abandonment.is_shut = true;
                        abandonment.is_input_drained = true;
                        self.traffic.input_drained.notify_one();
                    }
                    Err(error) if error.kind() == io::ErrorKind::Interrupted => {
                        abandonment.is_requested = true;
                        context.waker().wake_by_ref();
                    }
                    Err(error) => result = Poll::Ready(Err(error)),
                    Ok(read) => {
                        buffer.advance(read);
                        // more bytes may follow: the reader polls again, and the request to abandon stays
                        abandonment.is_requested = true;
                        result = Poll::Ready(Ok(()));
                    }
                }
            }
        }
        let received = &buffer.filled()[filled_before..];
        if !received.is_empty() && !self.traffic.is_request_written() {
            buffer.set_filled(filled_before);
            return Poll::Ready(Err(self.traffic.stray_bytes_error()));
        }
        self.traffic.record_answer_bytes(received);
        result
    }
}

impl<S: AsyncWrite + ImmediateRead + Unpin> AsyncWrite for TrafficStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_nothing_received(context))?;
        let result = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.record_written(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_nothing_received(context))?;
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.record_written(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

#[cfg(test)]
mod tests;
