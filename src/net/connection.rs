//! Serves one accepted connection from its first byte to its close. A socket is never closed while it has unread bytes,
//! since the kernel would then reset the connection, and answers in flight would be lost.
//!
//! A closing connection ends at an instant at which the kernel has no more bytes to read. Bytes that arrived before are
//! treated as a request; bytes that arrive later were sent before the peer noticed the close, and are discarded.
//!
//! A peer that sends requests and does not read the answers fills the buffers, and then no more answers can be written.
//! If the peer accepts no byte for [`STALL_TIMEOUT`], its connection is closed, unread bytes or not. A client has at most
//! one answer that it has not read, which always fits into the buffers.
//!
//! What a connection may hold in memory is limited: one read takes at most [`MAX_READ_BYTES`], the head of a request over
//! [`SMALL_HEAD_BYTES`] is read on only once memory is reserved for it, and no request is handled while an earlier answer
//! waits to be written.
//!
//! [`MAX_READ_BYTES`]: message_sender::memory::MAX_READ_BYTES
//! [`SMALL_HEAD_BYTES`]: message_sender::memory::SMALL_HEAD_BYTES

mod body_reception;
mod presence;
mod socket;
mod state;

use super::events::MAX_BODY_BYTES;
use super::message_log;
use super::stream::Stream;
pub use body_reception::BodyReception;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::HttpService;
use hyper_util::rt::{TokioIo, TokioTimer};
pub use presence::ClientPresence;
use socket::Socket;
use state::Phase;
pub use state::{Activity, ConnectionState, StalledRequest};
use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
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

/// HTTP settings of one kind of connection (clients or operators).
pub struct HttpSettings {
    /// Hyper's server settings; [`serve`] adds the time limit for receiving a request head.
    pub http: http1::Builder,
    /// Time without a request after which the connection is closed.
    pub idle_timeout: Duration,
    /// Size of the kernel's send buffer in bytes; `None` leaves it to the system. The kernel reports room for more bytes
    /// only once about a third of it is free, so that with a large buffer a slow peer looks like one that has stopped.
    pub send_buffer_bytes: Option<usize>,
    /// Free bytes from which memory for large heads is reserved; `None` if heads need no reservation.
    pub free_bytes: Option<Arc<Semaphore>>,
}

/// Serves a connection until its peer closes it, an invalid request or the idle timeout ends it, it is asked to close
/// through `state`, or `closing` completes.
///
/// `service` creates the service of the connection's requests.
pub async fn serve<S>(
    stream: TcpStream,
    state: &Rc<ConnectionState>,
    settings: HttpSettings,
    service: impl FnOnce(ClientPresence) -> S,
    closing: impl Future,
) where
    S: HttpService<Incoming, ResBody = Full<Bytes>, Error = Infallible>,
{
    let HttpSettings {
        mut http,
        idle_timeout,
        send_buffer_bytes,
        free_bytes,
    } = settings;
    let stream = Stream::from(stream);
    stream.set_nodelay();
    if let Some(bytes) = send_buffer_bytes {
        stream.set_send_buffer(bytes);
    }
    let socket = Socket::new(stream, state.clone(), free_bytes);
    let service = service(socket.presence());
    // limits a head that arrives slowly; a connection on which no head has begun ends earlier, by `idle_timeout`
    http.timer(TokioTimer::new())
        .header_read_timeout(idle_timeout + CLOSE_GRACE);
    {
        let connection = http.serve_connection(TokioIo::new(socket.clone()), service);
        tokio::pin!(connection, closing);
        loop {
            let next_check = state.next_check(Instant::now(), idle_timeout);
            if state.phase() == Phase::Evicted {
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
                () = state.close_requested() => {}
                _ = &mut closing, if !state.is_closing() => state.request_close(),
                () = sleep_until(next_check) => {}
            }
        }
    }
    state.set_idle(true);
    state.set_phase(Phase::HalfClosed);
    if let Some(stream) = socket.into_stream() {
        // an eviction interrupts the reading, so that a new connection gets this one's permit at once
        tokio::select! {
            _ = timeout(CLOSE_GRACE, discard_late_bytes(stream)) => {}
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
