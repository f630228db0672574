//! Many clients at once that do not behave like proper clients: they stop within a request, send it slowly or in tiny
//! pieces, or send more than one at a time. Each connection that the sender ends is opened again.

use socket2::{Domain, SockAddr, Socket, Type};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Largest body of the protocol in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Bytes of a large body that a client sends before it stops.
const SENT_BODY_BYTES: usize = MAX_BODY_BYTES - 1500;
/// Bytes of the padding header of a long head.
const LONG_HEAD_BYTES: usize = 30 * 1024;
/// Number of fields of a head with many short fields.
const SHORT_FIELDS: usize = 80;
/// Pause between two rounds over all connections.
const ROUND_INTERVAL: Duration = Duration::from_millis(5);
/// Threads over which the connections are divided.
const THREADS: usize = 8;

/// What each client of a crowd sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// Most of a large body, and then nothing.
    StoppedBody,
    /// A large body, 2 KiB at a time.
    SlowBody,
    /// A body in chunks of one byte, 200 chunks at a time.
    TinyChunks,
    /// A large body one byte at a time, with pauses.
    SingleBytes,
    /// A whole request with a large body, and most of a second one behind it.
    TwoRequests,
    /// A head with one long field, and then most of a large body.
    LongHead,
    /// A head with many short fields, and then most of a large body.
    ManyFields,
    /// A long head without its end.
    UnfinishedHead,
    /// Whole requests with a large body, one after another.
    WholeRequests,
    /// Small requests without a message, as many as the sender reads, and no answer is read.
    UnreadAnswers,
}

impl Behaviour {
    pub const ALL: [Behaviour; 10] = [
        Behaviour::StoppedBody,
        Behaviour::SlowBody,
        Behaviour::TinyChunks,
        Behaviour::SingleBytes,
        Behaviour::TwoRequests,
        Behaviour::LongHead,
        Behaviour::ManyFields,
        Behaviour::UnfinishedHead,
        Behaviour::WholeRequests,
        Behaviour::UnreadAnswers,
    ];

    /// Returns true if the sender accepts the clients' messages, so that it may refuse those of others for lack of
    /// capacity.
    pub fn fills_sender_with_messages(self) -> bool {
        matches!(self, Behaviour::TwoRequests | Behaviour::WholeRequests)
    }

    /// Returns the bytes that a connection sends, and how many of them at most in one round.
    fn script(self, number: usize) -> (Vec<u8>, usize) {
        let whole = MAX_BODY_BYTES * 4;
        let body = vec![b'x'; SENT_BODY_BYTES];
        match self {
            Behaviour::StoppedBody => ([head(number, "", MAX_BODY_BYTES), body].concat(), whole),
            Behaviour::SlowBody => ([head(number, "", MAX_BODY_BYTES), body].concat(), 2048),
            Behaviour::TinyChunks => {
                let head = head_with_length(number, "", "Transfer-Encoding: chunked");
                ([head, b"1\r\nx\r\n".repeat(12_000)].concat(), 1200)
            }
            Behaviour::SingleBytes => ([head(number, "", MAX_BODY_BYTES), body].concat(), 1),
            Behaviour::TwoRequests => {
                let first = request(number, MAX_BODY_BYTES);
                let second = head(number + 1, "", MAX_BODY_BYTES);
                ([first, second, body].concat(), whole)
            }
            Behaviour::LongHead => {
                let field = format!("X-Padding: {}\r\n", "p".repeat(LONG_HEAD_BYTES));
                ([head(number, &field, MAX_BODY_BYTES), body].concat(), whole)
            }
            Behaviour::ManyFields => {
                let fields: String = (0..SHORT_FIELDS)
                    .map(|field| format!("x{field}: {field}\r\n"))
                    .collect();
                (
                    [head(number, &fields, MAX_BODY_BYTES), body].concat(),
                    whole,
                )
            }
            Behaviour::UnfinishedHead => {
                let field = format!("X-Padding: {}", "p".repeat(LONG_HEAD_BYTES));
                let mut head = head(number, &field, 0);
                head.truncate(head.len() - 4);
                (head, whole)
            }
            Behaviour::WholeRequests => (request(number, MAX_BODY_BYTES), whole),
            Behaviour::UnreadAnswers => (
                b"POST /webhook HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n".repeat(2000),
                whole,
            ),
        }
    }
}

/// Returns the head of a message's request with `fields`, which is empty or ends with a line end.
fn head(number: usize, fields: &str, body_bytes: usize) -> Vec<u8> {
    head_with_length(number, fields, &format!("Content-Length: {body_bytes}"))
}

fn head_with_length(number: usize, fields: &str, length: &str) -> Vec<u8> {
    format!(
        "POST /webhook HTTP/1.1\r\nHost: a\r\nX-Request-ID: crowd-{number}\r\nX-Priority-Class: webhook\r\n\
         X-Timeout: 300m\r\nIdempotency-Key: key-{number}\r\nEnvelope: dest=9\r\n{fields}{length}\r\n\r\n"
    )
    .into_bytes()
}

fn request(number: usize, body_bytes: usize) -> Vec<u8> {
    [head(number, "", body_bytes), vec![b'x'; body_bytes]].concat()
}

/// A crowd of clients, which stays until it is dropped.
pub struct Crowd {
    is_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Crowd {
    pub fn new(address: SocketAddr, connections: usize, behaviour: Behaviour) -> Self {
        let is_over: Arc<AtomicBool> = Arc::default();
        let next_number: Arc<AtomicUsize> = Arc::default();
        let threads = (0..THREADS)
            .map(|_| {
                let (is_over, next_number) = (is_over.clone(), next_number.clone());
                let count = connections / THREADS;
                thread::spawn(move || {
                    let mut peers: Vec<Option<Peer>> = (0..count).map(|_| None).collect();
                    while !is_over.load(Ordering::SeqCst) {
                        let round_began = Instant::now();
                        for peer in &mut peers {
                            let number = || next_number.fetch_add(2, Ordering::SeqCst);
                            let active = peer
                                .take()
                                .or_else(|| Peer::connect(address, behaviour, number()));
                            *peer = active.and_then(|peer| peer.advance(behaviour));
                        }
                        let elapsed = round_began.elapsed();
                        thread::sleep(ROUND_INTERVAL.saturating_sub(elapsed));
                    }
                })
            })
            .collect();
        Crowd { is_over, threads }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// One connection of a crowd.
struct Peer {
    stream: TcpStream,
    bytes: Vec<u8>,
    sent: usize,
    bytes_in_round: usize,
}

impl Peer {
    fn connect(address: SocketAddr, behaviour: Behaviour, number: usize) -> Option<Self> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
        socket.set_nonblocking(true).ok()?;
        // the connection is made in the background; until then writes would block
        let _ = socket.connect(&SockAddr::from(address));
        let (bytes, bytes_in_round) = behaviour.script(number);
        let stream = TcpStream::from(socket);
        let _ = stream.set_nodelay(true);
        Some(Peer {
            stream,
            bytes,
            sent: 0,
            bytes_in_round,
        })
    }

    /// Sends the bytes of one round; `None` once the sender has ended the connection.
    fn advance(mut self, behaviour: Behaviour) -> Option<Self> {
        let until = (self.sent + self.bytes_in_round).min(self.bytes.len());
        match self.stream.write(&self.bytes[self.sent..until]) {
            Ok(written) => self.sent += written,
            Err(error) if is_wait(error.kind()) => {}
            Err(_) => return None,
        }
        if behaviour == Behaviour::UnreadAnswers {
            return Some(self);
        }
        let mut answers = [0; 4096];
        match self.stream.read(&mut answers) {
            Ok(0) => None,
            Ok(_) => {
                if behaviour == Behaviour::WholeRequests {
                    self.sent = 0;
                }
                Some(self)
            }
            Err(error) if is_wait(error.kind()) => Some(self),
            Err(_) => None,
        }
    }
}

fn is_wait(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::WouldBlock | ErrorKind::Interrupted | ErrorKind::NotConnected
    )
}
