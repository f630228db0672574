//! The freeze calendar, the windows that are on, and the break-glass override.

use super::Server;
use super::api::{ApiError, ApiRequest, ApiResult, json};
use super::forwarding::Read;
use crate::commands::ClientRequest;
use crate::replica::{Answer, Replica};
use crate::state::Command;
use hyper::Method;
use quota_ledger::freeze::{BreakGlassOverride, FreezeCalendar, FreezeEntry};
use serde_json::{Value, json as value};
use versioned_config::Micros;

/// The paths below `/v1/freeze`.
pub(super) async fn handle(request: &ApiRequest, server: &Server, path: &[&str]) -> ApiResult {
    let entry = match (path, &request.method) {
        ([], &Method::GET) => return report(request, server).await,
        ([], &Method::PUT) => put_calendar(request)?,
        (["glass"], &Method::POST) => break_glass(request, server).await?,
        (["glass"], &Method::DELETE) => FreezeEntry::EndOverride,
        ([] | ["glass"], _) => return Err(request.method_not_allowed()),
        _ => return Err(ApiError::NoSuchPath),
    };
    match server
        .replica
        .request(ClientRequest::Propose(Command::Freeze(entry)))
        .await?
    {
        Answer::Applied(_) => {
            let rev = server
                .replica
                .inspect(|replica, _| replica.state().freeze.revision())
                .await?;
            Ok(json(&value!({ "rev": rev })))
        }
        answer => server.respond_to(request, answer).await,
    }
}

fn put_calendar(request: &ApiRequest) -> Result<FreezeEntry, ApiError> {
    let calendar: FreezeCalendar = request.json()?;
    calendar.check_times().map_err(ApiError::Freeze)?;
    Ok(FreezeEntry::PutCalendar {
        calendar,
        if_match: request.expected_version()?,
    })
}

async fn break_glass(request: &ApiRequest, server: &Server) -> Result<FreezeEntry, ApiError> {
    let break_glass_override: BreakGlassOverride = request.json()?;
    let clocks = server
        .replica
        .inspect(|replica, now| replica.clocks(now))
        .await?;
    let now_ms = clocks.ok_or(ApiError::ClockUnknown)?.earliest();
    Ok(FreezeEntry::BreakGlass {
        break_glass_override,
        now_ms,
    })
}

async fn report(request: &ApiRequest, server: &Server) -> ApiResult {
    match server.read(request, full_report).await? {
        Read::Here(Value::Null) => Err(ApiError::ClockUnknown),
        Read::Here(report) => Ok(json(&report)),
        Read::Forwarded(response) => Ok(response),
    }
}

fn full_report(replica: &mut Replica, now: Micros) -> Value {
    let mut report = replica.freeze_report(now);
    if let Some(clocks) = replica.clocks(now) {
        let calendar = replica.state().freeze.calendar();
        report["calendar"] = serde_json::to_value(calendar).unwrap_or_default();
        report["ended"] = value!(calendar.ended_windows(clocks.earliest()));
    }
    report
}
