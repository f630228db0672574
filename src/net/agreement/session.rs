//! Leases of rules by one version of the settings.

use super::RulesLease;
use super::bounds::bounds;
use super::messages::{AgreementReport, LeaseRequestBody};
use super::settings::AgreementSettings;
use crate::net::events::MAX_BODY_BYTES;
use crate::net::http_client::{RequestError, RequestLimits, replica_for_turn, round_trip_json};
use crate::net::lease_client::{LeaseSession, RequestStats};
use crate::net::log;
use crate::net::sorted_json::to_sorted_json;
use hyper::Method;
use message_sender::{AgreedRules, LeasedBounds, Micros, RuleBounds};
use std::time::Duration;
use thiserror::Error;
use tokio::time::Instant;
use versioned_config::{Grant, GrantResult, LeaseHolder, LeaseRequest, Rules, VersionTag};

/// One request, its answer read whole, takes no longer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// A lease is renewed after this part of it: three requests may be lost. Where that fails, tried again after such a part of
/// what is left, and no sooner than after half of it: nearer to its end all senders together would ask ever more often.
const RENEWALS_PER_LEASE: u32 = 4;
/// Shortest pause between two requests.
const MIN_PAUSE: Duration = Duration::from_millis(20);

/// Why there is no lease.
#[derive(Debug, Error)]
enum LeaseError {
    #[error(transparent)]
    Request(#[from] RequestError),
    #[error("the request can't be written: {0}")]
    Encode(#[from] serde_json::Error),
    #[error("its rules forbid what this sender does without a lease")]
    BelowFallback,
    #[error("version {0:?} lies before what was in force here")]
    OlderVersion(VersionTag),
}

/// How long to pause after a request that failed, while a lease lasts.
pub(super) fn retry_pause(left: Duration, lease: Duration) -> Duration {
    (left / RENEWALS_PER_LEASE).max(lease / (2 * RENEWALS_PER_LEASE))
}

/// Leases of rules by one version of the settings.
pub struct RulesSession<'a> {
    lease: &'a mut RulesLease,
    settings: AgreementSettings,
    holder: LeaseHolder,
    fallback: RuleBounds,
    /// How long the last lease was granted for.
    granted_for: Duration,
    /// It was logged that no lease is held.
    expiry_logged: bool,
    requests: RequestStats,
}

impl<'a> RulesSession<'a> {
    /// A session that holds no lease yet.
    pub(super) fn new(
        lease: &'a mut RulesLease,
        settings: AgreementSettings,
        fallback: RuleBounds,
        incarnation: u64,
    ) -> Self {
        RulesSession {
            lease,
            holder: LeaseHolder::new(settings.fallback.clone(), incarnation),
            settings,
            fallback,
            granted_for: Duration::ZERO,
            expiry_logged: true,
            requests: RequestStats::default(),
        }
    }

    fn now(&self) -> u64 {
        self.lease.dependencies.now()
    }

    /// When the lease expires, in module time.
    fn expires_at(&self) -> Option<Micros> {
        let until = self.holder.valid_until(self.now())?;
        Micros::try_from(until).ok()
    }

    /// How long the lease lasts from now on.
    fn time_left(&self) -> Option<Duration> {
        let now = self.now();
        let until = self.holder.valid_until(now)?;
        Some(Duration::from_micros(until.saturating_sub(now)))
    }

    /// The pause before the next request.
    fn pause(&mut self, granted: bool) -> Duration {
        let jitter = 0.75 + 0.5 * self.lease.backoff.random_fraction();
        if granted {
            return (self.granted_for / RENEWALS_PER_LEASE).mul_f64(jitter);
        }
        // while a lease lasts it is worth asking; after that all that lost theirs would ask together
        if let Some(left) = self.time_left() {
            return retry_pause(left, self.granted_for).mul_f64(jitter);
        }
        let pause = self.lease.backoff.next_delay();
        self.lease.backoff.advance(true);
        pause
    }

    fn record_failure(&mut self, error: &LeaseError) {
        self.handle_expiry();
        if self.requests.record_failure(error.to_string()) {
            log(format_args!("agreement: lease request failed: {error}"));
        }
    }

    /// Asks one replica for a lease and has the driver apply it; returns how long it lasts.
    async fn request(&mut self) -> Result<Duration, LeaseError> {
        let registry = *self.lease.dependencies.registry.borrow_and_update();
        let replica = replica_for_turn(
            self.requests.replica_turn(),
            registry,
            &self.settings.replicas,
        );
        let request = self.holder.request(self.now());
        self.requests.sent += 1;
        let body = self.request_body(&request)?;
        let grant: Grant = round_trip_json(
            replica,
            Method::POST,
            "/v1/lease",
            Some(body),
            RequestLimits {
                timeout: REQUEST_TIMEOUT,
                max_answer_bytes: MAX_BODY_BYTES,
            },
        )
        .await?;
        self.apply_grant(request, grant).await
    }

    fn request_body(&self, request: &LeaseRequest) -> Result<serde_json::Value, serde_json::Error> {
        serde_json::to_value(LeaseRequestBody {
            sender: &self.lease.dependencies.name,
            incarnation: request.incarnation,
            acts_on: request.acts_on,
            list_version: self.lease.list_version.get(),
            fallback: &self.settings.fallback,
        })
    }

    /// Applies the answer to a request and has the driver apply it; returns how long the lease lasts.
    async fn apply_grant(
        &mut self,
        request: LeaseRequest,
        grant: Grant,
    ) -> Result<Duration, LeaseError> {
        let tag = grant.tag;
        let granted_for = Duration::from_micros(grant.lease);
        let leased = bounds(&grant.rules);
        match self.holder.apply_grant(request, grant, self.now()) {
            GrantResult::Outdated | GrantResult::VersionRegressed => {
                return Err(LeaseError::OlderVersion(tag));
            }
            GrantResult::BelowFallback => return Err(LeaseError::BelowFallback),
            GrantResult::Renewed => {}
            GrantResult::Changed => log_version(tag, granted_for),
        }
        self.expiry_logged = false;
        let rules = AgreedRules {
            leased: self.expires_at().map(|until| LeasedBounds {
                bounds: leased,
                until,
            }),
            fallback: self.fallback.clone(),
        };
        // the next request says that the sender acts on this: it must by then
        self.lease.apply(Some(rules)).await;
        Ok(granted_for)
    }
}

fn log_version(tag: VersionTag, granted_for: Duration) {
    let step = if tag.complete {
        "complete"
    } else {
        "intersection with the version before"
    };
    log(format_args!(
        "agreement: version {} ({step}) for {granted_for:?}",
        tag.version
    ));
}

impl LeaseSession for RulesSession<'_> {
    async fn renew(&mut self) -> Instant {
        let began = Instant::now();
        let granted = match self.request().await {
            Ok(granted_for) => {
                self.requests.record_grant();
                self.lease.backoff.advance(false);
                self.granted_for = granted_for;
                true
            }
            Err(error) => {
                self.record_failure(&error);
                false
            }
        };
        began + self.pause(granted).max(MIN_PAUSE)
    }

    fn expiry(&self) -> Option<Instant> {
        let until = self.expires_at()?;
        Some(self.lease.dependencies.clock.instant(until))
    }

    fn handle_expiry(&mut self) {
        let holds_lease = self.holder.tag(self.now()).is_some();
        if !holds_lease && !std::mem::replace(&mut self.expiry_logged, true) {
            log(format_args!(
                "agreement: the lease has expired, on the fallback rules"
            ));
        }
    }

    async fn registry_address_changed(&mut self) {
        // another registry may answer; one that never moves again is no reason to ask
        if self.lease.dependencies.registry.changed().await.is_err() {
            std::future::pending().await
        }
    }

    fn report(&self) -> String {
        let now = self.now();
        let until = self.holder.valid_until(now);
        let rules: &Rules = self.holder.rules(now);
        to_sorted_json(&AgreementReport {
            sender: &self.lease.dependencies.name,
            acts_on: self.holder.tag(now),
            left_ms: until.map(|until| until.saturating_sub(now) / 1000),
            until_us: until,
            rules,
            list_version: self.lease.list_version.get(),
            sent: self.requests.sent,
            granted: self.requests.granted,
            failed: self.requests.failed,
            last_error: self.requests.last_error.as_deref(),
        })
    }
}
