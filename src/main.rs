//! The real sender: starts up, wires the parts together, ends on SIGTERM.

mod net;

use message_sender::Sender;
use net::RateLimitedLog;
use net::agreement::settings::Agreement;
use net::calls::Calls;
use net::clock::Clock;
use net::config::Config;
use net::control::Control;
use net::discovery::{Backoff, Freshness};
use net::driver::{Driver, Shared};
use net::events::{DriverInput, FreezeChange, SettingsUpdate};
use net::freeze::settings::FreezeSettings;
use net::journal::Journal;
use net::ledger::settings::Ledger;
use net::local_errors::RETRY_INTERVAL;
use net::membership::settings::Membership;
use net::pool::{ConnectionPool, PoolResources, limits};
use net::server::{Classes, Server, serve};
use net::startup::{self, until_had};
use net::upgrade::{self, Frame, Lock, Taken};
use net::{agreement, control, discovery, freeze, journal, ledger, membership};
use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::Pin;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

/// From SIGTERM to the end of idle client connections, and to the end of the process. SIGKILL comes no
/// sooner than 3.7 s after SIGTERM.
const CLOSE_IDLE: Duration = Duration::from_millis(2500);
const END: Duration = Duration::from_millis(3300);
/// Orders of operators that may wait.
const ORDERS: usize = 64;

/// The ways to parts that other settings may concern.
type Parts = (
    watch::Sender<Option<Membership>>,
    watch::Sender<Option<Agreement>>,
    watch::Sender<Option<Ledger>>,
    watch::Sender<Option<FreezeSettings>>,
);

/// What runs beside the driver.
type Task = Pin<Box<dyn Future<Output = ()>>>;

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("message-sender: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), Box<dyn std::error::Error>> {
    let config = Config::from_env()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, run(config))
}

async fn run(config: Config) -> Result<(), Box<dyn std::error::Error>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let hangup = signal(SignalKind::hangup())?;
    let (inputs, received) = mpsc::unbounded_channel();
    let (notices, queue) = mpsc::unbounded_channel();
    let (orders, ordered) = mpsc::channel(ORDERS);
    let (asked, successors) = mpsc::channel(1);
    let (ready, ready_seen) = watch::channel(false);
    let (close, closing) = watch::channel(false);
    let (handed, handed_seen) = watch::channel(false);
    let (moved, agent) = watch::channel(config.discovery);
    let (member, membership) = watch::channel(config.membership);
    let (agrees, agreement) = watch::channel(config.agreement);
    let (shares, shared_limits) = watch::channel(config.ledger);
    let (parts, parts_asked) = mpsc::channel(ORDERS);
    if let Some(settings) = &config.freeze {
        // the first list is looked at by it
        let _ = inputs.send(DriverInput::Freeze(FreezeChange::On(settings.clone())));
    }
    let (freezes, frozen) = watch::channel(config.freeze);
    let (stop, stopping) = watch::channel(false);
    let (rules, rules_asked) = mpsc::channel(ORDERS);
    let (members, queries) = mpsc::channel(ORDERS);
    // nothing is taken before the messages are this process's own
    let draining = Rc::new(Cell::new(true));
    if let Some(address) = config.control {
        let control = Control {
            orders: orders.clone(),
            members,
            agreement: rules,
            ledger: parts,
            ready: ready_seen.clone(),
            draining: draining.clone(),
        };
        let name = config.name.clone();
        let listener = startup::listen_for_operators(&name, address).await;
        tokio::task::spawn_local(async move {
            let listener = match listener {
                Some(listener) => listener,
                None => startup::wait_for_operators_address(address).await,
            };
            let address = listener.local_addr().unwrap_or(address);
            net::log(format_args!("{name}: operators at {address}"));
            control::serve(listener, Rc::new(control)).await;
        });
    }
    let folder = async {
        let lock = until_had("the folder's lock", || Lock::open(&config.state)).await?;
        let taken = upgrade::take_over(&lock, &config.state).await;
        let clock = until_had("the clock", || Clock::resume(&config.state)).await?;
        let entries = config
            .settings
            .max_held
            .saturating_mul(2 * config.settings.max_attempts + 1) as u64;
        let open = || Journal::open(&config.state, config.disk, entries);
        let (journal, recovery) = until_had("the journal", open).await?;
        Ok::<_, Box<dyn std::error::Error>>((lock, taken, clock, journal, recovery))
    };
    let (lock, taken, clock, journal, recovery) = tokio::select! {
        opened = folder => opened?,
        _ = terminate.recv() => return Ok(()),
    };
    let senders = config.settings.senders;
    let zone = config
        .names
        .zones
        .get(usize::from(config.settings.zone))
        .cloned()
        .unwrap_or_default();
    let span = |micros| Duration::from_micros(u64::try_from(micros).unwrap_or(0));
    let (ask_lists, safety) = (config.settings.list_on_request, &config.settings.safety);
    let agents = discovery::Shared {
        senders,
        asked: ask_lists,
        ask_every: span(safety.ask_every),
    };
    // a call that is decided may be written once its connection is up
    let grace = span(safety.drain_grace).saturating_sub(span(config.names.dial_timeout));
    log_recovery(&config.name, &journal, &recovery);
    let limits = limits(&config.pool, config.sockets, &config.settings);
    let means = PoolResources {
        descriptors: config.sockets,
        seed: config.seed,
    };
    let connections = ConnectionPool::new(limits, config.names.dial_timeout, means);
    let calls = Calls::new(inputs.clone(), connections);
    let classes = Classes::default();
    let (sender, handover, link) = match taken {
        Some(Taken {
            sender,
            handover,
            link,
        }) => (*sender, Some(handover), Some(link)),
        None => (
            Sender::new(config.settings.clone(), config.seed)?,
            None,
            None,
        ),
    };
    // a third for clients, those of an old process counted; calls, idle connections and files share the rest
    let most = (config.sockets / 3).max(1);
    let elsewhere = handover
        .as_ref()
        .map_or(0, |handover| handover.clients.min(most - 1));
    let places = Arc::new(Semaphore::new(most - elsewhere));
    let server = Server {
        classes: classes.clone(),
        inputs: inputs.clone(),
        ready: ready_seen,
        draining: draining.clone(),
        places: places.clone(),
        handed: handed_seen.clone(),
        closing,
    };
    let counted = Rc::new(Cell::new(senders));
    let listed = Rc::new(Cell::new(0));
    let floor = agreement
        .borrow()
        .as_ref()
        .map(|agreement| agreement::bounds(&agreement.floor));
    let floors = shared_limits.borrow().as_ref().map(ledger::on_floors);
    let shared = Shared {
        clock,
        inputs: inputs.clone(),
        lock,
        places,
        most: most - elsewhere,
        classes,
        draining: draining.clone(),
        handed,
        counted: counted.clone(),
        listed: listed.clone(),
    };
    let known = config.known;
    let mut driver = Driver::new(
        sender,
        config.settings,
        config.names,
        config.pool,
        known,
        journal,
        calls,
        notices,
        ready,
        shared,
        handover,
        floor,
        floors,
        config.seed,
    );
    if let Some(mut link) = link {
        // an old process that is gone leaves all to this one just the same
        let told = link.writer.send(&Frame::Owns).await;
        net::log(format_args!(
            "{}: upgrade: taken over ({})",
            config.name,
            said(&told)
        ));
        driver.follow(link.listen(inputs.clone()), elsewhere);
    }
    let listener = upgrade::listener(config.passed, config.listen).await?;
    let address = listener.local_addr().unwrap_or(config.listen);
    net::log(format_args!("{}: listening on {address}", config.name));
    let until_handed = |task| upgrade::until_handed(handed_seen.clone(), task);
    let (freshness, tells) = Freshness::new(!ask_lists, grace, inputs.clone());
    tokio::task::spawn_local(until_handed(Box::pin(tells) as Task));
    let backoff = Backoff::new(agents, config.seed);
    let watch = discovery::watch(
        agent.clone(),
        driver.list_version(),
        agents,
        backoff,
        freshness,
        inputs.clone(),
    );
    tokio::task::spawn_local(until_handed(Box::pin(watch) as Task));
    let holds = agreement::Means {
        clock,
        name: config.name.clone(),
        inputs: inputs.clone(),
        agent: agent.clone(),
        listed,
        backoff: Backoff::new(agents, !config.seed),
    };
    let holds = agreement::hold(holds, agreement, rules_asked, stopping.clone());
    tokio::task::spawn_local(until_handed(Box::pin(holds)));
    let holds = ledger::Means {
        clock,
        name: config.name.clone(),
        seed: config.seed,
        zone,
        inputs: inputs.clone(),
        agent: agent.clone(),
    };
    let holds = ledger::hold(holds, shared_limits, parts_asked, stopping.clone());
    tokio::task::spawn_local(until_handed(Box::pin(holds)));
    let means = freeze::Means {
        clock,
        seed: config.seed,
        inputs: inputs.clone(),
        agent: agent.clone(),
    };
    let follows = freeze::follow(means, frozen, stopping.clone());
    tokio::task::spawn_local(until_handed(Box::pin(follows)));
    let post = discovery::post_notices(agent, queue, inputs.clone());
    tokio::task::spawn_local(until_handed(Box::pin(post)));
    tokio::task::spawn_local(until_handed(Box::pin(upgrade::wait_for_successor(
        config.state.clone(),
        asked,
    ))));
    let means = membership::Means {
        clock,
        seed: config.seed,
        state: config.state.clone(),
        inputs: inputs.clone(),
        counted,
    };
    let part = membership::take_part(means, membership, queries, stopping);
    tokio::task::spawn_local(until_handed(Box::pin(part)));
    tokio::task::spawn_local(reread(
        hangup,
        config.text,
        moved,
        (member, agrees, shares, freezes),
        inputs.clone(),
    ));
    draining.set(false);
    tokio::task::spawn_local(serve(listener, Rc::new(server)));
    let driver = tokio::task::spawn_local(driver.run(received, ordered, successors));
    let drain = async {
        terminate.recv().await;
        net::log(format_args!("{}: SIGTERM, draining", config.name));
        draining.set(true);
        let _ = stop.send(true);
        let ends = Instant::now() + END;
        let _ = inputs.send(DriverInput::ShuttingDown(ends));
        sleep(CLOSE_IDLE).await;
        let _ = close.send(true);
        sleep(END - CLOSE_IDLE).await;
        net::log(format_args!("{}: ends", config.name));
    };
    tokio::select! {
        // it ends by itself only once another process has all
        ended = driver => ended?,
        () = drain => {}
    }
    Ok(())
}

/// What is told of a word that could not be sent.
fn said(told: &Result<(), upgrade::LinkError>) -> String {
    told.as_ref().map_or_else(
        |error| format!("the old process is gone: {error}"),
        |()| "as it was".into(),
    )
}

/// Rereads the configuration on each SIGHUP: settings and discovery come from a file that is whole, or neither.
async fn reread(
    mut hangup: Signal,
    mut text: Vec<u8>,
    moved: watch::Sender<SocketAddr>,
    (member, agrees, shares, freezes): Parts,
    inputs: mpsc::UnboundedSender<DriverInput>,
) {
    let faults = RateLimitedLog::default();
    let mut wanted = hangup.recv().await.is_some();
    while wanted {
        let before = text.clone();
        let read = tokio::task::spawn_blocking(move || Config::reread(&before)).await;
        match read.map_err(|error| error.to_string()) {
            Ok(Err(error)) if error.is_of_this_machine() => {
                // the platform has told it once, and does not tell it again
                faults.log(format_args!("SIGHUP: configuration not read yet: {error}"));
                sleep(RETRY_INTERVAL).await;
                continue;
            }
            Ok(Ok(new)) => {
                let names = new
                    .settings
                    .classes
                    .iter()
                    .map(|class| class.name.as_str())
                    .collect::<Vec<_>>();
                let names = names.join(", ");
                net::log(format_args!(
                    "SIGHUP: classes {names}; discovery at {}",
                    new.discovery
                ));
                text = new.text;
                let _ = inputs.send(DriverInput::SettingsChanged(Box::new(SettingsUpdate {
                    settings: new.settings,
                    names: new.names,
                    pool: new.pool,
                })));
                replace(&member, new.membership);
                replace(&agrees, new.agreement);
                replace(&shares, new.ledger);
                replace(&freezes, new.freeze);
                replace(&moved, new.discovery);
            }
            Ok(Err(error)) => net::log(format_args!(
                "SIGHUP: configuration left as it was: {error}"
            )),
            Err(error) => net::log(format_args!(
                "SIGHUP: configuration left as it was: {error}"
            )),
        }
        wanted = hangup.recv().await.is_some();
    }
}

/// Tells a part of other settings, if they are others.
fn replace<T: PartialEq>(part: &watch::Sender<T>, new: T) {
    part.send_if_modified(|old| {
        let changed = *old != new;
        *old = new;
        changed
    });
}

fn log_recovery(name: &str, journal: &Journal, recovery: &journal::Recovery) {
    let journal::Recovery {
        records,
        torn,
        damaged,
    } = recovery;
    if *records + *torn + *damaged > 0 {
        let owed = journal.owed().len();
        net::log(format_args!(
            "{name}: journal has {records} records, {owed} messages owed, {torn} bytes torn off"
        ));
    }
    if *damaged > 0 {
        net::log(format_args!(
            "{name}: journal damaged, {damaged} bytes skipped; all it holds may have run"
        ));
    }
}
