//! Tests of races on real connections. Most tests stop the sender's process or time their input so
//! that an event arrives between two particular steps of the sender.

mod node;

use node::*;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Endpoint at which the test itself accepts connections and answers calls.
struct ManualEndpoint(TcpListener);

impl ManualEndpoint {
    fn new() -> Self {
        ManualEndpoint(TcpListener::bind("127.0.0.1:0").expect("a port"))
    }

    /// Returns a discovery service whose list contains only this endpoint, for destination 7.
    fn listed(&self) -> Agent {
        let address = self.0.local_addr().expect("bound");
        Agent::new(vec![list(&[("s-1", address, "one", 7, "up")])])
    }

    /// Accepts the next connection that the sender opens.
    fn accept(&self) -> TcpStream {
        let (stream, _) = self.0.accept().expect("a connection");
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .expect("set");
        stream
    }

    /// Returns the connection over which the sender has made 8 calls, each answered with 200. The
    /// sender keeps it open for its next call to this endpoint.
    fn connection_after_calls(&self, node: &Node) -> TcpStream {
        let (mut stream, mut served) = (None, 0);
        while served < 8 {
            let id = format!("warm-{served}");
            assert_eq!(node.submit("webhook", &id, 7, 20_000, b"body"), 202);
            let stream = stream.get_or_insert_with(|| self.accept());
            assert!(read_call(stream).contains(&id));
            stream.write_all(ANSWER).expect("written");
            wait_until("it counts as delivered", || {
                node.submit("webhook", &id, 7, 20_000, b"body") == 200
            });
            served += 1;
        }
        stream.expect("served")
    }
}

/// Reads a request up to the end of its body, or until the connection ends, and returns what was
/// received.
fn read_call(stream: &mut TcpStream) -> String {
    let (mut bytes, mut byte) = (Vec::new(), [0]);
    while !bytes.ends_with(b"\r\n\r\nbody") && matches!(stream.read(&mut byte), Ok(1)) {
        bytes.push(byte[0]);
    }
    String::from_utf8(bytes).expect("text")
}

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

#[test]
fn retry_connected_after_idempotency_window_is_not_sent() {
    let endpoint = ManualEndpoint::new();
    let agent = endpoint.listed();
    let node = Node::configured_with(&agent, |text| {
        let text = text.replace(r#""window":12.0"#, r#""window":1.0"#);
        with_members(
            &text.replace(r#""dialTimeout":0.5"#, r#""dialTimeout":4.0"#),
            r#""pool":{"per_endpoint":1},"#,
        )
    });
    let node = node.ready();
    let mut first_connection = endpoint.connection_after_calls(&node);
    let mut client = Client::new(&node);
    assert_eq!(
        client
            .send(&message("webhook", "m1", 7, 20_000, b"body"))
            .expect("answered")
            .0,
        202
    );
    assert!(read_call(&mut first_connection).contains("x-request-id: m1"));
    let (sent_at, idempotency_window) = (Instant::now(), Duration::from_secs(1));
    // m1 may have run. The endpoint drops repeats for 1 s after the first call, so the sender may
    // retry only within that time and after a backoff. Meanwhile m2 uses the only connection.
    node.while_stopped(|| {
        drop(first_connection);
        client
            .write(&message("order", "m2", 7, 20_000, b"body"))
            .expect("written");
    });
    let mut second_connection = endpoint.accept();
    assert!(read_call(&mut second_connection).contains("x-request-id: m2"));
    wait_until("the retry waits for a connection", || {
        pools(&node)["totals"]["waiting"] == 1
    });
    std::thread::sleep(idempotency_window.saturating_sub(sent_at.elapsed()));
    second_connection.write_all(ANSWER).expect("written");
    wait_until("m1 is notified as failed", || {
        agent
            .notices()
            .contains(&r#"{"id":"m1","state":"failed"}"#.to_string())
    });
    // the connection that the retry waited for must carry the next message instead
    assert_eq!(node.submit("order", "m3", 7, 20_000, b"body"), 202);
    let call = read_call(&mut second_connection);
    assert!(call.contains("x-request-id: m3"), "{call}");
}

const READY: &[u8] = b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n";

#[test]
fn connection_closed_at_client_limit_answers_received_request() {
    let endpoint = ManualEndpoint::new();
    // the process may open at most 60 sockets, which leaves room for 20 client connections
    let node = Node::with_sockets(endpoint.listed().address, 3.0, 5.0, 60).ready();
    for round in 0..10 {
        let mut clients: Vec<Client> = (0..20).map(|_| Client::new(&node)).collect();
        clients
            .iter_mut()
            .for_each(|client| assert_eq!(client.send(READY).expect("answered").0, 200));
        // after 300 ms of idleness each connection may be closed to make room
        std::thread::sleep(Duration::from_millis(300));
        let mut next = None;
        node.while_stopped(|| {
            next = Some(Client::new(&node));
            clients
                .iter_mut()
                .for_each(|client| client.write(READY).expect("written"));
        });
        for (number, client) in clients.iter_mut().enumerate() {
            let answer = client.response().map(|(status, _)| status);
            assert_eq!(answer, Some(200), "round {round}, client {number}");
        }
        assert_eq!(
            next.expect("connected").send(READY).expect("answered").0,
            200
        );
    }
}

/// Sends requests on idle connections while the process is about to close them, and asserts that
/// each gets an answer with `status`. Returns false, without a check, if the host was so slow that
/// a connection had been closed before.
fn send_at_idle_close(node: &Node, clients: &mut [Client], status: u16) -> bool {
    let mut sent_before_close = false;
    node.while_stopped(|| {
        sent_before_close = !clients.iter_mut().any(Client::has_ended);
        std::thread::sleep(Duration::from_millis(600));
        clients
            .iter_mut()
            .for_each(|client| drop(client.write(READY)));
    });
    for (number, client) in clients.iter_mut().enumerate().filter(|_| sent_before_close) {
        let answer = client.response().map(|(status, _)| status);
        assert_eq!(answer, Some(status), "client {number}");
    }
    sent_before_close
}

#[test]
fn requests_at_shutdown_idle_close_are_answered() {
    let endpoint = ManualEndpoint::new();
    let agent = endpoint.listed();
    let were_sent_before_close = || {
        let node = Node::new(&agent).ready();
        node.terminate();
        wait_until("draining", || node.logged("draining"));
        // idle connections are closed 2.5 s after the signal
        std::thread::sleep(Duration::from_millis(1500));
        let mut clients: Vec<Client> = (0..16).map(|_| Client::new(&node)).collect();
        std::thread::sleep(Duration::from_millis(500));
        send_at_idle_close(&node, &mut clients, 503)
    };
    assert!(
        (0..5).any(|_| were_sent_before_close()),
        "too slow in all 5 tries"
    );
}

#[test]
fn requests_at_idle_timeout_are_answered() {
    let endpoint = ManualEndpoint::new();
    let node = Node::new(&endpoint.listed()).ready();
    let were_sent_before_close = || {
        let mut clients: Vec<Client> = (0..16).map(|_| Client::new(&node)).collect();
        clients
            .iter_mut()
            .for_each(|client| assert_eq!(client.send(READY).expect("answered").0, 200));
        // idle connections are closed after 2.1 s
        std::thread::sleep(Duration::from_millis(1700));
        send_at_idle_close(&node, &mut clients, 200)
    };
    assert!(
        (0..5).any(|_| were_sent_before_close()),
        "too slow in all 5 tries"
    );
}

#[test]
fn request_after_connection_close_is_not_accepted() {
    let endpoint = ManualEndpoint::new();
    let agent = endpoint.listed();
    let node = Node::new(&agent).ready();
    let mut client = Client::new(&node);
    assert_eq!(client.send(READY).expect("answered").0, 200);
    node.terminate();
    wait_until("its idle connection has ended", || client.has_ended());
    // the connection is closed, so a real client would submit the message to another sender
    let _ = client.write(&message("webhook", "m1", 7, 20_000, b"body"));
    let mut node = node;
    assert!(node.process.wait().expect("process status").success());
    let next = node.restart().ready();
    wait_until("the restart has no unfinished messages", || {
        !next.logged("unfinished messages") || next.logged(" 0 unfinished messages")
    });
    assert_eq!(next.submit("webhook", "m2", 7, 20_000, b"body"), 202);
    assert!(read_call(&mut endpoint.accept()).contains("x-request-id: m2"));
}

#[test]
fn early_answer_to_long_request_is_complete() {
    let endpoint = ManualEndpoint::new();
    let node = Node::new(&endpoint.listed()).ready();
    let head = b"POST /webhook HTTP/1.1\r\nHost: a\r\nX-Request-ID: m1\r\nX-Priority-Class: webhook\r\n\
        X-Timeout: 900m\r\nIdempotency-Key: k\r\nContent-Length: 100000\r\nEnvelope: dest=7\r\n\r\n";
    let mut stream = TcpStream::connect(node.address).expect("the sender accepts");
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("set");
    node.while_stopped(|| {
        stream.write_all(head).expect("written");
        stream.write_all(&vec![b'x'; 90_000]).expect("written");
    });
    let mut answer = String::new();
    let end = stream.read_to_string(&mut answer);
    assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
    std::thread::sleep(Duration::from_millis(50));
    let reset = stream.take_error().expect("asked");
    assert!(
        end.is_ok() && reset.is_none(),
        "the connection is reset: {end:?}, {reset:?}"
    );
}

/// Starts a sender that abandons calls with an idempotency key after 1 s, and submits message m1 of
/// that kind. Returns the sender, the connection with the call, and the time at which the call was
/// read.
fn start_keyed_call(endpoint: &ManualEndpoint, agent: &Agent) -> (Node, TcpStream, Instant) {
    let node = Node::configured_with(agent, |text| {
        text.replace(r#""window":12.0"#, r#""window":1.0"#)
    })
    .ready();
    let mut stream = endpoint.connection_after_calls(&node);
    let mut client = Client::new(&node);
    assert_eq!(
        client
            .send(&message("webhook", "m1", 7, 20_000, b"body"))
            .expect("answered")
            .0,
        202
    );
    assert!(read_call(&mut stream).contains("x-request-id: m1"));
    (node, stream, Instant::now())
}

#[test]
fn answer_received_together_with_timeout_completes_message() {
    let endpoint = ManualEndpoint::new();
    let agent = endpoint.listed();
    // a complete status line counts even if the rest of the head is missing
    for (answer, late_bytes) in [(ANSWER, &b""[..]), (b"HTTP/1.1 200 OK\r\nX-Long: ", b"x")] {
        let (node, mut stream, sent_at) = start_keyed_call(&endpoint, &agent);
        node.while_stopped(|| {
            std::thread::sleep(Duration::from_millis(1300).saturating_sub(sent_at.elapsed()));
            stream.write_all(answer).expect("written");
        });
        if !late_bytes.is_empty() {
            // the sender closes the connection, as it does for an abandoned call
            while stream.read(&mut [0; 64]).expect("the connection is closed") > 0 {}
            let _ = stream.write_all(late_bytes);
        }
        wait_until("delivered", || {
            node.submit("webhook", "m1", 7, 20_000, b"body") == 200
        });
        assert!(
            !agent.notices().iter().any(|notice| notice.contains("m1")),
            "{:?}",
            agent.notices()
        );
    }
}

#[test]
fn retry_after_arriving_after_timeout_delays_next_call() {
    let endpoint = ManualEndpoint::new();
    let agent = endpoint.listed();
    let reject_late = || {
        let (node, mut stream, _) = start_keyed_call(&endpoint, &agent);
        // the sender reads late answers, of all endpoints, only after it has received a first
        // Retry-After from any of them
        stream
            .write_all(&rejection_with_retry_after("0.010"))
            .expect("written");
        assert!(read_call(&mut stream).contains("x-request-id: m1"));
        // the sender shuts its sending side down when it abandons the call
        assert_eq!(
            stream.read(&mut [0]).expect("the sending side is closed"),
            0
        );
        let rejected_at = Instant::now();
        let written = stream.write_all(&rejection_with_retry_after("3"));
        wait_until("the late answer is read", || {
            pools(&node)["totals"]["leased"] == 0
        });
        // `None` if the host was so slow that the sender had stopped reading
        (written.is_ok() && stream.take_error().expect("asked").is_none())
            .then_some((node, rejected_at))
    };
    let (node, rejected_at) = (0..5)
        .find_map(|_| reject_late())
        .expect("too slow in all 5 tries");
    assert_eq!(node.submit("webhook", "m2", 7, 20_000, b"body"), 202);
    let mut next = endpoint.accept();
    let delay = rejected_at.elapsed();
    assert!(read_call(&mut next).contains("x-request-id: m2"));
    assert!(
        delay >= Duration::from_millis(2900),
        "a call came {delay:?} after a Retry-After of 3 s"
    );
}

/// Returns a 429 answer with this Retry-After delay.
fn rejection_with_retry_after(seconds: &str) -> Vec<u8> {
    format!("HTTP/1.1 429 Full\r\nRetry-After: {seconds}\r\nContent-Length: 0\r\n\r\n").into_bytes()
}
