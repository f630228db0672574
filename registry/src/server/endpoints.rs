//! The endpoint list: discovery, watches, changes, heartbeats.

use super::api::{ApiError, ApiRequest, ApiResult, json, text};
use super::forwarding::Read;
use super::{Server, watch};
use crate::commands::ClientRequest;
use crate::replica::Answer;
use crate::state::{Command, ListChange};
use hyper::StatusCode;
use serde::Deserialize;
use std::sync::Arc;
use tokio::sync::Notify;

/// Changes that make one version.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Batch {
    changes: Vec<ListChange>,
}

/// `GET /v1/endpoints`: the list, or a watch of it.
pub(super) async fn list(
    request: &ApiRequest,
    server: &Arc<Server>,
    stalled: Arc<Notify>,
) -> ApiResult {
    let from = request.parameter("from").map(str::parse).transpose();
    let from: Option<u64> = from.map_err(|_| ApiError::InvalidFrom)?;
    match request.parameter("fresh") {
        None => {}
        Some("1") => {
            // the broadcaster has what was applied before this is answered
            if let Read::Forwarded(response) = server.read_barrier(request).await? {
                return Ok(response);
            }
        }
        Some(_) => return Err(ApiError::InvalidFresh),
    }
    match request.parameter("watch") {
        // a watcher that names no version knows none, and no list precedes the first
        Some("1") => watch::open(server, from.unwrap_or(u64::MAX), stalled).await,
        Some(_) => Err(ApiError::InvalidWatch),
        None => Ok(text(StatusCode::OK, watch::full_list(server)?)),
    }
}

/// `POST /v1/endpoints`: changes that make one version or none.
pub(super) async fn change_batch(request: &ApiRequest, server: &Server) -> ApiResult {
    let Batch { changes } = request.json()?;
    change(request, server, changes).await
}

/// `PUT /v1/endpoints/UID`.
pub(super) async fn put(request: &ApiRequest, server: &Server, uid: &str) -> ApiResult {
    let put = ListChange::Put {
        uid: uid.to_string(),
        endpoint: request.json()?,
    };
    change(request, server, vec![put]).await
}

/// `DELETE /v1/endpoints/UID`.
pub(super) async fn remove(request: &ApiRequest, server: &Server, uid: &str) -> ApiResult {
    change(
        request,
        server,
        vec![ListChange::Remove {
            uid: uid.to_string(),
        }],
    )
    .await
}

/// `POST /v1/endpoints/UID/drain`.
pub(super) async fn drain(request: &ApiRequest, server: &Server, uid: &str) -> ApiResult {
    change(
        request,
        server,
        vec![ListChange::Drain {
            uid: uid.to_string(),
        }],
    )
    .await
}

/// `POST /v1/endpoints/UID/beat`.
pub(super) async fn heartbeat(request: &ApiRequest, server: &Server, uid: &str) -> ApiResult {
    let answer = server
        .replica
        .request(ClientRequest::Heartbeat(uid.to_string()))
        .await?;
    server.respond_to(request, answer).await
}

async fn change(request: &ApiRequest, server: &Server, changes: Vec<ListChange>) -> ApiResult {
    let if_match = request.expected_version()?;
    let command = match request.query.as_str() {
        "" => Command::ChangeList { if_match, changes },
        "force=1" => Command::ForceChangeList { if_match, changes },
        _ => return Err(ApiError::InvalidWriteQuery),
    };
    match server
        .replica
        .request(ClientRequest::Propose(command))
        .await?
    {
        Answer::Applied(applied) => Ok(json(&serde_json::json!({ "rev": applied.rev }))),
        answer => server.respond_to(request, answer).await,
    }
}
