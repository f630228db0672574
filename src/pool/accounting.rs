//! Accounting: the number of connections in each state, counters of what has happened, and the
//! report of both for operators.

use super::Pool;
use super::endpoint::ConnectionState;
use super::messages::{CloseReason, Command, DialFailure, EndpointAddress};
use crate::Micros;
use serde::Serialize;
use std::collections::BTreeMap;

/// Counters of one endpoint, or their sums over all endpoints, since the pool was created.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct PoolCounters {
    /// Number of calls that got a connection on which another call had been made before.
    pub reuses: u64,
    /// Number of dials that were begun.
    pub dials: u64,
    /// Number of dials that failed, by kind of failure.
    pub dial_failures: BTreeMap<DialFailure, u64>,
    /// Number of connections that were closed, by reason.
    pub closes: BTreeMap<CloseReason, u64>,
}

/// State of all endpoints, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolReport {
    /// Reports of the endpoints that the pool has a record of.
    pub endpoints: Vec<EndpointReport>,
    /// Sums of the counters over these endpoints and all whose records were removed.
    pub totals: PoolCounters,
}

/// State of one endpoint, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointReport {
    /// The endpoint and its address.
    pub target: EndpointAddress,
    /// True if the endpoint accepts new calls; false if it is retired.
    pub is_serving: bool,
    /// Number of established connections without a call.
    pub idle: usize,
    /// Number of connections that carry a call.
    pub leased: usize,
    /// Number of dials in flight.
    pub dialling: usize,
    /// Number of calls that wait for a connection.
    pub waiting: usize,
    /// Number of connections that the load of the endpoint needs.
    pub wanted_connections: usize,
    /// Number of connections that the endpoint seems to accept from this sender; `None` if the
    /// pool has learned no such cap.
    pub learned_cap: Option<usize>,
    /// Counters of what has happened at the endpoint since its record was created.
    pub counters: PoolCounters,
}

/// Number of records that the pool holds of each kind. Tests use these numbers to check that the
/// pool removes its records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolSizes {
    /// Number of endpoints, including retired ones that still have connections or waiting calls.
    pub endpoints: usize,
    /// Number of connections, including those being dialled.
    pub connections: usize,
    /// Number of waiting calls.
    pub waiters: usize,
}

impl Pool {
    /// Returns the state and the counters of all endpoints, for operators. `now` is in
    /// microseconds.
    pub fn report(&self, now: Micros) -> PoolReport {
        let mut totals = self.removed_endpoint_counters.clone();
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

    /// Returns the number of records that the pool holds.
    pub fn sizes(&self) -> PoolSizes {
        PoolSizes {
            endpoints: self.endpoints.len(),
            connections: self.connections.len(),
            waiters: self.waiters.len(),
        }
    }

    /// Returns the number of connections that count towards the limit on all connections, including
    /// those of a predecessor.
    pub(super) fn total(&self) -> usize {
        self.connections.len() + self.predecessor_connections
    }

    /// Removes the record of a connection and asks the code that owns the sockets to close the
    /// connection.
    pub(super) fn close(
        &mut self,
        connection: u64,
        reason: CloseReason,
        commands: &mut Vec<Command>,
    ) {
        self.remove_connection(connection, reason);
        commands.push(Command::Close { connection });
    }

    /// Removes the record of a closed connection and counts the reason of its end at the
    /// endpoint.
    pub(super) fn remove_connection(&mut self, connection: u64, reason: CloseReason) {
        let Some(record) = self.connections.remove(&connection) else {
            return;
        };
        let Some(endpoint) = self.endpoints.get_mut(&record.target) else {
            return;
        };
        match record.state {
            ConnectionState::Idle { since } => {
                endpoint.idle.retain(|idle| *idle != connection);
                self.idle.remove(&(since, connection));
            }
            ConnectionState::Leased { .. } => {
                endpoint.leased -= 1;
                endpoint.leased_with_served_call -= usize::from(record.has_served_call);
            }
            ConnectionState::Dialling { .. } => endpoint.dialling -= 1,
        }
        if record.is_trial
            && let Some(cap) = &mut endpoint.cap
        {
            cap.end_trial();
        }
        *endpoint.counters.closes.entry(reason).or_default() += 1;
    }
}

/// Adds the counters in `more` to `sum`.
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
