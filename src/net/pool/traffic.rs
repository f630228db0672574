//! What goes over a connection: bytes written, the start of an answer, and how a call on it is abandoned.

use super::status_line::{StatusLineReader, SuccessLine};
use crate::net::stream::Stream;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

/// Bytes of an answer that are kept for the log.
const KEPT_ANSWER_BYTES: usize = 32;

/// What has gone over a connection, beside what hyper tells of it.
#[derive(Default)]
pub struct Traffic {
    written: AtomicU64,
    answer: Mutex<AnswerProgress>,
    success_line_read: Notify,
    abandonment: Mutex<Abandonment>,
    read_out: Notify,
}

/// What has come since the last request.
#[derive(Default)]
struct AnswerProgress {
    bytes: u64,
    /// The first of them, up to [`KEPT_ANSWER_BYTES`].
    start: Vec<u8>,
    status_line: StatusLineReader,
}

/// How far a call is given up. It ends at the one moment at which the system has nothing more to read: an answer that
/// has come by then counts.
#[derive(Default)]
struct Abandonment {
    is_wanted: bool,
    is_read_out: bool,
    is_shut: bool,
    /// The connection is gone: nothing more can be read.
    has_ended: bool,
    /// Who reads, and waits for more.
    reader: Option<Waker>,
}

impl Traffic {
    /// Bytes written so far.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    fn abandonment(&self) -> MutexGuard<'_, Abandonment> {
        self.abandonment
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until all that is there has been read and the sending side is shut, which gives the call up: from then on
    /// the endpoint knows of its end.
    pub async fn abandon_call(&self) {
        let reader = {
            let mut abandonment = self.abandonment();
            abandonment.is_wanted = true;
            abandonment.is_read_out = abandonment.has_ended;
            abandonment.reader.take()
        };
        reader.into_iter().for_each(Waker::wake);
        while !self.abandonment().is_read_out {
            self.read_out.notified().await;
        }
    }

    /// An answer has come first: the connection goes on.
    pub fn keep_connection(&self) {
        self.abandonment().is_wanted = false;
    }

    /// True if nothing can be sent any more.
    pub(super) fn is_shut(&self) -> bool {
        self.abandonment().is_shut
    }

    fn answer(&self) -> MutexGuard<'_, AnswerProgress> {
        self.answer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Bytes of an answer that have come.
    pub fn answer_bytes(&self) -> u64 {
        self.answer().bytes
    }

    /// The first bytes of the answer.
    pub fn answer_start(&self) -> Vec<u8> {
        self.answer().start.clone()
    }

    /// What comes from now on is another answer.
    pub fn reset_answer(&self) {
        *self.answer() = AnswerProgress::default();
    }

    fn record_answer_bytes(&self, bytes: &[u8]) {
        let mut answer = self.answer();
        answer.bytes += bytes.len() as u64;
        let room = KEPT_ANSWER_BYTES.saturating_sub(answer.start.len());
        answer
            .start
            .extend_from_slice(&bytes[..bytes.len().min(room)]);
        answer.status_line.read(bytes);
        if answer.status_line.success().is_some() {
            self.success_line_read.notify_one();
        }
    }

    /// The answer's first line, once it has come whole and says 200, whatever follows it.
    pub fn success_line(&self) -> Option<SuccessLine> {
        self.answer().status_line.success()
    }

    /// Waits for a whole first line that says 200.
    pub async fn wait_for_success_line(&self) -> SuccessLine {
        loop {
            if let Some(line) = self.success_line() {
                return line;
            }
            self.success_line_read.notified().await;
        }
    }
}

/// Counts what has been written: a call whose last byte was not can't have run. Keeps the start of what is read.
pub(super) struct TrafficStream<S> {
    pub(super) stream: S,
    pub(super) traffic: Arc<Traffic>,
}

impl<S> TrafficStream<S> {
    fn record_written(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &result {
            self.traffic
                .written
                .fetch_add(*bytes as u64, Ordering::Relaxed);
        }
        result
    }
}

impl<S> Drop for TrafficStream<S> {
    fn drop(&mut self) {
        // what has ended needs no giving up
        let mut abandonment = self.traffic.abandonment();
        abandonment.is_read_out = true;
        abandonment.has_ended = true;
        drop(abandonment);
        self.traffic.read_out.notify_one();
    }
}

/// What the system itself tells of a socket. The runtime asks it only between turns, in which a timer may come first.
pub(super) trait ImmediateRead {
    /// Reads what is there.
    fn read_now(&self, room: &mut [u8]) -> io::Result<usize>;

    /// Nothing more is sent; what comes can still be read.
    fn end_sending(&self);
}

impl ImmediateRead for Stream {
    fn read_now(&self, room: &mut [u8]) -> io::Result<usize> {
        Stream::read_now(self, room)
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
        let before = buffer.filled().len();
        let mut result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if result.is_pending() {
            let mut abandonment = self.traffic.abandonment();
            abandonment.reader = Some(context.waker().clone());
            if std::mem::take(&mut abandonment.is_wanted) {
                match self.stream.read_now(buffer.initialize_unfilled()) {
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                        // its end at the endpoint comes before anything that follows from it here
                        self.stream.end_sending();
                        abandonment.is_shut = true;
                        abandonment.is_read_out = true;
                        self.traffic.read_out.notify_one();
                    }
                    Err(error) if error.kind() == io::ErrorKind::Interrupted => {
                        abandonment.is_wanted = true;
                        context.waker().wake_by_ref();
                    }
                    Err(error) => result = Poll::Ready(Err(error)),
                    Ok(read) => {
                        buffer.advance(read);
                        // there may be more, and the reader comes again
                        abandonment.is_wanted = true;
                        result = Poll::Ready(Ok(()));
                    }
                }
            }
        }
        self.traffic.record_answer_bytes(&buffer.filled()[before..]);
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for TrafficStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.record_written(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
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
