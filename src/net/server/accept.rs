//! Accepts connections, no more at once than there are permits, and closes idle ones to make room.

use crate::net::RateLimitedLog;
use crate::net::connection::ConnectionState;
use crate::net::local_errors::{RETRY_INTERVAL, concerns_one_connection};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::{Instant, sleep, timeout};

/// Until the next connection is accepted where only one of them failed.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(1);
/// How often an idle connection is looked for while a client waits for a permit.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Accepts connections until `end` turns true, as many at once as there are permits, and has each handled.
pub async fn accept<F>(
    who: &'static str,
    listener: TcpListener,
    permits: Arc<Semaphore>,
    mut end: watch::Receiver<bool>,
    handle: impl Fn(TcpStream, Rc<ConnectionState>) -> F,
) where
    F: Future<Output = ()> + 'static,
{
    let faults = RateLimitedLog::default();
    let connections = Rc::new(OpenConnections::default());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Ok(_) = end.wait_for(|end| *end) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let Some(permit) = acquire_permit(who, &permits, &connections, &faults).await
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
                faults.log(format_args!("{who}: no connection accepted: {error}"));
                let pause = if concerns_one_connection(&error) {
                    ACCEPT_RETRY_INTERVAL
                } else {
                    RETRY_INTERVAL
                };
                sleep(pause).await;
            }
        }
    }
}

/// A permit for one more connection; none if there will be none any more.
///
/// One connection beyond the limit waits here and more in the kernel's queue, so that calls never lack descriptors;
/// peers that ask for nothing must not keep it waiting.
async fn acquire_permit(
    who: &'static str,
    permits: &Arc<Semaphore>,
    connections: &OpenConnections,
    faults: &RateLimitedLog,
) -> Option<OwnedSemaphorePermit> {
    loop {
        if let Ok(permit) = permits.clone().try_acquire_owned() {
            return Some(permit);
        }
        if let Some(state) = connections.longest_idle(Instant::now()) {
            faults.log(format_args!(
                "{who}: connection limit reached, idle connections are closed"
            ));
            state.request_close();
        }
        if let Ok(permit) = timeout(IDLE_CHECK_INTERVAL, permits.clone().acquire_owned()).await {
            return permit.ok();
        }
    }
}

/// The connections that are open, in the order in which they came.
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

    /// The connection that may be closed soonest: one that is closing already, or has been idle the longest.
    fn longest_idle(&self, now: Instant) -> Option<Rc<ConnectionState>> {
        let by_number = self.by_number.borrow();
        let closable = by_number
            .values()
            .filter_map(|state| Some((state.close_priority(now)?, state)));
        let (_, state) = closable.min_by_key(|(priority, _)| *priority)?;
        Some(state.clone())
    }
}

#[cfg(test)]
mod tests;
