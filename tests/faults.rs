//! Tests of transient failures of system calls and disk writes. Each test switches a fault on and
//! off at fixed steps, and messages accepted before or after the fault must still be delivered or
//! reported.

mod node;

use node::shim::*;
use node::*;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Longest time from SIGTERM to the end of a process.
const SHUTDOWN_DURATION: Duration = Duration::from_millis(3300);
/// Number of calls that the sender in these tests may have in flight.
const CALL_SLOTS: usize = 8;

/// Sender whose system calls a test can make fail, with its discovery service and its endpoint.
struct FaultySender {
    endpoint: Endpoint,
    agent: Agent,
    faults: FaultInjector,
}

impl FaultySender {
    /// Creates a sender with an endpoint that accepts every call.
    fn new() -> Self {
        FaultySender::with_endpoint(Endpoint::new(|_, _| OK))
    }

    /// Creates a sender whose endpoint list contains this endpoint for destination 7.
    fn with_endpoint(endpoint: Endpoint) -> Self {
        let agent = agent_with_one_endpoint(&endpoint);
        FaultySender::with_agent(endpoint, agent)
    }

    /// Creates a sender that gets its endpoint list from this agent.
    fn with_agent(endpoint: Endpoint, agent: Agent) -> Self {
        let faults = FaultInjector::new(&agent, |config| config);
        FaultySender {
            endpoint,
            agent,
            faults,
        }
    }

    /// Changes the configuration of the sender.
    fn configured(mut self, change: impl FnOnce(String) -> String) -> Self {
        self.faults = FaultInjector::new(&self.agent, change);
        self
    }

    /// Starts a process of the sender and waits until it is ready.
    fn start(&self) -> Node {
        self.faults.start().ready()
    }
}

/// Returns an endpoint that does not answer a call with the message `held_id` first until the
/// returned flag is set to true. It answers all other calls at once.
fn endpoint_that_waits_at(held_id: &'static str) -> (Endpoint, Arc<Mutex<bool>>) {
    let may_answer: Arc<Mutex<bool>> = Arc::default();
    let answer_allowed = may_answer.clone();
    let endpoint = Endpoint::new(move |request, _| {
        if request.ids()[0] == held_id {
            wait_until("the answer is allowed", || {
                *answer_allowed.lock().expect("not poisoned")
            });
        }
        OK
    });
    (endpoint, may_answer)
}

#[test]
fn message_not_stored_holds_no_call_slot() {
    let endpoint = Endpoint::new(|_, _| OK);
    let uids: Vec<String> = (0..CALL_SLOTS)
        .map(|number| format!("s-{number}"))
        .collect();
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
    for dest in 0..CALL_SLOTS as u64 {
        assert_eq!(
            node.submit("webhook", &format!("refused-{dest}"), dest, 20_000, b"x"),
            503
        );
    }
    faults.off("journal_write");
    assert_eq!(node.submit("webhook", "after", 0, 20_000, b"x"), 202);
    wait_until("it is delivered", || endpoint.count_of("after") == 1);
    assert_eq!(endpoint.count(), 1, "rejected messages are not sent");
}

#[test]
fn partial_record_that_cannot_be_cut_off_closes_journal_until_compaction() {
    let sender = FaultySender::new();
    let FaultySender {
        endpoint, faults, ..
    } = &sender;
    let node = sender.start();
    faults.on("journal_truncate", EIO);
    // compaction can't replace the journal file either
    faults.on("journal_rename", EIO);
    faults.on("journal_half", ENOSPC);
    assert_eq!(node.submit("webhook", "refused", 7, 20_000, b"x"), 503);
    faults.off("journal_half");
    assert_eq!(
        node.submit("webhook", "refused-too", 7, 20_000, b"x"),
        503,
        "half a record is at the end of the journal"
    );
    // compaction writes a new file without the half record, though truncation still fails
    faults.off("journal_rename");
    wait_until("messages are accepted", || {
        node.submit("webhook", "after", 7, 20_000, b"x") == 202
    });
    wait_until("it is delivered", || endpoint.count_of("after") == 1);
    // after a restart, messages recorded in the journal file that compaction wrote must be recovered
    assert_eq!(node.submit("webhook", "owed", 99, 20_000, b"x"), 202);
    drop(node);
    let node = sender.start();
    wait_until("the restart logs its unfinished messages", || {
        node.logged("1 unfinished messages")
    });
    assert!(!node.logged("damaged"));
}

#[test]
fn ordered_message_waits_until_end_of_previous_one_is_durable() {
    let (endpoint, may_answer) = endpoint_that_waits_at("first");
    // the ordered class is idempotent here, so messages that a restarted process sends again show
    // at the endpoint
    let make_ordered_class_idempotent = |text: String| {
        text.replace(
            r#""effect":"at_most_once","oneAtATime":true"#,
            r#""effect":"idempotent","oneAtATime":true"#,
        )
    };
    let sender = FaultySender::with_endpoint(endpoint).configured(make_ordered_class_idempotent);
    let FaultySender {
        endpoint, faults, ..
    } = &sender;
    let node = sender.start();
    for id in ["first", "second"] {
        assert_eq!(
            node.send_bytes(&message_with_subject("a", "charge", id, 7, 20_000))
                .0,
            202
        );
    }
    wait_until("the first is in flight", || endpoint.count_of("first") == 1);
    // writes of fewer than 20 bytes fail; only the records of ends and outcomes are that short
    faults.on("journal_short", 20);
    *may_answer.lock().expect("not poisoned") = true;
    wait_until("writing the end fails", || {
        node.logged("the journal can't be written")
    });
    // no record may follow the one that failed, so no message is accepted or sent
    assert_eq!(
        node.send_bytes(&message_with_subject("b", "charge", "other", 7, 20_000))
            .0,
        503
    );
    assert_eq!(endpoint.count(), 1);
    drop(node);
    faults.off("journal_short");
    let node = sender.start();
    wait_until("the second is delivered", || {
        endpoint.count_of("second") >= 1
    });
    assert_eq!(
        node.send_bytes(&message_with_subject("a", "charge", "third", 7, 20_000))
            .0,
        202
    );
    wait_until("the third is delivered", || endpoint.count_of("third") >= 1);
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
    // the message fails as soon as the endpoint may answer; a restarted process without a record of
    // that failure would notify again
    let may_answer: Arc<Mutex<bool>> = Arc::default();
    let answer_allowed = may_answer.clone();
    let endpoint = Endpoint::new(move |_, _| {
        wait_until("the answer is allowed", || {
            *answer_allowed.lock().expect("not poisoned")
        });
        Reply::Response("500 Oops", String::new())
    });
    let sender = FaultySender::with_endpoint(endpoint);
    let FaultySender {
        endpoint,
        agent,
        faults,
    } = &sender;
    let node = sender.start();
    assert_eq!(node.submit("order", "one", 7, 20_000, b"x"), 202);
    wait_until("the call is in flight", || endpoint.count_of("one") == 1);
    faults.on("journal_write", EIO);
    *may_answer.lock().expect("not poisoned") = true;
    wait_until("writing its end fails", || {
        node.logged("the journal can't be written")
    });
    // once a later submission is rejected, the turn in which the message failed is complete; a
    // notification that did not wait for the journal record would have been posted by then
    assert_eq!(node.submit("order", "refused", 7, 20_000, b"x"), 503);
    assert_eq!(agent.notices(), [""; 0]);
    faults.off("journal_write");
    wait_until("the failure is notified", || {
        agent.notices() == [r#"{"id":"one","state":"failed"}"#]
    });
}

#[test]
fn failure_at_deadline_is_notified_without_durable_record() {
    let sender = FaultySender::new();
    let FaultySender { agent, faults, .. } = &sender;
    let node = sender.start();
    // no endpoint is listed for destination 99, so both messages fail at their deadlines
    assert_eq!(node.submit("order", "one", 99, 1_000, b"x"), 202);
    assert_eq!(node.submit("order", "two", 99, 4_000, b"x"), 202);
    faults.on("journal_write", ENOSPC);
    wait_until("the failure is notified", || {
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
    assert_eq!(node.submit("order", "refused", 7, 20_000, b"x"), 503);
    faults.off("journal_write");
    wait_until("messages are accepted", || {
        node.submit("order", "after", 7, 20_000, b"x") == 202
    });
    wait_until("the other failure is notified", || {
        agent
            .notices()
            .iter()
            .any(|line| line.contains(r#""id":"two""#))
    });
    assert_eq!(agent.notices().len(), 2, "{:?}", agent.notices());
}

#[test]
fn partial_sends_and_receives_complete_calls() {
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
        assert_eq!(node.submit("webhook", &id, 7, 20_000, &[b'x'; 5_000]), 202);
        wait_until("it is delivered", || endpoint.count_of(&id) == 1);
    }
    assert_eq!(endpoint.count(), 3, "each was sent once");
    // no endpoint is listed for destination 99, so this message ends undelivered; its outcome
    // notification must also be posted although each send is partial
    assert_eq!(node.submit("order", "unsent", 99, 100, b"x"), 202);
    wait_until("its notification", || {
        agent.notices().iter().any(|line| line.contains("unsent"))
    });
}

#[test]
fn local_dial_error_does_not_eject_endpoint() {
    let errnos = [ENFILE, ENOBUFS, EADDRNOTAVAIL, ENETUNREACH, EINTR];
    thread::scope(|scope| {
        for fault in ["socket", "connect"] {
            let _ = errnos.map(|errno| {
                scope.spawn(move || assert_local_dial_error_does_not_eject(fault, errno))
            });
        }
    });
}

fn assert_local_dial_error_does_not_eject(fault: &str, errno: i32) {
    let sender = FaultySender::new();
    let FaultySender {
        endpoint, faults, ..
    } = &sender;
    let node = sender.start();
    faults.on(fault, errno);
    let ids: Vec<String> = (0..6).map(|number| format!("m{number}")).collect();
    for id in &ids {
        assert_eq!(node.submit("order", id, 7, 20_000, b"x"), 202);
    }
    // at least 8 failed dials, so that calls of the 6 messages have been retried
    wait_until("dials have failed", || {
        node.logged("ejected") || dial_failures(&node) >= 8
    });
    faults.off(fault);
    wait_until("all are delivered", || {
        ids.iter().all(|id| endpoint.count_of(id) == 1)
    });
    assert!(!node.logged("ejected"), "{fault} {errno}: {:?}", node.log);
}

/// Returns the number of failed dials in the pool report, over all reasons.
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
                    node.submit("webhook", &format!("owed-{fault}"), 99, 20_000, b"x"),
                    202
                );
                drop(node);
                let errno = match fault {
                    "bind" => EADDRNOTAVAIL,
                    "socket" => ENOBUFS,
                    _ => EIO,
                };
                faults.on(fault, errno);
                let mut process = faults.start_without_waiting();
                let log = process.stderr.take().expect("piped");
                let mut lines = std::io::BufRead::lines(std::io::BufReader::new(log));
                let error_line = lines
                    .by_ref()
                    .map_while(Result::ok)
                    .find(|line| line.contains("os error"));
                assert!(error_line.is_some(), "{fault}: no log line with the error");
                faults.off(fault);
                let listening_line = lines
                    .map_while(Result::ok)
                    .find(|line| line.contains("listening on"));
                assert!(
                    listening_line.is_some(),
                    "{fault}: it ended without listening: {:?}",
                    process.wait()
                );
                let _ = process.kill();
                let _ = process.wait();
            });
        }
    });
}

#[test]
fn deadlines_hold_over_restart_with_wall_clock_step() {
    const HOUR_S: i32 = 3_600;
    thread::scope(|scope| {
        for step_s in [HOUR_S, -HOUR_S] {
            scope.spawn(move || {
                let sender = FaultySender::new();
                let FaultySender {
                    endpoint,
                    agent,
                    faults,
                } = &sender;
                let node = sender.start();
                let (long, short) = (format!("long{step_s}"), format!("short{step_s}"));
                assert_eq!(node.submit("webhook", &long, 8, 20_000, b"x"), 202);
                assert_eq!(node.submit("webhook", &short, 9, 3_000, b"x"), 202);
                drop(node);
                faults.on("wall_step", step_s);
                let lines = list(&[
                    ("s-1", endpoint.address, "one", 7, "up"),
                    ("s-2", endpoint.address, "one", 8, "up"),
                ]);
                *agent.lines.lock().expect("not poisoned") = vec![lines];
                let node = sender.start();
                wait_until("the message with time left is sent", || {
                    endpoint.count_of(&long) == 1
                });
                wait_until("the expired message is notified", || {
                    !agent.notices().is_empty()
                });
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
    wait_until("reading the configuration fails", || {
        node.logged("os error 5")
    });
    faults.off("config_read");
    wait_until("discovery has moved", || {
        next.watches.load(std::sync::atomic::Ordering::SeqCst) == 1
    });
}

#[test]
fn handover_over_partial_sends_waits_for_durable_journal() {
    let (endpoint, may_answer) = endpoint_that_waits_at("held");
    let sender = FaultySender::with_endpoint(endpoint);
    let FaultySender {
        endpoint, faults, ..
    } = &sender;
    let old = sender.start();
    assert_eq!(
        old.submit("order", "waits", 99, 20_000, &[b'x'; 20_000]),
        202
    );
    assert_eq!(old.submit("webhook", "held", 7, 20_000, b"x"), 202);
    wait_until("the call is in flight", || endpoint.count_of("held") == 1);
    faults.on("short_send", 1);
    faults.on("short_receive", 64);
    // the end of "held" is known but not on the disk; a successor that reads the journal now would
    // take it as incomplete
    faults.on("journal_write", EIO);
    *may_answer.lock().expect("not poisoned") = true;
    wait_until("writing its end fails", || {
        old.logged("the journal can't be written")
    });
    let new = thread::scope(|scope| {
        let next = scope.spawn(|| faults.start());
        assert_eq!(
            old.submit("webhook", "refused", 7, 20_000, b"x"),
            503,
            "the old process still owns the messages"
        );
        faults.off("journal_write");
        next.join().expect("it takes over")
    });
    assert!(new.logged("taken over (complete)"), "{:?}", new.log);
    wait_until("the predecessor logs what it handed over", || {
        old.logged("handed over 1 messages, 0 calls are in flight")
    });
    let new = new.ready();
    assert_eq!(
        new.submit("webhook", "held", 7, 20_000, b"x"),
        200,
        "the message is remembered as delivered"
    );
    assert_eq!(endpoint.count_of("held"), 1);
}

#[test]
fn successor_does_not_inherit_failing_journal() {
    let sender = FaultySender::new();
    let FaultySender {
        endpoint, faults, ..
    } = &sender;
    let old = sender.start();
    assert_eq!(old.submit("webhook", "first", 7, 20_000, b"x"), 202);
    wait_until("the end of the message is written", || {
        old.submit("webhook", "first", 7, 20_000, b"x") == 200
    });
    faults.on("journal_write", EIO);
    assert_eq!(old.submit("webhook", "refused", 7, 20_000, b"x"), 503);
    let new = sender.start();
    assert!(new.logged("taken over (complete)"), "{:?}", new.log);
    faults.off("journal_write");
    assert_eq!(new.submit("webhook", "after", 7, 20_000, b"x"), 202);
    wait_until("it is delivered", || endpoint.count_of("after") == 1);
}

#[test]
fn successor_does_not_inherit_shutdown() {
    let sender = FaultySender::new();
    let endpoint = &sender.endpoint;
    let old = sender.start();
    let terminated_at = Instant::now();
    old.terminate();
    wait_until("draining", || old.logged("draining"));
    let new = sender.start();
    assert!(new.logged("taken over (complete)"), "{:?}", new.log);
    wait_until("the old one has ended", || {
        new.logged("the predecessor has ended")
    });
    // after this time the old process has exited, so only the new one can make the call
    thread::sleep(SHUTDOWN_DURATION.saturating_sub(terminated_at.elapsed()));
    assert_eq!(new.submit("webhook", "after", 7, 20_000, b"x"), 202);
    wait_until("it is delivered", || endpoint.count_of("after") == 1);
}

/// Guards against two owners of one state folder. Two processes start while the lock file can't be
/// opened, and the later one gets the lock first; the earlier one must then exit instead of taking
/// over the messages.
#[test]
fn earlier_process_exits_if_later_process_locked_folder_first() {
    let sender = FaultySender::new();
    let faults = &sender.faults;
    faults.on("lock_open", EIO);
    let mut earlier = faults.start_without_waiting();
    let log = earlier.stderr.take().expect("piped");
    let mut lines = std::io::BufRead::lines(std::io::BufReader::new(log)).map_while(Result::ok);
    let waiting_line = lines.find(|line| line.contains("waiting for the state folder's lock"));
    assert!(
        waiting_line.is_some(),
        "no log line about the wait for the lock"
    );
    signal(&earlier, "STOP");
    faults.off("lock_open");
    let later = sender.start();
    signal(&earlier, "CONT");
    // an earlier process that took over would continue to run
    let poll_until = std::time::Instant::now() + Duration::from_secs(10);
    while earlier.try_wait().expect("process state").is_none()
        && std::time::Instant::now() < poll_until
    {
        thread::sleep(Duration::from_millis(5));
    }
    let _ = earlier.kill();
    assert!(
        earlier.wait().expect("it ends").success(),
        "the earlier process exits without an error"
    );
    let exit_line =
        lines.find(|line| line.contains("a process that started later owns the folder"));
    assert!(
        exit_line.is_some(),
        "no log line with the reason for the exit"
    );
    assert_eq!(later.submit("webhook", "m1", 99, 20_000, b"x"), 202);
    assert!(!later.logged("handover: handed over"));
}

fn signal(process: &std::process::Child, name: &str) {
    let status = std::process::Command::new("kill")
        .args([format!("-{name}"), process.id().to_string()])
        .status();
    assert!(status.expect("kill runs").success());
}
