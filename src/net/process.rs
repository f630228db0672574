//! One process of the sender, from its start with a configuration to its graceful shutdown: opens the state folder,
//! creates the driver and starts all tasks.

mod channels;
mod part_settings;
mod reload;
mod state_folder;
mod tasks;

use crate::net;
use crate::net::calls::Calls;
use crate::net::class_terms_file::ClassTermsFile;
use crate::net::clock::ClockError;
use crate::net::config::Config;
use crate::net::control::{self, Control};
use crate::net::driver::{
    ClientSlots, Dependencies, Driver, DriverMemory, InitialState, ProcessState,
};
use crate::net::events::{DriverInput, FreezeChange, SettingsUpdate};
use crate::net::handover::{Frame, HandoverState, Link, LinkError, ReceivedHandover};
use crate::net::journal::JournalError;
use crate::net::memory_log::MemoryLog;
use crate::net::pool::{ConnectionPool, PoolResources, limits};
use crate::net::request_memory::RequestMemory;
use crate::net::server::{Classes, OpenConnections, Server, serve};
use crate::net::startup;
use crate::net::{agreement, ledger};
use channels::{Channels, Flags, Receivers, Senders};
use message_sender::class_transition::ClassTransition;
use message_sender::{Sender, SettingsError};
use part_settings::SubsystemSettings;
use state_folder::{StateFolder, open_state_folder};
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tasks::Tasks;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::JoinError;
use tokio::time::{Instant, sleep};

/// Time from SIGTERM until idle client connections are closed.
const CLOSE_IDLE_AFTER: Duration = Duration::from_millis(2500);
/// Time from SIGTERM until the process exits. The platform sends SIGKILL no sooner than 3.7 s after SIGTERM.
const EXIT_AFTER: Duration = Duration::from_millis(3300);

/// Error with which the process fails to start, or ends.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// Installing a signal handler, opening the lock file or binding the listening socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Module time can't be restored from the state folder.
    #[error(transparent)]
    Clock(#[from] ClockError),
    /// The journal can't be opened.
    #[error(transparent)]
    Journal(#[from] JournalError),
    /// The decision module rejects the settings as invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The driver's task panicked.
    #[error(transparent)]
    Driver(#[from] JoinError),
}

/// Runs the sender until [`EXIT_AFTER`] after SIGTERM, or until a successor has taken over and the calls and clients of
/// this process are complete. Returns before it serves messages if SIGTERM arrives while the state folder is being
/// opened, or if a process that started later owns the folder.
///
/// # Errors
/// Returns an error if a resource that the process needs is permanently unavailable, or if the driver panics.
pub async fn run(config: Config) -> Result<(), ProcessError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let hangup = signal(SignalKind::hangup())?;
    let Channels { senders, receivers } = Channels::new();
    if let Some(settings) = &config.freeze {
        // sent before the tasks start, so that the freeze filter applies to the first endpoint list already
        let change = FreezeChange::On(settings.clone());
        let _ = senders.inputs.send(DriverInput::Freeze(change));
    }
    let subsystem_settings = SubsystemSettings::new(&config);
    let flags = Flags::new();
    start_control(&config, &senders, &flags).await;
    let opened = tokio::select! {
        opened = open_state_folder(&config) => opened?,
        _ = terminate.recv() => return Ok(()),
    };
    let Some(folder) = opened else {
        net::log(format_args!(
            "{}: handover: a process that started later owns the folder, this process exits",
            config.name
        ));
        return Ok(());
    };
    let process = Process {
        config,
        senders,
        flags,
        subsystem_settings,
    };
    process.run(folder, receivers, terminate, hangup).await
}

/// Starts the control API for operators. If its address can't be bound yet, retries in the background.
async fn start_control(config: &Config, senders: &Senders, flags: &Flags) {
    let Some(address) = config.control else {
        return;
    };
    let control = Control {
        commands: senders.commands.clone(),
        members: senders.membership_reports.clone(),
        agreement: senders.agreement_reports.clone(),
        ledger: senders.ledger_reports.clone(),
        ready: flags.ready.subscribe(),
        draining: flags.draining.clone(),
    };
    let name = config.name.clone();
    let listener = startup::listen_for_operators(&name, address).await;
    tokio::task::spawn_local(async move {
        let listener = match listener {
            Some(listener) => listener,
            None => startup::retry_listen_for_operators(address).await,
        };
        let address = listener.local_addr().unwrap_or(address);
        net::log(format_args!("{name}: control API at {address}"));
        control::serve(listener, Rc::new(control)).await;
    });
}

/// Configuration, channels and flags from which the subsystems of the process are created.
struct Process {
    config: Config,
    senders: Senders,
    flags: Flags,
    subsystem_settings: SubsystemSettings,
}

/// Limits of client connections, divided between this process and its predecessor.
struct ClientCapacity {
    /// Connection slots of this process.
    slots: ClientSlots,
    /// Number of client connections that the predecessor still holds.
    held_by_predecessor: usize,
}

/// Values about the fleet that the driver and the other tasks share.
struct FleetState {
    /// Number of senders that the decision module assumes in the fleet.
    size: Rc<Cell<u32>>,
    /// Version of the endpoint list that the decision module uses.
    list_version: Rc<Cell<u64>>,
}

impl FleetState {
    fn new(size: u32) -> Self {
        FleetState {
            size: Rc::new(Cell::new(size)),
            list_version: Rc::new(Cell::new(0)),
        }
    }
}

impl Process {
    async fn run(
        self,
        folder: StateFolder,
        receivers: Receivers,
        terminate: Signal,
        hangup: Signal,
    ) -> Result<(), ProcessError> {
        let clock = folder.clock;
        let fleet = FleetState::new(self.config.settings.senders);
        let ClientCapacity {
            slots,
            held_by_predecessor,
        } = self.client_capacity(folder.received.as_ref());
        let server = self.server(&slots);
        let binding_times = folder.binding_times.clone();
        let (mut driver, link) = self.driver(folder, slots, server.classes.clone(), &fleet)?;
        if let Some(link) = link {
            self.confirm_takeover(&mut driver, link, held_by_predecessor)
                .await;
        }
        let listener = self.listen().await?;
        let tasks = Tasks {
            process: &self,
            clock,
            fleet,
        };
        tasks.start(driver.list_version(), binding_times, receivers.tasks);
        reload::start(hangup, &self);
        self.flags.draining.set(false);
        tokio::task::spawn_local(serve(listener, Rc::new(server)));
        let driver = tokio::task::spawn_local(driver.run(receivers.driver));
        tokio::select! {
            // without SIGTERM the driver ends only after a successor has taken over all its work
            ended = driver => ended?,
            () = self.shut_down_on(terminate) => {}
        }
        Ok(())
    }

    /// Creates the driver, and returns it with the link to the predecessor, if one handed over.
    fn driver(
        &self,
        folder: StateFolder,
        client_slots: ClientSlots,
        classes: Classes,
        fleet: &FleetState,
    ) -> Result<(Driver, Option<Link>), SettingsError> {
        let dependencies = Dependencies {
            process: ProcessState {
                clock: folder.clock,
                inputs: self.senders.inputs.clone(),
                lock: folder.lock,
                client_slots,
                classes,
                draining: self.flags.draining.clone(),
                handed_over: self.flags.handed_over.clone(),
                fleet_size: fleet.size.clone(),
                list_version: fleet.list_version.clone(),
            },
            journal: folder.journal,
            calls: self.calls(),
            notifications: self.senders.notifications.clone(),
            ready: self.flags.ready.clone(),
            memory: self.driver_memory(),
            class_terms_file: ClassTermsFile::new(&self.config.state_folder),
            seed: self.config.seed,
        };
        let (sender, handover, link) = match folder.received {
            Some(received) => (*received.sender, Some(received.state), Some(received.link)),
            None => (self.new_sender()?, None, None),
        };
        let initial = self.initial_state(sender, handover, folder.class_terms);
        Ok((Driver::new(dependencies, initial), link))
    }

    fn driver_memory(&self) -> DriverMemory {
        let config = &self.config;
        let log = MemoryLog::new(config.memory_bytes, config.state_folder.clone());
        DriverMemory::new(config.memory_shares(), log)
    }

    fn new_sender(&self) -> Result<Sender, SettingsError> {
        Sender::new(self.config.settings.clone(), self.config.seed)
    }

    fn initial_state(
        &self,
        sender: Sender,
        handover: Option<HandoverState>,
        class_terms: Option<ClassTransition>,
    ) -> InitialState {
        let config = &self.config;
        let agreement = self.subsystem_settings.agreement.borrow();
        let ledger = self.subsystem_settings.ledger.borrow();
        InitialState {
            sender,
            handover,
            settings: SettingsUpdate {
                settings: config.settings.clone(),
                names: config.names.clone(),
                pool: config.pool.clone(),
            },
            class_terms,
            configured_list: config.known_list.clone(),
            fallback_rules: agreement
                .as_ref()
                .map(|agreement| agreement::bounds(&agreement.fallback)),
            fallback_quotas: ledger.as_ref().map(ledger::fallback_only),
        }
    }

    fn calls(&self) -> Calls {
        let config = &self.config;
        let shares = config.memory_shares();
        let resources = PoolResources {
            descriptors: config.max_descriptors,
            max_connections: shares.endpoint_connections,
            answer_bytes: shares.answer_bytes,
            seed: config.seed,
        };
        let limits = limits(&config.pool, resources, &config.settings);
        let connections = ConnectionPool::new(limits, config.names.dial_timeout, resources);
        Calls::new(self.senders.inputs.clone(), connections)
    }

    /// Calculates how many client connections this process may accept: those that its descriptors and its memory allow,
    /// minus the connections that the predecessor still holds, but at least one.
    fn client_capacity(&self, received: Option<&ReceivedHandover>) -> ClientCapacity {
        let total = self.config.memory_shares().client_connections;
        let held = received.map_or(0, |received| received.state.client_connections);
        let held_by_predecessor = held.min(total - 1);
        ClientCapacity {
            slots: ClientSlots::new(total - held_by_predecessor),
            held_by_predecessor,
        }
    }

    fn server(&self, slots: &ClientSlots) -> Server {
        let shares = self.config.memory_shares();
        let connections = Rc::new(OpenConnections::default());
        Server {
            classes: Classes::default(),
            inputs: self.senders.inputs.clone(),
            ready: self.flags.ready.subscribe(),
            draining: self.flags.draining.clone(),
            connection_permits: slots.free.clone(),
            connections: connections.clone(),
            memory: RequestMemory::new(&shares, connections),
            handed_over: self.flags.handed_over.subscribe(),
            closing: self.flags.close_clients.subscribe(),
        }
    }

    /// Notifies the predecessor that this process owns the messages, and connects the driver to the predecessor. If the
    /// link is lost, this process still owns the messages, because it holds the lock of the state folder.
    async fn confirm_takeover(
        &self,
        driver: &mut Driver,
        mut link: Link,
        client_connections: usize,
    ) {
        let send_result = link.send(&Frame::Accepted).await;
        net::log(format_args!(
            "{}: handover: taken over ({})",
            self.config.name,
            describe_link(&send_result)
        ));
        driver.set_predecessor(link.listen(self.senders.inputs.clone()), client_connections);
    }

    async fn listen(&self) -> Result<TcpListener, io::Error> {
        let config = &self.config;
        let listener = startup::client_listener(config.passed_socket, config.listen).await?;
        let address = listener.local_addr().unwrap_or(config.listen);
        net::log(format_args!("{}: listening on {address}", config.name));
        Ok(listener)
    }

    /// Waits for SIGTERM, then stops accepting messages. Closes idle client connections [`CLOSE_IDLE_AFTER`] after
    /// SIGTERM, and returns [`EXIT_AFTER`] after SIGTERM.
    async fn shut_down_on(&self, mut terminate: Signal) {
        terminate.recv().await;
        let name = &self.config.name;
        net::log(format_args!("{name}: SIGTERM, draining"));
        self.flags.draining.set(true);
        let _ = self.flags.stopping.send(true);
        let exit_at = Instant::now() + EXIT_AFTER;
        let _ = self.senders.inputs.send(DriverInput::ShuttingDown(exit_at));
        sleep(CLOSE_IDLE_AFTER).await;
        let _ = self.flags.close_clients.send(true);
        sleep(EXIT_AFTER - CLOSE_IDLE_AFTER).await;
        net::log(format_args!("{name}: exiting"));
    }
}

/// Describes for the log whether the predecessor could be notified of the takeover.
fn describe_link(send_result: &Result<(), LinkError>) -> String {
    match send_result {
        Ok(()) => "complete".into(),
        Err(error) => format!("lost the link to the predecessor: {error}"),
    }
}
