//! Tests of clients that leave: a message is accepted only while its client may still hear of it, and an id that comes
//! again meets the first message of that id.

mod node;

use node::*;
use std::thread;
use std::time::Duration;

/// Requests that a client writes before it closes its connection.
const REQUESTS: usize = 12;
/// Number of messages whose clients leave at once.
const ROUNDS: usize = 60;
/// Time in which a call would be made if a message had been accepted.
const QUIET_TIME: Duration = Duration::from_millis(500);

/// Guards against messages that are accepted and called though their client had closed its connection before they were
/// read.
#[test]
fn requests_read_after_their_client_closed_are_not_called() {
    let endpoint = Endpoint::new(|_, _| OK);
    let node = Node::new(&agent_with_one_endpoint(&endpoint)).ready();
    deliver(&node, "before", 7);
    let mut client = Client::new(&node);
    node.while_stopped(|| {
        for number in 0..REQUESTS {
            let request = message("order", &format!("left-{number}"), 7, 20_000, b"x");
            client.write(&request).expect("written");
        }
        drop(client);
    });
    thread::sleep(QUIET_TIME);
    let called: Vec<_> = (0..REQUESTS)
        .filter(|number| endpoint.count_of(&format!("left-{number}")) > 0)
        .collect();
    assert!(called.is_empty(), "called: {called:?}");
    assert_eq!(node.submit("webhook", "after", 7, 20_000, b"x"), 202);
}

/// Submits each message and closes the connection at once, and submits it again to `again`. Returns the ids.
fn submit_and_leave(node: &Node, again: &Node, prefix: &str) -> Vec<String> {
    let ids: Vec<String> = (0..ROUNDS)
        .map(|round| format!("{prefix}-{round}"))
        .collect();
    for id in &ids {
        let request = message("order", id, 7, 20_000, b"x");
        let mut client = Client::new(node);
        client.write(&request).expect("written");
        drop(client);
        let status = again.submit("order", id, 7, 20_000, b"x");
        assert!(
            [200, 202, 429, 500, 503].contains(&status),
            "{id}: {status}"
        );
    }
    ids
}

/// Guards against an id that runs twice when it comes again after its client has left.
#[test]
fn id_that_comes_again_after_its_client_left_runs_once() {
    let endpoint = Endpoint::new(|_, _| OK);
    let node = Node::new(&agent_with_one_endpoint(&endpoint)).ready();
    let ids = submit_and_leave(&node, &node, "same");
    thread::sleep(QUIET_TIME);
    for id in &ids {
        assert!(endpoint.count_of(id) <= 1, "{id}");
    }
}

/// Guards against an id that runs at both processes of an upgrade: its client leaves the predecessor, and it comes again at
/// the successor.
#[test]
fn id_that_comes_again_at_successor_runs_once() {
    let endpoint = Endpoint::new(|_, _| OK);
    let agent = agent_with_one_endpoint(&endpoint);
    let old = Node::with_passed_socket(&agent).ready();
    // connections that stay with the predecessor, by which its clients go on submitting
    let mut clients: Vec<Client> = (0..ROUNDS).map(|_| Client::new(&old)).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        let first = message("order", &format!("first-{number}"), 7, 20_000, b"x");
        client.send(&first).expect("answered");
    }
    let new = old.successor().ready();
    for (round, mut client) in clients.into_iter().enumerate() {
        let id = format!("upgrade-{round}");
        let request = message("order", &id, 7, 20_000, b"x");
        client.write(&request).expect("written");
        drop(client);
        new.submit("order", &id, 7, 20_000, b"x");
    }
    thread::sleep(QUIET_TIME);
    for round in 0..ROUNDS {
        let id = format!("upgrade-{round}");
        assert!(endpoint.count_of(&id) <= 1, "{id}");
    }
}
