//! What operators do to the real sender from day to day, over loopback sockets.

mod node;

use node::*;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

fn two(first: &Endpoint, second: &Endpoint) -> Agent {
    Agent::new(vec![list(&[
        ("s-1", first.address, "one", 7, "up"),
        ("s-2", second.address, "one", 7, "up"),
    ])])
}

#[test]
fn operator_is_answered_beside_callers_with_incomplete_requests() {
    let endpoint = Endpoint::new(|_, _| OK);
    let node = Node::new(&two(&endpoint, &endpoint)).ready();
    let parts = [
        "",
        "GET /rea",
        "POST /endpoints/disable HTTP/1.1\r\nHost: a\r\nContent-Length: 30\r\n\r\n{",
    ];
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
    assert!(
        began.elapsed() < Duration::from_millis(1900),
        "{:?}",
        began.elapsed()
    );
    drop(held);
}

#[test]
fn invalid_admin_request_is_rejected() {
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
        assert_eq!(node.operate(call, body), status, "{call} {body}");
    }
    // clients' paths are not answered here, nor operators' ones there
    let text = String::from_utf8(message("webhook", "m1", 7, 20_000, b"x")).expect("text");
    assert_eq!(
        Client::to(node.control)
            .send(text.as_bytes())
            .expect("answered")
            .0,
        404
    );
    assert_eq!(
        node.raw(b"POST /endpoints/disable HTTP/1.1\r\nHost: a\r\n\r\n")
            .0,
        404
    );
    assert_eq!(endpoint.count(), 0);
}

#[test]
fn disabled_endpoint_gets_no_calls_until_enabled_over_lists_and_restart() {
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
    assert_eq!(
        (node.order("disable", "s-1"), node.order("disable", "s-1")),
        (200, 200)
    );
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
fn handover_keeps_calls_keys_ids_disabled_endpoints_and_connections() {
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
    wait_until("its end is known", || {
        old.hand_in("webhook", "done", 7, 20_000, b"x") == 200
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
    wait_until("a call is out", || endpoint.times("held") == 1);
    charge(&old, "next");
    assert_eq!(old.order("disable", "s-3"), 200);
    assert_eq!(old.hand_in("webhook", "kept", 9, 20_000, b"x"), 202);
    let new = old.successor();
    wait_until("it is handed over", || {
        new.logged("taken over") && old.logged("handed over")
    });
    wait_until("ready", || new.operate("GET /ready", "") == 200);
    assert_eq!(old.operate("GET /ready", ""), 503);
    // what still comes to the old process is answered by what the new one knows
    let (status, answer) = client
        .send(&message("webhook", "crossing", 8, 20_000, b"x"))
        .expect("answered");
    assert_eq!((status, answer.header("connection")), (202, "close"));
    wait_until("it is delivered", || endpoint.times("crossing") == 1);
    assert_eq!(
        new.hand_in("webhook", "done", 7, 20_000, b"x"),
        200,
        "delivered ids are remembered"
    );
    charge(&new, "last");
    assert_eq!(
        endpoint.times("next") + endpoint.times("kept"),
        0,
        "the key's call is out, the endpoint too"
    );
    old.terminate();
    wait_until("draining", || old.logged("draining"));
    assert_eq!(
        endpoint.times("next"),
        0,
        "the call still runs in the old process"
    );
    *gate.lock().expect("not poisoned") = true;
    wait_until("the key goes on", || {
        endpoint.times("next") == 1 && endpoint.times("last") == 1
    });
    assert!(old.process.wait().expect("it ends").success());
    assert_eq!(new.order("enable", "s-3"), 200);
    wait_until("what waited for the endpoint goes", || {
        endpoint.times("kept") == 1
    });
    let ids = ["done", "first", "held", "next", "kept", "crossing", "last"];
    // an endpoint sees a call before the sender sees its answer
    wait_until("every end is known", || {
        let last = new.raw(&about("a", "charge", "last", 7, 20_000)).0;
        let others = [("crossing", 8), ("kept", 9)];
        last == 200
            && others
                .iter()
                .all(|&(id, dest)| new.hand_in("webhook", id, dest, 20_000, b"x") == 200)
    });
    assert!(ids.iter().all(|id| endpoint.times(id) == 1), "each once");
    let new = new.restart().ready();
    wait_until("it is told", || new.logged("0 unfinished messages"));
}

#[test]
fn calls_of_killed_predecessor_may_have_run() {
    let (endpoint, _gate) = gated("held");
    let agent = Agent::new(vec![list(&[("s-1", endpoint.address, "one", 7, "up")])]);
    let mut old = Node::on_a_passed_socket(&agent).ready();
    assert_eq!(old.hand_in("order", "held-once", 7, 20_000, b"x"), 202);
    assert_eq!(old.hand_in("webhook", "held-keyed", 7, 20_000, b"x"), 202);
    wait_until("both are out", || {
        endpoint.times("held-once") == 1 && endpoint.times("held-keyed") == 1
    });
    let new = old.successor().ready();
    assert_eq!(
        (endpoint.times("held-once"), endpoint.times("held-keyed")),
        (1, 1)
    );
    old.kill();
    wait_until("the keyed one goes again", || {
        endpoint.times("held-keyed") == 2
    });
    wait_until("the other one fails", || {
        agent
            .notices()
            .contains(&r#"{"id":"held-once","state":"failed"}"#.to_string())
    });
    assert_eq!(endpoint.times("held-once"), 1);
    wait_until("it is told", || {
        new.logged("the predecessor has ended, 2 calls with it")
    });
}

#[test]
fn predecessor_continues_after_failed_handover() {
    let endpoint = Endpoint::new(|_, _| OK);
    let agent = two(&endpoint, &endpoint);
    let old = Node::on_a_passed_socket(&agent).ready();
    // one that asks, is told all, and is gone before it owns anything
    let mut asks = std::os::unix::net::UnixStream::connect(old.folder.join("state/upgrade.sock"))
        .expect("it waits");
    asks.write_all(&[2, 0, 0, 0, 0, 10]).expect("written");
    let mut length = [0; 4];
    std::io::Read::read_exact(&mut asks, &mut length).expect("it hands over");
    drop(asks);
    wait_until("it takes all back", || old.logged("this process continues"));
    assert_eq!(old.hand_in("webhook", "m1", 7, 20_000, b"x"), 202);
    wait_until("delivered", || endpoint.times("m1") == 1);
    assert_eq!(old.operate("GET /ready", ""), 200);
    // and hands over to one that stays
    let new = old.successor().ready();
    assert_eq!(new.hand_in("webhook", "m1", 7, 20_000, b"x"), 200);
}

#[test]
fn successor_of_other_version_gets_only_the_journal() {
    let (endpoint, gate) = gated("held");
    let agent = two(&endpoint, &endpoint);
    let mut old = Node::on_a_passed_socket(&agent).ready();
    assert_eq!(old.hand_in("webhook", "held", 7, 20_000, b"x"), 202);
    wait_until("it is out", || endpoint.times("held") == 1);
    let mut asks = std::os::unix::net::UnixStream::connect(old.folder.join("state/upgrade.sock"))
        .expect("it waits");
    asks.write_all(&[2, 0, 0, 0, 0, 99]).expect("written");
    wait_until("it ends", || {
        old.process.try_wait().expect("asked").is_some()
    });
    *gate.lock().expect("not poisoned") = true;
    let new = old.successor().ready();
    wait_until("it is told", || new.logged("1 unfinished messages"));
    wait_until("it goes again", || endpoint.times("held") == 2);
}

/// The configuration with a part replaced.
fn changed(node: &Node, from: &str, to: &str) -> String {
    let text = std::fs::read_to_string(node.folder.join("config.json")).expect("the configuration");
    assert!(text.contains(from), "{from}");
    text.replace(from, to)
}

fn bring(node: &Node, text: &str) {
    std::fs::write(node.folder.join("config.json"), text).expect("written");
    node.hang_up();
}

#[test]
fn new_settings_apply_to_new_messages_only_also_over_restart() {
    // each first call fails: what may be repeated goes again, what may not fails
    let endpoint = Endpoint::new({
        let seen: Mutex<Vec<String>> = Mutex::default();
        move |request, _| {
            let (id, mut seen) = (request.ids().remove(0), seen.lock().expect("not poisoned"));
            if seen.contains(&id) {
                return OK;
            }
            seen.push(id);
            Reply::Answer("500 Oops", String::new())
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
    // the endpoints are out, so that all is still open when the settings change
    uids.iter()
        .for_each(|uid| assert_eq!(node.order("disable", uid), 200));
    assert_eq!(node.hand_in("webhook", "old-a", 1, 20_000, b"x"), 202);
    assert_eq!(node.hand_in("order", "old-b", 2, 20_000, b"x"), 202);
    // the effects change places, one class comes and one goes
    let text = changed(
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
    bring(&node, &text);
    wait_until("the new class is known", || {
        node.hand_in("charge-ii", "new-c", 3, 20_000, b"x") == 202
    });
    assert_eq!(node.hand_in("charge", "gone", 7, 20_000, b"x"), 400);
    assert_eq!(node.hand_in("webhook", "new-a", 4, 20_000, b"x"), 202);
    assert_eq!(node.hand_in("order", "new-b", 5, 20_000, b"x"), 202);
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
    assert_eq!(node.order("enable", "s-2"), 200);
    wait_until("an open one keeps its effect", || failed("old-b"));
    // discovery sees a notice before the sender sees that it was taken
    wait_until("put back, sent, ended and over are written", || {
        records() == before + 4
    });
    let node = node.restart().ready();
    wait_until("it is told", || node.logged("4 unfinished messages"));
    uids.iter()
        .for_each(|uid| assert_eq!(node.order("enable", uid), 200));
    wait_until("what may not be repeated fails", || {
        failed("new-a") && failed("new-c")
    });
    wait_until("what may be goes again", || {
        endpoint.times("old-a") == 2 && endpoint.times("new-b") == 2
    });
    assert!(
        ["old-b", "new-a", "new-c"]
            .iter()
            .all(|id| endpoint.times(id) == 1)
    );
}

#[test]
fn broken_configuration_changes_nothing_and_start_uses_last_good_one() {
    let endpoint = Endpoint::new(|_, _| OK);
    let (agent, elsewhere) = (two(&endpoint, &endpoint), Agent::new(Vec::new()));
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
        bring(&node, text);
        wait_until("it is told why", || {
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
    assert_eq!(node.hand_in("webhook-x", "m1", 7, 20_000, b"x"), 400);
    assert_eq!(node.hand_in("webhook", "m1", 7, 20_000, b"x"), 202);
    wait_until("delivered", || endpoint.times("m1") == 1);
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
    let agent = two(&endpoint, &endpoint);
    let mut node = Node::new(&agent).ready();
    node.kill();
    let socket = node.journal().with_file_name("upgrade.sock");
    let _ = std::fs::remove_file(&socket);
    // what is no socket and can't be removed as a file stands where it belongs
    std::fs::create_dir(&socket).expect("a folder in its place");
    let node = node.restart().ready();
    wait_until("one line tells what is off", || {
        node.logged("handover: off, the socket is not available")
    });
    assert_eq!(node.hand_in("webhook", "m1", 7, 20_000, b"x"), 202);
    wait_until("delivered", || endpoint.times("m1") == 1);
}

#[test]
fn sender_serves_without_operators_address_and_passed_socket() {
    let endpoint = Endpoint::new(|_, _| OK);
    let agent = two(&endpoint, &endpoint);
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let other = Node::new(&agent);
    let config = other.journal().with_file_name("../config.json");
    let folder = fresh_folder();
    std::fs::copy(config, folder.join("config.json")).expect("copied");
    let mut process = command(&folder)
        .env("RELAY_DISCOVERY", agent.address.to_string())
        .env(
            "RELAY_CONTROL",
            taken.local_addr().expect("bound").to_string(),
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
    for off in ["operators off", "passed socket 999: off"] {
        assert_eq!(
            log.iter().filter(|line| line.contains(off)).count(),
            1,
            "{off}: {log:?}"
        );
    }
}
