//! Ends that no endpoint's answer proves: a notification that the platform has accepted, and a client that left before its
//! 202. What only looks like one of them ends no message.

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
fn notification_is_owed_until_a_whole_204_over_restarts_too() {
    let endpoint = FragmentingEndpoint::new();
    let agent = destinations_at(endpoint.address, "one", 1);
    let node = sender(&agent);
    endpoint.break_off("m1", Fragment::of_status_line(0, Then::Close));
    // the whole answer but its last byte proves nothing either
    agent.cut_notices(0..ACCEPTED.len());
    assert_eq!(node.hand_in("order", "m1", 0, LONG_MS, b"body"), 202);
    let third = ACCEPTED.len() / 3;
    wait_until("a third of the cuts", || {
        notifications_of(&agent, "m1") > third
    });
    let mut node = node.restart().ready();
    wait_until("two thirds of the cuts", || {
        notifications_of(&agent, "m1") > 2 * third
    });
    node.terminate();
    wait_until("it ends", || {
        node.process.try_wait().expect("its state").is_some()
    });
    // the process that ends goes on posting until it is gone
    let accepted = "message m1: notification accepted";
    let earlier_log = node.log.clone();
    let node = node.restart().ready();
    wait_until("the whole answer", || {
        let earlier = earlier_log.lock().expect("not poisoned");
        node.logged(accepted) || earlier.iter().any(|line| line.contains(accepted))
    });
    let told = notifications_of(&agent, "m1");
    assert!(told > ACCEPTED.len(), "{told} posts");
    let node = node.restart().ready();
    assert_eq!(node.hand_in("webhook", "m2", 0, LONG_MS, b"body"), 202);
    wait_until("a later message is served", || endpoint.has_delivered("m2"));
    assert_eq!(notifications_of(&agent, "m1"), told, "it is over");
    assert_eq!(endpoint.calls("m1"), 1);
}

#[test]
fn unanswered_notification_holds_up_no_other() {
    let endpoint = FragmentingEndpoint::new();
    let agent = destinations_at(endpoint.address, "one", 2);
    let node = sender(&agent);
    agent
        .silent_posts
        .store(1, std::sync::atomic::Ordering::SeqCst);
    for (id, destination) in [("m1", 0), ("m2", 1)] {
        endpoint.break_off(id, Fragment::of_status_line(0, Then::Close));
        assert_eq!(node.hand_in("order", id, destination, LONG_MS, b"x"), 202);
        wait_until("its notification", || notifications_of(&agent, id) > 0);
    }
    // the second came while the first had no answer: that is posted again only after
    let ids: Vec<bool> = agent
        .notices()
        .iter()
        .map(|line| line.contains("m2"))
        .collect();
    assert_eq!(ids[..2], [false, true], "{:?}", agent.notices());
    wait_until("the first again", || notifications_of(&agent, "m1") == 2);
}

/// Hands a message in and reads its whole answer; the connection.
fn accepted(node: &Node, text: &[u8]) -> TcpStream {
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
fn client_that_goes_right_after_its_202_ends_no_message() {
    let endpoint = FragmentingEndpoint::new();
    let agent = destinations_at(endpoint.address, "one", 40);
    let node = sender(&agent);
    let mut ids = Vec::new();
    for destination in 0..40 {
        let id = format!("m-{destination}");
        // half of them are still owed when the client goes, and fail later
        if destination % 2 == 0 {
            endpoint.break_off(&id, Fragment::of_status_line(13, Then::Silence));
        }
        let text = message("order", &id, destination, 1500, b"body");
        let stream = accepted(&node, &text);
        if destination % 4 < 2 {
            reset(stream);
        }
        ids.push(id);
    }
    assert_proved_ends(&node, &agent, &endpoint, &ids);
}

#[test]
fn second_client_with_the_same_id_that_goes_unanswered_ends_no_message() {
    let endpoint = FragmentingEndpoint::new();
    let agent = destinations_at(endpoint.address, "one", 20);
    let node = sender(&agent);
    let mut ids = Vec::new();
    for destination in 0..20 {
        let id = format!("m-{destination}");
        endpoint.break_off(&id, Fragment::of_status_line(13, Then::Silence));
        let text = message("order", &id, destination, 1500, b"body");
        let _first = accepted(&node, &text);
        let mut second = TcpStream::connect(node.address).expect("the sender accepts");
        node.while_stopped(|| {
            second.write_all(&text).expect("written");
            reset(second);
        });
        ids.push(id);
    }
    assert_proved_ends(&node, &agent, &endpoint, &ids);
}

/// A record of the journal, as src/net/journal/records.rs writes it: a mark, length, checksum, payload.
const RECORD_HEADER_BYTES: usize = 12;

/// Replaces a text in the payload of each record by one of the same length, with sound checksums.
fn replace_in_journal(journal: &mut [u8], from: &[u8], to: &[u8]) -> usize {
    let mut replaced = 0;
    let mut at = 0;
    while at + RECORD_HEADER_BYTES <= journal.len() {
        let word = |at: usize| journal[at..at + 4].try_into().expect("four bytes");
        let length = u32::from_le_bytes(word(at + 4)) as usize;
        let payload = at + RECORD_HEADER_BYTES..at + RECORD_HEADER_BYTES + length;
        let mut text = journal[payload.clone()].to_vec();
        if let Some(found) = text.windows(from.len()).position(|part| part == from) {
            text[found..found + to.len()].copy_from_slice(to);
            replaced += 1;
        }
        let checksum = crc32fast::hash(&text).to_le_bytes();
        journal[at + 8..at + 12].copy_from_slice(&checksum);
        journal[payload.clone()].copy_from_slice(&text);
        at = payload.end;
    }
    replaced
}

#[test]
fn recorded_message_that_no_call_can_carry_ends_by_a_notification() {
    let endpoint = FragmentingEndpoint::new();
    let agent = destinations_at(endpoint.address, "one", 1);
    let mut node = sender(&agent);
    endpoint.break_off("id-of-m1", Fragment::of_status_line(0, Then::Silence));
    assert_eq!(
        node.hand_in("webhook", "id-of-m1", 0, LONG_MS, b"body"),
        202
    );
    wait_until("its call", || endpoint.calls("id-of-m1") == 1);
    node.kill();
    let mut journal = std::fs::read(node.journal()).expect("a journal");
    assert_eq!(
        replace_in_journal(&mut journal, b"id-of-m1", b"id\x01of-m1"),
        1
    );
    std::fs::write(node.journal(), journal).expect("written");
    let node = node.restart().ready();
    wait_until("its notification", || {
        let notices = agent.notices();
        notices
            .iter()
            .any(|notice| notice.contains(r"id\u0001of-m1"))
    });
    wait_until("it is over", || node.logged("notification accepted"));
}
