//! A client: hands messages in, each on a connection that it keeps for itself.

use crate::http;
use crate::world::{World, ms};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Instant;

/// A message to hand in.
pub struct Message<'a> {
    pub id: String,
    pub class: &'a str,
    pub tenant: &'a str,
    pub destination: u64,
    pub subject: Option<String>,
    pub keyed: bool,
    pub deadline_ms: u64,
    /// Length of its body in bytes.
    pub body: usize,
}

/// What the client heard of it.
pub struct Handed {
    pub id: String,
    pub sent: Instant,
    /// Status of the answer; empty if there was none within 400 ms.
    pub status: String,
    pub heard: Instant,
}

#[derive(Default)]
pub struct Client {
    kept: Option<TcpStream>,
}

impl Client {
    pub fn hand_in(&mut self, world: &World, sender: SocketAddr, message: &Message) -> Handed {
        let Message {
            id,
            class,
            tenant,
            destination,
            deadline_ms,
            ..
        } = message;
        let subject = message
            .subject
            .as_ref()
            .map_or(String::new(), |subject| format!("?subject={subject}"));
        let key = if message.keyed {
            format!("Idempotency-Key: k{id}\r\n")
        } else {
            String::new()
        };
        let body = "x".repeat(message.body);
        let text = format!(
            "POST /{class}{subject} HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\nX-Tenant-Id: {tenant}\r\nX-Timeout: {deadline_ms}m\r\n{key}Content-Length: {}\r\nEnvelope: dest={destination}\r\n\r\n{body}",
            body.len()
        );
        let sent = Instant::now();
        let kept = self.kept.take();
        let was_kept = kept.is_some();
        let until = sent + ms(400);
        let mut status = self.exchange(sender, kept, &text, until);
        if status.is_none() && was_kept && sent.elapsed() < ms(350) {
            // the kept connection had been closed: the request goes once more on a new one
            status = self.exchange(sender, None, &text, until);
        }
        let heard = Instant::now();
        // an answer that came later met a closed connection
        let status = status.filter(|_| heard <= until).unwrap_or_default();
        world.note_at(
            sent,
            &format!("client: {id} ({class}, dest {destination}) handed in at {sender}"),
        );
        let shown = if status.is_empty() { "no answer" } else { &status };
        world.note_at(heard, &format!("client: {id} answered: {shown}"));
        Handed {
            id: id.clone(),
            sent,
            status,
            heard,
        }
    }

    fn exchange(&mut self, sender: SocketAddr, kept: Option<TcpStream>, text: &str, until: Instant) -> Option<String> {
        let left = || Some(until.saturating_duration_since(Instant::now())).filter(|left| !left.is_zero());
        let mut stream = match kept {
            Some(stream) => stream,
            None => TcpStream::connect_timeout(&sender, left()?).ok()?,
        };
        let _ = stream.set_nodelay(true);
        stream.write_all(text.as_bytes()).ok()?;
        stream.set_read_timeout(Some(left()?)).ok()?;
        let answer = http::read(&mut stream, &mut Vec::new()).ok()??;
        if !answer.header("connection").eq_ignore_ascii_case("close") {
            self.kept = Some(stream);
        }
        Some(answer.second().to_string())
    }
}
