//! Membership in the real program: off without its object, on by the configuration alone, seen by operators.

mod node;

use node::*;
use serde_json::Value;
use std::io::Read;
use std::net::{SocketAddr, UdpSocket};
use std::process::Stdio;

/// An address that is free now.
fn free() -> SocketAddr {
    UdpSocket::bind("127.0.0.1:0")
        .and_then(|socket| socket.local_addr())
        .expect("an address")
}

fn object(listen: SocketAddr, seeds: &[SocketAddr], more: &str) -> String {
    let seeds: Vec<String> = seeds.iter().map(|seed| format!(r#""{seed}""#)).collect();
    let seeds = seeds.join(",");
    format!(
        r#""membership":{{"listen":"{listen}","fleet":"test","seeds":[{seeds}],"period_ms":50{more}}},"#
    )
}

/// A sender of another name than the usual.
fn member(agent: &Agent, name: &str, membership: &str) -> Node {
    let membership = format!(r#""name":"{name}",{membership}"#);
    let node = Node::configured_with(agent, |text| {
        with_members(&text.replace(r#""name":"n1","#, ""), &membership)
    });
    node.ready()
}

fn members(node: &Node) -> Value {
    serde_json::from_str(&operator_response(node, "GET /members")).expect("JSON")
}

fn state(node: &Node, of: &str) -> String {
    let report = members(node);
    let listed = report["members"].as_array().expect("a list");
    let found = listed.iter().find(|member| member["name"] == of);
    found
        .and_then(|member| member["state"].as_str())
        .unwrap_or("unknown")
        .to_string()
}

#[test]
fn no_object_starts_no_membership() {
    let endpoint = Endpoint::new(|_, _| OK);
    let node = Node::new(&agent_with_one_endpoint(&endpoint)).ready();
    assert_eq!(
        (
            node.operator_status("GET /members", ""),
            node.operator_status("POST /members", "")
        ),
        (404, 405)
    );
    assert!(!node.logged("members"));
    assert!(!node.folder.join("state/members").exists());
    let sockets =
        std::fs::read_to_string(format!("/proc/{}/net/udp", node.process.id())).expect("listed");
    let own = std::fs::read_dir(format!("/proc/{}/fd", node.process.id())).expect("it runs");
    let links: Vec<String> = own
        .flatten()
        .filter_map(|fd| Some(std::fs::read_link(fd.path()).ok()?.display().to_string()))
        .collect();
    let udp = sockets
        .lines()
        .skip(1)
        .filter_map(|line| line.split_whitespace().nth(9));
    let mut held = udp.filter(|inode| links.contains(&format!("socket:[{inode}]")));
    assert_eq!(held.next(), None, "no datagram socket");
}

#[test]
fn two_members_find_each_other_and_shutdown_is_seen_as_left() {
    let endpoint = Endpoint::new(|_, _| OK);
    let agent = agent_with_one_endpoint(&endpoint);
    let (a, b) = (free(), free());
    let one = member(&agent, "a", &object(a, &[b], ""));
    let mut other = member(&agent, "b", &object(b, &[], ""));
    wait_until("both know both", || {
        (state(&one, "b"), state(&other, "a")) == ("alive".into(), "alive".into())
    });
    let report = members(&one);
    assert_eq!(
        (&report["name"], &report["living"], &report["scaled_by"]),
        (&"a".into(), &2.into(), &2.into())
    );
    assert!(report["counts"]["datagrams_in"].as_u64() > Some(0));
    assert!(one.logged(&format!(
        "members: b alive (was unknown), incarnation 0, {b}"
    )));
    other.terminate();
    wait_until("it has left", || state(&one, "b") == "left");
    other.process.wait().expect("ended");
    // it comes again under its name, from what its folder remembers
    other.kill();
    let other = other.successor_as_configured().ready();
    wait_until("it is back", || state(&one, "b") == "alive");
    assert!(members(&other)["incarnation"].as_u64() > Some(0));
}

#[test]
fn handover_keeps_the_member_alive() {
    let endpoint = Endpoint::new(|_, _| OK);
    let agent = agent_with_one_endpoint(&endpoint);
    let (a, b) = (free(), free());
    let other = member(&agent, "b", &object(b, &[], ""));
    let membership = format!(r#""name":"a",{}"#, object(a, &[b], ""));
    let change =
        move |text: String| with_members(&text.replace(r#""name":"n1","#, ""), &membership);
    let old = Node::configured_with(&agent, change).ready();
    wait_until("it is known", || state(&other, "a") == "alive");
    let new = old.successor_as_configured().ready();
    old.terminate();
    wait_until("the next process has the place", || {
        new.logged("members: a at")
    });
    wait_until("it knows the other", || state(&new, "b") == "alive");
    assert_eq!(state(&other, "a"), "alive");
    for never in ["a dead", "a left"] {
        assert!(!other.logged(&format!("members: {never}")), "{never}");
    }
}

#[test]
fn faulty_object_stops_start_and_is_rejected_at_sighup() {
    let endpoint = Endpoint::new(|_, _| OK);
    let agent = agent_with_one_endpoint(&endpoint);
    let address = free();
    for (more, told) in [
        (
            r#","perriod_ms":5"#,
            "membership: unknown field `perriod_ms`",
        ),
        (
            r#","helpers":0"#,
            "membership.helpers is not a number from 1 to 8",
        ),
        (
            r#","key_file":"/nowhere/key""#,
            "membership.key_file: /nowhere/key",
        ),
    ] {
        let folder = fresh_folder();
        let text = with_members(
            &config(agent.address, 3.0, 5.0, 1024),
            &object(address, &[], more),
        );
        std::fs::write(folder.join("config.json"), text).expect("written");
        let mut process = command(&folder)
            .stderr(Stdio::piped())
            .spawn()
            .expect("it starts");
        let mut said = String::new();
        process
            .stderr
            .take()
            .expect("piped")
            .read_to_string(&mut said)
            .expect("it ends");
        assert!(
            !process.wait().expect("ended").success() && said.contains(told),
            "{more}: {said}"
        );
    }
    let good = object(address, &[], "");
    let node = Node::configured(&agent, 5.0, 8, &good).ready();
    wait_until("it is on", || {
        node.operator_status("GET /members", "") == 200
    });
    let path = node.folder.join("config.json");
    let text = std::fs::read_to_string(&path).expect("the configuration");
    let bring = |part: &str| {
        std::fs::write(&path, text.replace(&good, part)).expect("written");
        node.hang_up();
    };
    bring(&object(address, &[], r#","helpers":0"#));
    wait_until("it is refused", || {
        node.logged("configuration left as it was: membership.helpers")
    });
    assert_eq!(node.operator_status("GET /members", ""), 200);
    bring("");
    wait_until("it is off", || {
        node.operator_status("GET /members", "") == 404
    });
    bring(&good);
    wait_until("it is on again", || {
        node.operator_status("GET /members", "") == 200
    });
}

#[test]
fn taken_address_is_logged_once_and_messages_are_served() {
    let endpoint = Endpoint::new(|_, _| OK);
    let agent = agent_with_one_endpoint(&endpoint);
    let taken = UdpSocket::bind("127.0.0.1:0").expect("an address");
    let address = taken.local_addr().expect("bound");
    let node = Node::configured(&agent, 5.0, 8, &object(address, &[], "")).ready();
    deliver(&node, "m1", 7);
    wait_until("it is told", || node.logged("members: off until"));
    drop(taken);
    wait_until("it is on", || {
        node.operator_status("GET /members", "") == 200
    });
    let lines = node
        .log
        .lock()
        .expect("not poisoned")
        .iter()
        .filter(|line| line.contains("off until"))
        .count();
    assert_eq!(lines, 1);
}
