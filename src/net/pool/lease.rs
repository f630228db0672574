//! What a call holds of the pool: a wait for a connection, and then the connection itself. Both come back to the pool
//! when they are dropped.

use super::connector::Connection;
use super::state::PoolState;
use message_sender::pool::{AnswerKind, CloseReason, LeaseDenied};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::oneshot;

/// Why a call has no connection.
#[derive(Debug, Error)]
pub enum LeaseError {
    /// None came up within the dial timeout.
    #[error("no connection came up within the dial timeout")]
    DialTimeout,
    /// None came up before the call had to begin.
    #[error("no connection came up before the call had to begin")]
    TooLate,
    /// The pool's rules deny one.
    #[error("no connection: {0:?}")]
    Denied(LeaseDenied),
    /// The pool has ended.
    #[error("the pool has ended")]
    PoolEnded,
}

/// What the pool answers to a call that waits.
pub(super) type WaitAnswer = Result<ConnectionLease, LeaseDenied>;

/// A call's wait for a connection; it ends when this is dropped.
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

/// A connection that one call has to itself. Dropped without [`ConnectionLease::release`], it is closed.
pub struct ConnectionLease {
    pool: Rc<PoolState>,
    number: u64,
    connection: Option<Connection>,
    /// How long it had been idle; none if it is new.
    pub idle_for: Option<Duration>,
    /// Why it is closed should its call drop it; none as long as no call has taken it up, or once it is released.
    reason_if_dropped: Option<Rc<Cell<CloseReason>>>,
}

impl ConnectionLease {
    pub(super) fn new(
        pool: Rc<PoolState>,
        number: u64,
        connection: Option<Connection>,
        idle_for: Option<Duration>,
    ) -> Self {
        ConnectionLease {
            pool,
            number,
            connection,
            idle_for,
            reason_if_dropped: None,
        }
    }

    pub(super) fn set_reason_if_dropped(&mut self, reason: Rc<Cell<CloseReason>>) {
        self.reason_if_dropped = Some(reason);
    }

    /// The connection.
    pub fn connection(&mut self) -> &mut Connection {
        self.connection
            .as_mut()
            .expect("taken only when the lease ends")
    }

    /// An answer has come; true if it was rejected because there was no room for the connection.
    pub fn record_answer(&self, answer: AnswerKind) -> bool {
        self.pool.record_answer(self.number, answer)
    }

    /// The call is over and the connection can carry another.
    pub fn release(mut self) {
        self.reason_if_dropped = None;
    }

    /// The connection is of no more use.
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
            // an answer that came too late leaves it as its call was abandoned
            None if connection.traffic.is_shut() => CloseReason::Cancelled,
            None if connection.sender.is_closed() => CloseReason::ClosedByPeer,
            None => return self.pool.take_back(self.number, connection),
        };
        self.pool.discard(self.number, reason);
    }
}
