//! System calls and disk writes that fail for a moment, each forced by order: a fault is on from one step of the test to
//! another, and what was taken on is still owed.

mod node;

use node::shim::*;
use node::*;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// From SIGTERM to the end of a process.
const END: Duration = Duration::from_millis(3300);
/// Call slots of the sender in these tests.
const SLOTS: usize = 8;

fn as_it_is(config: String) -> String {
    config
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
fn what_the_journal_refused_holds_no_call_slot() {
    let endpoint = Endpoint::new(|_, _| OK);
    let uids: Vec<String> = (0..SLOTS).map(|number| format!("s-{number}")).collect();
    let listed = uids
        .iter()
        .zip(0..)
        .map(|(uid, dest)| (uid.as_str(), endpoint.address, "one", dest, "up"));
    let agent = Agent::new(vec![list(&listed.collect::<Vec<_>>())]);
    let faults = Faults::new(&agent, as_it_is);
    let node = faults.start().ready();
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
fn half_a_record_that_cannot_be_taken_back_shuts_the_journal_only_for_as_long() {
    let endpoint = Endpoint::new(|_, _| OK);
    let agent = one(&endpoint);
    let faults = Faults::new(&agent, as_it_is);
    let node = faults.start().ready();
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
    let node = faults.start().ready();
    wait_until("it is told", || node.logged("1 messages owed"));
    assert!(!node.logged("damaged"));
}

#[test]
fn no_message_goes_out_before_the_end_of_the_one_before_is_written() {
    let (endpoint, gate) = gated("first");
    let agent = one(&endpoint);
    // an ordered class that may be repeated: what a next life sends again shows at the endpoint
    let repeatable = |text: String| {
        text.replace(
            r#""effect":"at_most_once","oneAtATime":true"#,
            r#""effect":"idempotent","oneAtATime":true"#,
        )
    };
    let faults = Faults::new(&agent, repeatable);
    let node = faults.start().ready();
    for id in ["first", "second"] {
        assert_eq!(node.raw(&about("a", "charge", id, 7, 20_000)).0, 202);
    }
    wait_until("the first is out", || endpoint.times("first") == 1);
    // ends are the shortest records
    faults.on("journal_short", 20);
    *gate.lock().expect("not poisoned") = true;
    wait_until("the end can't be written", || {
        node.logged("the journal can't be written")
    });
    // nothing is written after the end that failed, and so nothing is taken on or sent
    assert_eq!(node.raw(&about("b", "charge", "other", 7, 20_000)).0, 503);
    assert_eq!(endpoint.count(), 1);
    drop(node);
    faults.off("journal_short");
    let node = faults.start().ready();
    wait_until("the second is delivered", || endpoint.times("second") >= 1);
    assert_eq!(node.raw(&about("a", "charge", "third", 7, 20_000)).0, 202);
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
fn an_end_with_time_left_is_told_only_once_it_is_durable() {
    // its end is a failure as soon as the gate opens; a next life that did not know of that would end it once more
    let gate: Arc<Mutex<bool>> = Arc::default();
    let opened = gate.clone();
    let endpoint = Endpoint::new(move |_, _| {
        wait_until("the gate opens", || *opened.lock().expect("not poisoned"));
        Reply::Answer("500 Oops", String::new())
    });
    let agent = one(&endpoint);
    let faults = Faults::new(&agent, as_it_is);
    let node = faults.start().ready();
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
fn an_end_is_told_in_time_though_it_can_not_be_written() {
    let endpoint = Endpoint::new(|_, _| OK);
    let agent = one(&endpoint);
    let faults = Faults::new(&agent, as_it_is);
    let node = faults.start().ready();
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
fn calls_and_answers_go_through_in_small_pieces() {
    let endpoint = Endpoint::new(|_, _| OK);
    let agent = one(&endpoint);
    let faults = Faults::new(&agent, as_it_is);
    let node = faults.start().ready();
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
fn a_fault_of_this_machine_is_not_booked_to_the_endpoint() {
    let numbers = [ENFILE, ENOBUFS, EADDRNOTAVAIL, ENETUNREACH, EINTR];
    thread::scope(|scope| {
        for fault in ["socket", "connect"] {
            let _ = numbers.map(|number| scope.spawn(move || dials_fail_here(fault, number)));
        }
    });
}

fn dials_fail_here(fault: &str, number: i32) {
    let endpoint = Endpoint::new(|_, _| OK);
    let agent = one(&endpoint);
    let faults = Faults::new(&agent, as_it_is);
    let node = faults.start().ready();
    faults.on(fault, number);
    let ids: Vec<String> = (0..6).map(|number| format!("m{number}")).collect();
    for id in &ids {
        assert_eq!(node.hand_in("order", id, 7, 20_000, b"x"), 202);
    }
    // long enough for several dials of each
    wait_until("dials have failed", || {
        node.logged("sick") || dial_failures(&node) >= 8
    });
    faults.off(fault);
    wait_until("all are delivered", || {
        ids.iter().all(|id| endpoint.times(id) == 1)
    });
    assert!(!node.logged("sick"), "{fault} {number}: {:?}", node.log);
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
fn a_start_waits_for_what_this_machine_fails_for_a_moment() {
    let endpoint = Endpoint::new(|_, _| OK);
    let agent = one(&endpoint);
    thread::scope(|scope| {
        for fault in [
            "bind",
            "socket",
            "journal_open",
            "journal_read",
            "lock_open",
        ] {
            let agent = &agent;
            scope.spawn(move || {
                let faults = Faults::new(agent, as_it_is);
                let node = faults.start().ready();
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
                let mut process = faults.start_unseen();
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
fn times_are_real_over_a_restart_whatever_the_wall_clock_does() {
    const HOUR: i32 = 3_600;
    let endpoint = Endpoint::new(|_, _| OK);
    thread::scope(|scope| {
        for step in [HOUR, -HOUR] {
            let endpoint = &endpoint;
            scope.spawn(move || {
                let agent = one(endpoint);
                let faults = Faults::new(&agent, as_it_is);
                let node = faults.start().ready();
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
                let node = faults.start().ready();
                wait_until("what has time left is sent", || endpoint.times(&long) == 1);
                wait_until("what has none ends", || !agent.notices().is_empty());
                assert!(agent.notices()[0].contains(&short), "{:?}", agent.notices());
                drop(node);
            });
        }
    });
}

#[test]
fn a_new_configuration_that_can_not_be_read_at_once_is_read_later() {
    let endpoint = Endpoint::new(|_, _| OK);
    let (agent, next) = (one(&endpoint), one(&endpoint));
    let faults = Faults::new(&agent, as_it_is);
    let node = faults.start().ready();
    faults.on("config_read", EIO);
    node.move_discovery(&next);
    wait_until("it can't be read", || node.logged("os error 5"));
    faults.off("config_read");
    wait_until("discovery has moved", || {
        next.watches.load(std::sync::atomic::Ordering::SeqCst) == 1
    });
}

#[test]
fn a_process_hands_over_in_small_pieces_and_once_the_disk_has_all() {
    let (endpoint, gate) = gated("held");
    let agent = one(&endpoint);
    let faults = Faults::new(&agent, as_it_is);
    let old = faults.start().ready();
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
    assert!(starts.logged("taken over (as it was)"), "{:?}", starts.log);
    assert!(
        old.logged("handed over 1 messages, 0 calls are out"),
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
fn a_next_process_does_not_take_over_that_the_disk_fails() {
    let endpoint = Endpoint::new(|_, _| OK);
    let agent = one(&endpoint);
    let faults = Faults::new(&agent, as_it_is);
    let old = faults.start().ready();
    assert_eq!(old.hand_in("webhook", "first", 7, 20_000, b"x"), 202);
    wait_until("its end is written", || {
        old.hand_in("webhook", "first", 7, 20_000, b"x") == 200
    });
    faults.on("journal_write", EIO);
    assert_eq!(old.hand_in("webhook", "refused", 7, 20_000, b"x"), 503);
    let new = faults.start().ready();
    assert!(new.logged("taken over (as it was)"), "{:?}", new.log);
    faults.off("journal_write");
    assert_eq!(new.hand_in("webhook", "after", 7, 20_000, b"x"), 202);
    wait_until("it is delivered", || endpoint.times("after") == 1);
}

#[test]
fn a_next_process_does_not_take_over_that_the_old_one_was_to_end() {
    let endpoint = Endpoint::new(|_, _| OK);
    let agent = one(&endpoint);
    let faults = Faults::new(&agent, as_it_is);
    let old = faults.start().ready();
    let told = Instant::now();
    old.terminate();
    wait_until("draining", || old.logged("draining"));
    let new = faults.start().ready();
    assert!(new.logged("taken over (as it was)"), "{:?}", new.log);
    wait_until("the old one has ended", || {
        new.logged("the old process has ended")
    });
    // from here on the old one could not have made a call
    thread::sleep(END.saturating_sub(told.elapsed()));
    assert_eq!(new.hand_in("webhook", "after", 7, 20_000, b"x"), 202);
    wait_until("it is delivered", || endpoint.times("after") == 1);
}
