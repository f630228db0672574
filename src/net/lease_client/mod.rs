//! Client of the leases that the registry grants to senders: it starts and ends with the settings, renews in time,
//! and answers operators meanwhile. What is leased, and how it is asked for, is the caller's: `net::agreement` leases
//! rules, `net::ledger` leases quotas.

mod request_stats;

use super::clock::Clock;
use super::events::{DriverInput, ReportRequest};
use super::log;
pub use request_stats::RequestStats;
use std::net::SocketAddr;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};

/// What a lease client needs of the rest of the process.
pub struct Dependencies {
    /// Module time.
    pub clock: Clock,
    /// This sender's name.
    pub name: String,
    /// The driver, which applies what is leased.
    pub driver: mpsc::UnboundedSender<DriverInput>,
    /// The address of the registry, which SIGHUP may change.
    pub registry: watch::Receiver<SocketAddr>,
}

impl Dependencies {
    /// Module time, in microseconds.
    pub fn now(&self) -> u64 {
        u64::try_from(self.clock.at(Instant::now())).unwrap_or(0)
    }

    /// Sends the driver what shall bind all that is sent from now on; returns once it does.
    pub async fn apply(&self, input: impl FnOnce(oneshot::Sender<()>) -> DriverInput) {
        let (applied, is_applied) = oneshot::channel();
        let _ = self.driver.send(input(applied));
        // the driver is gone only when the process ends or has handed over
        let _ = is_applied.await;
    }
}

/// What a lease client is told while it runs.
pub struct Channels<S> {
    /// The settings that enable it; none: it is off.
    pub settings: watch::Receiver<Option<S>>,
    /// Operators' requests for its report; one that is dropped says that it is off.
    pub reports: mpsc::Receiver<ReportRequest>,
    /// True once the process shuts down.
    pub shutdown: watch::Receiver<bool>,
}

/// Something that the registry leases to senders.
pub trait LeaseKind {
    /// The settings that enable it.
    type Settings: Clone;
    /// Its leases by one version of the settings.
    type Session<'a>: LeaseSession
    where
        Self: 'a;
    /// What its log lines begin with.
    const NAME: &'static str;

    /// What it needs of the rest of the process.
    fn dependencies(&self) -> &Dependencies;

    /// Applies the fallback and begins to lease. No two sessions of one sender have the same incarnation.
    async fn start(&mut self, settings: Self::Settings, incarnation: u64) -> Self::Session<'_>;

    /// Has the driver drop all that was leased, and the fallback.
    async fn disable(&self);
}

/// The leases of one kind by one version of its settings.
pub trait LeaseSession {
    /// Asks for a lease where one is due; returns when to call this again.
    async fn renew(&mut self) -> Instant;

    /// When the lease expires, if it is worth a line in the log.
    fn expiry(&self) -> Option<Instant> {
        None
    }

    /// The time that [`LeaseSession::expiry`] named has come.
    fn handle_expiry(&mut self) {}

    /// Returns when the registry has moved and a lease shall be asked for at once.
    async fn registry_address_changed(&mut self) {
        std::future::pending().await
    }

    /// The report for operators, as JSON.
    fn report(&self) -> String;
}

/// Leases for as long as the settings enable it, until the process shuts down or hands over.
pub async fn run<K: LeaseKind>(mut kind: K, channels: Channels<K::Settings>) {
    let Channels {
        mut settings,
        mut reports,
        mut shutdown,
    } = channels;
    // differs between any two processes of one name
    let mut incarnation = kind.dependencies().now();
    let mut enabled = false;
    loop {
        let current = settings.borrow_and_update().clone();
        let Some(current) = current else {
            if std::mem::take(&mut enabled) {
                log(format_args!("{}: off", K::NAME));
                kind.disable().await;
            }
            tokio::select! {
                changed = settings.changed() => if changed.is_err() { return },
                Some(request) = reports.recv() => drop(request),
                _ = shutdown.wait_for(|shutdown| *shutdown) => return,
            }
            continue;
        };
        enabled = true;
        incarnation += 1;
        let mut session = kind.start(current, incarnation).await;
        tokio::select! {
            () = keep_leasing(&mut session, &mut reports) => {}
            changed = settings.changed() => if changed.is_err() { return },
            // a lease lasts to its end: a process that shuts down asks for no more
            _ = shutdown.wait_for(|shutdown| *shutdown) => return,
        }
    }
}

async fn keep_leasing(
    session: &mut impl LeaseSession,
    reports: &mut mpsc::Receiver<ReportRequest>,
) {
    loop {
        let next = session.renew().await;
        wait_until(next, session, reports).await;
    }
}

/// Answers operators and handles the lease's expiry until it is time to renew.
async fn wait_until(
    next: Instant,
    session: &mut impl LeaseSession,
    reports: &mut mpsc::Receiver<ReportRequest>,
) {
    loop {
        let expiry = session.expiry();
        tokio::select! {
            () = sleep_until(next) => return,
            () = sleep_until(expiry.unwrap_or(next)), if expiry.is_some() => session.handle_expiry(),
            Some(request) = reports.recv() => {
                // an operator that has gone asks again
                let _ = request.send(session.report());
            }
            () = session.registry_address_changed() => return,
        }
    }
}
