//! A fleet of members in one process, on a passed-in clock, with links that lose, delay and cut.
#![allow(dead_code)]

use fleet_membership::{Change, Datagram, Micros, Node, Output, PersistedState, Settings, State};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::SocketAddr;

pub const PERIOD: Micros = 1_000_000;
/// Datagrams that wait for a process that stands still; more are lost, as a socket's buffer has it.
const BUFFERED: usize = 256;

pub fn address(index: usize) -> SocketAddr {
    format!("127.1.{}.{}:9000", index / 250, index % 250 + 1)
        .parse()
        .expect("an address")
}

pub fn name(index: usize) -> String {
    format!("n{index}")
}

type Queued = Reverse<(Micros, u64, Happening)>;

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Tick(usize),
    Arrive {
        to: usize,
        from: usize,
        bytes: Vec<u8>,
    },
}

/// A change of what one holds of another.
#[derive(Debug, Clone)]
pub struct Seen {
    pub at: Micros,
    pub observer: usize,
    pub change: Change,
}

type Passes = Box<dyn Fn(usize, usize) -> bool>;

pub struct Fleet {
    pub now: Micros,
    pub nodes: Vec<Option<Node>>,
    pub seen: Vec<Seen>,
    queue: BinaryHeap<Queued>,
    sequence: u64,
    pub random: Pcg64,
    /// Part of the datagrams that are lost.
    pub loss: f64,
    /// Whether a datagram from one to another passes at all.
    pub passes: Passes,
    /// Until when each stands still.
    paused: Vec<Micros>,
    buffered: Vec<usize>,
    adjust: Box<dyn Fn(&mut Settings)>,
    starts: u64,
    by_address: HashMap<SocketAddr, usize>,
    remembered: BTreeMap<usize, PersistedState>,
    /// The last datagrams that were sent.
    pub last: Vec<(usize, usize, Vec<u8>)>,
    pub keep: bool,
}

impl Fleet {
    /// So many members that start together, each knowing the next two.
    pub fn new(members: usize, seed: u64) -> Self {
        Fleet::with(members, seed, |_| {})
    }

    pub fn with(members: usize, seed: u64, adjust: impl Fn(&mut Settings) + 'static) -> Self {
        let mut fleet = Fleet {
            now: 1_000 * PERIOD,
            nodes: (0..members).map(|_| None).collect(),
            seen: Vec::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            random: Pcg64::seed_from_u64(seed),
            loss: 0.0,
            passes: Box::new(|_, _| true),
            paused: vec![0; members],
            buffered: vec![0; members],
            adjust: Box::new(adjust),
            starts: 0,
            by_address: (0..members).map(|index| (address(index), index)).collect(),
            remembered: BTreeMap::new(),
            last: Vec::new(),
            keep: false,
        };
        (0..members).for_each(|index| fleet.start(index, false));
        fleet
    }

    pub fn settings(&self, index: usize) -> Settings {
        let members = self.nodes.len();
        let mut settings = Settings::new(&name(index), address(index), members as u32);
        settings.seeds = (1..3)
            .map(|step| address((index + step) % members))
            .collect();
        (self.adjust)(&mut settings);
        settings
    }

    /// Starts a member, with its lasting folder or without.
    pub fn start(&mut self, index: usize, kept: bool) {
        self.starts += 1;
        let settings = self.settings(index);
        let remembered = if kept {
            self.remembered.get(&index).cloned().unwrap_or_default()
        } else {
            PersistedState::default()
        };
        let seed = self.random.random();
        let instance = self.now + self.starts;
        let node =
            Node::new(settings, remembered, seed, instance, self.now).expect("good settings");
        self.push(self.now, Happening::Tick(index));
        self.nodes[index] = Some(node);
    }

    pub fn kill(&mut self, index: usize) {
        if let Some(node) = self.nodes[index].take() {
            self.remembered.insert(index, node.persisted_state());
        }
    }

    pub fn leave(&mut self, index: usize) {
        let mut output = Output::default();
        if let Some(node) = self.nodes[index].as_mut() {
            node.leave(&mut output);
        }
        self.carry_out(index, output);
        self.kill(index);
    }

    pub fn pause(&mut self, index: usize, time: Micros) {
        self.paused[index] = self.now + time;
        self.buffered[index] = 0;
    }

    fn push(&mut self, at: Micros, what: Happening) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, what)));
    }

    /// Goes on for so many periods.
    pub fn run(&mut self, periods: f64) {
        let until = self.now + (periods * PERIOD as f64) as Micros;
        while let Some(Reverse((at, _, _))) = self.queue.peek() {
            if *at > until {
                break;
            }
            let Some(Reverse((at, _, what))) = self.queue.pop() else {
                break;
            };
            self.now = self.now.max(at);
            self.happen(what);
        }
        self.now = until;
    }

    fn happen(&mut self, what: Happening) {
        let to = match &what {
            Happening::Tick(index) => *index,
            Happening::Arrive { to, .. } => *to,
        };
        if self.paused[to] > self.now {
            let arrives = matches!(what, Happening::Arrive { .. });
            self.buffered[to] += usize::from(arrives);
            if !arrives || self.buffered[to] <= BUFFERED {
                self.push(self.paused[to], what);
            }
            return;
        }
        let Some(node) = self.nodes[to].as_mut() else {
            return;
        };
        let mut output = Output::default();
        match what {
            Happening::Tick(_) => {
                if node.next_deadline() > self.now {
                    return; // it was put off, and has a turn of its own
                }
                node.tick(self.now, &mut output);
            }
            Happening::Arrive { from, bytes, .. } => {
                node.handle_datagram(self.now, address(from), &bytes, &mut output)
            }
        }
        self.carry_out(to, output);
    }

    fn carry_out(&mut self, index: usize, output: Output) {
        for change in output.changes {
            self.seen.push(Seen {
                at: self.now,
                observer: index,
                change,
            });
        }
        for Datagram {
            destination,
            payload: bytes,
        } in output.datagrams
        {
            assert!(bytes.len() < 1400, "{} bytes", bytes.len());
            let Some(&to) = self.by_address.get(&destination) else {
                continue;
            };
            if self.keep {
                self.last.push((index, to, bytes.clone()));
            }
            if (self.passes)(index, to) && self.random.random::<f64>() >= self.loss {
                let delay = self.random.random_range(1_000..20_000);
                self.push(
                    self.now + delay,
                    Happening::Arrive {
                        to,
                        from: index,
                        bytes,
                    },
                );
            }
        }
        if let Some(wake) = self.nodes[index].as_ref().map(Node::next_deadline) {
            self.push(wake, Happening::Tick(index));
        }
    }

    /// Hands a member a datagram from somewhere.
    pub fn inject(&mut self, to: usize, from: usize, bytes: &[u8]) {
        self.push(
            self.now,
            Happening::Arrive {
                to,
                from,
                bytes: bytes.to_vec(),
            },
        );
    }

    pub fn node(&self, index: usize) -> &Node {
        self.nodes[index].as_ref().expect("it runs")
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|&index| self.nodes[index].is_some())
            .collect()
    }

    /// How one holds another.
    pub fn state(&self, observer: usize, of: usize) -> Option<State> {
        self.node(observer)
            .member_state(&name(of))
            .map(|known| known.state)
    }

    /// Whether all that run hold just those for alive that run, and nobody for suspect.
    pub fn agrees(&self) -> bool {
        let running = self.running();
        running.iter().all(|&observer| {
            let view = self.node(observer).view();
            let right = |&of: &usize| {
                let state = if of == observer {
                    Some(State::Alive)
                } else {
                    self.state(observer, of)
                };
                state == Some(State::Alive)
            };
            view.present as usize == running.len()
                && view.suspects == 0
                && running.iter().all(right)
        })
    }

    /// Periods until a condition holds, looked at ten times a period; none if it does not in time.
    pub fn until(&mut self, periods: f64, mut holds: impl FnMut(&Fleet) -> bool) -> Option<f64> {
        let begin = self.now;
        loop {
            if holds(self) {
                return Some((self.now - begin) as f64 / PERIOD as f64);
            }
            if (self.now - begin) as f64 > periods * PERIOD as f64 {
                return None;
            }
            self.run(0.1);
        }
    }

    /// Verdicts since a time: changes between living and gone, by observer and member.
    pub fn verdicts(&self, since: Micros) -> BTreeMap<(usize, String), Vec<State>> {
        let mut verdicts: BTreeMap<(usize, String), Vec<State>> = BTreeMap::new();
        for Seen {
            at,
            observer,
            change,
        } in &self.seen
        {
            let Change::MemberState {
                name,
                previous: Some(previous),
                current,
                ..
            } = change
            else {
                continue;
            };
            if *at >= since && previous.is_present() != current.is_present() {
                verdicts
                    .entry((*observer, name.clone()))
                    .or_default()
                    .push(*current);
            }
        }
        verdicts
    }

    /// Deaths that were told of members that ran, since a time.
    pub fn false_deaths(&self, since: Micros, dead: &[usize]) -> usize {
        let dead: Vec<String> = dead.iter().map(|&index| name(index)).collect();
        let wrong = |((_, member), states): &(&(usize, String), &Vec<State>)| {
            !dead.contains(member) && states.contains(&State::Dead)
        };
        self.verdicts(since).iter().filter(wrong).count()
    }
}
