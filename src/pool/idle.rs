//! Idle connections and their age: which one a call gets, how long one is kept, which are closed first.

use super::Pool;
use super::endpoint::State;
use super::learned_caps::FEW_SENDERS;
use super::messages::{Cause, Command, Place};
use crate::{EndpointId, MILLISECOND, Micros, SECOND};
use std::net::SocketAddr;

/// After a reset on a connection that was idle, those to that endpoint are kept half as long, for this time, and
/// no shorter than the least. A reset after a shorter idle time has another cause.
const SHORTENED_FOR: Micros = 60 * SECOND;
const SHORTENED_LEAST: Micros = 100 * MILLISECOND;

/// Idle connections to an endpoint are kept for a shorter time than is set.
#[derive(Debug, Clone, Copy)]
pub(super) struct ShortenedKeep {
    keep: Micros,
    until: Micros,
}

impl Pool {
    /// How long idle connections to the endpoint are kept.
    pub(super) fn keep(&self, now: Micros, place: Place) -> Micros {
        let shortened = self
            .endpoints
            .get(&place)
            .and_then(|endpoint| endpoint.shortened_keep);
        match shortened {
            Some(ShortenedKeep { keep, until }) if now < until => keep.min(self.limits.keep),
            _ => self.limits.keep,
        }
    }

    /// A connection was reset with a call on it after it had been idle for so long: its endpoint closes idle ones
    /// sooner than is set.
    pub(super) fn shorten_keep(&mut self, now: Micros, place: Place, idle_for: Micros) {
        if idle_for < SHORTENED_LEAST {
            return;
        }
        let keep = (self.keep(now, place).min(idle_for) / 2).max(SHORTENED_LEAST);
        if let Some(endpoint) = self.endpoints.get_mut(&place) {
            endpoint.shortened_keep = Some(ShortenedKeep {
                keep,
                until: now + SHORTENED_FOR,
            });
        }
    }

    /// It has been idle for as long as is allowed.
    pub(super) fn grown_old(&self, now: Micros, connection: u64) -> bool {
        self.connections
            .get(&connection)
            .is_some_and(|known| match known.state {
                State::Idle { since } => now - since >= self.keep(now, known.place),
                _ => false,
            })
    }

    /// Gives an idle connection to the call that waits longest.
    pub(super) fn lease(
        &mut self,
        now: Micros,
        place: Place,
        connection: u64,
        out: &mut Vec<Command>,
    ) {
        let Some(known) = self.connections.get_mut(&connection) else {
            return;
        };
        let State::Idle { since } = known.state else {
            return;
        };
        let Some(endpoint) = self.endpoints.get_mut(&place) else {
            return;
        };
        let Some((waiter, _)) = endpoint.waiting.pop_front() else {
            return;
        };
        endpoint.idle.retain(|idle| *idle != connection);
        endpoint.leased += 1;
        endpoint.proven += usize::from(known.served);
        let idle_for = (known.calls > 0).then_some(now - since);
        endpoint.counts.reuses += u64::from(idle_for.is_some());
        known.calls += 1;
        known.state = State::Leased {
            at: now,
            proven: endpoint.proven,
            idle_for,
        };
        self.idle.remove(&(since, connection));
        self.waiters.remove(&waiter);
        out.push(Command::Lease {
            waiter,
            connection,
            idle_for,
        });
    }

    /// A connection has just fallen free: it goes to a call that waits, to the idle ones, or is closed.
    pub(super) fn settle(
        &mut self,
        now: Micros,
        place: Place,
        connection: u64,
        out: &mut Vec<Command>,
    ) {
        let Some(endpoint) = self.endpoints.get(&place) else {
            return;
        };
        if !endpoint.waiting.is_empty() {
            self.lease(now, place, connection, out);
        } else if !endpoint.serving {
            self.close(connection, Cause::Retired, out);
            self.forget_if_done(place);
        } else if self.leaving {
            self.close(connection, Cause::Leaving, out);
        } else if self.keeps_none() {
            self.close(connection, Cause::Scarce, out);
        } else if endpoint.idle.len() > self.limits.idle_per_endpoint
            || endpoint.open() > self.limits.per_endpoint
            || endpoint.established() > endpoint.wanted(now, &self.limits)
        {
            // the one that would be taken last
            let oldest = endpoint.idle.first().copied().unwrap_or(connection);
            self.close(oldest, Cause::Surplus, out);
        }
        self.close_surplus(out);
        self.serve_queue(now, out);
    }

    /// True if idle connections are closed at once: there are too few for all, and others wait for them.
    pub(super) fn keeps_none(&self) -> bool {
        self.limits.senders > FEW_SENDERS && self.scarcity.is_scarce()
    }

    /// Closes idle connections that have grown old or are not wanted any more, oldest first.
    pub(super) fn close_old(&mut self, now: Micros, out: &mut Vec<Command>) {
        let idle: Vec<u64> = self
            .idle
            .iter()
            .map(|&(_, connection)| connection)
            .collect();
        for connection in idle {
            let Some(place) = self.connections.get(&connection).map(|known| known.place) else {
                continue;
            };
            let Some(endpoint) = self.endpoints.get(&place) else {
                continue;
            };
            if self.grown_old(now, connection) {
                self.close(connection, Cause::Age, out);
            } else if self.keeps_none() {
                self.close(connection, Cause::Scarce, out);
            } else if endpoint.established() > endpoint.wanted(now, &self.limits) {
                self.close(connection, Cause::Surplus, out);
            }
        }
    }

    /// Closes the oldest idle connections as long as there are more than may be, whichever endpoint they go to.
    pub(super) fn close_surplus(&mut self, out: &mut Vec<Command>) {
        while (self.idle.len() > self.limits.idle || self.total() > self.limits.all)
            && let Some(&(_, oldest)) = self.idle.first()
        {
            self.close(oldest, Cause::Surplus, out);
        }
    }

    /// Idle connections to the address that have heard nothing since then may be as dead as the one that timed out.
    pub(super) fn suspect(&mut self, address: SocketAddr, since: Micros, out: &mut Vec<Command>) {
        let of_address = Place {
            address,
            endpoint: EndpointId(0),
        }..=Place {
            address,
            endpoint: EndpointId(u32::MAX),
        };
        let idle: Vec<u64> = self
            .endpoints
            .range(of_address)
            .flat_map(|(_, endpoint)| endpoint.idle.clone())
            .collect();
        for connection in idle {
            if self
                .connections
                .get(&connection)
                .is_some_and(|known| known.heard < since)
            {
                self.close(connection, Cause::Suspect, out);
            }
        }
    }
}
