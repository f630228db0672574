//! Questions for quotas to one replica of the registry, in the form that it reads.

use crate::net::asking::{AskError, exchange};
use crate::net::log;
use hyper::{Method, StatusCode};
use quota_ledger::Allocation;
use quota_ledger::health::HealthVerdict;
use quota_ledger::quotas::ByteBudget;
use quota_ledger::quotas::compact::{self, QuotaRequest, QuotaResponse};
use serde::Deserialize;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// One question, its answer read whole, takes no longer.
const ANSWER: Duration = Duration::from_millis(700);
/// Longest answer.
const ANSWER_MOST: usize = 1 << 20;
/// A replica that did not read the compact form is asked in it again after this time: it may have been upgraded.
const COMPACT_AGAIN: Duration = Duration::from_secs(30);

/// An answer in JSON, of replicas that do not read the compact form.
#[derive(Deserialize)]
struct JsonAnswer {
    lease: u64,
    dealt: Vec<Allocation>,
    #[serde(default)]
    verdicts: Vec<HealthVerdict>,
}

/// Which form each replica reads.
#[derive(Default)]
pub struct Exchange {
    /// Replicas that do not read the compact form, and until when they are not asked in it.
    json_until: BTreeMap<SocketAddr, Instant>,
}

impl Exchange {
    /// One question and its answer, in the compact form unless this replica is known not to read it.
    ///
    /// # Errors
    /// There is no answer in time, it is a refusal, or it can't be read.
    pub async fn ask(
        &mut self,
        address: SocketAddr,
        question: &QuotaRequest,
        budget: &mut ByteBudget,
    ) -> Result<QuotaResponse, AskError> {
        let path = "/v1/parts";
        if self
            .json_until
            .get(&address)
            .is_none_or(|until| *until <= Instant::now())
        {
            let body = question.encode();
            budget.charge_request(body.len() as u64);
            let media = (compact::MEDIA_TYPE, body.into());
            match exchange(address, Method::POST, path, media, ANSWER, ANSWER_MOST).await {
                Ok(answer) => {
                    budget.charge_response(answer.len() as u64);
                    return Ok(QuotaResponse::decode(&answer)?);
                }
                Err(AskError::Refused(
                    StatusCode::BAD_REQUEST | StatusCode::UNSUPPORTED_MEDIA_TYPE,
                    _,
                )) => {
                    log(format_args!(
                        "ledger: {address} is asked in JSON for a while"
                    ));
                    self.json_until
                        .insert(address, Instant::now() + COMPACT_AGAIN);
                }
                Err(error) => return Err(error),
            }
        }
        let body = json!({ "sender": question.sender, "life": question.incarnation, "number": question.sequence,
            "floors": question.fallback_quotas, "wants": question.demands, "zone": question.zone, "words": question.reports });
        let body = body.to_string();
        budget.charge_request(body.len() as u64);
        let media = ("application/json", body.into());
        let answer = exchange(address, Method::POST, path, media, ANSWER, ANSWER_MOST).await?;
        budget.charge_response(answer.len() as u64);
        let JsonAnswer {
            lease,
            dealt,
            verdicts,
        } = serde_json::from_slice(&answer)?;
        Ok(QuotaResponse {
            lease,
            revision: 0,
            allocations: dealt,
            verdicts,
        })
    }
}
