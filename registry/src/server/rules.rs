//! The agreed rules: reports, proposals, leases.

use super::Server;
use super::api::{ApiError, ApiRequest, ApiResult, json, json_of};
use super::forwarding::Read;
use crate::commands::ClientRequest;
use crate::replica::{Answer, Replica};
use crate::state::Command;
use serde_json::Value;
use versioned_config::{Micros, Proposal, Rules};

/// `POST /v1/lease`: a sender's lease.
pub(super) async fn lease(request: &ApiRequest, server: &Server) -> ApiResult {
    match server
        .replica
        .request(ClientRequest::Lease(request.json()?))
        .await?
    {
        Answer::Granted(grant) => json_of(grant),
        answer => server.respond_to(request, answer).await,
    }
}

/// `GET /v1/rules`: the rules, who acts on what, who is waited for.
pub(super) async fn report(request: &ApiRequest, server: &Server) -> ApiResult {
    // who has acknowledged what only the leader knows
    if !server
        .replica
        .inspect(|replica, _| replica.is_leader())
        .await?
    {
        return server.forward_to_current_leader(request).await;
    }
    match server.read(request, full_report).await? {
        Read::Here(Value::Null) => Err(ApiError::NoRules),
        Read::Here(report) => Ok(json(&report)),
        Read::Forwarded(response) => Ok(response),
    }
}

fn full_report(replica: &mut Replica, now: Micros) -> Value {
    let mut report = replica.rules_report(now);
    if let Some(versions) = &replica.state().versions {
        report["rules"] = serde_json::to_value(versions.target_rules()).unwrap_or_default();
        report["in_force"] = serde_json::to_value(versions.rules()).unwrap_or_default();
        report["floor"] = serde_json::to_value(versions.fallback()).unwrap_or_default();
    }
    report
}

/// `GET /v1/rules/VERSION`: the rules of a stored version.
pub(super) async fn stored_version(
    request: &ApiRequest,
    server: &Server,
    version: &str,
) -> ApiResult {
    let version: u64 = version.parse().map_err(|_| ApiError::InvalidVersion)?;
    let stored =
        move |replica: &mut Replica, _| replica.state().stored_rules.get(&version).cloned();
    match server.read(request, stored).await? {
        Read::Here(Some(rules)) => Ok(json(
            &serde_json::json!({ "version": version, "rules": rules }),
        )),
        Read::Here(None) => Err(ApiError::UnknownVersion),
        Read::Forwarded(response) => Ok(response),
    }
}

/// `PUT /v1/rules`: another version.
pub(super) async fn propose(request: &ApiRequest, server: &Server) -> ApiResult {
    let rules: Rules = request.json()?;
    rules.validate()?;
    let from = match request.expected_version()? {
        Some(version) => version,
        None => current_version(server).await?,
    };
    let command = Command::ProposeRules(Proposal { from, rules });
    match server
        .replica
        .request(ClientRequest::Propose(command))
        .await?
    {
        Answer::Applied(applied) => json_of(applied.tag),
        answer => server.respond_to(request, answer).await,
    }
}

async fn current_version(server: &Server) -> Result<u64, ApiError> {
    let tag = server
        .replica
        .inspect(|replica, _| replica.state().tag())
        .await?;
    tag.map(|tag| tag.version).ok_or(ApiError::NoRules)
}
