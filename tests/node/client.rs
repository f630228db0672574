//! Clients and operators of a sender, and the requests that they send.

use super::http::{Request, read_http};
use super::process::Node;
use super::{PATIENCE, wait_until};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// Returns a client's request with a message that has an idempotency key. `time_ms` is the message's time limit in
/// milliseconds.
pub fn message(class: &str, id: &str, dest: u64, time_ms: u64, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST /{class} HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\n\
         X-Timeout: {time_ms}m\r\nIdempotency-Key: key-{id}\r\nContent-Length: {}\r\nEnvelope: dest={dest}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Returns a client's request with a message that has a subject, by which an ordered class keeps its order.
pub fn message_with_subject(
    subject: &str,
    class: &str,
    id: &str,
    dest: u64,
    time_ms: u64,
) -> Vec<u8> {
    let text = String::from_utf8(message(class, id, dest, time_ms, b"x")).expect("text");
    text.replacen(" HTTP/1.1", &format!("?subject={subject} HTTP/1.1"), 1)
        .into_bytes()
}

/// Returns a client's request with a message of a tenant.
pub fn message_of_tenant(tenant: &str, class: &str, id: &str, dest: u64, time_ms: u64) -> Vec<u8> {
    let text = String::from_utf8(message(class, id, dest, time_ms, b"x")).expect("text");
    text.replacen("\r\n", &format!("\r\nX-Tenant-Id: {tenant}\r\n"), 1)
        .into_bytes()
}

/// A client's connection to a sender. Reads time out after [`PATIENCE`].
pub struct Client(BufReader<TcpStream>);

impl Client {
    pub fn new(node: &Node) -> Self {
        Client::to(node.address)
    }

    pub fn to(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("the sender accepts");
        stream.set_read_timeout(Some(PATIENCE)).expect("set");
        Client(BufReader::new(stream))
    }

    /// Returns true if the sender has closed the connection.
    pub fn has_ended(&mut self) -> bool {
        let stream = self.0.get_ref();
        stream.set_nonblocking(true).expect("set");
        let ended = matches!(stream.peek(&mut [0]), Ok(0));
        stream.set_nonblocking(false).expect("set");
        ended
    }

    /// Sends the bytes and returns the status and the whole response, or `None` if no whole response arrives.
    pub fn send(&mut self, bytes: &[u8]) -> Option<(u16, Request)> {
        self.write(bytes).ok()?;
        self.response()
    }

    pub fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.0.get_mut().write_all(bytes)
    }

    /// Reads the next response and returns its status and the whole response, or `None` if no whole response
    /// arrives.
    pub fn response(&mut self) -> Option<(u16, Request)> {
        let response = read_http(&mut self.0)?;
        let status = response.line.split(' ').nth(1)?.parse().ok()?;
        Some((status, response))
    }
}

/// Sends an operator's request (method and path) to the control address and returns the body of the response.
pub fn operator_response(node: &Node, call: &str) -> String {
    let mut stream = TcpStream::connect(node.control).expect("the sender accepts");
    stream.set_read_timeout(Some(PATIENCE)).expect("set");
    stream
        .write_all(format!("{call} HTTP/1.1\r\nHost: a\r\n\r\n").as_bytes())
        .expect("written");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("answered");
    text.split_once("\r\n\r\n")
        .map(|(_, body)| body.to_string())
        .unwrap_or_default()
}

/// Returns the sender's report of its connection pools.
pub fn pools(node: &Node) -> serde_json::Value {
    serde_json::from_str(&operator_response(node, "GET /pools")).expect("JSON")
}

/// Submits a message and waits until a repeated submission gets status 200, which means that the message is delivered.
/// The connection on which the sender delivered the message is then normally idle again, provided that the endpoint
/// sent its whole response at once.
pub fn deliver(node: &Node, id: &str, dest: u64) {
    assert_eq!(node.submit("webhook", id, dest, 20_000, b"x"), 202);
    wait_until("the message is delivered", || {
        node.submit("webhook", id, dest, 20_000, b"x") == 200
    });
}
