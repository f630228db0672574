//! The thread that runs a replica: its clock, its writes to the disk, and the handle for commands to it. It runs outside the
//! async runtime, because every turn may wait for the disk.

use crate::commands::{ClientRequest, ThreadCommand};
use crate::lock::lock;
use crate::replica::{Answer, Output, Replica, ReplicaError, RequestId, TICK};
use crate::state::ReplicaAddresses;
use crate::transport::Transport;
use crate::watch_broadcaster::WatchBroadcaster;
use std::collections::{BTreeMap, HashMap};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use thiserror::Error;
use tokio::sync::{oneshot, watch};
use versioned_config::Micros;

/// Commands that may wait in the channel.
const CHANNEL_CAPACITY: usize = 4096;
/// Commands that one turn takes beside its first.
const COMMANDS_PER_TURN: usize = 1024;

/// What every task may know of the replica without a request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ReplicaView {
    /// The endpoint list's version.
    pub rev: u64,
    /// The leader's id; none: no leader is known, and this replica may be behind by any time.
    pub leader: Option<u64>,
    /// The addresses of all replicas, by id.
    pub addresses: Arc<BTreeMap<u64, ReplicaAddresses>>,
}

/// A handle for commands to the replica's thread.
#[derive(Clone)]
pub struct ReplicaHandle {
    commands: SyncSender<ThreadCommand>,
    /// The endpoint list and its last changes, for watchers.
    pub broadcaster: Arc<Mutex<WatchBroadcaster>>,
    /// The current view, and notice of its changes.
    pub view: watch::Receiver<ReplicaView>,
}

/// The thread takes no command: too many wait, or it has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("too many questions wait")]
pub struct Overloaded;

impl ReplicaHandle {
    /// Sends a command to the thread.
    ///
    /// # Errors
    /// Too many commands wait, or the thread has ended.
    pub fn send(&self, command: ThreadCommand) -> Result<(), Overloaded> {
        self.commands.try_send(command).map_err(|_| Overloaded)
    }

    /// Sends a request and waits for its answer.
    ///
    /// # Errors
    /// Too many commands wait, or the thread has ended.
    pub async fn request(&self, request: ClientRequest) -> Result<Answer, Overloaded> {
        let (reply, answer) = oneshot::channel();
        self.send(ThreadCommand::Request(request, reply))?;
        answer.await.map_err(|_| Overloaded)
    }

    /// Runs a closure with the replica on its thread, and waits for the result.
    ///
    /// # Errors
    /// Too many commands wait, or the thread has ended.
    pub async fn inspect<T: Send + 'static>(
        &self,
        inspect: impl FnOnce(&mut Replica, Micros) -> T + Send + 'static,
    ) -> Result<T, Overloaded> {
        let (reply, answer) = oneshot::channel();
        let inspection = move |replica: &mut Replica, now| drop(reply.send(inspect(replica, now)));
        self.send(ThreadCommand::Inspect(Box::new(inspection)))?;
        answer.await.map_err(|_| Overloaded)
    }
}

/// Starts the thread. It ends when all handles are gone, or when the log can't be kept: then `failed` gets the error.
///
/// # Errors
/// The operating system starts no thread.
pub fn start(
    replica: Replica,
    transport: Transport,
    configured_addresses: BTreeMap<u64, ReplicaAddresses>,
    failed: oneshot::Sender<ReplicaError>,
) -> std::io::Result<ReplicaHandle> {
    let (commands, received) = sync_channel(CHANNEL_CAPACITY);
    let (view, view_receiver) = watch::channel(ReplicaView::default());
    let broadcaster = Arc::new(Mutex::new(WatchBroadcaster::default()));
    let handle = ReplicaHandle {
        commands: commands.clone(),
        broadcaster: broadcaster.clone(),
        view: view_receiver,
    };
    let run = move || {
        transport.attach(commands);
        let mut thread = ReplicaThread {
            replica,
            transport,
            started_at: Instant::now(),
            pending: HashMap::new(),
            last_request: 0,
            broadcaster,
            view,
            configured_addresses,
            published_replicas: None,
        };
        thread.reset_broadcaster();
        if let Err(error) = thread.run(&received) {
            tracing::error!(%error, "the log can't be kept");
            let _ = failed.send(error);
        }
    };
    std::thread::Builder::new()
        .name("replica".to_string())
        .spawn(run)?;
    Ok(handle)
}

struct ReplicaThread {
    replica: Replica,
    transport: Transport,
    started_at: Instant,
    /// Channels for the answers of requests under way.
    pending: HashMap<RequestId, oneshot::Sender<Answer>>,
    last_request: RequestId,
    broadcaster: Arc<Mutex<WatchBroadcaster>>,
    view: watch::Sender<ReplicaView>,
    /// The replicas that the settings name; the log's entry of a replica takes precedence.
    configured_addresses: BTreeMap<u64, ReplicaAddresses>,
    /// The log's replicas when the view's addresses were last made.
    published_replicas: Option<BTreeMap<u64, ReplicaAddresses>>,
}

impl ReplicaThread {
    fn now(&self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros
    }

    fn run(&mut self, received: &Receiver<ThreadCommand>) -> Result<(), ReplicaError> {
        let tick = Duration::from_micros(TICK);
        let mut next_tick = Instant::now() + tick;
        loop {
            let mut output = Output::default();
            match received.recv_timeout(next_tick.saturating_duration_since(Instant::now())) {
                Ok(command) => {
                    self.handle_command(command, &mut output);
                    for command in received.try_iter().take(COMMANDS_PER_TURN) {
                        self.handle_command(command, &mut output);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            if Instant::now() >= next_tick {
                self.tick(&mut output);
                // ticks that a pause swallowed are not made up for: others have seen the time pass
                next_tick = (next_tick + tick).max(Instant::now());
            }
            let now = self.now();
            self.replica.process_ready(now, &mut output)?;
            self.carry_out(output);
        }
    }

    fn tick(&mut self, output: &mut Output) {
        let unix_time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        self.replica
            .set_wall_clock(self.now(), unix_time.as_millis() as u64);
        self.replica.tick(self.now(), output);
    }

    fn handle_command(&mut self, command: ThreadCommand, output: &mut Output) {
        let now = self.now();
        match command {
            ThreadCommand::RaftMessage(message) => self.replica.receive(message),
            ThreadCommand::PeerUnreachable(id) => self.replica.report_unreachable(id),
            ThreadCommand::SnapshotSent { id, sent } => self.replica.report_snapshot(id, sent),
            ThreadCommand::Inspect(inspect) => inspect(&mut self.replica, now),
            ThreadCommand::Request(request, reply) => {
                self.last_request += 1;
                let id = self.last_request;
                self.pending.insert(id, reply);
                self.handle_request(id, request, output);
            }
        }
    }

    fn handle_request(&mut self, id: RequestId, request: ClientRequest, output: &mut Output) {
        let now = self.now();
        match request {
            ClientRequest::Propose(command) => self.replica.propose(now, id, command, output),
            ClientRequest::Lease(request) => self.replica.request_lease(id, request, output),
            ClientRequest::Quotas(request) => self.replica.request_quotas(id, request),
            ClientRequest::Read => self.replica.read(id),
            ClientRequest::Heartbeat(uid) => {
                let answer = self.replica.heartbeat(now, &uid);
                output.answers.push((id, answer));
            }
            ClientRequest::ChangeReplicas(change) => {
                self.replica.change_replicas(id, change, output)
            }
        }
    }

    fn carry_out(&mut self, output: Output) {
        self.transport.send(output.messages);
        if output.reset {
            self.reset_broadcaster();
        } else if !output.changes.is_empty() {
            let mut broadcaster = lock(&self.broadcaster);
            for change in &output.changes {
                broadcaster.push(change.rev, &change.endpoints);
            }
        }
        self.publish_view();
        for (id, answer) in output.answers {
            if let Some(reply) = self.pending.remove(&id) {
                // a client that has gone sends its request again
                let _ = reply.send(answer);
            }
        }
        for event in output.events {
            tracing::info!("{event}");
        }
    }

    fn reset_broadcaster(&mut self) {
        let state = self.replica.state();
        lock(&self.broadcaster).reset(state.rev, &state.endpoints);
    }

    fn publish_view(&mut self) {
        let view = ReplicaView {
            rev: self.replica.state().rev,
            leader: self.replica.leader(),
            addresses: self.current_addresses(),
        };
        if *self.view.borrow() != view {
            self.transport.set_addresses(&view.addresses);
            self.view.send_replace(view);
        }
    }

    fn current_addresses(&mut self) -> Arc<BTreeMap<u64, ReplicaAddresses>> {
        let replicas = &self.replica.state().replicas;
        if self.published_replicas.as_ref() == Some(replicas) {
            return self.view.borrow().addresses.clone();
        }
        let mut addresses = self.configured_addresses.clone();
        addresses.extend(replicas);
        self.published_replicas = Some(replicas.clone());
        Arc::new(addresses)
    }
}
