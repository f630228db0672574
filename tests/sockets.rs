//! Tests of the real sender over loopback sockets: behaviour towards clients, endpoints and discovery, across restarts
//! and during shutdown.

mod node;

use node::*;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Returns an address that refuses connections, and the socket that must be kept meanwhile. The socket is bound, so
/// that no other process gets the port, but does not listen.
fn refusing_address() -> (SocketAddr, tokio::net::TcpSocket) {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket
        .bind("127.0.0.1:0".parse().expect("an address"))
        .expect("a port");
    (socket.local_addr().expect("bound"), socket)
}

#[test]
fn delivered_message_reaches_endpoint_unchanged_and_is_never_sent_again() {
    let endpoint = Endpoint::new(|_, _| OK);
    let node = Node::new(&agent_with_one_endpoint(&endpoint)).ready();
    let body = b"any \0 bytes\r\n\xff";
    assert_eq!(node.submit("webhook", "m1", 7, 20_000, body), 202);
    wait_until("delivered", || endpoint.count() == 1);
    let call = endpoint.request(0);
    assert_eq!(call.line, "POST /inbox HTTP/1.1");
    assert_eq!(
        (call.header("x-request-id"), call.header("idempotency-key")),
        ("m1", "key-m1")
    );
    assert!(call.header("x-timeout").ends_with('m'));
    assert_eq!(call.body, body);
    // a resubmission of the delivered message is answered 200, and the message is not sent again, even after a restart
    wait_until("the delivery is known", || {
        node.submit("webhook", "m1", 7, 20_000, body) == 200
    });
    let node = node.restart().ready();
    wait_until("the startup line", || node.logged("0 unfinished messages"));
    assert_eq!(endpoint.count_of("m1"), 1);
}

#[test]
fn messages_in_sequence_share_one_connection() {
    // guards against a new connection for each call; the idle timeout of 60 s is longer than the test takes
    let endpoint = Endpoint::new(|_, _| OK);
    let node = Node::with(agent_with_one_endpoint(&endpoint).address, 3.0, 60.0).ready();
    ["m0", "m1", "m2"]
        .iter()
        .for_each(|id| deliver(&node, id, 7));
    assert_eq!(
        (
            endpoint.count(),
            endpoint.connections.load(Ordering::SeqCst)
        ),
        (3, 1)
    );
}

#[test]
fn idle_connections_use_at_most_a_third_of_descriptors() {
    let endpoints: Vec<Endpoint> = (0..30).map(|_| Endpoint::new(|_, _| OK)).collect();
    let uids: Vec<String> = (0..30).map(|n| format!("s-{n}")).collect();
    let entries: Vec<_> = (0..30)
        .map(|n| {
            (
                uids[n].as_str(),
                endpoints[n].address,
                "one",
                n as u64,
                "up",
            )
        })
        .collect();
    let agent = Agent::new(vec![list(&entries)]);
    let node = Node::with_sockets(agent.address, 3.0, 60.0, 60).ready();
    let before = node.descriptors();
    (0..30).for_each(|dest| deliver(&node, &format!("m{dest}"), dest));
    // the number is polled, since a client connection may still be closing
    wait_until("at most 20 connections are kept", || {
        node.descriptors() <= before + 20
    });
    assert!(endpoints.iter().all(|endpoint| endpoint.count() == 1));
}

#[test]
fn idle_connection_is_closed_before_endpoint_idle_timeout() {
    // guards against writing a request to a connection that the endpoint is about to close
    let endpoint = Endpoint::new(|_, _| OK);
    let node = Node::with(agent_with_one_endpoint(&endpoint).address, 3.0, 1.0).ready();
    deliver(&node, "m0", 7);
    std::thread::sleep(Duration::from_millis(1000)); // the endpoint's idle timeout
    deliver(&node, "late", 7);
    assert_eq!((endpoint.count(), endpoint.request(1).connection), (2, 1));
}

#[test]
fn idle_time_is_shortened_after_endpoint_closes_reused_connection() {
    // the endpoint closes the first connection without an answer when it is reused after an idle time
    let endpoint = Endpoint::new(|request, _| {
        if request.header("x-request-id") == "m2" && request.connection == 0 {
            Reply::Close
        } else {
            OK
        }
    });
    let node = Node::with(agent_with_one_endpoint(&endpoint).address, 3.0, 60.0).ready();
    let began = Instant::now();
    deliver(&node, "m1", 7);
    std::thread::sleep(Duration::from_millis(400));
    deliver(&node, "m2", 7);
    assert_eq!(endpoint.count_of("m2"), 2, "the message is retried");
    assert_eq!(
        endpoint.request(1).connection,
        0,
        "the retried call had reused the first connection"
    );
    // leave the retry's connection idle for at least as long as the first one was when its endpoint closed it
    std::thread::sleep(began.elapsed());
    deliver(&node, "m3", 7);
    assert_eq!(
        endpoint.request(3).connection,
        2,
        "no connection is reused after such an idle time"
    );
}

#[test]
fn invalid_requests_are_rejected_and_do_no_harm() {
    let endpoint = Endpoint::new(|_, _| OK);
    let node = Node::new(&agent_with_one_endpoint(&endpoint)).ready();
    let good = String::from_utf8(message("webhook", "m1", 7, 9000, b"x")).expect("text");
    let without = |name: &str| {
        let lines = good
            .split_inclusive("\r\n")
            .filter(|line| !line.starts_with(name));
        lines.collect::<String>()
    };
    let doubled = |line: &str| good.replace("Host: app.svc", &format!("Host: app.svc\r\n{line}"));
    let cases = [
        (without("X-Request-ID"), 400),
        (without("X-Priority-Class"), 400),
        (without("X-Timeout"), 400),
        (without("Idempotency-Key"), 400),
        (without("Envelope"), 400),
        (doubled("X-Request-ID: m2"), 400),
        (doubled("X-Timeout: 5m"), 400),
        (doubled("Envelope: dest=7"), 400),
        (doubled("X-Priority-Class: webhook"), 400),
        (doubled("Content-Length: 2"), 400),
        (good.replace("Request-ID: m1", "Request-ID: m 1"), 400),
        (good.replace("Request-ID: m1", "Request-ID: "), 400),
        (good.replace("9000m", "9000"), 400),
        (good.replace("9000m", "soonm"), 400),
        (good.replace("9000m", "-5m"), 400),
        (good.replace("9000m", "99999999999999999999m"), 400),
        (good.replace("9000m", "é"), 400),
        (good.replace("dest=7", "dest=x"), 400),
        (good.replace("dest=7", "dest=-7"), 400),
        (good.replace("dest=7", "dest=70000"), 400),
        (good.replace("dest=7", "dest=7;dest=8"), 400),
        (good.replace("webhook", "gossip"), 400),
        (good.replace("Class: webhook", "Class: order"), 400),
        (good.replace("/webhook", "/elsewhere"), 404),
        (good.replace("POST /webhook", "PUT /webhook"), 405),
        (good.replace("POST /webhook", "POST /ready"), 405),
        (
            good.replace("Content-Length: 1", "Content-Length: 65537"),
            413,
        ),
        (good.replace("Content-Length: 1", "Content-Length: x"), 400),
        ("no request at all\r\n\r\n".to_string(), 400),
    ];
    for (text, expected) in cases {
        assert_eq!(node.send_bytes(text.as_bytes()).0, expected, "{text}");
    }
    let chunks = format!("{:x}\r\n{}\r\n", 70_000, "y".repeat(70_000));
    let large = good
        .replace("Content-Length: 1\r\n", "Transfer-Encoding: chunked\r\n")
        .replace("\r\n\r\nx", "\r\n\r\n");
    assert_eq!(node.send_bytes((large + &chunks).as_bytes()).0, 413);
    // guards against request smuggling: a request with both Content-Length and Transfer-Encoding is rejected in either
    // order, and the request hidden behind its body is not processed
    let hidden = String::from_utf8(message("webhook", "hidden", 7, 9000, b"x")).expect("text");
    let both = "Content-Length: 99\r\nTransfer-Encoding: chunked\r\n";
    let swapped = "Transfer-Encoding: chunked\r\nContent-Length: 99\r\n";
    for lengths in [both, swapped] {
        let text = good
            .replace("Content-Length: 1\r\n", lengths)
            .replace("\r\n\r\nx", "\r\n\r\n0\r\n\r\n");
        assert_eq!(
            node.send_bytes((text + &hidden).as_bytes()).0,
            411,
            "{lengths}"
        );
    }
    assert_eq!(
        node.submit("webhook", "most", 7, 20_000, &[b'z'; 65_536]),
        202
    );
    wait_until("the message with the largest body is sent", || {
        endpoint.count_of("most") == 1
    });
    assert_eq!(endpoint.count(), 1);
}

#[test]
fn memory_per_delivered_message_excludes_its_request_head() {
    let endpoint = Endpoint::new(|_, _| OK);
    let node = Node::new(&agent_with_one_endpoint(&endpoint)).ready();
    let mut client = Client::new(&node);
    let before = node.memory();
    // guards against remembered ids of delivered messages that keep the 20 KB read buffer of their request in memory
    let padding = format!("Host: app.svc\r\nX-Pad: {}", "p".repeat(20_000));
    for n in 0..800 {
        let text =
            String::from_utf8(message("webhook", &format!("m{n}"), 7, 20_000, b"x")).expect("text");
        let text = text.replace("Host: app.svc", &padding);
        assert_eq!(client.send(text.as_bytes()).expect("answered").0, 202);
        wait_until("delivered", || endpoint.count() > n);
    }
    let growth_bytes = node.memory().saturating_sub(before);
    assert!(growth_bytes < 8_000_000, "{growth_bytes} bytes for 800 ids");
}

#[test]
fn resubmitted_pending_message_is_sent_once() {
    let endpoint = Endpoint::new(|_, _| Reply::Silence);
    let node = Node::new(&agent_with_one_endpoint(&endpoint)).ready();
    assert_eq!(node.submit("order", "m1", 7, 20_000, b"x"), 202);
    assert_eq!(node.submit("order", "m1", 7, 20_000, b"x"), 202);
    assert_eq!(node.submit("order", "m2", 7, 20_000, b"x"), 202);
    wait_until("both calls are in flight", || endpoint.count_of("m2") == 1);
    assert_eq!(endpoint.count_of("m1"), 1);
}

#[test]
fn messages_of_one_subject_are_sent_in_order_across_restart() {
    // the endpoint answers the first message once the gate is open; until then no other message of its subject may be
    // sent
    let gate: Arc<Mutex<bool>> = Arc::default();
    let opened = gate.clone();
    let endpoint = Endpoint::new(move |request, _| {
        if request.ids()[0] == "a1" {
            wait_until("the gate opens", || *opened.lock().expect("not poisoned"));
        }
        OK
    });
    let agent = Agent::new(vec![list(&[
        ("s-1", endpoint.address, "one", 7, "up"),
        ("s-2", endpoint.address, "one", 8, "up"),
    ])]);
    let node = Node::new(&agent).ready();
    let charge = |node: &Node, subject: &str, id: &str, dest: u64| {
        assert_eq!(
            node.send_bytes(&message_with_subject(subject, "charge", id, dest, 20_000))
                .0,
            202
        );
    };
    charge(&node, "a", "a1", 7);
    wait_until("the first message is sent", || endpoint.count_of("a1") == 1);
    charge(&node, "a", "a2", 8);
    charge(&node, "b", "b1", 8);
    wait_until("a message of another subject is sent", || {
        endpoint.count_of("b1") == 1
    });
    assert_eq!(
        endpoint.count_of("a2"),
        0,
        "sent while the first message of its subject is in flight"
    );
    *gate.lock().expect("not poisoned") = true;
    wait_until("the second message is sent", || {
        endpoint.count_of("a2") == 1
    });
    // two messages of a subject are pending when the process is killed; the first one has no endpoint, so the second
    // must not be sent either
    charge(&node, "c", "c1", 99);
    charge(&node, "c", "c2", 8);
    let node = node.restart().ready();
    charge(&node, "d", "d1", 8);
    wait_until("a message of another subject is sent", || {
        endpoint.count_of("d1") == 1
    });
    assert_eq!(
        endpoint.count_of("c2"),
        0,
        "sent while the first message of its subject is pending"
    );
    assert_eq!(
        node.send_bytes(&message_with_subject(
            "e&subject=f",
            "charge",
            "e1",
            8,
            20_000
        ))
        .0,
        400
    );
}

#[test]
fn next_message_of_subject_waits_for_notification_of_previous_across_restart() {
    let endpoint = Endpoint::new(|request, _| {
        if request.ids()[0] == "a1" {
            Reply::Response("500 Oops", String::new())
        } else {
            OK
        }
    });
    let agent = agent_with_one_endpoint(&endpoint);
    agent.failing_posts.store(usize::MAX, Ordering::SeqCst);
    let node = Node::new(&agent).ready();
    assert_eq!(
        node.send_bytes(&message_with_subject("a", "charge", "a1", 7, 20_000))
            .0,
        202
    );
    assert_eq!(
        node.send_bytes(&message_with_subject("a", "charge", "a2", 7, 20_000))
            .0,
        202
    );
    wait_until("the notification of the first message fails", || {
        node.logged("notices answered 500")
    });
    assert_eq!(endpoint.count_of("a2"), 0);
    let node = node.restart().ready();
    wait_until("the notification fails again", || {
        node.logged("notices answered 500")
    });
    assert_eq!(
        node.send_bytes(&message_with_subject("b", "charge", "b1", 7, 20_000))
            .0,
        202
    );
    wait_until("a message of another subject is sent", || {
        endpoint.count_of("b1") == 1
    });
    assert_eq!(endpoint.count_of("a2"), 0);
    agent.failing_posts.store(0, Ordering::SeqCst);
    wait_until("the second message is sent", || {
        endpoint.count_of("a2") == 1
    });
    assert_eq!(agent.notices(), [failed("a1")]);
}

#[test]
fn messages_beyond_tenant_share_wait_for_those_within_share() {
    // the first two calls fill the concurrency limit until the gate opens; the next two are never answered, so they
    // fill it from then on
    let gate: Arc<Mutex<bool>> = Arc::default();
    let opened = gate.clone();
    let endpoint = Endpoint::new(move |request, _| match request.ids()[0].as_str() {
        "first0" | "first1" => {
            wait_until("the gate opens", || *opened.lock().expect("not poisoned"));
            OK
        }
        _ => Reply::Silence,
    });
    let node = Node::new(&agent_with_one_endpoint(&endpoint)).ready();
    let hand_in = |tenant, id| {
        assert_eq!(
            node.send_bytes(&message_of_tenant(tenant, "order", id, 7, 20_000))
                .0,
            202
        )
    };
    for id in ["first0", "first1"] {
        hand_in("beta", id);
    }
    wait_until("the concurrency limit is reached", || endpoint.count() == 2);
    for (tenant, id) in [
        ("acme", "inside"),
        ("acme", "over1"),
        ("acme", "over2"),
        ("beta", "later"),
    ] {
        hand_in(tenant, id);
    }
    *gate.lock().expect("not poisoned") = true;
    wait_until(
        "both messages within their tenants' shares are sent",
        || endpoint.count_of("inside") + endpoint.count_of("later") == 2,
    );
    assert_eq!(endpoint.count_of("over1") + endpoint.count_of("over2"), 0);
}

#[test]
fn connections_with_incomplete_requests_are_closed() {
    // guards against peers that occupy client connections without a request; the time limit of a body is shorter than
    // that of a head, so the connection with half a body is closed first under any load
    let endpoint = Endpoint::new(|_, _| OK);
    let node = Node::new(&agent_with_one_endpoint(&endpoint)).ready();
    let text = message("webhook", "m1", 7, 20_000, b"12345");
    let (order, ends) = std::sync::mpsc::channel();
    for (name, part) in [
        ("silent", &[][..]),
        ("half head", &text[..40]),
        ("half body", &text[..text.len() - 2]),
    ] {
        let mut stream = std::net::TcpStream::connect(node.address).expect("accepts");
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .expect("set");
        stream.write_all(part).expect("written");
        let order = order.clone();
        std::thread::spawn(move || {
            let mut answer = Vec::new();
            let ended = stream.read_to_end(&mut answer).is_ok();
            let _ = order.send((
                name,
                ended,
                String::from_utf8_lossy(&answer).contains(" 408 "),
            ));
        });
    }
    drop(order);
    let ends: Vec<_> = ends.iter().collect();
    assert!(ends.iter().all(|(_, ended, _)| *ended), "{ends:?}");
    assert_eq!(ends[0], ("half body", true, true), "{ends:?}");
    assert_eq!(node.submit("webhook", "m2", 7, 20_000, b"x"), 202);
    wait_until("a complete message is delivered", || {
        endpoint.count_of("m2") == 1
    });
    assert_eq!(endpoint.count_of("m1"), 0);
}

#[test]
fn clients_use_at_most_a_third_of_descriptors() {
    let endpoint = Endpoint::new(|_, _| OK);
    let node = Node::with_sockets(agent_with_one_endpoint(&endpoint).address, 3.0, 5.0, 60).ready();
    let mut clients: Vec<Client> = (0..25).map(|_| Client::new(&node)).collect();
    let ready = b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n";
    for client in &mut clients {
        assert_eq!(client.send(ready).expect("answered").0, 200);
    }
    // the last clients could be served only after idle connections of earlier ones were closed
    let closed_count = clients
        .iter_mut()
        .map(Client::has_ended)
        .filter(|&ended| ended)
        .count();
    assert!(
        closed_count >= 5,
        "{closed_count} of 25 have ended, so {} were open at once",
        25 - closed_count
    );
}

/// Submits one message with an idempotency key and one non-idempotent message, and answers the first call of each with
/// `first`. Returns how often each message was received, and the outcome notifications. A non-idempotent message is
/// retried only if the endpoint cannot have processed it; one with a key is retried whenever it was not delivered.
fn sends_after_first_reply(first: Reply) -> (usize, usize, Vec<String>) {
    let failed: Arc<Mutex<Vec<String>>> = Arc::default();
    let endpoint = Endpoint::new(move |request, _| {
        let id = request.header("x-request-id").to_string();
        let mut failed = failed.lock().expect("not poisoned");
        if failed.contains(&id) {
            return OK;
        }
        failed.push(id);
        first.clone()
    });
    let agent = agent_with_one_endpoint(&endpoint);
    let node = Node::new(&agent).ready();
    assert_eq!(node.submit("webhook", "keyed", 7, 8_000, b"x"), 202);
    wait_until("the message with a key is sent", || {
        endpoint.count_of("keyed") > 0
    });
    let retried_or_notified = |id: &str| {
        endpoint.count_of(id) > 1 || agent.notices().iter().any(|line| line.contains(id))
    };
    let is_complete = |id: &str| {
        retried_or_notified(id) || node.send_bytes(&message("webhook", id, 7, 1, b"x")).0 == 200
    };
    wait_until("the message with a key is retried or complete", || {
        is_complete("keyed")
    });
    assert_eq!(node.submit("order", "unsafe", 7, 3_000, b"x"), 202);
    wait_until("the non-idempotent message is sent", || {
        endpoint.count_of("unsafe") > 0
    });
    wait_until("the non-idempotent message is retried or complete", || {
        retried_or_notified("unsafe") || node.submit("order", "unsafe", 7, 1, b"x") == 200
    });
    (
        endpoint.count_of("keyed"),
        endpoint.count_of("unsafe"),
        agent.notices(),
    )
}

/// Returns the outcome notification of a failed message.
fn failed(id: &str) -> String {
    format!(r#"{{"id":"{id}","state":"failed"}}"#)
}

#[test]
fn message_answered_200_is_complete() {
    assert_eq!(sends_after_first_reply(OK), (1, 1, vec![]));
    assert_eq!(
        sends_after_first_reply(Reply::ResponseAndClose("200 OK")),
        (1, 1, vec![])
    );
}

#[test]
fn message_answered_with_error_is_retried_only_with_key() {
    assert_eq!(
        sends_after_first_reply(Reply::Response("500 Oops", String::new())),
        (2, 1, vec![failed("unsafe")])
    );
    assert_eq!(
        sends_after_first_reply(Reply::Response("418 Teapot", String::new())),
        (2, 1, vec![failed("unsafe")])
    );
}

#[test]
fn message_with_malformed_answer_is_retried_only_with_key() {
    assert_eq!(
        sends_after_first_reply(Reply::ResponseAndClose("nonsense\r\n\x01")),
        (2, 1, vec![failed("unsafe")])
    );
}

#[test]
fn status_line_200_completes_message_whatever_follows() {
    for head in [
        "200 OK\r\nno colon here",
        "200 OK\r\nContent-Length: 3",
        "200 OK\r\nContent-Length: -1",
        "200 OK\r\nBad Name: x",
    ] {
        assert_eq!(
            sends_after_first_reply(Reply::Response(head, "a body".to_string())),
            (1, 1, vec![]),
            "{head}"
        );
    }
    assert_eq!(
        sends_after_first_reply(Reply::ResponseAndClose("2x0 OK")),
        (2, 1, vec![failed("unsafe")])
    );
}

#[test]
fn message_whose_connection_is_closed_is_retried_only_with_key() {
    assert_eq!(
        sends_after_first_reply(Reply::Close),
        (2, 1, vec![failed("unsafe")])
    );
}

#[test]
fn unanswered_non_idempotent_message_fails_without_retry() {
    let (_, times, notices) = sends_after_first_reply(Reply::Silence);
    assert_eq!((times, notices), (1, vec![failed("unsafe")]));
}

#[test]
fn rejected_messages_are_retried_with_or_without_key() {
    for head in [
        "429 No\r\nRetry-After: 0.05",
        "503 Full",
        "503 Full\r\nSlots-Taken: 1",
        "504 Spent",
    ] {
        assert_eq!(
            sends_after_first_reply(Reply::Response(head, String::new())),
            (2, 2, vec![]),
            "{head}"
        );
    }
}

#[test]
fn message_answered_410_ends_without_notification() {
    let endpoint = Endpoint::new(|_, _| Reply::Response("410 Gone", String::new()));
    let agent = agent_with_one_endpoint(&endpoint);
    let node = Node::new(&agent).ready();
    assert_eq!(node.submit("webhook", "m1", 7, 400, b"x"), 202);
    wait_until("the message is sent", || endpoint.count() == 1);
    // the first message's deadline passes before the later one's, so the later one's notification shows that none was
    // sent for the first
    assert_eq!(node.submit("webhook", "m2", 99, 900, b"x"), 202);
    wait_until("the notification of the later message", || {
        !agent.notices().is_empty()
    });
    assert_eq!(endpoint.count(), 1);
    assert!(agent.notices().iter().all(|line| line.contains("m2")));
}

#[test]
fn non_idempotent_message_with_refused_connection_is_returned() {
    let (address, _kept) = refusing_address();
    let agent = Agent::new(vec![list(&[("s-1", address, "one", 7, "up")])]);
    let node = Node::new(&agent).ready();
    assert_eq!(node.submit("order", "m1", 7, 700, b"x"), 202);
    wait_until("the notification", || !agent.notices().is_empty());
    // a non-idempotent message may be reported as returned only if the endpoint processed none of its calls
    assert!(
        agent.notices()[0].contains("returned"),
        "{:?}",
        agent.notices()
    );
    assert!(
        agent.notices()[0].contains("after_ms"),
        "{:?}",
        agent.notices()
    );
}

#[test]
fn retry_after_delays_further_calls() {
    // receive time of each call at the endpoint; the first one is recorded before its answer is written
    let received_at: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let recorded = received_at.clone();
    let endpoint = Endpoint::new(move |_, number| {
        recorded.lock().expect("not poisoned").push(Instant::now());
        if number == 0 {
            Reply::Response("429 Later\r\nRetry-After: 1.2", String::new())
        } else {
            OK
        }
    });
    let node = Node::new(&agent_with_one_endpoint(&endpoint)).ready();
    assert_eq!(node.submit("webhook", "m1", 7, 20_000, b"x"), 202);
    wait_until("the message is sent", || endpoint.count() == 1);
    assert_eq!(node.submit("webhook", "m2", 7, 20_000, b"x"), 202);
    wait_until("both are delivered", || {
        received_at.lock().expect("not poisoned").len() == 3
    });
    // the second call may have been in flight before the Retry-After was received
    let received_at = received_at.lock().expect("not poisoned");
    assert!(
        received_at[2] - received_at[0] >= Duration::from_millis(1200),
        "{:?}",
        received_at[2] - received_at[0]
    );
}

#[test]
fn bulk_answer_decides_each_message_by_its_line() {
    // the first calls fill the destination's concurrency limit, so that the further messages collect and are sent as
    // one bulk request
    let is_gate_closed: Arc<Mutex<bool>> = Arc::new(Mutex::new(true));
    let gate = is_gate_closed.clone();
    let endpoint = Endpoint::new(move |request, _| {
        if request.line.starts_with("POST /inbox ") {
            if request.ids()[0].starts_with("first") {
                wait_until("the gate opens", || !*gate.lock().expect("not poisoned"));
            }
            return OK;
        }
        let ids = request.ids();
        let results = ["ok", "error", "later", "gone", "exhausted"];
        let word = |id: &String| {
            id.strip_prefix('b')
                .and_then(|n| n.parse().ok())
                .map_or("ok", |n: usize| results[n])
        };
        Reply::Response(
            "200 OK",
            ids.iter()
                .map(|id| format!("{id} {}\r\n", word(id)))
                .collect(),
        )
    });
    let agent = Agent::new(vec![list(&[("s-1", endpoint.address, "bulk", 7, "up")])]);
    let node = Node::new(&agent).ready();
    for n in 0..2 {
        assert_eq!(
            node.submit("order", &format!("first{n}"), 7, 20_000, b"x"),
            202
        );
    }
    wait_until("the concurrency limit is reached", || endpoint.count() == 2);
    for n in 0..5 {
        assert_eq!(node.submit("order", &format!("b{n}"), 7, 4_000, b"x"), 202);
    }
    *is_gate_closed.lock().expect("not poisoned") = false;
    wait_until("a bulk call", || {
        (0..endpoint.count()).any(|n| endpoint.request(n).line.contains("/inbox/bulk"))
    });
    wait_until("the notification of the message with an error", || {
        agent.notices().contains(&failed("b1"))
    });
    wait_until("messages that never ran are retried", || {
        endpoint.count_of("b2") > 1 && endpoint.count_of("b4") > 1
    });
    for id in ["b0", "b1", "b3"] {
        assert_eq!(endpoint.count_of(id), 1, "{id}");
    }
    assert!(
        !agent
            .notices()
            .iter()
            .any(|line| line.contains("b0") || line.contains("b3"))
    );
}

#[test]
fn restarted_sender_resumes_pending_messages_after_kill() {
    // when the sender is killed, it has one message in each of these states: accepted but not sent; in flight with an
    // idempotency key; in flight and non-idempotent; complete with its notification pending
    let endpoint = Endpoint::new(|request, number| {
        if number < 2 || request.header("x-request-id") == "unsafe" {
            Reply::Silence
        } else {
            OK
        }
    });
    let agent = agent_with_one_endpoint(&endpoint);
    let node = Node::new(&agent).ready();
    assert_eq!(node.submit("webhook", "sent", 7, 20_000, b"body"), 202);
    assert_eq!(node.submit("order", "unsafe", 7, 20_000, b"x"), 202);
    wait_until("both calls are in flight", || {
        endpoint.count_of("sent") == 1 && endpoint.count_of("unsafe") == 1
    });
    assert_eq!(
        node.submit("webhook", "unsent", 8, 20_000, b"unsent body"),
        202
    );
    agent.failing_posts.store(usize::MAX, Ordering::SeqCst);
    assert_eq!(node.submit("webhook", "owed", 9, 100, b"x"), 202);
    wait_until("the notification fails", || {
        node.logged("notices answered 500")
    });
    let mut node = node;
    node.kill();
    agent.failing_posts.store(0, Ordering::SeqCst);
    let other = Endpoint::new(|_, _| OK);
    let lines = list(&[
        ("s-1", endpoint.address, "one", 7, "up"),
        ("s-2", other.address, "one", 8, "up"),
    ]);
    *agent.lines.lock().expect("not poisoned") = vec![lines];
    let node = node.restart().ready();
    wait_until("the startup line", || node.logged("4 unfinished messages"));
    wait_until("the unsent message is sent", || {
        other.count_of("unsent") == 1
    });
    assert_eq!(other.request(0).body, b"unsent body");
    assert_eq!(other.request(0).header("idempotency-key"), "key-unsent");
    wait_until("the message with a key is retried", || {
        endpoint.count_of("sent") >= 2
    });
    wait_until(
        "the non-idempotent message and the pending notification are notified",
        || {
            let notices = agent.notices();
            notices.contains(&failed("unsafe")) && notices.iter().any(|line| line.contains("owed"))
        },
    );
    assert_eq!(endpoint.count_of("unsafe"), 1);
    assert_eq!(agent.notices().len(), 2, "{:?}", agent.notices());
}

#[test]
fn message_whose_deadline_passed_while_down_is_notified_at_restart() {
    let endpoint = Endpoint::new(|_, _| Reply::Silence);
    let agent = agent_with_one_endpoint(&endpoint);
    let mut node = Node::new(&agent).ready();
    assert_eq!(node.submit("webhook", "m1", 7, 3_000, b"x"), 202);
    node.kill();
    std::thread::sleep(Duration::from_millis(3_100)); // until the deadline has passed
    assert!(agent.notices().is_empty());
    let _node = node.restart();
    wait_until("the notification", || {
        agent.notices().iter().any(|line| line.contains("m1"))
    });
}

#[test]
fn journal_recovery_drops_torn_record_and_keeps_sound_records_beside_damage() {
    let endpoint = Endpoint::new(|_, _| OK);
    let agent = Agent::new(vec![list(&[("s-9", endpoint.address, "one", 5, "up")])]);
    let mut node = Node::new(&agent).ready();
    for id in ["m1", "m2"] {
        assert_eq!(node.submit("webhook", id, 7, 20_000, b"x"), 202);
    }
    node.kill();
    let sound = std::fs::read(node.journal()).expect("the journal");
    std::fs::write(node.journal(), &sound[..sound.len() - 3]).expect("torn");
    let mut node = node.restart().ready();
    wait_until("the startup line", || node.logged("1 unfinished messages"));
    assert!(!node.logged("damaged"));
    node.kill();
    let mut damaged = sound.clone();
    damaged[20] ^= 0xff;
    std::fs::write(node.journal(), &damaged).expect("damaged");
    *agent.lines.lock().expect("not poisoned") =
        vec![list(&[("s-1", endpoint.address, "one", 7, "up")])];
    let node = node.restart().ready();
    wait_until("the startup line and the damage are logged", || {
        node.logged("1 unfinished messages") && node.logged("damaged")
    });
    wait_until("the message of the sound record is delivered", || {
        endpoint.count_of("m2") == 1
    });
    assert_eq!(endpoint.count_of("m1"), 0);
}

#[test]
fn full_journal_rejects_messages_and_stays_within_its_limit() {
    let endpoint = Endpoint::new(|_, _| OK);
    let agent = agent_with_one_endpoint(&endpoint);
    let node = Node::with(agent.address, 0.3, 5.0).ready();
    let size = || {
        let files = std::fs::read_dir(node.folder.join("state")).expect("the folder");
        files
            .flatten()
            .map(|file| file.metadata().map_or(0, |m| m.len().next_multiple_of(512)))
            .sum::<u64>()
    };
    let mut statuses = Vec::new();
    for n in 0..10 {
        statuses.push(node.submit("webhook", &format!("m{n}"), 99, 20_000, &[b'x'; 30_000]));
        assert!(size() <= 300_000, "{}", size());
    }
    assert!(
        statuses.contains(&202) && statuses.last() == Some(&503),
        "{statuses:?}"
    );
    // records of small complete messages are removed by compaction, so old messages never fill the journal
    for n in 0..400 {
        let status = node.submit("webhook", &format!("s{n}"), 7, 20_000, &[b'x'; 1_000]);
        assert!(status == 202 || status == 429 || status == 503);
        assert!(size() <= 300_000, "{}", size());
    }
    // the full journal is logged once, not once per message
    let lines = node
        .log
        .lock()
        .expect("not poisoned")
        .iter()
        .filter(|line| line.contains("journal"))
        .count();
    assert!((1..=3).contains(&lines), "{lines}");
}

#[test]
fn full_journal_accepts_messages_again_after_pending_ones_end() {
    let endpoint = Endpoint::new(|_, _| OK);
    let agent = agent_with_one_endpoint(&endpoint);
    let node = Node::with(agent.address, 0.3, 5.0).ready();
    let mut full = false;
    for n in 0..10 {
        full |= node.submit("webhook", &format!("m{n}"), 99, 1_500, &[b'x'; 30_000]) == 503;
    }
    assert!(full);
    wait_until(
        "a new message is accepted once the pending ones have ended",
        || node.submit("webhook", "after", 7, 9_000, &[b'x'; 30_000]) == 202,
    );
    wait_until("the new message is delivered", || {
        endpoint.count_of("after") == 1
    });
}

#[test]
fn sigterm_drains_and_answers_every_client() {
    // guards against closing connections with an unanswered request, and against an exit with calls in flight
    let endpoint = Endpoint::new(|_, _| OK);
    let agent = agent_with_one_endpoint(&endpoint);
    let mut node = Node::new(&agent).ready();
    let mut client = Client::new(&node);
    assert_eq!(
        client
            .send(&message("webhook", "m1", 7, 20_000, b"x"))
            .expect("answered")
            .0,
        202
    );
    let began = Instant::now();
    node.terminate();
    wait_until("draining", || node.logged("draining"));
    let (status, answer) = client
        .send(&message("webhook", "m2", 7, 20_000, b"x"))
        .expect("answered");
    assert_eq!((status, answer.header("connection")), (202, "close"));
    assert_eq!(
        node.submit("webhook", "m3", 7, 20_000, b"x"),
        202,
        "new connections are accepted for a while"
    );
    assert_eq!(node.readiness_status(), 503);
    wait_until("all are delivered", || {
        ["m1", "m2", "m3"]
            .iter()
            .all(|id| endpoint.count_of(id) == 1)
    });
    let status = node.process.wait().expect("the process ends");
    assert!(
        status.success() && began.elapsed() < Duration::from_millis(3700),
        "{status} {:?}",
        began.elapsed()
    );
    let node = node.restart();
    wait_until("the startup line", || node.logged("0 unfinished messages"));
}

#[test]
fn message_accepted_at_end_of_drain_is_sent_after_restart() {
    let endpoint = Endpoint::new(|_, _| OK);
    let agent = agent_with_one_endpoint(&endpoint);
    let node = Node::new(&agent).ready();
    node.terminate();
    wait_until("draining", || node.logged("draining"));
    std::thread::sleep(Duration::from_millis(2450)); // into the last second, reserved for calls of unknown latency
    assert_eq!(node.submit("order", "m1", 7, 20_000, b"x"), 202);
    let mut node = node;
    assert!(node.process.wait().expect("the process ends").success());
    assert_eq!(endpoint.count(), 0);
    let _node = node.restart();
    wait_until("the restarted sender delivers the message", || {
        endpoint.count_of("m1") == 1
    });
}

#[test]
fn draining_endpoint_gets_no_new_messages_and_invalid_list_lines_are_skipped() {
    let (old, new) = (Endpoint::new(|_, _| OK), Endpoint::new(|_, _| OK));
    let agent = Agent::new(vec![
        list(&[("s-1", old.address, "one", 7, "up"), ("s-2", new.address, "one", 7, "up")]),
        "{not json".to_string(),
        r#"{"rev":8,"all":false,"targets":[{"uid":5},{"uid":"s-3","endpoint":"nowhere","pod_group":7,"state":"up"}]}"#
            .to_string(),
        list(&[("s-1", old.address, "one", 7, "draining")]).replace("true", "false"),
    ]);
    let node = Node::new(&agent).ready();
    wait_until("both invalid lines are skipped", || {
        node.logged("text skipped") && node.logged("entry skipped")
    });
    for n in 0..6 {
        let id = format!("m{n}");
        assert_eq!(node.submit("webhook", &id, 7, 20_000, b"x"), 202);
        wait_until("delivered", || new.count_of(&id) + old.count_of(&id) > 0);
    }
    assert!(
        new.count() >= 5,
        "only the first message may be sent before the change arrives: {}",
        new.count()
    );
}

#[test]
fn silent_list_watch_is_replaced_by_new_one() {
    let endpoint = Endpoint::new(|_, _| OK);
    let agent = Agent::new(Vec::new());
    let node = Node::new(&agent);
    wait_until("a watch is open", || {
        agent.watches.load(Ordering::SeqCst) > 0
    });
    let began = Instant::now();
    assert_eq!(
        node.readiness_status(),
        503,
        "the sender is not ready without an endpoint list"
    );
    assert_eq!(node.submit("webhook", "early", 7, 20_000, b"x"), 503);
    *agent.lines.lock().expect("not poisoned") =
        vec![list(&[("s-1", endpoint.address, "one", 7, "up")])];
    let node = node.ready();
    // a change of the list counts as known to the sender 6 s after discovery had it, so a silent watch, over which
    // changes are missed, must be replaced well before
    assert!(
        began.elapsed() < Duration::from_secs(5),
        "{:?}",
        began.elapsed()
    );
    assert_eq!(node.submit("webhook", "m1", 7, 20_000, b"x"), 202);
    wait_until("delivered", || endpoint.count_of("m1") == 1);
}

#[test]
fn sighup_with_new_discovery_address_keeps_sender_running() {
    let (old, new) = (Endpoint::new(|_, _| OK), Endpoint::new(|_, _| OK));
    let (before, after) = (
        agent_with_one_endpoint(&old),
        Agent::new(vec![list(&[("s-2", new.address, "one", 8, "up")])]),
    );
    let node = Node::new(&before).ready();
    node.move_discovery(&after);
    wait_until("a watch is open at the new address", || {
        after.watches.load(Ordering::SeqCst) > 0
    });
    assert_eq!(node.submit("webhook", "m1", 8, 20_000, b"x"), 202);
    wait_until(
        "the message is delivered to the endpoint of the new list",
        || new.count_of("m1") == 1,
    );
    assert_eq!(node.submit("webhook", "m2", 9, 100, b"x"), 202);
    wait_until("the notification is sent to the new address", || {
        after.notices().iter().any(|line| line.contains("m2"))
    });
    assert!(before.notices().is_empty());
    // an invalid configuration file changes nothing
    std::fs::write(node.folder.join("config.json"), "{").expect("written");
    node.hang_up();
    wait_until("the rejected configuration is logged", || {
        node.logged("configuration left as it was")
    });
    assert_eq!(node.submit("webhook", "m3", 8, 20_000, b"x"), 202);
    wait_until(
        "the message is delivered by the previous configuration",
        || new.count_of("m3") == 1,
    );
}

#[test]
fn closed_log_pipe_does_not_end_sender() {
    // guards against eprintln!, which panics when its pipe is closed
    let endpoint = Endpoint::new(|_, _| Reply::Response("418 Teapot", String::new()));
    let agent = agent_with_one_endpoint(&endpoint);
    let mut node = Node::new(&agent).ready();
    node.close_log();
    assert_eq!(node.submit("order", "m1", 7, 20_000, b"x"), 202);
    wait_until("the notification", || {
        agent.notices().contains(&failed("m1"))
    });
    wait_until("the last log line before the pipe is closed", || {
        node.logged("418")
    });
    node.terminate(); // logs two more lines into the closed pipe
    assert!(node.process.wait().expect("the process ends").success());
}

#[test]
fn message_of_client_that_disconnects_before_its_answer_is_not_sent() {
    let endpoint = Endpoint::new(|_, _| OK);
    let node = Node::new(&agent_with_one_endpoint(&endpoint)).ready();
    let text = message("webhook", "m1", 7, 20_000, b"12345");
    let mut stream = std::net::TcpStream::connect(node.address).expect("accepts");
    stream.write_all(&text[..text.len() - 2]).expect("written");
    drop(stream);
    assert_eq!(node.submit("webhook", "m2", 7, 20_000, b"x"), 202);
    wait_until("the message of the other client is delivered", || {
        endpoint.count_of("m2") == 1
    });
    assert_eq!(endpoint.count_of("m1"), 0);
}

#[test]
fn invalid_configuration_stops_start_with_one_error_line() {
    let folder = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("bad-config");
    std::fs::create_dir_all(&folder).expect("a folder");
    for text in [
        "",
        "{",
        "{}",
        r#"{"name":"n","listen":"x","discovery":"127.0.0.1:1","seed":"1","limits":{"sockets":9,"disk_mb":3},"settings":{}}"#,
    ] {
        std::fs::write(folder.join("config.json"), text).expect("written");
        let output = command(&folder).output().expect("runs");
        assert!(!output.status.success());
        let error = String::from_utf8(output.stderr).expect("text");
        assert_eq!(error.lines().count(), 1, "{error}");
    }
}
