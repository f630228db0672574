//! A stand-in for discovery and the platform: serves endpoint lists to watches and accepts outcome notifications.

use super::endpoint::Endpoint;
use super::http::read_http;
use std::collections::VecDeque;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A stand-in for discovery and the platform. It sends one endpoint list and all later changes to each watch, and
/// accepts outcome notifications.
#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    /// Accepted outcome notifications, one line of JSON each.
    pub notices: Arc<Mutex<Vec<String>>>,
    /// Lines that are sent to each new watch. If there are none, the watch gets no keep-alive lines either, so no data
    /// until a change is announced.
    pub lines: Arc<Mutex<Vec<String>>>,
    /// Lines that are sent to all open watches, in order.
    changes: Arc<Mutex<Vec<String>>>,
    /// Number of watches that were opened so far.
    pub watches: Arc<AtomicUsize>,
    /// Number of watches, counted from the first, that get no more data and stay open.
    pub muted_watches: Arc<AtomicUsize>,
    /// Number of watches, counted from the first, that are closed.
    pub closed_watches: Arc<AtomicUsize>,
    /// If true, new watches are answered with status 503, as while discovery is down.
    pub rejects_watches: Arc<AtomicBool>,
    /// Number of watches that were answered with status 503 so far.
    pub rejected_watches: Arc<AtomicUsize>,
    /// If true, new watches are accepted but get no response, as while discovery is cut off from the network.
    pub holds_watches: Arc<AtomicBool>,
    /// Delay before the response to a new watch.
    pub watch_delay: Arc<Mutex<Duration>>,
    /// Number of further notification requests that are answered with status 500.
    pub failing_posts: Arc<AtomicUsize>,
    /// Number of further notification requests that get no response while their connections stay open.
    pub silent_posts: Arc<AtomicUsize>,
    /// Lengths in bytes after which the responses to the next notification requests break off.
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
            muted_watches: Arc::default(),
            closed_watches: Arc::default(),
            rejects_watches: Arc::default(),
            rejected_watches: Arc::default(),
            holds_watches: Arc::default(),
            watch_delay: Arc::default(),
            failing_posts: Arc::default(),
            silent_posts: Arc::default(),
            notice_cuts: Arc::default(),
        };
        let shared = agent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || serve_agent(stream, &shared));
            }
        });
        agent
    }

    /// Truncates the responses to the next notification requests to the given lengths in bytes, one length per
    /// response.
    pub fn cut_notices(&self, lengths: impl IntoIterator<Item = usize>) {
        let mut cuts = self.notice_cuts.lock().expect("not poisoned");
        cuts.extend(lengths);
    }

    /// Sends a line with a change of the endpoint list to all open watches.
    pub fn announce(&self, line: String) {
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
        failing_posts,
        changes,
        ..
    } = agent;
    let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
    let Some(request) = read_http(&mut reader) else {
        return;
    };
    if request.line.starts_with("POST /v1/outcomes ") {
        let faulty = failing_posts
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
            // keeps the connection open until the sender closes it
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
        // this stand-in has no freeze calendar
        let _ = stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
        return;
    }
    assert!(
        request.line.starts_with("GET /v1/endpoints?watch=1&from="),
        "{}",
        request.line
    );
    if agent.rejects_watches.load(Ordering::SeqCst) {
        agent.rejected_watches.fetch_add(1, Ordering::SeqCst);
        let _ = stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        return;
    }
    while agent.holds_watches.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(10));
    }
    let watch_number = watches.fetch_add(1, Ordering::SeqCst);
    thread::sleep(*agent.watch_delay.lock().expect("not poisoned"));
    let mut unsent_lines = lines.lock().expect("not poisoned").clone();
    let mut changes_seen = changes.lock().expect("not poisoned").len();
    if stream
        .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .is_err()
    {
        return;
    }
    let silent = unsent_lines.is_empty();
    loop {
        while watch_number < agent.muted_watches.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(10));
        }
        for line in unsent_lines.drain(..) {
            let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
            if stream.write_all(chunk.as_bytes()).is_err() {
                return;
            }
        }
        let keep_alive_at = Instant::now() + Duration::from_millis(500);
        while unsent_lines.is_empty() && Instant::now() < keep_alive_at {
            if watch_number < agent.closed_watches.load(Ordering::SeqCst) {
                return;
            }
            thread::sleep(Duration::from_millis(10));
            unsent_lines.extend(
                changes.lock().expect("not poisoned")[changes_seen..]
                    .iter()
                    .cloned(),
            );
        }
        changes_seen += unsent_lines.len();
        if !silent && unsent_lines.is_empty() {
            unsent_lines.push(String::new());
        }
    }
}

/// Returns a line with a full endpoint list. Each entry holds an endpoint's uid, address, kind, destination and state.
pub fn list(entries: &[(&str, SocketAddr, &str, u64, &str)]) -> String {
    list_line(7, true, entries)
}

/// Returns a line with changes of the endpoint list that result in the given version. The entries are as in [`list`].
pub fn changes(version: u64, entries: &[(&str, SocketAddr, &str, u64, &str)]) -> String {
    list_line(version, false, entries)
}

fn list_line(
    version: u64,
    is_full: bool,
    entries: &[(&str, SocketAddr, &str, u64, &str)],
) -> String {
    let targets: Vec<String> = entries
        .iter()
        .map(|(uid, address, kind, destination, state)| {
            format!(
                r#"{{"uid":"{uid}","endpoint":"{address}","az":"a","model":"{kind}","pod_group":{destination},"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
            )
        })
        .collect();
    format!(
        r#"{{"rev":{version},"all":{is_full},"targets":[{}]}}"#,
        targets.join(",")
    )
}

/// Starts a stand-in for discovery whose list holds one endpoint, of destination 7.
pub fn agent_with_one_endpoint(endpoint: &Endpoint) -> Agent {
    Agent::new(vec![list(&[("s-1", endpoint.address, "one", 7, "up")])])
}
