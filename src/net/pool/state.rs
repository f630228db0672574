//! State of the connection pool: the decision module [`Pool`], the idle sockets and the waiting calls. Executes the
//! commands of the decision module.

use super::connector::{Connection, Connector};
use super::lease::{ConnectionLease, ConnectionWait, WaitAnswer};
use super::{PoolResources, duration, micros};
use crate::net::RateLimitedLog;
use crate::net::head_memory::HeadMemory;
use crate::net::message_log;
use crate::net::stream::ConnectError;
use message_sender::Micros;
use message_sender::pool::{
    AnswerKind, CloseReason, Command, DialFailure, EndpointAddress, Pool, PoolLimits,
};
use std::cell::{Cell, RefCell, RefMut};
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Semaphore, oneshot};
use tokio::time::Instant;

pub(super) struct PoolState {
    started_at: Instant,
    connector: Connector,
    resources: PoolResources,
    /// One permit for each free byte of the memory for large answers.
    answer_bytes: Arc<Semaphore>,
    pool: RefCell<Pool>,
    /// Established connections that no call holds, by connection number.
    idle: RefCell<HashMap<u64, Connection>>,
    /// Channels on which the waiting calls receive the pool's answer, by waiter number.
    answer_senders: RefCell<HashMap<u64, oneshot::Sender<WaitAnswer>>>,
    next_waiter: Cell<u64>,
    dial_timeout: Cell<Duration>,
    /// Time of the last dial that failed by an error of the local host, such as a lack of file descriptors.
    last_local_failure: Cell<Option<Instant>>,
    failure_log: RateLimitedLog,
}

impl PoolState {
    pub(super) fn new(
        connector: Connector,
        limits: PoolLimits,
        dial_timeout: Micros,
        resources: PoolResources,
    ) -> Self {
        PoolState {
            started_at: Instant::now(),
            connector,
            resources,
            answer_bytes: Arc::new(Semaphore::new(resources.answer_bytes)),
            pool: RefCell::new(Pool::new(limits, resources.seed)),
            idle: RefCell::default(),
            answer_senders: RefCell::default(),
            next_waiter: Cell::default(),
            dial_timeout: Cell::new(duration(dial_timeout)),
            last_local_failure: Cell::default(),
            failure_log: RateLimitedLog::default(),
        }
    }

    /// Returns the time in microseconds since the pool was created, the clock of the decision module.
    pub(super) fn now(&self) -> Micros {
        micros(self.started_at.elapsed())
    }

    pub(super) fn pool(&self) -> RefMut<'_, Pool> {
        self.pool.borrow_mut()
    }

    pub(super) fn resources(&self) -> PoolResources {
        self.resources
    }

    pub(super) fn answer_bytes(&self) -> Arc<Semaphore> {
        self.answer_bytes.clone()
    }

    pub(super) fn dial_timeout(&self) -> Duration {
        self.dial_timeout.get()
    }

    pub(super) fn set_dial_timeout(&self, dial_timeout: Micros) {
        self.dial_timeout.set(duration(dial_timeout));
    }

    pub(super) fn set_limits(self: &Rc<Self>, limits: PoolLimits) {
        let now = self.now();
        let has_changed = limits != *self.pool.borrow().limits();
        if has_changed {
            self.update(|pool, commands| pool.set_limits(now, limits, commands));
        }
    }

    /// Returns whether a dial has failed by an error of the local host at or after `since`.
    pub(super) fn failed_locally_since(&self, since: Instant) -> bool {
        self.last_local_failure.get().is_some_and(|at| at >= since)
    }

    /// Applies `change` to the decision module and executes the commands that it returns.
    pub(super) fn update(self: &Rc<Self>, change: impl FnOnce(&mut Pool, &mut Vec<Command>)) {
        let mut commands = Vec::new();
        change(&mut self.pool.borrow_mut(), &mut commands);
        for command in commands {
            self.execute(command);
        }
    }

    fn execute(self: &Rc<Self>, command: Command) {
        match command {
            Command::Dial { connection, target } => {
                let pool = self.clone();
                tokio::task::spawn_local(async move { pool.dial(connection, target).await });
            }
            Command::Close { connection } => {
                let closed = self.idle.borrow_mut().remove(&connection);
                drop(closed);
            }
            Command::Lease {
                waiter,
                connection,
                idle_for,
            } => {
                let idle_connection = self.idle.borrow_mut().remove(&connection);
                let idle_for = idle_for.map(duration);
                let lease =
                    ConnectionLease::new(self.clone(), connection, idle_connection, idle_for);
                self.send_answer(waiter, Ok(lease));
            }
            Command::Deny { waiter, reason } => self.send_answer(waiter, Err(reason)),
        }
    }

    fn send_answer(&self, waiter: u64, answer: WaitAnswer) {
        let answer_sender = self.answer_senders.borrow_mut().remove(&waiter);
        // a call that stopped waiting has removed its entry; the lease that it would have received returns its
        // connection to the pool when dropped
        if let Some(answer_sender) = answer_sender {
            drop(answer_sender.send(answer));
        }
    }

    /// Requests a connection from the decision module. The answer may be ready as soon as this returns.
    pub(super) fn begin_wait(self: &Rc<Self>, target: EndpointAddress) -> ConnectionWait<'_> {
        let waiter = self.next_waiter.get();
        self.next_waiter.set(waiter + 1);
        let (sender, receiver) = oneshot::channel();
        self.answer_senders.borrow_mut().insert(waiter, sender);
        let wait = ConnectionWait {
            pool: self,
            waiter,
            receiver,
        };
        let now = self.now();
        self.update(|pool, commands| pool.acquire(now, target, waiter, commands));
        wait
    }

    pub(super) fn end_wait(&self, waiter: u64) {
        self.answer_senders.borrow_mut().remove(&waiter);
        self.pool.borrow_mut().cancel_wait(waiter);
    }

    pub(super) fn record_answer(&self, connection_number: u64, answer: AnswerKind) -> bool {
        let now = self.now();
        self.pool
            .borrow_mut()
            .record_answer(now, connection_number, answer)
    }

    /// Returns a connection to the pool at the end of its lease, so that it can carry another call.
    pub(super) fn return_connection(
        self: &Rc<Self>,
        connection_number: u64,
        connection: Connection,
    ) {
        let now = self.now();
        self.idle.borrow_mut().insert(connection_number, connection);
        self.update(|pool, commands| pool.release(now, connection_number, commands));
    }

    /// Ends a lease whose connection is closed, and logs `reason`.
    pub(super) fn discard(self: &Rc<Self>, connection_number: u64, reason: CloseReason) {
        message_log::log_connection_close(format_args!("connection {connection_number}"), &reason);
        let now = self.now();
        self.update(|pool, commands| pool.discard(now, connection_number, reason, commands));
    }

    async fn dial(self: &Rc<Self>, connection_number: u64, target: EndpointAddress) {
        let timeout = self.dial_timeout.get();
        let head_memory = HeadMemory::new(self.answer_bytes());
        let connected = self.connector.connect(target.address, timeout, head_memory);
        let error = match connected.await {
            Ok(new) => {
                let pool = self.clone();
                tokio::task::spawn_local(async move {
                    new.connection_task.await;
                    pool.update(|pool, commands| pool.peer_closed(connection_number, commands));
                });
                self.idle
                    .borrow_mut()
                    .insert(connection_number, new.connection);
                let now = self.now();
                return self.update(|pool, commands| {
                    pool.dial_succeeded(now, connection_number, commands)
                });
            }
            Err(error) => error,
        };
        let failure = self.classify(error);
        let now = self.now();
        self.update(|pool, commands| pool.dial_failed(now, connection_number, failure, commands));
    }

    /// Classifies a failed dial. An error of the local host is logged and its time recorded, so that a call that waited
    /// for a connection at that time does not count against the endpoint's health.
    fn classify(&self, error: ConnectError) -> DialFailure {
        match error {
            ConnectError::Peer(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                DialFailure::Refused
            }
            ConnectError::Peer(_) => DialFailure::Other,
            ConnectError::Timeout => DialFailure::TimedOut,
            ConnectError::Local(error) => {
                self.failure_log
                    .log(format_args!("calls: dial failed: {error}"));
                self.last_local_failure.set(Some(Instant::now()));
                DialFailure::Local
            }
        }
    }
}
