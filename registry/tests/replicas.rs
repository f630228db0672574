//! Replicas and senders on the code that the programs run, in passed-in time: messages late, lost, out of order, replicas
//! that crash and come back, cuts of one direction, senders that stand still or restart, clocks that drift. No two senders
//! act on rules that contradict each other, no answered write is lost, and reads are never behind what was answered.

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

const LEASE: Micros = 2_000_000;
/// Parts of a million by which a sender's clock may be slow or fast.
const DRIFT_PPM: u64 = 10_000;
const STEP: Micros = 10_000;

fn terms() -> LeaseTerms {
    LeaseTerms {
        lease: LEASE,
        max_drift: 2 * LEASE * DRIFT_PPM / 1_000_000,
    }
}

fn class() -> ClassRules {
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
fn rules(version: u64) -> Rules {
    Rules {
        classes: [(format!("c{}", version % 3), class())].into(),
        ..Rules::default()
    }
}

fn begin() -> Command {
    Command::BeginRules {
        floor: Rules::default(),
        rules: rules(1),
        terms: terms(),
    }
}

enum Sent {
    ToReplica(usize, raft::eraftpb::Message),
    Ask(usize, usize, LeaseRequest),
    Grant(usize, LeaseRequest, Grant),
}

struct Sender {
    holder: LeaseHolder,
    life: u64,
    /// Parts of a million that its clock runs.
    rate: u64,
    stands_until: Micros,
    asks_at: Micros,
}

impl Sender {
    fn clock(&self, now: Micros) -> Micros {
        now * self.rate / 1_000_000
    }
}

/// An operation of a client on the list's version.
#[derive(Debug, Clone, Copy)]
struct Operation {
    asked: Micros,
    answered: Micros,
    rev: u64,
    writes: bool,
}

struct World {
    now: Micros,
    random: Pcg64,
    folders: Vec<TempDir>,
    replicas: Vec<Option<Replica>>,
    /// When a crashed one starts again.
    starts_at: Vec<Micros>,
    lives: u64,
    under_way: Vec<(Micros, Sent)>,
    cuts: BTreeSet<(usize, usize)>,
    loss: f64,
    senders: Vec<Sender>,
    tickets: BTreeMap<u64, Ticket>,
    next: u64,
    history: Vec<Operation>,
    granted: u64,
    versions: BTreeSet<u64>,
    contradictions: u64,
}

enum Ticket {
    Ask(usize, LeaseRequest),
    Write(Micros),
    Read(Micros, usize),
    Rules,
}

impl World {
    fn new(replicas: usize, senders: usize, seed: u64) -> Self {
        let mut random = Pcg64::seed_from_u64(seed);
        let folders = (0..replicas)
            .map(|_| tempfile::tempdir().expect("a folder"))
            .collect();
        let senders = (0..senders)
            .map(|number| Sender {
                holder: LeaseHolder::new(Rules::default(), number as u64),
                life: number as u64,
                rate: 1_000_000 - DRIFT_PPM + random.random_range(0..=2) * DRIFT_PPM,
                stands_until: 0,
                asks_at: 0,
            })
            .collect();
        let mut world = World {
            now: 0,
            random,
            folders,
            replicas: Vec::new(),
            starts_at: vec![0; replicas],
            lives: 100,
            under_way: Vec::new(),
            cuts: BTreeSet::new(),
            loss: 0.0,
            senders,
            tickets: BTreeMap::new(),
            next: 0,
            history: Vec::new(),
            granted: 0,
            versions: BTreeSet::new(),
            contradictions: 0,
        };
        world.replicas = (0..replicas)
            .map(|number| Some(world.start(number)))
            .collect();
        world
    }

    fn start(&mut self, number: usize) -> Replica {
        self.lives += 1;
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
        Replica::new(id, store, self.lives, Some(begin())).expect("what it wrote is read")
    }

    fn ticket(&mut self, ticket: Ticket) -> u64 {
        self.next += 1;
        self.tickets.insert(self.next, ticket);
        self.next
    }

    fn send(&mut self, sent: Sent) {
        if self.random.random_bool(self.loss) {
            return;
        }
        let late = self
            .random
            .random_range(1_000..=if self.loss > 0.0 { 300_000 } else { 20_000 });
        self.under_way.push((self.now + late, sent));
    }

    /// Ten milliseconds.
    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let due: Vec<(Micros, Sent)> = self
            .under_way
            .extract_if(.., |(at, _)| *at <= now)
            .collect();
        for (_, sent) in due {
            match sent {
                Sent::ToReplica(to, message) => {
                    if let Some(replica) = &mut self.replicas[to] {
                        replica.receive(message);
                    }
                }
                Sent::Ask(to, sender, ask) => {
                    let ticket = self.ticket(Ticket::Ask(sender, ask));
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
                        floor: Rules::default(),
                    };
                    self.with(to, |replica, output| {
                        replica.request_lease(ticket, question, output)
                    });
                }
                Sent::Grant(sender, ask, grant) => {
                    let sender = &mut self.senders[sender];
                    if sender.stands_until <= now {
                        let clock = sender.clock(now);
                        sender.holder.apply_grant(ask, grant, clock);
                    }
                }
            }
        }
        for number in 0..self.replicas.len() {
            if self.replicas[number].is_none() && self.starts_at[number] <= now {
                self.replicas[number] = Some(self.start(number));
            }
            let ticks = now.is_multiple_of(TICK);
            self.with(number, |replica, output| {
                if ticks {
                    replica.tick(now, output);
                }
            });
        }
        for sender in 0..self.senders.len() {
            let to = self.random.random_range(0..self.replicas.len());
            let one = &mut self.senders[sender];
            if one.stands_until <= now && one.asks_at <= now {
                one.asks_at = now + LEASE / 4;
                let ask = one.holder.request(one.clock(now));
                self.send(Sent::Ask(to, sender, ask));
            }
        }
        self.check();
    }

    /// A replica's turn, and what follows from it.
    fn with(&mut self, number: usize, turn: impl FnOnce(&mut Replica, &mut Output)) {
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
                self.send(Sent::ToReplica(to, message));
            }
            if let Some(replica) = self.replicas[number].as_mut().filter(|_| snapshot) {
                replica.report_snapshot(to as u64 + 1, passes);
            }
        }
        for (ticket, answer) in output.answers {
            let Some(ticket) = self.tickets.remove(&ticket) else {
                panic!("answered twice: {answer:?}")
            };
            let now = self.now;
            match (ticket, answer) {
                (Ticket::Ask(sender, ask), Answer::Granted(grant)) => {
                    self.granted += 1;
                    self.versions.insert(grant.tag.version);
                    self.send(Sent::Grant(sender, ask, *grant));
                }
                // as a follower passes a client's request on
                (Ticket::Ask(sender, ask), Answer::NotLeader(Some(leader))) => {
                    self.send(Sent::Ask(leader as usize - 1, sender, ask));
                }
                (Ticket::Write(asked), Answer::Applied(Applied { rev, .. })) => {
                    self.history.push(Operation {
                        asked,
                        answered: now,
                        rev,
                        writes: true,
                    });
                }
                (Ticket::Read(asked, at), Answer::UpToDate) => {
                    let rev = self.replicas[at]
                        .as_ref()
                        .map_or(0, |replica| replica.state().rev);
                    self.history.push(Operation {
                        asked,
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
            .filter(|sender| sender.stands_until <= self.now);
        let acts: Vec<&Rules> = acting
            .map(|sender| sender.holder.rules(sender.clock(self.now)))
            .collect();
        let contradict = acts
            .iter()
            .any(|one| acts.iter().any(|other| one.contradicts(other)));
        self.contradictions += u64::from(contradict);
    }

    fn propose(&mut self) {
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
        let ticket = self.ticket(Ticket::Rules);
        self.with(at, |replica, output| {
            replica.propose(now, ticket, proposal, output)
        });
    }

    fn write(&mut self) {
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
        let ticket = self.ticket(Ticket::Write(now));
        self.with(at, |replica, output| {
            replica.propose(now, ticket, command, output)
        });
    }

    fn read(&mut self) {
        let at = self.random.random_range(0..self.replicas.len());
        if self.replicas[at].is_some() {
            let ticket = self.ticket(Ticket::Read(self.now, at));
            self.with(at, |replica, _| replica.read(ticket));
        }
    }

    fn fault(&mut self) {
        let count = self.replicas.len();
        let one = self.random.random_range(0..count);
        match self.random.random_range(0..7) {
            0 => {
                self.replicas[one] = None;
                self.starts_at[one] = self.now + self.random.random_range(100_000..4_000_000);
            }
            1 => {
                let leader = (0..count)
                    .find(|at| self.replicas[*at].as_ref().is_some_and(Replica::is_leader));
                if let Some(leader) = leader {
                    self.with(leader, |replica, _| {
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
                self.senders[sender].stands_until = self.now + long;
            }
            _ => {
                let sender = self.random.random_range(0..self.senders.len());
                self.lives += 1;
                let life = self.lives;
                self.senders[sender].holder = LeaseHolder::new(Rules::default(), life);
                self.senders[sender].life = life;
            }
        }
    }

    fn heal(&mut self) {
        self.cuts.clear();
        self.loss = 0.0;
        self.starts_at.iter_mut().for_each(|at| *at = 0);
        for _ in 0..1_500 {
            self.step();
        }
    }
}

/// What is wrong with a history of conditional writes, each of which makes a version, and reads of it.
fn not_linear(history: &[Operation]) -> Option<(Operation, Operation)> {
    let revs: BTreeSet<u64> = history
        .iter()
        .filter(|done| done.writes)
        .map(|done| done.rev)
        .collect();
    for one in history {
        for other in history {
            let after = one.answered < other.asked;
            let behind = other.rev < one.rev || other.writes && other.rev == one.rev;
            if after && behind {
                return Some((*one, *other));
            }
        }
    }
    let twice = revs.len() < history.iter().filter(|done| done.writes).count();
    twice.then(|| (history[0], history[0]))
}

fn play(replicas: usize, seed: u64) -> World {
    let mut world = World::new(replicas, 4, seed);
    for step in 0..6_000u64 {
        world.step();
        if step % 40 == 0 {
            world.propose();
        }
        if step % 7 == 0 {
            world.write();
        }
        if step % 11 == 0 {
            world.read();
        }
        if step > 200 && step % 60 == 0 {
            world.fault();
        }
    }
    world.heal();
    world
}

#[test]
fn under_faults_no_two_senders_contradict_each_other_and_no_answered_write_is_lost() {
    let (mut granted, mut versions, mut writes, mut reads) = (0, 0, 0, 0);
    // MILLETTURN_SEEDS plays more
    let seeds = std::env::var("MILLETTURN_SEEDS")
        .ok()
        .and_then(|seeds| seeds.parse().ok())
        .unwrap_or(20);
    for (replicas, seed) in (1..=seeds).flat_map(|seed| [(1, seed), (3, seed), (5, seed)]) {
        let world = play(replicas, seed);
        assert_eq!(world.contradictions, 0, "{replicas} replicas, seed {seed}");
        assert_eq!(
            not_linear(&world.history).map(|pair| format!("{pair:?}")),
            None,
            "seed {seed}"
        );
        let states: Vec<&State> = world
            .replicas
            .iter()
            .flatten()
            .map(Replica::state)
            .collect();
        assert_eq!(states.len(), replicas);
        assert!(
            states.windows(2).all(|pair| pair[0] == pair[1]),
            "seed {seed}: all have the same state"
        );
        let last = world
            .history
            .iter()
            .map(|done| done.rev)
            .max()
            .unwrap_or_default();
        assert!(
            states[0].rev >= last,
            "version {last} was answered, {} is there",
            states[0].rev
        );
        for sender in &world.senders {
            let tag = sender.holder.tag(sender.clock(world.now));
            assert_eq!(
                tag,
                states[0].tag(),
                "all act on the version in force once all is well"
            );
        }
        granted += world.granted;
        versions += world.versions.len();
        writes += world.history.iter().filter(|done| done.writes).count();
        reads += world.history.iter().filter(|done| !done.writes).count();
    }
    println!("{granted} leases, {versions} versions of rules, {writes} writes, {reads} reads");
    assert!(granted > 1_000 && versions > 20 && writes > 500 && reads > 500);
}

#[test]
fn a_history_that_goes_back_or_gives_a_version_twice_is_found() {
    let done = |asked, answered, rev, writes| Operation {
        asked,
        answered,
        rev,
        writes,
    };
    let good = vec![
        done(0, 10, 1, true),
        done(5, 20, 2, true),
        done(15, 30, 2, false),
        done(12, 18, 1, false),
    ];
    assert!(not_linear(&good).is_none());
    for bad in [
        done(40, 50, 1, false),
        done(40, 50, 2, true),
        done(1, 2, 2, true),
    ] {
        assert!(
            not_linear(&[good.clone(), vec![bad]].concat()).is_some(),
            "{bad:?}"
        );
    }
}
