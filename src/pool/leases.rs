//! Leases: a call acquires a connection, waiting if none is idle, and releases or discards the
//! connection when the call ends.

use super::Pool;
use super::endpoint::{Connection, ConnectionState, Waiter};
use super::learned_caps::AnsweredCall;
use super::messages::{
    AnswerKind, CloseReason, Command, DialFailure, EndpointAddress, LeaseDenied,
};
use crate::Micros;

impl Pool {
    /// Acquires a connection for a call. `waiter` is the call's number, which is never reused. The
    /// call waits until a [`Command::Lease`] or [`Command::Deny`] with this number.
    pub fn acquire(
        &mut self,
        now: Micros,
        target: EndpointAddress,
        waiter: u64,
        commands: &mut Vec<Command>,
    ) {
        if let Some(reason) = self.denial(target) {
            return commands.push(Command::Deny { waiter, reason });
        }
        let half_life = self.limits.demand_half_life;
        let Some(endpoint) = self.serving_endpoint_mut(target) else {
            return;
        };
        endpoint.waiting.push_back(Waiter {
            number: waiter,
            since: now,
        });
        endpoint.update_demand(now, half_life);
        endpoint.last_acquire_at = now;
        self.waiters.insert(waiter, target);
        if !self.lease_newest_idle(now, target, commands) {
            self.dial_for_waiting(now, target, commands);
        }
    }

    /// Leases the newest idle connection and returns true, or returns false if no connection is
    /// idle. Because the newest connection is used first, connections that are not needed reach
    /// their idle timeout.
    fn lease_newest_idle(
        &mut self,
        now: Micros,
        target: EndpointAddress,
        commands: &mut Vec<Command>,
    ) -> bool {
        while let Some(newest) = self.newest_idle(target) {
            if !self.is_idle_expired(now, newest) {
                self.lease(now, target, newest, commands);
                return true;
            }
            self.close(newest, CloseReason::IdleTimeout, commands);
        }
        false
    }

    fn newest_idle(&self, target: EndpointAddress) -> Option<u64> {
        self.endpoints.get(&target)?.idle.last().copied()
    }

    /// Leases an idle connection to the call that has waited the longest.
    pub(super) fn lease(
        &mut self,
        now: Micros,
        target: EndpointAddress,
        connection: u64,
        commands: &mut Vec<Command>,
    ) {
        let Some(record) = self.connections.get_mut(&connection) else {
            return;
        };
        let ConnectionState::Idle { since } = record.state else {
            return;
        };
        let Some(endpoint) = self.endpoints.get_mut(&target) else {
            return;
        };
        let Some(waiter) = endpoint.waiting.pop_front() else {
            return;
        };
        endpoint.idle.retain(|idle| *idle != connection);
        endpoint.leased += 1;
        endpoint.leased_with_served_call += usize::from(record.has_served_call);
        let idle_for = (record.calls > 0).then_some(now - since);
        endpoint.counters.reuses += u64::from(idle_for.is_some());
        record.calls += 1;
        record.state = ConnectionState::Leased {
            since: now,
            leased_with_served_call: endpoint.leased_with_served_call,
            idle_for,
        };
        self.idle.remove(&(since, connection));
        self.waiters.remove(&waiter.number);
        commands.push(Command::Lease {
            waiter: waiter.number,
            connection,
            idle_for,
        });
    }

    /// Removes a call that no longer waits. The dial that was begun for the call goes on, and the
    /// new connection can serve another call.
    pub fn cancel_wait(&mut self, waiter: u64) {
        let Some(target) = self.waiters.remove(&waiter) else {
            return;
        };
        if let Some(endpoint) = self.endpoints.get_mut(&target) {
            endpoint.waiting.retain(|queued| queued.number != waiter);
        }
        self.remove_if_retired_and_unused(target);
    }

    /// Records the answer to a call on a leased connection. Returns true if the first call on a new
    /// connection was rejected while connections are scarce in a large fleet. The endpoint then
    /// presumably has no room for the connection, and the rejection says nothing about how many
    /// calls the endpoint accepts.
    pub fn record_answer(&mut self, now: Micros, connection: u64, answer: AnswerKind) -> bool {
        let Some(record) = self.connections.get_mut(&connection) else {
            return false;
        };
        let ConnectionState::Leased {
            since,
            leased_with_served_call,
            ..
        } = record.state
        else {
            return false;
        };
        let call = AnsweredCall {
            answer,
            began_at: since,
            leased_with_served_call,
            is_first: record.calls == 1,
            connected_at: record.connected_at,
        };
        record.last_received_at = now;
        self.scarcity.record(answer, call.is_first);
        let is_first_served_call = answer == AnswerKind::Served && !record.has_served_call;
        record.has_served_call |= is_first_served_call;
        let target = record.target;
        let was_trial = std::mem::take(&mut record.is_trial);
        if let Some(endpoint) = self.endpoints.get_mut(&target) {
            endpoint.leased_with_served_call += usize::from(is_first_served_call);
        }
        let is_rejected = answer == AnswerKind::Rejected;
        if was_trial {
            self.finish_trial(now, target, !is_rejected);
        } else {
            self.learn_from_answer(now, target, &call);
        }
        is_rejected && call.is_first && self.closes_idle_at_once()
    }

    /// Ends the lease of a connection that can carry another call.
    pub fn release(&mut self, now: Micros, connection: u64, commands: &mut Vec<Command>) {
        let Some(record) = self.connections.get_mut(&connection) else {
            return;
        };
        let ConnectionState::Leased { .. } = record.state else {
            return;
        };
        record.last_received_at = now;
        record.state = ConnectionState::Idle { since: now };
        let target = record.target;
        let has_served_call = record.has_served_call;
        self.idle.insert((now, connection));
        let half_life = self.limits.demand_half_life;
        let Some(endpoint) = self.endpoints.get_mut(&target) else {
            return;
        };
        endpoint.update_demand(now, half_life);
        endpoint.leased -= 1;
        endpoint.leased_with_served_call -= usize::from(has_served_call);
        endpoint.idle.push(connection);
        self.assign_idle(now, target, connection, commands);
    }

    /// Ends the lease of a connection that is closed because of `reason` and can carry no further
    /// call.
    pub fn discard(
        &mut self,
        now: Micros,
        connection: u64,
        reason: CloseReason,
        commands: &mut Vec<Command>,
    ) {
        let Some(record) = self.connections.get(&connection) else {
            return;
        };
        let ConnectionState::Leased {
            since, idle_for, ..
        } = record.state
        else {
            return;
        };
        let target = record.target;
        self.update_endpoint_after_discard(now, target, reason);
        if let (CloseReason::Reset, Some(idle_for)) = (reason, idle_for) {
            self.shorten_idle_timeout(now, target, idle_for);
        }
        self.remove_connection(connection, reason);
        if matches!(reason, CloseReason::Reset | CloseReason::ClosedByPeer) {
            self.update_refused_dial(target);
        }
        if reason == CloseReason::TimedOut {
            self.close_suspect_idle(target.address, since, commands);
        }
        self.dial_for_waiting(now, target, commands);
        self.run_dial_queue(now, commands);
        self.remove_if_retired_and_unused(target);
    }

    fn update_endpoint_after_discard(
        &mut self,
        now: Micros,
        target: EndpointAddress,
        reason: CloseReason,
    ) {
        let half_life = self.limits.demand_half_life;
        let prewarm_not_before = now + self.limits.prewarm_delay;
        let Some(endpoint) = self.endpoints.get_mut(&target) else {
            return;
        };
        endpoint.update_demand(now, half_life);
        if matches!(reason, CloseReason::Reset | CloseReason::TimedOut) {
            endpoint.delay_prewarm(prewarm_not_before);
        }
    }

    /// Records that the peer closed an idle connection. For a leased connection nothing happens
    /// here: the end of its call is reported with [`Pool::discard`].
    pub fn peer_closed(&mut self, connection: u64, commands: &mut Vec<Command>) {
        if let Some(&Connection {
            state: ConnectionState::Idle { .. },
            target,
            ..
        }) = self.connections.get(&connection)
        {
            self.close(connection, CloseReason::ClosedByPeer, commands);
            self.update_refused_dial(target);
        }
    }

    /// Denies the call that has waited the longest, because its dial failed.
    pub(super) fn deny_oldest(
        &mut self,
        target: EndpointAddress,
        failure: DialFailure,
        commands: &mut Vec<Command>,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(&target) else {
            return;
        };
        let Some(waiter) = endpoint.waiting.pop_front() else {
            return;
        };
        self.waiters.remove(&waiter.number);
        commands.push(Command::Deny {
            waiter: waiter.number,
            reason: LeaseDenied::Dial(failure),
        });
    }

    /// Denies the calls that have waited the shortest at an endpoint, until at most `max_waiting`
    /// calls wait.
    pub(super) fn deny_newest_beyond(
        &mut self,
        target: EndpointAddress,
        max_waiting: usize,
        reason: LeaseDenied,
        commands: &mut Vec<Command>,
    ) {
        while let Some(endpoint) = self.endpoints.get_mut(&target)
            && endpoint.waiting.len() > max_waiting
            && let Some(waiter) = endpoint.waiting.pop_back()
        {
            self.waiters.remove(&waiter.number);
            commands.push(Command::Deny {
                waiter: waiter.number,
                reason,
            });
        }
    }
}
