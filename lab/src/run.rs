//! One run: prepares the simulation and the fleet, plays the schedule, and checks the history.

mod active_run;
mod summary;

pub use summary::Figures;

use crate::addresses::{Addresses, ReplicaPort};
use crate::check::check;
use crate::clients::Frontend;
use crate::fleet::{Fleet, FleetOptions};
use crate::history::{self, Event, Head, History};
use crate::registry::{RegistryOptions, Replicas};
use crate::relay::{DatagramRelay, MembershipSocket, Net, watch_lateness};
use crate::scenario::{Ledger, Scenario};
use crate::schedule::Schedule;
use crate::serve::Simulation;
use crate::violation::Violation;
use crate::workload::micros;
use active_run::ActiveRun;
use anyhow::{Context, bail};
use hyper::Method;
use rustix::process::{Resource, getrlimit};
use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// A run in which the lab was later than this shows the lab's faults, not the senders'.
const MAX_LATENESS: Duration = Duration::from_millis(250);
/// For the ends of killed processes to be recorded.
const KILL_TIME: Duration = Duration::from_millis(50);
/// What a run may take beyond its faults, and what each sender adds to that, s.
const SLACK_S: f64 = 60.0;
const SLACK_OF_SENDER_S: f64 = 0.2;
/// Descriptors of the lab beside those of senders.
const OWN_DESCRIPTORS: u64 = 200;

/// What to run.
#[derive(Debug, Clone)]
pub struct RunOptions {
    /// The scenario.
    pub scenario: Scenario,
    /// Seed of all that is drawn.
    pub seed: u64,
    /// The sender's program.
    pub program: PathBuf,
    /// The registry's program.
    pub registry: PathBuf,
    /// Gets the history, the schedule and the senders' folders.
    pub out: PathBuf,
}

/// How a run went.
#[derive(Debug)]
pub struct Outcome {
    /// The rules that were broken.
    pub violations: Vec<Violation>,
    /// Why the run proves nothing, if it does not.
    pub void: Option<String>,
    /// What was counted.
    pub figures: Figures,
}

/// Makes a run.
///
/// # Errors
/// Something that the lab needs is not to be had, or a sender never got ready.
pub async fn run(options: &RunOptions) -> anyhow::Result<Outcome> {
    let scenario = &options.scenario;
    let schedule = Schedule::draw(scenario, options.seed)?;
    check_descriptors(scenario)?;
    let program = canonical(&options.program)?;
    std::fs::create_dir_all(&options.out).with_context(|| options.out.display().to_string())?;
    let folder = options.out.canonicalize()?;
    std::fs::write(folder.join("plan.json"), serde_json::to_vec(&schedule)?)?;
    let path = folder.join("history.jsonl");
    let head = head_of(options);
    let history = Arc::new(History::create(&path, &head)?);
    tokio::spawn(watch_lateness(history.clone()));
    let mut active = prepare(options, program, folder, history.clone()).await?;
    let played = active.run(&schedule, scenario).await;
    for (sender, line) in active.fleet.violation_lines() {
        history.record(Event::InvariantViolated { sender, line });
    }
    history.record(Event::RunEnded {});
    let usage = active.fleet.usage();
    active.fleet.kill_all();
    active.replicas.iter_mut().for_each(Replicas::kill_all);
    sleep(KILL_TIME).await;
    history.flush()?;
    played?;
    let (_, records) = history::read(&path)?;
    let counts = history.counts();
    let late = counts.max_lateness;
    let void = (late > MAX_LATENESS).then(|| format!("the lab was {} ms late", late.as_millis()));
    Ok(Outcome {
        violations: check(&head, &records),
        void,
        figures: Figures::of_run(scenario, &head, &records, counts, usage),
    })
}

fn canonical(path: &Path) -> anyhow::Result<PathBuf> {
    path.canonicalize()
        .with_context(|| path.display().to_string())
}

fn head_of(options: &RunOptions) -> Head {
    let scenario = &options.scenario;
    Head {
        version: history::VERSION,
        scenario: scenario.name.clone(),
        seed: options.seed,
        senders: scenario.senders,
        ends_us: micros(scenario.seconds),
        period_us: scenario.period_us(),
    }
}

/// Starts all parts of a run but the senders.
async fn prepare(
    options: &RunOptions,
    program: PathBuf,
    folder: PathBuf,
    history: Arc<History>,
) -> anyhow::Result<ActiveRun> {
    let scenario = &options.scenario;
    let net = Net::new(options.seed, history.clone());
    let addresses = Arc::new(Addresses::claim()?);
    let replica_addresses = (0..scenario.replicas())
        .map(|replica| addresses.replica_address(replica, ReplicaPort::Clients))
        .collect();
    let simulation = Simulation::new(scenario, options.seed, net.clone(), replica_addresses);
    let mut discovery = Vec::new();
    for sender in 0..scenario.senders {
        let address = simulation
            .listen_for(sender, addresses.lab_ip(sender))
            .await?;
        discovery.push(address);
    }
    let sockets: Vec<MembershipSocket> = (0..scenario.senders)
        .map(|sender| MembershipSocket {
            advertised: addresses.advertised_address(sender),
            own: addresses.membership_address(sender),
        })
        .collect();
    DatagramRelay::start(net.clone(), &sockets).await?;
    let replicas = start_registry(options, &folder, &addresses, &net, &simulation).await?;
    let client_addresses = (0..scenario.senders)
        .map(|sender| addresses.client_address(sender))
        .collect();
    let frontend = Frontend::new(net.clone(), client_addresses);
    let fleet = Fleet::new(FleetOptions {
        program,
        folder,
        addresses,
        history: history.clone(),
        discovery,
        scenario: scenario.clone(),
        seed: options.seed,
    });
    Ok(ActiveRun {
        net,
        simulation,
        frontend,
        fleet,
        replicas,
        crowds: HashMap::new(),
        history,
    })
}

/// Starts the replicas and writes the list and the limits, if the scenario has a registry.
async fn start_registry(
    options: &RunOptions,
    folder: &Path,
    addresses: &Arc<Addresses>,
    net: &Arc<Net>,
    simulation: &Simulation,
) -> anyhow::Result<Option<Replicas>> {
    let scenario = &options.scenario;
    let Some(settings) = &scenario.registry else {
        return Ok(None);
    };
    let registry = RegistryOptions {
        program: canonical(&options.registry)?,
        folder: folder.join("registry"),
        settings: settings.clone(),
        senders: scenario.senders,
        addresses: addresses.clone(),
    };
    let replicas = Replicas::start_all(registry, net).await?;
    replicas
        .client()
        .write(Method::POST, "/v1/endpoints", simulation.list_changes())
        .await;
    if let Some(ledger) = &settings.ledger {
        set_limits(&replicas, scenario.destinations.count, ledger, &net.history).await;
    }
    Ok(Some(replicas))
}

/// Limits every destination, and lowers the limits later in the run.
async fn set_limits(
    replicas: &Replicas,
    destinations: usize,
    ledger: &Ledger,
    history: &Arc<History>,
) {
    let client = replicas.client();
    client
        .set_limits(destinations, ledger.limit_per_s, history)
        .await;
    let history = history.clone();
    let ledger = ledger.clone();
    tokio::spawn(async move {
        sleep(Duration::from_secs_f64(ledger.lower_at)).await;
        client
            .set_limits(destinations, ledger.lower_to_per_s, &history)
            .await;
    });
}

/// Checks that there are descriptors enough: a listener for each sender and endpoint, and connections beside them.
fn check_descriptors(scenario: &Scenario) -> anyhow::Result<()> {
    let of_sender = 4 + 3 * scenario.endpoints() as u64 + 4 * scenario.replicas() as u64;
    let needed = scenario.senders as u64 * of_sender + OWN_DESCRIPTORS;
    let limit = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    if limit < needed {
        bail!(
            "descriptors are short: a run of this size needs {needed}, the limit is {limit} (ulimit -n)"
        );
    }
    Ok(())
}

/// Reads a scenario's file.
///
/// # Errors
/// Names the file and the line.
pub fn read_scenario(path: &Path) -> anyhow::Result<Scenario> {
    let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
    Scenario::read(&text).with_context(|| path.display().to_string())
}

/// Makes a run, and ends one that takes longer than its faults, deadlines and starts can.
///
/// # Errors
/// As [`run`], or the run took too long.
pub async fn run_with_timeout(options: &RunOptions) -> anyhow::Result<Outcome> {
    let scenario = &options.scenario;
    let fault_ends = scenario
        .faults
        .iter()
        .map(|fault| fault.get_ref().at + fault.get_ref().seconds);
    let played_s = fault_ends.fold(scenario.seconds, f64::max);
    let longest_s = played_s + SLACK_S + SLACK_OF_SENDER_S * scenario.senders as f64;
    timeout(Duration::from_secs_f64(longest_s), run(options))
        .await
        .context("the run hung")?
}
