//! The request for quotas and its answer in JSON, for replicas that do not read the compact form, and the report for
//! operators.

use quota_ledger::health::{HealthReport, HealthVerdict};
use quota_ledger::quotas::compact::QuotaRequest;
use quota_ledger::{Allocation, FallbackQuotas, LimitKey, QuotaDemand};
use serde::{Deserialize, Serialize};

/// The body of `POST /v1/parts` in JSON.
#[derive(Debug, Serialize)]
pub(super) struct JsonRequest<'a> {
    sender: &'a str,
    #[serde(rename = "life")]
    incarnation: u64,
    #[serde(rename = "number")]
    sequence: u64,
    #[serde(rename = "floors")]
    fallback_quotas: &'a FallbackQuotas,
    #[serde(rename = "wants")]
    demands: &'a [QuotaDemand],
    zone: &'a str,
    #[serde(rename = "words")]
    health_reports: &'a [HealthReport],
}

impl<'a> From<&'a QuotaRequest> for JsonRequest<'a> {
    fn from(request: &'a QuotaRequest) -> Self {
        JsonRequest {
            sender: &request.sender,
            incarnation: request.incarnation,
            sequence: request.sequence,
            fallback_quotas: &request.fallback_quotas,
            demands: &request.demands,
            zone: &request.zone,
            health_reports: &request.reports,
        }
    }
}

/// The answer to it.
#[derive(Debug, Deserialize)]
pub(super) struct JsonAnswer {
    /// How long the quotas last, in microseconds from the request on.
    pub(super) lease: u64,
    /// The quotas.
    #[serde(rename = "dealt")]
    pub(super) allocations: Vec<Allocation>,
    /// What a quorum of senders reports of destinations.
    #[serde(default)]
    pub(super) verdicts: Vec<HealthVerdict>,
}

/// One quota in the report for operators.
#[derive(Debug, Serialize)]
pub(super) struct AllocationReport<'a> {
    /// What is limited.
    pub(super) key: &'a LimitKey,
    /// What may be used without a lease.
    #[serde(rename = "floor")]
    pub(super) fallback: u64,
    /// What may be used beside it; none: there is no limit.
    #[serde(rename = "part")]
    pub(super) allocated: Option<u64>,
    /// The limit for all senders, if the registry told it.
    pub(super) total: Option<u64>,
    /// When the lease expires, in module time, microseconds.
    pub(super) until_us: u64,
    /// How long it lasts from now on, in milliseconds.
    pub(super) left_ms: u64,
}

/// The answer to `GET /ledger` on the control address.
#[derive(Debug, Serialize)]
pub(super) struct LedgerReport<'a> {
    /// The sender's name.
    pub(super) sender: &'a str,
    /// What is allocated to it.
    #[serde(rename = "parts")]
    pub(super) allocations: Vec<AllocationReport<'a>>,
    /// What it may use without a lease.
    #[serde(rename = "floors")]
    pub(super) fallback_quotas: &'a FallbackQuotas,
    /// What a quorum of senders reports of destinations.
    pub(super) verdicts: Vec<&'a HealthVerdict>,
    /// How long the last lease was granted for, in milliseconds.
    pub(super) lease_ms: u64,
    /// Module time, in microseconds.
    pub(super) now_us: u64,
    /// Requests that were sent.
    #[serde(rename = "asked")]
    pub(super) sent: u64,
    /// Requests that were granted.
    pub(super) granted: u64,
    /// Requests that failed or were rejected.
    pub(super) failed: u64,
    /// The error of the last request; none if it was granted.
    #[serde(rename = "fault")]
    pub(super) last_error: Option<&'a str>,
}
