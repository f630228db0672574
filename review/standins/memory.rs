//! Case `memory`: peers that stop in the middle of a request and stay.

use crate::clients::Client;
use crate::endpoint::Endpoint;
use crate::platform::{list, Discovery, Limits, Sender, Target};
use crate::Play;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const MEMORY_MB: u64 = 32;
const MEMORY_BYTES: u64 = MEMORY_MB << 20;
const SOCKETS: usize = 512;
/// Peers at a time: a few more than the third of the descriptors that clients may hold.
const PEERS: usize = SOCKETS / 3 + 10;
/// What a peer sends of its body, in chunks: 64 bytes less than the 64 KiB that a body may hold.
const CHUNKS: usize = 4_092;
const CHUNK: &[u8] = b"10\r\nxxxxxxxxxxxxxxxx\r\n";
const PLAY: Duration = Duration::from_secs(15);
const PEERS_AT: Duration = Duration::from_secs(3);
const PEERS_UNTIL: Duration = Duration::from_secs(10);

pub fn play(play: &Play) -> Result<Vec<String>, String> {
    let endpoint = Endpoint::start(&play.record, Duration::from_millis(20));
    let targets = [Target {
        uid: "s-5be2a07c".to_string(),
        address: endpoint.address,
        destination: 7,
    }];
    let discovery = Discovery::start(&play.record, list(1, &targets));
    let limits = Limits {
        memory_mb: MEMORY_MB,
        sockets: SOCKETS,
        disk_mb: 3,
    };
    let mut sender = Sender::new(discovery.address, limits);
    sender.configure(play, &list(1, &targets))?;
    sender.start(play)?;
    sender.wait_ready(play)?;
    let began = Instant::now();
    let clients = Client::new(1, sender.listen, &play.record);
    let beside = clients.clone();
    let client = std::thread::spawn(move || {
        while began.elapsed() < PLAY - Duration::from_secs(4) {
            beside.hand_in(Duration::from_secs(3), b"a title is available");
            std::thread::sleep(Duration::from_millis(200));
        }
    });
    if play.trouble {
        for _ in 0..PEERS {
            let listen = sender.listen;
            std::thread::spawn(move || {
                std::thread::sleep(PEERS_AT);
                while began.elapsed() < PEERS_UNTIL {
                    let _ = stop_in_a_body(listen);
                }
            });
        }
    }
    let mut most = 0;
    let mut killed = false;
    while began.elapsed() < PLAY {
        most = most.max(sender.anonymous_memory());
        if most > MEMORY_BYTES && !killed {
            killed = true;
            play.record
                .line(format_args!("memory of {most} bytes, over {MEMORY_BYTES}"));
            // as the platform does
            sender.kill(play);
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    let _ = client.join();
    play.record
        .line(format_args!("memory of the process: {most} bytes at most"));
    let mut broken = Vec::new();
    if killed {
        broken.push(format!(
            "the sender needed {most} bytes, over {MEMORY_MB} MB, and was killed: it has crashed"
        ));
    }
    Ok(broken)
}

/// Sends a request up to a few bytes before the end of its body, and stays until it is answered.
fn stop_in_a_body(sender: SocketAddr) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(sender)?;
    stream.set_read_timeout(Some(Duration::from_secs(3)))?;
    let mut request = b"POST /title-status HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: bad\r\n\
        X-Priority-Class: title-status\r\nX-Timeout: 3000m\r\nTransfer-Encoding: chunked\r\n\
        Envelope: dest=7\r\n\r\n"
        .to_vec();
    request.extend(CHUNK.repeat(CHUNKS));
    stream.write_all(&request)?;
    let mut answer = [0; 512];
    stream.read(&mut answer)?;
    Ok(())
}
