//! An endpoint that replies to each call as a script of the test decides.

use super::http::{Request, read_http};
use socket2::SockRef;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Time without an answer to a dial after which the queue of connections counts as full.
const QUEUE_FULL_AFTER: Duration = Duration::from_millis(100);
/// Most connections that fill a queue of length 0.
const MAX_QUEUED: usize = 8;
/// Length of the queue of connections of an endpoint that serves.
const QUEUE_LENGTH: i32 = 1024;

/// Reaction of an endpoint to a call.
#[derive(Debug, Clone)]
pub enum Reply {
    /// Sends a response: the status and headers, without the empty line after them, and the body.
    Response(&'static str, String),
    /// Sends no response and keeps the connection open.
    Silence,
    /// Closes the connection without a response.
    Close,
    /// Sends a response with an empty body and closes the connection.
    ResponseAndClose(&'static str),
}

/// Response with status 200 and an empty body.
pub const OK: Reply = Reply::Response("200 OK", String::new());

type Script = Arc<dyn Fn(&Request, usize) -> Reply + Send + Sync>;

/// A server that replies as its script decides. The script gets each request and its number, counted from 0.
#[derive(Clone)]
pub struct Endpoint {
    pub address: SocketAddr,
    /// All requests received so far.
    pub seen: Arc<Mutex<Vec<Request>>>,
    /// Number of connections accepted so far.
    pub connections: Arc<AtomicUsize>,
}

/// An endpoint that answers no dial yet: its kernel's queue of connections is full, so a dial's first packet is lost, and
/// sent again by the kernel of the sender after a second, then after two, four and so on.
pub struct LateEndpoint {
    pub endpoint: Endpoint,
    listener: TcpListener,
    /// Connections that fill the queue.
    queued: Vec<TcpStream>,
}

impl LateEndpoint {
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        SockRef::from(&listener).listen(0).expect("a short queue");
        let endpoint = Endpoint::at(listener.local_addr().expect("bound"));
        let connect = || TcpStream::connect_timeout(&endpoint.address, QUEUE_FULL_AFTER);
        let queued = std::iter::from_fn(|| connect().ok())
            .take(MAX_QUEUED)
            .collect();
        LateEndpoint {
            endpoint,
            listener,
            queued,
        }
    }

    /// Accepts connections from now on.
    pub fn serve(&self, script: impl Fn(&Request, usize) -> Reply + Send + Sync + 'static) {
        SockRef::from(&self.listener)
            .listen(QUEUE_LENGTH)
            .expect("a long queue");
        let listener = self.listener.try_clone().expect("cloned");
        self.endpoint.serve_at(listener, script);
    }

    /// Returns the number of the sender's connections that have come up.
    pub fn late_connections(&self) -> usize {
        let accepted = self.endpoint.connections.load(Ordering::SeqCst);
        accepted.saturating_sub(self.queued.len())
    }
}

impl Endpoint {
    pub fn new(script: impl Fn(&Request, usize) -> Reply + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let endpoint = Endpoint::at(listener.local_addr().expect("bound"));
        endpoint.serve_at(listener, script);
        endpoint
    }

    fn at(address: SocketAddr) -> Self {
        Endpoint {
            address,
            seen: Arc::default(),
            connections: Arc::default(),
        }
    }

    fn serve_at(
        &self,
        listener: TcpListener,
        script: impl Fn(&Request, usize) -> Reply + Send + Sync + 'static,
    ) {
        let (shared, script): (_, Script) = (self.clone(), Arc::new(script));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (shared, script) = (shared.clone(), script.clone());
                let connection = shared.connections.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || shared.serve(stream, connection, &script));
            }
        });
    }

    fn serve(&self, mut stream: TcpStream, connection: usize, script: &Script) {
        let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
        while let Some(request) = read_http(&mut reader) {
            let request = Request {
                connection,
                ..request
            };
            let number = {
                let mut seen = self.seen.lock().expect("not poisoned");
                seen.push(request.clone());
                seen.len() - 1
            };
            let (head, body, closes) = match script(&request, number) {
                Reply::Response(head, body) => (head, body, false),
                Reply::ResponseAndClose(head) => (head, String::new(), true),
                Reply::Silence => continue,
                Reply::Close => return,
            };
            let text = format!(
                "HTTP/1.1 {head}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(text.as_bytes()).is_err() || closes {
                return;
            }
        }
    }

    /// Returns the number of requests received so far.
    pub fn count(&self) -> usize {
        self.seen.lock().expect("not poisoned").len()
    }

    pub fn request(&self, number: usize) -> Request {
        self.seen.lock().expect("not poisoned")[number].clone()
    }

    /// Returns how many times the message with this id was received.
    pub fn count_of(&self, id: &str) -> usize {
        let seen = self.seen.lock().expect("not poisoned");
        seen.iter()
            .flat_map(Request::ids)
            .filter(|other| other == id)
            .count()
    }
}
