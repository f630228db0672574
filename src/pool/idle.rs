//! Idle connections: which call gets an idle connection, how long idle connections are kept, and
//! which are closed first.

use super::Pool;
use super::endpoint::ConnectionState;
use super::learned_caps::SMALL_FLEET_SENDERS;
use super::messages::{CloseReason, Command, EndpointAddress};
use crate::{EndpointId, MILLISECOND, Micros, SECOND};
use std::net::SocketAddr;

/// Time in microseconds for which the idle timeout of an endpoint stays shortened after a call on a
/// connection that had been idle was reset.
const SHORTENED_FOR: Micros = 60 * SECOND;
/// Lower bound of a shortened idle timeout, in microseconds. If a connection that had been idle for
/// a shorter time is reset, the cause is taken to be another one than the endpoint's idle timeout.
const MIN_SHORTENED_TIMEOUT: Micros = 100 * MILLISECOND;

/// Idle timeout of an endpoint that seems to close idle connections earlier than the timeout set
/// for all endpoints: a call on a connection that had been idle was reset.
#[derive(Debug, Clone, Copy)]
pub(super) struct ShortenedIdleTimeout {
    /// Time in microseconds after which an idle connection to the endpoint is closed.
    timeout: Micros,
    /// Time in microseconds until which the shortened timeout holds.
    until: Micros,
}

impl Pool {
    /// Returns the time in microseconds for which idle connections to the endpoint are kept.
    pub(super) fn idle_timeout(&self, now: Micros, target: EndpointAddress) -> Micros {
        let shortened = self
            .endpoints
            .get(&target)
            .and_then(|endpoint| endpoint.shortened_idle_timeout);
        match shortened {
            Some(shortened) if now < shortened.until => {
                shortened.timeout.min(self.limits.idle_timeout)
            }
            _ => self.limits.idle_timeout,
        }
    }

    /// Halves the time for which idle connections to the endpoint are kept. Called when a
    /// connection was reset under a call that got it after it had been idle for `idle_for`
    /// microseconds: the endpoint seems to close idle connections earlier than assumed.
    pub(super) fn shorten_idle_timeout(
        &mut self,
        now: Micros,
        target: EndpointAddress,
        idle_for: Micros,
    ) {
        if idle_for < MIN_SHORTENED_TIMEOUT {
            return;
        }
        let survived = self.idle_timeout(now, target).min(idle_for);
        let timeout = (survived / 2).max(MIN_SHORTENED_TIMEOUT);
        if let Some(endpoint) = self.endpoints.get_mut(&target) {
            endpoint.shortened_idle_timeout = Some(ShortenedIdleTimeout {
                timeout,
                until: now + SHORTENED_FOR,
            });
        }
    }

    /// Returns true if the connection is idle and has reached its idle timeout.
    pub(super) fn is_idle_expired(&self, now: Micros, connection: u64) -> bool {
        let Some(record) = self.connections.get(&connection) else {
            return false;
        };
        match record.state {
            ConnectionState::Idle { since } => now - since >= self.idle_timeout(now, record.target),
            _ => false,
        }
    }

    /// Decides about a connection that has just become idle: it is leased to a waiting call, kept,
    /// or closed.
    pub(super) fn assign_idle(
        &mut self,
        now: Micros,
        target: EndpointAddress,
        connection: u64,
        commands: &mut Vec<Command>,
    ) {
        let Some(endpoint) = self.endpoints.get(&target) else {
            return;
        };
        if !endpoint.is_serving {
            self.close(connection, CloseReason::Retired, commands);
            self.remove_if_retired_and_unused(target);
        } else if !endpoint.waiting.is_empty() {
            self.lease(now, target, connection, commands);
        } else if self.is_shutting_down {
            self.close(connection, CloseReason::ShuttingDown, commands);
        } else if self.closes_idle_at_once() {
            self.close(connection, CloseReason::Scarcity, commands);
        } else if self.exceeds_endpoint_limits(target)
            || endpoint.established() > endpoint.wanted_connections(now, &self.limits)
        {
            // calls lease the newest idle connection first, so the oldest connection is the least
            // likely to be used
            let oldest = endpoint.idle.first().copied().unwrap_or(connection);
            self.close(oldest, CloseReason::Surplus, commands);
        }
        self.close_surplus(commands);
        self.run_dial_queue(now, commands);
    }

    /// Returns true if the endpoint has more connections, or more idle connections, than one
    /// endpoint may have.
    fn exceeds_endpoint_limits(&self, target: EndpointAddress) -> bool {
        self.endpoints.get(&target).is_some_and(|endpoint| {
            endpoint.idle.len() > self.limits.idle_per_endpoint
                || endpoint.open() > self.limits.per_endpoint
        })
    }

    /// Returns the oldest idle connection to the endpoint if the endpoint has more connections than
    /// it may have.
    pub(super) fn idle_beyond_limits(&self, target: EndpointAddress) -> Option<u64> {
        let oldest = self.endpoints.get(&target)?.idle.first().copied();
        oldest.filter(|_| self.exceeds_endpoint_limits(target))
    }

    /// Returns true if idle connections are closed at once. This is the case in a large fleet while
    /// connections are scarce: endpoints accept fewer connections than all senders need, so each
    /// idle connection of one sender keeps another sender waiting.
    pub(super) fn closes_idle_at_once(&self) -> bool {
        self.limits.senders > SMALL_FLEET_SENDERS && self.scarcity.is_scarce()
    }

    /// Closes idle connections that have expired, that other senders need because connections are
    /// scarce, or that the endpoint's load does not need, oldest first.
    pub(super) fn close_expired(&mut self, now: Micros, commands: &mut Vec<Command>) {
        let idle: Vec<u64> = self
            .idle
            .iter()
            .map(|&(_, connection)| connection)
            .collect();
        for connection in idle {
            if let Some(reason) = self.reason_to_close_idle(now, connection) {
                self.close(connection, reason, commands);
            }
        }
    }

    fn reason_to_close_idle(&self, now: Micros, connection: u64) -> Option<CloseReason> {
        let target = self.connections.get(&connection)?.target;
        let endpoint = self.endpoints.get(&target)?;
        if self.is_idle_expired(now, connection) {
            Some(CloseReason::IdleTimeout)
        } else if self.closes_idle_at_once() {
            Some(CloseReason::Scarcity)
        } else if endpoint.established() > endpoint.wanted_connections(now, &self.limits) {
            Some(CloseReason::Surplus)
        } else {
            None
        }
    }

    /// Closes the oldest idle connections of all endpoints until the limits on idle connections and
    /// on all connections are met.
    pub(super) fn close_surplus(&mut self, commands: &mut Vec<Command>) {
        while (self.idle.len() > self.limits.idle || self.total() > self.limits.total)
            && let Some(&(_, oldest)) = self.idle.first()
        {
            self.close(oldest, CloseReason::Surplus, commands);
        }
    }

    /// Closes idle connections to the address that have received nothing since `since`, a time in
    /// microseconds. Called after a call timed out: these connections may be as dead as the one
    /// that carried the call.
    pub(super) fn close_suspect_idle(
        &mut self,
        address: SocketAddr,
        since: Micros,
        commands: &mut Vec<Command>,
    ) {
        let of_address = EndpointAddress {
            address,
            endpoint: EndpointId(0),
        }..=EndpointAddress {
            address,
            endpoint: EndpointId(u32::MAX),
        };
        let idle: Vec<u64> = self
            .endpoints
            .range(of_address)
            .flat_map(|(_, endpoint)| endpoint.idle.clone())
            .collect();
        for connection in idle {
            let record = self.connections.get(&connection);
            if record.is_some_and(|record| record.last_received_at < since) {
                self.close(connection, CloseReason::Suspect, commands);
            }
        }
    }
}
