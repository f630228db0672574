//! The quota ledger: limits, and queries over them.

use super::Server;
use super::api::{ApiError, ApiRequest, ApiResult, json};
use super::forwarding::Read;
use crate::commands::ClientRequest;
use crate::replica::{Answer, Replica};
use crate::state::Command;
use hyper::Method;
use quota_ledger::splits::Query;
use quota_ledger::{LedgerEntry, LedgerError, Limit, LimitKey};
use serde_json::{Value, json as value};
use std::collections::BTreeMap;
use versioned_config::Micros;

/// `GET /v1/limits`: all limits; `PUT` and `DELETE /v1/limits/KEY`: one of them is set or removed.
pub(super) async fn limits(request: &ApiRequest, server: &Server, key: &[&str]) -> ApiResult {
    if request.method == Method::GET && key.is_empty() {
        return report(request, server).await;
    }
    let key: LimitKey = key.join("/").parse()?;
    let limit: Option<Limit> = match request.method {
        Method::PUT => Some(request.json()?),
        Method::DELETE => None,
        _ => return Err(request.method_not_allowed()),
    };
    let entry = LedgerEntry::SetLimit {
        key,
        limit,
        if_match: request.expected_version()?,
    };
    match server
        .replica
        .request(ClientRequest::Propose(Command::Ledger(entry)))
        .await?
    {
        Answer::Applied(_) => {
            let rev = |replica: &mut Replica, _| {
                replica
                    .state()
                    .ledger
                    .as_ref()
                    .map(|ledger| ledger.revision())
            };
            Ok(json(&value!({ "rev": server.replica.inspect(rev).await? })))
        }
        answer => server.respond_to(request, answer).await,
    }
}

async fn report(request: &ApiRequest, server: &Server) -> ApiResult {
    match server.read(request, full_report).await? {
        Read::Here(Value::Null) => Err(ApiError::Ledger(LedgerError::NotCreated)),
        Read::Here(report) => Ok(json(&report)),
        Read::Forwarded(response) => Ok(response),
    }
}

fn full_report(replica: &mut Replica, now: Micros) -> Value {
    let mut report = replica.ledger_report(now);
    if let Some(ledger) = &replica.state().ledger {
        let limits: BTreeMap<_, _> = ledger.limits().collect();
        report["limits"] = serde_json::to_value(limits).unwrap_or_default();
        report["floors"] = serde_json::to_value(ledger.fallback_quotas()).unwrap_or_default();
    }
    report
}

/// `POST /v1/query`: a query over all ranges. While one is split, both sides are read at the same index of the log.
pub(super) async fn query(request: &ApiRequest, server: &Server) -> ApiResult {
    let query: Query = request.json()?;
    // what dual reads find goes to the log, to which the leader writes
    if !server
        .replica
        .inspect(|replica, _| replica.is_leader())
        .await?
    {
        return server.forward_to_current_leader(request).await;
    }
    match server
        .read(request, move |replica, now| replica.query(now, &query))
        .await?
    {
        Read::Here(Some(rows)) => Ok(json(&value!({ "rows": rows }))),
        Read::Here(None) => Err(ApiError::Ledger(LedgerError::NotCreated)),
        Read::Forwarded(response) => Ok(response),
    }
}
