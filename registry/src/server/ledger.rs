//! What clients ask of the ledger: parts, limits.

use super::{Asked, Body, HOP, No, Server, elsewhere, json, routes::read, routes::wanted, text};
use crate::core::Asked as Question;
use crate::exchange::exchange;
use crate::replica::{Answer, PartsAnswer, PartsQuestion};
use crate::state::Command;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use miette::Diagnostic;
use quota_ledger::quotas::compact;
use quota_ledger::splits::{PlantedFault, Query, SplitError};
use quota_ledger::{InvalidKey, LedgerEntry, LedgerError, Limit, LimitError, LimitKey};
use serde::Deserialize;
use serde_json::json as value;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Longest time in which the keeper of another range answers. What it deals counts from when the sender asked.
const KEEPER: Duration = Duration::from_millis(400);

/// What is wrong, its code, and what an operator can do, on one line.
pub(super) fn explained(error: &dyn Diagnostic) -> String {
    let code = error
        .code()
        .map(|code| format!(" [{code}]"))
        .unwrap_or_default();
    let help = error
        .help()
        .map(|help| format!("; {help}"))
        .unwrap_or_default();
    format!("{error}{code}{help}")
}

/// The answer to what the ledger does not take.
pub(super) fn no(error: &LedgerError) -> No {
    let status = match error {
        LedgerError::NotCreated | LedgerError::Limit(LimitError::Unknown(_)) => {
            StatusCode::NOT_FOUND
        }
        LedgerError::VersionMismatch { .. } => StatusCode::PRECONDITION_FAILED,
        LedgerError::Limit(LimitError::Invalid(_) | LimitError::NoFallbackQuota(_))
        | LedgerError::InvalidShards => StatusCode::BAD_REQUEST,
        LedgerError::Split(SplitError::UnknownShard(_) | SplitError::NoSplit) => {
            StatusCode::NOT_FOUND
        }
        LedgerError::Split(SplitError::OutsideShard { .. }) => StatusCode::BAD_REQUEST,
        LedgerError::AlreadyCreated | LedgerError::Limit(_) | LedgerError::Split(_) => {
            StatusCode::CONFLICT
        }
    };
    No::new(status, explained(error))
}

/// Parts of limits: those that this replica keeps, and by one hop those that others keep. What a keeper does not answer
/// in time is left out, and the sender goes on with what it has.
pub(super) async fn parts(asked: &Asked, server: &Arc<Server>) -> Result<Response<Body>, No> {
    let compact = asked
        .content_type
        .as_ref()
        .is_some_and(|media| media == compact::MEDIA_TYPE);
    let question = if compact {
        read_compact(asked)?
    } else {
        read(asked)?
    };
    let mut whole = match server.core.ask(Question::Parts(question.clone())).await? {
        Answer::Parts(answer) => *answer,
        // any replica deals what it keeps: no other is asked in this one's place
        Answer::NotLeader(_) => return Err(No::busy("no majority is heard of")),
        other => return server.otherwise(asked, other).await,
    };
    let elsewhere = std::mem::take(&mut whole.elsewhere);
    let mut others = JoinSet::new();
    for (keeper, wants) in elsewhere.into_iter().filter(|_| !asked.hop) {
        let place = server.core.seen.borrow().places.get(&keeper).copied();
        if let Some(place) = place {
            let question = PartsQuestion {
                wants,
                ..question.clone()
            };
            others.spawn(async move {
                timeout(KEEPER, of_keeper(place.clients, question))
                    .await
                    .ok()?
            });
        }
    }
    while let Some(answer) = others.join_next().await {
        if let Ok(Some(answer)) = answer {
            whole.dealt.extend(answer.dealt);
            whole.verdicts.extend(answer.verdicts);
        }
    }
    if compact {
        return Ok(written_compact(whole));
    }
    Ok(json(&serde_json::to_value(whole).map_err(No::busy)?))
}

/// A question in the compact form. An older replica takes it for broken JSON and refuses it in the same way, and the sender
/// asks in JSON then.
fn read_compact(asked: &Asked) -> Result<PartsQuestion, No> {
    let question =
        compact::QuotaRequest::decode(&asked.body).map_err(|error| No::bad(explained(&error)))?;
    let compact::QuotaRequest {
        sender,
        incarnation: life,
        sequence: number,
        fallback_quotas: floors,
        zone,
        demands: wants,
        reports,
    } = question;
    Ok(PartsQuestion {
        sender,
        life,
        number,
        floors,
        wants,
        zone,
        words: reports,
    })
}

fn written_compact(answer: PartsAnswer) -> Response<Body> {
    let PartsAnswer {
        lease,
        rev,
        dealt,
        verdicts,
        ..
    } = answer;
    let bytes = compact::QuotaResponse {
        lease,
        revision: rev,
        allocations: dealt,
        verdicts,
    }
    .encode();
    let mut response = text(StatusCode::OK, bytes);
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(compact::MEDIA_TYPE));
    response
}

async fn of_keeper(place: std::net::SocketAddr, question: PartsQuestion) -> Option<PartsAnswer> {
    let body = Full::new(Bytes::from(serde_json::to_vec(&question).ok()?));
    let request = Request::post("/v1/parts")
        .header("host", place.to_string())
        .header(HOP, "1")
        .body(body)
        .ok()?;
    let response = exchange(place, request).await.ok()?;
    let good = response.status() == StatusCode::OK;
    good.then(|| serde_json::from_slice(response.body()).ok())?
}

/// All limits, or one of them set or removed.
pub(super) async fn limits(
    asked: &Asked,
    server: &Arc<Server>,
    key: &[&str],
) -> Result<Response<Body>, No> {
    if asked.method == Method::GET && key.is_empty() {
        return list(asked, server).await;
    }
    let key: LimitKey = key
        .join("/")
        .parse()
        .map_err(|error: InvalidKey| No::bad(explained(&error)))?;
    let limit: Option<Limit> = match asked.method {
        Method::PUT => Some(read(asked)?),
        Method::DELETE => None,
        _ => {
            return Err(No::new(
                StatusCode::METHOD_NOT_ALLOWED,
                format!("{} means nothing here", asked.method),
            ));
        }
    };
    let entry = LedgerEntry::SetLimit {
        key,
        limit,
        if_match: wanted(asked)?,
    };
    match server
        .core
        .ask(Question::Change(Command::Ledger(entry)))
        .await?
    {
        Answer::Applied(_) => {
            let rev = server
                .core
                .look(|replica, _| replica.state().ledger.as_ref().map(|book| book.revision()))
                .await?;
            Ok(json(&value!({ "rev": rev })))
        }
        other => server.otherwise(asked, other).await,
    }
}

/// Where a range is to be split.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Wish {
    first: u64,
    at: u64,
    #[serde(default)]
    rehearse: Option<PlantedFault>,
}

/// The splits under way and ended; another begun, or the one under way undone.
pub(super) async fn splits(asked: &Asked, server: &Arc<Server>) -> Result<Response<Body>, No> {
    let entry = match asked.method {
        Method::GET => {
            let report = |replica: &mut crate::replica::Replica| {
                let book = replica.state().ledger.as_ref()?;
                let explained = |why: &SplitError| explained(why);
                let ended = book.finished_splits().iter().map(|ended| {
                    let mut row = serde_json::to_value(ended).unwrap_or_default();
                    row["undone"] = ended.rolled_back_because.as_ref().map(explained).into();
                    row
                });
                let under_way = book.split().map(|split| {
                    value!({ "first": split.first, "at": split.at, "rehearse": split.planted_fault,
                        "copied": split.copied_all, "compared": split.compared_all, "queries": split.queries,
                        "not_compared": split.not_compared, "flagged": split.disagreement_count, "flags": split.disagreements })
                });
                Some(value!({ "under_way": under_way, "ended": ended.collect::<Vec<_>>() }))
            };
            if let Some(response) = elsewhere(asked, server).await? {
                return Ok(response);
            }
            let report = server.core.look(move |replica, _| report(replica)).await?;
            return report
                .map(|report| json(&report))
                .ok_or_else(|| no(&LedgerError::NotCreated));
        }
        Method::POST => {
            let Wish {
                first,
                at,
                rehearse,
            } = read(asked)?;
            LedgerEntry::BeginSplit {
                first,
                at,
                planted_fault: rehearse,
            }
        }
        Method::DELETE => LedgerEntry::RollBack(SplitError::RolledBackByOperator),
        _ => {
            return Err(No::new(
                StatusCode::METHOD_NOT_ALLOWED,
                format!("{} means nothing here", asked.method),
            ));
        }
    };
    let answer = server
        .core
        .ask(Question::Change(Command::Ledger(entry)))
        .await?;
    server.otherwise(asked, answer).await
}

/// Answers a query over all ranges; while one is split, both sides are read at the same point of the log.
pub(super) async fn query(asked: &Asked, server: &Arc<Server>) -> Result<Response<Body>, No> {
    let query: Query = read(asked)?;
    // what dual reads find goes to the log, which the leader writes
    if !server.core.look(|replica, _| replica.leads()).await? {
        let leader = server.core.seen.borrow().leader;
        return server.otherwise(asked, Answer::NotLeader(leader)).await;
    }
    if let Some(response) = elsewhere(asked, server).await? {
        return Ok(response);
    }
    let rows = server
        .core
        .look(move |replica, now| replica.query(now, &query))
        .await?;
    rows.map(|rows| json(&value!({ "rows": rows })))
        .ok_or_else(|| no(&LedgerError::NotCreated))
}

async fn list(asked: &Asked, server: &Arc<Server>) -> Result<Response<Body>, No> {
    if let Some(response) = elsewhere(asked, server).await? {
        return Ok(response);
    }
    let report = server.core.look(|replica, now| {
        let mut report = replica.ledger_report(now);
        if let Some(book) = &replica.state().ledger {
            let limits: std::collections::BTreeMap<_, _> = book.limits().collect();
            report["limits"] = serde_json::to_value(limits).unwrap_or_default();
            report["floors"] = serde_json::to_value(book.fallback_quotas()).unwrap_or_default();
        }
        report
    });
    match report.await? {
        serde_json::Value::Null => Err(no(&LedgerError::NotCreated)),
        report => Ok(json(&report)),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quota_ledger::{QuotaDemand, Resource};

    #[test]
    fn each_no_has_a_code_and_tells_what_to_do() {
        let key = LimitKey::of(7, Resource::Rate);
        let floors = LimitError::BelowFallbackQuotas {
            key: key.clone(),
            senders: 3,
            fallback: 5,
            total: 2,
        };
        for (error, status) in [
            (LedgerError::NotCreated, 404),
            (LedgerError::AlreadyCreated, 409),
            (LedgerError::InvalidShards, 400),
            (LedgerError::VersionMismatch { now: 2, wanted: 1 }, 412),
            (floors.into(), 409),
            (LimitError::Unknown(key.clone()).into(), 404),
            (LimitError::NoFallbackQuota(key).into(), 400),
        ] {
            let no = no(&error);
            assert_eq!(no.status, status, "{}", no.what);
            assert!(
                no.what.contains(" [ledger::") && no.what.contains("; "),
                "{}",
                no.what
            );
        }
        let want = serde_json::from_str::<QuotaDemand>(r#"{"key":"rate/x","want":1}"#)
            .expect_err("no key")
            .to_string();
        assert!(want.contains("names nothing that can be limited"), "{want}");
    }
}
