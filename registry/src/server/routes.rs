//! The table of paths and methods.

use super::api::{ApiError, ApiRequest, ApiResult};
use super::{Server, cluster, endpoints, freeze, ledger, outcomes, quotas, rules, splits};
use std::sync::Arc;
use tokio::sync::Notify;

/// The longest body of a batch of the largest list.
const MAX_BATCH_BODY: usize = 4 << 20;
/// The longest body of a batch of outcome notifications or of a quota request.
const MAX_NOTIFICATIONS_BODY: usize = 1 << 20;
/// The longest body of any other request.
const MAX_BODY: usize = 64 * 1024;

/// Paths whose every method is named in the table below.
const EXACT_PATHS: [&str; 9] = [
    "endpoints",
    "outcomes",
    "lease",
    "parts",
    "query",
    "rules",
    "status",
    "replicas",
    "transfer",
];

/// The longest body of a request to this path.
pub(super) fn max_body(path: &str) -> usize {
    match path {
        "/v1/endpoints" => MAX_BATCH_BODY,
        "/v1/outcomes" | "/v1/parts" => MAX_NOTIFICATIONS_BODY,
        _ => MAX_BODY,
    }
}

/// Finds the handler of a request and runs it. `stalled` closes the connection of a watcher that takes nothing.
pub(super) async fn handle(
    request: &ApiRequest,
    server: &Arc<Server>,
    stalled: Arc<Notify>,
) -> ApiResult {
    let parts: Vec<&str> = request.path.trim_start_matches('/').split('/').collect();
    let ["v1", path @ ..] = parts.as_slice() else {
        return Err(ApiError::NoSuchPath);
    };
    match (path, request.method.as_str()) {
        (["endpoints"], "GET") => endpoints::list(request, server, stalled).await,
        (["endpoints"], "POST") => endpoints::change_batch(request, server).await,
        (["endpoints", uid], "PUT") => endpoints::put(request, server, uid).await,
        (["endpoints", uid], "DELETE") => endpoints::remove(request, server, uid).await,
        (["endpoints", uid, "drain"], "POST") => endpoints::drain(request, server, uid).await,
        (["endpoints", uid, "beat"], "POST") => endpoints::heartbeat(request, server, uid).await,
        (["outcomes"], "POST") => outcomes::record(request, server),
        (["lease"], "POST") => rules::lease(request, server).await,
        (["parts"], "POST") => quotas::allocate(request, server).await,
        (["freeze", path @ ..], _) => freeze::handle(request, server, path).await,
        (["splits"], _) => splits::handle(request, server).await,
        (["query"], "POST") => ledger::query(request, server).await,
        (["limits", key @ ..], _) => ledger::limits(request, server, key).await,
        (["rules"], "GET") => rules::report(request, server).await,
        (["rules"], "PUT") => rules::propose(request, server).await,
        (["rules", version], "GET") => rules::stored_version(request, server, version).await,
        (["status"], "GET") => cluster::status(server).await,
        (["replicas", id], "PUT") => cluster::add_replica(request, server, id).await,
        (["replicas", id], "DELETE") => cluster::remove_replica(request, server, id).await,
        (["transfer"], "POST") => cluster::transfer_leadership(request, server).await,
        ([known, ..], _) if EXACT_PATHS.contains(known) => Err(request.method_not_allowed()),
        _ => Err(ApiError::NoSuchPath),
    }
}
