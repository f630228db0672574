//! Sound clients: each waits 400 ms for an answer, then closes and hands its message in again, under
//! a new id, as long as the message has time left.

use crate::endpoint::{content_length, read_head};
use crate::record::Record;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long a client waits for an answer.
const ANSWER_WAIT: Duration = Duration::from_millis(400);
/// A kept connection that has rested this long is not used again.
const KEEP: Duration = Duration::from_millis(1500);

/// What one request got.
pub enum Answer {
    Status(u16),
    /// No answer within 400 ms.
    None,
    /// The connection was refused, or ended with no answer.
    Closed,
}

/// A message, from its first handing in to its end at the client.
#[derive(Clone)]
pub struct Handed {
    /// Id under which it was taken on, or the last one.
    pub id: String,
    /// Until when it may be delivered.
    pub until: Instant,
    pub taken_on: bool,
    pub refused: usize,
    pub unanswered: usize,
}

/// One client with the connections that it keeps.
pub struct Client {
    number: usize,
    sender: SocketAddr,
    record: Arc<Record>,
    idle: Mutex<Vec<(TcpStream, Instant)>>,
    next: AtomicU64,
    pub handed: Mutex<Vec<Handed>>,
}

impl Client {
    pub fn new(number: usize, sender: SocketAddr, record: &Arc<Record>) -> Arc<Self> {
        Arc::new(Client {
            number,
            sender,
            record: record.clone(),
            idle: Mutex::default(),
            next: AtomicU64::new(1),
            handed: Mutex::default(),
        })
    }

    /// Hands in one message and goes on until it is taken on, failed or out of time.
    pub fn hand_in(&self, time: Duration, body: &[u8]) {
        let first = Instant::now();
        let mut handed = Handed {
            id: String::new(),
            until: first + time,
            taken_on: false,
            refused: 0,
            unanswered: 0,
        };
        let mut retried = "";
        while Instant::now() < handed.until {
            let next = self.next.fetch_add(1, Ordering::Relaxed);
            handed.id = format!("{:04x}{next:012x}", self.number);
            let left = handed.until - Instant::now();
            self.record
                .line(format_args!("client hands in {}{retried}", handed.id));
            let answer = self.request(&handed.id, left, retried, body);
            match answer {
                Answer::Status(status @ (200 | 202)) => {
                    self.record.line(format_args!(
                        "client is answered {status} for {}",
                        handed.id
                    ));
                    handed.taken_on = true;
                    break;
                }
                Answer::Status(status) => {
                    self.record.line(format_args!(
                        "client is answered {status} for {}",
                        handed.id
                    ));
                    handed.refused += 1;
                    retried = " X-Retried: 1";
                    std::thread::sleep(Duration::from_millis(500));
                }
                Answer::None | Answer::Closed => {
                    let what = match answer {
                        Answer::None => "no answer",
                        _ => "a closed connection",
                    };
                    self.record
                        .line(format_args!("client gets {what} for {}", handed.id));
                    handed.unanswered += 1;
                    retried = " X-Retried: again";
                    std::thread::sleep(Duration::from_millis(100));
                }
            }
        }
        self.handed.lock().unwrap().push(handed);
    }

    /// Sends one request: on a kept connection if there is one, and once more on a new connection if
    /// the kept one was closed.
    pub fn request(&self, id: &str, left: Duration, retried: &str, body: &[u8]) -> Answer {
        let retried = if retried.is_empty() {
            String::new()
        } else {
            format!("{}\r\n", retried.trim())
        };
        let mut request = format!(
            "POST /title-status HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {id}\r\nX-Priority-Class: title-status\r\n\
             X-Tenant-Id: sach-vui\r\nX-Timeout: {}m\r\n{retried}Content-Length: {}\r\nEnvelope: dest=7\r\n\r\n",
            left.as_millis().max(1),
            body.len()
        )
        .into_bytes();
        request.extend_from_slice(body);
        if let Some(kept) = self.kept() {
            match self.exchange(kept, &request) {
                Answer::Closed => {}
                answer => return answer,
            }
        }
        match TcpStream::connect_timeout(&self.sender, ANSWER_WAIT) {
            Ok(stream) => self.exchange(stream, &request),
            Err(error) if error.kind() == ErrorKind::TimedOut => Answer::None,
            Err(_) => Answer::Closed,
        }
    }

    fn kept(&self) -> Option<TcpStream> {
        let mut idle = self.idle.lock().unwrap();
        idle.retain(|(_, since)| since.elapsed() < KEEP);
        idle.pop().map(|(stream, _)| stream)
    }

    fn exchange(&self, stream: TcpStream, request: &[u8]) -> Answer {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(ANSWER_WAIT));
        let _ = stream.set_write_timeout(Some(ANSWER_WAIT));
        let mut reader = BufReader::new(stream);
        if let Err(error) = reader.get_mut().write_all(request) {
            return unanswered(&error);
        }
        let head = match read_head(&mut reader) {
            Ok(Some(head)) => head,
            Ok(None) => return Answer::Closed,
            Err(error) => return unanswered(&error),
        };
        let status = head[0].split(' ').nth(1).and_then(|text| text.parse().ok());
        let mut body = vec![0; content_length(&head)];
        let whole = reader.read_exact(&mut body).is_ok();
        let closes = head
            .iter()
            .any(|line| line.eq_ignore_ascii_case("connection: close"));
        if whole && !closes {
            let kept = (reader.into_inner(), Instant::now());
            self.idle.lock().unwrap().push(kept);
        }
        Answer::Status(status.unwrap_or(0))
    }
}

fn unanswered(error: &std::io::Error) -> Answer {
    match error.kind() {
        ErrorKind::WouldBlock | ErrorKind::TimedOut => Answer::None,
        _ => Answer::Closed,
    }
}
