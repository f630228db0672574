//! One accepted connection from its first byte to its close: requests are served until it is asked to leave, and a
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

/// A connection without a request for this long may be closed to make room: what its client last got has
/// arrived by then, and a new connection's first request too. A head that takes longer is no client's. After the
/// sending side is shut, what crosses that is read for as long.
pub const SPARE: Duration = Duration::from_millis(250);
/// So much of it at most.
const CROSSING_MOST: usize = 4 * MAX_BODY_BYTES;

/// How far a connection is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// It takes requests.
    Open,
    /// It ends as soon as no request is on it.
    Leaving,
    /// Its sending side is shut; what crosses that is read and not looked at.
    Crossing,
    /// Its place is wanted at once.
    Gone,
}

/// One connection that was accepted, as others see it.
#[derive(Debug)]
pub struct Slot {
    /// Since when no request is open on it.
    idle_since: Cell<Option<Instant>>,
    /// When the first byte of a request came that is not whole.
    begun: Cell<Option<Instant>>,
    phase: Cell<Phase>,
    leave: Notify,
}

impl Slot {
    /// That of a connection that was accepted now.
    pub fn new(now: Instant) -> Self {
        Slot {
            idle_since: Cell::new(Some(now)),
            begun: Cell::default(),
            phase: Cell::new(Phase::Open),
            leave: Notify::new(),
        }
    }

    /// A whole request has come, or its answer is out.
    pub fn set_idle(&self, idle: bool) {
        self.set_idle_since(idle.then(Instant::now));
    }

    /// No request has been open on it since then; none: there is one.
    pub fn set_idle_since(&self, since: Option<Instant>) {
        self.idle_since.set(since);
        self.begun.set(None);
    }

    /// Whether it is still open, and since when it has been idle, if it may be closed to make room: the least first.
    pub fn spare(&self, now: Instant) -> Option<(bool, Instant)> {
        let (open, spare) = match self.phase.get() {
            Phase::Open => (true, self.may_end(now)),
            Phase::Crossing => (false, true),
            Phase::Leaving | Phase::Gone => (false, false),
        };
        self.idle_since
            .get()
            .filter(|_| spare)
            .map(|since| (open, since))
    }

    /// It is to be closed once no request is on it.
    pub fn leave(&self) {
        self.phase.set(match self.phase.get() {
            Phase::Open | Phase::Leaving => Phase::Leaving,
            Phase::Crossing | Phase::Gone => Phase::Gone,
        });
        self.leave.notify_one();
    }

    fn is_leaving(&self) -> bool {
        self.phase.get() != Phase::Open
    }

    /// Until its place is wanted at once.
    async fn gone(&self) {
        while self.phase.get() != Phase::Gone {
            self.leave.notified().await;
        }
    }

    /// From when it may end as far as time goes; none while a request is open.
    fn ends_from(&self) -> Option<Instant> {
        let idle = self.idle_since.get()?;
        Some(self.begun.get().unwrap_or(idle).max(idle) + SPARE)
    }

    fn may_end(&self, now: Instant) -> bool {
        self.ends_from().is_some_and(|from| from <= now)
    }

    fn has_read(&self) {
        if self.idle_since.get().is_some() && self.begun.get().is_none() {
            self.begun.set(Some(Instant::now()));
        }
    }
}

/// The socket, which outlasts what serves it.
#[derive(Clone)]
struct Socket {
    stream: Rc<RefCell<Stream>>,
    slot: Rc<Slot>,
    /// The system takes no more for now of what was answered.
    full: Rc<Cell<bool>>,
}

impl Socket {
    fn with<T>(&self, poll: impl FnOnce(Pin<&mut Stream>) -> T) -> T {
        poll(Pin::new(&mut *self.stream.borrow_mut()))
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
            Poll::Pending
                if self.slot.is_leaving()
                    && !self.full.get()
                    && self.slot.may_end(Instant::now()) =>
            {
                // the runtime looks at the system only between turns, in which a timer may come first
                let room = buffer.initialize_unfilled();
                let read = self.stream.borrow().read_now(room);
                match read {
                    // nothing is there to read, so this is an end between requests
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => Poll::Ready(Ok(())),
                    Err(error) if error.kind() == io::ErrorKind::Interrupted => {
                        context.waker().wake_by_ref();
                        Poll::Pending
                    }
                    Err(error) => Poll::Ready(Err(error)),
                    Ok(read) => {
                        buffer.advance(read);
                        self.slot.has_read();
                        Poll::Ready(Ok(()))
                    }
                }
            }
            Poll::Pending => Poll::Pending,
            Poll::Ready(result) => {
                if buffer.filled().len() > before {
                    self.slot.has_read();
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
        self.full.set(written.is_pending());
        written
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with(|stream| stream.poll_flush(context))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with(|stream| stream.poll_shutdown(context))
    }
}

/// Serves the connection until it ends: by its peer, by a request that is none, once it has been idle for so long or
/// asked to leave, or once `closing` has come.
pub async fn serve<S>(
    stream: TcpStream,
    slot: &Rc<Slot>,
    mut http: http1::Builder,
    idle: Duration,
    service: S,
    closing: impl Future,
) where
    S: HttpService<Incoming, ResBody = Full<Bytes>, Error = Infallible>,
{
    let stream = Stream::from(stream);
    stream.set_nodelay();
    let socket = Socket {
        stream: Rc::new(RefCell::new(stream)),
        slot: slot.clone(),
        full: Rc::default(),
    };
    // the time of a head that comes slowly; a connection without one ends before that, by `idle`
    http.timer(TokioTimer::new())
        .header_read_timeout(idle + SPARE);
    {
        let connection = http.serve_connection(TokioIo::new(socket.clone()), service);
        tokio::pin!(connection, closing);
        loop {
            let now = Instant::now();
            let look = match slot.idle_since.get() {
                // a request that is open leaves no less than this
                None => now + if slot.is_leaving() { SPARE } else { idle },
                Some(_) if slot.is_leaving() => slot
                    .ends_from()
                    .filter(|from| *from > now)
                    .unwrap_or(now + SPARE),
                Some(since) if since + idle <= now => {
                    slot.leave();
                    now
                }
                Some(since) => since + idle,
            };
            tokio::select! {
                // what has come goes before an end; and it is the connection that finds whether it may end
                biased;
                // how a client leaves is its own affair; a message it left behind is withdrawn by its guard
                _ = &mut connection => break,
                () = slot.leave.notified(), if !slot.is_leaving() => {}
                _ = &mut closing, if !slot.is_leaving() => slot.leave(),
                () = sleep_until(look) => {}
            }
        }
    }
    slot.set_idle(true);
    slot.phase.set(Phase::Crossing);
    let Socket { stream, .. } = socket;
    if let Some(stream) = Rc::into_inner(stream) {
        // whoever asks for room gets it at once
        tokio::select! {
            _ = timeout(SPARE, read_crossing(stream.into_inner())) => {}
            () = slot.gone() => {}
        }
    }
}

/// Shuts the sending side and reads on until the peer has done so too, or has sent too much.
async fn read_crossing(mut stream: Stream) -> io::Result<()> {
    stream.shutdown().await?;
    let mut left = CROSSING_MOST;
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

/// Reads into nothing, with room on the stack alone.
struct Discarded<'a> {
    stream: &'a mut Stream,
}

impl Discarded<'_> {
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut room = [0; 8 * 1024];
        let mut buffer = ReadBuf::new(&mut room);
        ready!(Pin::new(&mut *self.stream).poll_read(context, &mut buffer))?;
        Poll::Ready(Ok(buffer.filled().len()))
    }
}
