//! The registry's replicas, of its own program, and what the lab's clients write to them: the list, the limits, and rules
//! that contradict one another in turn.

use crate::addresses::{Addresses, ReplicaPort};
use crate::clients;
use crate::history::{Event, History};
use crate::process::{LabProcess, ProcessExit, ProcessSpec, spawn};
use crate::relay::Net;
use crate::rules::{fallback_rules, rules_of_version};
use crate::scenario::{Ledger, Registry as Settings};
use crate::schedule::{Party, ReplicaAction};
use hyper::{Method, StatusCode};
use rustix::process::Signal;
use serde_json::{Value, json};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long the replicas may take until one leads.
const LEADS_WITHIN: Duration = Duration::from_secs(20);
/// Between two attempts to write.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// How long a replica may take for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// What the replicas are started with.
#[derive(Debug)]
pub struct RegistryOptions {
    /// The registry's program.
    pub program: PathBuf,
    /// Gets the settings, logs and folders of the replicas.
    pub folder: PathBuf,
    /// The scenario's settings of the registry.
    pub settings: Settings,
    /// Number of senders.
    pub senders: usize,
    /// The addresses of the run.
    pub addresses: Arc<Addresses>,
}

/// The replicas of a run.
#[derive(Debug)]
pub struct Replicas {
    options: RegistryOptions,
    history: Arc<History>,
    processes: Vec<Option<LabProcess>>,
    /// Leaders that were stopped or ended, the last one last.
    former_leaders: Vec<usize>,
}

impl Replicas {
    /// Writes the settings, carries what goes between replicas and from senders to them, and starts all.
    ///
    /// # Errors
    /// A file can't be written, an address is taken, the program can't be started, or no replica leads in time.
    pub async fn start_all(options: RegistryOptions, net: &Arc<Net>) -> anyhow::Result<Self> {
        std::fs::create_dir_all(&options.folder)?;
        let fallback = fallback_rules().to_string();
        std::fs::write(options.folder.join("floor.json"), fallback)?;
        let rules = rules_of_version(1).to_string();
        std::fs::write(options.folder.join("rules.json"), rules)?;
        let count = options.settings.replicas;
        for replica in 0..count {
            let file = options.folder.join(format!("r{replica}.toml"));
            std::fs::write(file, options.settings_file(replica))?;
            options.forward_links(replica, net).await?;
        }
        let mut replicas = Replicas {
            options,
            history: net.history.clone(),
            processes: (0..count).map(|_| None).collect(),
            former_leaders: Vec::new(),
        };
        (0..count).try_for_each(|replica| replicas.start(replica))?;
        let begin = Instant::now();
        while replicas.leader().await.is_none() {
            anyhow::ensure!(
                begin.elapsed() < LEADS_WITHIN,
                "no replica of the registry leads: see its log"
            );
            sleep(RETRY_INTERVAL).await;
        }
        Ok(replicas)
    }

    fn start(&mut self, replica: usize) -> anyhow::Result<()> {
        let mut arguments = vec!["run".into(), "--config".into()];
        arguments.push(
            self.options
                .folder
                .join(format!("r{replica}.toml"))
                .into_os_string(),
        );
        let log = self.options.folder.join(format!("r{replica}.log"));
        let history = self.history.clone();
        let spec = ProcessSpec {
            program: &self.options.program,
            arguments: &arguments,
            variables: &[],
            log: &log,
        };
        let process = spawn(&spec, move |exit: ProcessExit| {
            history.record(Event::ReplicaEnded {
                replica,
                pid: exit.pid,
                intended: exit.intended,
                status: exit.status,
            });
        })?;
        self.processes[replica] = Some(process);
        Ok(())
    }

    async fn leader(&self) -> Option<usize> {
        for replica in
            (0..self.processes.len()).filter(|replica| self.processes[*replica].is_some())
        {
            let address = self
                .options
                .addresses
                .replica_address(replica, ReplicaPort::Clients);
            let answer = clients::get(address, "/v1/status", Duration::from_millis(300)).await;
            let report: Option<Value> =
                answer.and_then(|(_, body)| serde_json::from_slice(&body).ok());
            if report.is_some_and(|report| report["role"] == "leader") {
                return Some(replica);
            }
        }
        None
    }

    /// Does something to a replica, or to the one that leads.
    ///
    /// # Errors
    /// It can't be started.
    pub async fn apply(
        &mut self,
        replica: Option<usize>,
        action: ReplicaAction,
    ) -> anyhow::Result<()> {
        let begins_fault = !matches!(action, ReplicaAction::Start | ReplicaAction::Continue);
        let replica = match replica {
            Some(replica) => replica,
            None if begins_fault => {
                let leader = self.leader().await.unwrap_or(0);
                self.former_leaders.push(leader);
                leader
            }
            None => self.former_leaders.pop().unwrap_or(0),
        };
        self.history
            .record(Event::ReplicaSignalled { replica, action });
        let signal = match action {
            ReplicaAction::Start => return self.start(replica),
            ReplicaAction::Kill => Signal::KILL,
            ReplicaAction::Term => Signal::TERM,
            ReplicaAction::Stop => Signal::STOP,
            ReplicaAction::Continue => Signal::CONT,
        };
        let ends = matches!(action, ReplicaAction::Kill | ReplicaAction::Term);
        if ends {
            if let Some(process) = self.processes[replica].take() {
                process.end(signal);
            }
        } else if let Some(process) = &self.processes[replica] {
            process.signal(signal);
        }
        Ok(())
    }

    /// A client of the replicas.
    pub fn client(&self) -> RegistryClient {
        RegistryClient {
            addresses: self.options.addresses.clone(),
            replicas: self.processes.len(),
        }
    }

    /// Kills all replicas.
    pub fn kill_all(&mut self) {
        for process in self.processes.iter_mut().filter_map(Option::take) {
            process.end(Signal::KILL);
        }
    }
}

impl RegistryOptions {
    /// The settings file of a replica.
    fn settings_file(&self, replica: usize) -> String {
        let own = |port| self.addresses.replica_address(replica, port);
        let mut text = format!(
            "cluster = \"lab\"\nid = {}\nlisten = \"{}\"\npeers = \"{}\"\nfolder = \"r{replica}\"\n",
            replica + 1,
            own(ReplicaPort::Clients),
            own(ReplicaPort::Peers)
        );
        for to in 0..self.settings.replicas {
            let address = |port| {
                if to == replica {
                    own(port)
                } else {
                    self.addresses.replica_link_address(replica, to, port)
                }
            };
            text += &format!(
                "[[replica]]\nid = {}\npeers = \"{}\"\nclients = \"{}\"\n",
                to + 1,
                address(ReplicaPort::Peers),
                address(ReplicaPort::Clients)
            );
        }
        text += &format!(
            "[agreement]\nlease_ms = {}\nfloor = \"floor.json\"\nrules = \"rules.json\"\n",
            self.settings.lease_ms
        );
        if let Some(ledger) = &self.settings.ledger {
            text += &format!(
                "[ledger]\nlease_ms = {}\nsenders = {}\nfloors = {{ rate = {} }}\nsplit_at = {:?}\n",
                ledger.lease_ms,
                self.senders,
                ledger.fallback_quota(),
                ledger.split_at
            );
        }
        text
    }

    /// Carries what goes from a replica to the others, and from senders to it.
    async fn forward_links(&self, replica: usize, net: &Arc<Net>) -> std::io::Result<()> {
        let party = Party::Registry(replica);
        for to in (0..self.settings.replicas).filter(|to| *to != replica) {
            for port in [ReplicaPort::Peers, ReplicaPort::Clients] {
                let listen = self.addresses.replica_link_address(replica, to, port);
                let target = self.addresses.replica_address(to, port);
                net.forward(listen, party, Party::Registry(to), target)
                    .await?;
            }
        }
        let target = self
            .addresses
            .replica_address(replica, ReplicaPort::Clients);
        for sender in 0..self.senders {
            let listen = self.addresses.registry_link_address(sender, replica);
            net.forward(listen, Party::Sender(sender), party, target)
                .await?;
        }
        Ok(())
    }
}

/// The replicas as their clients see them: asked in turn.
#[derive(Debug, Clone)]
pub struct RegistryClient {
    addresses: Arc<Addresses>,
    replicas: usize,
}

impl RegistryClient {
    /// The answer of the replica whose turn it is, if it is a success.
    async fn request(
        &self,
        turn: usize,
        method: Method,
        path: &str,
        version: Option<u64>,
        body: String,
    ) -> Option<Value> {
        let address = self
            .addresses
            .replica_address(turn % self.replicas, ReplicaPort::Clients);
        let answer = clients::request(address, method, path, version, body, ANSWER_TIMEOUT).await;
        let (_, body) = answer.filter(|(status, _)| *status == StatusCode::OK)?;
        serde_json::from_slice(&body).ok()
    }

    /// Writes by whichever replica answers, until one has done it.
    pub async fn write(&self, method: Method, path: &str, body: String) {
        let mut turn = 0;
        while self
            .request(turn, method.clone(), path, None, body.clone())
            .await
            .is_none()
        {
            turn += 1;
            sleep(RETRY_INTERVAL).await;
        }
    }

    /// One of many clients that read the list's version and write conditionally upon it, until the run ends.
    pub async fn write_conditionally(self, client: usize, history: Arc<History>) {
        let revision_of = |answer: Option<Value>| answer?["rev"].as_u64();
        for turn in client.. {
            sleep(RETRY_INTERVAL * 4).await;
            let requested_at_us = history.now_us();
            let read = self
                .request(
                    turn,
                    Method::GET,
                    "/v1/endpoints?fresh=1",
                    None,
                    String::new(),
                )
                .await;
            let Some(known) = revision_of(read) else {
                continue;
            };
            history.record(Event::ListRevision {
                requested_at_us,
                revision: known,
                is_write: false,
            });
            // a destination that no message has
            let target =
                json!({ "endpoint": "127.0.0.1:1", "pod_group": 60_000, "capacity_hint": turn });
            let requested_at_us = history.now_us();
            let path = format!("/v1/endpoints/w{client}");
            let written = self
                .request(
                    turn + 1,
                    Method::PUT,
                    &path,
                    Some(known),
                    target.to_string(),
                )
                .await;
            if let Some(revision) = revision_of(written) {
                history.record(Event::ListRevision {
                    requested_at_us,
                    revision,
                    is_write: true,
                });
            }
        }
    }

    /// Limits the rate of all destinations.
    pub async fn set_limits(&self, destinations: usize, per_s: f64, history: &History) {
        let total = Ledger::thousandths(per_s);
        for destination in 0..destinations {
            let body = json!({ "total": total }).to_string();
            self.write(Method::PUT, &format!("/v1/limits/rate/{destination}"), body)
                .await;
        }
        history.record(Event::LimitSet { total });
    }

    /// Writes the next rules after each interval, by whichever replica answers, until the run ends.
    pub async fn change_rules(self, interval: Duration, history: Arc<History>) {
        let mut turn = 0;
        loop {
            sleep(interval).await;
            while !self.change_once(&mut turn, &history).await {
                sleep(RETRY_INTERVAL).await;
            }
        }
    }

    /// Writes the next rules if the last ones are in force; false if they are not, or no replica answers.
    async fn change_once(&self, turn: &mut usize, history: &History) -> bool {
        *turn += 2;
        let report = self
            .request(*turn, Method::GET, "/v1/rules", None, String::new())
            .await;
        let settled = report.filter(|report| report["settled"] == true);
        let Some(version) = settled.and_then(|report| report["version"].as_u64()) else {
            return false;
        };
        let next = rules_of_version(version + 1).to_string();
        let tag = self
            .request(*turn + 1, Method::PUT, "/v1/rules", Some(version), next)
            .await;
        let Some(version) = tag.and_then(|tag| tag["version"].as_u64()) else {
            return false;
        };
        history.record(Event::RulesProposed { version });
        true
    }
}
