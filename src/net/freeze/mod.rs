//! The freeze calendar: polls the registry for it and tells the driver. Off unless the configuration has a `freeze`
//! object. `docs/freeze.md` states what is held back and the bound.

pub mod settings;

use super::clock::Clock;
use super::events::{DriverInput, FreezeChange};
use super::http_client::{RequestLimits, replica_for_turn, round_trip_json};
use super::log;
use hyper::Method;
use quota_ledger::freeze::FreezeUpdate;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use settings::FreezeSettings;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep};

/// One request, its answer read whole, takes no longer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest answer, in bytes: the largest calendar.
const MAX_ANSWER_BYTES: usize = 2 << 20;
/// A break-glass override counts for so many polls without another answer.
const OVERRIDE_POLLS: u32 = 3;

/// What the client needs of the rest of the process.
pub struct Dependencies {
    /// Module time.
    pub clock: Clock,
    /// Seed of the jitter between polls.
    pub seed: u64,
    /// The driver, which holds back what the calendar says.
    pub driver: mpsc::UnboundedSender<DriverInput>,
    /// The address of the registry, which SIGHUP may change.
    pub registry: watch::Receiver<SocketAddr>,
}

/// Follows the calendar for as long as the settings enable it, until the process shuts down or hands over.
pub async fn run(
    mut dependencies: Dependencies,
    mut settings: watch::Receiver<Option<FreezeSettings>>,
    mut shutdown: watch::Receiver<bool>,
) {
    let mut enabled = false;
    loop {
        let current = settings.borrow_and_update().clone();
        let Some(current) = current else {
            if std::mem::take(&mut enabled) {
                log(format_args!("freeze: off"));
                dependencies.notify(FreezeChange::Off);
            }
            tokio::select! {
                changed = settings.changed() => if changed.is_err() { return },
                _ = shutdown.wait_for(|shutdown| *shutdown) => return,
            }
            continue;
        };
        if !std::mem::replace(&mut enabled, true) {
            log(format_args!(
                "freeze: widening changes are held back until the calendar is known"
            ));
        }
        dependencies.notify(FreezeChange::On(current.clone()));
        let poller = Poller::new(&mut dependencies, &current);
        tokio::select! {
            () = poller.run() => {}
            changed = settings.changed() => if changed.is_err() { return },
            _ = shutdown.wait_for(|shutdown| *shutdown) => return,
        }
    }
}

impl Dependencies {
    /// Notifies the driver; false if it is gone.
    fn notify(&self, change: FreezeChange) -> bool {
        self.driver.send(DriverInput::Freeze(change)).is_ok()
    }
}

/// Polls by one version of the settings.
struct Poller<'a> {
    dependencies: &'a mut Dependencies,
    settings: &'a FreezeSettings,
    random: Pcg32,
    /// Polls that failed: each moves on to the next replica.
    failed: usize,
    /// The error of the last poll, so that it is logged once.
    last_error: Option<String>,
}

impl<'a> Poller<'a> {
    fn new(dependencies: &'a mut Dependencies, settings: &'a FreezeSettings) -> Self {
        Poller {
            random: Pcg32::seed_from_u64(dependencies.seed),
            dependencies,
            settings,
            failed: 0,
            last_error: None,
        }
    }

    /// Polls until the driver is gone.
    async fn run(mut self) {
        let interval = Duration::from_millis(self.settings.poll_ms);
        while self.poll(interval).await {
            let jitter = f64::from(self.random.next_u32()) / f64::from(u32::MAX);
            sleep(interval.mul_f64(0.75 + 0.25 * jitter)).await;
        }
    }

    /// Polls once and notifies the driver; false if it is gone.
    async fn poll(&mut self, interval: Duration) -> bool {
        let registry = *self.dependencies.registry.borrow_and_update();
        let replica = replica_for_turn(self.failed, registry, &self.settings.replicas);
        let asked_at = self.dependencies.clock.at(Instant::now());
        let answer = round_trip_json::<FreezeUpdate>(
            replica,
            Method::GET,
            "/v1/freeze",
            None,
            RequestLimits {
                timeout: REQUEST_TIMEOUT,
                max_answer_bytes: MAX_ANSWER_BYTES,
            },
        );
        match answer.await {
            Ok(update) => {
                if self.last_error.take().is_some() {
                    log(format_args!("freeze: calendar polls succeed again"));
                }
                let fresh_for = (interval * OVERRIDE_POLLS).as_micros();
                self.dependencies.notify(FreezeChange::Calendar {
                    polled_at: u64::try_from(asked_at).unwrap_or(0),
                    override_valid_for: u64::try_from(fresh_for).unwrap_or(u64::MAX),
                    update,
                })
            }
            Err(error) => {
                self.record_failure(error.to_string());
                true
            }
        }
    }

    fn record_failure(&mut self, error: String) {
        self.failed += 1;
        if self.last_error.as_ref() != Some(&error) {
            log(format_args!("freeze: calendar poll failed: {error}"));
        }
        self.last_error = Some(error);
    }
}

#[cfg(test)]
mod tests;
