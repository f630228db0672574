//! What operators do to the real sender from day to day, over loopback sockets.

mod node;

use node::*;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

fn two(first: &Endpoint, second: &Endpoint) -> Agent {
    Agent::new(vec![list(&[("s-1", first.address, "one", 7, "up"), ("s-2", second.address, "one", 7, "up")])])
}

#[test]
fn operators_are_answered_beside_callers_that_send_no_whole_call() {
    let endpoint = Endpoint::new(|_, _| OK);
    let node = Node::new(&two(&endpoint, &endpoint)).ready();
    let parts =
        ["", "GET /rea", "POST /endpoints/disable HTTP/1.1\r\nHost: a\r\nContent-Length: 30\r\n\r\n{"];
    let held: Vec<TcpStream> = (0..90)
        .map(|n| {
            let mut stream = TcpStream::connect(node.control).expect("accepts");
            stream.write_all(parts[n % 3].as_bytes()).expect("written");
            stream
        })
        .collect();
    // the held ones leave by themselves only after 2 s or more
    let began = Instant::now();
    assert_eq!(node.operate("GET /ready", ""), 200);
    assert_eq!(node.order("disable", "s-1"), 200);
    assert!(began.elapsed() < Duration::from_millis(1900), "{:?}", began.elapsed());
    drop(held);
}

#[test]
fn a_call_that_makes_no_sense_gets_a_no() {
    let endpoint = Endpoint::new(|_, _| OK);
    let node = Node::new(&two(&endpoint, &endpoint)).ready();
    for (call, body, status) in [
        ("GET /endpoints/disable", r#"{"target":"s-1"}"#, 405),
        ("POST /ready", "", 405),
        ("GET /", "", 404),
        ("POST /endpoints/remove", r#"{"target":"s-1"}"#, 404),
        ("POST /endpoints/disable", "", 400),
        ("POST /endpoints/disable", "s-1", 400),
        ("POST /endpoints/disable", r#"{"target":7}"#, 400),
        ("POST /endpoints/disable", r#"{"target":"s-1","for":"ever"}"#, 400),
        ("POST /endpoints/disable", r#"{"target":"s-9"}"#, 404),
        ("POST /endpoints/enable", r#"{"target":"s-9"}"#, 404),
        ("POST /endpoints/enable", r#"{"target":"s-1"}"#, 200),
        ("GET /ready", "", 200),
    ] {
        assert_eq!(node.operate(call, body), status, "{call} {body}");
    }
    // clients' paths are not answered here, nor operators' ones there
    let text = String::from_utf8(message("webhook", "m1", 7, 20_000, b"x")).expect("text");
    assert_eq!(Client::to(node.control).send(text.as_bytes()).expect("answered").0, 404);
    assert_eq!(node.raw(b"POST /endpoints/disable HTTP/1.1\r\nHost: a\r\n\r\n").0, 404);
    assert_eq!(endpoint.count(), 0);
}

#[test]
fn an_endpoint_out_gets_nothing_until_one_call_back_whatever_is_listed_and_across_a_restart() {
    let (first, second) = (Endpoint::new(|_, _| OK), Endpoint::new(|_, _| OK));
    let agent = two(&first, &second);
    let node = Node::new(&agent).ready();
    let sends = |node: &Node, prefix: &str| {
        for n in 0..8 {
            let id = format!("{prefix}{n}");
            assert_eq!(node.hand_in("webhook", &id, 7, 20_000, b"x"), 202);
            wait_until("delivered", || first.times(&id) + second.times(&id) > 0);
        }
    };
    assert_eq!((node.order("disable", "s-1"), node.order("disable", "s-1")), (200, 200));
    sends(&node, "out");
    assert_eq!(first.count(), 0);
    // killed at once, and listed anew to the next life
    let node = node.restart().ready();
    sends(&node, "still");
    assert_eq!(first.count(), 0);
    assert_eq!(node.order("enable", "s-1"), 200);
    assert_eq!(node.order("disable", "s-2"), 200);
    assert_eq!(node.hand_in("webhook", "back", 7, 20_000, b"x"), 202);
    wait_until("the one put back is used", || first.times("back") == 1);
    let node = node.restart().ready();
    assert_eq!(node.hand_in("webhook", "again", 7, 20_000, b"x"), 202);
    wait_until("it stays back", || first.times("again") == 1);
}
