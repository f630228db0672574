//! What operators do to the real sender from day to day, over loopback sockets.

mod node;

use node::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
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

/// An endpoint that answers the messages with this prefix once the gate is open, and others at once.
fn gated(prefix: &'static str) -> (Endpoint, Arc<Mutex<bool>>) {
    let gate: Arc<Mutex<bool>> = Arc::default();
    let opened = gate.clone();
    let endpoint = Endpoint::new(move |request, _| {
        if request.ids()[0].starts_with(prefix) {
            wait_until("the gate opens", || *opened.lock().expect("not poisoned"));
        }
        OK
    });
    (endpoint, gate)
}

#[test]
fn an_upgrade_keeps_calls_keys_ids_endpoints_out_and_old_connections() {
    let (endpoint, gate) = gated("held");
    let agent = Agent::new(vec![list(&[
        ("s-1", endpoint.address, "one", 7, "up"),
        ("s-2", endpoint.address, "one", 8, "up"),
        ("s-3", endpoint.address, "one", 9, "up"),
    ])]);
    let mut old = Node::on_a_passed_socket(&agent).ready();
    let charge = |node: &Node, id: &str| {
        assert_eq!(node.raw(&about("a", "charge", id, 7, 20_000)).0, 202);
    };
    assert_eq!(old.hand_in("webhook", "done", 7, 20_000, b"x"), 202);
    wait_until("its end is known", || old.hand_in("webhook", "done", 7, 20_000, b"x") == 200);
    let mut client = Client::new(&old);
    assert_eq!(client.send(&message("webhook", "first", 8, 20_000, b"x")).expect("answered").0, 202);
    charge(&old, "held");
    wait_until("a call is out", || endpoint.times("held") == 1);
    charge(&old, "next");
    assert_eq!(old.order("disable", "s-3"), 200);
    assert_eq!(old.hand_in("webhook", "kept", 9, 20_000, b"x"), 202);
    let new = old.successor();
    assert!(new.logged("taken over") && old.logged("handed over"));
    wait_until("ready", || new.operate("GET /ready", "") == 200);
    assert_eq!(old.operate("GET /ready", ""), 503);
    // what still comes to the old process is answered by what the new one knows
    let (status, answer) = client.send(&message("webhook", "crossing", 8, 20_000, b"x")).expect("answered");
    assert_eq!((status, answer.header("connection")), (202, "close"));
    wait_until("it is delivered", || endpoint.times("crossing") == 1);
    assert_eq!(new.hand_in("webhook", "done", 7, 20_000, b"x"), 200, "delivered ids are remembered");
    charge(&new, "last");
    assert_eq!(endpoint.times("next") + endpoint.times("kept"), 0, "the key's call is out, the endpoint too");
    old.terminate();
    wait_until("draining", || old.logged("draining"));
    assert_eq!(endpoint.times("next"), 0, "the call still runs in the old process");
    *gate.lock().expect("not poisoned") = true;
    wait_until("the key goes on", || endpoint.times("next") == 1 && endpoint.times("last") == 1);
    assert!(old.process.wait().expect("it ends").success());
    assert_eq!(new.order("enable", "s-3"), 200);
    wait_until("what waited for the endpoint goes", || endpoint.times("kept") == 1);
    let ids = ["done", "first", "held", "next", "kept", "crossing", "last"];
    assert!(ids.iter().all(|id| endpoint.times(id) == 1), "each once");
    let new = new.restart().ready();
    assert!(new.logged("0 messages owed"));
}

#[test]
fn calls_of_an_old_process_that_is_killed_may_have_run() {
    let (endpoint, _gate) = gated("held");
    let agent = Agent::new(vec![list(&[("s-1", endpoint.address, "one", 7, "up")])]);
    let mut old = Node::on_a_passed_socket(&agent).ready();
    assert_eq!(old.hand_in("order", "held-once", 7, 20_000, b"x"), 202);
    assert_eq!(old.hand_in("webhook", "held-keyed", 7, 20_000, b"x"), 202);
    wait_until("both are out", || endpoint.times("held-once") == 1 && endpoint.times("held-keyed") == 1);
    let new = old.successor().ready();
    assert_eq!((endpoint.times("held-once"), endpoint.times("held-keyed")), (1, 1));
    old.kill();
    wait_until("the keyed one goes again", || endpoint.times("held-keyed") == 2);
    wait_until("the other one fails", || {
        agent.notices().contains(&r#"{"id":"held-once","state":"failed"}"#.to_string())
    });
    assert_eq!(endpoint.times("held-once"), 1);
    assert!(new.logged("the old process has ended, 2 calls with it"));
}

#[test]
fn an_old_process_that_is_not_relieved_goes_on() {
    let endpoint = Endpoint::new(|_, _| OK);
    let agent = two(&endpoint, &endpoint);
    let old = Node::on_a_passed_socket(&agent).ready();
    // one that asks, is told all, and is gone before it owns anything
    let mut asks =
        std::os::unix::net::UnixStream::connect(old.folder.join("state/upgrade.sock")).expect("it waits");
    asks.write_all(&[2, 0, 0, 0, 0, 1]).expect("written");
    let mut length = [0; 4];
    std::io::Read::read_exact(&mut asks, &mut length).expect("it hands over");
    drop(asks);
    wait_until("it takes all back", || old.logged("this process goes on"));
    assert_eq!(old.hand_in("webhook", "m1", 7, 20_000, b"x"), 202);
    wait_until("delivered", || endpoint.times("m1") == 1);
    assert_eq!(old.operate("GET /ready", ""), 200);
    // and hands over to one that stays
    let new = old.successor().ready();
    assert_eq!(new.hand_in("webhook", "m1", 7, 20_000, b"x"), 200);
}

#[test]
fn a_next_process_of_another_version_has_the_journal_alone() {
    let (endpoint, gate) = gated("held");
    let agent = two(&endpoint, &endpoint);
    let mut old = Node::on_a_passed_socket(&agent).ready();
    assert_eq!(old.hand_in("webhook", "held", 7, 20_000, b"x"), 202);
    wait_until("it is out", || endpoint.times("held") == 1);
    let mut asks =
        std::os::unix::net::UnixStream::connect(old.folder.join("state/upgrade.sock")).expect("it waits");
    asks.write_all(&[2, 0, 0, 0, 0, 99]).expect("written");
    assert!(old.process.wait().expect("it ends").success());
    *gate.lock().expect("not poisoned") = true;
    let new = old.successor().ready();
    assert!(new.logged("1 messages owed"));
    wait_until("it goes again", || endpoint.times("held") == 2);
}
