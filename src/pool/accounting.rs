//! Accounting: how many connections there are in which state, what has happened so far, and what operators see of it.

use super::Pool;
use super::endpoint::{Endpoint, State};
use super::messages::{Cause, Command, DialFailure, Place};
use crate::Micros;
use serde::Serialize;
use std::collections::BTreeMap;

/// What is counted of an endpoint, or of all.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Calls that got a connection which had carried one before.
    pub reuses: u64,
    /// Dials begun.
    pub dials: u64,
    /// Dials that failed, by cause.
    pub dial_failures: BTreeMap<DialFailure, u64>,
    /// Connections closed, by cause.
    pub closes: BTreeMap<Cause, u64>,
}

/// One endpoint as operators see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointView {
    /// Whose figures these are.
    pub place: Place,
    /// It takes new calls.
    pub serving: bool,
    /// Idle, leased and dialled connections, and calls that wait for one.
    pub idle: usize,
    /// Connections that carry a call.
    pub leased: usize,
    /// Dials that are out.
    pub dialling: usize,
    /// Calls that wait.
    pub waiting: usize,
    /// How many connections its load asks for.
    pub wanted: usize,
    /// What it seems to bear from this sender.
    pub learned_cap: Option<usize>,
    /// What has happened so far.
    pub counts: Counts,
}

impl Pool {
    /// Figures of the endpoints, and those of all that ever were.
    pub fn view(&self, now: Micros) -> (Vec<EndpointView>, Counts) {
        let mut all = self.past.clone();
        let endpoints = self.endpoints.iter().map(|(place, endpoint)| {
            add(&mut all, &endpoint.counts);
            EndpointView {
                place: *place,
                serving: endpoint.serving,
                idle: endpoint.idle.len(),
                leased: endpoint.leased,
                dialling: endpoint.dialling,
                waiting: endpoint.waiting.len(),
                wanted: endpoint.wanted(now, &self.limits),
                learned_cap: endpoint.cap.as_ref().map(|cap| cap.most),
                counts: endpoint.counts.clone(),
            }
        });
        (endpoints.collect(), all)
    }

    /// How many endpoints, connections and waiting calls the pool knows of.
    pub fn sizes(&self) -> (usize, usize, usize) {
        (
            self.endpoints.len(),
            self.connections.len(),
            self.waiters.len(),
        )
    }

    /// Connections that count among all, those that another process holds too.
    pub(super) fn total(&self) -> usize {
        self.connections.len() + self.elsewhere
    }

    /// Closes a connection.
    pub(super) fn close(&mut self, connection: u64, cause: Cause, out: &mut Vec<Command>) {
        self.drop_connection(connection, cause);
        out.push(Command::Close { connection });
    }

    /// Takes a connection that is closed off the accounts.
    pub(super) fn drop_connection(&mut self, connection: u64, cause: Cause) {
        let Some(known) = self.connections.remove(&connection) else {
            return;
        };
        let Some(endpoint) = self.endpoints.get_mut(&known.place) else {
            return;
        };
        match known.state {
            State::Idle { since } => {
                endpoint.idle.retain(|idle| *idle != connection);
                self.idle.remove(&(since, connection));
            }
            State::Leased { .. } => {
                endpoint.leased -= 1;
                endpoint.proven -= usize::from(known.served);
            }
            State::Dialling { .. } => endpoint.dialling -= 1,
        }
        if let Some(cap) = endpoint.cap.as_mut().filter(|_| known.trial) {
            cap.end_trial();
        }
        *endpoint.counts.closes.entry(cause).or_default() += 1;
    }

    /// Forgets an endpoint of which nothing is left, and keeps its counts.
    pub(super) fn forget_if_done(&mut self, place: Place) {
        if self.endpoints.get(&place).is_some_and(Endpoint::done)
            && let Some(endpoint) = self.endpoints.remove(&place)
        {
            add(&mut self.past, &endpoint.counts);
        }
    }
}

fn add(all: &mut Counts, more: &Counts) {
    all.reuses += more.reuses;
    all.dials += more.dials;
    more.dial_failures
        .iter()
        .for_each(|(why, count)| *all.dial_failures.entry(*why).or_default() += count);
    more.closes
        .iter()
        .for_each(|(cause, count)| *all.closes.entry(*cause).or_default() += count);
}
