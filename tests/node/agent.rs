//! Discovery and the platform: lists, watches and notifications.

use super::endpoint::Endpoint;
use super::http::read_http;
use std::collections::VecDeque;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Discovery: tells one list to each watch and what changes after it, and takes notices.
#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    pub notices: Arc<Mutex<Vec<String>>>,
    /// Lines for the next watch; empty: a silent one, as while discovery is down.
    pub lines: Arc<Mutex<Vec<String>>>,
    /// Lines for the watches that are open.
    changes: Arc<Mutex<Vec<String>>>,
    pub watches: Arc<AtomicUsize>,
    /// So many of the first watches tell nothing more.
    pub muted: Arc<AtomicUsize>,
    /// So many of the first watches have ended.
    pub ended: Arc<AtomicUsize>,
    /// Further watches are answered 503, as while discovery is down, and how many were.
    pub down: Arc<AtomicBool>,
    pub refused: Arc<AtomicUsize>,
    /// Further watches are accepted and not answered, as by one that is cut off.
    pub held: Arc<AtomicBool>,
    /// How long a watch waits before it tells anything.
    pub late: Arc<Mutex<Duration>>,
    /// So many requests with notices are answered 500 first.
    pub faults: Arc<AtomicUsize>,
    /// So many of the next requests with notices get no answer, on connections that stay open.
    pub silent_posts: Arc<AtomicUsize>,
    /// The next answers to notices break off after so many bytes.
    notice_cuts: Arc<Mutex<VecDeque<usize>>>,
}

impl Agent {
    pub fn new(lines: Vec<String>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let agent = Agent {
            address: listener.local_addr().expect("bound"),
            notices: Arc::default(),
            lines: Arc::new(Mutex::new(lines)),
            changes: Arc::default(),
            watches: Arc::default(),
            muted: Arc::default(),
            ended: Arc::default(),
            down: Arc::default(),
            refused: Arc::default(),
            held: Arc::default(),
            late: Arc::default(),
            faults: Arc::default(),
            silent_posts: Arc::default(),
            notice_cuts: Arc::default(),
        };
        let here = agent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let here = here.clone();
                thread::spawn(move || serve_agent(stream, &here));
            }
        });
        agent
    }

    /// The next answers to notices break off after so many bytes, one after another.
    pub fn cut_notices(&self, lengths: impl IntoIterator<Item = usize>) {
        let mut cuts = self.notice_cuts.lock().expect("not poisoned");
        cuts.extend(lengths);
    }

    /// Tells a change to the watches that are open.
    pub fn tell(&self, line: String) {
        self.changes.lock().expect("not poisoned").push(line);
    }

    pub fn notices(&self) -> Vec<String> {
        self.notices.lock().expect("not poisoned").clone()
    }
}

fn serve_agent(mut stream: TcpStream, agent: &Agent) {
    let Agent {
        notices,
        lines,
        watches,
        faults,
        changes,
        ..
    } = agent;
    let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
    let Some(request) = read_http(&mut reader) else {
        return;
    };
    if request.line.starts_with("POST /v1/outcomes ") {
        let faulty = faults
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| {
                left.checked_sub(1)
            })
            .is_ok();
        let status = if faulty { "500 Oops" } else { "204 No Content" };
        if !faulty {
            let text = String::from_utf8(request.body).expect("text");
            notices
                .lock()
                .expect("not poisoned")
                .extend(text.lines().map(str::to_string));
        }
        let silent = agent
            .silent_posts
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| {
                left.checked_sub(1)
            });
        if silent.is_ok() {
            // until the sender leaves
            let _ = std::io::copy(&mut reader, &mut std::io::sink());
            return;
        }
        let answer = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
        let cut = agent.notice_cuts.lock().expect("not poisoned").pop_front();
        let length = cut.unwrap_or(answer.len());
        let _ = stream.write_all(&answer.as_bytes()[..length]);
        return;
    }
    if request.line.starts_with("GET /v1/freeze ") {
        // a discovery that knows no calendar
        let _ = stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
        return;
    }
    assert!(
        request.line.starts_with("GET /v1/endpoints?watch=1&from="),
        "{}",
        request.line
    );
    if agent.down.load(Ordering::SeqCst) {
        agent.refused.fetch_add(1, Ordering::SeqCst);
        let _ = stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        return;
    }
    while agent.held.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(10));
    }
    let number = watches.fetch_add(1, Ordering::SeqCst);
    thread::sleep(*agent.late.lock().expect("not poisoned"));
    let mut told = lines.lock().expect("not poisoned").clone();
    let mut seen = changes.lock().expect("not poisoned").len();
    if stream
        .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .is_err()
    {
        return;
    }
    let silent = told.is_empty();
    loop {
        while number < agent.muted.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(10));
        }
        for line in told.drain(..) {
            let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
            if stream.write_all(chunk.as_bytes()).is_err() {
                return;
            }
        }
        let until = Instant::now() + Duration::from_millis(500);
        while told.is_empty() && Instant::now() < until {
            if number < agent.ended.load(Ordering::SeqCst) {
                return;
            }
            thread::sleep(Duration::from_millis(10));
            told.extend(
                changes.lock().expect("not poisoned")[seen..]
                    .iter()
                    .cloned(),
            );
        }
        seen += told.len();
        if !silent && told.is_empty() {
            told.push(String::new());
        }
    }
}

/// A list for discovery's form: each endpoint's uid, address, kind, destination and state.
pub fn list(entries: &[(&str, SocketAddr, &str, u64, &str)]) -> String {
    lines_of(7, true, entries)
}

/// Changes that make a further version.
pub fn changes(version: u64, entries: &[(&str, SocketAddr, &str, u64, &str)]) -> String {
    lines_of(version, false, entries)
}

fn lines_of(version: u64, all: bool, entries: &[(&str, SocketAddr, &str, u64, &str)]) -> String {
    let targets: Vec<String> = entries
        .iter()
        .map(|(uid, address, kind, destination, state)| {
            format!(
                r#"{{"uid":"{uid}","endpoint":"{address}","az":"a","model":"{kind}","pod_group":{destination},"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
            )
        })
        .collect();
    format!(
        r#"{{"rev":{version},"all":{all},"targets":[{}]}}"#,
        targets.join(",")
    )
}

/// Discovery with one endpoint, of destination 7.
pub fn one(endpoint: &Endpoint) -> Agent {
    Agent::new(vec![list(&[("s-1", endpoint.address, "one", 7, "up")])])
}
