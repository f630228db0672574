//! The rules of the connection pool: which connections to endpoints are dialled, kept, given to calls and closed.
//!
//! The rules open no sockets and read no clock. They are told what happens, with the time, and answer with
//! [`Command`]s; the layer round them carries these out. Which endpoint gets a call is decided elsewhere; nothing here
//! sends, repeats or moves a call.
//!
//! One file a concern: `leases` gives connections to calls and takes them back, `dials` and `prewarm` open new ones,
//! `sizing` tells how many an endpoint needs, `idle` keeps and closes those without a call, `learned_caps` learns how
//! many an endpoint accepts, `scarcity` tells when all endpoints together accept too few, `endpoints` enables and
//! retires endpoints, `accounting` counts.

mod accounting;
mod dials;
mod endpoint;
mod endpoints;
mod idle;
mod learned_caps;
mod leases;
mod messages;
mod prewarm;
mod scarcity;
mod settings;
mod sizing;

pub use accounting::{EndpointReport, PoolCounters, PoolReport, PoolSizes};
pub use messages::{AnswerKind, CloseReason, Command, DialFailure, EndpointAddress, LeaseDenied};
pub use settings::{PoolLimits, PoolSettings};

use crate::Micros;
use endpoint::{Connection, Endpoint};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use scarcity::Scarcity;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The rules and the state of the connection pool.
#[derive(Debug)]
pub struct Pool {
    limits: PoolLimits,
    random: Pcg32,
    endpoints: BTreeMap<EndpointAddress, Endpoint>,
    /// Connections by their number, from dial to close.
    connections: BTreeMap<u64, Connection>,
    /// Calls that wait for a connection, by their number.
    waiters: BTreeMap<u64, EndpointAddress>,
    /// Endpoints with calls that wait without a dial, in turn.
    dial_queue: VecDeque<EndpointAddress>,
    /// Idle connections by the time since which they are.
    idle: BTreeSet<(Micros, u64)>,
    /// Dials in flight.
    dialling: usize,
    next_connection: u64,
    /// Connections that the predecessor of a handover holds on this process's account.
    predecessor_connections: usize,
    is_shutting_down: bool,
    scarcity: Scarcity,
    /// Counters of endpoints that are forgotten.
    forgotten_counters: PoolCounters,
}

impl Pool {
    /// An empty pool. The seed spreads retries and dials ahead of need over time.
    pub fn new(limits: PoolLimits, seed: u64) -> Self {
        Pool {
            limits,
            random: Pcg32::seed_from_u64(seed),
            endpoints: BTreeMap::new(),
            connections: BTreeMap::new(),
            waiters: BTreeMap::new(),
            dial_queue: VecDeque::new(),
            idle: BTreeSet::new(),
            dialling: 0,
            next_connection: 0,
            predecessor_connections: 0,
            is_shutting_down: false,
            scarcity: Scarcity::default(),
            forgotten_counters: PoolCounters::default(),
        }
    }

    /// The limits in force.
    pub fn limits(&self) -> &PoolLimits {
        &self.limits
    }

    /// Puts other limits in force; idle connections beyond them are closed at once.
    pub fn set_limits(&mut self, now: Micros, limits: PoolLimits, commands: &mut Vec<Command>) {
        self.limits = limits;
        for target in self.targets() {
            while let Some(oldest) = self.idle_beyond_limits(target) {
                self.close(oldest, CloseReason::Surplus, commands);
            }
        }
        self.close_surplus(commands);
        self.tick(now, commands);
    }

    /// The predecessor of a handover holds so many connections; they count towards the total.
    pub fn set_predecessor_connections(
        &mut self,
        now: Micros,
        count: usize,
        commands: &mut Vec<Command>,
    ) {
        self.predecessor_connections = count;
        self.run_dial_queue(now, commands);
    }

    /// Closes all idle connections and keeps none from now on. Calls that wait for a connection get none: whether they
    /// may still be sent is decided elsewhere.
    pub fn shut_down(&mut self, commands: &mut Vec<Command>) {
        self.is_shutting_down = true;
        while let Some(&(_, connection)) = self.idle.first() {
            self.close(connection, CloseReason::ShuttingDown, commands);
        }
        for target in self.targets() {
            self.deny_newest_beyond(target, 0, LeaseDenied::ShuttingDown, commands);
        }
    }

    /// Does what time alone brings; to be called some times a second.
    pub fn tick(&mut self, now: Micros, commands: &mut Vec<Command>) {
        self.close_expired(now, commands);
        self.run_dial_queue(now, commands);
        if self.limits.prewarm_share > 0.0 && !self.is_shutting_down {
            self.prewarm(now, commands);
        }
    }

    fn targets(&self) -> Vec<EndpointAddress> {
        self.endpoints.keys().copied().collect()
    }

    /// A span from half to one and a half times as long.
    fn with_jitter(&mut self, span: Micros) -> Micros {
        let fraction = f64::from(self.random.next_u32()) / f64::from(u32::MAX);
        (span as f64 * (0.5 + fraction)) as Micros
    }
}
