//! Accounting: how many connections there are in which state, what has happened so far, and what operators see of it.

use super::Pool;
use super::endpoint::ConnectionState;
use super::messages::{CloseReason, Command, DialFailure, EndpointAddress};
use crate::Micros;
use serde::Serialize;
use std::collections::BTreeMap;

/// What is counted of an endpoint, or of all.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct PoolCounters {
    /// Calls that got a connection which had carried one before.
    pub reuses: u64,
    /// Dials begun.
    pub dials: u64,
    /// Dials that failed, by the kind of failure.
    pub dial_failures: BTreeMap<DialFailure, u64>,
    /// Connections closed, by reason.
    pub closes: BTreeMap<CloseReason, u64>,
}

/// The endpoints, and the counters of all that ever were.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolReport {
    /// The endpoints known now.
    pub endpoints: Vec<EndpointReport>,
    /// The sums over these and over all that are forgotten.
    pub totals: PoolCounters,
}

/// One endpoint as operators see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointReport {
    /// The endpoint.
    pub target: EndpointAddress,
    /// It takes new calls.
    pub is_serving: bool,
    /// Connections without a call.
    pub idle: usize,
    /// Connections that carry a call.
    pub leased: usize,
    /// Dials in flight.
    pub dialling: usize,
    /// Calls that wait for a connection.
    pub waiting: usize,
    /// How many connections its load asks for.
    pub wanted_connections: usize,
    /// How many it seems to accept from this sender.
    pub learned_cap: Option<usize>,
    /// What has happened so far.
    pub counters: PoolCounters,
}

/// How many entries the pool keeps of each kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolSizes {
    /// Endpoints, retired ones with something left counted.
    pub endpoints: usize,
    /// Connections, those being dialled counted.
    pub connections: usize,
    /// Calls that wait.
    pub waiters: usize,
}

impl Pool {
    /// Figures for operators.
    pub fn report(&self, now: Micros) -> PoolReport {
        let mut totals = self.forgotten_counters.clone();
        let mut endpoints = Vec::new();
        for (target, endpoint) in &self.endpoints {
            add(&mut totals, &endpoint.counters);
            endpoints.push(EndpointReport {
                target: *target,
                is_serving: endpoint.is_serving,
                idle: endpoint.idle.len(),
                leased: endpoint.leased,
                dialling: endpoint.dialling,
                waiting: endpoint.waiting.len(),
                wanted_connections: endpoint.wanted_connections(now, &self.limits),
                learned_cap: endpoint.cap.as_ref().map(|cap| cap.connections),
                counters: endpoint.counters.clone(),
            });
        }
        PoolReport { endpoints, totals }
    }

    /// How many entries the pool keeps.
    pub fn sizes(&self) -> PoolSizes {
        PoolSizes {
            endpoints: self.endpoints.len(),
            connections: self.connections.len(),
            waiters: self.waiters.len(),
        }
    }

    /// Connections that count towards the total, those of a predecessor too.
    pub(super) fn total(&self) -> usize {
        self.connections.len() + self.predecessor_connections
    }

    /// Closes a connection.
    pub(super) fn close(
        &mut self,
        connection: u64,
        reason: CloseReason,
        commands: &mut Vec<Command>,
    ) {
        self.remove_connection(connection, reason);
        commands.push(Command::Close { connection });
    }

    /// Takes a connection that is closed off the accounts.
    pub(super) fn remove_connection(&mut self, connection: u64, reason: CloseReason) {
        let Some(known) = self.connections.remove(&connection) else {
            return;
        };
        let Some(endpoint) = self.endpoints.get_mut(&known.target) else {
            return;
        };
        match known.state {
            ConnectionState::Idle { since } => {
                endpoint.idle.retain(|idle| *idle != connection);
                self.idle.remove(&(since, connection));
            }
            ConnectionState::Leased { .. } => {
                endpoint.leased -= 1;
                endpoint.leased_proven -= usize::from(known.is_proven);
            }
            ConnectionState::Dialling { .. } => endpoint.dialling -= 1,
        }
        if known.is_trial
            && let Some(cap) = &mut endpoint.cap
        {
            cap.end_trial();
        }
        *endpoint.counters.closes.entry(reason).or_default() += 1;
    }
}

pub(super) fn add(sum: &mut PoolCounters, more: &PoolCounters) {
    sum.reuses += more.reuses;
    sum.dials += more.dials;
    for (failure, count) in &more.dial_failures {
        *sum.dial_failures.entry(*failure).or_default() += count;
    }
    for (reason, count) in &more.closes {
        *sum.closes.entry(*reason).or_default() += count;
    }
}
