//! Quotas for senders. A replica allocates from the ranges that it holds; the other replicas get requests for the others, one hop.

use super::Server;
use super::api::{ApiError, ApiRequest, ApiResult, Body, HOP, json_of, text};
use crate::commands::ClientRequest;
use crate::replica::{Answer, QuotaRequest, QuotaResponse};
use crate::round_trip::round_trip;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Request, Response, StatusCode};
use quota_ledger::quotas::compact;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// The longest time for another replica to answer. Its quotas last from the sender's request on.
const OTHER_REPLICA_TIMEOUT: Duration = Duration::from_millis(400);

/// `POST /v1/parts`: quotas from the ranges of this replica and of the others. What another replica does not answer in time
/// is left out, and the sender goes on with what it has.
pub(super) async fn allocate(request: &ApiRequest, server: &Arc<Server>) -> ApiResult {
    let compact = request
        .content_type
        .as_ref()
        .is_some_and(|media| media == compact::MEDIA_TYPE);
    let quota_request = if compact {
        decode_compact(request)?
    } else {
        request.json()?
    };
    let mut response = match server
        .replica
        .request(ClientRequest::Quotas(quota_request.clone()))
        .await?
    {
        Answer::Quotas(response) => *response,
        // any replica allocates from what it holds: the request is not forwarded
        Answer::NotLeader(_) => return Err(ApiError::NoMajority),
        answer => return server.respond_to(request, answer).await,
    };
    if !request.forwarded {
        add_from_others(server, quota_request, &mut response).await;
    }
    if compact {
        return Ok(encode_compact(response));
    }
    json_of(response)
}

/// Sends requests to the replicas that hold the other ranges, all at once, and adds their quotas.
async fn add_from_others(server: &Server, request: QuotaRequest, response: &mut QuotaResponse) {
    let mut answers = JoinSet::new();
    for (holder, demands) in std::mem::take(&mut response.elsewhere) {
        let addresses = server.replica.view.borrow().addresses.get(&holder).copied();
        if let Some(addresses) = addresses {
            let request = QuotaRequest {
                demands,
                ..request.clone()
            };
            answers.spawn(async move {
                let answer = timeout(
                    OTHER_REPLICA_TIMEOUT,
                    request_from(addresses.clients, request),
                );
                answer.await.ok()?
            });
        }
    }
    while let Some(answer) = answers.join_next().await {
        if let Ok(Some(answer)) = answer {
            response.allocations.extend(answer.allocations);
            response.verdicts.extend(answer.verdicts);
        }
    }
}

async fn request_from(address: SocketAddr, request: QuotaRequest) -> Option<QuotaResponse> {
    let body = Full::new(Bytes::from(serde_json::to_vec(&request).ok()?));
    let request = Request::post("/v1/parts")
        .header(HOST, address.to_string())
        .header(HOP, "1")
        .body(body)
        .ok()?;
    let response = round_trip(address, request).await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    serde_json::from_slice(response.body()).ok()
}

/// Decodes a request in the compact form. An older replica takes it for broken JSON and rejects it, and the sender uses JSON
/// then.
fn decode_compact(request: &ApiRequest) -> Result<QuotaRequest, ApiError> {
    let compact::QuotaRequest {
        sender,
        incarnation,
        sequence,
        fallback_quotas,
        zone,
        demands,
        reports,
    } = compact::QuotaRequest::decode(&request.body)?;
    Ok(QuotaRequest {
        sender,
        incarnation,
        sequence,
        fallback_quotas,
        demands,
        zone,
        health_reports: reports,
    })
}

fn encode_compact(response: QuotaResponse) -> Response<Body> {
    let QuotaResponse {
        lease,
        rev,
        allocations,
        verdicts,
        ..
    } = response;
    let bytes = compact::QuotaResponse {
        lease,
        revision: rev,
        allocations,
        verdicts,
    }
    .encode();
    let mut response = text(StatusCode::OK, bytes);
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(compact::MEDIA_TYPE));
    response
}
