//! The rules of the connection pool: which connections to endpoints are dialled, kept, leased to
//! calls and closed.
//!
//! The rules open no sockets and read no clock. The code that owns the sockets (`src/net/pool`)
//! reports what happens, together with the time, and carries out the [`Command`]s that the rules
//! return. Which endpoint gets a call is decided by [`crate::decisions`]; the pool sends no call,
//! repeats none and moves none to another endpoint.
//!
//! Each file covers one concern: `leases` gives connections to calls and takes them back, `dials`
//! and `prewarm` open new connections, `sizing` determines how many connections an endpoint needs,
//! `idle` keeps and closes connections without a call, `learned_caps` learns how many connections
//! an endpoint accepts, `scarcity` detects when all endpoints together accept too few, `endpoints`
//! enables and retires endpoints, and `accounting` maintains the counters.

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

/// State of the connection pool, and the rules that act on it.
#[derive(Debug)]
pub struct Pool {
    limits: PoolLimits,
    random: Pcg32,
    endpoints: BTreeMap<EndpointAddress, Endpoint>,
    /// Connections by their number, from the start of the dial until they are closed.
    connections: BTreeMap<u64, Connection>,
    /// Endpoint of each call that waits for a connection, by the number of the call.
    waiters: BTreeMap<u64, EndpointAddress>,
    /// Endpoints with more waiting calls than dials in flight, in the order in which they get a
    /// dial.
    dial_queue: VecDeque<EndpointAddress>,
    /// Idle connections, each as the time in microseconds since which it has been idle and the
    /// number of the connection.
    idle: BTreeSet<(Micros, u64)>,
    /// Number of dials in flight.
    dialling: usize,
    /// Number of the next connection to be dialled.
    next_connection: u64,
    /// Number of connections that the predecessor still holds during a handover; they count towards
    /// the limit on all connections.
    predecessor_connections: usize,
    is_shutting_down: bool,
    /// True while the endpoint list is stale, so that no call may be sent.
    is_suspended: bool,
    scarcity: Scarcity,
    /// Sum of the counters of endpoints that have been removed from `endpoints`.
    removed_endpoint_counters: PoolCounters,
}

impl Pool {
    /// Creates an empty pool. `seed` determines the jitter of trials above a learned cap and of
    /// prewarming, so that senders with different seeds don't dial at the same time.
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
            is_suspended: false,
            scarcity: Scarcity::default(),
            removed_endpoint_counters: PoolCounters::default(),
        }
    }

    /// Returns the limits in force.
    pub fn limits(&self) -> &PoolLimits {
        &self.limits
    }

    /// Replaces the limits. Idle connections beyond the new limits are closed at once; leased
    /// connections are kept until their calls end.
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

    /// Sets the number of connections that the predecessor still holds during a handover. They count
    /// towards the limit on all connections.
    pub fn set_predecessor_connections(
        &mut self,
        now: Micros,
        count: usize,
        commands: &mut Vec<Command>,
    ) {
        self.predecessor_connections = count;
        self.run_dial_queue(now, commands);
    }

    /// Closes all idle connections, and keeps no connection idle from now on. Waiting calls are
    /// denied a connection; the decision module decides whether they may still be sent.
    pub fn shut_down(&mut self, commands: &mut Vec<Command>) {
        self.is_shutting_down = true;
        while let Some(&(_, connection)) = self.idle.first() {
            self.close(connection, CloseReason::ShuttingDown, commands);
        }
        for target in self.targets() {
            self.deny_newest_beyond(target, 0, LeaseDenied::ShuttingDown, commands);
        }
    }

    /// Closes idle connections that have expired, starts dials that have become allowed, and
    /// prewarms endpoints. Must be called several times a second.
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

    /// Returns `span` multiplied by a random factor from 0.5 to 1.5.
    fn with_jitter(&mut self, span: Micros) -> Micros {
        let fraction = f64::from(self.random.next_u32()) / f64::from(u32::MAX);
        (span as f64 * (0.5 + fraction)) as Micros
    }
}
