//! Splits of the ledger's ranges.

use super::Server;
use super::api::{ApiError, ApiRequest, ApiResult, explain, json, propose};
use super::forwarding::Read;
use crate::replica::Replica;
use crate::state::Command;
use hyper::Method;
use quota_ledger::splits::{Plant, SplitError};
use quota_ledger::{Book, BookError, Entry};
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
    rehearse: Option<Plant>,
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
            Entry::Split {
                first,
                at,
                plant: rehearse,
            }
        }
        Method::DELETE => Entry::Undo(SplitError::Undone),
        _ => return Err(request.method_not_allowed()),
    };
    let answer = server
        .replica
        .request(propose(Command::Ledger(entry)))
        .await?;
    server.respond_to(request, answer).await
}

async fn report(request: &ApiRequest, server: &Server) -> ApiResult {
    let read = |replica: &mut Replica, _| replica.state().ledger.as_ref().map(splits_of);
    match server.read(request, read).await? {
        Read::Here(Some(report)) => Ok(json(&report)),
        Read::Here(None) => Err(ApiError::Ledger(BookError::None)),
        Read::Forwarded(response) => Ok(response),
    }
}

fn splits_of(ledger: &Book) -> Value {
    let ended = ledger.ended().iter().map(|ended| {
        let mut row = serde_json::to_value(ended).unwrap_or_default();
        row["undone"] = ended.undone.as_ref().map(|error| explain(error)).into();
        row
    });
    let under_way = ledger.split().map(|split| {
        value!({
            "first": split.first, "at": split.at, "rehearse": split.plant,
            "copied": split.copied_all, "compared": split.compared_all, "queries": split.queries,
            "not_compared": split.not_compared, "flagged": split.flagged, "flags": split.flags
        })
    });
    value!({ "under_way": under_way, "ended": ended.collect::<Vec<_>>() })
}
