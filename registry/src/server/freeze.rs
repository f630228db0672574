//! What clients ask of the freeze: the calendar, the windows that are on, the glass.

use super::ledger::explained;
use super::{Asked, Body, No, Server, elsewhere, json, routes::read, routes::wanted};
use crate::core::Asked as Question;
use crate::replica::Answer;
use crate::state::Command;
use hyper::{Method, Response, StatusCode};
use quota_ledger::freeze::{BreakGlassOverride, FreezeCalendar, FreezeEntry, FreezeError};
use serde_json::json as value;
use std::sync::Arc;

/// The answer to what a freeze holds or does not take.
pub(super) fn no(error: &FreezeError) -> No {
    let status = match error {
        FreezeError::InvalidWindow { .. }
        | FreezeError::TooManyWindows
        | FreezeError::InvalidOverride(_) => StatusCode::BAD_REQUEST,
        FreezeError::VersionMismatch { .. } => StatusCode::PRECONDITION_FAILED,
        FreezeError::NoOverride => StatusCode::NOT_FOUND,
        FreezeError::Held { .. }
        | FreezeError::MixedBatch(_)
        | FreezeError::LastEndpoint { .. }
        | FreezeError::ChangeInProgress(_) => StatusCode::CONFLICT,
    };
    No::new(status, explained(error))
}

pub(super) async fn answer(
    asked: &Asked,
    server: &Arc<Server>,
    rest: &[&str],
) -> Result<Response<Body>, No> {
    let entry = match (rest, &asked.method) {
        ([], &Method::GET) => return show(asked, server).await,
        ([], &Method::PUT) => {
            let calendar: FreezeCalendar = read(asked)?;
            calendar.check_times().map_err(|error| no(&error))?;
            FreezeEntry::PutCalendar {
                calendar,
                if_match: wanted(asked)?,
            }
        }
        (["glass"], &Method::POST) => {
            let glass: BreakGlassOverride = read(asked)?;
            let clocks = server.core.look(|replica, now| replica.clocks(now)).await?;
            let now_ms = clocks
                .ok_or_else(|| No::busy("the clock is not known yet"))?
                .earliest();
            FreezeEntry::BreakGlass {
                break_glass_override: glass,
                now_ms,
            }
        }
        (["glass"], &Method::DELETE) => FreezeEntry::EndOverride,
        ([] | ["glass"], method) => {
            return Err(No::new(
                StatusCode::METHOD_NOT_ALLOWED,
                format!("{method} means nothing here"),
            ));
        }
        _ => return Err(No::new(StatusCode::NOT_FOUND, "no such path")),
    };
    match server
        .core
        .ask(Question::Change(Command::Freeze(entry)))
        .await?
    {
        Answer::Applied(_) => {
            let rev = server
                .core
                .look(|replica, _| replica.state().freeze.revision())
                .await?;
            Ok(json(&value!({ "rev": rev })))
        }
        other => server.otherwise(asked, other).await,
    }
}

async fn show(asked: &Asked, server: &Arc<Server>) -> Result<Response<Body>, No> {
    if let Some(response) = elsewhere(asked, server).await? {
        return Ok(response);
    }
    let report = server.core.look(|replica, now| {
        let mut report = replica.freeze_report(now);
        if let (Some(clocks), freeze) = (replica.clocks(now), &replica.state().freeze) {
            report["calendar"] = serde_json::to_value(freeze.calendar()).unwrap_or_default();
            report["ended"] = value!(freeze.calendar().ended_windows(clocks.earliest()));
        }
        report
    });
    match report.await? {
        serde_json::Value::Null => Err(No::busy("the clock is not known yet")),
        report => Ok(json(&report)),
    }
}
