//! What ends an accepted message, on real processes: a whole first line 200, a whole 410, a notification that the platform
//! has accepted with 204, or a client that left before its 202. Each stand-in keeps its own record of what it has written,
//! and that record decides what a message's end has to be.

mod node;

use node::*;
use socket2::SockRef;
use std::collections::{HashMap, HashSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The status line of a delivery.
const STATUS_LINE: &[u8] = b"HTTP/1.1 200 OK\r\n";
const WHOLE_ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
/// Long enough for any case here that does not wait for it.
const LONG_MS: u64 = 20_000;

/// What an endpoint does after a part of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Then {
    /// Ends the connection in order.
    Close,
    /// Resets the connection.
    Reset,
    /// Leaves it open and writes nothing more.
    Silence,
}

/// The answer to one call.
#[derive(Debug, Clone)]
struct Fragment {
    bytes: Vec<u8>,
    then: Then,
}

impl Fragment {
    fn of_status_line(length: usize, then: Then) -> Self {
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
struct FragmentingEndpoint {
    address: SocketAddr,
    record: Arc<Mutex<FragmentRecord>>,
}

impl FragmentingEndpoint {
    fn new() -> Self {
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
    fn break_off(&self, id: &str, fragment: Fragment) {
        let mut record = self.record.lock().expect("not poisoned");
        record
            .fragments
            .entry(id.to_string())
            .or_default()
            .push(fragment);
    }

    fn serve(&self, mut stream: TcpStream) {
        while let Some(request) = read_request(&mut stream) {
            let id = request.header("x-request-id").to_string();
            let fragment = self.answer_to(&id);
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
    fn answer_to(&self, id: &str) -> Fragment {
        let mut record = self.record.lock().expect("not poisoned");
        *record.calls.entry(id.to_string()).or_default() += 1;
        let planned = record.fragments.get_mut(id).and_then(Vec::pop);
        let fragment = planned.unwrap_or_else(|| Fragment {
            bytes: WHOLE_ANSWER.to_vec(),
            then: Then::Silence,
        });
        if fragment.bytes.starts_with(STATUS_LINE) {
            record.delivered.insert(id.to_string());
        }
        fragment
    }

    fn calls(&self, id: &str) -> usize {
        let record = self.record.lock().expect("not poisoned");
        record.calls.get(id).copied().unwrap_or(0)
    }

    fn has_delivered(&self, id: &str) -> bool {
        let record = self.record.lock().expect("not poisoned");
        record.delivered.contains(id)
    }
}

fn read_request(stream: &mut TcpStream) -> Option<Request> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head);
    let mut lines = text.lines();
    let mut request = Request {
        line: lines.next()?.to_string(),
        ..Request::default()
    };
    for (name, value) in lines.filter_map(|line| line.split_once(": ")) {
        request
            .headers
            .insert(name.to_ascii_lowercase(), value.to_string());
    }
    let length = request.header("content-length").parse().unwrap_or(0);
    request.body = vec![0; length];
    stream.read_exact(&mut request.body).ok()?;
    Some(request)
}

/// Discovery with one endpoint that serves so many destinations.
fn destinations_at(address: SocketAddr, kind: &str, count: u64) -> Agent {
    let uids: Vec<String> = (0..count).map(|number| format!("s-{number}")).collect();
    let entries: Vec<_> = uids
        .iter()
        .zip(0..)
        .map(|(uid, destination)| (uid.as_str(), address, kind, destination, "up"))
        .collect();
    Agent::new(vec![list(&entries)])
}

/// A sender with slots for all cases at once and a short window of the class with a key.
fn sender(agent: &Agent) -> Node {
    let change = |text: String| {
        text.replace(r#""callSlots":8"#, r#""callSlots":400"#)
            .replace(r#""maxOpen":50"#, r#""maxOpen":400"#)
            .replace(r#""window":12.0"#, r#""window":1.0"#)
    };
    Node::configured_with(agent, change).ready()
}

fn is_notified(agent: &Agent, id: &str) -> bool {
    let prefix = format!(r#"{{"id":"{id}","state":"#);
    agent
        .notices()
        .iter()
        .any(|notice| notice.starts_with(&prefix))
}

/// Asserts that each message has an end that the record of its endpoint or of the platform proves: a delivery the
/// sender knows of and notifies nobody of, or a notification.
fn assert_proved_ends(node: &Node, agent: &Agent, endpoint: &FragmentingEndpoint, ids: &[String]) {
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

#[test]
fn answer_cut_within_its_status_line_is_no_delivery() {
    let endpoint = FragmentingEndpoint::new();
    let agent = destinations_at(endpoint.address, "one", 200);
    let node = sender(&agent);
    let mut ids = Vec::new();
    for class in ["order", "webhook"] {
        for then in [Then::Close, Then::Reset] {
            for length in 0..=STATUS_LINE.len() {
                let id = format!("{class}-{then:?}-{length}");
                endpoint.break_off(&id, Fragment::of_status_line(length, then));
                let destination = ids.len() as u64;
                let answer = node.hand_in(class, &id, destination, LONG_MS, b"body");
                assert_eq!(answer, 202, "{id}");
                ids.push(id);
            }
        }
    }
    assert_proved_ends(&node, &agent, &endpoint, &ids);
    for id in &ids {
        let is_cut = !id.ends_with(&format!("-{}", STATUS_LINE.len()));
        let calls = if is_cut && id.starts_with("webhook") {
            2
        } else {
            1
        };
        assert_eq!(endpoint.calls(id), calls, "calls with {id}");
    }
}

#[test]
fn partial_status_line_on_an_open_connection_is_no_delivery() {
    let endpoint = FragmentingEndpoint::new();
    let agent = destinations_at(endpoint.address, "one", 200);
    let node = sender(&agent);
    let mut ids = Vec::new();
    // the attempt of a class with a key ends with its window, that of the other with its message
    for (class, time_ms) in [("webhook", LONG_MS), ("order", 1500)] {
        for length in 0..=STATUS_LINE.len() {
            let id = format!("{class}-{length}");
            endpoint.break_off(&id, Fragment::of_status_line(length, Then::Silence));
            let destination = ids.len() as u64;
            let answer = node.hand_in(class, &id, destination, time_ms, b"body");
            assert_eq!(answer, 202, "{id}");
            ids.push(id);
        }
    }
    assert_proved_ends(&node, &agent, &endpoint, &ids);
}

#[test]
fn whole_status_line_is_a_delivery_at_once_though_the_rest_never_comes() {
    let endpoint = FragmentingEndpoint::new();
    let agent = destinations_at(endpoint.address, "one", 200);
    let node = sender(&agent);
    for (class, destination) in [("order", 0), ("webhook", 1), ("charge", 2)] {
        let id = format!("{class}-whole");
        endpoint.break_off(
            &id,
            Fragment::of_status_line(STATUS_LINE.len(), Then::Silence),
        );
        assert_eq!(node.hand_in(class, &id, destination, LONG_MS, b"body"), 202);
        let until = Instant::now() + Duration::from_secs(5);
        while Instant::now() < until
            && node.hand_in(class, &id, destination, LONG_MS, b"body") != 200
        {
            thread::sleep(Duration::from_millis(5));
        }
        let again = node.hand_in(class, &id, destination, LONG_MS, b"body");
        assert_eq!(again, 200, "{id} is delivered");
        assert_eq!(endpoint.calls(&id), 1, "calls with {id}");
        assert!(!is_notified(&agent, &id));
    }
}
