//! Guards that a call holds: first a wait for a connection, then the lease of the connection. Dropping a guard ends the
//! wait or the lease in the pool.

use super::connector::Connection;
use super::state::PoolState;
use message_sender::pool::{AnswerKind, CloseReason, LeaseDenied};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::oneshot;

/// Reason why a call got no connection.
#[derive(Debug, Error)]
pub enum LeaseError {
    /// No connection was available within the dial timeout.
    #[error("no connection was available within the dial timeout")]
    DialTimeout,
    /// No connection was available before the latest time at which the call may begin.
    #[error("no connection was available before the call had to begin")]
    TooLate,
    /// The call was denied a connection for this reason: by the pool's decision module, or at the dial timeout because
    /// a dial had failed by an error of the local host since the call began to wait.
    #[error("no connection: {0:?}")]
    Denied(LeaseDenied),
    /// The channel for the pool's answer was closed without an answer.
    #[error("the connection pool gave no answer")]
    NoAnswer,
}

/// Answer of the pool to a call that waits for a connection: its lease, or the reason for denying one.
pub(super) type WaitAnswer = Result<ConnectionLease, LeaseDenied>;

/// Registered wait of a call for a connection; `receiver` yields the pool's answer. Dropping this guard cancels the
/// wait.
pub(super) struct ConnectionWait<'a> {
    pub(super) pool: &'a Rc<PoolState>,
    pub(super) waiter: u64,
    pub(super) receiver: oneshot::Receiver<WaitAnswer>,
}

impl Drop for ConnectionWait<'_> {
    fn drop(&mut self) {
        self.pool.end_wait(self.waiter);
    }
}

/// Exclusive hold of one call on a connection. The connection is closed if this is dropped without
/// [`ConnectionLease::release`].
pub struct ConnectionLease {
    pool: Rc<PoolState>,
    connection_number: u64,
    connection: Option<Connection>,
    /// Time that the connection was idle before this lease; `None` if the connection has not carried a call before.
    pub idle_for: Option<Duration>,
    /// Reason recorded for the close if the call drops the lease. `None` before the call has received the connection
    /// and after `release`; the connection then returns to the pool if it is still usable.
    reason_if_dropped: Option<Rc<Cell<CloseReason>>>,
}

impl ConnectionLease {
    pub(super) fn new(
        pool: Rc<PoolState>,
        connection_number: u64,
        connection: Option<Connection>,
        idle_for: Option<Duration>,
    ) -> Self {
        ConnectionLease {
            pool,
            connection_number,
            connection,
            idle_for,
            reason_if_dropped: None,
        }
    }

    pub(super) fn set_reason_if_dropped(&mut self, reason: Rc<Cell<CloseReason>>) {
        self.reason_if_dropped = Some(reason);
    }

    /// Returns the leased connection.
    pub fn connection(&mut self) -> &mut Connection {
        self.connection
            .as_mut()
            .expect("present until the lease is dropped")
    }

    /// Records the kind of an answer on this connection. Returns true if the answer is a rejection that the pool
    /// attributes to a lack of connection capacity at the endpoint.
    pub fn record_answer(&self, answer: AnswerKind) -> bool {
        self.pool.record_answer(self.connection_number, answer)
    }

    /// Ends the lease without closing the connection. The connection returns to the pool for another call if it is
    /// still usable.
    pub fn release(mut self) {
        self.reason_if_dropped = None;
    }

    /// Ends the lease and closes the connection, for `reason`.
    pub fn discard(self, reason: CloseReason) {
        if let Some(dropped) = &self.reason_if_dropped {
            dropped.set(reason);
        }
    }
}

impl Drop for ConnectionLease {
    fn drop(&mut self) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        let reason = match &self.reason_if_dropped {
            Some(reason) => reason.get(),
            // the answer arrived after its call was abandoned, when the sending side was already shut
            None if connection.traffic.is_shut() => CloseReason::Cancelled,
            // the connection's read buffer stays as large as that head
            None if connection.traffic.holds_head_memory() => CloseReason::Surplus,
            None if connection.sender.is_closed() => CloseReason::ClosedByPeer,
            None => {
                return self
                    .pool
                    .return_connection(self.connection_number, connection);
            }
        };
        self.pool.discard(self.connection_number, reason);
    }
}
