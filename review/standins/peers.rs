//! Peers that are no clients send bad requests, read nothing and stay. Clients go on as before.

use crate::client::{self, Client};
use crate::sender::Config;
use crate::world::{message, World};
use crate::{Case, Verdict};
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The least number of descriptors; clients may hold a third of them.
const SOCKETS: u64 = 256;
/// A few more than that third: a peer that is served to its end before the others' buffers are full leaves its place.
const PEERS: u64 = SOCKETS / 3 + 10;
/// What each peer sends: requests without the headers of a message, the last one cut in its middle.
const PEER_BYTES: usize = 4_000_000;
const BAD_REQUEST: &[u8] = b"POST /title-status HTTP/1.1\r\nHost: app.svc\r\n\r\n";
const PEERS_STAY: Duration = Duration::from_secs(30);
/// Clients, each handing in a message a second.
const CLIENTS: u64 = 4;
const CLIENTS_FOR: Duration = Duration::from_secs(24);
const MESSAGE_TIME: Duration = Duration::from_secs(6);
/// A final answer that comes later than this after a message's time is none.
const GRACE: Duration = Duration::from_millis(500);

/// Hands a message in, under new ids as clients do, until a request of it is answered; false if none was within the time
/// of the message and the grace.
fn is_answered(client: &mut Client, next_id: &AtomicU64) -> bool {
    let until = Instant::now() + MESSAGE_TIME + GRACE;
    while Instant::now() < until {
        let number = next_id.fetch_add(1, Ordering::Relaxed);
        if client
            .hand_in(&message(number, "title-status", 6000, b"a status".to_vec()))
            .is_some()
        {
            return true;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}

pub fn play(case: &Case) -> Verdict {
    let record = &case.record;
    let mut world = World::new(case, Vec::new(), |_| None);
    let list = world.platform.known();
    let discovery = world.discovery.at;
    let config = Config {
        discovery,
        known: &list,
        disk_mb: 3.0,
        max_open: 60,
        sockets: SOCKETS,
    };
    if !world.start(&config) {
        return Verdict::CouldNotRun("the sender did not get ready".into());
    }
    let sender = world.sender.listen;
    let next_id = Arc::new(AtomicU64::new(1));
    let began = Instant::now();
    let mut messages = Vec::new();
    let mut peers = Vec::new();
    while began.elapsed() < CLIENTS_FOR {
        if case.trouble && peers.is_empty() && began.elapsed() >= Duration::from_secs(3) {
            record.line(format!("{PEERS} peers send {PEER_BYTES} bytes each and read nothing"));
            peers.extend((0..PEERS).filter_map(|_| send_and_stay(sender)));
        }
        for _ in 0..CLIENTS {
            let (record, next_id) = (record.clone(), next_id.clone());
            let handed_at = began.elapsed();
            let message = std::thread::spawn(move || is_answered(&mut Client::new(sender, record), &next_id));
            messages.push((handed_at, message));
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    if case.trouble && (peers.len() as u64) < PEERS {
        return Verdict::CouldNotRun(format!("only {} peers could connect", peers.len()));
    }
    let handed = messages.len();
    let mut never = 0;
    for (handed_at, message) in messages {
        match message.join() {
            Ok(true) => {}
            Ok(false) => {
                never += 1;
                record.line(format!(
                    "a message handed in at {:.1} s was never answered",
                    handed_at.as_secs_f64()
                ));
            }
            Err(_) => return Verdict::CouldNotRun("a client failed".into()),
        }
    }
    let ready = client::get(sender, "/ready");
    record.say(format!(
        "GET /ready beside the peers: {}",
        ready.map_or("no answer".to_string(), |status| status.to_string())
    ));
    if case.trouble {
        std::thread::sleep(PEERS_STAY.saturating_sub(began.elapsed()));
        for peer in &peers {
            let _ = peer.shutdown(Shutdown::Both);
        }
        // the threads that write have ended, so these are the last owners
        std::thread::sleep(Duration::from_millis(200));
        drop(peers);
        let gone = Instant::now();
        let mut ready = None;
        while ready.is_none() && gone.elapsed() < Duration::from_secs(10) {
            ready = client::get(sender, "/ready");
        }
        record.line(format!(
            "{:.1} s after the peers have gone",
            gone.elapsed().as_secs_f64()
        ));
        record.say(format!(
            "GET /ready after the peers: {}",
            ready.map_or("no answer".to_string(), |status| status.to_string())
        ));
    }
    record.say(format!(
        "{handed} messages handed in, {never} never answered by their time and {GRACE:?}"
    ));
    world.sender.record_log();
    if world.sender.has_ended() {
        record.say("the sender has ended by itself");
        return Verdict::Broken;
    }
    if never > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Connects a peer that sends much at once and reads nothing for as long as it is kept.
fn send_and_stay(sender: SocketAddr) -> Option<TcpStream> {
    let stream = connect_as_over_a_network(sender)?;
    let mut writer = stream.try_clone().ok()?;
    std::thread::spawn(move || {
        let bytes: Vec<u8> = BAD_REQUEST.iter().copied().cycle().take(PEER_BYTES).collect();
        let _ = writer.set_write_timeout(Some(PEERS_STAY));
        // it ends early once the sender takes no more
        let _ = writer.write_all(&bytes);
    });
    Some(stream)
}

#[repr(C)]
struct SocketAddress {
    family: u16,
    port: [u8; 2],
    address: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const SocketAddress, length: u32) -> i32;
}

/// Connects with segments of 1,400 bytes, as between machines, and a receive buffer of 16 KiB.
fn connect_as_over_a_network(address: SocketAddr) -> Option<TcpStream> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let peer = SocketAddress {
        family: AF_INET as u16,
        port: address.port().to_be_bytes(),
        address: address.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: each pointer is valid for the length beside it, and the descriptor has this one owner
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM, 0);
        if descriptor < 0 {
            return None;
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &1400, 4);
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &16384, 4);
        (connect(descriptor, &peer, 16) == 0).then_some(stream)
    }
}
