//! No cap under 1,024 on endpoints or senders: the real program reads a list of 1,024 endpoints from discovery over
//! loopback as one of 1,024 senders, calls each of them, and knows 1,023 other members, within a stated memory.

mod node;

use fleet_membership::{Datagram, Node as Member, Output, PersistedState, Settings};
use node::*;
use serde_json::Value;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Endpoints, destinations and senders: the size that no cap may be under.
const MANY: usize = 1024;
/// Servers that the endpoints share: threads of this process are counted by them.
const SERVERS: usize = 32;
/// Descriptors of the sender: a third of them for clients, half for endpoints, as many as there are.
const SOCKETS: usize = 4096;
/// Resident memory that the sender may have, bytes: a quarter of the `memory_mb` of its configuration, and half as much
/// again as it takes.
const MEMORY_MOST: usize = 48 << 20;

/// The sender's resident memory as the system has it, bytes.
fn resident(node: &Node) -> usize {
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

/// States the memory and holds it against the bound.
fn check_memory(node: &Node, when: &str) {
    let bytes = resident(node);
    println!("VmRSS {when}: {:.1} MiB", bytes as f64 / f64::from(1 << 20));
    assert!(bytes <= MEMORY_MOST, "{bytes} bytes are resident {when}");
}

/// A sender of a group of [`MANY`], with room, call slots and descriptors for as many endpoints at once: nothing is
/// refused at the door, however slow the machine is.
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

/// The list of [`MANY`] endpoints, each of a destination of its own.
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
fn a_list_of_1024_endpoints_is_read_served_and_reported_whole_by_one_of_1024_senders() {
    let servers: Vec<Endpoint> = (0..SERVERS).map(|_| Endpoint::new(|_, _| OK)).collect();
    let agent = Agent::new(vec![list_of_many(&servers)]);
    let node = one_of_many(&agent, "").ready();
    wait_until("all endpoints are known", || {
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
    // a connection for each endpoint stays idle: only one beside it may be too many
    assert!(
        count(&closes["surplus"]) + count(&closes["evicted"]) <= dials - MANY,
        "{counts}"
    );
    check_memory(&node, "once each endpoint has been called");
}

/// Members that answer whatever reaches them, each at an address of its own, on one thread.
struct Members {
    seed: SocketAddr,
    ends: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

const FLEET: &str = "test";
/// The protocol's period: a probe waits for about as long.
const PERIOD: Duration = Duration::from_millis(200);
/// Time between two looks at all sockets: far shorter than a probe may take.
const LOOK: Duration = Duration::from_millis(2);
/// Longer than any datagram of the protocol.
const DATAGRAM_MOST: usize = 2048;

impl Members {
    /// So many of one fleet. The first knows all and is the seed of whoever joins.
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
        let ends = Arc::new(AtomicBool::new(false));
        let stops = ends.clone();
        let thread = thread::spawn(move || {
            while !stops.load(Ordering::SeqCst) {
                answer_all(&mut members, start);
                thread::sleep(LOOK);
            }
        });
        Members {
            seed,
            ends,
            thread: Some(thread),
        }
    }
}

impl Drop for Members {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::SeqCst);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

/// Hands the seed what each other member says when it begins.
fn introduce(members: &mut [(UdpSocket, Member)]) {
    let (seed, others) = members.split_first_mut().expect("a seed");
    let seed_address = seed.1.settings().advertise;
    for (_, member) in others {
        let (mut said, mut answers) = (Output::default(), Output::default());
        let source = member.settings().advertise;
        member.tick(member.next_deadline(), &mut said);
        for Datagram {
            destination,
            payload,
        } in said.datagrams
        {
            assert_eq!(destination, seed_address);
            seed.1.handle_datagram(0, source, &payload, &mut answers);
        }
    }
}

/// Takes in what has come to each member, and sends what it answers.
fn answer_all(members: &mut [(UdpSocket, Member)], start: Instant) {
    let now = start.elapsed().as_micros() as u64;
    let mut datagram = [0; DATAGRAM_MOST];
    for (number, (socket, member)) in members.iter_mut().enumerate() {
        let mut output = Output::default();
        // the seed lives on, so that it may answer anew in each period; the others only answer
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
            // one that is lost is as good as any other that is
            let _ = socket.send_to(&payload, destination);
        }
    }
}

#[test]
fn a_fleet_of_1024_senders_is_known_whole() {
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
    wait_until("all senders are known", || report()["living"] == MANY);
    assert_eq!(report()["scaled_by"], MANY);
    assert_eq!(report()["members"].as_array().map(Vec::len), Some(MANY - 1));
    check_memory(&node, "with the list and all senders");
}

#[test]
fn a_table_of_members_has_room_for_1024_however_few_are_configured() {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    for configured in [1, 3, 300, MANY as u32] {
        let settings = Settings::new("member", address, configured);
        assert!(
            settings.max_members >= MANY,
            "{} of {configured}",
            settings.max_members
        );
    }
}
