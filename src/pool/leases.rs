//! Leases: a call acquires a connection, waits for one if need be, and releases or discards it at its end.

use super::Pool;
use super::endpoint::{Connection, ConnectionState, Waiter};
use super::learned_caps::AnsweredCall;
use super::messages::{
    AnswerKind, CloseReason, Command, DialFailure, EndpointAddress, LeaseDenied,
};
use crate::Micros;

impl Pool {
    /// A call asks for a connection; `waiter` is its number, never used again.
    pub fn acquire(
        &mut self,
        now: Micros,
        target: EndpointAddress,
        waiter: u64,
        commands: &mut Vec<Command>,
    ) {
        let half_life = self.limits.demand_half_life;
        let is_shutting_down = self.is_shutting_down;
        let Some(endpoint) = self.serving_endpoint_mut(target) else {
            return commands.push(Command::Deny {
                waiter,
                reason: LeaseDenied::Retired,
            });
        };
        if is_shutting_down {
            return commands.push(Command::Deny {
                waiter,
                reason: LeaseDenied::ShuttingDown,
            });
        }
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

    /// Leases the newest idle connection, so that those beyond need expire; whether there was one.
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

    /// Gives an idle connection to the call that has waited the longest.
    pub(super) fn lease(
        &mut self,
        now: Micros,
        target: EndpointAddress,
        connection: u64,
        commands: &mut Vec<Command>,
    ) {
        let Some(known) = self.connections.get_mut(&connection) else {
            return;
        };
        let ConnectionState::Idle { since } = known.state else {
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
        endpoint.leased_proven += usize::from(known.is_proven);
        let idle_for = (known.calls > 0).then_some(now - since);
        endpoint.counters.reuses += u64::from(idle_for.is_some());
        known.calls += 1;
        known.state = ConnectionState::Leased {
            since: now,
            leased_proven: endpoint.leased_proven,
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

    /// The call no longer waits. Its dial goes on, for the next one.
    pub fn cancel_wait(&mut self, waiter: u64) {
        let Some(target) = self.waiters.remove(&waiter) else {
            return;
        };
        if let Some(endpoint) = self.endpoints.get_mut(&target) {
            endpoint.waiting.retain(|queued| queued.number != waiter);
        }
        self.forget_if_done(target);
    }

    /// An answer came on a leased connection; true if it was rejected because there was no room for the connection, so
    /// that it says nothing of how many calls the endpoint accepts.
    pub fn record_answer(&mut self, now: Micros, connection: u64, answer: AnswerKind) -> bool {
        let Some(known) = self.connections.get_mut(&connection) else {
            return false;
        };
        let ConnectionState::Leased {
            since,
            leased_proven,
            ..
        } = known.state
        else {
            return false;
        };
        let call = AnsweredCall {
            answer,
            began_at: since,
            leased_proven,
            is_first: known.calls == 1,
            connected_at: known.connected_at,
        };
        known.last_received_at = now;
        self.scarcity.record(answer, call.is_first);
        let newly_proven = answer == AnswerKind::Served && !known.is_proven;
        known.is_proven |= newly_proven;
        let target = known.target;
        let was_trial = std::mem::take(&mut known.is_trial);
        if let Some(endpoint) = self.endpoints.get_mut(&target) {
            endpoint.leased_proven += usize::from(newly_proven);
        }
        let is_rejected = answer == AnswerKind::Rejected;
        if was_trial {
            self.finish_trial(now, target, !is_rejected);
        } else {
            self.learn_from_answer(now, target, &call);
        }
        is_rejected && call.is_first && self.closes_idle_at_once()
    }

    /// The call is over and its connection can carry another.
    pub fn release(&mut self, now: Micros, connection: u64, commands: &mut Vec<Command>) {
        let Some(known) = self.connections.get_mut(&connection) else {
            return;
        };
        let ConnectionState::Leased { .. } = known.state else {
            return;
        };
        known.last_received_at = now;
        known.state = ConnectionState::Idle { since: now };
        let target = known.target;
        let is_proven = known.is_proven;
        self.idle.insert((now, connection));
        let half_life = self.limits.demand_half_life;
        let Some(endpoint) = self.endpoints.get_mut(&target) else {
            return;
        };
        endpoint.update_demand(now, half_life);
        endpoint.leased -= 1;
        endpoint.leased_proven -= usize::from(is_proven);
        endpoint.idle.push(connection);
        self.assign_idle(now, target, connection, commands);
    }

    /// The call is over, and its connection with it.
    pub fn discard(
        &mut self,
        now: Micros,
        connection: u64,
        reason: CloseReason,
        commands: &mut Vec<Command>,
    ) {
        let Some(known) = self.connections.get(&connection) else {
            return;
        };
        let ConnectionState::Leased {
            since, idle_for, ..
        } = known.state
        else {
            return;
        };
        let target = known.target;
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
        self.forget_if_done(target);
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

    /// The peer closed a connection. For one that carries a call, the end of the call tells.
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

    /// The call that has waited the longest ends with a dial that failed.
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

    /// At a retired endpoint, only calls whose dial is in flight may wait.
    pub(super) fn deny_beyond_dials(
        &mut self,
        target: EndpointAddress,
        commands: &mut Vec<Command>,
    ) {
        let Some(endpoint) = self.endpoints.get(&target) else {
            return;
        };
        if !endpoint.is_serving {
            let dialling = endpoint.dialling;
            self.deny_newest_beyond(target, dialling, LeaseDenied::Retired, commands);
        }
    }

    /// Lets no more than so many calls wait at an endpoint, those that have waited the longest.
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
