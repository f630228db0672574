//! The registry's replicas, of its own program, and what the lab has them agree on: rules that contradict one another in
//! turn, every so often.

use crate::clients;
use crate::fleet::{Addresses, Process, spawn};
use crate::history::{Event, History};
use crate::plan::{CLASSES, Party, ReplicaAct, WINDOW_S};
use crate::relay::Net;
use crate::scenario::{Ledger, Registry as Settings, Scenario};
use anyhow::Context;
use hyper::{Method, StatusCode};
use rustix::process::Signal;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long the replicas may take until one leads.
const LEADS_WITHIN: Duration = Duration::from_secs(20);
/// Between two tries to have other rules taken up.
const AGAIN: Duration = Duration::from_millis(50);
/// How long a replica may take for an answer.
const PATIENCE: Duration = Duration::from_secs(3);

/// The replicas of a run.
#[derive(Debug)]
pub struct Replicas {
    program: PathBuf,
    folder: PathBuf,
    addresses: Arc<Addresses>,
    history: Arc<History>,
    processes: Vec<Option<Process>>,
    /// Leaders that were stopped or ended, the last one last.
    led: Vec<usize>,
}

/// Rules: none is freer in `calls` and in `messages` than the other.
fn rules(version: u64) -> Value {
    let (calls, messages) = if version % 2 == 1 {
        (400, 300)
    } else {
        (300, 400)
    };
    document(calls, messages)
}

/// What a sender does without a lease.
pub fn floor() -> Value {
    document(200, 200)
}

fn document(calls: u64, messages: u64) -> Value {
    let classes = CLASSES.iter().map(|class| {
        let effect = match class.effect {
            "deduplicated" => json!({ "deduplicated": { "window_ms": (WINDOW_S * 1e3) as u64 } }),
            other => json!(other),
        };
        let class_rules = json!({ "accepted": true, "effect": effect, "attempts": 12, "in_order": class.in_order,
            "keyed_by": "reader", "gap_ms": 0 });
        (class.name.to_string(), class_rules)
    });
    let classes: serde_json::Map<String, Value> = classes.collect();
    json!({ "classes": classes, "limits": { "calls": calls, "messages": messages } })
}

impl Replicas {
    /// Writes the settings, carries what goes between replicas and from senders to them, and starts all.
    ///
    /// # Errors
    /// Something is not to be had.
    pub async fn start_all(
        scenario: &Scenario,
        settings: &Settings,
        program: PathBuf,
        folder: &Path,
        addresses: Arc<Addresses>,
        net: &Arc<Net>,
    ) -> anyhow::Result<Self> {
        let program = program
            .canonicalize()
            .with_context(|| program.display().to_string())?;
        let folder = folder.join("registry");
        std::fs::create_dir_all(&folder)?;
        std::fs::write(folder.join("floor.json"), floor().to_string())?;
        std::fs::write(folder.join("rules.json"), rules(1).to_string())?;
        let count = settings.replicas;
        for from in 0..count {
            let mut text = format!(
                "cluster = \"lab\"\nid = {}\nlisten = \"{}\"\npeers = \"{}\"\nfolder = \"r{from}\"\n",
                from + 1,
                addresses.replica(from, false),
                addresses.replica(from, true)
            );
            for to in 0..count {
                let place = |peers| {
                    if from == to {
                        addresses.replica(to, peers)
                    } else {
                        addresses.between(from, to, peers)
                    }
                };
                text += &format!(
                    "[[replica]]\nid = {}\npeers = \"{}\"\nclients = \"{}\"\n",
                    to + 1,
                    place(true),
                    place(false)
                );
                for peers in [true, false].into_iter().filter(|_| from != to) {
                    let (one, other) = (Party::Registry(from), Party::Registry(to));
                    net.forward(
                        addresses.between(from, to, peers),
                        one,
                        other,
                        addresses.replica(to, peers),
                    )
                    .await?;
                }
            }
            text += &format!(
                "[agreement]\nlease_ms = {}\nfloor = \"floor.json\"\nrules = \"rules.json\"\n",
                settings.lease_ms
            );
            if let Some(ledger) = &settings.ledger {
                text += &format!(
                    "[ledger]\nlease_ms = {}\nsenders = {}\nfloors = {{ rate = {} }}\nsplit_at = {:?}\n",
                    ledger.lease_ms,
                    scenario.senders,
                    ledger.floor(),
                    ledger.split_at
                );
            }
            std::fs::write(folder.join(format!("r{from}.toml")), text)?;
            for sender in 0..scenario.senders {
                let (one, other) = (Party::Sender(sender), Party::Registry(from));
                net.forward(
                    addresses.registry_of(sender, from),
                    one,
                    other,
                    addresses.replica(from, false),
                )
                .await?;
            }
        }
        let processes = (0..count).map(|_| None).collect();
        let history = net.history.clone();
        let mut replicas = Replicas {
            program,
            folder,
            addresses,
            history,
            processes,
            led: Vec::new(),
        };
        (0..count).try_for_each(|replica| replicas.start(replica))?;
        let begin = Instant::now();
        while replicas.leader().await.is_none() {
            anyhow::ensure!(
                begin.elapsed() < LEADS_WITHIN,
                "no replica of the registry leads: see its log"
            );
            sleep(AGAIN).await;
        }
        Ok(replicas)
    }

    fn start(&mut self, replica: usize) -> anyhow::Result<()> {
        let mut arguments = vec!["run".into(), "--config".into()];
        arguments.push(
            self.folder
                .join(format!("r{replica}.toml"))
                .into_os_string(),
        );
        let log = self.folder.join(format!("r{replica}.log"));
        let history = self.history.clone();
        let process = spawn(
            &self.program,
            &arguments,
            &[],
            &log,
            move |pid, meant, status| {
                history.tell(Event::ReplicaEnded {
                    replica,
                    pid,
                    meant,
                    status,
                });
            },
        )?;
        self.processes[replica] = Some(process);
        Ok(())
    }

    async fn leader(&self) -> Option<usize> {
        for replica in
            (0..self.processes.len()).filter(|replica| self.processes[*replica].is_some())
        {
            let address = self.addresses.replica(replica, false);
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
    pub async fn act(&mut self, replica: Option<usize>, what: ReplicaAct) -> anyhow::Result<()> {
        let begins = !matches!(what, ReplicaAct::Start | ReplicaAct::Continue);
        let replica = match replica {
            Some(replica) => replica,
            None if begins => {
                let leader = self.leader().await.unwrap_or(0);
                self.led.push(leader);
                leader
            }
            None => self.led.pop().unwrap_or(0),
        };
        self.history.tell(Event::Replica { replica, what });
        let signal = match what {
            ReplicaAct::Start => return self.start(replica),
            ReplicaAct::Kill => Signal::KILL,
            ReplicaAct::Term => Signal::TERM,
            ReplicaAct::Stop => Signal::STOP,
            ReplicaAct::Continue => Signal::CONT,
        };
        let ends = matches!(what, ReplicaAct::Kill | ReplicaAct::Term);
        let process = if ends {
            self.processes[replica].take()
        } else {
            self.processes[replica].clone()
        };
        if let Some(process) = process {
            process.signal(signal, ends);
        }
        Ok(())
    }

    /// The way to ask them.
    pub fn asker(&self) -> Asker {
        Asker {
            addresses: self.addresses.clone(),
            replicas: self.processes.len(),
        }
    }

    /// Ends all, outright.
    pub fn kill_all(&mut self) {
        for process in self.processes.iter_mut().filter_map(Option::take) {
            process.signal(Signal::KILL, true);
        }
    }
}

/// The replicas as their clients see them: asked in turn.
#[derive(Debug, Clone)]
pub struct Asker {
    addresses: Arc<Addresses>,
    replicas: usize,
}

impl Asker {
    /// What the replica whose turn it is answers, if it answers with success.
    async fn ask(
        &self,
        turn: usize,
        method: Method,
        path: &str,
        version: Option<u64>,
        body: String,
    ) -> Option<Value> {
        let address = self.addresses.replica(turn % self.replicas, false);
        let answer = clients::ask(address, method, path, version, body, PATIENCE).await;
        let (_, body) = answer.filter(|(status, _)| *status == StatusCode::OK)?;
        serde_json::from_slice(&body).ok()
    }

    /// Writes by whichever replica answers, until one has done it.
    pub async fn write(&self, method: Method, path: &str, body: String) {
        let mut turn = 0;
        while self
            .ask(turn, method.clone(), path, None, body.clone())
            .await
            .is_none()
        {
            turn += 1;
            sleep(AGAIN).await;
        }
    }

    /// One of many clients that read the list's version and write conditionally upon it, until the run ends.
    pub async fn write_conditionally(self, client: usize, history: Arc<History>) {
        let rev = |answer: Option<Value>| answer?["rev"].as_u64();
        for turn in client.. {
            sleep(AGAIN * 4).await;
            let asked_us = history.now_us();
            let read = self
                .ask(
                    turn,
                    Method::GET,
                    "/v1/endpoints?fresh=1",
                    None,
                    String::new(),
                )
                .await;
            let Some(known) = rev(read) else { continue };
            history.tell(Event::Revised {
                asked_us,
                rev: known,
                wrote: false,
            });
            // a destination that no message has
            let target =
                json!({ "endpoint": "127.0.0.1:1", "pod_group": 60_000, "capacity_hint": turn });
            let asked_us = history.now_us();
            let path = format!("/v1/endpoints/w{client}");
            let wrote = self
                .ask(
                    turn + 1,
                    Method::PUT,
                    &path,
                    Some(known),
                    target.to_string(),
                )
                .await;
            if let Some(rev) = rev(wrote) {
                history.tell(Event::Revised {
                    asked_us,
                    rev,
                    wrote: true,
                });
            }
        }
    }

    /// Limits the rate of all destinations.
    pub async fn limit(&self, destinations: usize, per_s: f64, history: &History) {
        let total = Ledger::thousandths(per_s);
        for destination in 0..destinations {
            let body = json!({ "total": total }).to_string();
            self.write(Method::PUT, &format!("/v1/limits/rate/{destination}"), body)
                .await;
        }
        history.tell(Event::Limited { total });
    }

    /// Has other rules taken up so often, by whichever replica answers, until the run ends.
    pub async fn change_rules(self, every: Duration, history: Arc<History>) {
        let mut turn = 0;
        loop {
            sleep(every).await;
            while !self.change_once(&mut turn, &history).await {
                sleep(AGAIN).await;
            }
        }
    }

    /// Has other rules taken up once the last ones are in force; false if they are not, or nobody answers.
    async fn change_once(&self, turn: &mut usize, history: &History) -> bool {
        *turn += 2;
        let report = self
            .ask(*turn, Method::GET, "/v1/rules", None, String::new())
            .await;
        let settled = report.filter(|report| report["settled"] == true);
        let Some(version) = settled.and_then(|report| report["version"].as_u64()) else {
            return false;
        };
        let next = rules(version + 1).to_string();
        let tag = self
            .ask(*turn + 1, Method::PUT, "/v1/rules", Some(version), next)
            .await;
        let Some(version) = tag.and_then(|tag| tag["version"].as_u64()) else {
            return false;
        };
        history.tell(Event::Proposed { version });
        true
    }
}
