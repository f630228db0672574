//! One member of a fleet: what it is told, what it sends, and when it wants to be called. One file a job:
//!
//! - `receive`: datagrams that come; `send`: datagrams that go out, with the gossip they carry
//! - `probe` and `indirect`: failure detection by direct and indirect probes
//! - `records`: what received records make of the table; `suspicion`: suspicions from begin to end
//! - `refutation`: what others say of this node; `health`: local health, isolation and pauses
//! - `push_pull`: the exchange of state with one member at a time

mod health;
mod indirect;
mod probe;
mod push_pull;
mod receive;
mod records;
mod refutation;
mod send;
mod suspicion;

use crate::Micros;
use crate::broadcast::BroadcastQueue;
use crate::output::Output;
use crate::report::{DatagramCounters, MemberReport, MemberState, PersistedState, View};
use crate::settings::{Settings, SettingsError};
use crate::table::MemberTable;
use indirect::IndirectProbe;
use probe::{Probe, ProbeOrder};
use push_pull::PushPull;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use receive::ReplyBudget;
use refutation::{NameRival, PendingRefutation};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Addresses that are stored for a restart.
const PERSISTED_ADDRESSES: usize = 64;

/// A member of a fleet.
#[derive(Debug, Clone)]
pub struct Node {
    settings: Settings,
    random: Pcg64,
    incarnation: u64,
    /// This process's start, Unix microseconds.
    instance: u64,
    /// The number of the last datagram sent.
    counter: u64,
    has_left: bool,
    /// Another process is the member of this name; this node only listens.
    has_yielded: bool,
    rival: Option<NameRival>,
    table: MemberTable,
    broadcasts: BroadcastQueue,
    /// Lifeguard's local health score.
    health: u32,
    /// Probes in a row that had no answer of anybody.
    unanswered_probes: u32,
    /// An answer has come since the start or the last pause.
    has_been_answered: bool,
    /// Since when this node may declare deaths; none while it may not.
    quorum_since: Option<Micros>,
    /// When it last came to suspect a member.
    last_suspicion_at: Micros,
    probe: Option<Probe>,
    next_probe_at: Micros,
    /// The number of the last probe sent, direct or on another's behalf.
    probe_sequence: u32,
    probe_order: ProbeOrder,
    /// Probes on behalf of others, by their own number.
    indirect_probes: BTreeMap<u32, IndirectProbe>,
    /// The helper that last brought an answer.
    last_useful_helper: Option<String>,
    push_pull: PushPull,
    /// Addresses to join through: the seeds and those stored by an earlier process.
    join_addresses: Vec<SocketAddr>,
    refutation: PendingRefutation,
    reply_budget: ReplyBudget,
    /// When it asked to be called.
    next_deadline: Micros,
    counters: DatagramCounters,
}

impl Node {
    /// A member that starts now. `instance` is the process's start on the common clock, Unix microseconds.
    ///
    /// # Errors
    /// A setting makes no sense.
    pub fn new(
        settings: Settings,
        persisted: PersistedState,
        seed: u64,
        instance: u64,
        now: Micros,
    ) -> Result<Self, SettingsError> {
        settings.validate()?;
        let mut random = Pcg64::seed_from_u64(seed);
        // members that start together do not probe together
        let first_probe_at = now + random.random_range(0..settings.protocol_period);
        Ok(Node {
            incarnation: first_incarnation(&persisted),
            instance,
            counter: 0,
            has_left: false,
            has_yielded: false,
            rival: None,
            table: MemberTable::new(&settings.name),
            broadcasts: BroadcastQueue::default(),
            health: 0,
            unanswered_probes: 0,
            has_been_answered: false,
            quorum_since: None,
            last_suspicion_at: now,
            probe: None,
            next_probe_at: first_probe_at,
            probe_sequence: random.random(),
            probe_order: ProbeOrder::default(),
            indirect_probes: BTreeMap::new(),
            last_useful_helper: None,
            push_pull: PushPull::new(now),
            join_addresses: join_addresses(&settings, &persisted),
            refutation: PendingRefutation::none(now),
            reply_budget: ReplyBudget::full(now),
            next_deadline: now,
            counters: DatagramCounters::default(),
            random,
            settings,
        })
    }

    /// Changes the number of members that the fleet is to have; 0 counts as 1.
    pub fn set_expected_members(&mut self, expected_members: u32) {
        self.settings.expected_members = expected_members.max(1);
    }

    /// The settings as they are now.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// When it wants the next call of [`Node::tick`].
    pub fn next_deadline(&self) -> Micros {
        self.next_deadline
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Micros, output: &mut Output) {
        if self.has_left {
            return;
        }
        self.detect_pause(now, output);
        self.run_due(now, output);
        self.next_deadline = self.compute_next_deadline(now);
    }

    fn run_due(&mut self, now: Micros, output: &mut Output) {
        self.reply_budget
            .renew_if_due(now, self.settings.protocol_period);
        if !self.has_yielded {
            self.send_due_refutation(now, output);
            self.run_probe(now, output);
            self.run_indirect_probes(now, output);
            self.expire_suspicions(now, output);
        }
        self.run_push_pull(now, output);
    }

    fn compute_next_deadline(&self, now: Micros) -> Micros {
        let member_deadline = if self.has_yielded {
            None
        } else {
            self.next_member_deadline()
        };
        member_deadline
            .unwrap_or(Micros::MAX)
            .min(self.push_pull.next_at())
            .max(now + 1)
    }

    /// The next deadline of what only a member does, not a node that merely listens.
    fn next_member_deadline(&self) -> Option<Micros> {
        let deadlines = [
            self.probe.as_ref().and_then(Probe::indirect_due_at),
            self.next_nack_due_at(),
            self.next_suspicion_deadline(),
            self.refutation.due_at(),
            Some(self.next_probe_at),
        ];
        deadlines.into_iter().flatten().min()
    }

    /// The fleet as this node sees it.
    pub fn view(&self) -> View {
        View {
            present: self.table.present().len() as u32,
            suspects: self.table.suspects().len() as u32,
            departed: self.table.departed_count() as u32,
            agreeing: self.table.view_holder_count(),
            isolated: self.is_isolated(),
        }
    }

    /// What to store for the next process.
    pub fn persisted_state(&self) -> PersistedState {
        let mut present: Vec<_> = self
            .table
            .iter()
            .filter(|(_, member)| member.state.is_present())
            .collect();
        present.sort_by_key(|(_, member)| Reverse(member.last_heard));
        let known_addresses = present
            .iter()
            .take(PERSISTED_ADDRESSES)
            .map(|(_, member)| member.address)
            .collect();
        PersistedState {
            incarnation: self.incarnation,
            known_addresses,
        }
    }

    /// The own name.
    pub fn name(&self) -> &str {
        &self.settings.name
    }

    /// The own incarnation: how often it had to refute what was said of it.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Lifeguard's local health score: 0 is healthy, 8 the worst.
    pub fn health_score(&self) -> u32 {
        self.health
    }

    /// Datagrams since the start.
    pub fn counters(&self) -> &DatagramCounters {
        &self.counters
    }

    /// All other members that are known, by name.
    pub fn member_reports(&self, now: Micros) -> Vec<MemberReport> {
        self.table.reports(now)
    }

    /// The state of another member, and its incarnation; none if it is not known.
    pub fn member_state(&self, name: &str) -> Option<MemberState> {
        self.table.get(name).map(|member| MemberState {
            incarnation: member.incarnation,
            state: member.state,
        })
    }
}

/// What an earlier process said of itself is older than anything this one says.
fn first_incarnation(persisted: &PersistedState) -> u64 {
    if *persisted == PersistedState::default() {
        0
    } else {
        persisted.incarnation + 1
    }
}

/// The seeds and the addresses stored by an earlier process, without the own one.
fn join_addresses(settings: &Settings, persisted: &PersistedState) -> Vec<SocketAddr> {
    let mut addresses: Vec<SocketAddr> = settings
        .seeds
        .iter()
        .chain(&persisted.known_addresses)
        .copied()
        .filter(|address| *address != settings.advertise)
        .collect();
    addresses.sort_unstable();
    addresses.dedup();
    addresses
}
