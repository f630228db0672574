//! Tests of peers that send requests and do not read the answers. They must keep no client waiting, while a peer that
//! reads slowly gets all its answers.

mod node;

use node::*;
use socket2::{Domain, SockAddr, Socket, Type};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Limit of descriptors, of which clients get a third.
const DESCRIPTORS: usize = 96;
/// Number of peers: more than a third of the descriptors.
const PEERS: usize = DESCRIPTORS / 3 + 8;
/// Time within which the sender owes a peer an answer or a close.
const CLOSE_LIMIT: Duration = Duration::from_secs(3);
/// Time within which an operator is owed an answer.
const OPERATOR_LIMIT: Duration = Duration::from_secs(1);
/// Size of a peer's receive buffer, so small that unread answers soon fill all buffers.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1024;
/// Time without progress after which a peer's write is taken for blocked.
const BLOCKED_AFTER: Duration = Duration::from_millis(200);
/// Request without the headers of a message; the sender answers it with an error.
const BAD_REQUEST: &[u8] = b"POST /webhook HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
/// Number of requests that one write of a peer contains.
const REQUESTS_IN_WRITE: usize = 400;

/// Connects with a small receive buffer.
fn connect(address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket
        .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        .expect("set");
    socket.connect(&SockAddr::from(address)).expect("connected");
    let stream = TcpStream::from(socket);
    stream.set_write_timeout(Some(BLOCKED_AFTER)).expect("set");
    stream
}

/// Writes requests until the sender reads no more of them, since its answers are not read.
fn write_until_blocked(stream: &mut TcpStream) {
    let requests = BAD_REQUEST.repeat(REQUESTS_IN_WRITE);
    loop {
        match stream.write_all(&requests) {
            Ok(()) => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => return,
            Err(error) => panic!("the sender closed the connection early: {error}"),
        }
    }
}

/// Connects peers that fill the buffers with requests and read nothing.
fn connect_stalled_peers(address: SocketAddr, count: usize) -> Vec<TcpStream> {
    let peers: Vec<_> = (0..count)
        .map(|_| {
            thread::spawn(move || {
                let mut stream = connect(address);
                // the sender may close a peer for which there is no room while it still writes
                let requests = BAD_REQUEST.repeat(REQUESTS_IN_WRITE);
                while stream.write_all(&requests).is_ok() {}
                stream
            })
        })
        .collect();
    peers
        .into_iter()
        .map(|peer| peer.join().expect("the peer does not panic"))
        .collect()
}

/// Guards against peers that read nothing and keep every permit for client connections, so that no client is answered.
#[test]
fn peers_that_read_nothing_keep_no_client_from_an_answer() {
    let endpoint = Endpoint::new(|_, _| OK);
    let agent = agent_with_one_endpoint(&endpoint);
    let node = Node::with_sockets(agent.address, 3.0, 5.0, DESCRIPTORS).ready();
    let peers = connect_stalled_peers(node.address, PEERS);
    let began = Instant::now();
    for number in 0..10 {
        let status = node.submit("webhook", &format!("m{number}"), 7, 20_000, b"x");
        assert_eq!(status, 202);
    }
    assert!(began.elapsed() < CLOSE_LIMIT, "{:?}", began.elapsed());
    assert_eq!(node.readiness_status(), 200);
    drop(peers);
}

/// Guards against a connection that stays for as long as its peer reads nothing, also while there is room for others.
#[test]
fn connection_whose_peer_reads_nothing_is_closed() {
    let endpoint = Endpoint::new(|_, _| OK);
    let node = Node::new(&agent_with_one_endpoint(&endpoint)).ready();
    let mut peer = connect(node.address);
    write_until_blocked(&mut peer);
    wait_until("the connection is closed", || {
        peer.write(BAD_REQUEST)
            .is_err_and(|error| error.kind() != ErrorKind::WouldBlock)
    });
}

/// Guards against a predecessor that never ends after an upgrade, since one of its clients reads nothing.
#[test]
fn predecessor_ends_though_peer_reads_nothing() {
    let endpoint = Endpoint::new(|_, _| OK);
    let mut old = Node::with_passed_socket(&agent_with_one_endpoint(&endpoint)).ready();
    let mut peer = connect(old.address);
    write_until_blocked(&mut peer);
    let new = old.successor().ready();
    wait_until("the predecessor ends", || {
        old.process.try_wait().expect("process state").is_some()
    });
    assert_eq!(new.submit("webhook", "m1", 7, 20_000, b"x"), 202);
}

/// Guards against a reader of the log that stops reading: once its pipe is full, the process would wait for it and answer
/// nobody.
#[test]
fn reader_of_the_log_that_stops_keeps_no_client_from_an_answer() {
    const FAILED_REQUESTS: usize = 3000;
    let endpoint = Endpoint::new(|_, _| OK);
    let node = Node::new(&agent_with_one_endpoint(&endpoint)).ready();
    node.pause_log(true);
    let mut client = Client::new(&node);
    for _ in 0..FAILED_REQUESTS {
        let status = client.send(BAD_REQUEST).expect("answered").0;
        assert_eq!(status, 400);
    }
    assert_eq!(node.submit("webhook", "m1", 7, 20_000, b"x"), 202);
    node.pause_log(false);
    wait_until("the lost lines are counted", || {
        let _ = client.send(BAD_REQUEST);
        node.logged("lines dropped, stderr was not read")
    });
}

/// Guards against operators that read nothing and keep others from an answer within the second that they are owed.
#[test]
fn operators_that_read_nothing_keep_no_other_operator_from_an_answer() {
    const OPERATORS: usize = 40;
    const ENDPOINTS: u64 = 1000;
    const LARGE_REPORT_BYTES: usize = 200_000;
    let endpoint = Endpoint::new(|_, _| OK);
    let uids: Vec<String> = (0..ENDPOINTS).map(|number| format!("s-{number}")).collect();
    let entries: Vec<_> = uids
        .iter()
        .zip(0..)
        .map(|(uid, destination)| (uid.as_str(), endpoint.address, "one", destination, "up"))
        .collect();
    let agent = Agent::new(vec![list(&entries)]);
    let node = Node::new(&agent).ready();
    wait_until("the list is known", || {
        operator_response(&node, "GET /pools").len() > LARGE_REPORT_BYTES
    });
    let mut operators: Vec<TcpStream> = (0..OPERATORS).map(|_| connect(node.control)).collect();
    for operator in &mut operators {
        let request = b"GET /pools HTTP/1.1\r\nHost: a\r\n\r\n";
        operator.write_all(request).expect("written");
    }
    let began = Instant::now();
    assert_eq!(node.operator_status("GET /ready", ""), 200);
    assert!(
        began.elapsed() < OPERATOR_LIMIT,
        "answered after {:?}",
        began.elapsed()
    );
}

/// Guards against closing the connection of a client on a slow link: it reads less than the sender could write, but it
/// reads on, and gets all its answers.
#[test]
fn peer_that_reads_slowly_gets_all_answers() {
    const REQUESTS: usize = 1500;
    const PIECE_BYTES: usize = 4 * 1024;
    const PIECE_INTERVAL: Duration = Duration::from_millis(100);
    let endpoint = Endpoint::new(|_, _| OK);
    let node = Node::new(&agent_with_one_endpoint(&endpoint)).ready();
    let mut stream = connect(node.address);
    stream.set_write_timeout(None).expect("set");
    let mut writer = stream.try_clone().expect("cloned");
    let writing = thread::spawn(move || {
        let requests = BAD_REQUEST.repeat(REQUESTS);
        writer.write_all(&requests).expect("written")
    });
    let mut answers = Vec::new();
    let mut piece = vec![0; PIECE_BYTES];
    let mut count = 0;
    let began = Instant::now();
    while count < REQUESTS {
        let read = stream.read(&mut piece).expect("the connection stays");
        assert!(read > 0, "closed after {count} answers");
        answers.extend_from_slice(&piece[..read]);
        count = String::from_utf8_lossy(&answers)
            .matches("HTTP/1.1 400")
            .count();
        thread::sleep(PIECE_INTERVAL);
    }
    writing.join().expect("all requests are written");
    assert!(
        began.elapsed() > CLOSE_LIMIT,
        "the link was not slow: {:?}",
        began.elapsed()
    );
}
