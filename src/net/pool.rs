//! Connection pool for the endpoints: owns the sockets and executes the commands of the pool's decision module
//! [`message_sender::pool`]. A call acquires a connection, uses it, and releases or discards it.
//!
//! `state` executes the commands, `connector` dials, `lease` is a call's exclusive hold on a connection, `limits`
//! derives the pool's limits from settings and file descriptors, `report` serves operators, `traffic` tracks the bytes
//! of one connection, and `status_line` parses the status line of an answer.

mod connector;
mod lease;
mod limits;
mod report;
mod state;
mod status_line;
mod traffic;

use connector::Connector;
pub use lease::{ConnectionLease, LeaseError};
pub use limits::limits;
use message_sender::pool::{CloseReason, DialFailure, EndpointAddress, LeaseDenied};
use message_sender::pool::{PoolLimits, PoolSettings};
use message_sender::{Micros, Settings};
use state::PoolState;
pub use status_line::SuccessLine;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::{Instant, timeout_at};
pub use traffic::Traffic;

/// Inputs of a new pool that no settings reload can change.
#[derive(Debug, Clone, Copy)]
pub struct PoolResources {
    /// Number of file descriptors that the process may hold open for all purposes. Bounds the number of connections.
    pub descriptors: usize,
    /// Number of connections for which the process has memory.
    pub max_connections: usize,
    /// Bytes of memory for large answers.
    pub answer_bytes: usize,
    /// Seed of the random delays before dials are retried and before connections are dialled ahead of demand.
    pub seed: u64,
}

#[cfg(test)]
impl PoolResources {
    /// Returns resources for a few connections.
    pub fn for_tests() -> Self {
        PoolResources {
            descriptors: 100,
            max_connections: 100,
            answer_bytes: 1 << 20,
            seed: 1,
        }
    }
}

/// Pool of the connections to all endpoints. Clones share the same pool.
#[derive(Clone)]
pub struct ConnectionPool(Rc<PoolState>);

fn duration(micros: Micros) -> Duration {
    Duration::from_micros(u64::try_from(micros).unwrap_or(0))
}

fn micros(duration: Duration) -> Micros {
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX)
}

impl ConnectionPool {
    /// Creates a pool without connections that dials over TCP.
    pub fn new(limits: PoolLimits, dial_timeout: Micros, resources: PoolResources) -> Self {
        let state = PoolState::new(Connector::Tcp, limits, dial_timeout, resources);
        ConnectionPool(Rc::new(state))
    }

    /// Creates a pool whose dials return `streams` one after another instead of TCP connections.
    #[cfg(test)]
    pub fn with_prepared_streams(
        streams: Vec<tokio::io::DuplexStream>,
        limits: PoolLimits,
    ) -> Self {
        let resources = PoolResources::for_tests();
        let connector = Connector::prepared(streams);
        let state = PoolState::new(connector, limits, message_sender::SECOND, resources);
        ConnectionPool(Rc::new(state))
    }

    /// Applies changed settings: the pool's limits, and `dial_timeout` in microseconds.
    pub fn apply_settings(&self, pool: &PoolSettings, settings: &Settings, dial_timeout: Micros) {
        self.0.set_dial_timeout(dial_timeout);
        let limits = limits(pool, self.0.resources(), settings);
        self.0.set_limits(limits);
    }

    /// Returns the free bytes of memory for large answers.
    pub fn answer_bytes(&self) -> Arc<Semaphore> {
        self.0.answer_bytes()
    }

    /// Enables the endpoint for calls, or retires it: its idle connections are closed, no new one is dialled, and calls
    /// that wait for a connection end without being sent.
    pub fn set_endpoint_enabled(&self, target: EndpointAddress, is_enabled: bool) {
        let now = self.0.now();
        self.0.update(|pool, commands| {
            if is_enabled {
                pool.enable_endpoint(now, target);
            } else {
                pool.retire_endpoint(target, commands);
            }
        });
    }

    /// Suspends sending, or resumes it. While it is suspended, calls that wait for a connection end without being sent.
    pub fn set_suspended(&self, is_suspended: bool) {
        self.0.update(|pool, commands| {
            if is_suspended {
                pool.suspend(commands);
            } else {
                pool.resume();
            }
        });
    }

    /// Checks that a call may still be sent to the endpoint, right before it is: the endpoint may have been retired since
    /// the call got its connection.
    ///
    /// # Errors
    /// Why the call must not be sent.
    pub fn check_may_send(&self, target: EndpointAddress) -> Result<(), LeaseError> {
        let denial = self.0.pool().denial(target);
        denial.map_or(Ok(()), |reason| Err(LeaseError::Denied(reason)))
    }

    /// Closes the idle connections to an endpoint. The endpoint stays enabled for calls over new connections.
    pub fn close_idle(&self, target: EndpointAddress) {
        self.0
            .update(|pool, commands| pool.close_idle(target, commands));
    }

    /// Applies the Retry-After delay (microseconds) that the endpoint's destination has sent: a call that still waits
    /// for a connection to the endpoint ends without being sent.
    pub fn apply_retry_after(&self, target: EndpointAddress, retry_after: Micros) {
        let until = self.0.now().saturating_add(retry_after);
        self.0
            .update(|pool, commands| pool.apply_retry_after(target, until, commands));
    }

    /// Sets the number of connections that the predecessor of a handover still holds; they count towards the limits.
    pub fn set_predecessor_connections(&self, count: usize) {
        let now = self.0.now();
        self.0
            .update(|pool, commands| pool.set_predecessor_connections(now, count, commands));
    }

    /// Closes all idle connections, stops keeping connections idle, and ends without sending them the calls that wait
    /// for a connection.
    pub fn shut_down(&self) {
        self.0.update(|pool, commands| pool.shut_down(commands));
    }

    /// Does the work that is due by time: closes expired idle connections, starts queued dials and dials ahead of
    /// demand. The caller runs this several times a second.
    pub fn run_maintenance(&self) {
        let now = self.0.now();
        self.0.update(|pool, commands| pool.tick(now, commands));
    }

    /// Acquires a connection to the endpoint that is ready for a request. If the call is dropped, the connection is
    /// closed, and `reason_if_dropped` is the recorded reason.
    ///
    /// # Errors
    /// The pool denied the call a connection, or no connection was available within the dial timeout.
    pub async fn acquire(
        &self,
        target: EndpointAddress,
        reason_if_dropped: &Rc<Cell<CloseReason>>,
    ) -> Result<ConnectionLease, LeaseError> {
        let asked_at = Instant::now();
        let deadline = asked_at + self.0.dial_timeout();
        loop {
            let mut lease = self.wait_for_lease(target, asked_at, deadline).await?;
            reason_if_dropped.set(CloseReason::Cancelled);
            lease.set_reason_if_dropped(reason_if_dropped.clone());
            // an idle connection may have been closed by its endpoint; it carried no byte of the call, so the call may
            // safely use another one
            if lease.idle_for.is_none() || lease.connection().sender.ready().await.is_ok() {
                return Ok(lease);
            }
            lease.discard(CloseReason::ClosedByPeer);
        }
    }

    async fn wait_for_lease(
        &self,
        target: EndpointAddress,
        asked_at: Instant,
        deadline: Instant,
    ) -> Result<ConnectionLease, LeaseError> {
        let mut wait = self.0.begin_wait(target);
        // check for an answer first: a call that comes here after its deadline may still get a connection that the pool
        // can lease at once
        let answer = match wait.receiver.try_recv() {
            Ok(answer) => answer,
            Err(_) => match timeout_at(deadline, &mut wait.receiver).await {
                Ok(answer) => answer.map_err(|_| LeaseError::NoAnswer)?,
                Err(_) if self.0.failed_locally_since(asked_at) => {
                    let failure = LeaseDenied::Dial(DialFailure::Local);
                    return Err(LeaseError::Denied(failure));
                }
                Err(_) => return Err(LeaseError::DialTimeout),
            },
        };
        answer.map_err(LeaseError::Denied)
    }
}

#[cfg(test)]
mod compatibility;
