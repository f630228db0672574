//! Tests of the limit on the memory of a process: what all peers together make it hold stays under `limits.memory_mb`,
//! files of the state folder included, and proper clients are served meanwhile.

mod node;

use node::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Least memory that a deployment gives a sender, in megabytes of 10^6 bytes.
const MEMORY_MB: usize = 32;
/// Clients of a crowd, more than the third of 1,024 descriptors that clients may use.
const CROWD_CLIENTS: usize = 400;
/// Time for which a crowd of one kind stays.
const CROWD_TIME: Duration = Duration::from_secs(3);
/// Interval between two measurements of the memory.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(2);
/// Pause between two messages of the proper client.
const CLIENT_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the configuration with [`MEMORY_MB`].
fn with_small_memory(text: String) -> String {
    let memory = format!("\"memory_mb\":{MEMORY_MB}");
    text.replace("\"memory_mb\":192", &memory)
}

/// Starts a sender with [`MEMORY_MB`] and the test's other limits.
fn small_node(agent: &Agent) -> Node {
    Node::configured_with(agent, with_small_memory).ready()
}

/// Starts a sender with [`MEMORY_MB`] that may hold many messages and make many calls at once.
fn small_node_with_many_calls(agent: &Agent) -> Node {
    Node::configured_with(agent, |text| {
        with_small_memory(text)
            .replace("\"maxOpen\":50", "\"maxOpen\":2000")
            .replace("\"callSlots\":8", "\"callSlots\":400")
    })
    .ready()
}

/// Returns the peak of the counted bytes over [`CROWD_TIME`].
fn peak_bytes(node: &Node) -> usize {
    let began = Instant::now();
    let mut peak = 0;
    while began.elapsed() < CROWD_TIME {
        peak = peak.max(counted_bytes(node));
        thread::sleep(SAMPLE_INTERVAL);
    }
    peak
}

/// Accepts connections and answers each with these bytes, as fast as they are read, then keeps the connection open.
fn endless_answers(answer: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                let mut call = [0; 1024];
                let _ = stream.read(&mut call);
                let _ = stream.write_all(&answer);
                let _ = stream.read_to_end(&mut Vec::new());
            });
        }
    });
    address
}

/// Returns the bytes that count against the memory limit: anonymous memory and the files of the state folder.
fn counted_bytes(node: &Node) -> usize {
    let files = std::fs::read_dir(node.folder.join("state")).expect("the state folder");
    let file_bytes: u64 = files
        .filter_map(|entry| Some(entry.ok()?.metadata().ok()?.len()))
        .sum();
    node.memory() + file_bytes as usize
}

/// Peak of the memory of a process while it was watched, and how its proper client fared.
#[derive(Debug, Default)]
struct Observed {
    peak_bytes: usize,
    peak_anonymous_bytes: usize,
    submitted: usize,
    answered: usize,
    accepted: usize,
    slowest: Duration,
}

/// Watches the memory, and submits small messages like a proper client, for [`CROWD_TIME`].
fn observe(node: &Node, name: &str) -> Observed {
    let is_over: Arc<AtomicBool> = Arc::default();
    let mut observed = Observed::default();
    thread::scope(|scope| {
        let client = scope.spawn(|| {
            let mut served = Observed::default();
            while !is_over.load(Ordering::SeqCst) {
                let id = format!("{name}-{}", served.submitted);
                let began = Instant::now();
                let status = node.submit("webhook", &id, 7, 20_000, b"proper");
                served.submitted += 1;
                served.answered += usize::from(status != 0);
                served.accepted += usize::from(status == 202);
                served.slowest = served.slowest.max(began.elapsed());
                thread::sleep(CLIENT_INTERVAL);
            }
            served
        });
        let began = Instant::now();
        while began.elapsed() < CROWD_TIME {
            observed.peak_bytes = observed.peak_bytes.max(counted_bytes(node));
            observed.peak_anonymous_bytes = observed.peak_anonymous_bytes.max(node.memory());
            thread::sleep(SAMPLE_INTERVAL);
        }
        is_over.store(true, Ordering::SeqCst);
        let served = client.join().expect("the client does not panic");
        observed = Observed {
            peak_bytes: observed.peak_bytes,
            peak_anonymous_bytes: observed.peak_anonymous_bytes,
            ..served
        };
    });
    observed
}

/// Guards against peers that together make the process hold more than its memory limit, whatever they send, and so get
/// it killed.
#[test]
fn clients_of_every_kind_leave_process_under_its_memory_limit() {
    let endpoint = Endpoint::new(|_, _| OK);
    let agent = agent_with_one_endpoint(&endpoint);
    let mut over = Vec::new();
    for behaviour in Behaviour::ALL {
        let node = small_node(&agent);
        let crowd = Crowd::new(node.address, CROWD_CLIENTS, behaviour);
        let observed = observe(&node, &format!("{behaviour:?}"));
        drop(crowd);
        println!("{behaviour:?}: {observed:?}");
        assert!(observed.submitted > 0, "{behaviour:?}: {observed:?}");
        assert_eq!(
            observed.answered, observed.submitted,
            "{behaviour:?}: {observed:?}"
        );
        if !behaviour.fills_sender_with_messages() {
            assert_eq!(
                observed.accepted, observed.submitted,
                "{behaviour:?}: {observed:?}"
            );
        }
        if observed.peak_bytes > MEMORY_MB * 1_000_000 {
            over.push((behaviour, observed.peak_bytes));
        }
    }
    assert!(over.is_empty(), "over the limit: {over:?}");
}

/// Guards against an upgrade whose two processes, which share one memory limit, hold more than it together.
#[test]
fn both_processes_of_an_upgrade_stay_under_one_memory_limit() {
    const MESSAGES: usize = 30;
    const BODY_BYTES: usize = 20_000;
    let endpoint = Endpoint::new(|_, _| Reply::Silence);
    let agent = agent_with_one_endpoint(&endpoint);
    let old = Node::with_passed_socket_configured(&agent, with_small_memory).ready();
    for number in 0..MESSAGES {
        let body = vec![b'x'; BODY_BYTES];
        let status = old.submit("webhook", &format!("m{number}"), 7, 20_000, &body);
        assert_eq!(status, 202);
    }
    let crowd = Crowd::new(old.address, CROWD_CLIENTS, Behaviour::StoppedBody);
    let peak_before = peak_bytes(&old);
    let new = old.successor_as_configured();
    let mut peak_together = 0;
    let began = Instant::now();
    while began.elapsed() < CROWD_TIME {
        let predecessor = old.memory_if_running().unwrap_or(0);
        peak_together = peak_together.max(predecessor + counted_bytes(&new));
        thread::sleep(SAMPLE_INTERVAL);
    }
    drop(crowd);
    println!("before {peak_before}, together {peak_together}");
    assert!(peak_before <= MEMORY_MB * 1_000_000, "{peak_before}");
    assert!(peak_together <= MEMORY_MB * 1_000_000, "{peak_together}");
}

/// Guards against a slow client that is refused though nobody waits for its memory.
#[test]
fn slow_client_is_accepted_while_nobody_waits() {
    const PIECE_BYTES: usize = 2048;
    const PIECE_INTERVAL: Duration = Duration::from_millis(12);
    let endpoint = Endpoint::new(|_, _| OK);
    let node = small_node(&agent_with_one_endpoint(&endpoint));
    let mut client = Client::new(&node);
    let request = message("webhook", "slow", 7, 20_000, &vec![b'x'; 64 * 1024]);
    for piece in request.chunks(PIECE_BYTES) {
        client.write(piece).expect("written");
        thread::sleep(PIECE_INTERVAL);
    }
    assert_eq!(client.response().expect("answered").0, 202);
}

/// Returns small requests, each with an id, key, subject, tenant and destination of its own.
fn requests_under_new_names(first: usize, count: usize) -> Vec<u8> {
    (first..first + count)
        .flat_map(|number| {
            let destination = number % 60_000;
            format!(
                "POST /charge?subject=s{number} HTTP/1.1\r\nHost: a\r\nX-Request-ID: flood-{number}\r\n\
                 X-Priority-Class: charge\r\nX-Tenant-Id: t{number}\r\nX-Timeout: 60m\r\n\
                 Idempotency-Key: k{number}\r\nEnvelope: dest={destination}\r\nContent-Length: 1\r\n\r\nx"
            )
            .into_bytes()
        })
        .collect()
}

/// Guards against one client that sends messages under ever new names at full speed, so that tables grow without end or
/// other clients wait for their answers.
#[test]
fn flood_under_ever_new_names_leaves_memory_level_and_others_served() {
    const REQUESTS_IN_WRITE: usize = 200;
    // less than the text of the names of the second half
    const MAX_GROWTH_BYTES: usize = 1_000_000;
    let endpoint = Endpoint::new(|_, _| OK);
    let node = small_node(&agent_with_one_endpoint(&endpoint));
    let mut stream = TcpStream::connect(node.address).expect("connected");
    let mut answers = stream.try_clone().expect("cloned");
    let reader = thread::spawn(move || {
        let mut buffer = [0; 65_536];
        while answers.read(&mut buffer).is_ok_and(|read| read > 0) {}
    });
    let is_over: Arc<AtomicBool> = Arc::default();
    let over = is_over.clone();
    let writer = thread::spawn(move || {
        let mut sent = 0;
        while !over.load(Ordering::SeqCst) {
            let requests = requests_under_new_names(sent, REQUESTS_IN_WRITE);
            stream.write_all(&requests).expect("written");
            sent += REQUESTS_IN_WRITE;
        }
        stream.shutdown(std::net::Shutdown::Both).expect("closed");
        sent
    });
    let first_half = observe(&node, "first-half");
    let second_half = observe(&node, "second-half");
    is_over.store(true, Ordering::SeqCst);
    let sent = writer.join().expect("the writer does not panic");
    reader.join().expect("the reader does not panic");
    println!("{sent} requests: {first_half:?}, {second_half:?}");
    for half in [&first_half, &second_half] {
        assert_eq!(half.answered, half.submitted, "{half:?}");
        assert!(half.peak_bytes <= MEMORY_MB * 1_000_000, "{half:?}");
    }
    let before = first_half.peak_anonymous_bytes;
    let growth = second_half.peak_anonymous_bytes.saturating_sub(before);
    assert!(growth < MAX_GROWTH_BYTES, "{growth}");
}

/// Guards against endpoints whose answers, of long heads that do not end or of bodies in tiny chunks, take the process over
/// its memory limit.
#[test]
fn endless_answers_of_endpoints_leave_process_under_its_memory_limit() {
    const DESTINATIONS: u64 = 200;
    const MESSAGES: u64 = 400;
    let long_head = [
        b"HTTP/1.1 200 OK\r\nX-Padding: ".to_vec(),
        vec![b'p'; 60_000],
    ]
    .concat();
    let head = b"HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    let tiny_chunks = [head, b"1\r\nx\r\n".repeat(60_000)].concat();
    for answer in [long_head, tiny_chunks] {
        let address = endless_answers(answer);
        let uids: Vec<String> = (0..DESTINATIONS).map(|uid| format!("s-{uid}")).collect();
        let entries: Vec<_> = uids
            .iter()
            .zip(0..)
            .map(|(uid, destination)| (uid.as_str(), address, "one", destination, "up"))
            .collect();
        let node = small_node_with_many_calls(&Agent::new(vec![list(&entries)]));
        for number in 0..MESSAGES {
            let id = format!("m{number}");
            node.submit("webhook", &id, number % DESTINATIONS, 20_000, b"x");
        }
        let peak = peak_bytes(&node);
        assert!(peak <= MEMORY_MB * 1_000_000, "{peak}");
    }
}

/// Guards against a list that does not end and whose parts take many times their length in memory.
#[test]
fn endless_list_of_discovery_leaves_process_under_its_memory_limit() {
    let endpoint = Endpoint::new(|_, _| OK);
    let agent = agent_with_one_endpoint(&endpoint);
    let node = small_node(&agent);
    agent.announce(format!("[{}", "1,".repeat(4_000_000)));
    let peak = peak_bytes(&node);
    assert!(peak <= MEMORY_MB * 1_000_000, "{peak}");
    assert_eq!(node.submit("webhook", "m1", 7, 20_000, b"x"), 202);
}

/// Guards against operators that read nothing of long reports and take the process over its memory limit.
#[test]
fn operators_that_read_nothing_leave_process_under_its_memory_limit() {
    const OPERATORS: usize = 40;
    const ENDPOINTS: u64 = 1500;
    let endpoint = Endpoint::new(|_, _| OK);
    let uids: Vec<String> = (0..ENDPOINTS).map(|uid| format!("s-{uid}")).collect();
    let entries: Vec<_> = uids
        .iter()
        .zip(0..)
        .map(|(uid, destination)| (uid.as_str(), endpoint.address, "one", destination, "up"))
        .collect();
    let node = small_node(&Agent::new(vec![list(&entries)]));
    let mut operators: Vec<TcpStream> = (0..OPERATORS)
        .map(|_| TcpStream::connect(node.control).expect("connected"))
        .collect();
    for operator in &mut operators {
        let request = b"GET /pools HTTP/1.1\r\nHost: a\r\n\r\n";
        operator.write_all(request).expect("written");
    }
    let peak = peak_bytes(&node);
    assert!(peak <= MEMORY_MB * 1_000_000, "{peak}");
    assert_eq!(node.operator_status("GET /ready", ""), 200);
}
