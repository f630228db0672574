//! Accepts connections, limits how many are open by permits, and closes idle ones when no permit is free.

use crate::net::RateLimitedLog;
use crate::net::connection::{Activity, ConnectionState};
use crate::net::local_errors::{RETRY_INTERVAL, concerns_one_connection};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::{Instant, sleep, timeout};

/// Delay before the next accept after an error that concerns only a single connection.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(1);
/// Interval between searches for an idle connection to close while a new connection waits for a permit.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Accepts connections until `stop` turns true and runs `handle` on each in a task of its own. The number of permits
/// limits the connections that are open at once; `subsystem` is the prefix of log lines.
pub async fn accept<F>(
    subsystem: &'static str,
    listener: TcpListener,
    permits: Arc<Semaphore>,
    mut stop: watch::Receiver<bool>,
    handle: impl Fn(TcpStream, Rc<ConnectionState>) -> F,
) where
    F: Future<Output = ()> + 'static,
{
    let error_log = RateLimitedLog::default();
    let connections = Rc::new(OpenConnections::default());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Ok(_) = stop.wait_for(|stop| *stop) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let Some(permit) =
                    acquire_permit(subsystem, &permits, &connections, &error_log).await
                else {
                    return;
                };
                let connections = connections.clone();
                let (number, state) = connections.insert(Instant::now());
                let handled = handle(stream, state.clone());
                tokio::task::spawn_local(async move {
                    handled.await;
                    connections.remove(number);
                    drop(permit);
                });
            }
            Err(error) => {
                error_log.log(format_args!("{subsystem}: accept failed: {error}"));
                let delay = if concerns_one_connection(&error) {
                    ACCEPT_RETRY_INTERVAL
                } else {
                    RETRY_INTERVAL
                };
                sleep(delay).await;
            }
        }
    }
}

/// Acquires the permit of one more connection; `None` if the semaphore is closed.
///
/// The limit keeps file descriptors free for calls to endpoints. At the limit, one accepted connection waits here for a
/// permit and further ones wait in the kernel's queue. Meanwhile idle connections, and those whose peers do not read
/// their answers, are closed to free a permit, since such peers could otherwise keep all permits.
async fn acquire_permit(
    subsystem: &'static str,
    permits: &Arc<Semaphore>,
    connections: &OpenConnections,
    error_log: &RateLimitedLog,
) -> Option<OwnedSemaphorePermit> {
    loop {
        if let Ok(permit) = permits.clone().try_acquire_owned() {
            return Some(permit);
        }
        error_log.log(format_args!(
            "{subsystem}: connection limit reached; closing idle and stalled connections: {}",
            connections.counts()
        ));
        let now = Instant::now();
        if let Some(state) = connections.first_to_close(now) {
            state.make_room(now);
        }
        if let Ok(permit) = timeout(IDLE_CHECK_INTERVAL, permits.clone().acquire_owned()).await {
            return permit.ok();
        }
    }
}

/// Open connections by number, in the order in which they were accepted.
#[derive(Default)]
struct OpenConnections {
    by_number: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    next_number: Cell<u64>,
}

impl OpenConnections {
    fn insert(&self, now: Instant) -> (u64, Rc<ConnectionState>) {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let state = Rc::new(ConnectionState::new(now));
        self.by_number.borrow_mut().insert(number, state.clone());
        (number, state)
    }

    fn remove(&self, number: u64) {
        self.by_number.borrow_mut().remove(&number);
    }

    /// Counts the connections by what they do.
    fn counts(&self) -> ActivityCounts {
        let mut counts = ActivityCounts::default();
        for state in self.by_number.borrow().values() {
            *match state.activity() {
                Activity::Busy => &mut counts.busy,
                Activity::Idle => &mut counts.idle,
                Activity::Closing => &mut counts.closing,
                Activity::WriteBlocked => &mut counts.write_blocked,
            } += 1;
        }
        counts
    }

    /// Returns the connection to close first: one whose sending side is already shut, or else one whose peer does not
    /// read its answers, or else the one that has been idle the longest. `None` if no connection may be closed yet.
    fn first_to_close(&self, now: Instant) -> Option<Rc<ConnectionState>> {
        let by_number = self.by_number.borrow();
        let closable = by_number
            .values()
            .filter_map(|state| Some((state.close_priority(now)?, state)));
        let (_, state) = closable.min_by_key(|(priority, _)| *priority)?;
        Some(state.clone())
    }
}

/// Numbers of open connections, by what they do.
#[derive(Debug, Default)]
struct ActivityCounts {
    busy: usize,
    idle: usize,
    closing: usize,
    write_blocked: usize,
}

impl fmt::Display for ActivityCounts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ActivityCounts {
            busy,
            idle,
            closing,
            write_blocked,
        } = self;
        write!(
            formatter,
            "{busy} busy, {idle} idle, {closing} closing, {write_blocked} whose peers do not read"
        )
    }
}

#[cfg(test)]
mod tests;
