//! The list of endpoints where watches fall silent, lists are indented, or an agent holds one from before a start.

mod node;

use node::*;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// One of so many senders that ask a common discovery.
fn asking(agent: &Agent, senders: usize) -> Node {
    Node::configured_with(agent, |text| {
        let asked = format!(r#""discovery":"on_request","balancers":{senders}"#);
        text.replace(r#""balancers":1"#, &asked)
    })
    .ready()
}

fn one_of(uid: &str, address: SocketAddr, state: &str) -> String {
    list(&[(uid, address, "one", 7, state)])
}

fn set_lines(agent: &Agent, lines: Vec<String>) {
    *agent.lines.lock().expect("not poisoned") = lines;
}

/// From the next watch on the old endpoint of destination 7 is in this state, and the new one is up.
fn replace(agent: &Agent, old: &Endpoint, state: &str, new: &Endpoint) {
    let entries = [
        ("s-1", old.address, "one", 7, state),
        ("s-2", new.address, "one", 7, "up"),
    ];
    set_lines(agent, vec![list(&entries)]);
}

/// No open watch tells anything more; the number of watches so far.
fn mute(agent: &Agent) -> usize {
    let watches = agent.watches.load(Ordering::SeqCst);
    agent.muted_watches.store(watches, Ordering::SeqCst);
    watches
}

#[test]
fn one_of_hundreds_has_a_new_watch_before_what_a_silent_one_missed_counts_as_told() {
    let (old, new) = (Endpoint::new(|_, _| OK), Endpoint::new(|_, _| OK));
    let agent = Agent::new(vec![one_of("s-1", old.address, "up")]);
    let node = asking(&agent, 300);
    deliver(&node, "before", 7);
    let (watches, silent) = (mute(&agent), Instant::now());
    replace(&agent, &old, "draining", &new);
    wait_until("a new watch", || {
        agent.watches.load(Ordering::SeqCst) > watches
    });
    let after = silent.elapsed();
    assert!(
        after < Duration::from_millis(5500),
        "a new watch after {after:?}"
    );
    let mut tried = 0;
    wait_until("the new list binds", || {
        tried += 1;
        deliver(&node, &format!("t{tried}"), 7);
        new.count() > 0
    });
    let calls = old.count();
    for n in 0..6 {
        deliver(&node, &format!("m{n}"), 7);
    }
    assert_eq!((old.count(), new.count()), (calls, 7));
}

#[test]
fn a_sender_that_hears_nothing_for_too_long_sends_nothing_until_it_knows_better() {
    let (old, new) = (Endpoint::new(|_, _| OK), Endpoint::new(|_, _| OK));
    let agent = Agent::new(vec![one_of("s-1", old.address, "up")]);
    let node = asking(&agent, 1);
    deliver(&node, "before", 7);
    replace(&agent, &old, "removed", &new);
    // new watches open and tell nothing
    agent.muted_watches.store(usize::MAX, Ordering::SeqCst);
    wait_until("it says so", || {
        node.logged("nothing is sent until it tells")
    });
    assert_eq!(node.submit("webhook", "m1", 7, 20_000, b"x"), 202);
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(
        (old.count(), node.submit("webhook", "m2", 7, 20_000, b"x")),
        (1, 202)
    );
    agent.muted_watches.store(0, Ordering::SeqCst);
    wait_until("all is delivered", || {
        new.count_of("m1") + new.count_of("m2") == 2
    });
    assert_eq!(old.count(), 1);
}

#[test]
fn a_start_with_open_messages_sends_nothing_by_an_older_list_than_its_agent_holds() {
    let (old, new) = (
        Endpoint::new(|_, _| Reply::Response("503 Full", String::new())),
        Endpoint::new(|_, _| OK),
    );
    let agent = Agent::new(vec![one_of("s-1", old.address, "up")]);
    let known = format!(r#""known":{}"#, one_of("s-1", old.address, "up"));
    let node = Node::configured_with(&agent, |text| {
        text.replace(r#""known":{"rev":0,"all":true,"targets":[]}"#, &known)
    });
    let mut node = node.ready();
    assert_eq!(node.submit("webhook", "m1", 7, 20_000, b"x"), 202);
    wait_until("it is tried", || old.count() > 0);
    node.kill();
    let tried = old.count();
    replace(&agent, &old, "draining", &new);
    *agent.watch_delay.lock().expect("not poisoned") = Duration::from_millis(150);
    let _next = node.successor_as_configured();
    wait_until("delivered", || new.count_of("m1") == 1);
    assert_eq!(
        old.count(),
        tried,
        "by the list that the process started with"
    );
}

#[test]
fn an_agent_that_is_gone_keeps_no_start_from_serving() {
    let endpoint = Endpoint::new(|_, _| OK);
    let agent = Agent::new(vec![one_of("s-1", endpoint.address, "up")]);
    let known = format!(r#""known":{}"#, one_of("s-1", endpoint.address, "up"));
    // nobody listens there
    let free = std::net::TcpListener::bind("127.0.0.1:0")
        .and_then(|free| free.local_addr())
        .expect("a port");
    let node = Node::configured_with(&agent, |text| {
        text.replace(r#""known":{"rev":0,"all":true,"targets":[]}"#, &known)
            .replace(&agent.address.to_string(), &free.to_string())
    });
    node.move_discovery(&agent);
    let node = node.ready();
    deliver(&node, "m1", 7);
}

#[test]
fn an_indented_list_is_taken_and_what_cannot_be_read_brings_the_whole_list_again() {
    let endpoint = Endpoint::new(|_, _| OK);
    let value: serde_json::Value =
        serde_json::from_str(&one_of("s-1", endpoint.address, "up")).expect("JSON");
    let agent = Agent::new(vec![format!("{value:#}")]);
    let node = asking(&agent, 1);
    deliver(&node, "m1", 7);
    let watches = agent.watches.load(Ordering::SeqCst);
    agent.announce("{\"rev\":9,\n \"all\":fals}".to_string());
    wait_until("the list is asked for anew", || {
        agent.watches.load(Ordering::SeqCst) > watches
    });
    wait_until("it says why", || node.logged("the whole list is asked for"));
    deliver(&node, "m2", 7);
}

/// All open watches end.
fn end_watches(agent: &Agent) -> usize {
    let watches = agent.watches.load(Ordering::SeqCst);
    agent.closed_watches.store(watches, Ordering::SeqCst);
    watches
}

#[test]
fn one_of_hundreds_finds_a_discovery_that_is_back_before_what_it_has_counts_as_told() {
    let (old, new) = (Endpoint::new(|_, _| OK), Endpoint::new(|_, _| OK));
    let agent = Agent::new(vec![one_of("s-1", old.address, "up")]);
    let node = asking(&agent, 300);
    deliver(&node, "before", 7);
    agent.rejects_watches.store(true, Ordering::SeqCst);
    let watches = end_watches(&agent);
    // its rests have grown by then
    wait_until("two calls are refused", || {
        agent.rejected_watches.load(Ordering::SeqCst) >= 2
    });
    replace(&agent, &old, "draining", &new);
    agent.rejects_watches.store(false, Ordering::SeqCst);
    let back = Instant::now();
    wait_until("a new watch", || {
        agent.watches.load(Ordering::SeqCst) > watches
    });
    let after = back.elapsed();
    assert!(
        after < Duration::from_secs(5),
        "a new watch after {after:?}"
    );
    wait_until("the new list binds", || {
        deliver(&node, &format!("t{}", old.count()), 7);
        new.count() > 0
    });
}

#[test]
fn after_a_watch_that_ended_and_calls_without_an_answer_nothing_is_sent_by_what_may_have_changed() {
    let (old, new) = (Endpoint::new(|_, _| OK), Endpoint::new(|_, _| OK));
    let agent = Agent::new(vec![one_of("s-1", old.address, "up")]);
    let node = asking(&agent, 1);
    deliver(&node, "before", 7);
    replace(&agent, &old, "removed", &new);
    agent.holds_watches.store(true, Ordering::SeqCst);
    end_watches(&agent);
    wait_until("it says so", || {
        node.logged("nothing is sent until it tells")
    });
    assert_eq!(node.submit("webhook", "m1", 7, 20_000, b"x"), 202);
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(old.count(), 1);
    agent.holds_watches.store(false, Ordering::SeqCst);
    wait_until("all is delivered", || new.count_of("m1") == 1);
    assert_eq!(old.count(), 1);
}

#[test]
fn a_discovery_that_says_no_for_long_keeps_no_message_waiting() {
    let endpoint = Endpoint::new(|_, _| OK);
    let agent = Agent::new(vec![one_of("s-1", endpoint.address, "up")]);
    let node = asking(&agent, 1);
    deliver(&node, "before", 7);
    agent.rejects_watches.store(true, Ordering::SeqCst);
    end_watches(&agent);
    let (down, mut sent_so_far) = (Instant::now(), 0);
    while down.elapsed() < Duration::from_secs(9) {
        deliver(&node, &format!("m{sent_so_far}"), 7);
        sent_so_far += 1;
        std::thread::sleep(Duration::from_millis(100));
    }
    assert!(!node.logged("nothing is sent until it tells"));
}
