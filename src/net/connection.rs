//! One accepted connection from its first byte to its close: requests are served until it is asked to close, and a
//! close never meets bytes that nobody read, since those would reset the connection and take answers with them.
//!
//! Whether a connection may end is decided at the one moment at which the system has nothing more to read: what came
//! before that is a request and is answered, what comes after it crosses the close and is read by nobody.

use super::events::MAX_BODY_BYTES;
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

/// A connection without a request for this long may be closed to make room: the last answer has arrived at its client
/// by then, and a new connection's first request here too. A head that takes longer is no client's. After the sending
/// side is shut, late bytes are read for as long.
pub const CLOSE_GRACE: Duration = Duration::from_millis(250);
/// So many late bytes are read at most.
const MAX_LATE_BYTES: usize = 4 * MAX_BODY_BYTES;

/// How far the life of a connection is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// It takes requests.
    Open,
    /// It closes as soon as no request is open on it.
    Closing,
    /// Its sending side is shut; late bytes are read and discarded.
    HalfClosed,
    /// It is closed at once, since its permit is needed.
    Evicted,
}

/// The order in which connections are closed to make room: the least first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClosePriority {
    /// It still takes requests.
    pub is_open: bool,
    pub idle_since: Instant,
}

/// The state of one accepted connection, shared with those that may close it.
#[derive(Debug)]
pub struct ConnectionState {
    /// Since when no request is open on it.
    idle_since: Cell<Option<Instant>>,
    /// When the first byte of a request came that is not complete.
    request_began: Cell<Option<Instant>>,
    phase: Cell<Phase>,
    close_requested: Notify,
}

impl ConnectionState {
    /// That of a connection that was accepted now.
    pub fn new(now: Instant) -> Self {
        ConnectionState {
            idle_since: Cell::new(Some(now)),
            request_began: Cell::default(),
            phase: Cell::new(Phase::Open),
            close_requested: Notify::new(),
        }
    }

    /// A request is open from now on, or its answer is sent.
    pub fn set_idle(&self, idle: bool) {
        self.set_idle_since(idle.then(Instant::now));
    }

    /// No request has been open on it since then; none: there is one.
    pub fn set_idle_since(&self, since: Option<Instant>) {
        self.idle_since.set(since);
        self.request_began.set(None);
    }

    /// In which order it is closed to make room; none if it can't be.
    pub fn close_priority(&self, now: Instant) -> Option<ClosePriority> {
        let (is_open, is_closable) = match self.phase.get() {
            Phase::Open => (true, self.may_close(now)),
            Phase::HalfClosed => (false, true),
            Phase::Closing | Phase::Evicted => (false, false),
        };
        let idle_since = self.idle_since.get().filter(|_| is_closable)?;
        Some(ClosePriority {
            is_open,
            idle_since,
        })
    }

    /// Closes it once no request is open on it, or at once if its sending side is shut.
    pub fn request_close(&self) {
        self.phase.set(match self.phase.get() {
            Phase::Open | Phase::Closing => Phase::Closing,
            Phase::HalfClosed | Phase::Evicted => Phase::Evicted,
        });
        self.close_requested.notify_one();
    }

    fn is_closing(&self) -> bool {
        self.phase.get() != Phase::Open
    }

    /// Waits until it is to be closed at once.
    async fn evicted(&self) {
        while self.phase.get() != Phase::Evicted {
            self.close_requested.notified().await;
        }
    }

    /// From when it may be closed as far as time goes; none while a request is open.
    fn closable_from(&self) -> Option<Instant> {
        let idle = self.idle_since.get()?;
        Some(self.request_began.get().unwrap_or(idle).max(idle) + CLOSE_GRACE)
    }

    /// When the connection is to be looked at again; one that has been idle for too long is asked to close.
    fn next_check(&self, now: Instant, idle_timeout: Duration) -> Instant {
        match self.idle_since.get() {
            // a request that is open takes no less than this
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

/// The socket, which outlasts what serves it.
#[derive(Clone)]
struct Socket {
    stream: Rc<RefCell<Stream>>,
    state: Rc<ConnectionState>,
    /// The system takes no more of the answers for now.
    write_blocked: Rc<Cell<bool>>,
}

impl Socket {
    fn with<T>(&self, poll: impl FnOnce(Pin<&mut Stream>) -> T) -> T {
        poll(Pin::new(&mut *self.stream.borrow_mut()))
    }

    /// Whether the input may end here, if the system has nothing more to read.
    fn may_end_input(&self) -> bool {
        self.state.is_closing() && !self.write_blocked.get() && self.state.may_close(Instant::now())
    }

    /// Reads past the runtime, which looks at the system only between turns, in which a timer may come first. Where
    /// nothing is there to read, this is an end between requests.
    fn read_before_end(
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
        let before = buffer.filled().len();
        match self.with(|stream| stream.poll_read(context, buffer)) {
            Poll::Pending if self.may_end_input() => self.read_before_end(context, buffer),
            Poll::Pending => Poll::Pending,
            Poll::Ready(result) => {
                if buffer.filled().len() > before {
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
        self.write_blocked.set(written.is_pending());
        written
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with(|stream| stream.poll_flush(context))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with(|stream| stream.poll_shutdown(context))
    }
}

/// How a kind of connection is served.
pub struct HttpSettings {
    /// The settings of HTTP; [`serve`] adds the time for a head.
    pub http: http1::Builder,
    /// Longest time without a request.
    pub idle_timeout: Duration,
}

/// Serves the connection until it ends: by its peer, by an invalid request, by `idle_timeout`, when it is asked to
/// close, or once `closing` is ready.
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
    } = settings;
    let stream = Stream::from(stream);
    stream.set_nodelay();
    let socket = Socket {
        stream: Rc::new(RefCell::new(stream)),
        state: state.clone(),
        write_blocked: Rc::default(),
    };
    // the time of a head that comes slowly; a connection without one ends before that, by `idle_timeout`
    http.timer(TokioTimer::new())
        .header_read_timeout(idle_timeout + CLOSE_GRACE);
    {
        let connection = http.serve_connection(TokioIo::new(socket.clone()), service);
        tokio::pin!(connection, closing);
        loop {
            let next_check = state.next_check(Instant::now(), idle_timeout);
            tokio::select! {
                // what has come goes before an end; and it is the connection that finds whether it may end
                biased;
                // a client may disconnect as it likes; a message it left behind is withdrawn by its guard
                _ = &mut connection => break,
                () = state.close_requested.notified(), if !state.is_closing() => {}
                _ = &mut closing, if !state.is_closing() => state.request_close(),
                () = sleep_until(next_check) => {}
            }
        }
    }
    state.set_idle(true);
    state.phase.set(Phase::HalfClosed);
    let Socket { stream, .. } = socket;
    if let Some(stream) = Rc::into_inner(stream) {
        // whoever needs this connection's permit gets it at once
        tokio::select! {
            _ = timeout(CLOSE_GRACE, discard_late_bytes(stream.into_inner())) => {}
            () = state.evicted() => {}
        }
    }
}

/// Shuts the sending side and reads on until the peer has done so too, or has sent too much.
async fn discard_late_bytes(mut stream: Stream) -> io::Result<()> {
    stream.shutdown().await?;
    let mut left = MAX_LATE_BYTES;
    while left > 0 {
        let mut bytes = Discarded {
            stream: &mut stream,
        };
        let read = std::future::poll_fn(|context| bytes.poll(context)).await?;
        if read == 0 {
            return Ok(());
        }
        left = left.saturating_sub(read);
    }
    Ok(())
}

/// Reads and discards, with a buffer on the stack alone.
struct Discarded<'a> {
    stream: &'a mut Stream,
}

impl Discarded<'_> {
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut bytes = [0; 8 * 1024];
        let mut buffer = ReadBuf::new(&mut bytes);
        ready!(Pin::new(&mut *self.stream).poll_read(context, &mut buffer))?;
        Poll::Ready(Ok(buffer.filled().len()))
    }
}
