//! Rare moments, each forced by order: what comes between two steps of the sender, on real connections.

mod node;

use node::*;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// An endpoint that is accepted and answered by hand.
struct Gate(TcpListener);

impl Gate {
    fn new() -> Self {
        Gate(TcpListener::bind("127.0.0.1:0").expect("a port"))
    }

    /// Discovery that lists it alone, for destination 7.
    fn listed(&self) -> Agent {
        let address = self.0.local_addr().expect("bound");
        Agent::new(vec![list(&[("s-1", address, "one", 7, "up")])])
    }

    /// The next connection that the sender opens.
    fn accept(&self) -> TcpStream {
        let (stream, _) = self.0.accept().expect("a connection");
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .expect("set");
        stream
    }

    /// A connection over which some calls were served, so that the sender trusts the endpoint.
    fn well_known(&self, node: &Node) -> TcpStream {
        let (mut stream, mut served) = (None, 0);
        while served < 8 {
            let id = format!("warm-{served}");
            assert_eq!(node.hand_in("webhook", &id, 7, 20_000, b"body"), 202);
            let stream = stream.get_or_insert_with(|| self.accept());
            assert!(read_call(stream).contains(&id));
            stream.write_all(ANSWER).expect("taken");
            wait_until("its end is known", || {
                node.hand_in("webhook", &id, 7, 20_000, b"body") == 200
            });
            served += 1;
        }
        stream.expect("served")
    }
}

/// Reads a request up to its body's end; what came before the connection ended, if that was sooner.
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
    let gate = Gate::new();
    let agent = gate.listed();
    let node = Node::configured_with(&agent, |text| {
        let text = text.replace(r#""window":12.0"#, r#""window":1.0"#);
        with_part(
            &text.replace(r#""dialTimeout":0.5"#, r#""dialTimeout":4.0"#),
            r#""pool":{"per_endpoint":1},"#,
        )
    });
    let node = node.ready();
    let mut first = gate.well_known(&node);
    let mut client = Client::new(&node);
    assert_eq!(
        client
            .send(&message("webhook", "m1", 7, 20_000, b"body"))
            .expect("answered")
            .0,
        202
    );
    assert!(read_call(&mut first).contains("x-request-id: m1"));
    let (sent, window) = (Instant::now(), Duration::from_secs(1));
    // m1 may have run: a repeat is dropped until a second after its sending, and may be made for so long, but
    // rests a while before it; another message has the one connection by then
    node.while_stopped(|| {
        drop(first);
        client
            .write(&message("order", "m2", 7, 20_000, b"body"))
            .expect("written");
    });
    let mut second = gate.accept();
    assert!(read_call(&mut second).contains("x-request-id: m2"));
    wait_until("the repeat waits for the other", || {
        pools(&node)["totals"]["waiting"] == 1
    });
    std::thread::sleep(window.saturating_sub(sent.elapsed()));
    second.write_all(ANSWER).expect("taken");
    wait_until("its notice", || {
        agent
            .notices()
            .contains(&r#"{"id":"m1","state":"failed"}"#.to_string())
    });
    // the connection that it might have had carries the next message
    assert_eq!(node.hand_in("order", "m3", 7, 20_000, b"body"), 202);
    let call = read_call(&mut second);
    assert!(call.contains("x-request-id: m3"), "{call}");
}

const READY: &[u8] = b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n";

#[test]
fn client_connection_closed_for_room_answers_request_already_received() {
    let gate = Gate::new();
    // twenty places for clients
    let node = Node::with_sockets(gate.listed().address, 3.0, 5.0, 60).ready();
    for round in 0..10 {
        let mut clients: Vec<Client> = (0..20).map(|_| Client::new(&node)).collect();
        clients
            .iter_mut()
            .for_each(|client| assert_eq!(client.send(READY).expect("answered").0, 200));
        // all have been idle for so long that each may be closed
        std::thread::sleep(Duration::from_millis(300));
        let mut next = None;
        node.while_stopped(|| {
            next = Some(Client::new(&node));
            clients
                .iter_mut()
                .for_each(|client| client.write(READY).expect("written"));
        });
        for (number, client) in clients.iter_mut().enumerate() {
            let answer = client.answer().map(|(status, _)| status);
            assert_eq!(answer, Some(200), "round {round}, client {number}");
        }
        assert_eq!(
            next.expect("connected")
                .send(READY)
                .expect("has its turn")
                .0,
            200
        );
    }
}

/// Requests on resting connections come just as the process would close these; each gets its answer. False if the
/// machine was so slow that they had ended before.
fn meet_the_end(node: &Node, clients: &mut [Client], status: u16) -> bool {
    let mut in_time = false;
    node.while_stopped(|| {
        in_time = !clients.iter_mut().any(Client::has_ended);
        std::thread::sleep(Duration::from_millis(600));
        clients
            .iter_mut()
            .for_each(|client| drop(client.write(READY)));
    });
    for (number, client) in clients.iter_mut().enumerate().filter(|_| in_time) {
        let answer = client.answer().map(|(status, _)| status);
        assert_eq!(answer, Some(status), "client {number}");
    }
    in_time
}

#[test]
fn requests_at_idle_close_during_shutdown_are_answered() {
    let gate = Gate::new();
    let agent = gate.listed();
    let met = || {
        let node = Node::new(&agent).ready();
        node.terminate();
        wait_until("draining", || node.logged("draining"));
        // resting connections are closed 2.5 s after the signal
        std::thread::sleep(Duration::from_millis(1500));
        let mut clients: Vec<Client> = (0..16).map(|_| Client::new(&node)).collect();
        std::thread::sleep(Duration::from_millis(500));
        meet_the_end(&node, &mut clients, 503)
    };
    assert!((0..5).any(|_| met()), "never in time");
}

#[test]
fn requests_at_idle_timeout_are_answered() {
    let gate = Gate::new();
    let node = Node::new(&gate.listed()).ready();
    let met = || {
        let mut clients: Vec<Client> = (0..16).map(|_| Client::new(&node)).collect();
        clients
            .iter_mut()
            .for_each(|client| assert_eq!(client.send(READY).expect("answered").0, 200));
        // they are closed after 2.1 s
        std::thread::sleep(Duration::from_millis(1700));
        meet_the_end(&node, &mut clients, 200)
    };
    assert!((0..5).any(|_| met()), "never in time");
}

#[test]
fn request_after_connection_close_is_not_accepted() {
    let gate = Gate::new();
    let agent = gate.listed();
    let node = Node::new(&agent).ready();
    let mut client = Client::new(&node);
    assert_eq!(client.send(READY).expect("answered").0, 200);
    node.terminate();
    wait_until("its resting connection has ended", || client.has_ended());
    // the client hands it in elsewhere
    let _ = client.write(&message("webhook", "m1", 7, 20_000, b"body"));
    let mut node = node;
    assert!(node.process.wait().expect("it ends").success());
    let next = node.restart().ready();
    wait_until("it is told", || {
        !next.logged("unfinished messages") || next.logged(" 0 unfinished messages")
    });
    assert_eq!(next.hand_in("webhook", "m2", 7, 20_000, b"body"), 202);
    assert!(read_call(&mut gate.accept()).contains("x-request-id: m2"));
}

#[test]
fn early_answer_to_long_request_is_complete() {
    let gate = Gate::new();
    let node = Node::new(&gate.listed()).ready();
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

/// A sender whose keyed calls are given up after a second, and a call of it that is under way: its connection.
fn under_way(gate: &Gate, agent: &Agent) -> (Node, TcpStream, Instant) {
    let node = Node::configured_with(agent, |text| {
        text.replace(r#""window":12.0"#, r#""window":1.0"#)
    })
    .ready();
    let mut stream = gate.well_known(&node);
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
fn answer_that_arrives_at_timeout_counts() {
    let gate = Gate::new();
    let agent = gate.listed();
    // a head without an end is true too, by its first line
    for (answer, rest) in [(ANSWER, &b""[..]), (b"HTTP/1.1 200 OK\r\nX-Long: ", b"x")] {
        let (node, mut stream, sent) = under_way(&gate, &agent);
        node.while_stopped(|| {
            std::thread::sleep(Duration::from_millis(1300).saturating_sub(sent.elapsed()));
            stream.write_all(answer).expect("taken");
        });
        if !rest.is_empty() {
            // its connection is closed: the call is given up
            while stream.read(&mut [0; 64]).expect("it ends") > 0 {}
            let _ = stream.write_all(rest);
        }
        wait_until("delivered", || {
            node.hand_in("webhook", "m1", 7, 20_000, b"body") == 200
        });
        assert!(
            !agent.notices().iter().any(|notice| notice.contains("m1")),
            "{:?}",
            agent.notices()
        );
    }
}

#[test]
fn retry_after_received_after_timeout_is_obeyed() {
    let gate = Gate::new();
    let agent = gate.listed();
    let told = || {
        let (node, mut stream, _) = under_way(&gate, &agent);
        // a first wait, so that they are listened for
        stream.write_all(&full("0.010")).expect("taken");
        assert!(read_call(&mut stream).contains("x-request-id: m1"));
        // the sending side is shut: the call is given up
        assert_eq!(stream.read(&mut [0]).expect("it ends"), 0);
        let told = Instant::now();
        let written = stream.write_all(&full("3"));
        wait_until("it is read", || pools(&node)["totals"]["leased"] == 0);
        // false if the machine was so slow that nobody listened any more
        (written.is_ok() && stream.take_error().expect("asked").is_none()).then_some((node, told))
    };
    let (node, told) = (0..5).find_map(|_| told()).expect("never in time");
    assert_eq!(node.hand_in("webhook", "m2", 7, 20_000, b"body"), 202);
    let mut next = gate.accept();
    let after = told.elapsed();
    assert!(read_call(&mut next).contains("x-request-id: m2"));
    assert!(
        after >= Duration::from_millis(2900),
        "a call {after:?} after a wait of 3 s was told"
    );
}

/// An answer that tells to wait.
fn full(seconds: &str) -> Vec<u8> {
    format!("HTTP/1.1 429 Full\r\nRetry-After: {seconds}\r\nContent-Length: 0\r\n\r\n").into_bytes()
}
