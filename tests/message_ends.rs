//! Answers of endpoints that are cut: a message ends by a whole first line 200, a whole line of a bulk answer, or else by a
//! notification. The endpoint's own record of what it has written decides what a message's end has to be.

mod node;

use node::fragments::*;
use node::*;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn answer_cut_within_its_status_line_is_no_delivery() {
    let endpoint = FragmentingEndpoint::new();
    let agent = destinations_at(endpoint.address, "one", 200);
    let node = sender(&agent);
    let mut ids = Vec::new();
    for class in ["order", "webhook"] {
        for then in [Then::Close, Then::Reset] {
            for length in 0..=STATUS_LINE.len() {
                let id = format!("{class}-{then:?}-{length}");
                endpoint.break_off(&id, Fragment::of_status_line(length, then));
                let destination = ids.len() as u64;
                let answer = node.hand_in(class, &id, destination, LONG_MS, b"body");
                assert_eq!(answer, 202, "{id}");
                ids.push(id);
            }
        }
    }
    assert_proved_ends(&node, &agent, &endpoint, &ids);
    for id in &ids {
        let is_cut = !id.ends_with(&format!("-{}", STATUS_LINE.len()));
        let calls = if is_cut && id.starts_with("webhook") {
            2
        } else {
            1
        };
        assert_eq!(endpoint.calls(id), calls, "calls with {id}");
    }
}

#[test]
fn partial_status_line_on_an_open_connection_is_no_delivery() {
    let endpoint = FragmentingEndpoint::new();
    let agent = destinations_at(endpoint.address, "one", 200);
    let node = sender(&agent);
    let mut ids = Vec::new();
    // the attempt of a class with a key ends with its window, that of the other with its message
    for (class, time_ms) in [("webhook", LONG_MS), ("order", 1500)] {
        for length in 0..=STATUS_LINE.len() {
            let id = format!("{class}-{length}");
            endpoint.break_off(&id, Fragment::of_status_line(length, Then::Silence));
            let destination = ids.len() as u64;
            let answer = node.hand_in(class, &id, destination, time_ms, b"body");
            assert_eq!(answer, 202, "{id}");
            ids.push(id);
        }
    }
    assert_proved_ends(&node, &agent, &endpoint, &ids);
}

#[test]
fn whole_status_line_is_a_delivery_at_once_though_the_rest_never_comes() {
    let endpoint = FragmentingEndpoint::new();
    let agent = destinations_at(endpoint.address, "one", 200);
    let node = sender(&agent);
    for (class, destination) in [("order", 0), ("webhook", 1), ("charge", 2)] {
        let id = format!("{class}-whole");
        endpoint.break_off(
            &id,
            Fragment::of_status_line(STATUS_LINE.len(), Then::Silence),
        );
        assert_eq!(node.hand_in(class, &id, destination, LONG_MS, b"body"), 202);
        let until = Instant::now() + Duration::from_secs(5);
        while Instant::now() < until
            && node.hand_in(class, &id, destination, LONG_MS, b"body") != 200
        {
            thread::sleep(Duration::from_millis(5));
        }
        let again = node.hand_in(class, &id, destination, LONG_MS, b"body");
        assert_eq!(again, 200, "{id} is delivered");
        assert_eq!(endpoint.calls(&id), 1, "calls with {id}");
        assert!(!is_notified(&agent, &id));
    }
}

/// Lengths of the status line round those that were once taken for a delivery.
const LATE_CUTS: std::ops::RangeInclusive<usize> = 11..=17;

/// Messages whose first calls are answered in part and left open, one for each class and length.
fn hand_in_late_cuts(node: &Node, endpoint: &FragmentingEndpoint) -> Vec<String> {
    let mut ids = Vec::new();
    for class in ["webhook", "order"] {
        for length in LATE_CUTS {
            let id = format!("{class}-{length}");
            endpoint.break_off(&id, Fragment::of_status_line(length, Then::Silence));
            let destination = ids.len() as u64;
            assert_eq!(node.hand_in(class, &id, destination, LONG_MS, b"body"), 202);
            wait_until("its call", || endpoint.calls(&id) == 1);
            ids.push(id);
        }
    }
    let whole = STATUS_LINE.len();
    for (class, destination) in [("webhook", 6), ("order", 13)] {
        let id = format!("{class}-{whole}");
        wait_until("the whole line is known to be a delivery", || {
            node.hand_in(class, &id, destination, LONG_MS, b"body") == 200
        });
    }
    ids
}

fn assert_ends_after_restart(
    node: &Node,
    agent: &Agent,
    endpoint: &FragmentingEndpoint,
    ids: &[String],
) {
    assert_proved_ends(node, agent, endpoint, ids);
    for id in ids.iter().filter(|id| id.starts_with("order")) {
        assert_eq!(endpoint.calls(id), 1, "calls with {id}");
    }
    for id in ids.iter().filter(|id| id.ends_with("-17")) {
        assert_eq!(endpoint.calls(id), 1, "calls with {id}");
    }
}

#[test]
fn partial_status_line_at_sigkill_is_no_delivery_for_the_next_process() {
    let endpoint = FragmentingEndpoint::new();
    let agent = destinations_at(endpoint.address, "one", 20);
    let node = sender(&agent);
    let ids = hand_in_late_cuts(&node, &endpoint);
    let node = node.restart().ready();
    assert_ends_after_restart(&node, &agent, &endpoint, &ids);
}

#[test]
fn partial_status_line_at_sigterm_is_no_delivery_for_the_next_process() {
    let endpoint = FragmentingEndpoint::new();
    let agent = destinations_at(endpoint.address, "one", 20);
    let mut node = sender(&agent);
    let ids = hand_in_late_cuts(&node, &endpoint);
    node.terminate();
    wait_until("it ends", || {
        node.process.try_wait().expect("its state").is_some()
    });
    let node = node.restart().ready();
    assert_ends_after_restart(&node, &agent, &endpoint, &ids);
}

#[test]
fn gone_answer_ends_its_message_only_with_its_whole_head() {
    const GONE: &[u8] = b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n";
    let endpoint = FragmentingEndpoint::new();
    let agent = destinations_at(endpoint.address, "one", 100);
    let node = sender(&agent);
    let mut ids = Vec::new();
    for length in 0..=GONE.len() {
        let id = format!("m-{length}");
        let bytes = GONE[..length].to_vec();
        let then = Then::Close;
        endpoint.break_off(&id, Fragment { bytes, then });
        let destination = ids.len() as u64;
        assert_eq!(
            node.hand_in("webhook", &id, destination, LONG_MS, b"body"),
            202
        );
        ids.push(id);
    }
    let whole = ids.pop().expect("the last one");
    // what is cut may have run, and is called again
    assert_proved_ends(&node, &agent, &endpoint, &ids);
    assert!(ids.iter().all(|id| endpoint.calls(id) == 2));
    assert_eq!(endpoint.calls(&whole), 1);
    assert!(!is_notified(&agent, &whole));
}

#[test]
fn bulk_answer_without_length_cut_at_any_byte_ends_only_messages_of_whole_lines() {
    let endpoint = FragmentingEndpoint::new();
    let agent = destinations_at(endpoint.address, "bulk", 120);
    let node = sender(&agent);
    let mut cases = Vec::new();
    for then in [Then::Close, Then::Reset] {
        let answer = |pair: &[String; 2]| {
            let [first, second] = pair;
            format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{first} ok\r\n{second} ok\r\n")
        };
        let body_at = answer(&Default::default()).len() - " ok\r\n ok\r\n".len();
        let pair_of = |length: usize| ["a", "b"].map(|name| format!("{name}-{then:?}-{length:03}"));
        for length in body_at..=answer(&pair_of(0)).len() {
            let pair = pair_of(length);
            let bytes = answer(&pair).into_bytes()[..length].to_vec();
            endpoint.break_off(&pair[0], Fragment { bytes, then });
            let destination = cases.len() as u64;
            let mut clients = [Client::new(&node), Client::new(&node)];
            node.while_stopped(|| {
                for (client, id) in clients.iter_mut().zip(&pair) {
                    let text = message("webhook", id, destination, LONG_MS, b"body");
                    client.write(&text).expect("written");
                }
            });
            for client in &mut clients {
                assert_eq!(client.answer().map(|(status, _)| status), Some(202));
            }
            cases.push(pair);
        }
    }
    let ids: Vec<String> = cases.concat();
    assert_proved_ends(&node, &agent, &endpoint, &ids);
    // what the cut answer had not told in a whole line was called again; a reset may take what came before it
    for id in ids.iter().filter(|id| id.contains("Close")) {
        let again = endpoint.calls(id) - 1;
        assert!(again <= 1, "{again} further calls with {id}");
    }
}
