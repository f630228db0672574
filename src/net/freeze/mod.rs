//! The freeze calendar: asks the registry for it, and has the driver's gate know. Off unless the configuration has a `freeze`
//! object. `docs/freeze.md` states what is held and the bound.

pub mod settings;

use super::asking::{ask, whose_turn};
use super::clock::Clock;
use super::events::{DriverInput, FreezeChange};
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

/// One question, its answer read whole, takes no longer.
const ANSWER: Duration = Duration::from_secs(1);
/// Longest answer: the largest calendar.
const ANSWER_MOST: usize = 2 << 20;
/// A broken glass counts for so many polls without another answer.
const FRESH: u32 = 3;

/// What the part shares with the rest of the process.
pub struct Means {
    pub clock: Clock,
    pub seed: u64,
    pub inputs: mpsc::UnboundedSender<DriverInput>,
    /// Where the registry is.
    pub agent: watch::Receiver<SocketAddr>,
}

/// Follows the calendar for as long as the settings want it, until the process stops or hands over.
pub async fn follow(
    mut means: Means,
    mut wanted: watch::Receiver<Option<FreezeSettings>>,
    mut stopping: watch::Receiver<bool>,
) {
    let mut was_on = false;
    loop {
        let settings = wanted.borrow_and_update().clone();
        let Some(settings) = settings else {
            if std::mem::take(&mut was_on) {
                log(format_args!("freeze: off"));
                let _ = means.inputs.send(DriverInput::Freeze(FreezeChange::Off));
            }
            tokio::select! {
                changed = wanted.changed() => if changed.is_err() { return },
                _ = stopping.wait_for(|stopping| *stopping) => return,
            }
            continue;
        };
        if !std::mem::replace(&mut was_on, true) {
            log(format_args!(
                "freeze: what widens is held until the calendar is known"
            ));
        }
        let _ = means
            .inputs
            .send(DriverInput::Freeze(FreezeChange::On(settings.clone())));
        tokio::select! {
            () = poll(&mut means, &settings) => {}
            changed = wanted.changed() => if changed.is_err() { return },
            _ = stopping.wait_for(|stopping| *stopping) => return,
        }
    }
}

async fn poll(means: &mut Means, settings: &FreezeSettings) {
    let mut random = Pcg32::seed_from_u64(means.seed);
    let (mut turn, mut told) = (0, None);
    let every = Duration::from_millis(settings.poll_ms);
    loop {
        let address = whose_turn(turn, *means.agent.borrow_and_update(), &settings.others);
        let asked = means.clock.at(Instant::now());
        match ask::<FreezeUpdate>(
            address,
            Method::GET,
            "/v1/freeze",
            None,
            ANSWER,
            ANSWER_MOST,
        )
        .await
        {
            Ok(news) => {
                if told.take().is_some() {
                    log(format_args!("freeze: the calendar is known again"));
                }
                let asked = u64::try_from(asked).unwrap_or(0);
                let fresh = u64::try_from((every * FRESH).as_micros()).unwrap_or(u64::MAX);
                if means
                    .inputs
                    .send(DriverInput::Freeze(FreezeChange::Calendar {
                        asked_at: asked,
                        fresh_for: fresh,
                        update: news,
                    }))
                    .is_err()
                {
                    return;
                }
            }
            Err(error) => {
                turn += 1;
                let error = error.to_string();
                if told.as_ref() != Some(&error) {
                    log(format_args!("freeze: the calendar is not told: {error}"));
                    told = Some(error);
                }
            }
        }
        let part = f64::from(random.next_u32()) / f64::from(u32::MAX);
        sleep(every.mul_f64(0.75 + 0.25 * part)).await;
    }
}

#[cfg(test)]
mod tests;
