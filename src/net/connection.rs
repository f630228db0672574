//! Serves one accepted connection from its first byte to its close. A socket is never closed while it has unread bytes,
//! since the kernel would then reset the connection, and answers in flight would be lost.
//!
//! A closing connection ends at an instant at which the kernel has no more bytes to read. Bytes that arrived before are
//! treated as a request; bytes that arrive later were sent before the peer noticed the close, and are discarded.
//!
//! A peer that sends requests and does not read the answers fills the buffers, and then no more answers can be written.
//! If the peer accepts no byte for [`STALL_TIMEOUT`], its connection is closed, unread bytes or not. A client has at most
//! one answer that it has not read, which always fits into the buffers.

use super::events::MAX_BODY_BYTES;
use super::message_log;
use super::stream::Stream;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::HttpService;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until, timeout};

/// Minimum time without a request before a connection may be closed to make room. By then the last answer has arrived
/// at its client, and the first request of a new connection has arrived here. A request head that takes longer does not
/// come from a proper client. Late bytes are read for the same time after the sending side is shut.
pub const CLOSE_GRACE: Duration = Duration::from_millis(250);
/// Maximum time for which a peer may accept no byte of the answers that wait for it. A peer that accepts some, however
/// slowly, keeps its connection.
const STALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Minimum time without a byte accepted by the peer before its connection may be closed to make room.
const STALL_GRACE: Duration = Duration::from_millis(500);
/// Maximum number of bytes that are read and discarded after the sending side is shut.
const MAX_LATE_BYTES: usize = 4 * MAX_BODY_BYTES;

/// Phase in the lifetime of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The connection accepts requests.
    Open,
    /// The connection closes as soon as no request is open on it.
    Closing,
    /// The sending side is shut; late bytes are read and discarded.
    HalfClosed,
    /// The connection is closed at once: a new connection needs its permit, or its peer accepts no bytes.
    Evicted,
}

/// Sort key of the connections that may be closed to make room; the smallest is closed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClosePriority {
    /// The sending side is shut already, and no request has been open since this time.
    HalfClosed(Instant),
    /// The peer has accepted no byte of its answers since this time.
    Stalled(Instant),
    /// The connection accepts requests, and none has been open since this time.
    Idle(Instant),
}

/// What a connection does, as counted in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Activity {
    /// A request is open.
    Busy,
    /// No request is open.
    Idle,
    /// The connection closes as soon as its answers are written.
    Closing,
    /// The peer accepts no more bytes of its answers at the moment.
    WriteBlocked,
}

/// State of one accepted connection, shared by the task that serves it and those that may ask it to close.
#[derive(Debug)]
pub struct ConnectionState {
    /// Time since which no request has been open; `None` while one is.
    idle_since: Cell<Option<Instant>>,
    /// Time at which the first byte was received of a request whose head is still incomplete; `None` if there is none.
    request_began: Cell<Option<Instant>>,
    /// Time of the first write that the kernel's send buffer did not accept, since it last accepted one; `None` while it
    /// accepts them.
    write_blocked_since: Cell<Option<Instant>>,
    phase: Cell<Phase>,
    close_requested: Notify,
}

impl ConnectionState {
    /// Creates the state of a connection that was accepted at `now`.
    pub fn new(now: Instant) -> Self {
        ConnectionState {
            idle_since: Cell::new(Some(now)),
            request_began: Cell::default(),
            write_blocked_since: Cell::default(),
            phase: Cell::new(Phase::Open),
            close_requested: Notify::new(),
        }
    }

    /// Records that a request is open from now on (false), or that none is (true), because its answer has been produced
    /// or the connection has ended.
    pub fn set_idle(&self, idle: bool) {
        self.set_idle_since(idle.then(Instant::now));
    }

    /// Sets the time since which no request has been open; `None` while one is.
    pub fn set_idle_since(&self, since: Option<Instant>) {
        self.idle_since.set(since);
        self.request_began.set(None);
    }

    /// Returns the sort key for closing this connection to make room; `None` if it may not be closed now.
    pub fn close_priority(&self, now: Instant) -> Option<ClosePriority> {
        match self.phase.get() {
            Phase::HalfClosed => self.idle_since.get().map(ClosePriority::HalfClosed),
            Phase::Evicted => None,
            Phase::Open | Phase::Closing if self.write_blocked_since.get().is_some() => self
                .stalled_since(now, STALL_GRACE)
                .map(ClosePriority::Stalled),
            Phase::Open if self.may_close(now) => self.idle_since.get().map(ClosePriority::Idle),
            Phase::Open | Phase::Closing => None,
        }
    }

    /// Returns what the connection does now.
    pub fn activity(&self) -> Activity {
        if self.write_blocked_since.get().is_some() {
            Activity::WriteBlocked
        } else if self.is_closing() {
            Activity::Closing
        } else if self.idle_since.get().is_some() {
            Activity::Idle
        } else {
            Activity::Busy
        }
    }

    /// Asks the connection to close as soon as no request is open and its answers are written.
    pub fn request_close(&self) {
        if self.phase.get() == Phase::Open {
            self.phase.set(Phase::Closing);
        }
        self.close_requested.notify_one();
    }

    /// Asks the connection to close since a new one needs its permit: at once if its sending side is already shut or its
    /// peer has accepted no byte for [`STALL_GRACE`], else as [`ConnectionState::request_close`].
    pub fn make_room(&self, now: Instant) {
        let is_stalled = self.stalled_since(now, STALL_GRACE).is_some();
        if is_stalled || self.phase.get() == Phase::HalfClosed {
            self.phase.set(Phase::Evicted);
        }
        self.request_close();
    }

    /// Returns the time since which the peer has accepted no byte of its answers, if that is at least `duration` and no
    /// request is open. An open request gets its answer first.
    fn stalled_since(&self, now: Instant, duration: Duration) -> Option<Instant> {
        self.idle_since.get()?;
        let since = self.write_blocked_since.get()?;
        (since + duration <= now).then_some(since)
    }

    fn record_write(&self, is_blocked: bool) {
        let since = self.write_blocked_since.get();
        let since = since.or_else(|| Some(Instant::now()));
        self.write_blocked_since.set(since.filter(|_| is_blocked));
    }

    fn is_closing(&self) -> bool {
        self.phase.get() != Phase::Open
    }

    /// Waits until the connection must be closed at once.
    async fn evicted(&self) {
        while self.phase.get() != Phase::Evicted {
            self.close_requested.notified().await;
        }
    }

    /// Returns the time from which the connection may be closed: [`CLOSE_GRACE`] after the end of the last request, or
    /// after the first byte of a request head that is still incomplete. `None` while a request is open.
    fn closable_from(&self) -> Option<Instant> {
        let idle = self.idle_since.get()?;
        Some(self.request_began.get().unwrap_or(idle).max(idle) + CLOSE_GRACE)
    }

    /// Returns the time of the next check, and asks the connection to close if it has been idle for `idle_timeout` or
    /// its peer has accepted no byte for [`STALL_TIMEOUT`].
    fn next_check(&self, now: Instant, idle_timeout: Duration) -> Instant {
        if self.stalled_since(now, STALL_TIMEOUT).is_some() {
            self.phase.set(Phase::Evicted);
            return now;
        }
        match self.idle_since.get() {
            // the close follows the answer of the open request by at least `CLOSE_GRACE`, so it is not due earlier
            None if self.is_closing() => now + CLOSE_GRACE,
            None => now + idle_timeout,
            Some(_) if self.is_closing() => self
                .closable_from()
                .filter(|from| *from > now)
                .unwrap_or(now + CLOSE_GRACE),
            Some(since) if since + idle_timeout <= now => {
                self.request_close();
                now
            }
            Some(since) => since + idle_timeout,
        }
    }

    fn may_close(&self, now: Instant) -> bool {
        self.closable_from().is_some_and(|from| from <= now)
    }

    fn record_read(&self) {
        if self.idle_since.get().is_some() && self.request_began.get().is_none() {
            self.request_began.set(Some(Instant::now()));
        }
    }
}

/// Socket shared with hyper; it stays open after hyper has finished, so that late bytes can be read.
#[derive(Clone)]
struct Socket {
    stream: Rc<RefCell<Stream>>,
    state: Rc<ConnectionState>,
}

impl Socket {
    fn with<T>(&self, poll: impl FnOnce(Pin<&mut Stream>) -> T) -> T {
        poll(Pin::new(&mut *self.stream.borrow_mut()))
    }

    /// Returns whether the connection may end if the kernel has no more bytes to read: it is closing, the time returned
    /// by `closable_from` has passed, and the kernel has accepted all bytes of the answers that were written.
    fn may_end_if_drained(&self) -> bool {
        let state = &self.state;
        let is_written = state.write_blocked_since.get().is_none();
        state.is_closing() && is_written && state.may_close(Instant::now())
    }

    /// Reads from the kernel directly, since the runtime polls the socket only between task turns and a timer may fire
    /// before it has noticed received bytes. If there are none, reports the end of the input to hyper, which then ends
    /// the connection between requests.
    fn read_or_end_input(
        &self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read = self.stream.borrow().read_now(buffer.initialize_unfilled());
        match read {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Poll::Ready(Ok(())),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {
                context.waker().wake_by_ref();
                Poll::Pending
            }
            Err(error) => Poll::Ready(Err(error)),
            Ok(read) => {
                buffer.advance(read);
                self.state.record_read();
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
        let filled_before = buffer.filled().len();
        match self.with(|stream| stream.poll_read(context, buffer)) {
            Poll::Pending if self.may_end_if_drained() => self.read_or_end_input(context, buffer),
            Poll::Pending => Poll::Pending,
            Poll::Ready(result) => {
                if buffer.filled().len() > filled_before {
                    self.state.record_read();
                }
                Poll::Ready(result)
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

/// HTTP settings of one kind of connection (clients or operators).
pub struct HttpSettings {
    /// Hyper's server settings; [`serve`] adds the time limit for receiving a request head.
    pub http: http1::Builder,
    /// Time without a request after which the connection is closed.
    pub idle_timeout: Duration,
    /// Size of the kernel's send buffer in bytes; `None` leaves it to the system. The kernel reports room for more bytes
    /// only once about a third of it is free, so that with a large buffer a slow peer looks like one that has stopped.
    pub send_buffer_bytes: Option<usize>,
}

/// Serves a connection until its peer closes it, an invalid request or the idle timeout ends it, it is asked to close
/// through `state`, or `closing` completes.
pub async fn serve<S>(
    stream: TcpStream,
    state: &Rc<ConnectionState>,
    settings: HttpSettings,
    service: S,
    closing: impl Future,
) where
    S: HttpService<Incoming, ResBody = Full<Bytes>, Error = Infallible>,
{
    let HttpSettings {
        mut http,
        idle_timeout,
        send_buffer_bytes,
    } = settings;
    let stream = Stream::from(stream);
    stream.set_nodelay();
    if let Some(bytes) = send_buffer_bytes {
        stream.set_send_buffer(bytes);
    }
    let socket = Socket {
        stream: Rc::new(RefCell::new(stream)),
        state: state.clone(),
    };
    // limits a head that arrives slowly; a connection on which no head has begun ends earlier, by `idle_timeout`
    http.timer(TokioTimer::new())
        .header_read_timeout(idle_timeout + CLOSE_GRACE);
    {
        let connection = http.serve_connection(TokioIo::new(socket.clone()), service);
        tokio::pin!(connection, closing);
        loop {
            let next_check = state.next_check(Instant::now(), idle_timeout);
            if state.phase.get() == Phase::Evicted {
                message_log::log_stalled_peer();
                return;
            }
            tokio::select! {
                // poll the connection first: received requests take precedence over a close, and its read decides
                // whether the connection ends
                biased;
                // the result is ignored, since clients may disconnect at any time; the guard of an unanswered request
                // informs the driver
                _ = &mut connection => break,
                () = state.close_requested.notified() => {}
                _ = &mut closing, if !state.is_closing() => state.request_close(),
                () = sleep_until(next_check) => {}
            }
        }
    }
    state.set_idle(true);
    state.phase.set(Phase::HalfClosed);
    let Socket { stream, .. } = socket;
    if let Some(stream) = Rc::into_inner(stream) {
        // an eviction interrupts the reading, so that a new connection gets this one's permit at once
        tokio::select! {
            _ = timeout(CLOSE_GRACE, discard_late_bytes(stream.into_inner())) => {}
            () = state.evicted() => {}
        }
    }
}

/// Shuts the sending side, then reads and discards until the peer has shut its side too or has sent
/// [`MAX_LATE_BYTES`].
async fn discard_late_bytes(mut stream: Stream) -> io::Result<()> {
    stream.shutdown().await?;
    let mut remaining_bytes = MAX_LATE_BYTES;
    while remaining_bytes > 0 {
        let mut reader = DiscardingReader {
            stream: &mut stream,
        };
        let read = std::future::poll_fn(|context| reader.poll(context)).await?;
        if read == 0 {
            return Ok(());
        }
        remaining_bytes = remaining_bytes.saturating_sub(read);
    }
    Ok(())
}

/// Reads and discards bytes with a buffer on the stack, so that no memory is held while the read waits.
struct DiscardingReader<'a> {
    stream: &'a mut Stream,
}

impl DiscardingReader<'_> {
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut bytes = [0; 8 * 1024];
        let mut buffer = ReadBuf::new(&mut bytes);
        ready!(Pin::new(&mut *self.stream).poll_read(context, &mut buffer))?;
        Poll::Ready(Ok(buffer.filled().len()))
    }
}

#[cfg(test)]
mod tests;
