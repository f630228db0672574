//! Clients and operators of a sender, and the messages that clients hand in.

use super::http::{Request, read_http};
use super::process::Node;
use super::{PATIENCE, wait_until};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

pub fn message(class: &str, id: &str, dest: u64, time_ms: u64, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST /{class} HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\n\
         X-Timeout: {time_ms}m\r\nIdempotency-Key: key-{id}\r\nContent-Length: {}\r\nEnvelope: dest={dest}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// A message about a subject.
pub fn about(subject: &str, class: &str, id: &str, dest: u64, time_ms: u64) -> Vec<u8> {
    let text = String::from_utf8(message(class, id, dest, time_ms, b"x")).expect("text");
    text.replacen(" HTTP/1.1", &format!("?subject={subject} HTTP/1.1"), 1)
        .into_bytes()
}

/// A message of a tenant.
pub fn of_tenant(tenant: &str, class: &str, id: &str, dest: u64, time_ms: u64) -> Vec<u8> {
    let text = String::from_utf8(message(class, id, dest, time_ms, b"x")).expect("text");
    text.replacen("\r\n", &format!("\r\nX-Tenant-Id: {tenant}\r\n"), 1)
        .into_bytes()
}

/// A connection of a client.
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

    /// True if the sender has ended the connection.
    pub fn has_ended(&mut self) -> bool {
        let stream = self.0.get_ref();
        stream.set_nonblocking(true).expect("set");
        let ended = matches!(stream.peek(&mut [0]), Ok(0));
        stream.set_nonblocking(false).expect("set");
        ended
    }

    /// The answer's status and head; none if the connection ends first.
    pub fn send(&mut self, bytes: &[u8]) -> Option<(u16, Request)> {
        self.write(bytes).ok()?;
        self.answer()
    }

    pub fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.0.get_mut().write_all(bytes)
    }

    /// The next answer's status and head; none if the connection ends first.
    pub fn answer(&mut self) -> Option<(u16, Request)> {
        let answer = read_http(&mut self.0)?;
        let status = answer.line.split(' ').nth(1)?.parse().ok()?;
        Some((status, answer))
    }
}

/// A text answer of an operator's call.
pub fn told(node: &Node, call: &str) -> String {
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

/// What the sender tells of its connections.
pub fn pools(node: &Node) -> serde_json::Value {
    serde_json::from_str(&told(node, "GET /pools")).expect("JSON")
}

/// Hands a message in and waits until the sender knows its end: its connection is free again by then.
pub fn sent(node: &Node, id: &str, dest: u64) {
    assert_eq!(node.hand_in("webhook", id, dest, 20_000, b"x"), 202);
    wait_until("its end is known", || {
        node.hand_in("webhook", id, dest, 20_000, b"x") == 200
    });
}
