//! Rules on which the senders agree: asks the registry for leases, and tells the decisions what they allow. Off unless the
//! configuration has an `agreement` object. `docs/agreement.md` states the protocol and its bound.

pub mod settings;

use super::asking::{self, AskError, whose_turn};
use super::clock::Clock;
use super::discovery::Backoff;
use super::events::{DriverInput, MAX_BODY_BYTES, ReportRequest};
use super::log;
use hyper::Method;
use message_sender::{
    AgreedRules, ClassBounds, Effect, LeasedBounds, MILLISECOND, Micros, RuleBounds,
};
use serde_json::json;
use settings::Agreement;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};
use versioned_config::{
    Effect as Agreeable, Grant, GrantResult, LeaseHolder, LeaseRequest, Rules, VersionTag,
};

/// One question, its answer read whole, takes no longer.
const ANSWER: Duration = Duration::from_secs(1);
/// A lease is renewed after this part of it: three questions may be lost. Where that fails, tried again after such a part of
/// what is left, and no sooner than after half of it: nearer to its end all senders together would ask ever more often.
const RENEW: u32 = 4;

/// What the part shares with the rest of the process.
pub struct Means {
    pub clock: Clock,
    pub name: String,
    pub inputs: mpsc::UnboundedSender<DriverInput>,
    /// Where the registry is.
    pub agent: watch::Receiver<SocketAddr>,
    /// The version of the list that the decisions go by.
    pub listed: Rc<Cell<u64>>,
    pub backoff: Backoff,
}

#[derive(Debug, Error)]
enum LeaseError {
    #[error(transparent)]
    Ask(#[from] AskError),
    #[error("its rules forbid what this sender does without a lease")]
    BelowFloor,
    #[error("version {0:?} lies before what was in force here")]
    Back(VersionTag),
}

/// How long to rest after a question that failed, while a lease lasts.
fn retry(left: Duration, lease: Duration) -> Duration {
    (left / RENEW).max(lease / (2 * RENEW))
}

/// What rules allow, in the decisions' own terms.
pub fn bounds(rules: &Rules) -> RuleBounds {
    let micros = |ms: u64| {
        Micros::try_from(ms)
            .unwrap_or(Micros::MAX)
            .saturating_mul(MILLISECOND)
    };
    let effect = |effect: Agreeable| match effect {
        Agreeable::NonIdempotent => Effect::NonIdempotent,
        Agreeable::IdempotencyKeyInZone { window_ms } => Effect::IdempotencyKey {
            window: micros(window_ms),
            same_zone_only: true,
        },
        Agreeable::IdempotencyKey { window_ms } => Effect::IdempotencyKey {
            window: micros(window_ms),
            same_zone_only: false,
        },
        Agreeable::Idempotent => Effect::Idempotent,
    };
    let classes = rules.classes.iter().map(|(name, class)| {
        let bound = ClassBounds {
            accepted: class.accepted,
            effect: effect(class.effect),
            max_attempts: class.max_attempts as usize,
            ordered: class.in_order,
            key_backoff: micros(class.key_backoff_ms),
        };
        (name.clone(), bound)
    });
    let limit = |name: &str| {
        rules
            .limits
            .get(name)
            .and_then(|most| usize::try_from(*most).ok())
    };
    RuleBounds {
        classes: classes.collect(),
        max_calls: limit("calls"),
        max_messages: limit("messages"),
    }
}

/// Holds leases for as long as the settings want it, until the process stops or hands over.
pub async fn hold(
    mut means: Means,
    mut wanted: watch::Receiver<Option<Agreement>>,
    mut queries: mpsc::Receiver<ReportRequest>,
    mut stopping: watch::Receiver<bool>,
) {
    // differs between any two processes of one name
    let mut life = u64::try_from(means.clock.at(Instant::now())).unwrap_or(0);
    let mut was_on = false;
    loop {
        let agreement = wanted.borrow_and_update().clone();
        let Some(agreement) = agreement else {
            if std::mem::take(&mut was_on) {
                log(format_args!("agreement: off"));
                means.bind(None).await;
            }
            tokio::select! {
                changed = wanted.changed() => if changed.is_err() { return },
                Some(query) = queries.recv() => drop(query),
                _ = stopping.wait_for(|stopping| *stopping) => return,
            }
            continue;
        };
        was_on = true;
        life += 1;
        let floor = bounds(&agreement.floor);
        means
            .bind(Some(AgreedRules {
                leased: None,
                fallback: floor.clone(),
            }))
            .await;
        log(format_args!("agreement: on the floor until a lease is had"));
        let holder = LeaseHolder::new(agreement.floor.clone(), life);
        let (lease, told, lapsed, asked, granted, failed) = (Duration::ZERO, None, true, 0, 0, 0);
        let mut part = Part {
            means: &mut means,
            agreement,
            holder,
            floor,
            lease,
            told,
            lapsed,
            asked,
            granted,
            failed,
        };
        tokio::select! {
            () = part.run(&mut queries) => {}
            changed = wanted.changed() => if changed.is_err() { return },
            // what is held lasts as long as it lasts: a process that ends asks for no more
            _ = stopping.wait_for(|stopping| *stopping) => return,
        }
    }
}

impl Means {
    fn now(&self) -> u64 {
        u64::try_from(self.clock.at(Instant::now())).unwrap_or(0)
    }

    /// Has rules bind all that is sent from now on; back once they do.
    async fn bind(&self, agreed: Option<AgreedRules>) {
        let (binds, bound) = oneshot::channel();
        let _ = self.inputs.send(DriverInput::AgreedRules {
            rules: agreed.map(Box::new),
            applied: binds,
        });
        // the driver is gone only when the process ends or has handed over
        let _ = bound.await;
    }
}

/// Agreeing by one set of settings.
struct Part<'a> {
    means: &'a mut Means,
    agreement: Agreement,
    holder: LeaseHolder,
    floor: RuleBounds,
    /// How long the last lease was given for.
    lease: Duration,
    /// The last fault that was logged.
    told: Option<String>,
    /// It was logged that no lease is held.
    lapsed: bool,
    asked: u64,
    granted: u64,
    failed: u64,
}

impl Part<'_> {
    async fn run(&mut self, queries: &mut mpsc::Receiver<ReportRequest>) {
        let mut turn = 0;
        loop {
            let begun = Instant::now();
            let asked = self.ask(turn).await;
            let lease = match &asked {
                Ok(lease) => {
                    self.granted += 1;
                    self.told = None;
                    self.means.backoff.advance(false);
                    self.lease = *lease;
                    Some(*lease)
                }
                Err(error) => {
                    self.failed += 1;
                    turn += 1;
                    self.tell(error.to_string());
                    None
                }
            };
            let part = 0.75 + 0.5 * self.means.backoff.part();
            let left = self
                .holder
                .valid_until(self.means.now())
                .map(|until| until.saturating_sub(self.means.now()));
            let rest = match (lease, left) {
                (Some(lease), _) => (lease / RENEW).mul_f64(part),
                // while a lease lasts it is worth asking; after that all that lost theirs would ask together
                (None, Some(left)) => retry(Duration::from_micros(left), self.lease).mul_f64(part),
                (None, None) => {
                    let rest = self.means.backoff.spread();
                    self.means.backoff.advance(true);
                    rest
                }
            };
            self.rest_until(begun + rest.max(Duration::from_millis(20)), queries)
                .await;
        }
    }

    /// Answers operators and notices the end of the lease until it is time for the next question.
    async fn rest_until(&mut self, at: Instant, queries: &mut mpsc::Receiver<ReportRequest>) {
        loop {
            let until = self.holder.valid_until(self.means.now());
            let ends = until.and_then(|until| Micros::try_from(until).ok());
            let ends = ends.map(|until| self.means.clock.instant(until));
            tokio::select! {
                () = sleep_until(at) => return,
                () = sleep_until(ends.unwrap_or(at)), if ends.is_some() => self.notice_lapse(),
                Some(query) = queries.recv() => {
                    // an operator that has gone asks again
                    let _ = query.send(self.report());
                }
                // another registry may answer
                Ok(()) = self.means.agent.changed() => return,
            }
        }
    }

    fn notice_lapse(&mut self) {
        let holds = self.holder.tag(self.means.now()).is_some();
        if !holds && !std::mem::replace(&mut self.lapsed, true) {
            log(format_args!(
                "agreement: the lease has run out, on the floor"
            ));
        }
    }

    fn tell(&mut self, fault: String) {
        self.notice_lapse();
        if self.told.as_ref() != Some(&fault) {
            log(format_args!("agreement: no lease: {fault}"));
            self.told = Some(fault);
        }
    }

    /// Asks one replica for a lease, and has it bind; for how long it lasts.
    async fn ask(&mut self, turn: usize) -> Result<Duration, LeaseError> {
        let address = whose_turn(
            turn,
            *self.means.agent.borrow_and_update(),
            &self.agreement.others,
        );
        let ask = self.holder.request(self.means.now());
        self.asked += 1;
        let LeaseRequest {
            incarnation: life,
            acts_on,
            ..
        } = ask;
        let question = json!({ "sender": self.means.name, "life": life, "acts_on": acts_on,
            "rev": self.means.listed.get(), "floor": self.agreement.floor });
        let grant: Grant = asking::ask(
            address,
            Method::POST,
            "/v1/lease",
            Some(question),
            ANSWER,
            MAX_BODY_BYTES,
        )
        .await?;
        let (tag, lease) = (grant.tag, Duration::from_micros(grant.lease));
        let leased = bounds(&grant.rules);
        match self.holder.apply_grant(ask, grant, self.means.now()) {
            GrantResult::Outdated | GrantResult::VersionRegressed => {
                return Err(LeaseError::Back(tag));
            }
            GrantResult::BelowFallback => return Err(LeaseError::BelowFloor),
            GrantResult::Renewed => {}
            GrantResult::Changed => {
                let step = if tag.complete {
                    "whole"
                } else {
                    "the meet of it and the one before"
                };
                log(format_args!(
                    "agreement: version {} ({step}) for {lease:?}",
                    tag.version
                ));
            }
        }
        self.lapsed = false;
        let until = self
            .holder
            .valid_until(self.means.now())
            .and_then(|until| Micros::try_from(until).ok());
        let leased = until.map(|until| LeasedBounds {
            bounds: leased,
            until,
        });
        // the next question says that it acts on this: it must by then
        self.means
            .bind(Some(AgreedRules {
                leased,
                fallback: self.floor.clone(),
            }))
            .await;
        Ok(lease)
    }

    fn report(&self) -> String {
        let now = self.means.now();
        let left = self
            .holder
            .valid_until(now)
            .map(|until| until.saturating_sub(now) / 1000);
        json!({
            "sender": self.means.name, "acts_on": self.holder.tag(now), "left_ms": left,
            "until_us": self.holder.valid_until(now), "rules": self.holder.rules(now), "rev": self.means.listed.get(),
            "asked": self.asked, "granted": self.granted, "failed": self.failed, "fault": self.told,
        })
        .to_string()
    }
}

#[cfg(test)]
mod tests;
