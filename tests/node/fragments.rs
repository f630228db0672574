//! An endpoint that breaks its answers off as it is told, and keeps its own record of what it has written.

use super::http::read_http;
use super::{Agent, Node, Request, list};
use socket2::SockRef;
use std::collections::{HashMap, HashSet};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The status line of a delivery.
pub const STATUS_LINE: &[u8] = b"HTTP/1.1 200 OK\r\n";
const WHOLE_ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
/// Long enough for any case that does not wait for it.
pub const LONG_MS: u64 = 20_000;

/// What an endpoint does after a part of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Then {
    /// Ends the connection in order.
    Close,
    /// Resets the connection.
    Reset,
    /// Leaves it open and writes nothing more.
    Silence,
}

/// The answer to one call.
#[derive(Debug, Clone)]
pub struct Fragment {
    pub bytes: Vec<u8>,
    pub then: Then,
}

impl Fragment {
    pub fn of_status_line(length: usize, then: Then) -> Self {
        Fragment {
            bytes: STATUS_LINE[..length].to_vec(),
            then,
        }
    }
}

/// What a fragmenting endpoint has seen and written.
#[derive(Debug, Default)]
struct FragmentRecord {
    /// Answers to the first calls with each message; all others are whole.
    fragments: HashMap<String, Vec<Fragment>>,
    /// Calls with each message that came whole.
    calls: HashMap<String, usize>,
    /// Messages for which a whole first line 200 was written.
    delivered: HashSet<String>,
}

/// An endpoint that breaks its answers off as it is told.
#[derive(Clone)]
pub struct FragmentingEndpoint {
    pub address: SocketAddr,
    record: Arc<Mutex<FragmentRecord>>,
}

impl FragmentingEndpoint {
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let endpoint = FragmentingEndpoint {
            address: listener.local_addr().expect("bound"),
            record: Arc::default(),
        };
        let here = endpoint.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let here = here.clone();
                thread::spawn(move || here.serve(stream));
            }
        });
        endpoint
    }

    /// The first call with the message is answered so.
    pub fn break_off(&self, id: &str, fragment: Fragment) {
        let mut record = self.record.lock().expect("not poisoned");
        record
            .fragments
            .entry(id.to_string())
            .or_default()
            .push(fragment);
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
        while let Some(request) = read_http(&mut reader) {
            let fragment = self.answer_to(&request);
            if stream.write_all(&fragment.bytes).is_err() {
                return;
            }
            match fragment.then {
                Then::Silence => {}
                Then::Close => return,
                Then::Reset => {
                    let no_linger = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                    return no_linger.expect("set");
                }
            }
        }
    }

    /// Records the call and what is written for it: before that, so that the record is never behind the sender.
    fn answer_to(&self, request: &Request) -> Fragment {
        let ids = request.ids();
        let mut record = self.record.lock().expect("not poisoned");
        for id in &ids {
            *record.calls.entry(id.clone()).or_default() += 1;
        }
        let planned = record.fragments.get_mut(&ids[0]).and_then(Vec::pop);
        let fragment = planned.unwrap_or_else(|| whole_answer(&ids));
        let delivered = match &ids[..] {
            [id] if fragment.bytes.starts_with(STATUS_LINE) => vec![id.clone()],
            [_] => Vec::new(),
            _ => delivered_in_bulk(&fragment.bytes),
        };
        record.delivered.extend(delivered);
        fragment
    }

    pub fn calls(&self, id: &str) -> usize {
        let record = self.record.lock().expect("not poisoned");
        record.calls.get(id).copied().unwrap_or(0)
    }

    pub fn has_delivered(&self, id: &str) -> bool {
        let record = self.record.lock().expect("not poisoned");
        record.delivered.contains(id)
    }
}

fn whole_answer(ids: &[String]) -> Fragment {
    let bytes = match ids {
        [_] => WHOLE_ANSWER.to_vec(),
        _ => {
            let body: String = ids.iter().map(|id| format!("{id} ok\r\n")).collect();
            let length = body.len();
            format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}").into_bytes()
        }
    };
    Fragment {
        bytes,
        then: Then::Silence,
    }
}

/// The messages that whole lines of a bulk answer say are delivered.
fn delivered_in_bulk(answer: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(answer);
    let Some((_, body)) = text.split_once("\r\n\r\n") else {
        return Vec::new();
    };
    let whole_lines = body
        .split_inclusive('\n')
        .filter_map(|line| line.strip_suffix(" ok\r\n"));
    whole_lines.map(str::to_string).collect()
}

/// Discovery with one endpoint that serves so many destinations.
pub fn destinations_at(address: SocketAddr, kind: &str, count: u64) -> Agent {
    let uids: Vec<String> = (0..count).map(|number| format!("s-{number}")).collect();
    let entries: Vec<_> = uids
        .iter()
        .zip(0..)
        .map(|(uid, destination)| (uid.as_str(), address, kind, destination, "up"))
        .collect();
    Agent::new(vec![list(&entries)])
}

/// A sender with slots for all cases at once and a short window of the class with a key.
pub fn sender(agent: &Agent) -> Node {
    let change = |text: String| {
        text.replace(r#""callSlots":8"#, r#""callSlots":400"#)
            .replace(r#""maxOpen":50"#, r#""maxOpen":400"#)
            .replace(r#""window":12.0"#, r#""window":1.0"#)
    };
    Node::configured_with(agent, change).ready()
}

pub fn is_notified(agent: &Agent, id: &str) -> bool {
    let prefix = format!(r#"{{"id":"{id}","state":"#);
    agent
        .notices()
        .iter()
        .any(|notice| notice.starts_with(&prefix))
}

/// Asserts that each message has an end that the record of its endpoint or of the platform proves: a delivery the
/// sender knows of and notifies nobody of, or a notification.
pub fn assert_proved_ends(
    node: &Node,
    agent: &Agent,
    endpoint: &FragmentingEndpoint,
    ids: &[String],
) {
    let until = Instant::now() + Duration::from_secs(8);
    let has_end = |id: &String| is_notified(agent, id) || endpoint.has_delivered(id);
    while Instant::now() < until && !ids.iter().all(has_end) {
        thread::sleep(Duration::from_millis(5));
    }
    let lost: Vec<&String> = ids.iter().filter(|id| !has_end(id)).collect();
    assert!(
        lost.is_empty(),
        "neither delivered nor notified: {lost:?}\n{}",
        node.log.lock().expect("not poisoned").join("\n")
    );
    for id in ids.iter().filter(|id| endpoint.has_delivered(id)) {
        assert!(!is_notified(agent, id), "{id} is delivered and notified");
    }
}
