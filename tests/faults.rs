//! System calls and disk writes that fail for a moment, each forced by order: a fault is on from one step of the test to
//! another, and what was taken on is still owed.

mod node;

use node::shim::*;
use node::*;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// From SIGTERM to the end of a process.
const EXIT_AFTER: Duration = Duration::from_millis(3300);
/// Call slots of the sender in these tests.
const SLOTS: usize = 8;

/// A sender whose system calls fail by order, its discovery, and the endpoint that it delivers to.
struct FaultySender {
    endpoint: Endpoint,
    agent: Agent,
    faults: Faults,
}

impl FaultySender {
    /// One with an endpoint that accepts every call.
    fn new() -> Self {
        FaultySender::with_endpoint(Endpoint::new(|_, _| OK))
    }

    /// One with this endpoint, which is listed for destination 7.
    fn with_endpoint(endpoint: Endpoint) -> Self {
        let agent = agent_with_one_endpoint(&endpoint);
        FaultySender::with_agent(endpoint, agent)
    }

    /// One whose endpoint is listed as the agent has it.
    fn with_agent(endpoint: Endpoint, agent: Agent) -> Self {
        let faults = Faults::new(&agent, |config| config);
        FaultySender {
            endpoint,
            agent,
            faults,
        }
    }

    /// The same sender with its configuration changed.
    fn configured(mut self, change: impl FnOnce(String) -> String) -> Self {
        self.faults = Faults::new(&self.agent, change);
        self
    }

    /// Starts a process of it, and waits until it is ready.
    fn start(&self) -> Node {
        self.faults.start().ready()
    }
}

/// An endpoint that answers one message only once the gate is open.
fn gated(held: &'static str) -> (Endpoint, Arc<Mutex<bool>>) {
    let gate: Arc<Mutex<bool>> = Arc::default();
    let opened = gate.clone();
    let endpoint = Endpoint::new(move |request, _| {
        if request.ids()[0] == held {
            wait_until("the gate opens", || *opened.lock().expect("not poisoned"));
        }
        OK
    });
    (endpoint, gate)
}

#[test]
fn message_not_stored_holds_no_call_slot() {
    let endpoint = Endpoint::new(|_, _| OK);
    let uids: Vec<String> = (0..SLOTS).map(|number| format!("s-{number}")).collect();
    let listed = uids
        .iter()
        .zip(0..)
        .map(|(uid, dest)| (uid.as_str(), endpoint.address, "one", dest, "up"));
    let agent = Agent::new(vec![list(&listed.collect::<Vec<_>>())]);
    let sender = FaultySender::with_agent(endpoint, agent);
    let FaultySender {
        endpoint, faults, ..
    } = &sender;
    let node = sender.start();
    faults.on("journal_write", EIO);
    for dest in 0..SLOTS as u64 {
        assert_eq!(
            node.hand_in("webhook", &format!("refused-{dest}"), dest, 20_000, b"x"),
            503
        );
    }
    faults.off("journal_write");
    assert_eq!(node.hand_in("webhook", "after", 0, 20_000, b"x"), 202);
    wait_until("it is delivered", || endpoint.times("after") == 1);
    assert_eq!(endpoint.count(), 1, "what was refused is not sent");
}

#[test]
fn partial_record_that_cannot_be_cut_off_closes_journal_until_compaction() {
    let sender = FaultySender::new();
    let FaultySender {
        endpoint, faults, ..
    } = &sender;
    let node = sender.start();
    faults.on("journal_truncate", EIO);
    // nor can a whole file take the place of this one
    faults.on("journal_rename", EIO);
    faults.on("journal_half", ENOSPC);
    assert_eq!(node.hand_in("webhook", "refused", 7, 20_000, b"x"), 503);
    faults.off("journal_half");
    assert_eq!(
        node.hand_in("webhook", "refused-too", 7, 20_000, b"x"),
        503,
        "half a record stands at the end"
    );
    // the half is left behind with its file, though it can't be cut off
    faults.off("journal_rename");
    wait_until("messages are taken on", || {
        node.hand_in("webhook", "after", 7, 20_000, b"x") == 202
    });
    wait_until("it is delivered", || endpoint.times("after") == 1);
    // what was written after the half is found by the next life
    assert_eq!(node.hand_in("webhook", "owed", 99, 20_000, b"x"), 202);
    drop(node);
    let node = sender.start();
    wait_until("it is told", || node.logged("1 unfinished messages"));
    assert!(!node.logged("damaged"));
}

#[test]
fn ordered_message_waits_until_end_of_previous_one_is_durable() {
    let (endpoint, gate) = gated("first");
    // an ordered class that may be repeated: what a next life sends again shows at the endpoint
    let repeatable = |text: String| {
        text.replace(
            r#""effect":"at_most_once","oneAtATime":true"#,
            r#""effect":"idempotent","oneAtATime":true"#,
        )
    };
    let sender = FaultySender::with_endpoint(endpoint).configured(repeatable);
    let FaultySender {
        endpoint, faults, ..
    } = &sender;
    let node = sender.start();
    for id in ["first", "second"] {
        assert_eq!(
            node.raw(&message_with_subject("a", "charge", id, 7, 20_000))
                .0,
            202
        );
    }
    wait_until("the first is out", || endpoint.times("first") == 1);
    // ends are the shortest records
    faults.on("journal_short", 20);
    *gate.lock().expect("not poisoned") = true;
    wait_until("the end can't be written", || {
        node.logged("the journal can't be written")
    });
    // nothing is written after the end that failed, and so nothing is taken on or sent
    assert_eq!(
        node.raw(&message_with_subject("b", "charge", "other", 7, 20_000))
            .0,
        503
    );
    assert_eq!(endpoint.count(), 1);
    drop(node);
    faults.off("journal_short");
    let node = sender.start();
    wait_until("the second is delivered", || endpoint.times("second") >= 1);
    assert_eq!(
        node.raw(&message_with_subject("a", "charge", "third", 7, 20_000))
            .0,
        202
    );
    wait_until("the third is delivered", || endpoint.times("third") >= 1);
    let calls: Vec<String> = endpoint
        .seen
        .lock()
        .expect("not poisoned")
        .iter()
        .flat_map(Request::ids)
        .collect();
    let second = calls.iter().position(|id| id == "second").expect("called");
    let first = calls.iter().rposition(|id| id == "first").expect("called");
    assert!(first < second, "the first ran after the second: {calls:?}");
}

#[test]
fn failure_before_deadline_is_notified_only_once_durable() {
    // its end is a failure as soon as the gate opens; a next life that did not know of that would end it once more
    let gate: Arc<Mutex<bool>> = Arc::default();
    let opened = gate.clone();
    let endpoint = Endpoint::new(move |_, _| {
        wait_until("the gate opens", || *opened.lock().expect("not poisoned"));
        Reply::Answer("500 Oops", String::new())
    });
    let sender = FaultySender::with_endpoint(endpoint);
    let FaultySender {
        endpoint,
        agent,
        faults,
    } = &sender;
    let node = sender.start();
    assert_eq!(node.hand_in("order", "one", 7, 20_000, b"x"), 202);
    wait_until("it is out", || endpoint.times("one") == 1);
    faults.on("journal_write", EIO);
    *gate.lock().expect("not poisoned") = true;
    wait_until("its end can't be written", || {
        node.logged("the journal can't be written")
    });
    // what the turn of its end told has been told by the time that another message was refused
    assert_eq!(node.hand_in("order", "refused", 7, 20_000, b"x"), 503);
    assert_eq!(agent.notices(), [""; 0]);
    faults.off("journal_write");
    wait_until("its end is told", || {
        agent.notices() == [r#"{"id":"one","state":"failed"}"#]
    });
}

#[test]
fn failure_at_deadline_is_notified_though_not_durable() {
    let sender = FaultySender::new();
    let FaultySender { agent, faults, .. } = &sender;
    let node = sender.start();
    assert_eq!(node.hand_in("order", "one", 99, 1_000, b"x"), 202);
    assert_eq!(node.hand_in("order", "two", 99, 4_000, b"x"), 202);
    faults.on("journal_write", ENOSPC);
    wait_until("its end is told", || {
        agent
            .notices()
            .iter()
            .any(|line| line.contains(r#""id":"one""#))
    });
    assert!(
        agent
            .notices()
            .iter()
            .all(|line| !line.contains(r#""id":"two""#))
    );
    assert_eq!(node.hand_in("order", "refused", 7, 20_000, b"x"), 503);
    faults.off("journal_write");
    wait_until("messages are taken on", || {
        node.hand_in("order", "after", 7, 20_000, b"x") == 202
    });
    wait_until("the other's end is told", || {
        agent
            .notices()
            .iter()
            .any(|line| line.contains(r#""id":"two""#))
    });
    assert_eq!(agent.notices().len(), 2, "{:?}", agent.notices());
}

#[test]
fn calls_and_answers_in_small_pieces_succeed() {
    let sender = FaultySender::new();
    let FaultySender {
        endpoint,
        agent,
        faults,
    } = &sender;
    let node = sender.start();
    faults.on("short_send", 1);
    faults.on("short_receive", 64);
    for number in 0..3 {
        let id = format!("m{number}");
        assert_eq!(node.hand_in("webhook", &id, 7, 20_000, &[b'x'; 5_000]), 202);
        wait_until("it is delivered", || endpoint.times(&id) == 1);
    }
    assert_eq!(endpoint.count(), 3, "each went once");
    // an end by a notice goes to discovery the same way
    assert_eq!(node.hand_in("order", "unsent", 99, 100, b"x"), 202);
    wait_until("its notice", || {
        agent.notices().iter().any(|line| line.contains("unsent"))
    });
}

#[test]
fn local_dial_error_does_not_eject_endpoint() {
    let numbers = [ENFILE, ENOBUFS, EADDRNOTAVAIL, ENETUNREACH, EINTR];
    thread::scope(|scope| {
        for fault in ["socket", "connect"] {
            let _ = numbers.map(|number| scope.spawn(move || dials_fail_here(fault, number)));
        }
    });
}

fn dials_fail_here(fault: &str, number: i32) {
    let sender = FaultySender::new();
    let FaultySender {
        endpoint, faults, ..
    } = &sender;
    let node = sender.start();
    faults.on(fault, number);
    let ids: Vec<String> = (0..6).map(|number| format!("m{number}")).collect();
    for id in &ids {
        assert_eq!(node.hand_in("order", id, 7, 20_000, b"x"), 202);
    }
    // long enough for several dials of each
    wait_until("dials have failed", || {
        node.logged("ejected") || dial_failures(&node) >= 8
    });
    faults.off(fault);
    wait_until("all are delivered", || {
        ids.iter().all(|id| endpoint.times(id) == 1)
    });
    assert!(!node.logged("ejected"), "{fault} {number}: {:?}", node.log);
}

/// Dials that failed, for whatever reason.
fn dial_failures(node: &Node) -> u64 {
    let report = pools(node);
    let failures = report["totals"]["counts"]["dial_failures"]
        .as_object()
        .cloned()
        .unwrap_or_default();
    failures
        .values()
        .filter_map(serde_json::Value::as_u64)
        .sum()
}

#[test]
fn start_waits_for_transient_local_error() {
    thread::scope(|scope| {
        for fault in [
            "bind",
            "socket",
            "journal_open",
            "journal_read",
            "lock_open",
        ] {
            scope.spawn(move || {
                let sender = FaultySender::new();
                let faults = &sender.faults;
                let node = sender.start();
                assert_eq!(
                    node.hand_in("webhook", &format!("owed-{fault}"), 99, 20_000, b"x"),
                    202
                );
                drop(node);
                let number = match fault {
                    "bind" => EADDRNOTAVAIL,
                    "socket" => ENOBUFS,
                    _ => EIO,
                };
                faults.on(fault, number);
                let mut process = faults.start_without_waiting();
                let log = process.stderr.take().expect("piped");
                let mut lines = std::io::BufRead::lines(std::io::BufReader::new(log));
                let said = lines
                    .by_ref()
                    .map_while(Result::ok)
                    .find(|line| line.contains("os error"));
                assert!(said.is_some(), "{fault}: it says what it waits for");
                faults.off(fault);
                let listens = lines
                    .map_while(Result::ok)
                    .find(|line| line.contains("listening on"));
                assert!(listens.is_some(), "{fault}: it ended: {:?}", process.wait());
                let _ = process.kill();
                let _ = process.wait();
            });
        }
    });
}

#[test]
fn deadlines_hold_over_restart_with_wall_clock_step() {
    const HOUR: i32 = 3_600;
    thread::scope(|scope| {
        for step in [HOUR, -HOUR] {
            scope.spawn(move || {
                let sender = FaultySender::new();
                let FaultySender {
                    endpoint,
                    agent,
                    faults,
                } = &sender;
                let node = sender.start();
                let (long, short) = (format!("long{step}"), format!("short{step}"));
                assert_eq!(node.hand_in("webhook", &long, 8, 20_000, b"x"), 202);
                assert_eq!(node.hand_in("webhook", &short, 9, 3_000, b"x"), 202);
                drop(node);
                faults.on("wall_step", step);
                let lines = list(&[
                    ("s-1", endpoint.address, "one", 7, "up"),
                    ("s-2", endpoint.address, "one", 8, "up"),
                ]);
                *agent.lines.lock().expect("not poisoned") = vec![lines];
                let node = sender.start();
                wait_until("what has time left is sent", || endpoint.times(&long) == 1);
                wait_until("what has none ends", || !agent.notices().is_empty());
                assert!(agent.notices()[0].contains(&short), "{:?}", agent.notices());
                drop(node);
            });
        }
    });
}

#[test]
fn unreadable_configuration_is_read_once_readable() {
    let sender = FaultySender::new();
    let FaultySender {
        endpoint, faults, ..
    } = &sender;
    let next = agent_with_one_endpoint(endpoint);
    let node = sender.start();
    faults.on("config_read", EIO);
    node.move_discovery(&next);
    wait_until("it can't be read", || node.logged("os error 5"));
    faults.off("config_read");
    wait_until("discovery has moved", || {
        next.watches.load(std::sync::atomic::Ordering::SeqCst) == 1
    });
}

#[test]
fn handover_in_small_pieces_waits_for_durable_journal() {
    let (endpoint, gate) = gated("held");
    let sender = FaultySender::with_endpoint(endpoint);
    let FaultySender {
        endpoint, faults, ..
    } = &sender;
    let old = sender.start();
    assert_eq!(
        old.hand_in("order", "waits", 99, 20_000, &[b'x'; 20_000]),
        202
    );
    assert_eq!(old.hand_in("webhook", "held", 7, 20_000, b"x"), 202);
    wait_until("it is out", || endpoint.times("held") == 1);
    faults.on("short_send", 1);
    faults.on("short_receive", 64);
    // its end is known here and not on the disk: the next process would take it for owed
    faults.on("journal_write", EIO);
    *gate.lock().expect("not poisoned") = true;
    wait_until("its end can't be written", || {
        old.logged("the journal can't be written")
    });
    let starts = thread::scope(|scope| {
        let next = scope.spawn(|| faults.start());
        assert_eq!(
            old.hand_in("webhook", "refused", 7, 20_000, b"x"),
            503,
            "it owns the messages still"
        );
        faults.off("journal_write");
        next.join().expect("it takes over")
    });
    assert!(starts.logged("taken over (complete)"), "{:?}", starts.log);
    assert!(
        old.logged("handed over 1 messages, 0 calls are in flight"),
        "{:?}",
        old.log
    );
    let new = starts.ready();
    assert_eq!(
        new.hand_in("webhook", "held", 7, 20_000, b"x"),
        200,
        "it is remembered as delivered"
    );
    assert_eq!(endpoint.times("held"), 1);
}

#[test]
fn successor_does_not_inherit_failing_journal() {
    let sender = FaultySender::new();
    let FaultySender {
        endpoint, faults, ..
    } = &sender;
    let old = sender.start();
    assert_eq!(old.hand_in("webhook", "first", 7, 20_000, b"x"), 202);
    wait_until("its end is written", || {
        old.hand_in("webhook", "first", 7, 20_000, b"x") == 200
    });
    faults.on("journal_write", EIO);
    assert_eq!(old.hand_in("webhook", "refused", 7, 20_000, b"x"), 503);
    let new = sender.start();
    assert!(new.logged("taken over (complete)"), "{:?}", new.log);
    faults.off("journal_write");
    assert_eq!(new.hand_in("webhook", "after", 7, 20_000, b"x"), 202);
    wait_until("it is delivered", || endpoint.times("after") == 1);
}

#[test]
fn successor_does_not_inherit_shutdown() {
    let sender = FaultySender::new();
    let endpoint = &sender.endpoint;
    let old = sender.start();
    let told = Instant::now();
    old.terminate();
    wait_until("draining", || old.logged("draining"));
    let new = sender.start();
    assert!(new.logged("taken over (complete)"), "{:?}", new.log);
    wait_until("the old one has ended", || {
        new.logged("the predecessor has ended")
    });
    // from here on the old one could not have made a call
    thread::sleep(EXIT_AFTER.saturating_sub(told.elapsed()));
    assert_eq!(new.hand_in("webhook", "after", 7, 20_000, b"x"), 202);
    wait_until("it is delivered", || endpoint.times("after") == 1);
}

/// Two processes start while the lock can't be opened, and the later one is first at it: the earlier must not take the
/// messages back from it.
#[test]
fn earlier_process_leaves_folder_to_later_one_that_was_first_at_the_lock() {
    let sender = FaultySender::new();
    let faults = &sender.faults;
    faults.on("lock_open", EIO);
    let mut earlier = faults.start_without_waiting();
    let log = earlier.stderr.take().expect("piped");
    let mut lines = std::io::BufRead::lines(std::io::BufReader::new(log)).map_while(Result::ok);
    let waits = lines.find(|line| line.contains("waiting for the state folder's lock"));
    assert!(waits.is_some(), "it waits for the lock");
    signal(&earlier, "STOP");
    faults.off("lock_open");
    let later = sender.start();
    signal(&earlier, "CONT");
    // one that took over instead would run on
    let until = std::time::Instant::now() + Duration::from_secs(10);
    while earlier.try_wait().expect("its state").is_none() && std::time::Instant::now() < until {
        thread::sleep(Duration::from_millis(5));
    }
    let _ = earlier.kill();
    assert!(
        earlier.wait().expect("it ends").success(),
        "it ends by itself"
    );
    let ends = lines.find(|line| line.contains("a process that started later owns the folder"));
    assert!(ends.is_some(), "it says why it ends");
    assert_eq!(later.hand_in("webhook", "m1", 99, 20_000, b"x"), 202);
    assert!(!later.logged("handover: handed over"));
}

fn signal(process: &std::process::Child, name: &str) {
    let status = std::process::Command::new("kill")
        .args([format!("-{name}"), process.id().to_string()])
        .status();
    assert!(status.expect("kill runs").success());
}
