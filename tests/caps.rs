//! Guards against caps below 1,024 on endpoints or senders. The real program, as one of 1,024 senders, reads a list of
//! 1,024 endpoints from discovery over loopback, calls each of them and knows the 1,023 other members, within a memory
//! bound.

mod node;

use fleet_membership::{Datagram, Node as Member, Output, PersistedState, Settings};
use node::*;
use serde_json::Value;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Number of endpoints, of destinations and of senders that every cap must allow.
const MANY: usize = 1024;
/// Number of servers that the endpoints share, which bounds the threads of this process.
const SERVERS: usize = 32;
/// File descriptors of the sender: a third of them serve clients, and half serve endpoints, enough for a connection to
/// each.
const SOCKETS: usize = 4096;
/// Maximum resident memory of the sender in bytes: a quarter of `memory_mb` in its configuration, and 1.5 times its
/// usual memory in this test.
const MAX_RESIDENT_BYTES: usize = 48 << 20;

/// Returns the sender's resident memory in bytes, as the kernel reports it.
fn resident_bytes(node: &Node) -> usize {
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", node.process.id())).expect("it runs");
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .expect("listed");
    line.trim()
        .trim_end_matches(" kB")
        .parse::<usize>()
        .expect("a number")
        * 1024
}

/// Prints the sender's resident memory and asserts that it is within the bound.
fn check_memory(node: &Node, when: &str) {
    let bytes = resident_bytes(node);
    println!("VmRSS {when}: {:.1} MiB", bytes as f64 / f64::from(1 << 20));
    assert!(
        bytes <= MAX_RESIDENT_BYTES,
        "{bytes} bytes are resident {when}"
    );
}

/// Starts a sender of a fleet of [`MANY`] whose limits on messages, call slots and descriptors allow calls to all
/// endpoints at once, so that no message is rejected on arrival even on a slow host. `more` is added to the
/// configuration.
fn one_of_many(agent: &Agent, more: &str) -> Node {
    let configured = |text: String| {
        let text = text.replace(r#""balancers":1,"#, &format!(r#""balancers":{MANY},"#));
        let text = text.replace(r#""sockets":1024"#, &format!(r#""sockets":{SOCKETS}"#));
        let text = text.replace(r#""maxOpen":50,"#, &format!(r#""maxOpen":{},"#, 2 * MANY));
        let text = text.replace(r#""callSlots":8,"#, &format!(r#""callSlots":{MANY},"#));
        with_members(&text, more)
    };
    Node::configured_with(agent, configured)
}

fn uid(number: usize) -> String {
    format!("srv-{number:05}")
}

/// Returns a list of [`MANY`] endpoints, each of a destination of its own.
fn list_of_many(servers: &[Endpoint]) -> String {
    let uids: Vec<String> = (0..MANY).map(uid).collect();
    let entry = |number: usize| {
        (
            uids[number].as_str(),
            servers[number % SERVERS].address,
            "one",
            number as u64 + 1,
            "up",
        )
    };
    list(&(0..MANY).map(entry).collect::<Vec<_>>())
}

#[test]
fn sender_in_fleet_of_1024_reads_calls_and_reports_1024_endpoints() {
    let servers: Vec<Endpoint> = (0..SERVERS).map(|_| Endpoint::new(|_, _| OK)).collect();
    let agent = Agent::new(vec![list_of_many(&servers)]);
    let node = one_of_many(&agent, "").ready();
    wait_until("the report lists all endpoints", || {
        pools(&node)["totals"]["endpoints"] == MANY
    });
    check_memory(&node, "with the list");

    for number in 0..MANY {
        let id = uid(number);
        assert_eq!(
            node.submit("webhook", &id, number as u64 + 1, 20_000, b"x"),
            202,
            "{id}"
        );
    }
    wait_until("each endpoint has been called", || {
        (0..MANY).all(|number| servers[number % SERVERS].count_of(&uid(number)) > 0)
    });
    assert_eq!(agent.notices(), Vec::<String>::new());

    let report = pools(&node);
    assert_eq!(report["left_out"], 0);
    assert_eq!(report["endpoints"].as_array().map(Vec::len), Some(MANY));
    assert_eq!(report["limits"]["idle"], MANY);
    let counts = &report["totals"]["counts"];
    let count = |value: &Value| value.as_u64().unwrap_or(0) as usize;
    let (dials, closes) = (count(&counts["dials"]), &counts["closes"]);
    assert!(dials >= MANY, "{counts}");
    // one idle connection to each endpoint is kept; only further connections may be closed as surplus or evicted
    assert!(
        count(&closes["surplus"]) + count(&closes["evicted"]) <= dials - MANY,
        "{counts}"
    );
    check_memory(&node, "once each endpoint has been called");
}

/// Fleet members on one thread, each with a socket of its own, that answer every datagram.
struct Members {
    /// Address of the first member, at which senders join.
    seed: SocketAddr,
    /// Set to true to stop the thread that runs the members.
    should_stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

const FLEET: &str = "test";
/// Protocol period of the membership, which is also about the time that a probe waits for its answer.
const PERIOD: Duration = Duration::from_millis(200);
/// Interval between reads of all sockets, far shorter than the time that a probe waits for its answer.
const READ_INTERVAL: Duration = Duration::from_millis(2);
/// Receive buffer size in bytes, larger than any datagram of the protocol.
const MAX_DATAGRAM_BYTES: usize = 2048;

impl Members {
    /// Starts `count` members of one fleet. The first one knows all others and is the seed for senders that join.
    fn new(count: usize) -> Self {
        let start = Instant::now();
        let mut members: Vec<(UdpSocket, Member)> = Vec::new();
        for number in 0..count {
            let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
            socket.set_nonblocking(true).expect("set");
            let address = socket.local_addr().expect("bound");
            let mut settings = Settings::new(&format!("member-{number:04}"), address, MANY as u32);
            settings.fleet = FLEET.to_string();
            settings.protocol_period = PERIOD.as_micros() as u64;
            settings.seeds = members
                .first()
                .map(|(_, seed)| seed.settings().advertise)
                .into_iter()
                .collect();
            let member = Member::new(settings, PersistedState::default(), number as u64, 1, 0)
                .expect("settings");
            members.push((socket, member));
        }
        let seed = members[0].1.settings().advertise;
        introduce(&mut members);
        let should_stop = Arc::new(AtomicBool::new(false));
        let stop_flag = should_stop.clone();
        let thread = thread::spawn(move || {
            while !stop_flag.load(Ordering::SeqCst) {
                answer_all(&mut members, start);
                thread::sleep(READ_INTERVAL);
            }
        });
        Members {
            seed,
            should_stop,
            thread: Some(thread),
        }
    }
}

impl Drop for Members {
    fn drop(&mut self) {
        self.should_stop.store(true, Ordering::SeqCst);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

/// Delivers the first datagrams of all other members to the seed, so that it knows them.
fn introduce(members: &mut [(UdpSocket, Member)]) {
    let (seed, others) = members.split_first_mut().expect("a seed");
    let seed_address = seed.1.settings().advertise;
    for (_, member) in others {
        let (mut join_requests, mut responses) = (Output::default(), Output::default());
        let source = member.settings().advertise;
        member.tick(member.next_deadline(), &mut join_requests);
        for Datagram {
            destination,
            payload,
        } in join_requests.datagrams
        {
            assert_eq!(destination, seed_address);
            seed.1.handle_datagram(0, source, &payload, &mut responses);
        }
    }
}

/// Handles the datagrams that each member has received, and sends the responses.
fn answer_all(members: &mut [(UdpSocket, Member)], start: Instant) {
    let now = start.elapsed().as_micros() as u64;
    let mut datagram = [0; MAX_DATAGRAM_BYTES];
    for (number, (socket, member)) in members.iter_mut().enumerate() {
        let mut output = Output::default();
        // only the seed runs its timers, since it limits its responses per period; the others only respond
        if number == 0 && now >= member.next_deadline() {
            member.tick(now, &mut output);
        }
        while let Ok((length, source)) = socket.recv_from(&mut datagram) {
            member.handle_datagram(now, source, &datagram[..length], &mut output);
        }
        for Datagram {
            destination,
            payload,
        } in output.datagrams
        {
            // a failed send counts as a lost datagram, which the protocol tolerates
            let _ = socket.send_to(&payload, destination);
        }
    }
}

#[test]
fn sender_knows_all_members_of_fleet_of_1024() {
    let members = Members::new(MANY - 1);
    let servers: Vec<Endpoint> = (0..SERVERS).map(|_| Endpoint::new(|_, _| OK)).collect();
    let agent = Agent::new(vec![list_of_many(&servers)]);
    let listen = UdpSocket::bind("127.0.0.1:0")
        .and_then(|socket| socket.local_addr())
        .expect("an address");
    let object = format!(
        r#""membership":{{"listen":"{listen}","fleet":"{FLEET}","seeds":["{}"],"period_ms":{}}},"#,
        members.seed,
        PERIOD.as_millis()
    );
    let node = one_of_many(&agent, &object).ready();
    let report =
        || serde_json::from_str::<Value>(&operator_response(&node, "GET /members")).expect("JSON");
    wait_until("the report counts all senders as present", || {
        report()["living"] == MANY
    });
    assert_eq!(report()["scaled_by"], MANY);
    assert_eq!(report()["members"].as_array().map(Vec::len), Some(MANY - 1));
    check_memory(&node, "with the list and all senders");
}

#[test]
fn member_table_allows_1024_members_for_any_configured_size() {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    for expected_members in [1, 3, 300, MANY as u32] {
        let settings = Settings::new("member", address, expected_members);
        assert!(
            settings.max_members >= MANY,
            "{} for {expected_members} expected members",
            settings.max_members
        );
    }
}
