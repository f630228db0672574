//! A fleet of members in one process and in passed-in time: an event queue, links that delay, lose and cut, and a count
//! of what each member sends, receives and computes.

use super::places::delay;
use super::resources::thread_time;
use fleet_membership::{Change, Datagram, Micros, Node, Output, State};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};

/// Bytes of the headers of IPv4 and UDP: they are on the link with each datagram.
const HEADERS: u64 = 28;
/// Where the clock begins, so that nothing is at zero.
const BEGIN: Micros = 1_000_000_000;
/// The port of all members: each has an address of its own.
const PORT: u16 = 7946;

/// What the simulation drives: the module, or a faulty variant of it in tests.
pub trait Member {
    /// Does what is due.
    fn tick(&mut self, now: Micros, output: &mut Output);
    /// Takes a datagram in.
    fn handle(&mut self, now: Micros, source: SocketAddr, bytes: &[u8], output: &mut Output);
    /// When it wants to be woken.
    fn wake_at(&self) -> Micros;
    /// The module itself.
    fn node(&self) -> &Node;
    /// The module itself, to be told that it leaves.
    fn node_mut(&mut self) -> &mut Node;
}

impl Member for Node {
    fn tick(&mut self, now: Micros, output: &mut Output) {
        Node::tick(self, now, output);
    }

    fn handle(&mut self, now: Micros, source: SocketAddr, bytes: &[u8], output: &mut Output) {
        Node::handle_datagram(self, now, source, bytes, output);
    }

    fn wake_at(&self) -> Micros {
        Node::next_deadline(self)
    }

    fn node(&self) -> &Node {
        self
    }

    fn node_mut(&mut self) -> &mut Node {
        self
    }
}

/// Which datagrams between a cut group and the rest are lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// All.
    Both,
    /// Those of the group to the rest.
    Outward,
}

/// Links that lose.
#[derive(Debug)]
struct Network {
    /// Part of the datagrams that are lost.
    loss: f64,
    cut: Option<Direction>,
    /// Who belongs to the group that is cut.
    group: Vec<bool>,
}

impl Network {
    fn passes(&self, from: usize, to: usize) -> bool {
        match self.cut {
            None => true,
            Some(Direction::Both) => self.group[from] == self.group[to],
            Some(Direction::Outward) => !self.group[from] || self.group[to],
        }
    }
}

/// What one member has sent, received and computed.
#[derive(Debug, Clone, Copy, Default)]
pub struct Used {
    /// Datagrams sent.
    pub messages_out: u64,
    /// Their bytes, headers included.
    pub bytes_out: u64,
    /// Datagrams received.
    pub messages_in: u64,
    /// Their bytes, headers included.
    pub bytes_in: u64,
    /// CPU time within the module, nanoseconds.
    pub cpu_ns: u64,
}

/// One member holds another one for something else than before.
#[derive(Debug, Clone, Copy)]
pub struct Seen {
    /// When.
    pub at: Micros,
    /// Who.
    pub observer: usize,
    /// Whom.
    pub subject: usize,
    /// For what.
    pub state: State,
    /// The subject ran and was not cut off then.
    pub reachable: bool,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Wake(usize),
    Arrive {
        to: usize,
        from: usize,
        bytes: Vec<u8>,
    },
}

/// A fleet under way.
pub struct Simulation<M> {
    /// The time that is passed in.
    pub now: Micros,
    /// Changes that members have told since [`Simulation::forget_seen`].
    pub seen: Vec<Seen>,
    members: Vec<Option<M>>,
    queue: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    sequence: u64,
    /// For when each member's next wake is queued.
    queued: Vec<Micros>,
    random: Pcg64,
    network: Network,
    used: Vec<Used>,
    by_address: HashMap<SocketAddr, usize>,
    by_name: HashMap<String, usize>,
}

/// The name of a member.
pub fn name(member: usize) -> String {
    format!("s-{member:04}")
}

/// The address of a member.
pub fn address(member: usize) -> SocketAddr {
    let [_, _, high, low] = u32::try_from(member).unwrap_or(u32::MAX).to_be_bytes();
    (Ipv4Addr::new(10, 0, high, low), PORT).into()
}

impl<M: Member> Simulation<M> {
    /// A fleet of so many members, of which none runs yet.
    pub fn new(members: usize, seed: u64, loss: f64) -> Self {
        Simulation {
            now: BEGIN,
            seen: Vec::new(),
            members: (0..members).map(|_| None).collect(),
            queue: BinaryHeap::new(),
            sequence: 0,
            queued: vec![Micros::MAX; members],
            random: Pcg64::seed_from_u64(seed),
            network: Network {
                loss,
                cut: None,
                group: vec![false; members],
            },
            used: vec![Used::default(); members],
            by_address: (0..members)
                .map(|member| (address(member), member))
                .collect(),
            by_name: (0..members).map(|member| (name(member), member)).collect(),
        }
    }

    /// A number that no other call has drawn.
    pub fn draw(&mut self) -> u64 {
        self.random.random()
    }

    /// Starts a member.
    pub fn start(&mut self, index: usize, member: M) {
        self.members[index] = Some(member);
        self.wake(index, self.now);
    }

    /// Ends a member without a word.
    pub fn kill(&mut self, index: usize) {
        self.members[index] = None;
        self.queued[index] = Micros::MAX;
    }

    /// Has a member say that it leaves, and ends it.
    pub fn leave(&mut self, index: usize) {
        let mut output = Output::default();
        if let Some(member) = self.members[index].as_mut() {
            member.node_mut().leave(&mut output);
        }
        self.carry_out(index, output);
        self.kill(index);
    }

    /// Cuts a group off, or heals.
    pub fn cut(&mut self, cut: Option<Direction>, group: impl Fn(usize) -> bool) {
        self.network.cut = cut;
        self.network.group = (0..self.members.len()).map(group).collect();
    }

    fn push(&mut self, at: Micros, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, event)));
    }

    fn wake(&mut self, index: usize, at: Micros) {
        if at < self.queued[index] {
            self.queued[index] = at;
            self.push(at, Event::Wake(index));
        }
    }

    /// Goes on for a time.
    pub fn run(&mut self, time: Micros) {
        let until = self.now + time;
        while self
            .queue
            .peek()
            .is_some_and(|Reverse((at, ..))| *at <= until)
        {
            let Some(Reverse((at, _, event))) = self.queue.pop() else {
                break;
            };
            self.now = self.now.max(at);
            self.happen(at, event);
        }
        self.now = until;
    }

    fn happen(&mut self, at: Micros, event: Event) {
        let index = match &event {
            Event::Wake(index) => *index,
            Event::Arrive { to, .. } => *to,
        };
        if matches!(event, Event::Wake(_)) {
            if self.queued[index] != at {
                return; // one that is queued for another time takes its place
            }
            self.queued[index] = Micros::MAX;
        }
        let Some(member) = self.members[index].as_mut() else {
            return;
        };
        let mut output = Output::default();
        let begin = thread_time();
        match event {
            Event::Wake(_) if member.wake_at() <= self.now => member.tick(self.now, &mut output),
            Event::Wake(_) => {}
            Event::Arrive { from, bytes, .. } => {
                let used = &mut self.used[index];
                used.messages_in += 1;
                used.bytes_in += bytes.len() as u64 + HEADERS;
                member.handle(self.now, address(from), &bytes, &mut output);
            }
        }
        let spent = thread_time().saturating_sub(begin);
        self.used[index].cpu_ns += u64::try_from(spent.as_nanos()).unwrap_or(u64::MAX);
        self.carry_out(index, output);
    }

    fn carry_out(&mut self, index: usize, output: Output) {
        for change in &output.changes {
            self.note(index, change);
        }
        for Datagram {
            destination: to,
            payload: bytes,
        } in output.datagrams
        {
            let used = &mut self.used[index];
            used.messages_out += 1;
            used.bytes_out += bytes.len() as u64 + HEADERS;
            let Some(&to) = self.by_address.get(&to) else {
                continue;
            };
            if self.network.passes(index, to) && !self.random.random_bool(self.network.loss) {
                let at = self.now + delay(&mut self.random, index, to);
                self.push(
                    at,
                    Event::Arrive {
                        to,
                        from: index,
                        bytes,
                    },
                );
            }
        }
        if let Some(at) = self.members[index].as_ref().map(Member::wake_at) {
            self.wake(index, at.max(self.now));
        }
    }

    fn note(&mut self, observer: usize, change: &Change) {
        let Change::MemberState { name, current, .. } = change else {
            return;
        };
        let Some(&subject) = self.by_name.get(name) else {
            return;
        };
        let together =
            self.network.passes(observer, subject) && self.network.passes(subject, observer);
        let reachable = together && self.members[subject].is_some();
        self.seen.push(Seen {
            at: self.now,
            observer,
            subject,
            state: *current,
            reachable,
        });
    }

    /// Forgets what members have told so far.
    pub fn forget_seen(&mut self) {
        self.seen.clear();
    }

    /// What each member has used so far.
    pub fn used(&self) -> Vec<Used> {
        self.used.clone()
    }

    /// The members that run.
    pub fn running(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.members.len()).filter(|&index| self.members[index].is_some())
    }

    /// Whether everyone counts just as many as run, and suspects nobody.
    pub fn counts_agree(&self) -> bool {
        let count = self.running().count();
        let agrees = |index: usize| {
            let view = self.members[index]
                .as_ref()
                .map(|member| member.node().view());
            view.is_some_and(|view| view.present as usize == count && view.suspects == 0)
        };
        self.running().all(agrees)
    }

    /// Whether a member counts just as many as run.
    pub fn counts_all(&self, index: usize) -> bool {
        let view = self.members[index]
            .as_ref()
            .map(|member| member.node().view());
        view.is_some_and(|view| view.present as usize == self.running().count())
    }

    /// Pairs of an observer and a member that it holds for something else than it is.
    pub fn disagreements(&self) -> usize {
        let names: Vec<String> = (0..self.members.len()).map(name).collect();
        let wrong = |observer: usize| {
            let Some(member) = &self.members[observer] else {
                return 0;
            };
            let differs = |&subject: &usize| {
                let held = member
                    .node()
                    .member_state(&names[subject])
                    .map(|known| known.state);
                let lives = held.is_some_and(State::is_present);
                subject != observer && lives != self.members[subject].is_some()
            };
            (0..self.members.len()).filter(differs).count()
        };
        self.running().map(wrong).sum()
    }

    /// Time until a condition holds, looked at ten times a second; none if it does not in time.
    pub fn until(
        &mut self,
        longest: Micros,
        mut holds: impl FnMut(&Self) -> bool,
    ) -> Option<Micros> {
        const LOOK: Micros = 100_000;
        let begin = self.now;
        loop {
            if holds(self) {
                return Some(self.now - begin);
            }
            if self.now - begin >= longest {
                return None;
            }
            self.run(LOOK);
        }
    }
}
