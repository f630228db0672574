//! A simulation in passed-in time: replicas and senders, messages that are late, lost or out of order, and faults by a seed.

use crate::history::Operation;
use fleet_registry::endpoint::Endpoint;
use fleet_registry::replica::{Answer, Output, Replica, SenderLeaseRequest, TICK};
use fleet_registry::state::{Applied, Command, ListChange, State};
use fleet_registry::store::{Store, StoreOptions};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, BTreeSet};
use tempfile::TempDir;
use versioned_config::{
    ClassRules, Effect, Grant, LeaseHolder, LeaseRequest, LeaseTerms, Micros, Proposal, Rules,
    VersionTag,
};

pub const LEASE: Micros = 2_000_000;
/// Parts of a million by which a sender's clock may be slow or fast.
pub const DRIFT_PPM: u64 = 10_000;
pub const STEP: Micros = 10_000;

pub fn terms() -> LeaseTerms {
    LeaseTerms {
        lease: LEASE,
        max_drift: 2 * LEASE * DRIFT_PPM / 1_000_000,
    }
}

pub fn class() -> ClassRules {
    let (accepted, effect, attempts) = (true, Effect::Idempotent, 3);
    ClassRules {
        accepted,
        effect,
        max_attempts: attempts,
        in_order: false,
        key_meaning: String::new(),
        key_backoff_ms: 0,
    }
}

/// Each version accepts a class that the one before does not.
pub fn rules(version: u64) -> Rules {
    Rules {
        classes: [(format!("c{}", version % 3), class())].into(),
        ..Rules::default()
    }
}

pub fn begin() -> Command {
    Command::BeginRules {
        fallback: Rules::default(),
        rules: rules(1),
        terms: terms(),
    }
}

pub enum InFlight {
    RaftMessage(usize, raft::eraftpb::Message),
    LeaseRequest(usize, usize, LeaseRequest),
    Grant(usize, LeaseRequest, Grant),
}

pub struct Sender {
    pub holder: LeaseHolder,
    life: u64,
    /// Parts of a million that its clock runs.
    rate: u64,
    paused_until: Micros,
    next_request_at: Micros,
}

impl Sender {
    pub fn clock(&self, now: Micros) -> Micros {
        now * self.rate / 1_000_000
    }
}

pub struct Simulation {
    pub now: Micros,
    random: Pcg64,
    folders: Vec<TempDir>,
    pub replicas: Vec<Option<Replica>>,
    /// When a crashed one starts again.
    restart_at: Vec<Micros>,
    incarnations: u64,
    in_flight: Vec<(Micros, InFlight)>,
    cuts: BTreeSet<(usize, usize)>,
    loss: f64,
    pub senders: Vec<Sender>,
    pending: BTreeMap<u64, PendingRequest>,
    next: u64,
    pub history: Vec<Operation>,
    pub granted: u64,
    pub versions: BTreeSet<u64>,
    pub contradictions: u64,
}

pub enum PendingRequest {
    Lease(usize, LeaseRequest),
    Write(Micros),
    Read(Micros, usize),
    Rules,
}

impl Simulation {
    pub fn new(replicas: usize, senders: usize, seed: u64) -> Self {
        let mut random = Pcg64::seed_from_u64(seed);
        let folders = (0..replicas)
            .map(|_| tempfile::tempdir().expect("a folder"))
            .collect();
        let senders = (0..senders)
            .map(|number| Sender {
                holder: LeaseHolder::new(Rules::default(), number as u64),
                life: number as u64,
                rate: 1_000_000 - DRIFT_PPM + random.random_range(0..=2) * DRIFT_PPM,
                paused_until: 0,
                next_request_at: 0,
            })
            .collect();
        let mut simulation = Simulation {
            now: 0,
            random,
            folders,
            replicas: Vec::new(),
            restart_at: vec![0; replicas],
            incarnations: 100,
            in_flight: Vec::new(),
            cuts: BTreeSet::new(),
            loss: 0.0,
            senders,
            pending: BTreeMap::new(),
            next: 0,
            history: Vec::new(),
            granted: 0,
            versions: BTreeSet::new(),
            contradictions: 0,
        };
        simulation.replicas = (0..replicas)
            .map(|number| Some(simulation.start(number)))
            .collect();
        simulation
    }

    fn start(&mut self, number: usize) -> Replica {
        self.incarnations += 1;
        let voters = (1..=self.folders.len() as u64).collect();
        let id = number as u64 + 1;
        let purpose = StoreOptions {
            cluster: "sim".to_string(),
            id,
            voters,
            max_log_bytes: 4096,
            sync: false,
        };
        let state = postcard::to_allocvec(&State::default()).expect("encoded");
        let store = Store::open(self.folders[number].path(), purpose, &state).expect("opened");
        Replica::new(id, store, self.incarnations, Some(begin())).expect("what it wrote is read")
    }

    fn register(&mut self, request: PendingRequest) -> u64 {
        self.next += 1;
        self.pending.insert(self.next, request);
        self.next
    }

    fn send(&mut self, sent: InFlight) {
        if self.random.random_bool(self.loss) {
            return;
        }
        let late = self
            .random
            .random_range(1_000..=if self.loss > 0.0 { 300_000 } else { 20_000 });
        self.in_flight.push((self.now + late, sent));
    }

    /// Ten milliseconds.
    pub fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let due: Vec<(Micros, InFlight)> = self
            .in_flight
            .extract_if(.., |(at, _)| *at <= now)
            .collect();
        for (_, sent) in due {
            match sent {
                InFlight::RaftMessage(to, message) => {
                    if let Some(replica) = &mut self.replicas[to] {
                        replica.receive(message);
                    }
                }
                InFlight::LeaseRequest(to, sender, ask) => {
                    let ticket = self.register(PendingRequest::Lease(sender, ask));
                    let name = format!("n{sender}");
                    let LeaseRequest {
                        incarnation,
                        acts_on,
                        ..
                    } = ask;
                    let question = SenderLeaseRequest {
                        sender: name,
                        incarnation,
                        acts_on,
                        rev: 0,
                        fallback: Rules::default(),
                    };
                    self.run_turn(to, |replica, output| {
                        replica.request_lease(ticket, question, output)
                    });
                }
                InFlight::Grant(sender, ask, grant) => {
                    let sender = &mut self.senders[sender];
                    if sender.paused_until <= now {
                        let clock = sender.clock(now);
                        sender.holder.apply_grant(ask, grant, clock);
                    }
                }
            }
        }
        for number in 0..self.replicas.len() {
            if self.replicas[number].is_none() && self.restart_at[number] <= now {
                self.replicas[number] = Some(self.start(number));
            }
            let ticks = now.is_multiple_of(TICK);
            self.run_turn(number, |replica, output| {
                if ticks {
                    replica.tick(now, output);
                }
            });
        }
        for sender in 0..self.senders.len() {
            let to = self.random.random_range(0..self.replicas.len());
            let one = &mut self.senders[sender];
            if one.paused_until <= now && one.next_request_at <= now {
                one.next_request_at = now + LEASE / 4;
                let ask = one.holder.request(one.clock(now));
                self.send(InFlight::LeaseRequest(to, sender, ask));
            }
        }
        self.check();
    }

    /// A replica's turn, and what follows from it.
    fn run_turn(&mut self, number: usize, turn: impl FnOnce(&mut Replica, &mut Output)) {
        let Some(replica) = &mut self.replicas[number] else {
            return;
        };
        let mut output = Output::default();
        turn(replica, &mut output);
        replica
            .process_ready(self.now, &mut output)
            .expect("the log is kept");
        for message in output.messages {
            let to = message.to as usize - 1;
            let snapshot = message.msg_type == raft::eraftpb::MessageType::MsgSnapshot;
            let passes = !self.cuts.contains(&(number, to)) && !self.random.random_bool(self.loss);
            if passes {
                self.send(InFlight::RaftMessage(to, message));
            }
            if let Some(replica) = self.replicas[number].as_mut().filter(|_| snapshot) {
                replica.report_snapshot(to as u64 + 1, passes);
            }
        }
        for (ticket, answer) in output.answers {
            let Some(ticket) = self.pending.remove(&ticket) else {
                panic!("answered twice: {answer:?}")
            };
            let now = self.now;
            match (ticket, answer) {
                (PendingRequest::Lease(sender, ask), Answer::Granted(grant)) => {
                    self.granted += 1;
                    self.versions.insert(grant.tag.version);
                    self.send(InFlight::Grant(sender, ask, *grant));
                }
                // as a follower passes a client's request on
                (PendingRequest::Lease(sender, ask), Answer::NotLeader(Some(leader))) => {
                    self.send(InFlight::LeaseRequest(leader as usize - 1, sender, ask));
                }
                (PendingRequest::Write(requested), Answer::Applied(Applied { rev, .. })) => {
                    self.history.push(Operation {
                        requested,
                        answered: now,
                        rev,
                        writes: true,
                    });
                }
                (PendingRequest::Read(requested, at), Answer::UpToDate) => {
                    let rev = self.replicas[at]
                        .as_ref()
                        .map_or(0, |replica| replica.state().rev);
                    self.history.push(Operation {
                        requested,
                        answered: now,
                        rev,
                        writes: false,
                    });
                }
                _ => {}
            }
        }
    }

    fn check(&mut self) {
        // one that stands still sends nothing
        let acting = self
            .senders
            .iter()
            .filter(|sender| sender.paused_until <= self.now);
        let acts: Vec<&Rules> = acting
            .map(|sender| sender.holder.rules(sender.clock(self.now)))
            .collect();
        let contradict = acts
            .iter()
            .any(|one| acts.iter().any(|other| one.contradicts(other)));
        self.contradictions += u64::from(contradict);
    }

    pub fn propose(&mut self) {
        let at = self.random.random_range(0..self.replicas.len());
        let now = self.now;
        let Some(version) = self.replicas[at]
            .as_ref()
            .and_then(|replica| replica.state().tag())
        else {
            return;
        };
        let VersionTag { version: from, .. } = version;
        let proposal = Command::ProposeRules(Proposal {
            from,
            rules: rules(from + 1),
        });
        let ticket = self.register(PendingRequest::Rules);
        self.run_turn(at, |replica, output| {
            replica.propose(now, ticket, proposal, output)
        });
    }

    pub fn write(&mut self) {
        let at = self.random.random_range(0..self.replicas.len());
        let (now, port) = (self.now, self.random.random_range(1..60_000u16));
        let Some(rev) = self.replicas[at]
            .as_ref()
            .map(|replica| replica.state().rev)
        else {
            return;
        };
        let target: Endpoint = serde_json::from_value(serde_json::json!({
            "endpoint": format!("10.0.0.1:{port}"), "pod_group": 1, "boot_ms": rev
        }))
        .expect("a target");
        let uid = format!("e{}", rev % 5);
        let command = Command::ChangeList {
            if_match: Some(rev),
            changes: vec![ListChange::Put {
                uid,
                endpoint: target,
            }],
        };
        let ticket = self.register(PendingRequest::Write(now));
        self.run_turn(at, |replica, output| {
            replica.propose(now, ticket, command, output)
        });
    }

    pub fn read(&mut self) {
        let at = self.random.random_range(0..self.replicas.len());
        if self.replicas[at].is_some() {
            let ticket = self.register(PendingRequest::Read(self.now, at));
            self.run_turn(at, |replica, _| replica.read(ticket));
        }
    }

    pub fn fault(&mut self) {
        let count = self.replicas.len();
        let one = self.random.random_range(0..count);
        match self.random.random_range(0..7) {
            0 => {
                self.replicas[one] = None;
                self.restart_at[one] = self.now + self.random.random_range(100_000..4_000_000);
            }
            1 => {
                let leader = (0..count)
                    .find(|at| self.replicas[*at].as_ref().is_some_and(Replica::is_leader));
                if let Some(leader) = leader {
                    self.run_turn(leader, |replica, _| {
                        replica.transfer_leadership();
                    });
                }
            }
            2 => drop(self.cuts.insert((one, self.random.random_range(0..count)))),
            3 => self.cuts.clear(),
            4 => self.loss = if self.loss > 0.0 { 0.0 } else { 0.1 },
            5 => {
                let (sender, long) = (
                    self.random.random_range(0..self.senders.len()),
                    self.random.random_range(100_000..2 * LEASE),
                );
                self.senders[sender].paused_until = self.now + long;
            }
            _ => {
                let sender = self.random.random_range(0..self.senders.len());
                self.incarnations += 1;
                let life = self.incarnations;
                self.senders[sender].holder = LeaseHolder::new(Rules::default(), life);
                self.senders[sender].life = life;
            }
        }
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
        self.loss = 0.0;
        self.restart_at.iter_mut().for_each(|at| *at = 0);
        for _ in 0..1_500 {
            self.step();
        }
    }
}

pub fn run(replicas: usize, seed: u64) -> Simulation {
    let mut simulation = Simulation::new(replicas, 4, seed);
    for step in 0..6_000u64 {
        simulation.step();
        if step % 40 == 0 {
            simulation.propose();
        }
        if step % 7 == 0 {
            simulation.write();
        }
        if step % 11 == 0 {
            simulation.read();
        }
        if step > 200 && step % 60 == 0 {
            simulation.fault();
        }
    }
    simulation.heal();
    simulation
}
