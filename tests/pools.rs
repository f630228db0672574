//! Tests of the real sender's connection pool over loopback sockets.

mod node;

use node::*;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};

/// Waits until the pool report's total at the JSON pointer `path` is `expected`.
fn wait_for_total(node: &Node, path: &str, expected: u64) {
    wait_until(&format!("{path} {expected}"), || {
        pools(node)["totals"].pointer(path).and_then(Value::as_u64) == Some(expected)
    });
}

/// Returns an endpoint that delays all answers until the returned gate is set to true.
fn gated_endpoint() -> (Endpoint, Arc<Mutex<bool>>) {
    let gate: Arc<Mutex<bool>> = Arc::default();
    let opened = gate.clone();
    let endpoint = Endpoint::new(move |_, _| {
        wait_until("the gate opens", || *opened.lock().expect("not poisoned"));
        OK
    });
    (endpoint, gate)
}

#[test]
fn pool_report_states_connections_of_endpoint_and_limits() {
    let endpoint = Endpoint::new(|_, _| OK);
    let node = Node::with(agent_with_one_endpoint(&endpoint).address, 3.0, 60.0).ready();
    ["m0", "m1", "m2"]
        .iter()
        .for_each(|id| deliver(&node, id, 7));
    wait_for_total(&node, "/idle", 1);
    let report = pools(&node);
    let endpoint_report = &report["endpoints"][0];
    assert_eq!(
        (&endpoint_report["uid"], &endpoint_report["address"]),
        (&"s-1".into(), &endpoint.address.to_string().into())
    );
    for (path, expected) in [
        ("/open", 1),
        ("/leased", 0),
        ("/dialling", 0),
        ("/waiting", 0),
        ("/wanted", 1),
        ("/counts/reuses", 2),
        ("/counts/dials", 1),
    ] {
        assert_eq!(
            endpoint_report.pointer(path).and_then(Value::as_u64),
            Some(expected),
            "{path} in {report}"
        );
    }
    assert_eq!(
        (&report["limits"]["all"], &report["left_out"]),
        (&512.into(), &0.into())
    );
    assert_eq!(node.operator_status("POST /pools", ""), 405);
}

#[test]
fn pool_report_of_3000_endpoints_is_bounded_in_size() {
    let endpoint = Endpoint::new(|_, _| OK);
    let uids: Vec<String> = (0..3000).map(|n| format!("s-{n:060}")).collect();
    let entries: Vec<_> = uids
        .iter()
        .map(|uid| (uid.as_str(), endpoint.address, "one", 7, "up"))
        .collect();
    let node = Node::with(Agent::new(vec![list(&entries)]).address, 3.0, 60.0).ready();
    let text = operator_response(&node, "GET /pools");
    assert!(text.len() < 450_000, "{} bytes", text.len());
    let report: Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!(
        (&report["left_out"], &report["totals"]["endpoints"]),
        (&1976.into(), &3000.into())
    );
}

#[test]
fn idle_connections_of_draining_removed_or_disabled_endpoint_are_closed() {
    let endpoint = Endpoint::new(|_, _| OK);
    let entries = [
        ("s-1", 1, "draining"),
        ("s-2", 2, "removed"),
        ("s-3", 3, "up"),
    ];
    let up: Vec<_> = entries
        .iter()
        .map(|&(uid, dest, _)| (uid, endpoint.address, "one", dest, "up"))
        .collect();
    let agent = Agent::new(vec![list(&up)]);
    let node = Node::with(agent.address, 3.0, 60.0).ready();
    (1..=3).for_each(|dest| deliver(&node, &format!("m{dest}"), dest));
    wait_for_total(&node, "/idle", 3);
    for (version, (uid, dest, state)) in (8..).zip(entries) {
        agent.announce(changes(
            version,
            &[(uid, endpoint.address, "one", dest, state)],
        ));
        if state == "up" {
            assert_eq!(node.admin_command("disable", uid), 200);
        }
        wait_for_total(&node, "/counts/closes/retired", version - 7);
    }
    wait_for_total(&node, "/open", 0);
}

#[test]
fn endpoint_with_changed_address_and_new_endpoint_at_old_address_share_no_connection() {
    let (old, new) = (Endpoint::new(|_, _| OK), Endpoint::new(|_, _| OK));
    let agent = agent_with_one_endpoint(&old);
    let node = Node::with(agent.address, 3.0, 60.0).ready();
    deliver(&node, "m1", 7);
    agent.announce(changes(
        8,
        &[
            ("s-1", new.address, "one", 7, "up"),
            ("s-2", old.address, "one", 8, "up"),
        ],
    ));
    wait_for_total(&node, "/endpoints", 2);
    deliver(&node, "m2", 7);
    deliver(&node, "m3", 8);
    assert_eq!((new.count_of("m2"), old.count_of("m3")), (1, 1));
    assert_eq!(
        old.request(1).connection,
        1,
        "connection 0 belonged to the endpoint that had this address before"
    );
    assert_eq!(pools(&node)["totals"]["counts"]["reuses"], 0);
}

#[test]
fn sighup_with_smaller_caps_closes_idle_connections_and_with_invalid_ones_changes_nothing() {
    let (endpoint, gate) = gated_endpoint();
    let agent = agent_with_one_endpoint(&endpoint);
    let node = Node::configured(&agent, 60.0, 32, r#""pool":{"idle_per_endpoint":9},"#).ready();
    for n in 0..6 {
        assert_eq!(
            node.submit("webhook", &format!("m{n}"), 7, 20_000, b"x"),
            202
        );
    }
    wait_until("all calls are in flight", || endpoint.count() == 6);
    *gate.lock().expect("not poisoned") = true;
    wait_for_total(&node, "/idle", 6);
    let path = node.folder.join("config.json");
    let text = std::fs::read_to_string(&path).expect("the configuration");
    let reload_with = |pool: &str| {
        let text = text.replace(r#""pool":{"idle_per_endpoint":9},"#, pool);
        std::fs::write(&path, text).expect("written");
        node.hang_up();
    };
    reload_with(r#""pool":{"idle":2},"#);
    wait_for_total(&node, "/idle", 2);
    wait_for_total(&node, "/counts/closes/surplus", 4);
    reload_with(r#""pool":{"idle":1,"dials":0},"#);
    wait_until("the configuration is rejected", || {
        node.logged("left as it was: pool.dials is '0'")
    });
    assert_eq!(pools(&node)["limits"]["idle"], 2);
    reload_with("");
    wait_until("the default is in force", || {
        pools(&node)["limits"]["idle"] == 1024 / 3
    });
}

#[test]
fn invalid_pool_settings_stop_start_with_error_that_names_key() {
    for (pool, error_text) in [
        (
            r#"{"per_endpoint":0}"#,
            "pool.per_endpoint is '0', not a whole number from 1 to pool.all",
        ),
        (
            r#"{"dials":-1}"#,
            "pool.dials is '-1', not a whole number from 1 to pool.all",
        ),
        (
            r#"{"idle":1.5}"#,
            "pool.idle is '1.5', not a whole number from 1 to pool.all",
        ),
        (
            r#"{"idle_per_endpoint":"9"}"#,
            "pool.idle_per_endpoint is '\"9\"', not a whole number",
        ),
        (
            r#"{"all":513}"#,
            "pool.all is '513', not a whole number from 1 to half of limits.sockets",
        ),
        (
            r#"{"all":10,"dials":11}"#,
            "pool.dials is '11', not a whole number from 1 to pool.all",
        ),
        (
            r#"{"warm_share":1.01}"#,
            "pool.warm_share is '1.01', not a share from 0 to 1",
        ),
        (
            r#"{"decay_s":0}"#,
            "pool.decay_s is '0', not seconds from 0.1 to 3600",
        ),
        (
            r#"{"learn_caps":1}"#,
            "pool.learn_caps is '1', not true or false",
        ),
        (r#"{"idel":1}"#, "pool.idel is not a known setting"),
        ("[]", "pool is '[]', not an object"),
    ] {
        let folder = fresh_folder();
        let text = config("127.0.0.1:9".parse().expect("an address"), 3.0, 5.0, 1024);
        std::fs::write(
            folder.join("config.json"),
            with_members(&text, &format!(r#""pool":{pool},"#)),
        )
        .expect("written");
        let output = command(&folder)
            .env("RELAY_DISCOVERY", "127.0.0.1:9")
            .output()
            .expect("the process ends");
        let log = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            !output.status.success() && log.lines().count() == 1 && log.contains(error_text),
            "{pool}: {log}"
        );
    }
}

/// Point at which an endpoint cuts a connection.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Cut {
    /// The endpoint cuts the connection after reading this many bytes of the request.
    Request(usize),
    /// The endpoint reads the whole request and cuts the connection after writing this many bytes of the answer.
    Answer(usize),
}

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Reads one request, and returns its head and its total length in bytes.
fn read_request(stream: &mut std::net::TcpStream) -> Option<(String, usize)> {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        text.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&text).into_owned();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))?
        .parse::<usize>()
        .ok()?;
    stream.read_exact(&mut vec![0; length]).ok()?;
    Some((head, text.len() + length))
}

/// Endpoint that answers all requests, except that it cuts the connection of the next one after a cut is set. A cut
/// within the request leaves bytes unread, which resets the connection.
#[derive(Clone)]
struct Cutter {
    address: SocketAddr,
    /// Cut to apply to the next request.
    cut: Arc<Mutex<Option<Cut>>>,
    /// Message ids and lengths in bytes of all requests that were read whole.
    whole: Arc<Mutex<Vec<(String, usize)>>>,
    /// Number of requests of which at least one byte was received.
    begun: Arc<Mutex<usize>>,
}

impl Cutter {
    fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let cutter = Cutter {
            address,
            cut: Arc::default(),
            whole: Arc::default(),
            begun: Arc::default(),
        };
        let here = cutter.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let here = here.clone();
                std::thread::spawn(move || here.serve(stream));
            }
        });
        cutter
    }

    fn serve(&self, mut stream: std::net::TcpStream) {
        // the cut is read only when the request begins, since the connection may have been idle for long before
        while matches!(stream.peek(&mut [0]), Ok(1)) {
            *self.begun.lock().expect("not poisoned") += 1;
            let cut = self.cut.lock().expect("not poisoned").take();
            if let Some(Cut::Request(length)) = cut {
                let _ = stream.read_exact(&mut vec![0; length]);
                return; // the unread bytes make the close a reset
            }
            let Some((head, length)) = read_request(&mut stream) else {
                return;
            };
            let id = head
                .lines()
                .find_map(|line| line.strip_prefix("x-request-id: "))
                .unwrap_or_default();
            self.whole
                .lock()
                .expect("not poisoned")
                .push((id.to_string(), length));
            match cut {
                Some(Cut::Answer(length)) => {
                    let _ = stream.write_all(&ANSWER[..length]);
                    let _ = stream.shutdown(Shutdown::Both);
                    return;
                }
                _ if stream.write_all(ANSWER).is_err() => return,
                _ => {}
            }
        }
    }

    fn whole(&self, id: &str) -> usize {
        self.whole
            .lock()
            .expect("not poisoned")
            .iter()
            .filter(|(seen, _)| seen == id)
            .count()
    }
}

#[test]
fn message_cut_at_any_byte_is_sent_once_and_ends_by_bytes_exchanged() {
    let cutter = Cutter::new();
    // each case has a destination of its own, so that the failures of one case do not delay another
    let uids: Vec<String> = (0..900).map(|n| format!("s-{n}")).collect();
    let entries: Vec<_> = (0..900)
        .map(|n| (uids[n].as_str(), cutter.address, "one", n as u64, "up"))
        .collect();
    let agent = Agent::new(vec![list(&entries)]);
    let node = Node::with(agent.address, 30.0, 600.0).ready();
    assert_eq!(
        node.submit("order", "measure-0000", 899, 20_000, b"body"),
        202
    );
    wait_until("the length of a request is measured", || {
        cutter.whole("measure-0000") == 1
    });
    // the remaining time in a later request may take one digit less
    let length = cutter.whole.lock().expect("not poisoned")[0].1 - 1;
    let requests = (0..=length).map(Cut::Request);
    let cuts: Vec<Cut> = requests
        .chain((0..=ANSWER.len()).map(Cut::Answer))
        .collect();
    let mut dest = 0;
    for reused in [false, true] {
        for &cut in &cuts {
            let id = format!("cut-{dest:08}");
            if reused {
                deliver(&node, &format!("pre-{dest:08}"), dest);
                // the connection of this destination, and the one of the measurement
                wait_for_total(&node, "/idle", 2);
            }
            let begun = *cutter.begun.lock().expect("not poisoned");
            *cutter.cut.lock().expect("not poisoned") = Some(cut);
            assert_eq!(node.submit("order", &id, dest, 20_000, b"body"), 202);
            // a whole status line with 200 proves the delivery; after anything less the message may have run, and the
            // non-idempotent message is not retried
            let delivered =
                matches!(cut, Cut::Answer(length) if length >= "HTTP/1.1 200 OK\r\n".len());
            let notice = format!(r#"{{"id":"{id}","state":"failed"}}"#);
            if delivered {
                wait_until("delivered", || {
                    node.submit("order", &id, dest, 20_000, b"body") == 200
                });
            } else {
                wait_until("the failure is notified", || {
                    agent.notices().contains(&notice)
                });
            }
            assert!(!delivered || !agent.notices().contains(&notice), "{cut:?}");
            let seen = *cutter.begun.lock().expect("not poisoned") - begun;
            assert_eq!(seen, 1, "{cut:?}, reused {reused}: {seen} requests begun");
            assert!(
                cutter.whole(&id) <= 1,
                "{cut:?}, reused {reused}: received twice"
            );
            dest += 1;
        }
    }
    let report = pools(&node);
    let reuses = report["totals"]["counts"]["reuses"].as_u64();
    assert_eq!(
        reuses,
        Some(cuts.len() as u64),
        "each message of the second half went over a reused connection"
    );
    assert_eq!(agent.watches.load(Ordering::SeqCst), 1);
}

#[test]
fn sender_of_large_fleet_keeps_no_idle_connection_while_connections_are_scarce() {
    let served = Endpoint::new(|_, _| OK);
    let full = Endpoint::new(|_, _| Reply::ResponseAndClose("503 Service Unavailable"));
    let uids: Vec<String> = (0..6).map(|number| format!("f-{number}")).collect();
    let mut entries = vec![("s-1", served.address, "one", 7, "up")];
    entries.extend(
        uids.iter()
            .zip(10..)
            .map(|(uid, dest)| (uid.as_str(), full.address, "one", dest, "up")),
    );
    let agent = Agent::new(vec![list(&entries)]);
    let in_large_fleet = |text: String| text.replace(r#""balancers":1,"#, r#""balancers":300,"#);
    let node = Node::configured_with(&agent, in_large_fleet).ready();
    let deliver = |id: &str| {
        node.submit("webhook", id, 7, 5_000, b"x");
        wait_until("the message is delivered", || served.count_of(id) == 1);
    };
    ["a", "b", "c"].iter().for_each(|id| deliver(id));
    assert_eq!(
        served.connections.load(std::sync::atomic::Ordering::SeqCst),
        1,
        "the connection is kept without scarcity"
    );
    for dest in 10..16 {
        node.submit("webhook", &format!("t{dest}"), dest, 5_000, b"x");
    }
    wait_until("new connections are rejected", || full.count() >= 6);
    deliver("d");
    wait_until("the idle connection is closed", || {
        operator_response(&node, "GET /pools").contains(r#""scarce":1"#)
    });
    deliver("e");
    assert!(
        served.connections.load(std::sync::atomic::Ordering::SeqCst) >= 2,
        "the next call uses a new connection"
    );
}
