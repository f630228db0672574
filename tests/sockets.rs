//! The real sender over loopback sockets: what its clients, its endpoints and a restart may do to it.

mod node;

use node::*;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// An address that refuses connections for as long as its socket is kept: bound, so that nobody else gets the
/// port, and not listening.
fn refusing() -> (SocketAddr, tokio::net::TcpSocket) {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket
        .bind("127.0.0.1:0".parse().expect("an address"))
        .expect("a port");
    (socket.local_addr().expect("bound"), socket)
}

#[test]
fn a_message_goes_on_unchanged_and_is_over() {
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
    // delivered: answered as such if it comes again, and not sent again, not even after a restart
    wait_until("its end is known", || {
        node.submit("webhook", "m1", 7, 20_000, body) == 200
    });
    let node = node.restart().ready();
    wait_until("it is told", || node.logged("0 unfinished messages"));
    assert_eq!(endpoint.count_of("m1"), 1);
}

#[test]
fn connections_are_kept() {
    // guards against a handshake for each call; none grows old here, however slow the machine is
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
fn idle_connections_are_a_third_of_the_descriptors_at_most() {
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
    // a client's connection may still be closing
    wait_until("20 are kept", || node.descriptors() <= before + 20);
    assert!(endpoints.iter().all(|endpoint| endpoint.count() == 1));
}

#[test]
fn connections_are_left_before_the_endpoint_closes_them() {
    // guards against writing to a connection about to close
    let endpoint = Endpoint::new(|_, _| OK);
    let node = Node::with(agent_with_one_endpoint(&endpoint).address, 3.0, 1.0).ready();
    deliver(&node, "m0", 7);
    std::thread::sleep(Duration::from_millis(1000)); // the idle time itself
    deliver(&node, "late", 7);
    assert_eq!((endpoint.count(), endpoint.request(1).connection), (2, 1));
}

#[test]
fn connections_are_kept_shorter_where_idle_ones_are_reset() {
    // the second request on the first connection, after a rest, ends it unanswered
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
    assert_eq!(endpoint.count_of("m2"), 2, "sent again");
    assert_eq!(endpoint.request(1).connection, 0, "the first is reused");
    // no shorter a rest than the first one was
    std::thread::sleep(began.elapsed());
    deliver(&node, "m3", 7);
    assert_eq!(
        endpoint.request(3).connection,
        2,
        "after a rest like that, none is reused"
    );
}

#[test]
fn bad_input_is_answered_and_harms_nobody() {
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
    // a body with two ends is no body, whichever header comes first; neither is what hides behind it
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
    wait_until("the largest body goes out", || {
        endpoint.count_of("most") == 1
    });
    assert_eq!(endpoint.count(), 1);
}

#[test]
fn what_is_remembered_of_a_message_is_not_all_that_came_with_it() {
    let endpoint = Endpoint::new(|_, _| OK);
    let node = Node::new(&agent_with_one_endpoint(&endpoint)).ready();
    let mut client = Client::new(&node);
    let before = node.memory();
    let pad = format!("Host: app.svc\r\nX-Pad: {}", "p".repeat(20_000));
    for n in 0..800 {
        let text =
            String::from_utf8(message("webhook", &format!("m{n}"), 7, 20_000, b"x")).expect("text");
        let text = text.replace("Host: app.svc", &pad);
        assert_eq!(client.send(text.as_bytes()).expect("answered").0, 202);
        wait_until("delivered", || endpoint.count() > n);
    }
    let grown = node.memory().saturating_sub(before);
    assert!(grown < 8_000_000, "{grown} bytes for 800 ids");
}

#[test]
fn the_same_id_while_held_is_one_message() {
    let endpoint = Endpoint::new(|_, _| Reply::Silence);
    let node = Node::new(&agent_with_one_endpoint(&endpoint)).ready();
    assert_eq!(node.submit("order", "m1", 7, 20_000, b"x"), 202);
    assert_eq!(node.submit("order", "m1", 7, 20_000, b"x"), 202);
    assert_eq!(node.submit("order", "m2", 7, 20_000, b"x"), 202);
    wait_until("both are out", || endpoint.count_of("m2") == 1);
    assert_eq!(endpoint.count_of("m1"), 1);
}

#[test]
fn messages_about_one_subject_take_turns_also_across_a_restart() {
    // the first is answered once the gate is open; none of the later ones may be out before
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
    wait_until("the first is out", || endpoint.count_of("a1") == 1);
    charge(&node, "a", "a2", 8);
    charge(&node, "b", "b1", 8);
    wait_until("another subject's is out", || endpoint.count_of("b1") == 1);
    assert_eq!(
        endpoint.count_of("a2"),
        0,
        "sent while the first of its subject is out"
    );
    *gate.lock().expect("not poisoned") = true;
    wait_until("the second follows", || endpoint.count_of("a2") == 1);
    // two of a subject are owed when the process dies: where the first can't go, the second doesn't either
    charge(&node, "c", "c1", 99);
    charge(&node, "c", "c2", 8);
    let node = node.restart().ready();
    charge(&node, "d", "d1", 8);
    wait_until("another subject's is out", || endpoint.count_of("d1") == 1);
    assert_eq!(
        endpoint.count_of("c2"),
        0,
        "sent while the first of its subject is owed"
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
fn a_subject_waits_for_the_notice_of_the_one_before_also_across_a_restart() {
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
    wait_until("the first one's notice fails", || {
        node.logged("notices answered 500")
    });
    assert_eq!(endpoint.count_of("a2"), 0);
    let node = node.restart().ready();
    wait_until("its notice fails again", || {
        node.logged("notices answered 500")
    });
    assert_eq!(
        node.send_bytes(&message_with_subject("b", "charge", "b1", 7, 20_000))
            .0,
        202
    );
    wait_until("another subject's is out", || endpoint.count_of("b1") == 1);
    assert_eq!(endpoint.count_of("a2"), 0);
    agent.failing_posts.store(0, Ordering::SeqCst);
    wait_until("the second follows", || endpoint.count_of("a2") == 1);
    assert_eq!(agent.notices(), [failed("a1")]);
}

#[test]
fn what_is_over_its_tenants_share_waits_for_what_is_inside() {
    // the first two fill the window until the gate opens, the next two from then on
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
    wait_until("the window is full", || endpoint.count() == 2);
    for (tenant, id) in [
        ("acme", "inside"),
        ("acme", "over1"),
        ("acme", "over2"),
        ("beta", "later"),
    ] {
        hand_in(tenant, id);
    }
    *gate.lock().expect("not poisoned") = true;
    wait_until("both inside their shares are out", || {
        endpoint.count_of("inside") + endpoint.count_of("later") == 2
    });
    assert_eq!(endpoint.count_of("over1") + endpoint.count_of("over2"), 0);
}

#[test]
fn peers_that_send_no_whole_request_are_left() {
    // guards against peers that hold clients' places: the half body's end comes first, whatever the load
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
    wait_until("the next one is delivered", || endpoint.count_of("m2") == 1);
    assert_eq!(endpoint.count_of("m1"), 0);
}

#[test]
fn clients_hold_a_third_of_the_descriptors_at_most() {
    let endpoint = Endpoint::new(|_, _| OK);
    let node = Node::with_sockets(agent_with_one_endpoint(&endpoint).address, 3.0, 5.0, 60).ready();
    let mut clients: Vec<Client> = (0..25).map(|_| Client::new(&node)).collect();
    let ready = b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n";
    for client in &mut clients {
        assert_eq!(client.send(ready).expect("answered").0, 200);
    }
    // the last ones' turn came only as places fell free
    let left = clients
        .iter_mut()
        .map(Client::has_ended)
        .filter(|&ended| ended)
        .count();
    assert!(
        left >= 5,
        "{left} of 25 have ended, so {} were open at once",
        25 - left
    );
}

/// One keyed and one unsafe message whose first call fares as given: how often each comes in all. An unsafe
/// one is sent again only if it never ran; a keyed one in any case that leaves it undelivered.
fn fares(first: Reply) -> (usize, usize, Vec<String>) {
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
    wait_until("keyed is out", || endpoint.count_of("keyed") > 0);
    let settled = |id: &str| {
        endpoint.count_of(id) > 1 || agent.notices().iter().any(|line| line.contains(id))
    };
    let over =
        |id: &str| settled(id) || node.send_bytes(&message("webhook", id, 7, 1, b"x")).0 == 200;
    wait_until("keyed is settled", || over("keyed"));
    assert_eq!(node.submit("order", "unsafe", 7, 3_000, b"x"), 202);
    wait_until("unsafe is out", || endpoint.count_of("unsafe") > 0);
    wait_until("unsafe is settled", || {
        settled("unsafe") || node.submit("order", "unsafe", 7, 1, b"x") == 200
    });
    (
        endpoint.count_of("keyed"),
        endpoint.count_of("unsafe"),
        agent.notices(),
    )
}

fn failed(id: &str) -> String {
    format!(r#"{{"id":"{id}","state":"failed"}}"#)
}

#[test]
fn success_ends_a_message() {
    assert_eq!(fares(OK), (1, 1, vec![]));
    assert_eq!(fares(Reply::ResponseAndClose("200 OK")), (1, 1, vec![]));
}

#[test]
fn an_error_may_have_run() {
    assert_eq!(
        fares(Reply::Response("500 Oops", String::new())),
        (2, 1, vec![failed("unsafe")])
    );
    assert_eq!(
        fares(Reply::Response("418 Teapot", String::new())),
        (2, 1, vec![failed("unsafe")])
    );
}

#[test]
fn a_malformed_answer_fails_that_call_only() {
    assert_eq!(
        fares(Reply::ResponseAndClose("nonsense\r\n\x01")),
        (2, 1, vec![failed("unsafe")])
    );
}

#[test]
fn an_answer_whose_first_line_says_200_is_true_whatever_follows() {
    for head in [
        "200 OK\r\nno colon here",
        "200 OK\r\nContent-Length: 3",
        "200 OK\r\nContent-Length: -1",
        "200 OK\r\nBad Name: x",
    ] {
        assert_eq!(
            fares(Reply::Response(head, "a body".to_string())),
            (1, 1, vec![]),
            "{head}"
        );
    }
    assert_eq!(
        fares(Reply::ResponseAndClose("2x0 OK")),
        (2, 1, vec![failed("unsafe")])
    );
}

#[test]
fn a_reset_may_have_run() {
    assert_eq!(fares(Reply::Close), (2, 1, vec![failed("unsafe")]));
}

#[test]
fn silence_may_have_run_and_ends_in_time() {
    let (_, times, notices) = fares(Reply::Silence);
    assert_eq!((times, notices), (1, vec![failed("unsafe")]));
}

#[test]
fn what_was_turned_away_never_ran() {
    for head in [
        "429 No\r\nRetry-After: 0.05",
        "503 Full",
        "503 Full\r\nSlots-Taken: 1",
        "504 Spent",
    ] {
        assert_eq!(
            fares(Reply::Response(head, String::new())),
            (2, 2, vec![]),
            "{head}"
        );
    }
}

#[test]
fn a_message_that_is_gone_is_over_without_a_notice() {
    let endpoint = Endpoint::new(|_, _| Reply::Response("410 Gone", String::new()));
    let agent = agent_with_one_endpoint(&endpoint);
    let node = Node::new(&agent).ready();
    assert_eq!(node.submit("webhook", "m1", 7, 400, b"x"), 202);
    wait_until("it is out", || endpoint.count() == 1);
    // a later message's notice shows that none came for the first, whose time was up before
    assert_eq!(node.submit("webhook", "m2", 99, 900, b"x"), 202);
    wait_until("the later one's notice", || !agent.notices().is_empty());
    assert_eq!(endpoint.count(), 1);
    assert!(agent.notices().iter().all(|line| line.contains("m2")));
}

#[test]
fn a_refused_connection_never_ran() {
    let (address, _kept) = refusing();
    let agent = Agent::new(vec![list(&[("s-1", address, "one", 7, "up")])]);
    let node = Node::new(&agent).ready();
    assert_eq!(node.submit("order", "m1", 7, 700, b"x"), 202);
    wait_until("its notice", || !agent.notices().is_empty());
    // an unsafe message may be returned only if none of its calls ran
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
fn a_told_wait_is_heeded() {
    // when each call came, by the endpoint's own clock: the first before its answer is written
    let came: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let here = came.clone();
    let endpoint = Endpoint::new(move |_, number| {
        here.lock().expect("not poisoned").push(Instant::now());
        if number == 0 {
            Reply::Response("429 Later\r\nRetry-After: 1.2", String::new())
        } else {
            OK
        }
    });
    let node = Node::new(&agent_with_one_endpoint(&endpoint)).ready();
    assert_eq!(node.submit("webhook", "m1", 7, 20_000, b"x"), 202);
    wait_until("it is out", || endpoint.count() == 1);
    assert_eq!(node.submit("webhook", "m2", 7, 20_000, b"x"), 202);
    wait_until("both are delivered", || {
        came.lock().expect("not poisoned").len() == 3
    });
    // the second may have been out already
    let came = came.lock().expect("not poisoned");
    assert!(
        came[2] - came[0] >= Duration::from_millis(1200),
        "{:?}",
        came[2] - came[0]
    );
}

#[test]
fn a_bulk_answer_tells_each_messages_end() {
    // the first call holds the destination's window, so that the rest gathers and travels together
    let held: Arc<Mutex<bool>> = Arc::new(Mutex::new(true));
    let gate = held.clone();
    let endpoint = Endpoint::new(move |request, _| {
        if request.line.starts_with("POST /inbox ") {
            if request.ids()[0].starts_with("first") {
                wait_until("the gate opens", || !*gate.lock().expect("not poisoned"));
            }
            return OK;
        }
        let ids = request.ids();
        let ends = ["ok", "error", "later", "gone", "exhausted"];
        let word = |id: &String| {
            id.strip_prefix('b')
                .and_then(|n| n.parse().ok())
                .map_or("ok", |n: usize| ends[n])
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
    wait_until("the window is full", || endpoint.count() == 2);
    for n in 0..5 {
        assert_eq!(node.submit("order", &format!("b{n}"), 7, 4_000, b"x"), 202);
    }
    *held.lock().expect("not poisoned") = false;
    wait_until("a bulk call", || {
        (0..endpoint.count()).any(|n| endpoint.request(n).line.contains("/inbox/bulk"))
    });
    wait_until("the error's notice", || {
        agent.notices().contains(&failed("b1"))
    });
    wait_until("what never ran goes again", || {
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
fn a_killed_sender_resumes_what_it_owes() {
    // each step: taken on and not sent; sent with no outcome, keyed and unsafe; its notice owed
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
    wait_until("both are out", || {
        endpoint.count_of("sent") == 1 && endpoint.count_of("unsafe") == 1
    });
    assert_eq!(
        node.submit("webhook", "unsent", 8, 20_000, b"unsent body"),
        202
    );
    agent.failing_posts.store(usize::MAX, Ordering::SeqCst);
    assert_eq!(node.submit("webhook", "owed", 9, 100, b"x"), 202);
    wait_until("its notice fails", || node.logged("notices answered 500"));
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
    wait_until("it is told", || node.logged("4 unfinished messages"));
    wait_until("the unsent one goes out", || other.count_of("unsent") == 1);
    assert_eq!(other.request(0).body, b"unsent body");
    assert_eq!(other.request(0).header("idempotency-key"), "key-unsent");
    wait_until("the keyed one goes out again", || {
        endpoint.count_of("sent") >= 2
    });
    wait_until("the unsafe one's and the owed one's notices", || {
        let notices = agent.notices();
        notices.contains(&failed("unsafe")) && notices.iter().any(|line| line.contains("owed"))
    });
    assert_eq!(endpoint.count_of("unsafe"), 1);
    assert_eq!(agent.notices().len(), 2, "{:?}", agent.notices());
}

#[test]
fn a_deadline_that_passed_while_down_ends_by_a_notice_at_once() {
    let endpoint = Endpoint::new(|_, _| Reply::Silence);
    let agent = agent_with_one_endpoint(&endpoint);
    let mut node = Node::new(&agent).ready();
    assert_eq!(node.submit("webhook", "m1", 7, 3_000, b"x"), 202);
    node.kill();
    std::thread::sleep(Duration::from_millis(3_100)); // until its time is up
    assert!(agent.notices().is_empty());
    let _node = node.restart();
    wait_until("its notice", || {
        agent.notices().iter().any(|line| line.contains("m1"))
    });
}

#[test]
fn a_torn_record_is_dropped_and_damage_keeps_what_is_sound() {
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
    wait_until("it is told", || node.logged("1 unfinished messages"));
    assert!(!node.logged("damaged"));
    node.kill();
    let mut damaged = sound.clone();
    damaged[20] ^= 0xff;
    std::fs::write(node.journal(), &damaged).expect("damaged");
    *agent.lines.lock().expect("not poisoned") =
        vec![list(&[("s-1", endpoint.address, "one", 7, "up")])];
    let node = node.restart().ready();
    wait_until("it is told", || {
        node.logged("1 unfinished messages") && node.logged("damaged")
    });
    wait_until("the sound one is delivered", || {
        endpoint.count_of("m2") == 1
    });
    assert_eq!(endpoint.count_of("m1"), 0);
}

#[test]
fn a_full_journal_refuses_and_stays_within_its_limit() {
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
    // small ones that come and go are compacted away, so that the room is never used up by the past
    for n in 0..400 {
        let status = node.submit("webhook", &format!("s{n}"), 7, 20_000, &[b'x'; 1_000]);
        assert!(status == 202 || status == 429 || status == 503);
        assert!(size() <= 300_000, "{}", size());
    }
    // once for the fault, not once for each message
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
fn a_folder_that_fills_up_and_empties_takes_messages_again() {
    let endpoint = Endpoint::new(|_, _| OK);
    let agent = agent_with_one_endpoint(&endpoint);
    let node = Node::with(agent.address, 0.3, 5.0).ready();
    let mut full = false;
    for n in 0..10 {
        full |= node.submit("webhook", &format!("m{n}"), 99, 1_500, &[b'x'; 30_000]) == 503;
    }
    assert!(full);
    wait_until("they have ended", || {
        node.submit("webhook", "after", 7, 9_000, &[b'x'; 30_000]) == 202
    });
    wait_until("the new one is delivered", || {
        endpoint.count_of("after") == 1
    });
}

#[test]
fn sigterm_drains_with_an_answer_for_every_client() {
    // guards against connections that end with a request on them, and against an exit with calls out
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
        "connections come for a while"
    );
    assert_eq!(node.readiness_status(), 503);
    wait_until("all are delivered", || {
        ["m1", "m2", "m3"]
            .iter()
            .all(|id| endpoint.count_of(id) == 1)
    });
    let status = node.process.wait().expect("it ends");
    assert!(
        status.success() && began.elapsed() < Duration::from_millis(3700),
        "{status} {:?}",
        began.elapsed()
    );
    let node = node.restart();
    wait_until("it is told", || node.logged("0 unfinished messages"));
}

#[test]
fn near_the_end_of_a_drain_no_call_starts_that_would_be_cut_off() {
    let endpoint = Endpoint::new(|_, _| OK);
    let agent = agent_with_one_endpoint(&endpoint);
    let node = Node::new(&agent).ready();
    node.terminate();
    wait_until("draining", || node.logged("draining"));
    std::thread::sleep(Duration::from_millis(2450)); // into the last second, which an unknown latency needs
    assert_eq!(node.submit("order", "m1", 7, 20_000, b"x"), 202);
    let mut node = node;
    assert!(node.process.wait().expect("it ends").success());
    assert_eq!(endpoint.count(), 0);
    let _node = node.restart();
    wait_until("the next life sends it", || endpoint.count_of("m1") == 1);
}

#[test]
fn a_draining_endpoint_gets_nothing_new_and_bad_lines_are_skipped() {
    let (old, new) = (Endpoint::new(|_, _| OK), Endpoint::new(|_, _| OK));
    let agent = Agent::new(vec![
        list(&[("s-1", old.address, "one", 7, "up"), ("s-2", new.address, "one", 7, "up")]),
        "{not json".to_string(),
        r#"{"rev":8,"all":false,"targets":[{"uid":5},{"uid":"s-3","endpoint":"nowhere","pod_group":7,"state":"up"}]}"#
            .to_string(),
        list(&[("s-1", old.address, "one", 7, "draining")]).replace("true", "false"),
    ]);
    let node = Node::new(&agent).ready();
    wait_until("both lines are skipped", || {
        node.logged("text skipped") && node.logged("entry skipped")
    });
    for n in 0..6 {
        let id = format!("m{n}");
        assert_eq!(node.submit("webhook", &id, 7, 20_000, b"x"), 202);
        wait_until("delivered", || new.count_of(&id) + old.count_of(&id) > 0);
    }
    assert!(
        new.count() >= 5,
        "the change may come after the first message: {}",
        new.count()
    );
}

#[test]
fn a_silent_watch_is_left_for_a_new_one() {
    let endpoint = Endpoint::new(|_, _| OK);
    let agent = Agent::new(Vec::new());
    let node = Node::new(&agent);
    wait_until("a watch", || agent.watches.load(Ordering::SeqCst) > 0);
    let began = Instant::now();
    assert_eq!(node.readiness_status(), 503, "no list is known");
    assert_eq!(node.submit("webhook", "early", 7, 20_000, b"x"), 503);
    *agent.lines.lock().expect("not poisoned") =
        vec![list(&[("s-1", endpoint.address, "one", 7, "up")])];
    let node = node.ready();
    // what was missed counts as told after 6 s
    assert!(
        began.elapsed() < Duration::from_secs(5),
        "{:?}",
        began.elapsed()
    );
    assert_eq!(node.submit("webhook", "m1", 7, 20_000, b"x"), 202);
    wait_until("delivered", || endpoint.count_of("m1") == 1);
}

#[test]
fn sighup_moves_discovery_and_ends_nothing() {
    let (old, new) = (Endpoint::new(|_, _| OK), Endpoint::new(|_, _| OK));
    let (before, after) = (
        agent_with_one_endpoint(&old),
        Agent::new(vec![list(&[("s-2", new.address, "one", 8, "up")])]),
    );
    let node = Node::new(&before).ready();
    node.move_discovery(&after);
    wait_until("the watch moves", || {
        after.watches.load(Ordering::SeqCst) > 0
    });
    assert_eq!(node.submit("webhook", "m1", 8, 20_000, b"x"), 202);
    wait_until("delivered by the new list", || new.count_of("m1") == 1);
    assert_eq!(node.submit("webhook", "m2", 9, 100, b"x"), 202);
    wait_until("its notice comes to the new address", || {
        after.notices().iter().any(|line| line.contains("m2"))
    });
    assert!(before.notices().is_empty());
    // a file that can't be read changes nothing
    std::fs::write(node.folder.join("config.json"), "{").expect("written");
    node.hang_up();
    wait_until("it is told", || node.logged("configuration left as it was"));
    assert_eq!(node.submit("webhook", "m3", 8, 20_000, b"x"), 202);
    wait_until("delivered all the same", || new.count_of("m3") == 1);
}

#[test]
fn a_log_that_nobody_reads_does_not_end_the_sender() {
    // guards against eprintln, which panics when its pipe is gone
    let endpoint = Endpoint::new(|_, _| Reply::Response("418 Teapot", String::new()));
    let agent = agent_with_one_endpoint(&endpoint);
    let mut node = Node::new(&agent).ready();
    node.close_log();
    assert_eq!(node.submit("order", "m1", 7, 20_000, b"x"), 202);
    wait_until("its notice", || agent.notices().contains(&failed("m1")));
    wait_until("the last line that is read", || node.logged("418"));
    node.terminate(); // which logs two lines more
    assert!(node.process.wait().expect("it ends").success());
}

#[test]
fn a_client_that_leaves_before_its_answer_is_no_client() {
    let endpoint = Endpoint::new(|_, _| OK);
    let node = Node::new(&agent_with_one_endpoint(&endpoint)).ready();
    let text = message("webhook", "m1", 7, 20_000, b"12345");
    let mut stream = std::net::TcpStream::connect(node.address).expect("accepts");
    stream.write_all(&text[..text.len() - 2]).expect("written");
    drop(stream);
    assert_eq!(node.submit("webhook", "m2", 7, 20_000, b"x"), 202);
    wait_until("the other is delivered", || endpoint.count_of("m2") == 1);
    assert_eq!(endpoint.count_of("m1"), 0);
}

#[test]
fn a_bad_configuration_is_one_line_and_no_success() {
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
