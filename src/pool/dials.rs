//! Dials: when a dial is allowed, and what follows from its success or failure.

use super::Pool;
use super::endpoint::{Connection, ConnectionState, Endpoint};
use super::learned_caps::RefusedDial;
use super::messages::{CloseReason, Command, DialFailure, EndpointAddress};
use crate::Micros;

/// Divisor of the limit on concurrent dials that gives the limit for one endpoint. An endpoint that
/// doesn't answer dials must not use up all concurrent dials.
const DIALS_PER_ENDPOINT_DIVISOR: usize = 4;

/// Whether an allowed dial stays within the cap on connections that the pool has learned for the
/// endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DialKind {
    /// The dial stays within the learned cap on connections, or no cap has been learned.
    Ordinary,
    /// The dial would exceed the learned cap on connections, and tests whether the endpoint accepts
    /// one more connection.
    Trial,
}

impl Pool {
    /// Dials for the waiting calls of an endpoint, until there are as many dials in flight as
    /// waiting calls. Puts the endpoint into the dial queue if the limits allow fewer dials.
    pub(super) fn dial_for_waiting(
        &mut self,
        now: Micros,
        target: EndpointAddress,
        commands: &mut Vec<Command>,
    ) {
        while let Some(endpoint) = self.endpoints.get(&target)
            && endpoint.waiting.len() > endpoint.dialling
        {
            let Some(kind) = self.allowed_dial(now, endpoint) else {
                return self.queue_for_dial(target);
            };
            if self.total() >= self.limits.total
                && let Some(&(_, oldest)) = self.idle.first()
            {
                self.close(oldest, CloseReason::Evicted, commands);
            }
            self.dial(now, target, kind, commands);
        }
    }

    fn queue_for_dial(&mut self, target: EndpointAddress) {
        let Some(endpoint) = self.endpoints.get_mut(&target) else {
            return;
        };
        if !endpoint.is_in_dial_queue {
            endpoint.is_in_dial_queue = true;
            self.dial_queue.push_back(target);
        }
    }

    /// Dials for the endpoints in the dial queue, in order. Called whenever the limits may allow
    /// more dials than before.
    pub(super) fn run_dial_queue(&mut self, now: Micros, commands: &mut Vec<Command>) {
        for _ in 0..self.dial_queue.len() {
            let Some(target) = self.dial_queue.pop_front() else {
                return;
            };
            if let Some(endpoint) = self.endpoints.get_mut(&target) {
                endpoint.is_in_dial_queue = false;
                self.dial_for_waiting(now, target, commands);
            }
        }
    }

    /// Returns true if the limits allow one more dial to the endpoint. If the limit on all
    /// connections is reached, an idle connection may be closed to make room.
    fn limits_allow_dial(&self, endpoint: &Endpoint) -> bool {
        let dials_to_one = (self.limits.concurrent_dials / DIALS_PER_ENDPOINT_DIVISOR).max(1);
        let total = self.total();
        let can_evict = total == self.limits.total && !self.idle.is_empty();
        self.dialling < self.limits.concurrent_dials
            && endpoint.dialling < dials_to_one
            && endpoint.open() < self.limits.per_endpoint
            && (total < self.limits.total || can_evict)
    }

    /// Returns the kind of dial to the endpoint that is allowed now; `None` if no dial is.
    pub(super) fn allowed_dial(&self, now: Micros, endpoint: &Endpoint) -> Option<DialKind> {
        if !endpoint.is_serving || !self.limits_allow_dial(endpoint) {
            return None;
        }
        // a dial was refused while connections were open: no further connection is dialled until
        // an answer on one of these shows a cap, or they break because of an outage
        let awaits_answer = endpoint
            .refused_dial
            .is_some_and(|refused| endpoint.open() >= refused.established);
        if awaits_answer {
            return None;
        }
        match &endpoint.cap {
            Some(cap) if endpoint.open() >= cap.connections => {
                cap.allows_trial(now).then_some(DialKind::Trial)
            }
            _ => Some(DialKind::Ordinary),
        }
    }

    pub(super) fn dial(
        &mut self,
        now: Micros,
        target: EndpointAddress,
        kind: DialKind,
        commands: &mut Vec<Command>,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(&target) else {
            return;
        };
        let connection = self.next_connection;
        self.next_connection += 1;
        self.dialling += 1;
        endpoint.dialling += 1;
        endpoint.counters.dials += 1;
        let is_trial = kind == DialKind::Trial;
        if is_trial && let Some(cap) = &mut endpoint.cap {
            cap.trials += 1;
        }
        let new = Connection {
            target,
            state: ConnectionState::Dialling { since: now },
            last_received_at: now,
            connected_at: now,
            calls: 0,
            has_served_call: false,
            is_trial,
        };
        self.connections.insert(connection, new);
        commands.push(Command::Dial { connection, target });
    }

    /// Records that a dial succeeded: the new connection becomes idle and goes to a waiting call.
    pub fn dial_succeeded(&mut self, now: Micros, connection: u64, commands: &mut Vec<Command>) {
        let Some(record) = self.connections.get_mut(&connection) else {
            return;
        };
        let ConnectionState::Dialling { .. } = record.state else {
            return;
        };
        record.last_received_at = now;
        record.connected_at = now;
        record.state = ConnectionState::Idle { since: now };
        let target = record.target;
        self.dialling -= 1;
        self.idle.insert((now, connection));
        if let Some(endpoint) = self.endpoints.get_mut(&target) {
            endpoint.dialling -= 1;
            endpoint.idle.push(connection);
        }
        self.assign_idle(now, target, connection, commands);
    }

    /// Records that a dial failed. A call that waited for the connection may be denied, or another
    /// dial begun.
    pub fn dial_failed(
        &mut self,
        now: Micros,
        connection: u64,
        failure: DialFailure,
        commands: &mut Vec<Command>,
    ) {
        let Some(record) = self.connections.get(&connection) else {
            return;
        };
        let ConnectionState::Dialling { since: began_at } = record.state else {
            return;
        };
        let target = record.target;
        let is_trial = record.is_trial;
        self.connections.remove(&connection);
        self.dialling -= 1;
        if is_trial && failure != DialFailure::Local {
            self.finish_trial(now, target, false);
        }
        let dial = FailedDial {
            target,
            began_at,
            is_trial,
            failure,
        };
        if !self.record_failed_dial(now, &dial) {
            return;
        }
        if self.fails_waiting_call(&dial) {
            self.deny_oldest(target, failure, commands);
        }
        self.dial_for_waiting(now, target, commands);
        self.run_dial_queue(now, commands);
        self.remove_if_retired_and_unused(target);
    }

    /// Counts a failed dial at its endpoint. Returns false if the pool has no record of the
    /// endpoint any more.
    fn record_failed_dial(&mut self, now: Micros, dial: &FailedDial) -> bool {
        let prewarm_not_before = now + self.limits.prewarm_delay;
        let learns_caps = self.limits.learn_caps;
        let Some(endpoint) = self.endpoints.get_mut(&dial.target) else {
            return false;
        };
        endpoint.dialling -= 1;
        *endpoint
            .counters
            .dial_failures
            .entry(dial.failure)
            .or_default() += 1;
        endpoint.delay_prewarm(prewarm_not_before);
        if learns_caps && dial.was_refused_with_open_connections(endpoint) && !dial.is_trial {
            // this may be a cap or an outage; an endpoint that is down resets the open connections
            // too, but their resets may arrive later than the refusal
            endpoint.refused_dial = Some(RefusedDial {
                established: endpoint.established(),
                at: now,
            });
        }
        true
    }

    /// Returns true if the call that has waited the longest fails together with the dial. It goes
    /// on waiting in three cases:
    ///
    /// - There are as many dials in flight as waiting calls, so one of them is for this call.
    /// - The dial timed out but had begun before the call came: its timeout says nothing about the
    ///   outcome of the next dial.
    /// - Connections to the endpoint are open and the dial was refused, or was a trial above the
    ///   learned cap on connections: the call may get one of the open connections.
    fn fails_waiting_call(&self, dial: &FailedDial) -> bool {
        let Some(endpoint) = self.endpoints.get(&dial.target) else {
            return false;
        };
        let has_established = endpoint.established() > 0;
        let may_get_another = endpoint.waiting.len() <= endpoint.dialling
            || dial.was_refused_with_open_connections(endpoint) && self.limits.learn_caps
            || dial.is_trial && has_established;
        let oldest = endpoint.waiting.front();
        let affects_oldest = dial.failure != DialFailure::TimedOut
            || oldest.is_some_and(|waiter| waiter.since <= dial.began_at);
        !may_get_another && affects_oldest
    }
}

/// A failed dial.
struct FailedDial {
    target: EndpointAddress,
    /// Time in microseconds at which the dial began.
    began_at: Micros,
    /// True if the dial was a trial above the endpoint's learned cap on connections.
    is_trial: bool,
    failure: DialFailure,
}

impl FailedDial {
    /// Returns true if the peer refused the dial while other connections to the endpoint were open.
    fn was_refused_with_open_connections(&self, endpoint: &Endpoint) -> bool {
        self.failure == DialFailure::Refused && endpoint.established() > 0
    }
}
