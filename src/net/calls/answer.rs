//! The answer to a call, and what it means for each of its messages.

use super::{Call, CallContext, Item};
use crate::net::end_proof::{BulkLine, EndProof};
use crate::net::events::MAX_BODY_BYTES;
use crate::net::pool::{ConnectionLease, SuccessLine};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderMap, RETRY_AFTER, TRANSFER_ENCODING};
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
/// The endpoint says that the call did not run its message.
const NOT_SENT: Outcome = Outcome::NotSent { no_slot: false };

/// How the attempt to deliver one message ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct AttemptResult {
    pub(super) outcome: Outcome,
    /// Where nothing more is owed for the message: what proves that.
    pub(super) proof: Option<EndProof>,
}

impl AttemptResult {
    /// The message was delivered.
    fn delivered(proof: EndProof) -> Self {
        AttemptResult {
            outcome: Outcome::Success,
            proof: Some(proof),
        }
    }

    /// The message is over at its endpoint, which did not run it.
    fn gone(proof: EndProof) -> Self {
        AttemptResult {
            outcome: NOT_SENT,
            proof: Some(proof),
        }
    }
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        AttemptResult {
            outcome,
            proof: None,
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
    /// The one message of a call was delivered, whatever else its answer was to tell.
    pub(super) fn of_status_line(line: &SuccessLine) -> Self {
        let proof = EndProof::of_status_line(line);
        CallAnswer {
            is_from_endpoint: true,
            is_whole: false,
            results: CallResults::Same(AttemptResult::delivered(proof)),
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
    let retry_after = context.note_retry_after(&head.headers);
    let is_bulk = call.items.len() > 1;
    let results = if is_bulk && head.status == StatusCode::OK {
        let is_length_told = is_length_told(&head.headers);
        match read_bulk_text(body, lease).await {
            Some(text) => {
                let text = BulkText {
                    text: &text,
                    is_length_told,
                };
                CallResults::Each(bulk_results(text, &call.items, retry_after))
            }
            None => CallResults::Same(Outcome::Reset.into()),
        }
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
pub(super) fn answer_kind(head: &Parts) -> AnswerKind {
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
    if let Some(proof) = EndProof::of_gone_head(head) {
        return AttemptResult::gone(proof);
    }
    if let Some(proof) = EndProof::of_delivered_head(head).filter(|_| !is_bulk) {
        return AttemptResult::delivered(proof);
    }
    match head.status {
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

/// Whether a head says where its body ends; without that the end of the connection does, which may cut it short.
fn is_length_told(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// The body of an answer to a bulk request; none if it does not come as the head says.
async fn read_bulk_text(body: Incoming, lease: ConnectionLease) -> Option<Bytes> {
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(text) => {
            lease.release();
            Some(text.to_bytes())
        }
        Err(_) => {
            lease.discard(CloseReason::Unreadable);
            None
        }
    }
}

/// Reads the rest of an answer that has told all it had to, so that its connection can carry another call.
pub(super) async fn read_rest(body: Incoming, lease: ConnectionLease) {
    let rest = Limited::new(body, MAX_BODY_BYTES).collect();
    match timeout(REST_OF_ANSWER_TIME, rest).await {
        Ok(Ok(_)) => lease.release(),
        _ => lease.discard(CloseReason::Unreadable),
    }
}

/// The body of an answer to a bulk request.
#[derive(Debug, Clone, Copy)]
pub(super) struct BulkText<'a> {
    pub(super) text: &'a [u8],
    /// The answer's head said where it ends.
    pub(super) is_length_told: bool,
}

/// Each message's result; one that the answer does not name, or names in no known word, may have run.
pub(super) fn bulk_results(
    answer: BulkText<'_>,
    items: &[Item],
    retry_after: Option<Micros>,
) -> Vec<AttemptResult> {
    let lines: HashMap<&[u8], BulkLine<'_>> =
        BulkLine::parse_complete(answer.text, answer.is_length_told)
            .map(|line| (line.id(), line))
            .collect();
    let result = |item: &Item| match lines.get(item.id.as_bytes()) {
        Some(line) => result_of_line(line, retry_after),
        None => Outcome::Error.into(),
    };
    items.iter().map(result).collect()
}

/// The result that a line of a bulk answer tells.
fn result_of_line(line: &BulkLine<'_>, retry_after: Option<Micros>) -> AttemptResult {
    if let Some(proof) = EndProof::of_delivered_line(line) {
        return AttemptResult::delivered(proof);
    }
    if let Some(proof) = EndProof::of_gone_line(line) {
        return AttemptResult::gone(proof);
    }
    match line.status() {
        b"later" => Outcome::Rejected { retry_after }.into(),
        b"exhausted" => NOT_SENT.into(),
        _ => Outcome::Error.into(),
    }
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
