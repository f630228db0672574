//! Clients that fill a sender's descriptors and memory.

use crate::scenario::CrowdRequests;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// How long a client waits before it connects again.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(200);
/// Length of the announced body, and how much of it is sent, bytes.
const ANNOUNCED_BODY_BYTES: usize = 64 * 1024;
const SENT_BODY_BYTES: usize = ANNOUNCED_BODY_BYTES - 1500;
/// Length of a piece of a slow body, bytes, and the pause after it.
const PIECE_BYTES: usize = 2048;
const PIECE_INTERVAL: Duration = Duration::from_millis(10);
/// Requests in one write of a flood.
const REQUESTS_IN_WRITE: usize = 100;
/// A small request that holds no message.
const BAD_REQUEST: &[u8] = b"POST /webhook HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";

/// Clients that connect to one sender, send no whole message, and connect again when they are closed; they leave when
/// this is dropped.
#[derive(Debug)]
pub struct Crowd {
    _clients: JoinSet<()>,
}

impl Crowd {
    /// Starts so many of them.
    pub fn start(address: SocketAddr, connections: usize, sends: CrowdRequests) -> Self {
        let mut clients = JoinSet::new();
        for _ in 0..connections {
            clients.spawn(stay_connected(address, sends));
        }
        Crowd { _clients: clients }
    }
}

async fn stay_connected(address: SocketAddr, sends: CrowdRequests) {
    loop {
        // a sender that is down refuses, and one that closes the connection ends the writes
        if let Ok(stream) = TcpStream::connect(address).await {
            let _ = send(stream, sends).await;
        }
        sleep(RECONNECT_INTERVAL).await;
    }
}

/// Sends what the crowd sends, and waits until the sender closes the connection.
async fn send(mut stream: TcpStream, sends: CrowdRequests) -> io::Result<()> {
    match sends {
        CrowdRequests::Nothing => {}
        CrowdRequests::PartOfBody => {
            stream.write_all(&head()).await?;
            stream.write_all(&[b'x'; SENT_BODY_BYTES]).await?;
        }
        CrowdRequests::SlowBody => {
            stream.write_all(&head()).await?;
            for _ in 0..SENT_BODY_BYTES / PIECE_BYTES {
                stream.write_all(&[b'x'; PIECE_BYTES]).await?;
                sleep(PIECE_INTERVAL).await;
            }
        }
        CrowdRequests::Flood => loop {
            stream
                .write_all(&BAD_REQUEST.repeat(REQUESTS_IN_WRITE))
                .await?;
        },
    }
    let _ = stream.read(&mut [0; 64]).await?;
    Ok(())
}

/// Returns the head of a request for a large message, which is never sent whole.
fn head() -> Vec<u8> {
    format!(
        "POST /loan-report HTTP/1.1\r\nHost: a\r\nX-Request-ID: crowd\r\nX-Priority-Class: loan-report\r\nX-Timeout: 900m\r\n\
         Idempotency-Key: crowd\r\nEnvelope: dest=1\r\nContent-Length: {ANNOUNCED_BODY_BYTES}\r\n\r\n"
    )
    .into_bytes()
}
