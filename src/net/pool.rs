//! The connections to the endpoints, from dial to close: carries out what the pool's rules say, and owns the sockets.
//! Calls acquire a connection, use it, and release or discard it.
//!
//! `state` carries out the rules' commands, `connector` makes connections, `lease` is what a call holds, `limits`
//! derives the limits from settings and descriptors, `report` is for operators, `traffic` watches one connection's
//! bytes, `status_line` the first line of an answer.

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
use std::time::Duration;
use tokio::time::{Instant, timeout_at};
pub use traffic::Traffic;

/// What the pool is made from; the rest comes with the settings.
#[derive(Debug, Clone, Copy)]
pub struct PoolResources {
    /// Descriptors that the process may hold.
    pub descriptors: usize,
    /// Seeds the moments of retries and of dials ahead of need.
    pub seed: u64,
}

/// All connections to endpoints.
#[derive(Clone)]
pub struct ConnectionPool(Rc<PoolState>);

fn duration(micros: Micros) -> Duration {
    Duration::from_micros(u64::try_from(micros).unwrap_or(0))
}

fn micros(duration: Duration) -> Micros {
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX)
}

impl ConnectionPool {
    /// A pool without connections.
    pub fn new(limits: PoolLimits, dial_timeout: Micros, resources: PoolResources) -> Self {
        let state = PoolState::new(Connector::Tcp, limits, dial_timeout, resources);
        ConnectionPool(Rc::new(state))
    }

    /// A pool without connections whose dials bring these streams, in turn.
    #[cfg(test)]
    pub fn ready(streams: Vec<tokio::io::DuplexStream>, limits: PoolLimits) -> Self {
        let resources = PoolResources {
            descriptors: 100,
            seed: 1,
        };
        let connector = Connector::ready(streams);
        let state = PoolState::new(connector, limits, message_sender::SECOND, resources);
        ConnectionPool(Rc::new(state))
    }

    /// Puts other settings in force.
    pub fn apply_settings(&self, pool: &PoolSettings, settings: &Settings, dial_timeout: Micros) {
        self.0.set_dial_timeout(dial_timeout);
        let limits = limits(pool, self.0.descriptors(), settings);
        self.0.set_limits(limits);
    }

    /// The endpoint takes calls from now on, or takes none any more.
    pub fn set_serving(&self, target: EndpointAddress, is_serving: bool) {
        let now = self.0.now();
        self.0.update(|pool, commands| {
            if is_serving {
                pool.enable_endpoint(now, target);
            } else {
                pool.retire_endpoint(target, commands);
            }
        });
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, target: EndpointAddress) {
        self.0
            .update(|pool, commands| pool.close_idle(target, commands));
    }

    /// The endpoint's destination has sent a Retry-After: a call that waits for a connection ends without being sent.
    pub fn apply_retry_after(&self, target: EndpointAddress, retry_after: Micros) {
        let until = self.0.now().saturating_add(retry_after);
        self.0
            .update(|pool, commands| pool.apply_retry_after(target, until, commands));
    }

    /// The predecessor of a handover holds so many connections.
    pub fn set_predecessor_connections(&self, count: usize) {
        let now = self.0.now();
        self.0
            .update(|pool, commands| pool.set_predecessor_connections(now, count, commands));
    }

    /// Closes all idle connections, keeps none from now on, and ends the calls that wait for one without sending them.
    pub fn shut_down(&self) {
        self.0.update(|pool, commands| pool.shut_down(commands));
    }

    /// Does what time alone brings; to be called some times a second.
    pub fn run_maintenance(&self) {
        let now = self.0.now();
        self.0.update(|pool, commands| pool.tick(now, commands));
    }

    /// Acquires a connection to the endpoint, ready to be written to. `reason_if_dropped` says why the connection is
    /// closed should its call be dropped.
    ///
    /// # Errors
    /// None is to be had, or none came up within the dial timeout.
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
            // one that has closed meanwhile carried nothing: another one is asked for
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
        // what is there already is taken whatever the time
        let answer = match wait.receiver.try_recv() {
            Ok(answer) => answer,
            Err(_) => match timeout_at(deadline, &mut wait.receiver).await {
                Ok(answer) => answer.map_err(|_| LeaseError::PoolEnded)?,
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
