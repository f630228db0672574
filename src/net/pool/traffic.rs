//! What goes over a connection: bytes written, the first line of an answer, and the last look at a call that is given up.

use crate::net::stream::Stream;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

/// As much of an answer as tells its status.
const FIRST_LINE: usize = 16;

/// What has gone over a connection, beside what hyper tells of it.
#[derive(Default)]
pub struct Traffic {
    written: AtomicU64,
    /// The first bytes that came since the last request.
    first: Mutex<Vec<u8>>,
    ending: Mutex<Ending>,
    looked: Notify,
}

/// How far a call is given up. It ends at the one moment at which the system has nothing more to read: an answer that
/// has come by then counts.
#[derive(Default)]
struct Ending {
    wanted: bool,
    looked: bool,
    shut: bool,
    /// The connection is gone: nothing more can be read.
    ended: bool,
    /// Who reads, and waits for more.
    reader: Option<Waker>,
}

impl Traffic {
    /// Bytes written so far.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    fn ending(&self) -> MutexGuard<'_, Ending> {
        self.ending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until all that is there has been read and the sending side is shut, which gives the call up: from then on
    /// the endpoint knows of its end.
    pub async fn give_up(&self) {
        let reader = {
            let mut ending = self.ending();
            (ending.wanted, ending.looked) = (true, ending.ended);
            ending.reader.take()
        };
        reader.into_iter().for_each(Waker::wake);
        while !self.ending().looked {
            self.looked.notified().await;
        }
    }

    /// An answer has come first: the connection goes on.
    pub fn keep(&self) {
        self.ending().wanted = false;
    }

    /// True if nothing can be sent any more.
    pub(super) fn is_shut(&self) -> bool {
        self.ending().shut
    }

    /// What comes from now on is another answer.
    pub fn forget_answer(&self) {
        self.first
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
    }

    fn keep_answer(&self, bytes: &[u8]) {
        let mut first = self.first.lock().unwrap_or_else(PoisonError::into_inner);
        let room = FIRST_LINE.saturating_sub(first.len());
        first.extend_from_slice(&bytes[..bytes.len().min(room)]);
    }

    /// True if an answer's first line says 200, whatever follows it.
    pub fn says_ok(&self) -> bool {
        let first = self.first.lock().unwrap_or_else(PoisonError::into_inner);
        let rest = first
            .strip_prefix(b"HTTP/1.1 200")
            .or_else(|| first.strip_prefix(b"HTTP/1.0 200"));
        rest.and_then(<[u8]>::first)
            .is_some_and(|after| b" \r\n".contains(after))
    }
}

/// Counts what has been written: a call whose last byte was not can't have run. Keeps the start of what is read.
pub(super) struct Counted<S> {
    pub(super) stream: S,
    pub(super) traffic: Arc<Traffic>,
}

impl<S> Counted<S> {
    fn count(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &result {
            self.traffic
                .written
                .fetch_add(*bytes as u64, Ordering::Relaxed);
        }
        result
    }
}

impl<S> Drop for Counted<S> {
    fn drop(&mut self) {
        // what has ended needs no giving up
        let mut ending = self.traffic.ending();
        (ending.looked, ending.ended) = (true, true);
        drop(ending);
        self.traffic.looked.notify_one();
    }
}

/// What the system itself tells of a socket. The runtime asks it only between turns, in which a timer may come first.
pub(super) trait Now {
    /// Reads what is there.
    fn read_now(&self, room: &mut [u8]) -> io::Result<usize>;

    /// Nothing more is sent; what comes can still be read.
    fn end_sending(&self);
}

impl Now for Stream {
    fn read_now(&self, room: &mut [u8]) -> io::Result<usize> {
        Stream::read_now(self, room)
    }

    fn end_sending(&self) {
        Stream::end_sending(self);
    }
}

#[cfg(test)]
impl Now for tokio::io::DuplexStream {
    fn read_now(&self, _: &mut [u8]) -> io::Result<usize> {
        Err(io::ErrorKind::WouldBlock.into())
    }

    fn end_sending(&self) {}
}

impl<S: AsyncRead + Now + Unpin> AsyncRead for Counted<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let mut result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if result.is_pending() {
            let mut ending = self.traffic.ending();
            ending.reader = Some(context.waker().clone());
            if std::mem::take(&mut ending.wanted) {
                match self.stream.read_now(buffer.initialize_unfilled()) {
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                        // its end at the endpoint comes before anything that follows from it here
                        self.stream.end_sending();
                        ending.shut = true;
                        ending.looked = true;
                        self.traffic.looked.notify_one();
                    }
                    Err(error) if error.kind() == io::ErrorKind::Interrupted => {
                        ending.wanted = true;
                        context.waker().wake_by_ref();
                    }
                    Err(error) => result = Poll::Ready(Err(error)),
                    Ok(read) => {
                        buffer.advance(read);
                        // there may be more, and the reader comes again
                        ending.wanted = true;
                        result = Poll::Ready(Ok(()));
                    }
                }
            }
        }
        self.traffic.keep_answer(&buffer.filled()[before..]);
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Counted<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.count(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.count(result)
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
mod tests {
    use super::*;
    use std::io::Write;
    use tokio::io::AsyncReadExt;

    /// A call that was given up is looked at once more before its connection closes: what has come by then was told.
    #[test]
    fn a_second_look_reads_what_has_come_since_the_first() {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let local = tokio::task::LocalSet::new();
        local.block_on(&runtime.expect("a runtime"), async {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
            let address = listener.local_addr().expect("bound");
            let stream = tokio::net::TcpStream::connect(address)
                .await
                .expect("connected");
            let (mut peer, _) = listener.accept().expect("accepted");
            let traffic = Arc::new(Traffic::default());
            let mut counted = Counted {
                stream: Stream::from(stream),
                traffic: traffic.clone(),
            };
            tokio::task::spawn_local(async move {
                let mut room = [0; 64];
                while counted.read(&mut room).await.is_ok_and(|read| read > 0) {}
            });
            traffic.give_up().await;
            peer.write_all(b"HTTP/1.1 200 OK\r\n").expect("written");
            traffic.give_up().await;
            assert!(
                traffic.says_ok(),
                "the second look ended before what had come was read"
            );
            // one that has ended needs no look
            drop(peer);
            traffic.give_up().await;
            traffic.give_up().await;
        });
    }
}
