//! Tests of messages that end without an answer of an endpoint: the platform has accepted the
//! notification, or the client disconnected before its 202. A cut 204, or a disconnect after the
//! 202, must not end a message.

mod node;

use node::fragments::*;
use node::*;
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

const ACCEPTED: &[u8] = b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n";

fn notifications_of(agent: &Agent, id: &str) -> usize {
    let prefix = format!(r#"{{"id":"{id}","state":"#);
    agent
        .notices()
        .iter()
        .filter(|notice| notice.starts_with(&prefix))
        .count()
}

#[test]
fn notification_is_repeated_across_restarts_until_complete_204() {
    let endpoint = FragmentingEndpoint::new();
    let agent = agent_with_destinations(endpoint.address, "one", 1);
    let node = sender(&agent);
    endpoint.break_off("m1", Fragment::of_status_line(0, AfterFragment::Close));
    // cut the response to the notification at each length; even without only its last byte it must
    // not count
    agent.cut_notices(0..ACCEPTED.len());
    assert_eq!(
        node.submit("order", "m1", 0, UNREACHED_TIME_LIMIT_MS, b"body"),
        202
    );
    let third_of_cuts = ACCEPTED.len() / 3;
    wait_until("a third of the cut responses", || {
        notifications_of(&agent, "m1") > third_of_cuts
    });
    let mut node = node.restart().ready();
    wait_until("two thirds of the cut responses", || {
        notifications_of(&agent, "m1") > 2 * third_of_cuts
    });
    node.terminate();
    wait_until("the process ends", || {
        node.process.try_wait().expect("process state").is_some()
    });
    // the terminated process posts until it exits, so either log may contain the accepted
    // notification
    let accepted = "message m1: notification accepted";
    let earlier_log = node.log.clone();
    let node = node.restart().ready();
    wait_until("the complete 204 is received", || {
        let earlier = earlier_log.lock().expect("not poisoned");
        node.logged(accepted) || earlier.iter().any(|line| line.contains(accepted))
    });
    let post_count = notifications_of(&agent, "m1");
    assert!(post_count > ACCEPTED.len(), "{post_count} posts");
    let node = node.restart().ready();
    assert_eq!(
        node.submit("webhook", "m2", 0, UNREACHED_TIME_LIMIT_MS, b"body"),
        202
    );
    wait_until("a later message is served", || endpoint.has_delivered("m2"));
    assert_eq!(
        notifications_of(&agent, "m1"),
        post_count,
        "no further post"
    );
    assert_eq!(endpoint.calls("m1"), 1);
}

#[test]
fn unanswered_notification_does_not_delay_others() {
    let endpoint = FragmentingEndpoint::new();
    let agent = agent_with_destinations(endpoint.address, "one", 2);
    let node = sender(&agent);
    agent
        .silent_posts
        .store(1, std::sync::atomic::Ordering::SeqCst);
    for (id, destination) in [("m1", 0), ("m2", 1)] {
        endpoint.break_off(id, Fragment::of_status_line(0, AfterFragment::Close));
        assert_eq!(
            node.submit("order", id, destination, UNREACHED_TIME_LIMIT_MS, b"x"),
            202
        );
        wait_until("the notification is posted", || {
            notifications_of(&agent, id) > 0
        });
    }
    // the second was posted while the first had no response; the first is repeated only afterwards
    let is_second: Vec<bool> = agent
        .notices()
        .iter()
        .map(|line| line.contains("m2"))
        .collect();
    assert_eq!(is_second[..2], [false, true], "{:?}", agent.notices());
    wait_until("the first is posted again", || {
        notifications_of(&agent, "m1") == 2
    });
}

/// Submits a message, reads the head of the 202 response, and returns the connection.
fn submit_accepted(node: &Node, text: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(node.address).expect("the sender accepts");
    stream.write_all(text).expect("written");
    let mut answer = Vec::new();
    let mut byte = [0];
    while !answer.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("an answer");
        answer.push(byte[0]);
    }
    assert!(answer.starts_with(b"HTTP/1.1 202 "));
    stream
}

fn reset(stream: TcpStream) {
    let no_linger = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    no_linger.expect("set");
}

#[test]
fn client_disconnect_after_202_ends_no_message() {
    let endpoint = FragmentingEndpoint::new();
    let agent = agent_with_destinations(endpoint.address, "one", 40);
    let node = sender(&agent);
    let mut ids = Vec::new();
    for destination in 0..40 {
        let id = format!("m-{destination}");
        // the answers to half of the messages are cut, so that these are incomplete when the client
        // disconnects and fail later
        if destination % 2 == 0 {
            endpoint.break_off(&id, Fragment::of_status_line(13, AfterFragment::Silence));
        }
        let text = message("order", &id, destination, 1500, b"body");
        let stream = submit_accepted(&node, &text);
        if destination % 4 < 2 {
            reset(stream);
        }
        ids.push(id);
    }
    assert_delivered_or_notified(&node, &agent, &endpoint, &ids);
}

#[test]
fn unanswered_disconnect_of_second_client_with_same_id_ends_no_message() {
    let endpoint = FragmentingEndpoint::new();
    let agent = agent_with_destinations(endpoint.address, "one", 20);
    let node = sender(&agent);
    let mut ids = Vec::new();
    for destination in 0..20 {
        let id = format!("m-{destination}");
        endpoint.break_off(&id, Fragment::of_status_line(13, AfterFragment::Silence));
        let text = message("order", &id, destination, 1500, b"body");
        let _first = submit_accepted(&node, &text);
        let mut second = TcpStream::connect(node.address).expect("the sender accepts");
        node.while_stopped(|| {
            second.write_all(&text).expect("written");
            reset(second);
        });
        ids.push(id);
    }
    assert_delivered_or_notified(&node, &agent, &endpoint, &ids);
}

/// Size in bytes of the header of a journal record: mark, length and checksum of 4 bytes each,
/// followed by the payload (see src/net/journal/records.rs).
const RECORD_HEADER_BYTES: usize = 12;

/// Replaces a text in the payload of each journal record by one of the same length, and updates the
/// checksums. Returns the number of records changed.
fn replace_in_journal(journal: &mut [u8], from: &[u8], to: &[u8]) -> usize {
    let mut replaced = 0;
    let mut offset = 0;
    while offset + RECORD_HEADER_BYTES <= journal.len() {
        let field = |start: usize| journal[start..start + 4].try_into().expect("four bytes");
        let length = u32::from_le_bytes(field(offset + 4)) as usize;
        let payload = offset + RECORD_HEADER_BYTES..offset + RECORD_HEADER_BYTES + length;
        let mut text = journal[payload.clone()].to_vec();
        if let Some(found) = text.windows(from.len()).position(|part| part == from) {
            text[found..found + to.len()].copy_from_slice(to);
            replaced += 1;
        }
        let checksum = crc32fast::hash(&text).to_le_bytes();
        journal[offset + 8..offset + 12].copy_from_slice(&checksum);
        journal[payload.clone()].copy_from_slice(&text);
        offset = payload.end;
    }
    replaced
}

#[test]
fn recovered_message_with_invalid_id_ends_with_notification() {
    let endpoint = FragmentingEndpoint::new();
    let agent = agent_with_destinations(endpoint.address, "one", 1);
    let mut node = sender(&agent);
    endpoint.break_off(
        "id-of-m1",
        Fragment::of_status_line(0, AfterFragment::Silence),
    );
    assert_eq!(
        node.submit("webhook", "id-of-m1", 0, UNREACHED_TIME_LIMIT_MS, b"body"),
        202
    );
    wait_until("the endpoint receives the call", || {
        endpoint.calls("id-of-m1") == 1
    });
    node.kill();
    let mut journal = std::fs::read(node.journal()).expect("readable journal");
    assert_eq!(
        replace_in_journal(&mut journal, b"id-of-m1", b"id\x01of-m1"),
        1
    );
    std::fs::write(node.journal(), journal).expect("written");
    let node = node.restart().ready();
    wait_until("the notification is posted", || {
        let notices = agent.notices();
        notices
            .iter()
            .any(|notice| notice.contains(r"id\u0001of-m1"))
    });
    wait_until("the notification is accepted", || {
        node.logged("notification accepted")
    });
}
