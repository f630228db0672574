//! Tests of clients that leave: a message is accepted only while its client may still hear of it, and an id that comes
//! again meets the first message of that id.

mod node;

use node::*;
use std::thread;
use std::time::Duration;

/// Requests that a client writes before it closes its connection.
const REQUESTS: usize = 12;
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
