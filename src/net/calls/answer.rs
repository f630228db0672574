//! The answer to a call, and what it means for each of its messages.

use super::{Call, CallContext, Item};
use crate::net::events::MAX_BODY_BYTES;
use crate::net::pool::ConnectionLease;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, RETRY_AFTER};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use message_sender::pool::{AnswerKind, CloseReason};
use message_sender::{MILLISECOND, Micros, Outcome};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Longest time for the rest of an answer whose first line has come.
pub(super) const REST_OF_ANSWER_TIME: Duration = Duration::from_secs(1);
/// A 503 with this header is for want of a call slot: 1 where all slots of this sender are taken.
const SLOTS_TAKEN: &str = "slots-taken";
/// A longer Retry-After is cut to a day, in milliseconds.
const MAX_RETRY_AFTER_MS: Micros = 86_400_000;

/// How the attempt to deliver one message ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct AttemptResult {
    pub(super) outcome: Outcome,
    /// Nothing more is to be sent or notified for the message.
    pub(super) is_complete: bool,
}

impl AttemptResult {
    const SERVED: Self = AttemptResult::complete(Outcome::Success);

    const fn complete(outcome: Outcome) -> Self {
        AttemptResult {
            outcome,
            is_complete: true,
        }
    }
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        AttemptResult {
            outcome,
            is_complete: false,
        }
    }
}

/// The results of a call's messages.
pub(super) enum CallResults {
    /// The same for all of them.
    Same(AttemptResult),
    /// By position.
    Each(Vec<AttemptResult>),
}

impl CallResults {
    /// The result of the message at this position; one that is not named may have run.
    pub(super) fn of_item(&self, item: usize) -> AttemptResult {
        match self {
            CallResults::Same(result) => *result,
            CallResults::Each(results) => {
                results.get(item).copied().unwrap_or(Outcome::Error.into())
            }
        }
    }
}

/// What came of a whole call.
pub(super) struct CallAnswer {
    /// The endpoint has answered it.
    pub(super) is_from_endpoint: bool,
    /// The whole head of that answer has come.
    pub(super) is_whole: bool,
    pub(super) results: CallResults,
    /// The fields of the endpoint's load report.
    pub(super) load_report: Vec<f64>,
    pub(super) retry_after: Option<Micros>,
}

impl CallAnswer {
    /// The one message of a call was served, whatever else its answer was to tell.
    pub(super) fn served() -> Self {
        CallAnswer {
            is_from_endpoint: true,
            is_whole: false,
            results: CallResults::Same(AttemptResult::SERVED),
            load_report: Vec::new(),
            retry_after: None,
        }
    }
}

impl From<Outcome> for CallAnswer {
    fn from(outcome: Outcome) -> Self {
        CallAnswer {
            is_from_endpoint: false,
            is_whole: false,
            results: CallResults::Same(outcome.into()),
            load_report: Vec::new(),
            retry_after: None,
        }
    }
}

/// Reads the answer to a call; its connection is released once nothing more comes.
pub(super) async fn read_answer(
    context: &Rc<CallContext>,
    call: &Call,
    lease: ConnectionLease,
    response: Response<Incoming>,
) -> CallAnswer {
    let (head, body) = response.into_parts();
    let no_room = lease.record_answer(answer_kind(&head));
    let load_report = read_load_report(&head.headers, &context.report_fields.borrow());
    let retry_after = read_retry_after(&head.headers);
    if retry_after.is_some() {
        context.sees_retry_after.set(true);
    }
    let is_bulk = call.items.len() > 1;
    let results = if is_bulk && head.status == StatusCode::OK {
        read_bulk_results(body, &call.items, retry_after, lease).await
    } else {
        // the result is known; the rest of the answer only frees the connection
        tokio::task::spawn_local(read_rest(body, lease));
        log_unexpected(context, call, head.status);
        let rejected = rejection(no_room, retry_after);
        CallResults::Same(result_of_status(&head, is_bulk, rejected))
    };
    CallAnswer {
        is_from_endpoint: true,
        is_whole: true,
        results,
        load_report,
        retry_after,
    }
}

/// What the answer tells the connection pool.
fn answer_kind(head: &Parts) -> AnswerKind {
    match head.status {
        StatusCode::OK => AnswerKind::Served,
        // all slots of this sender taken has nothing to do with its connections
        StatusCode::SERVICE_UNAVAILABLE if !head.headers.contains_key(SLOTS_TAKEN) => {
            AnswerKind::Rejected
        }
        _ => AnswerKind::Other,
    }
}

/// The outcome of a rejection. One that found no room for its connection says nothing of a limit on calls.
fn rejection(no_room: bool, retry_after: Option<Micros>) -> Outcome {
    if no_room && retry_after.is_none() {
        Outcome::NotSent { no_slot: false }
    } else {
        Outcome::Rejected { retry_after }
    }
}

/// The result that an answer's status tells for all messages of a call.
fn result_of_status(head: &Parts, is_bulk: bool, rejected: Outcome) -> AttemptResult {
    const NOT_SENT: Outcome = Outcome::NotSent { no_slot: false };
    match head.status {
        StatusCode::OK => AttemptResult::SERVED,
        StatusCode::TOO_MANY_REQUESTS => rejected.into(),
        StatusCode::SERVICE_UNAVAILABLE => {
            let slots_taken = head.headers.get(SLOTS_TAKEN);
            if slots_taken.is_some_and(|value| value == "1") {
                Outcome::NotSent { no_slot: true }.into()
            } else {
                rejected.into()
            }
        }
        StatusCode::GATEWAY_TIMEOUT => NOT_SENT.into(),
        StatusCode::GONE => AttemptResult::complete(NOT_SENT),
        StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE if is_bulk => NOT_SENT.into(),
        _ => Outcome::Error.into(),
    }
}

/// Logs a status that an endpoint should not answer with.
fn log_unexpected(context: &CallContext, call: &Call, status: StatusCode) {
    let address = call.target.address;
    match status {
        StatusCode::OK
        | StatusCode::TOO_MANY_REQUESTS
        | StatusCode::SERVICE_UNAVAILABLE
        | StatusCode::GATEWAY_TIMEOUT
        | StatusCode::GONE
        | StatusCode::INTERNAL_SERVER_ERROR => {}
        StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE if call.items.len() > 1 => {
            context.failure_log.log(format_args!(
                "calls: {address} answered a bulk call with {status}"
            ));
        }
        status => context
            .failure_log
            .log(format_args!("calls: {address} answered {status}")),
    }
}

/// The whole answer to a bulk request tells each message's result.
async fn read_bulk_results(
    body: Incoming,
    items: &[Item],
    retry_after: Option<Micros>,
    lease: ConnectionLease,
) -> CallResults {
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(text) => {
            let results = bulk_results(&text.to_bytes(), items, retry_after);
            lease.release();
            CallResults::Each(results)
        }
        Err(_) => {
            lease.discard(CloseReason::Unreadable);
            CallResults::Same(Outcome::Reset.into())
        }
    }
}

async fn read_rest(body: Incoming, lease: ConnectionLease) {
    let rest = Limited::new(body, MAX_BODY_BYTES).collect();
    match timeout(REST_OF_ANSWER_TIME, rest).await {
        Ok(Ok(_)) => lease.release(),
        _ => lease.discard(CloseReason::Unreadable),
    }
}

/// Each message's result; one that the answer does not name, or names in no known word, may have run.
pub(super) fn bulk_results(
    text: &[u8],
    items: &[Item],
    retry_after: Option<Micros>,
) -> Vec<AttemptResult> {
    let words_by_id: HashMap<&[u8], &[u8]> = text
        .split(|&byte| byte == b'\n')
        .filter_map(|line| {
            let space = line.iter().position(|&byte| byte == b' ')?;
            Some((&line[..space], line[space + 1..].trim_ascii()))
        })
        .collect();
    let result = |item: &Item| match words_by_id.get(item.id.as_bytes()).copied() {
        Some(b"ok") => AttemptResult::SERVED,
        Some(b"later") => Outcome::Rejected { retry_after }.into(),
        Some(b"gone") => AttemptResult::complete(Outcome::NotSent { no_slot: false }),
        Some(b"exhausted") => Outcome::NotSent { no_slot: false }.into(),
        _ => Outcome::Error.into(),
    };
    items.iter().map(result).collect()
}

/// The time of a `Retry-After` in seconds, with or without decimals; none where it cannot be read.
pub(super) fn read_retry_after(headers: &HeaderMap) -> Option<Micros> {
    let text = headers.get(RETRY_AFTER)?.to_str().ok()?;
    let seconds: f64 = text.trim().parse().ok()?;
    if !seconds.is_finite() || seconds <= 0.0 {
        return None;
    }
    let millis = ((seconds * 1e3).ceil() as Micros).min(MAX_RETRY_AFTER_MS);
    Some(millis * MILLISECOND)
}

/// The load report in the order of the settings; empty unless it is complete and sound.
pub(super) fn read_load_report(headers: &HeaderMap, fields: &[String]) -> Vec<f64> {
    let header = headers.get("x-server-load");
    let Some(text) = header.and_then(|value| value.to_str().ok()) else {
        return Vec::new();
    };
    let values: HashMap<&str, f64> = text
        .split(',')
        .filter_map(|pair| pair.trim().split_once('='))
        .filter_map(|(name, value)| Some((name, finite(value)?)))
        .collect();
    let report: Option<Vec<f64>> = fields
        .iter()
        .map(|field| values.get(field.as_str()).copied())
        .collect();
    report.unwrap_or_default()
}

fn finite(text: &str) -> Option<f64> {
    text.parse().ok().filter(|value: &f64| value.is_finite())
}
