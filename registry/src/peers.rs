//! The way between replicas: one connection each way, on which messages go whole, in order or not at all.

use crate::frames;
use crate::inputs::Input;
use crate::locks::lock;
use crate::mirror;
use crate::state::Place;
use raft::eraftpb::{Message, MessageType};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::SyncSender;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{sleep, timeout};

/// Raised when an older program could not read the messages.
const FORMAT: u32 = 1;
/// Messages that wait for one replica; more are lost, as over a link that is full.
const WAITING: usize = 1024;
/// How long a connection may take to come up, and one message to be taken.
const PATIENCE: Duration = Duration::from_secs(2);
/// A link without a message carries an empty frame that often; one that is silent for longer is given up.
const KEEP_ALIVE: Duration = Duration::from_secs(3);
const SILENCE: Duration = Duration::from_secs(10);
const AGAIN_FIRST: Duration = Duration::from_millis(50);
const AGAIN_MOST: Duration = Duration::from_secs(1);
/// Connections of others at once, so that a stranger can't use up descriptors.
const CALLERS: usize = 64;

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Hello {
    format: u32,
    cluster: String,
    from: u64,
    to: u64,
}

/// The other replicas.
#[derive(Clone)]
pub struct Peers {
    cluster: Arc<str>,
    id: u64,
    runtime: Handle,
    inputs: Arc<OnceLock<SyncSender<Input>>>,
    queues: Arc<Mutex<HashMap<u64, Queue>>>,
}

#[derive(Debug)]
struct Queue {
    place: SocketAddr,
    messages: mpsc::Sender<Message>,
}

impl Peers {
    /// For this replica, before it runs.
    pub fn new(cluster: &str, id: u64, runtime: Handle) -> Self {
        let (inputs, queues) = Default::default();
        Peers {
            cluster: cluster.into(),
            id,
            runtime,
            inputs,
            queues,
        }
    }

    /// Where what comes in goes.
    pub fn attach(&self, inputs: SyncSender<Input>) {
        // it is attached once
        let _ = self.inputs.set(inputs);
    }

    fn tell(&self, input: Input) {
        // what finds no room is as good as lost on the way
        if let Some(inputs) = self.inputs.get() {
            let _ = inputs.try_send(input);
        }
    }

    /// The replicas are there and nowhere else.
    pub fn know(&self, places: &BTreeMap<u64, Place>) {
        let mut queues = lock(&self.queues);
        queues.retain(|id, queue| {
            places
                .get(id)
                .is_some_and(|place| place.peers == queue.place)
        });
        for (id, place) in places.iter().filter(|(id, _)| **id != self.id) {
            queues.entry(*id).or_insert_with(|| {
                let (messages, waiting) = mpsc::channel(WAITING);
                self.runtime
                    .spawn(self.clone().carry(*id, place.peers, waiting));
                Queue {
                    place: place.peers,
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
            let (to, snapshot) = (message.to, message.msg_type == MessageType::MsgSnapshot);
            let queued = queues
                .get(&to)
                .is_some_and(|queue| queue.messages.try_send(message).is_ok());
            if !queued && snapshot {
                self.tell(Input::SnapshotSent(to, false));
            }
        }
    }

    /// Carries messages to one replica until nobody sends it any.
    async fn carry(self, to: u64, place: SocketAddr, mut waiting: mpsc::Receiver<Message>) {
        let mut rest = AGAIN_FIRST;
        loop {
            let link = timeout(PATIENCE, self.dial(to, place)).await;
            if let Ok(Ok(mut link)) = link {
                rest = AGAIN_FIRST;
                tracing::info!(to, "linked");
                if self.feed(to, &mut link, &mut waiting).await {
                    return;
                }
                tracing::info!(to, "link lost");
            }
            self.tell(Input::Unreachable(to));
            // what waited is stale by the time that a link is there
            while let Ok(message) = waiting.try_recv() {
                if message.msg_type == MessageType::MsgSnapshot {
                    self.tell(Input::SnapshotSent(to, false));
                }
            }
            if waiting.is_closed() {
                return;
            }
            sleep(rest).await;
            rest = (rest * 2).min(AGAIN_MOST);
        }
    }

    async fn dial(&self, to: u64, place: SocketAddr) -> io::Result<TcpStream> {
        let mut link = TcpStream::connect(place).await?;
        link.set_nodelay(true)?;
        let hello = Hello {
            format: FORMAT,
            cluster: self.cluster.to_string(),
            from: self.id,
            to,
        };
        let hello = postcard::to_allocvec(&hello).map_err(io::Error::other)?;
        let mut bytes = Vec::new();
        frames::write(&hello, &mut bytes);
        link.write_all(&bytes).await?;
        Ok(link)
    }

    /// Whether nobody sends any more; else the link is lost.
    async fn feed(
        &self,
        to: u64,
        link: &mut TcpStream,
        waiting: &mut mpsc::Receiver<Message>,
    ) -> bool {
        loop {
            let mut byte = [0; 1];
            let message = tokio::select! {
                message = waiting.recv() => match message {
                    Some(message) => Some(message),
                    None => return true,
                },
                () = sleep(KEEP_ALIVE) => None,
                // the other side says nothing on this link: what can be read is its end
                _ = link.read(&mut byte) => return false,
            };
            let snapshot = message
                .as_ref()
                .is_some_and(|one| one.msg_type == MessageType::MsgSnapshot);
            let Ok(encoded) = message.as_ref().map_or(Ok(Vec::new()), mirror::encode) else {
                continue;
            };
            let mut bytes = Vec::with_capacity(encoded.len() + 16);
            frames::write(&encoded, &mut bytes);
            let written = timeout(PATIENCE, link.write_all(&bytes)).await;
            let sent = matches!(written, Ok(Ok(())));
            if snapshot {
                self.tell(Input::SnapshotSent(to, sent));
            }
            if !sent {
                return false;
            }
        }
    }

    /// Takes other replicas' connections for ever.
    pub async fn listen(self, listener: TcpListener) {
        let places = Arc::new(Semaphore::new(CALLERS));
        loop {
            let accepted = listener.accept().await;
            let (Ok((link, from)), Ok(place)) = (accepted, places.clone().acquire_owned().await)
            else {
                sleep(AGAIN_FIRST).await; // no descriptor is free just now
                continue;
            };
            let peers = self.clone();
            tokio::spawn(async move {
                if let Err(error) = peers.read(link).await {
                    tracing::debug!(%from, %error, "a replica's connection ended");
                }
                drop(place);
            });
        }
    }

    async fn read(&self, mut link: TcpStream) -> io::Result<()> {
        let hello = timeout(PATIENCE, read_frame(&mut link)).await??;
        let hello: Hello = postcard::from_bytes(&hello).map_err(io::Error::other)?;
        let wanted = Hello {
            format: FORMAT,
            cluster: self.cluster.to_string(),
            from: hello.from,
            to: self.id,
        };
        if hello != wanted {
            tracing::warn!(?hello, "a stranger called");
            return Ok(());
        }
        loop {
            let bytes = timeout(SILENCE, read_frame(&mut link)).await??;
            if bytes.is_empty() {
                continue;
            }
            let message = mirror::decode(&bytes).map_err(io::Error::other)?;
            if message.from != hello.from || message.to != self.id {
                return Err(io::Error::other("a message under another's name"));
            }
            self.tell(Input::Peer(message));
        }
    }
}

/// Reads one frame of a connection.
async fn read_frame(link: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut head = [0; frames::HEAD];
    link.read_exact(&mut head).await?;
    let (length, sum) = frames::read_head(&head).ok_or_else(|| io::Error::other("no frame"))?;
    // memory is given as the bytes come, not as the head promises
    let mut bytes = Vec::new();
    let read = (&mut *link)
        .take(length as u64)
        .read_to_end(&mut bytes)
        .await?;
    if read < length || crc32fast::hash(&bytes) != sum {
        return Err(io::Error::other("a frame is cut short or damaged"));
    }
    Ok(bytes)
}
