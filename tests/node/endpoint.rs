//! An endpoint that replies to each call as a script of the test decides.

use super::http::{Request, read_http};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

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

impl Endpoint {
    pub fn new(script: impl Fn(&Request, usize) -> Reply + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let endpoint = Endpoint {
            address: listener.local_addr().expect("bound"),
            seen: Arc::default(),
            connections: Arc::default(),
        };
        let (shared, script): (_, Script) = (endpoint.clone(), Arc::new(script));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (shared, script) = (shared.clone(), script.clone());
                let connection = shared.connections.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || shared.serve(stream, connection, &script));
            }
        });
        endpoint
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
