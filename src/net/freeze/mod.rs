//! The freeze calendar: asks the registry for it, and has the driver's gate know. Off unless the configuration has a `freeze`
//! object. `docs/freeze.md` states what is held and the bound.

pub mod settings;

use super::discovery::{CallError, call};
use super::events::{Clock, Freezing, Input};
use super::log;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use milletturn_ledger::gate::News;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use settings::FreezeSettings;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout};

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
    pub inputs: mpsc::UnboundedSender<Input>,
    /// Where the registry is.
    pub agent: watch::Receiver<SocketAddr>,
}

#[derive(Debug, Error)]
enum PollError {
    #[error(transparent)]
    Call(#[from] CallError),
    #[error("{0}; see GET /v1/freeze of the registry")]
    Refused(StatusCode),
    #[error("the answer can't be read: {0}; is the registry of this version?")]
    Json(#[from] serde_json::Error),
    #[error("the answer did not come whole in time; see GET /v1/status of each replica")]
    Body,
    #[error("bad request: {0}")]
    Request(#[from] hyper::http::Error),
}

/// Follows the calendar for as long as the settings want it, until the process stops or hands over.
pub async fn follow(
    mut means: Means, mut wanted: watch::Receiver<Option<FreezeSettings>>,
    mut stopping: watch::Receiver<bool>,
) {
    let mut was_on = false;
    loop {
        let settings = wanted.borrow_and_update().clone();
        let Some(settings) = settings else {
            if std::mem::take(&mut was_on) {
                log(format_args!("freeze: off"));
                let _ = means.inputs.send(Input::Freezing(Freezing::Off));
            }
            tokio::select! {
                changed = wanted.changed() => if changed.is_err() { return },
                _ = stopping.wait_for(|stopping| *stopping) => return,
            }
            continue;
        };
        if !std::mem::replace(&mut was_on, true) {
            log(format_args!("freeze: what widens is held until the calendar is known"));
        }
        let _ = means.inputs.send(Input::Freezing(Freezing::On(settings.clone())));
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
        let all = 1 + settings.others.len();
        let address = match turn % all {
            0 => *means.agent.borrow_and_update(),
            other => settings.others[other - 1],
        };
        let asked = means.clock.at(Instant::now());
        match timeout(ANSWER, question(address)).await.map_err(|_| PollError::Body).and_then(|news| news) {
            Ok(news) => {
                if told.take().is_some() {
                    log(format_args!("freeze: the calendar is known again"));
                }
                let asked = u64::try_from(asked).unwrap_or(0);
                let fresh = u64::try_from((every * FRESH).as_micros()).unwrap_or(u64::MAX);
                if means.inputs.send(Input::Freezing(Freezing::Told { asked, fresh, news })).is_err() {
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

async fn question(address: SocketAddr) -> Result<News, PollError> {
    let request = Request::get("/v1/freeze").header(HOST, address.to_string()).body(Empty::<Bytes>::new())?;
    let response = call(address, request, ANSWER).await?;
    if response.status() != StatusCode::OK {
        return Err(PollError::Refused(response.status()));
    }
    let body = Limited::new(response.into_body(), ANSWER_MOST).collect().await;
    Ok(serde_json::from_slice(&body.map_err(|_| PollError::Body)?.to_bytes())?)
}
