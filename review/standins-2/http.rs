//! Just enough HTTP/1.1 for the stand-ins: messages with a head and a body of known length.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or an answer.
pub struct Message {
    /// Request line or status line.
    pub first: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When the first byte of it was read.
    pub began: Instant,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    /// Second word of the first line: the target of a request, the status of an answer.
    pub fn second(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads one message. `None` at the end of the connection, before its first byte.
pub fn read(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut began = (!rest.is_empty()).then(Instant::now);
    let head_end = loop {
        if let Some(at) = rest.windows(4).position(|four| four == b"\r\n\r\n") {
            break at;
        }
        let mut piece = [0; 8192];
        let count = stream.read(&mut piece)?;
        if count == 0 {
            let ended = io::Error::from(io::ErrorKind::UnexpectedEof);
            return if rest.is_empty() { Ok(None) } else { Err(ended) };
        }
        began.get_or_insert_with(Instant::now);
        rest.extend_from_slice(&piece[..count]);
    };
    let head = String::from_utf8_lossy(&rest[..head_end]).into_owned();
    rest.drain(..head_end + 4);
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or("").to_string();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string()))
        .collect();
    let mut message = Message {
        first,
        headers,
        body: Vec::new(),
        began: began.unwrap_or_else(Instant::now),
    };
    let length: usize = message.header("content-length").parse().unwrap_or(0);
    while rest.len() < length {
        let mut piece = [0; 8192];
        let count = stream.read(&mut piece)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        rest.extend_from_slice(&piece[..count]);
    }
    message.body = rest.drain(..length).collect();
    Ok(Some(message))
}

/// Writes an answer with a status, further header lines and a body.
pub fn answer(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> io::Result<()> {
    let length = body.len();
    let text = format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n{headers}\r\n{body}");
    stream.write_all(text.as_bytes())
}

/// Makes one request on a connection of its own and returns the status of its answer.
pub fn request(address: SocketAddr, text: &str, limit: Duration) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(text.as_bytes())?;
    let answer = read(&mut stream, &mut Vec::new())?;
    let answer = answer.ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok(answer.second().to_string())
}
