//! An endpoint that breaks off its responses as a test has planned, and records which deliveries it has confirmed.

use super::http::read_http;
use super::{Agent, Node, Request, list};
use socket2::SockRef;
use std::collections::{HashMap, HashSet};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Status line by which the endpoint confirms a delivery.
pub const STATUS_LINE: &[u8] = b"HTTP/1.1 200 OK\r\n";
/// Complete response to a call with one message.
const WHOLE_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
/// Time limit of messages in milliseconds, so long that no test case reaches it.
pub const UNREACHED_TIME_LIMIT_MS: u64 = 20_000;

/// What the endpoint does with the connection after it has sent the bytes of a whole or partial response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterFragment {
    /// Closes the connection normally, with a FIN.
    Close,
    /// Resets the connection, with an RST.
    Reset,
    /// Keeps the connection open. Sends nothing more until the next request, which gets its own response.
    Silence,
}

/// The whole or partial response to one call: the bytes that are sent, and what happens to the connection then.
#[derive(Debug, Clone)]
pub struct Fragment {
    pub bytes: Vec<u8>,
    pub then: AfterFragment,
}

impl Fragment {
    /// Returns the first `length` bytes of the status line.
    pub fn of_status_line(length: usize, then: AfterFragment) -> Self {
        Fragment {
            bytes: STATUS_LINE[..length].to_vec(),
            then,
        }
    }
}

/// Planned responses of a fragmenting endpoint, and the calls and deliveries that it has seen.
#[derive(Debug, Default)]
struct FragmentRecord {
    /// Planned responses by the id of a call's first message. A planned response is used once, the last one first; all
    /// other responses are complete.
    fragments: HashMap<String, Vec<Fragment>>,
    /// Number of completely received calls that contained a message, by the message's id.
    calls: HashMap<String, usize>,
    /// Ids of messages whose delivery a response confirms by a complete status line 200 or, in a bulk response, by a
    /// complete line. They are recorded just before the response is sent.
    delivered: HashSet<String>,
}

/// An endpoint that breaks off its responses as planned by [`FragmentingEndpoint::break_off`].
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
        let shared = endpoint.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || shared.serve(stream));
            }
        });
        endpoint
    }

    /// Plans the response to the next call whose first message has this id.
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
            let fragment = self.response_to(&request);
            if stream.write_all(&fragment.bytes).is_err() {
                return;
            }
            match fragment.then {
                AfterFragment::Silence => {}
                AfterFragment::Close => return,
                AfterFragment::Reset => {
                    let no_linger = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                    return no_linger.expect("set");
                }
            }
        }
    }

    /// Returns the response to a call, and records the call and the deliveries that the response confirms. The record
    /// is made before the response is sent, so that the sender never knows of a delivery that is not recorded yet.
    fn response_to(&self, request: &Request) -> Fragment {
        let ids = request.ids();
        let mut record = self.record.lock().expect("not poisoned");
        for id in &ids {
            *record.calls.entry(id.clone()).or_default() += 1;
        }
        let planned = record.fragments.get_mut(&ids[0]).and_then(Vec::pop);
        let fragment = planned.unwrap_or_else(|| whole_response(&ids));
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

fn whole_response(ids: &[String]) -> Fragment {
    let bytes = match ids {
        [_] => WHOLE_RESPONSE.to_vec(),
        _ => {
            let body: String = ids.iter().map(|id| format!("{id} ok\r\n")).collect();
            let length = body.len();
            format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}").into_bytes()
        }
    };
    Fragment {
        bytes,
        then: AfterFragment::Silence,
    }
}

/// Returns the ids of the messages that complete lines of a bulk response confirm as delivered.
fn delivered_in_bulk(response: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(response);
    let Some((_, body)) = text.split_once("\r\n\r\n") else {
        return Vec::new();
    };
    let whole_lines = body
        .split_inclusive('\n')
        .filter_map(|line| line.strip_suffix(" ok\r\n"));
    whole_lines.map(str::to_string).collect()
}

/// Starts a stand-in for discovery that lists one address as the endpoint of `count` destinations, numbered from 0.
pub fn agent_with_destinations(address: SocketAddr, kind: &str, count: u64) -> Agent {
    let uids: Vec<String> = (0..count).map(|number| format!("s-{number}")).collect();
    let entries: Vec<_> = uids
        .iter()
        .zip(0..)
        .map(|(uid, destination)| (uid.as_str(), address, kind, destination, "up"))
        .collect();
    Agent::new(vec![list(&entries)])
}

/// Starts a sender with 400 call slots and connections, enough to run all test cases concurrently, and a deduplication
/// window of 1 s for the class with idempotency keys.
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

/// Asserts that within 8 s each message is either recorded as delivered by the endpoint or notified to the platform as
/// undelivered, and that no message is both.
pub fn assert_delivered_or_notified(
    node: &Node,
    agent: &Agent,
    endpoint: &FragmentingEndpoint,
    ids: &[String],
) {
    let deadline = Instant::now() + Duration::from_secs(8);
    let has_end = |id: &String| is_notified(agent, id) || endpoint.has_delivered(id);
    while Instant::now() < deadline && !ids.iter().all(has_end) {
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
