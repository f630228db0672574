//! The request for a lease of rules, and the report for operators. Both are written with sorted keys.

use serde::Serialize;
use versioned_config::{Rules, VersionTag};

/// The body of `POST /v1/lease`.
#[derive(Debug, Serialize)]
pub(super) struct LeaseRequestBody<'a> {
    /// The sender's name.
    pub(super) sender: &'a str,
    /// Differs between any two sessions of a sender.
    #[serde(rename = "life")]
    pub(super) incarnation: u64,
    /// What the sender acts on; none: the fallback rules.
    pub(super) acts_on: Option<VersionTag>,
    /// The version of the endpoint list that the sender goes by.
    #[serde(rename = "rev")]
    pub(super) list_version: u64,
    /// The sender's fallback rules.
    #[serde(rename = "floor")]
    pub(super) fallback: &'a Rules,
}

/// The answer to `GET /agreement` on the control address.
#[derive(Debug, Serialize)]
pub(super) struct AgreementReport<'a> {
    /// The sender's name.
    pub(super) sender: &'a str,
    /// What it acts on; none: the fallback rules.
    pub(super) acts_on: Option<VersionTag>,
    /// How long the lease lasts from now on, in milliseconds.
    pub(super) left_ms: Option<u64>,
    /// When the lease expires, in module time, microseconds.
    pub(super) until_us: Option<u64>,
    /// The rules in force.
    pub(super) rules: &'a Rules,
    /// The version of the endpoint list that the sender goes by.
    #[serde(rename = "rev")]
    pub(super) list_version: u64,
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
