//! The connections between replicas, one each way, on which messages arrive complete, in order, or not at all.

use crate::commands::ThreadCommand;
use crate::lock::lock;
use crate::record_file::{HEADER_LENGTH, Header, append_record};
use crate::state::ReplicaAddresses;
use crate::wire_types::{WireError, decode, encode};
use raft::eraftpb::{Message, MessageType};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::SyncSender;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::error::Elapsed;
use tokio::time::{sleep, timeout};

/// The format of the messages, raised when an older program could not read them.
const FORMAT: u32 = 1;
/// Messages that wait for one replica; more are lost, as over a full link.
const QUEUE_CAPACITY: usize = 1024;
/// The longest time to connect, to read the handshake, and to write one message.
const IO_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection without a message carries an empty frame this often.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(3);
/// A connection that carries nothing for so long is closed.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(10);
/// The first and the longest pause between two attempts to connect.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Connections from other replicas at once, so that a stranger can't use up descriptors.
const MAX_INCOMING: usize = 64;

/// The first frame of a connection. The order of the fields is the form on the wire.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Handshake {
    format: u32,
    cluster: String,
    from: u64,
    to: u64,
}

/// Why a connection from another replica ended.
#[derive(Debug, Error)]
enum ReceiveError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("nothing came in time")]
    Timeout(#[from] Elapsed),
    #[error("the handshake is unreadable: {0}")]
    Handshake(#[from] postcard::Error),
    #[error(transparent)]
    Message(#[from] WireError),
    #[error("a message under another replica's name")]
    OtherReplica,
    #[error("no frame")]
    NoFrame,
    #[error("a frame is cut short or damaged")]
    DamagedFrame,
}

/// The connections to the other replicas.
#[derive(Clone)]
pub struct Transport {
    cluster: Arc<str>,
    id: u64,
    runtime: Handle,
    commands: Arc<OnceLock<SyncSender<ThreadCommand>>>,
    queues: Arc<Mutex<HashMap<u64, PeerQueue>>>,
}

/// The messages that wait for one replica.
#[derive(Debug)]
struct PeerQueue {
    address: SocketAddr,
    messages: mpsc::Sender<Message>,
}

/// How the sending of messages over one connection ended.
enum SendEnd {
    /// Nobody sends messages to the replica any more.
    QueueClosed,
    /// The connection broke.
    ConnectionLost,
}

fn is_snapshot(message: &Message) -> bool {
    message.msg_type == MessageType::MsgSnapshot
}

impl Transport {
    /// The transport of a replica, before it runs.
    pub fn new(cluster: &str, id: u64, runtime: Handle) -> Self {
        Transport {
            cluster: cluster.into(),
            id,
            runtime,
            commands: Arc::default(),
            queues: Arc::default(),
        }
    }

    /// Sets the channel for what arrives. It is set once.
    pub fn attach(&self, commands: SyncSender<ThreadCommand>) {
        let _ = self.commands.set(commands);
    }

    fn send_command(&self, command: ThreadCommand) {
        // a message that finds the channel full is as good as lost on the way
        if let Some(commands) = self.commands.get() {
            let _ = commands.try_send(command);
        }
    }

    /// Sets the addresses of the replicas: connects to new ones, and closes the connections to others.
    pub fn set_addresses(&self, addresses: &BTreeMap<u64, ReplicaAddresses>) {
        let mut queues = lock(&self.queues);
        queues.retain(|id, queue| {
            addresses
                .get(id)
                .is_some_and(|addresses| addresses.peers == queue.address)
        });
        for (id, addresses) in addresses.iter().filter(|(id, _)| **id != self.id) {
            queues.entry(*id).or_insert_with(|| {
                let (messages, queue) = mpsc::channel(QUEUE_CAPACITY);
                self.runtime
                    .spawn(self.clone().run_connection(*id, addresses.peers, queue));
                PeerQueue {
                    address: addresses.peers,
                    messages,
                }
            });
        }
    }

    /// Sends messages, each to the replica that it names.
    pub fn send(&self, messages: Vec<Message>) {
        if messages.is_empty() {
            return;
        }
        let queues = lock(&self.queues);
        for message in messages {
            let id = message.to;
            let snapshot = is_snapshot(&message);
            let queued = queues
                .get(&id)
                .is_some_and(|queue| queue.messages.try_send(message).is_ok());
            if !queued && snapshot {
                self.send_command(ThreadCommand::SnapshotSent { id, sent: false });
            }
        }
    }

    /// Keeps a connection to one replica, and sends it what is queued, until the queue is closed.
    async fn run_connection(
        self,
        to: u64,
        address: SocketAddr,
        mut queue: mpsc::Receiver<Message>,
    ) {
        let mut backoff = MIN_BACKOFF;
        loop {
            let connected = timeout(IO_TIMEOUT, self.connect(to, address)).await;
            if let Ok(Ok(mut connection)) = connected {
                backoff = MIN_BACKOFF;
                tracing::info!(to, "connected to a replica");
                match self.send_queued(to, &mut connection, &mut queue).await {
                    SendEnd::QueueClosed => return,
                    SendEnd::ConnectionLost => tracing::info!(to, "connection to a replica lost"),
                }
            }
            self.send_command(ThreadCommand::PeerUnreachable(to));
            self.discard_queued(to, &mut queue);
            if queue.is_closed() {
                return;
            }
            sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Discards what is queued: it would be stale by the time that there is a connection.
    fn discard_queued(&self, id: u64, queue: &mut mpsc::Receiver<Message>) {
        while let Ok(message) = queue.try_recv() {
            if is_snapshot(&message) {
                self.send_command(ThreadCommand::SnapshotSent { id, sent: false });
            }
        }
    }

    async fn connect(&self, to: u64, address: SocketAddr) -> io::Result<TcpStream> {
        let mut connection = TcpStream::connect(address).await?;
        connection.set_nodelay(true)?;
        let handshake = Handshake {
            format: FORMAT,
            cluster: self.cluster.to_string(),
            from: self.id,
            to,
        };
        let handshake = postcard::to_allocvec(&handshake).map_err(io::Error::other)?;
        let mut frame = Vec::new();
        append_record(&handshake, &mut frame);
        connection.write_all(&frame).await?;
        Ok(connection)
    }

    async fn send_queued(
        &self,
        id: u64,
        connection: &mut TcpStream,
        queue: &mut mpsc::Receiver<Message>,
    ) -> SendEnd {
        loop {
            let mut byte = [0; 1];
            let message = tokio::select! {
                message = queue.recv() => match message {
                    Some(message) => Some(message),
                    None => return SendEnd::QueueClosed,
                },
                () = sleep(KEEP_ALIVE_INTERVAL) => None,
                // the other replica sends nothing on this connection: what can be read is its end
                _ = connection.read(&mut byte) => return SendEnd::ConnectionLost,
            };
            let Ok(encoded) = message.as_ref().map_or(Ok(Vec::new()), encode) else {
                continue;
            };
            let sent = write_frame(connection, &encoded).await;
            if message.as_ref().is_some_and(is_snapshot) {
                self.send_command(ThreadCommand::SnapshotSent { id, sent });
            }
            if !sent {
                return SendEnd::ConnectionLost;
            }
        }
    }

    /// Accepts other replicas' connections, without end.
    pub async fn listen(self, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new(MAX_INCOMING));
        loop {
            let accepted = listener.accept().await;
            let (Ok((connection, from)), Ok(permit)) =
                (accepted, permits.clone().acquire_owned().await)
            else {
                sleep(MIN_BACKOFF).await; // no descriptor is free just now
                continue;
            };
            let transport = self.clone();
            tokio::spawn(async move {
                if let Err(error) = transport.receive(connection).await {
                    tracing::debug!(%from, %error, "a replica's connection ended");
                }
                drop(permit);
            });
        }
    }

    /// Receives messages from another replica until its connection ends.
    async fn receive(&self, mut connection: TcpStream) -> Result<(), ReceiveError> {
        let handshake = timeout(IO_TIMEOUT, read_frame(&mut connection)).await??;
        let handshake: Handshake = postcard::from_bytes(&handshake)?;
        let expected = Handshake {
            format: FORMAT,
            cluster: self.cluster.to_string(),
            from: handshake.from,
            to: self.id,
        };
        if handshake != expected {
            tracing::warn!(?handshake, "a connection from another cluster is rejected");
            return Ok(());
        }
        loop {
            let frame = timeout(SILENCE_TIMEOUT, read_frame(&mut connection)).await??;
            if frame.is_empty() {
                continue; // a keep-alive
            }
            let message = decode(&frame)?;
            if message.from != handshake.from || message.to != self.id {
                return Err(ReceiveError::OtherReplica);
            }
            self.send_command(ThreadCommand::RaftMessage(message));
        }
    }
}

/// Writes one frame; whether all of it was written in time.
async fn write_frame(connection: &mut TcpStream, bytes: &[u8]) -> bool {
    let mut frame = Vec::with_capacity(bytes.len() + HEADER_LENGTH);
    append_record(bytes, &mut frame);
    let written = timeout(IO_TIMEOUT, connection.write_all(&frame)).await;
    matches!(written, Ok(Ok(())))
}

/// Reads one frame.
async fn read_frame(connection: &mut TcpStream) -> Result<Vec<u8>, ReceiveError> {
    let mut header = [0; HEADER_LENGTH];
    connection.read_exact(&mut header).await?;
    let header = Header::decode(&header).ok_or(ReceiveError::NoFrame)?;
    // memory is allocated as the bytes arrive, not as the header promises
    let mut bytes = Vec::new();
    connection
        .take(header.length as u64)
        .read_to_end(&mut bytes)
        .await?;
    if !header.matches(&bytes) {
        return Err(ReceiveError::DamagedFrame);
    }
    Ok(bytes)
}
