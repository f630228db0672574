//! Case `unread-answers`: peers that send much at once that is no proper request, stop in the middle
//! of a request and stay.

use crate::clients::{Client, Handed};
use crate::endpoint::Endpoint;
use crate::platform::{list, Discovery, Limits, Sender, Target};
use crate::Play;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Descriptors of the sender; clients may hold a third of them.
const SOCKETS: usize = 256;
/// Bad peers: a few more than the third.
const PEERS: usize = SOCKETS / 3 + 10;
/// Bytes that each peer sends at once.
const PEER_BYTES: usize = 4_000_000;
/// One request of a bad peer, without the headers that a message needs.
const BAD_REQUEST: &[u8] = b"POST /title-status HTTP/1.1\r\nHost: app.svc\r\n\r\n";
/// How long a message may be delivered, as its class says.
const MESSAGE_TIME: Duration = Duration::from_secs(6);
/// When the peers come, and for how long they stay.
const PEERS_AT: Duration = Duration::from_secs(3);
const PEERS_STAY: Duration = Duration::from_secs(30);
/// Clients, each with connections of its own; each hands in a message a second for so long.
const CLIENTS: usize = 4;
const CLIENTS_FOR: Duration = Duration::from_secs(24);
/// A final answer later than this after a message's time is up counts as none.
const GRACE: Duration = Duration::from_millis(500);

pub fn play(play: &Play) -> Result<Vec<String>, String> {
    let endpoint = Endpoint::start(&play.record, Duration::from_millis(20));
    let targets = [Target {
        uid: "s-5be2a07c".to_string(),
        address: endpoint.address,
        destination: 7,
    }];
    let discovery = Discovery::start(&play.record, list(1, &targets));
    let limits = Limits {
        memory_mb: 48,
        sockets: SOCKETS,
        disk_mb: 3,
    };
    let mut sender = Sender::new(discovery.address, limits);
    sender.configure(play, &list(1, &targets))?;
    sender.start(play)?;
    sender.wait_ready(play)?;
    let clients: Vec<_> = (1..=CLIENTS)
        .map(|number| Client::new(number, sender.listen, &play.record))
        .collect();
    let began = Instant::now();
    let (trouble, listen, record) = (play.trouble, sender.listen, play.record.clone());
    let peers = std::thread::spawn(move || {
        std::thread::sleep(PEERS_AT);
        if trouble {
            record.line(format_args!(
                "{PEERS} bad peers send {PEER_BYTES} bytes each"
            ));
            let held: Vec<_> = (0..PEERS).map(|_| BadPeer::start(listen)).collect();
            std::thread::sleep(PEERS_STAY);
            drop(held);
            record.line(format_args!("the bad peers go"));
        }
    });
    let mut messages = Vec::new();
    let mut used_before = None;
    for client in clients.iter().cycle() {
        if began.elapsed() >= CLIENTS_FOR {
            break;
        }
        if used_before.is_none() && began.elapsed() >= CLIENTS_FOR / 2 {
            used_before = Some((Instant::now(), sender.processor_seconds()));
        }
        let client = client.clone();
        messages.push(std::thread::spawn(move || {
            client.hand_in(MESSAGE_TIME, b"a title is available")
        }));
        std::thread::sleep(Duration::from_secs(1) / CLIENTS as u32);
    }
    for message in messages {
        message.join().map_err(|_| "a client failed")?;
    }
    std::thread::sleep(GRACE);
    if let Some((since, used)) = used_before {
        play.record.line(format_args!(
            "processor time of the sender in the last {:.0} s: {:.2} s",
            since.elapsed().as_secs_f64(),
            sender.processor_seconds() - used
        ));
    }
    let ready_beside_peers = sender.is_ready();
    play.record.line(format_args!(
        "ready while the peers stay: {ready_beside_peers}"
    ));
    let _ = peers.join();
    std::thread::sleep(Duration::from_secs(2));
    play.record
        .line(format_args!("ready after that: {}", sender.is_ready()));
    if sender.has_ended() {
        return Ok(vec!["the sender has ended".to_string()]);
    }
    Ok(judge(play, &clients, &endpoint, &discovery))
}

fn judge(
    play: &Play,
    clients: &[Arc<Client>],
    endpoint: &Endpoint,
    discovery: &Discovery,
) -> Vec<String> {
    let handed = clients
        .iter()
        .flat_map(|client| client.handed.lock().unwrap().clone());
    let handed: Vec<Handed> = handed.collect();
    let mut broken = Vec::new();
    // no request of the message has ever got an answer, neither a yes nor a refusal
    let never_answered = handed
        .iter()
        .filter(|message| !message.taken_on && message.refused == 0);
    let (mut count, mut requests) = (0, 0);
    for message in never_answered {
        count += 1;
        requests += message.unanswered;
    }
    play.record.line(format_args!(
        "{} messages, {} taken on, {count} never answered in {requests} requests",
        handed.len(),
        handed.iter().filter(|message| message.taken_on).count(),
    ));
    if count > 0 {
        broken.push(format!(
            "{count} messages never got an answer within their time and 0.5 s"
        ));
    }
    let runs = endpoint.runs.lock().unwrap();
    let ended = |id: &str| runs.iter().any(|(run, _)| run == id) || discovery.has_notice(id);
    let lost = handed
        .iter()
        .filter(|message| message.taken_on && !ended(&message.id))
        .count();
    if lost > 0 {
        broken.push(format!("{lost} messages were taken on and never ended"));
    }
    broken
}

/// A peer that sends much at once, reads nothing and stays. Dropping it closes its connection.
struct BadPeer {
    stream: Option<TcpStream>,
}

impl BadPeer {
    fn start(sender: SocketAddr) -> Self {
        let stream = connect_with_network_segments(sender);
        if let Some(mut stream) = stream.as_ref().and_then(|stream| stream.try_clone().ok()) {
            std::thread::spawn(move || {
                // the last request is cut in its middle
                let text: Vec<u8> = BAD_REQUEST
                    .iter()
                    .copied()
                    .cycle()
                    .take(PEER_BYTES)
                    .collect();
                let _ = stream.set_write_timeout(Some(Duration::from_secs(20)));
                let _ = stream.write_all(&text);
            });
        }
        BadPeer { stream }
    }
}

impl Drop for BadPeer {
    fn drop(&mut self) {
        if let Some(stream) = &self.stream {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

#[repr(C)]
struct SocketAddress {
    family: u16,
    port: [u8; 2],
    address: [u8; 4],
    zero: [u8; 8],
}

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const SocketAddress, length: u32) -> i32;
}

/// Connects with segments of 1,400 bytes, as between machines, instead of the 64 KiB of loopback,
/// and with a receive buffer of 16 KiB.
fn connect_with_network_segments(address: SocketAddr) -> Option<TcpStream> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let address = SocketAddress {
        family: AF_INET as u16,
        port: address.port().to_be_bytes(),
        address: address.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: the pointers are valid for the lengths given, and the descriptor is owned here alone
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM, 0);
        if descriptor < 0 {
            return None;
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &1400, 4);
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &16384, 4);
        (connect(descriptor, &address, 16) == 0).then_some(stream)
    }
}
