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
        stream.set_read_timeout(Some(Duration::from_secs(20))).expect("set");
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
            wait_until("its end is known", || node.hand_in("webhook", &id, 7, 20_000, b"body") == 200);
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
fn a_repeat_that_gets_its_connection_after_its_window_is_not_written() {
    let gate = Gate::new();
    let agent = gate.listed();
    let node = Node::configured_with(&agent, |text| {
        with_part(&text.replace(r#""window":12.0"#, r#""window":1.0"#), r#""pool":{"per_endpoint":1},"#)
    });
    let node = node.ready();
    let mut first = gate.well_known(&node);
    assert_eq!(node.hand_in("webhook", "m1", 7, 20_000, b"body"), 202);
    assert!(read_call(&mut first).contains("x-request-id: m1"));
    let (sent, window) = (Instant::now(), Duration::from_secs(1));
    assert_eq!(node.hand_in("order", "m2", 7, 20_000, b"body"), 202);
    wait_until("the other waits for the one connection", || pools(&node)["totals"]["waiting"] == 1);
    // it may have run: a repeat may be made until a second after its sending, and is dropped until then
    drop(first);
    let mut second = gate.accept();
    assert!(read_call(&mut second).contains("x-request-id: m2"));
    wait_until("the repeat waits for the other", || pools(&node)["totals"]["waiting"] == 1);
    std::thread::sleep(window.saturating_sub(sent.elapsed()));
    second.write_all(ANSWER).expect("taken");
    wait_until("its notice", || agent.notices().contains(&r#"{"id":"m1","state":"failed"}"#.to_string()));
    // the connection that it might have had carries the next message
    assert_eq!(node.hand_in("order", "m3", 7, 20_000, b"body"), 202);
    let call = read_call(&mut second);
    assert!(call.contains("x-request-id: m3"), "{call}");
}
