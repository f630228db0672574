//! Idle clients that fill a sender's descriptors.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// How long a client waits before it connects again.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(200);

/// Clients that connect to one sender, send nothing, and connect again when they are closed; they leave when this is
/// dropped.
#[derive(Debug)]
pub struct Crowd {
    _clients: JoinSet<()>,
}

impl Crowd {
    /// Starts so many of them.
    pub fn start(address: SocketAddr, connections: usize) -> Self {
        let mut clients = JoinSet::new();
        for _ in 0..connections {
            clients.spawn(stay_connected(address));
        }
        Crowd { _clients: clients }
    }
}

async fn stay_connected(address: SocketAddr) {
    loop {
        // a sender that is down refuses
        if let Ok(mut stream) = TcpStream::connect(address).await {
            let _ = stream.read(&mut [0; 64]).await;
        }
        sleep(RECONNECT_INTERVAL).await;
    }
}
