//! Splits of the ledger's ranges.

use super::Server;
use super::api::{ApiError, ApiRequest, ApiResult, explain, json};
use super::forwarding::Read;
use crate::commands::ClientRequest;
use crate::replica::Replica;
use crate::state::Command;
use hyper::Method;
use quota_ledger::splits::{PlantedFault, SplitError};
use quota_ledger::{LedgerEntry, LedgerError, LedgerState};
use serde::Deserialize;
use serde_json::{Value, json as value};

/// Where a range is to be split.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SplitRequest {
    /// The range's first destination.
    first: u64,
    /// The second child's first destination.
    at: u64,
    /// A fault to plant, for a rehearsal.
    #[serde(default)]
    rehearse: Option<PlantedFault>,
}

/// `/v1/splits`: reports the splits, begins one, or undoes the one under way.
pub(super) async fn handle(request: &ApiRequest, server: &Server) -> ApiResult {
    let entry = match request.method {
        Method::GET => return report(request, server).await,
        Method::POST => {
            let SplitRequest {
                first,
                at,
                rehearse,
            } = request.json()?;
            LedgerEntry::BeginSplit {
                first,
                at,
                planted_fault: rehearse,
            }
        }
        Method::DELETE => LedgerEntry::RollBack(SplitError::RolledBackByOperator),
        _ => return Err(request.method_not_allowed()),
    };
    let answer = server
        .replica
        .request(ClientRequest::Propose(Command::Ledger(entry)))
        .await?;
    server.respond_to(request, answer).await
}

async fn report(request: &ApiRequest, server: &Server) -> ApiResult {
    let read = |replica: &mut Replica, _| replica.state().ledger.as_ref().map(splits_of);
    match server.read(request, read).await? {
        Read::Here(Some(report)) => Ok(json(&report)),
        Read::Here(None) => Err(ApiError::Ledger(LedgerError::NotCreated)),
        Read::Forwarded(response) => Ok(response),
    }
}

fn splits_of(ledger: &LedgerState) -> Value {
    let ended = ledger.finished_splits().iter().map(|ended| {
        let mut row = serde_json::to_value(ended).unwrap_or_default();
        row["undone"] = ended
            .rolled_back_because
            .as_ref()
            .map(|error| explain(error))
            .into();
        row
    });
    let under_way = ledger.split().map(|split| {
        value!({
            "first": split.first, "at": split.at, "rehearse": split.planted_fault,
            "copied": split.copied_all, "compared": split.compared_all, "queries": split.queries,
            "not_compared": split.not_compared, "flagged": split.disagreement_count, "flags": split.disagreements
        })
    });
    value!({ "under_way": under_way, "ended": ended.collect::<Vec<_>>() })
}
