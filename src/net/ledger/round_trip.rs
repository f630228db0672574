//! Requests for quotas to one replica of the registry, in the form that it reads.

use super::messages::{JsonAnswer, JsonRequest};
use crate::net::http_client::{self, RegistryRequest, RequestError, RequestLimits};
use crate::net::log;
use crate::net::sorted_json::to_sorted_json;
use bytes::Bytes;
use hyper::{Method, StatusCode};
use quota_ledger::quotas::ByteBudget;
use quota_ledger::quotas::compact::{self, QuotaRequest, QuotaResponse};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// One request, its answer read whole, takes no longer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;
/// A replica that did not read the compact form is asked in it again after this time: it may have been upgraded.
const COMPACT_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Where replicas take requests for quotas.
const PATH: &str = "/v1/parts";

/// Which form each replica reads.
#[derive(Debug, Default)]
pub(super) struct RequestForms {
    /// Replicas that do not read the compact form, and until when they are not asked in it.
    json_until: BTreeMap<SocketAddr, Instant>,
}

impl RequestForms {
    /// One request and its answer, in the compact form unless this replica is known not to read it.
    ///
    /// # Errors
    /// There is no answer in time, it is a rejection, or it can't be read.
    pub(super) async fn round_trip(
        &mut self,
        replica: SocketAddr,
        request: &QuotaRequest,
        budget: &mut ByteBudget,
    ) -> Result<QuotaResponse, RequestError> {
        if self.reads_compact(replica) {
            match send(replica, compact::MEDIA_TYPE, request.encode(), budget).await {
                Ok(answer) => return Ok(QuotaResponse::decode(&answer)?),
                Err(error) if is_unread_form(&error) => {
                    log(format_args!(
                        "ledger: {replica} is asked in JSON for a while"
                    ));
                    let until = Instant::now() + COMPACT_RETRY_AFTER;
                    self.json_until.insert(replica, until);
                }
                Err(error) => return Err(error),
            }
        }
        let body = to_sorted_json(&JsonRequest::from(request)).into_bytes();
        let answer = send(replica, "application/json", body, budget).await?;
        let answer: JsonAnswer = serde_json::from_slice(&answer)?;
        Ok(QuotaResponse {
            lease: answer.lease,
            revision: 0,
            allocations: answer.allocations,
            verdicts: answer.verdicts,
        })
    }

    fn reads_compact(&self, replica: SocketAddr) -> bool {
        let json_until = self.json_until.get(&replica);
        json_until.is_none_or(|until| *until <= Instant::now())
    }
}

/// Whether a replica says that it does not read the form of the request.
fn is_unread_form(error: &RequestError) -> bool {
    matches!(
        error,
        RequestError::Rejected {
            status: StatusCode::BAD_REQUEST | StatusCode::UNSUPPORTED_MEDIA_TYPE,
            ..
        }
    )
}

/// Sends one body and books its bytes and those of the answer.
async fn send(
    replica: SocketAddr,
    media_type: &str,
    body: Vec<u8>,
    budget: &mut ByteBudget,
) -> Result<Bytes, RequestError> {
    budget.charge_request(body.len() as u64);
    let request = RegistryRequest {
        method: Method::POST,
        path: PATH,
        media_type,
        body: body.into(),
        limits: RequestLimits {
            timeout: REQUEST_TIMEOUT,
            max_answer_bytes: MAX_ANSWER_BYTES,
        },
    };
    let answer = http_client::round_trip(replica, request).await?;
    budget.charge_response(answer.len() as u64);
    Ok(answer)
}
