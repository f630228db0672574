//! Which request is what.

use super::{Asked, Body, No, Server, count, elsewhere, json, text, watch};
use crate::core::Asked as Question;
use crate::replica::{Answer, ReplicaChange};
use crate::state::{Change, Command, Place, State};
use hyper::{Method, Response, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::json as value;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::sync::Notify;
use versioned_config::{Proposal, Rules};

/// Longest bodies: a batch of the largest list, a batch of notices, all else.
const BATCH_MOST: usize = 4 << 20;
const NOTICES_MOST: usize = 1 << 20;
const BODY_MOST: usize = 64 * 1024;

/// The longest body of a request to this path.
pub(super) fn body_most(path: &str) -> usize {
    match path {
        "/v1/endpoints" => BATCH_MOST,
        "/v1/outcomes" | "/v1/parts" => NOTICES_MOST,
        _ => BODY_MOST,
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Batch {
    changes: Vec<Change>,
}

#[derive(Deserialize)]
struct Notice {
    id: String,
    state: Ending,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Ending {
    Failed,
    Returned,
}

pub(super) async fn answer(
    asked: &Asked,
    server: &Arc<Server>,
    cut: Arc<Notify>,
) -> Result<Response<Body>, No> {
    let parts: Vec<&str> = asked.path.trim_start_matches('/').split('/').collect();
    let (get, put, post, delete) = (&Method::GET, &Method::PUT, &Method::POST, &Method::DELETE);
    let method = &asked.method;
    match (parts.as_slice(), method) {
        (["v1", "endpoints"], method) if method == get => list(asked, server, cut).await,
        (["v1", "endpoints"], method) if method == post => {
            let Batch { changes } = read(asked)?;
            change(asked, server, changes).await
        }
        (["v1", "endpoints", uid], method) if method == put => {
            let change_to = Change::Put {
                uid: uid.to_string(),
                target: read(asked)?,
            };
            change(asked, server, vec![change_to]).await
        }
        (["v1", "endpoints", uid], method) if method == delete => {
            change(
                asked,
                server,
                vec![Change::Remove {
                    uid: uid.to_string(),
                }],
            )
            .await
        }
        (["v1", "endpoints", uid, "drain"], method) if method == post => {
            change(
                asked,
                server,
                vec![Change::Drain {
                    uid: uid.to_string(),
                }],
            )
            .await
        }
        (["v1", "endpoints", uid, "beat"], method) if method == post => {
            let answer = server.core.ask(Question::Beat(uid.to_string())).await?;
            server.otherwise(asked, answer).await
        }
        (["v1", "outcomes"], method) if method == post => notices(asked, server),
        (["v1", "lease"], method) if method == post => {
            match server.core.ask(Question::Lease(read(asked)?)).await? {
                Answer::Granted(grant) => Ok(json(&serde_json::to_value(grant).map_err(No::busy)?)),
                other => server.otherwise(asked, other).await,
            }
        }
        (["v1", "parts"], method) if method == post => super::ledger::parts(asked, server).await,
        (["v1", "freeze", rest @ ..], _) => super::freeze::answer(asked, server, rest).await,
        (["v1", "splits"], _) => super::ledger::splits(asked, server).await,
        (["v1", "query"], method) if method == post => super::ledger::query(asked, server).await,
        (["v1", "limits", key @ ..], _) => super::ledger::limits(asked, server, key).await,
        (["v1", "rules"], method) if method == get => rules(asked, server).await,
        (["v1", "rules"], method) if method == put => propose(asked, server).await,
        (["v1", "rules", version], method) if method == get => {
            let version: u64 = version
                .parse()
                .map_err(|_| No::bad("the version is no number"))?;
            fresh(asked, server, move |state| {
                state.kept.get(&version).cloned()
            })
            .await
            .and_then(|found| match found {
                Found::Here(Some(rules)) => {
                    Ok(json(&value!({ "version": version, "rules": rules })))
                }
                Found::Here(None) => Err(No::new(StatusCode::NOT_FOUND, "no such version is kept")),
                Found::Elsewhere(response) => Ok(response),
            })
        }
        (["v1", "status"], method) if method == get => status(server).await,
        (["v1", "replicas", id], method) if method == put => {
            replicas(asked, server, id, Some(read(asked)?)).await
        }
        (["v1", "replicas", id], method) if method == delete => {
            replicas(asked, server, id, None).await
        }
        (["v1", "transfer"], method) if method == post => {
            match server.core.look(|replica, _| replica.transfer()).await? {
                true => Ok(text(StatusCode::NO_CONTENT, "")),
                false => {
                    let leader = server.core.seen.borrow().leader;
                    server.otherwise(asked, Answer::NotLeader(leader)).await
                }
            }
        }
        (["v1", known, ..], _)
            if [
                "endpoints",
                "outcomes",
                "lease",
                "parts",
                "query",
                "rules",
                "status",
                "replicas",
                "transfer",
            ]
            .contains(known) =>
        {
            Err(No::new(
                StatusCode::METHOD_NOT_ALLOWED,
                format!("{method} means nothing here"),
            ))
        }
        _ => Err(No::new(StatusCode::NOT_FOUND, "no such path")),
    }
}

pub(super) fn read<T: DeserializeOwned>(asked: &Asked) -> Result<T, No> {
    serde_json::from_slice(&asked.body).map_err(No::bad)
}

/// The version that a write wants to find: `If-Match: 41`, with quotes or without.
pub(super) fn wanted(asked: &Asked) -> Result<Option<u64>, No> {
    let Some(version) = &asked.if_match else {
        return Ok(None);
    };
    let version = version
        .to_str()
        .ok()
        .and_then(|text| text.trim().trim_matches('"').parse().ok());
    version
        .map(Some)
        .ok_or_else(|| No::bad("If-Match is no version"))
}

async fn list(asked: &Asked, server: &Arc<Server>, cut: Arc<Notify>) -> Result<Response<Body>, No> {
    let pair = |name: &str| {
        asked.query.split('&').find_map(|pair| {
            pair.strip_prefix(name)?
                .strip_prefix('=')
                .map(str::to_string)
        })
    };
    let from = pair("from")
        .map(|from| from.parse().map_err(|_| No::bad("from is no version")))
        .transpose()?;
    match pair("fresh").as_deref() {
        None => {}
        Some("1") => {
            // the feed has what was applied before this was answered
            if let Some(response) = elsewhere(asked, server).await? {
                return Ok(response);
            }
        }
        Some(_) => return Err(No::bad("fresh is not 1")),
    }
    match pair("watch").as_deref() {
        // a watcher that names no version knows none, and none is before the first
        Some("1") => watch::begin(server, from.unwrap_or(u64::MAX), cut).await,
        Some(_) => Err(No::bad("watch is not 1")),
        None => Ok(text(StatusCode::OK, watch::whole(server)?)),
    }
}

async fn change(
    asked: &Asked,
    server: &Server,
    changes: Vec<Change>,
) -> Result<Response<Body>, No> {
    let if_match = wanted(asked)?;
    let command = match asked.query.as_str() {
        "" => Command::List { if_match, changes },
        "force=1" => Command::Forced { if_match, changes },
        _ => return Err(No::bad("a write takes force=1 or nothing")),
    };
    match server.core.ask(Question::Change(command)).await? {
        Answer::Applied(applied) => Ok(json(&value!({ "rev": applied.rev }))),
        other => server.otherwise(asked, other).await,
    }
}

fn notices(asked: &Asked, server: &Server) -> Result<Response<Body>, No> {
    let lines = asked.body.split(|byte| *byte == b'\n').enumerate();
    let lines = lines.filter(|(_, line)| !line.trim_ascii().is_empty());
    let read = |(number, line): (usize, &[u8])| {
        serde_json::from_slice::<Notice>(line)
            .map_err(|error| No::bad(format!("line {}: {error}", number + 1)))
    };
    let notices: Vec<Notice> = lines.map(read).collect::<Result<_, No>>()?;
    for Notice { id, state } in notices {
        server.notices[state as usize].fetch_add(1, Ordering::Relaxed);
        tracing::debug!(id, state = ["failed", "returned"][state as usize], "notice");
    }
    Ok(text(StatusCode::NO_CONTENT, ""))
}

/// What was found here, or what the leader answered.
enum Found<T> {
    Here(T),
    Elsewhere(Response<Body>),
}

/// Looks at the state once it is as late as the question.
async fn fresh<T: Send + 'static>(
    asked: &Asked,
    server: &Server,
    look: impl FnOnce(&State) -> T + Send + 'static,
) -> Result<Found<T>, No> {
    match elsewhere(asked, server).await? {
        None => Ok(Found::Here(
            server
                .core
                .look(move |replica, _| look(replica.state()))
                .await?,
        )),
        Some(response) => Ok(Found::Elsewhere(response)),
    }
}

async fn rules(asked: &Asked, server: &Server) -> Result<Response<Body>, No> {
    // who has acknowledged what the leader alone knows
    let leads = server.core.look(|replica, _| replica.leads()).await?;
    if !leads {
        let leader = server.core.seen.borrow().leader;
        return server.otherwise(asked, Answer::NotLeader(leader)).await;
    }
    if let Some(response) = elsewhere(asked, server).await? {
        return Ok(response);
    }
    let report = server.core.look(|replica, now| {
        let mut report = replica.rules_report(now);
        if let Some(versions) = &replica.state().versions {
            report["rules"] = serde_json::to_value(versions.target_rules()).unwrap_or_default();
            report["in_force"] = serde_json::to_value(versions.rules()).unwrap_or_default();
            report["floor"] = serde_json::to_value(versions.fallback()).unwrap_or_default();
        }
        report
    });
    match report.await? {
        serde_json::Value::Null => Err(No::new(StatusCode::NOT_FOUND, "no rules are agreed here")),
        report => Ok(json(&report)),
    }
}

async fn propose(asked: &Asked, server: &Server) -> Result<Response<Body>, No> {
    let rules: Rules = read(asked)?;
    rules.validate().map_err(No::bad)?;
    let from = match wanted(asked)? {
        Some(version) => version,
        None => {
            let version = server
                .core
                .look(|replica, _| replica.state().tag().map(|tag| tag.version))
                .await?;
            version.ok_or_else(|| No::new(StatusCode::NOT_FOUND, "no rules are agreed here"))?
        }
    };
    match server
        .core
        .ask(Question::Change(Command::Rules(Proposal { from, rules })))
        .await?
    {
        Answer::Applied(applied) => Ok(json(&serde_json::to_value(applied.tag).map_err(No::busy)?)),
        other => server.otherwise(asked, other).await,
    }
}

async fn status(server: &Server) -> Result<Response<Body>, No> {
    let mut report = server.core.look(|replica, now| replica.report(now)).await?;
    report["watchers"] = server.watching.load(Ordering::Relaxed).into();
    report["watchers_cut"] = count(&server.cut).into();
    report["backlog"] = count(&server.backlog).into();
    let [failed, returned] = &server.notices;
    report["notices"] = value!({ "failed": count(failed), "returned": count(returned) });
    Ok(json(&report))
}

async fn replicas(
    asked: &Asked,
    server: &Server,
    id: &str,
    place: Option<Place>,
) -> Result<Response<Body>, No> {
    let id = id
        .parse()
        .map_err(|_| No::bad("the replica's id is no number"))?;
    let change = ReplicaChange {
        id,
        place,
        votes: false,
    };
    match server.core.ask(Question::Replicas(change)).await? {
        Answer::Applied(_) => Ok(text(StatusCode::NO_CONTENT, "")),
        other => server.otherwise(asked, other).await,
    }
}
