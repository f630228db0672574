//! Stand-in for clients: each hands in one message after another and waits 400 ms for the answer.

use crate::http::Connection;
use crate::record::Record;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A message to be handed in.
#[derive(Debug, Clone)]
pub struct Handed {
    pub id: String,
    pub class: String,
    pub tenant: String,
    pub subject: Option<String>,
    pub key: Option<String>,
    pub destination: u64,
    pub timeout_ms: u64,
    pub body: Vec<u8>,
}

pub struct Client {
    sender: SocketAddr,
    connection: Option<Connection>,
    record: Record,
}

impl Client {
    pub fn new(sender: SocketAddr, record: Record) -> Self {
        Client {
            sender,
            connection: None,
            record,
        }
    }

    /// Hands a message in; returns the status of the answer, or `None` if none came in time.
    pub fn hand_in(&mut self, message: &Handed) -> Option<u16> {
        let kept = self.connection.is_some();
        let mut status = self.try_once(message);
        if status.is_none() && kept {
            // the sender closed the connection between requests: once more on a new one
            status = self.try_once(message);
        }
        let text = status.map_or("no answer".to_string(), |status| status.to_string());
        self.record.line(format!(
            "client {} {} dest={}: {text}",
            message.class, message.id, message.destination
        ));
        status
    }

    fn try_once(&mut self, message: &Handed) -> Option<u16> {
        let answer = self.exchange(message);
        match answer {
            Some((status, close)) => {
                if close {
                    self.connection = None;
                }
                Some(status)
            }
            None => {
                self.connection = None;
                None
            }
        }
    }

    fn exchange(&mut self, message: &Handed) -> Option<(u16, bool)> {
        let wait = Duration::from_millis(400);
        if self.connection.is_none() {
            let stream = TcpStream::connect_timeout(&self.sender, wait).ok()?;
            stream.set_read_timeout(Some(wait)).ok()?;
            self.connection = Some(Connection::new(stream));
        }
        let connection = self.connection.as_mut()?;
        let subject = message
            .subject
            .as_ref()
            .map_or(String::new(), |key| format!("?subject={key}"));
        let key = message
            .key
            .as_ref()
            .map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
        let head = format!(
            "POST /{}{subject} HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {}\r\nX-Priority-Class: {}\r\nX-Tenant-Id: {}\r\nX-Timeout: {}m\r\n{key}Content-Length: {}\r\nEnvelope: dest={}\r\n\r\n",
            message.class, message.id, message.class, message.tenant, message.timeout_ms, message.body.len(), message.destination
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&message.body);
        connection.write(&bytes).ok()?;
        let answer = connection.read().ok()??;
        let close = answer
            .header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"));
        Some((answer.status()?, close))
    }
}

/// Asks for `path`; returns the status of the answer.
pub fn get(address: SocketAddr, path: &str) -> Option<u16> {
    let wait = Duration::from_secs(1);
    let stream = TcpStream::connect_timeout(&address, wait).ok()?;
    stream.set_read_timeout(Some(wait)).ok()?;
    let mut connection = Connection::new(stream);
    let request = format!("GET {path} HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n");
    connection.write(request.as_bytes()).ok()?;
    connection.read().ok()??.status()
}
