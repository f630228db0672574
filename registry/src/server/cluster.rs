//! The replicas: status, joining, leaving, transfer of leadership.

use super::Server;
use super::api::{ApiError, ApiRequest, ApiResult, json, no_content};
use crate::commands::ClientRequest;
use crate::replica::{Answer, ReplicaChange};
use crate::state::ReplicaAddresses;
use serde_json::json as value;
use std::sync::atomic::{AtomicU64, Ordering};

/// `GET /v1/status`: how this replica stands.
pub(super) async fn status(server: &Server) -> ApiResult {
    let mut report = server
        .replica
        .inspect(|replica, now| replica.report(now))
        .await?;
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    let metrics = &server.metrics;
    report["watchers"] = metrics.open_watches.load(Ordering::Relaxed).into();
    report["watchers_cut"] = count(&metrics.stalled_watches).into();
    report["backlog"] = count(&metrics.watch_backlog).into();
    report["notices"] = value!({
        "failed": count(&metrics.failed_outcomes), "returned": count(&metrics.returned_outcomes)
    });
    Ok(json(&report))
}

/// `PUT /v1/replicas/ID`: a replica joins; it votes once it has the log.
pub(super) async fn add_replica(request: &ApiRequest, server: &Server, id: &str) -> ApiResult {
    let addresses = request.json()?;
    change_replica(request, server, id, Some(addresses)).await
}

/// `DELETE /v1/replicas/ID`: a replica leaves.
pub(super) async fn remove_replica(request: &ApiRequest, server: &Server, id: &str) -> ApiResult {
    change_replica(request, server, id, None).await
}

async fn change_replica(
    request: &ApiRequest,
    server: &Server,
    id: &str,
    addresses: Option<ReplicaAddresses>,
) -> ApiResult {
    let id = id.parse().map_err(|_| ApiError::InvalidReplicaId)?;
    let change = ReplicaChange {
        id,
        addresses,
        votes: false,
    };
    match server
        .replica
        .request(ClientRequest::ChangeReplicas(change))
        .await?
    {
        Answer::Applied(_) => Ok(no_content()),
        answer => server.respond_to(request, answer).await,
    }
}

/// `POST /v1/transfer`: another replica is to lead.
pub(super) async fn transfer_leadership(request: &ApiRequest, server: &Server) -> ApiResult {
    if server
        .replica
        .inspect(|replica, _| replica.transfer_leadership())
        .await?
    {
        return Ok(no_content());
    }
    server.forward_to_current_leader(request).await
}
