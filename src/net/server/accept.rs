//! Accepts connections, limits how many are open by permits, and closes idle ones when no permit is free.

use crate::net::RateLimitedLog;
use crate::net::connection::{Activity, ConnectionState, StalledRequest};
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

/// Maximum number of connections that one search closes.
const MAX_CLOSED_AT_ONCE: usize = 16;

/// Accepts connections until `stop` turns true and runs `handle` on each in a task of its own. The number of permits
/// limits the connections that are open at once, which `connections` lists; `subsystem` is the prefix of log lines.
pub async fn accept<F>(
    subsystem: &'static str,
    listener: TcpListener,
    permits: Arc<Semaphore>,
    connections: Rc<OpenConnections>,
    mut stop: watch::Receiver<bool>,
    handle: impl Fn(TcpStream, Rc<ConnectionState>) -> F,
) where
    F: Future<Output = ()> + 'static,
{
    let error_log = RateLimitedLog::default();
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
/// permit and further ones wait in the kernel's queue. Meanwhile idle connections, those whose peers do not read their
/// answers, and those whose peers have stopped within a request are closed to free permits, since such peers could
/// otherwise keep all of them.
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
        connections.make_room(now, MAX_CLOSED_AT_ONCE);
        if let Ok(permit) = timeout(IDLE_CHECK_INTERVAL, permits.clone().acquire_owned()).await {
            return permit.ok();
        }
    }
}

/// Open connections by number, in the order in which they were accepted.
#[derive(Default)]
pub struct OpenConnections {
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

    /// Closes up to `count` connections to make room for others: those whose sending side is already shut come first,
    /// then those whose peers do not read their answers, then those that have been idle the longest. If there are none,
    /// refuses requests whose clients have stopped sending them. If all clients use their connections, those that were
    /// accepted first end after their next answers, so that clients take turns.
    fn make_room(&self, now: Instant, count: usize) {
        let closable = self.first_to_close(now, count);
        for state in &closable {
            state.make_room(now);
        }
        if closable.is_empty() && self.refuse_stalled(now, count, |_| true) == 0 {
            for state in self.first_by(count, |state| state.in_use_since(now)) {
                state.request_close();
            }
        }
    }

    /// Returns the first `count` connections to close; fewer if not that many may be closed yet.
    fn first_to_close(&self, now: Instant, count: usize) -> Vec<Rc<ConnectionState>> {
        self.first_by(count, |state| state.close_priority(now))
    }

    /// Refuses up to `count` stalled requests that hold reserved memory, those without progress for the longest time
    /// first.
    pub fn free_request_memory(&self, now: Instant, count: usize) {
        self.refuse_stalled(now, count, |request| request.holds_memory);
    }

    /// Refuses up to `count` stalled requests and returns how many there were.
    fn refuse_stalled(
        &self,
        now: Instant,
        count: usize,
        is_eligible: impl Fn(&StalledRequest) -> bool,
    ) -> usize {
        let stalled_since = |state: &ConnectionState| {
            let request = state.stalled_request(now).filter(&is_eligible)?;
            Some(request.since)
        };
        let stalled = self.first_by(count, stalled_since);
        for state in &stalled {
            state.refuse_stalled_request();
        }
        stalled.len()
    }

    /// Returns the `count` connections with the smallest keys, of those that have a key.
    fn first_by<K: Ord>(
        &self,
        count: usize,
        key: impl Fn(&ConnectionState) -> Option<K>,
    ) -> Vec<Rc<ConnectionState>> {
        let by_number = self.by_number.borrow();
        let mut candidates: Vec<_> = by_number
            .values()
            .filter_map(|state| Some((key(state)?, state)))
            .collect();
        candidates.sort_by(|(first, _), (second, _)| first.cmp(second));
        let first = candidates.into_iter().take(count);
        first.map(|(_, state)| state.clone()).collect()
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
