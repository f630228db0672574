//! Tests of operators' actions on a real sender process: disabling endpoints, handovers, new settings and faulty
//! starts.

mod node;

use node::*;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Starts a stand-in for discovery that lists two endpoints of destination 7.
fn agent_with_two_endpoints(first: &Endpoint, second: &Endpoint) -> Agent {
    Agent::new(vec![list(&[
        ("s-1", first.address, "one", 7, "up"),
        ("s-2", second.address, "one", 7, "up"),
    ])])
}

#[test]
fn operator_is_answered_beside_callers_with_incomplete_requests() {
    let endpoint = Endpoint::new(|_, _| OK);
    let node = Node::new(&agent_with_two_endpoints(&endpoint, &endpoint)).ready();
    let parts = [
        "",
        "GET /rea",
        "POST /endpoints/disable HTTP/1.1\r\nHost: a\r\nContent-Length: 30\r\n\r\n{",
    ];
    let incomplete_requests: Vec<TcpStream> = (0..90)
        .map(|n| {
            let mut stream = TcpStream::connect(node.control).expect("accepts");
            stream.write_all(parts[n % 3].as_bytes()).expect("written");
            stream
        })
        .collect();
    // the sender closes connections with incomplete requests only after a timeout of 2 s, so a faster response does not
    // wait for them
    let started_at = Instant::now();
    assert_eq!(node.operator_status("GET /ready", ""), 200);
    assert_eq!(node.admin_command("disable", "s-1"), 200);
    assert!(
        started_at.elapsed() < Duration::from_millis(1900),
        "{:?}",
        started_at.elapsed()
    );
    drop(incomplete_requests);
}

#[test]
fn invalid_admin_request_is_rejected() {
    let endpoint = Endpoint::new(|_, _| OK);
    let node = Node::new(&agent_with_two_endpoints(&endpoint, &endpoint)).ready();
    for (call, body, status) in [
        ("GET /endpoints/disable", r#"{"target":"s-1"}"#, 405),
        ("POST /ready", "", 405),
        ("GET /", "", 404),
        ("POST /endpoints/remove", r#"{"target":"s-1"}"#, 404),
        ("POST /endpoints/disable", "", 400),
        ("POST /endpoints/disable", "s-1", 400),
        ("POST /endpoints/disable", r#"{"target":7}"#, 400),
        (
            "POST /endpoints/disable",
            r#"{"target":"s-1","for":"ever"}"#,
            400,
        ),
        ("POST /endpoints/disable", r#"{"target":"s-9"}"#, 404),
        ("POST /endpoints/enable", r#"{"target":"s-9"}"#, 404),
        ("POST /endpoints/enable", r#"{"target":"s-1"}"#, 200),
        ("GET /ready", "", 200),
    ] {
        assert_eq!(node.operator_status(call, body), status, "{call} {body}");
    }
    // the control address serves no clients' paths, and the clients' address no operators' paths
    let text = String::from_utf8(message("webhook", "m1", 7, 20_000, b"x")).expect("text");
    assert_eq!(
        Client::to(node.control)
            .send(text.as_bytes())
            .expect("answered")
            .0,
        404
    );
    assert_eq!(
        node.send_bytes(b"POST /endpoints/disable HTTP/1.1\r\nHost: a\r\n\r\n")
            .0,
        404
    );
    assert_eq!(endpoint.count(), 0);
}

#[test]
fn disabled_endpoint_gets_no_calls_until_enabled_over_lists_and_restart() {
    let (first, second) = (Endpoint::new(|_, _| OK), Endpoint::new(|_, _| OK));
    let agent = agent_with_two_endpoints(&first, &second);
    let node = Node::new(&agent).ready();
    let sends = |node: &Node, prefix: &str| {
        for n in 0..8 {
            let id = format!("{prefix}{n}");
            assert_eq!(node.submit("webhook", &id, 7, 20_000, b"x"), 202);
            wait_until("delivered", || {
                first.count_of(&id) + second.count_of(&id) > 0
            });
        }
    };
    assert_eq!(
        (
            node.admin_command("disable", "s-1"),
            node.admin_command("disable", "s-1")
        ),
        (200, 200)
    );
    sends(&node, "out");
    assert_eq!(first.count(), 0);
    // the next process reads the command from the journal, and gets the endpoint from a new list
    let node = node.restart().ready();
    sends(&node, "still");
    assert_eq!(first.count(), 0);
    assert_eq!(node.admin_command("enable", "s-1"), 200);
    assert_eq!(node.admin_command("disable", "s-2"), 200);
    assert_eq!(node.submit("webhook", "back", 7, 20_000, b"x"), 202);
    wait_until("the enabled endpoint is used", || {
        first.count_of("back") == 1
    });
    let node = node.restart().ready();
    assert_eq!(node.submit("webhook", "again", 7, 20_000, b"x"), 202);
    wait_until("the endpoint stays enabled", || {
        first.count_of("again") == 1
    });
}

/// Starts an endpoint that holds back its response to messages whose id has the prefix until the returned gate is set
/// to true. It answers all other messages at once.
fn endpoint_with_gate(prefix: &'static str) -> (Endpoint, Arc<Mutex<bool>>) {
    let gate: Arc<Mutex<bool>> = Arc::default();
    let gate_open = gate.clone();
    let endpoint = Endpoint::new(move |request, _| {
        if request.ids()[0].starts_with(prefix) {
            wait_until("the gate opens", || {
                *gate_open.lock().expect("not poisoned")
            });
        }
        OK
    });
    (endpoint, gate)
}

#[test]
fn handover_keeps_calls_keys_ids_disabled_endpoints_and_connections() {
    let (endpoint, gate) = endpoint_with_gate("held");
    let agent = Agent::new(vec![list(&[
        ("s-1", endpoint.address, "one", 7, "up"),
        ("s-2", endpoint.address, "one", 8, "up"),
        ("s-3", endpoint.address, "one", 9, "up"),
    ])]);
    let mut old = Node::with_passed_socket(&agent).ready();
    let charge = |node: &Node, id: &str| {
        assert_eq!(
            node.send_bytes(&message_with_subject("a", "charge", id, 7, 20_000))
                .0,
            202
        );
    };
    assert_eq!(old.submit("webhook", "done", 7, 20_000, b"x"), 202);
    wait_until("the message is delivered", || {
        old.submit("webhook", "done", 7, 20_000, b"x") == 200
    });
    let mut client = Client::new(&old);
    assert_eq!(
        client
            .send(&message("webhook", "first", 8, 20_000, b"x"))
            .expect("answered")
            .0,
        202
    );
    charge(&old, "held");
    wait_until("the call is in flight", || endpoint.count_of("held") == 1);
    charge(&old, "next");
    assert_eq!(old.admin_command("disable", "s-3"), 200);
    assert_eq!(old.submit("webhook", "kept", 9, 20_000, b"x"), 202);
    let new = old.successor();
    wait_until("the handover is complete", || {
        new.logged("taken over") && old.logged("handed over")
    });
    wait_until("ready", || new.operator_status("GET /ready", "") == 200);
    assert_eq!(old.operator_status("GET /ready", ""), 503);
    // the old process forwards new messages to the new one and returns the answers of the new one
    let (status, answer) = client
        .send(&message("webhook", "crossing", 8, 20_000, b"x"))
        .expect("answered");
    assert_eq!((status, answer.header("connection")), (202, "close"));
    wait_until("the message is sent", || endpoint.count_of("crossing") == 1);
    assert_eq!(
        new.submit("webhook", "done", 7, 20_000, b"x"),
        200,
        "delivered ids are remembered"
    );
    charge(&new, "last");
    assert_eq!(
        endpoint.count_of("next") + endpoint.count_of("kept"),
        0,
        "the key's call is in flight, and the other endpoint is disabled"
    );
    old.terminate();
    wait_until("draining", || old.logged("draining"));
    assert_eq!(
        endpoint.count_of("next"),
        0,
        "the call still runs in the old process"
    );
    *gate.lock().expect("not poisoned") = true;
    wait_until("the next messages of the key are sent", || {
        endpoint.count_of("next") == 1 && endpoint.count_of("last") == 1
    });
    assert!(old.process.wait().expect("process has ended").success());
    assert_eq!(new.admin_command("enable", "s-3"), 200);
    wait_until("the message that waited for the endpoint is sent", || {
        endpoint.count_of("kept") == 1
    });
    let ids = ["done", "first", "held", "next", "kept", "crossing", "last"];
    // an endpoint receives a call before the sender receives the response, so the outcomes may not be known yet
    wait_until("all messages are delivered", || {
        let last = new
            .send_bytes(&message_with_subject("a", "charge", "last", 7, 20_000))
            .0;
        let others = [("crossing", 8), ("kept", 9)];
        last == 200
            && others
                .iter()
                .all(|&(id, dest)| new.submit("webhook", id, dest, 20_000, b"x") == 200)
    });
    assert!(ids.iter().all(|id| endpoint.count_of(id) == 1), "each once");
    let new = new.restart().ready();
    wait_until("the line is logged", || new.logged("0 unfinished messages"));
}

#[test]
fn calls_of_killed_predecessor_may_have_run() {
    let (endpoint, _gate) = endpoint_with_gate("held");
    let agent = Agent::new(vec![list(&[("s-1", endpoint.address, "one", 7, "up")])]);
    let mut old = Node::with_passed_socket(&agent).ready();
    assert_eq!(old.submit("order", "held-once", 7, 20_000, b"x"), 202);
    assert_eq!(old.submit("webhook", "held-keyed", 7, 20_000, b"x"), 202);
    wait_until("both calls are in flight", || {
        endpoint.count_of("held-once") == 1 && endpoint.count_of("held-keyed") == 1
    });
    let new = old.successor().ready();
    assert_eq!(
        (
            endpoint.count_of("held-once"),
            endpoint.count_of("held-keyed")
        ),
        (1, 1)
    );
    old.kill();
    wait_until("the message with a key is sent again", || {
        endpoint.count_of("held-keyed") == 2
    });
    wait_until("the message without a key fails", || {
        agent
            .notices()
            .contains(&r#"{"id":"held-once","state":"failed"}"#.to_string())
    });
    assert_eq!(endpoint.count_of("held-once"), 1);
    wait_until("the line is logged", || {
        new.logged("the predecessor has ended, 2 calls with it")
    });
}

#[test]
fn predecessor_continues_after_failed_handover() {
    let endpoint = Endpoint::new(|_, _| OK);
    let agent = agent_with_two_endpoints(&endpoint, &endpoint);
    let old = Node::with_passed_socket(&agent).ready();
    // a successor that requests the state, receives it, and disconnects before it confirms the takeover
    let mut successor =
        std::os::unix::net::UnixStream::connect(old.folder.join("state/upgrade.sock"))
            .expect("predecessor listens");
    successor.write_all(&[2, 0, 0, 0, 0, 10]).expect("written");
    let mut length = [0; 4];
    std::io::Read::read_exact(&mut successor, &mut length).expect("state is sent");
    drop(successor);
    wait_until("the predecessor continues", || {
        old.logged("this process continues")
    });
    assert_eq!(old.submit("webhook", "m1", 7, 20_000, b"x"), 202);
    wait_until("delivered", || endpoint.count_of("m1") == 1);
    assert_eq!(old.operator_status("GET /ready", ""), 200);
    // a later handover to a successor that stays succeeds
    let new = old.successor().ready();
    assert_eq!(new.submit("webhook", "m1", 7, 20_000, b"x"), 200);
}

#[test]
fn successor_of_other_version_gets_only_the_journal() {
    let (endpoint, gate) = endpoint_with_gate("held");
    let agent = agent_with_two_endpoints(&endpoint, &endpoint);
    let mut old = Node::with_passed_socket(&agent).ready();
    assert_eq!(old.submit("webhook", "held", 7, 20_000, b"x"), 202);
    wait_until("the call is in flight", || endpoint.count_of("held") == 1);
    let mut successor =
        std::os::unix::net::UnixStream::connect(old.folder.join("state/upgrade.sock"))
            .expect("predecessor listens");
    successor.write_all(&[2, 0, 0, 0, 0, 99]).expect("written");
    wait_until("the predecessor has ended", || {
        old.process.try_wait().expect("asked").is_some()
    });
    *gate.lock().expect("not poisoned") = true;
    let new = old.successor().ready();
    wait_until("the line is logged", || new.logged("1 unfinished messages"));
    wait_until("the message is sent again", || {
        endpoint.count_of("held") == 2
    });
}

/// Returns the text of the sender's configuration with `from` replaced by `to`.
fn config_with(node: &Node, from: &str, to: &str) -> String {
    let text = std::fs::read_to_string(node.folder.join("config.json")).expect("the configuration");
    assert!(text.contains(from), "{from}");
    text.replace(from, to)
}

/// Writes a new configuration and sends SIGHUP to the process.
fn reload(node: &Node, text: &str) {
    std::fs::write(node.folder.join("config.json"), text).expect("written");
    node.hang_up();
}

#[test]
fn new_settings_apply_to_new_messages_only_also_over_restart() {
    // the first call with each message fails: only messages that may be repeated are sent again
    let endpoint = Endpoint::new({
        let seen: Mutex<Vec<String>> = Mutex::default();
        move |request, _| {
            let (id, mut seen) = (request.ids().remove(0), seen.lock().expect("not poisoned"));
            if seen.contains(&id) {
                return OK;
            }
            seen.push(id);
            Reply::Response("500 Oops", String::new())
        }
    });
    let uids = ["s-1", "s-2", "s-3", "s-4", "s-5"];
    let entries: Vec<_> = uids
        .iter()
        .zip(1..)
        .map(|(&uid, dest)| (uid, endpoint.address, "one", dest, "up"))
        .collect();
    let agent = Agent::new(vec![list(&entries)]);
    let node = Node::new(&agent).ready();
    // all endpoints are disabled, so that the messages are still pending when the settings change
    uids.iter()
        .for_each(|uid| assert_eq!(node.admin_command("disable", uid), 200));
    assert_eq!(node.submit("webhook", "old-a", 1, 20_000, b"x"), 202);
    assert_eq!(node.submit("order", "old-b", 2, 20_000, b"x"), 202);
    // the new settings swap the effects of two classes, add one class and remove one
    let text = config_with(
        &node,
        r#""effect":"deduplicated","group":"all","window":12.0"#,
        r#""effect":"EFFECT""#,
    )
    .replace(
        r#""name":"order","aim":4.0,"deadline":20.0,"effect":"at_most_once""#,
        r#""name":"order","aim":4.0,"deadline":20.0,"effect":"idempotent""#,
    )
    .replace("EFFECT", "at_most_once")
    .replace(r#""name":"charge""#, r#""name":"charge-ii""#);
    reload(&node, &text);
    wait_until("the new class is accepted", || {
        node.submit("charge-ii", "new-c", 3, 20_000, b"x") == 202
    });
    wait_until("the new terms hold alone", || {
        node.logged("classes: earlier terms have ended")
    });
    assert_eq!(node.submit("charge", "gone", 7, 20_000, b"x"), 400);
    assert_eq!(node.submit("webhook", "new-a", 4, 20_000, b"x"), 202);
    assert_eq!(node.submit("order", "new-b", 5, 20_000, b"x"), 202);
    let failed = |id: &str| {
        agent
            .notices()
            .contains(&format!(r#"{{"id":"{id}","state":"failed"}}"#))
    };
    let records = || {
        let journal = std::fs::read(node.journal()).expect("the journal");
        journal.windows(4).filter(|mark| mark == b"MTJ1").count()
    };
    let before = records();
    assert_eq!(node.admin_command("enable", "s-2"), 200);
    wait_until("a pending message keeps its effect", || failed("old-b"));
    // the platform receives a notification before the sender receives its acceptance
    wait_until(
        "the records for enabled, started, undelivered and completed are written",
        || records() == before + 4,
    );
    let node = node.restart().ready();
    wait_until("the line is logged", || {
        node.logged("4 unfinished messages")
    });
    uids.iter()
        .for_each(|uid| assert_eq!(node.admin_command("enable", uid), 200));
    wait_until("messages that may not be repeated fail", || {
        failed("new-a") && failed("new-c")
    });
    wait_until("messages that may be repeated are sent again", || {
        endpoint.count_of("old-a") == 2 && endpoint.count_of("new-b") == 2
    });
    assert!(
        ["old-b", "new-a", "new-c"]
            .iter()
            .all(|id| endpoint.count_of(id) == 1)
    );
}

#[test]
fn broken_configuration_changes_nothing_and_start_uses_last_good_one() {
    let endpoint = Endpoint::new(|_, _| OK);
    let (agent, elsewhere) = (
        agent_with_two_endpoints(&endpoint, &endpoint),
        Agent::new(Vec::new()),
    );
    let node = Node::new(&agent).ready();
    let good = std::fs::read_to_string(node.folder.join("config.json")).expect("the configuration");
    let moved = good
        .replace(&agent.address.to_string(), &elsewhere.address.to_string())
        .replace("webhook", "webhook-x");
    let broken = [
        String::new(),
        moved[..moved.len() - 1].to_string(),
        moved.replace(r#""mostTries":12"#, r#""mostTries":0"#),
        moved.replace(r#""mostTries":12"#, r#""mostTries":2.5"#),
        moved.replace(r#""mostTries":12"#, r#""mostTries":"12""#),
        moved.replace(r#""mostTries":12,"#, ""),
        moved.replacen(r#""deadline":20.0"#, r#""deadline":0"#, 1),
        moved.replacen(r#""deadline":20.0"#, r#""deadline":-20.0"#, 1),
        moved.replacen(r#""deadline":20.0"#, r#""deadline":null"#, 1),
        moved.replacen(r#""deadline":20.0,"#, "", 1),
        moved.replacen(r#""aim":4.0,"#, "", 1),
        moved.replace(r#""overShareWorth":0.1,"#, ""),
        moved.replace(r#""limits""#, r#""limit""#),
        moved.replace(r#""classes""#, r#""class""#),
    ];
    for (number, text) in broken.iter().enumerate() {
        reload(&node, text);
        wait_until("the error is logged", || {
            let log = node.log.lock().expect("not poisoned");
            log.iter()
                .filter(|line| line.contains("configuration left as it was"))
                .count()
                > number
        });
    }
    assert_eq!(
        elsewhere.watches.load(std::sync::atomic::Ordering::SeqCst),
        0,
        "discovery has not moved"
    );
    assert_eq!(node.submit("webhook-x", "m1", 7, 20_000, b"x"), 400);
    assert_eq!(node.submit("webhook", "m1", 7, 20_000, b"x"), 202);
    wait_until("delivered", || endpoint.count_of("m1") == 1);
    let mut node = node;
    node.kill();
    let mut process = command(&node.folder).spawn().expect("it starts");
    let errors = BufReader::new(process.stderr.take().expect("piped"));
    let lines: Vec<String> = errors
        .lines()
        .map_while(Result::ok)
        .take_while(|line| !line.contains("listening on"))
        .collect();
    assert!(
        lines
            .iter()
            .any(|line| line.contains("using the last valid one")),
        "{lines:?}"
    );
    process.kill().expect("it listens");
    process.wait().expect("ended");
}

#[test]
fn sender_serves_without_handover_socket() {
    let endpoint = Endpoint::new(|_, _| OK);
    let agent = agent_with_two_endpoints(&endpoint, &endpoint);
    let mut node = Node::new(&agent).ready();
    node.kill();
    let socket = node.journal().with_file_name("upgrade.sock");
    let _ = std::fs::remove_file(&socket);
    // Puts a folder at the path of the handover socket. The sender removes only a file there, so it can't bind the
    // socket.
    std::fs::create_dir(&socket).expect("a folder in its place");
    let node = node.restart().ready();
    wait_until("the missing socket is logged", || {
        node.logged("handover: unavailable, the local socket can't be bound")
    });
    assert_eq!(node.submit("webhook", "m1", 7, 20_000, b"x"), 202);
    wait_until("delivered", || endpoint.count_of("m1") == 1);
}

#[test]
fn sender_serves_without_operators_address_and_passed_socket() {
    let endpoint = Endpoint::new(|_, _| OK);
    let agent = agent_with_two_endpoints(&endpoint, &endpoint);
    let occupied = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let other = Node::new(&agent);
    let config = other.journal().with_file_name("../config.json");
    let folder = fresh_folder();
    std::fs::copy(config, folder.join("config.json")).expect("copied");
    let mut process = command(&folder)
        .env("RELAY_DISCOVERY", agent.address.to_string())
        .env(
            "RELAY_CONTROL",
            occupied.local_addr().expect("bound").to_string(),
        )
        .env("RELAY_PASSED_SOCKET", "999")
        .spawn()
        .expect("the sender starts");
    let mut lines = BufReader::new(process.stderr.take().expect("piped"))
        .lines()
        .map_while(Result::ok);
    let mut log: Vec<String> = Vec::new();
    let address = lines.by_ref().find_map(|line| {
        let address = line
            .split_once("listening on ")
            .and_then(|(_, address)| address.trim().parse().ok());
        log.push(line);
        address
    });
    let answer = address.map(|address| {
        wait_until("ready", || {
            let got = Client::to(address).send(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n");
            got.is_some_and(|(status, _)| status == 200)
        });
        Client::to(address)
            .send(&message("webhook", "m1", 7, 20_000, b"x"))
            .map(|(status, _)| status)
    });
    let _ = process.kill();
    let _ = process.wait();
    assert_eq!(answer.flatten(), Some(202), "{log:?}");
    for line_part in ["control API unavailable", "passed socket 999: unusable"] {
        assert_eq!(
            log.iter().filter(|line| line.contains(line_part)).count(),
            1,
            "{line_part}: {log:?}"
        );
    }
}
