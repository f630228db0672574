//! The subcommand that runs a replica.

use fleet_registry::replica::{Replica, ReplicaError};
use fleet_registry::replica_thread::{self, ReplicaHandle};
use fleet_registry::server::{Server, ServerMetrics, serve};
use fleet_registry::settings::Settings;
use fleet_registry::state::State;
use fleet_registry::store::{Store, StoreOptions};
use fleet_registry::transport::Transport;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Semaphore, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// How long a leader that shuts down waits for another to lead.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest time for responses that are being written.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(600);
/// The time for what is in the sockets' buffers.
const LINGER: Duration = Duration::from_millis(100);

/// Why the replica could not start, or ended before SIGTERM.
#[derive(Debug, Error)]
pub enum RunError {
    /// It could not start.
    #[error("{0:#}")]
    Start(#[from] anyhow::Error),
    /// The replica failed.
    #[error(transparent)]
    Replica(#[from] ReplicaError),
    /// The replica's thread ended without an error.
    #[error("the replica ended")]
    ThreadEnded,
}

impl RunError {
    /// Whether it could not start.
    pub fn is_of_start(&self) -> bool {
        matches!(self, RunError::Start(_))
    }
}

/// The signals that the process handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn install() -> std::io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM or SIGINT.
    async fn shutdown(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                Some(()) = self.hangup.recv() => {
                    tracing::info!("SIGHUP: settings are read at the start alone");
                }
            }
        }
    }
}

/// A replica that has started.
struct Running {
    id: u64,
    replica: ReplicaHandle,
    /// Gets the error of a replica that fails.
    failed: oneshot::Receiver<ReplicaError>,
    shutdown: watch::Sender<bool>,
    serving: JoinHandle<()>,
}

/// Runs a replica until SIGTERM.
///
/// # Errors
/// It can't start, or its log can't be kept.
pub async fn run(config: PathBuf) -> Result<(), RunError> {
    let mut signals = Signals::install().map_err(anyhow::Error::from)?;
    let mut running = start(config).await?;
    tokio::select! {
        error = &mut running.failed => {
            return Err(error.map_or(RunError::ThreadEnded, RunError::Replica));
        }
        () = signals.shutdown() => {}
    }
    tracing::info!("shutting down");
    shut_down(running).await;
    Ok(())
}

async fn start(config: PathBuf) -> anyhow::Result<Running> {
    let settings = Settings::read(&config)?;
    let initial_commands = settings
        .begin_rules()?
        .into_iter()
        .chain(settings.begin_ledger());
    let options = StoreOptions {
        cluster: settings.cluster.clone(),
        id: settings.id,
        voters: settings.voters(),
        max_log_bytes: settings.limits.log_bytes,
        sync: true,
    };
    let store = Store::open(
        &settings.folder,
        options,
        &postcard::to_allocvec(&State::default())?,
    )?;
    let torn_bytes = store.torn_bytes();
    let incarnation = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_nanos() as u64;
    let replica = Replica::new(settings.id, store, incarnation, initial_commands)?;
    let listener = TcpListener::bind(settings.listen).await?;
    let transport = Transport::new(&settings.cluster, settings.id, Handle::current());
    if let Some(address) = settings.peers {
        tokio::spawn(transport.clone().listen(TcpListener::bind(address).await?));
    }
    let (failure, failed) = oneshot::channel();
    let replica = replica_thread::start(replica, transport, settings.addresses(), failure)?;
    let (shutdown, shutdown_receiver) = watch::channel(false);
    let server = Arc::new(Server {
        replica: replica.clone(),
        id: settings.id,
        watch_permits: Arc::new(Semaphore::new(settings.limits.watchers)),
        stall_timeout: Duration::from_millis(settings.limits.stalled_ms),
        metrics: ServerMetrics::default(),
        shutdown: shutdown_receiver,
    });
    tracing::info!(id = settings.id, listen = %listener.local_addr()?, torn_bytes, "started");
    let serving = tokio::spawn(serve(listener, server, settings.limits.clients));
    Ok(Running {
        id: settings.id,
        replica,
        failed,
        shutdown,
        serving,
    })
}

/// Transfers leadership, then lets the connections finish what they write.
async fn shut_down(running: Running) {
    let Running {
        id,
        replica,
        shutdown,
        serving,
        ..
    } = running;
    if replica
        .inspect(|replica, _| replica.transfer_leadership())
        .await
        == Ok(true)
    {
        let mut view = replica.view.clone();
        let other_leads = view.wait_for(|view| view.leader.is_some_and(|leader| leader != id));
        let transferred = matches!(timeout(TRANSFER_TIMEOUT, other_leads).await, Ok(Ok(_)));
        tracing::info!(transferred, "leadership transfer");
    }
    let _ = shutdown.send(true);
    let _ = timeout(DRAIN_TIMEOUT, serving).await;
    sleep(LINGER).await;
}
