//! `fleet-registry`: runs a replica, and asks one.

mod client;

use clap::{Args, Parser, Subcommand};
use client::Ask;
use fleet_registry::core;
use fleet_registry::peers::Peers;
use fleet_registry::replica::Replica;
use fleet_registry::server::{Server, serve};
use fleet_registry::settings::Settings;
use fleet_registry::state::State;
use fleet_registry::store::{Purpose, Store};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Semaphore, oneshot, watch};
use tokio::time::{sleep, timeout};
use tracing_subscriber::EnvFilter;

/// Exit codes besides 0: it failed while it ran, or bad flags, settings or a folder that can't be used.
const FAILED: u8 = 1;
const BAD_INPUT: u8 = 2;
/// How long a leader that ends waits for another to lead.
const TRANSFER: Duration = Duration::from_secs(1);

/// Keeps endpoint lists and agreed rules in versions for a fleet of senders.
///
/// Exit codes: 0 done, 1 refused or failed, 2 bad flags, settings or folder.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a replica until SIGTERM.
    Run {
        /// Its settings, TOML.
        #[arg(long)]
        config: PathBuf,
    },
    /// Asks a running replica.
    #[command(flatten)]
    Ask(Ask),
}

/// Where to ask.
#[derive(Args)]
struct Where {
    /// A replica's address for clients; more than one are tried in turn.
    #[arg(long = "registry", global = true, default_value = "127.0.0.1:8500")]
    registries: Vec<SocketAddr>,
}

fn main() -> ExitCode {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    tracing_subscriber::fmt()
        .json()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .init();
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => return told(BAD_INPUT, &error),
    };
    match Arguments::parse().command {
        Command::Run { config } => runtime.block_on(run(config)),
        Command::Ask(ask) => match runtime.block_on(client::ask(ask)) {
            Ok(true) => ExitCode::SUCCESS,
            Ok(false) => ExitCode::from(FAILED),
            Err(error) => told(BAD_INPUT, &error),
        },
    }
}

fn told(code: u8, error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("fleet-registry: {error}");
    ExitCode::from(code)
}

async fn run(config: PathBuf) -> ExitCode {
    match start(config).await {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(error)) => told(FAILED, &error),
        Err(error) => told(BAD_INPUT, &format!("{error:#}")),
    }
}

/// Runs until SIGTERM; the outer error is of the start, the inner one of the run.
async fn start(config: PathBuf) -> anyhow::Result<Result<(), String>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let settings = Settings::read(&config)?;
    let begin = settings.begin()?;
    let purpose = Purpose {
        cluster: settings.cluster.clone(),
        id: settings.id,
        voters: settings.voters(),
        most: settings.limits.log_bytes,
        sync: true,
    };
    let store = Store::open(
        &settings.folder,
        purpose,
        &postcard::to_allocvec(&State::default())?,
    )?;
    let torn = store.torn();
    let life = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_nanos() as u64;
    let begin = begin.into_iter().chain(settings.begin_ledger());
    let replica = Replica::new(settings.id, store, life, begin)?;
    let listener = TcpListener::bind(settings.listen).await?;
    let peers = Peers::new(&settings.cluster, settings.id, Handle::current());
    if let Some(address) = settings.peers {
        tokio::spawn(peers.clone().listen(TcpListener::bind(address).await?));
    }
    let (ended, has_ended) = oneshot::channel();
    let core = core::start(replica, peers, settings.places(), ended)?;
    let (end, ending) = watch::channel(false);
    let server = Arc::new(Server {
        core: core.clone(),
        id: settings.id,
        watchers: Arc::new(Semaphore::new(settings.limits.watchers)),
        stalled: Duration::from_millis(settings.limits.stalled_ms),
        cut: Default::default(),
        backlog: Default::default(),
        watching: Default::default(),
        notices: Default::default(),
        ending,
    });
    tracing::info!(id = settings.id, listen = %listener.local_addr()?, torn, "started");
    let serving = tokio::spawn(serve(listener, server, settings.limits.clients));
    let hangups = async {
        while hangup.recv().await.is_some() {
            tracing::info!("SIGHUP: settings are read at the start alone");
        }
    };
    tokio::select! {
        error = has_ended => return Ok(Err(error.unwrap_or_else(|_| "the replica ended".to_string()))),
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = hangups => {}
    }
    tracing::info!("ends");
    if core.look(|replica, _| replica.transfer()).await == Ok(true) {
        let mut seen = core.seen.clone();
        let handed = seen.wait_for(|seen| seen.leader.is_some_and(|leader| leader != settings.id));
        let handed = timeout(TRANSFER, handed).await;
        tracing::info!(
            handed = matches!(handed, Ok(Ok(_))),
            "the lead is handed over"
        );
    }
    let _ = end.send(true);
    // answers that are being written
    let _ = timeout(Duration::from_millis(600), serving).await;
    sleep(Duration::from_millis(100)).await;
    Ok(Ok(()))
}
