//! Interprets the answer to a call: the outcome of each of its messages, the load report and the Retry-After.

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

/// Maximum time for the remainder of an answer after the results of its messages are known.
pub(super) const ANSWER_REMAINDER_TIMEOUT: Duration = Duration::from_secs(1);
/// Header of a 503 answer that was sent because no call slot was free. Value 1 means that this sender itself occupies
/// all of its slots at the endpoint.
const SLOTS_TAKEN: &str = "slots-taken";
/// Maximum Retry-After delay in milliseconds, one day; longer ones are cut to it.
const MAX_RETRY_AFTER_MS: Micros = 86_400_000;
/// Outcome of a message that the endpoint says it did not process.
const NOT_SENT: Outcome = Outcome::NotSent { no_slot: false };

/// Result of the attempt to deliver one message.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct AttemptResult {
    pub(super) outcome: Outcome,
    /// Proof that the message is complete and needs no further attempt; `None` if there is no such proof.
    pub(super) proof: Option<EndProof>,
}

impl AttemptResult {
    /// Creates the result of a delivered message.
    fn delivered(proof: EndProof) -> Self {
        AttemptResult {
            outcome: Outcome::Success,
            proof: Some(proof),
        }
    }

    /// Creates the result of a message that the endpoint declares gone: the endpoint did not process it, and the
    /// message must not be sent again.
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

/// Results of the messages of one call.
pub(super) enum CallResults {
    /// One result that applies to every message.
    Same(AttemptResult),
    /// One result for each message, by its position in the call.
    Each(Vec<AttemptResult>),
}

impl CallResults {
    /// Returns the result of the message at position `item`. A position without a result counts as an error, after
    /// which the endpoint may have processed the message.
    pub(super) fn of_item(&self, item: usize) -> AttemptResult {
        match self {
            CallResults::Same(result) => *result,
            CallResults::Each(results) => {
                results.get(item).copied().unwrap_or(Outcome::Error.into())
            }
        }
    }
}

/// Results of a whole call, with the further fields of its answer.
pub(super) struct CallAnswer {
    /// True if the results come from the endpoint's answer, not from a time-out or failure on this side.
    pub(super) is_from_endpoint: bool,
    /// True if the whole head of the answer was received.
    pub(super) is_head_complete: bool,
    pub(super) results: CallResults,
    /// Values of the endpoint's load report, in the order of the settings; empty without a valid report.
    pub(super) load_report: Vec<f64>,
    /// Retry-After delay of the answer, in microseconds.
    pub(super) retry_after: Option<Micros>,
}

impl CallAnswer {
    /// Creates the answer of a call with a single message whose status line says 200. That line alone proves the
    /// delivery, whatever the remainder of the answer holds.
    pub(super) fn of_status_line(line: &SuccessLine) -> Self {
        let proof = EndProof::of_status_line(line);
        CallAnswer {
            is_from_endpoint: true,
            is_head_complete: false,
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
            is_head_complete: false,
            results: CallResults::Same(outcome.into()),
            load_report: Vec::new(),
            retry_after: None,
        }
    }
}

/// Reads the answer to a call. The connection is released once the whole answer has been read.
pub(super) async fn read_answer(
    context: &Rc<CallContext>,
    call: &Call,
    lease: ConnectionLease,
    response: Response<Incoming>,
) -> CallAnswer {
    let (head, body) = response.into_parts();
    let connection_rejected = lease.record_answer(answer_kind(&head));
    let load_report = read_load_report(&head.headers, &context.report_fields.borrow());
    let retry_after = context.note_retry_after(&head.headers);
    let is_bulk = call.items.len() > 1;
    let results = if is_bulk && head.status == StatusCode::OK {
        let is_length_known = is_length_known(&head.headers);
        match read_bulk_text(body, lease).await {
            Some(text) => {
                let text = BulkText {
                    text: &text,
                    is_length_known,
                };
                CallResults::Each(bulk_results(text, &call.items, retry_after))
            }
            None => CallResults::Same(Outcome::Reset.into()),
        }
    } else {
        // the results are known; the remainder of the answer is read only to free the connection
        tokio::task::spawn_local(read_remainder(body, lease));
        log_unexpected(context, call, head.status);
        let rejected = rejection(connection_rejected, retry_after);
        CallResults::Same(result_of_status(&head, is_bulk, rejected))
    };
    CallAnswer {
        is_from_endpoint: true,
        is_head_complete: true,
        results,
        load_report,
        retry_after,
    }
}

/// Returns the kind of an answer, from which the connection pool learns whether the endpoint accepts connections.
pub(super) fn answer_kind(head: &Parts) -> AnswerKind {
    match head.status {
        StatusCode::OK => AnswerKind::Served,
        // a lack of call slots says nothing about the number of connections that the endpoint accepts
        StatusCode::SERVICE_UNAVAILABLE if !head.headers.contains_key(SLOTS_TAKEN) => {
            AnswerKind::Rejected
        }
        _ => AnswerKind::Other,
    }
}

/// Returns the outcome of a rejected call. A call that was rejected for lack of connection capacity, without a
/// Retry-After, counts as not sent, since it says nothing about the endpoint's limit on calls.
fn rejection(connection_rejected: bool, retry_after: Option<Micros>) -> Outcome {
    if connection_rejected && retry_after.is_none() {
        Outcome::NotSent { no_slot: false }
    } else {
        Outcome::Rejected { retry_after }
    }
}

/// Returns the result that an answer's status gives to every message of the call.
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

/// Logs an answer whose status the protocol with endpoints does not define.
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

/// Returns whether the head says where the body ends. Otherwise the body ends with the connection, so that a body that
/// was cut short cannot be distinguished from a complete one.
fn is_length_known(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Reads the body of an answer to a bulk request; `None` if the body is cut short, invalid or too long.
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

/// Reads and discards the remainder of an answer whose results are known, so that its connection can carry another
/// call. A connection whose answer does not end in time is closed.
pub(super) async fn read_remainder(body: Incoming, lease: ConnectionLease) {
    let remainder = Limited::new(body, MAX_BODY_BYTES).collect();
    match timeout(ANSWER_REMAINDER_TIMEOUT, remainder).await {
        Ok(Ok(_)) => lease.release(),
        _ => lease.discard(CloseReason::Unreadable),
    }
}

/// Body of an answer to a bulk request: one line for each message.
#[derive(Debug, Clone, Copy)]
pub(super) struct BulkText<'a> {
    pub(super) text: &'a [u8],
    /// True if the head of the answer says where the body ends; a last line without line feed is then complete.
    pub(super) is_length_known: bool,
}

/// Returns the result of each message of a bulk call. A message without a line in the answer, or with an unknown result
/// word, counts as an error, after which the endpoint may have processed it.
pub(super) fn bulk_results(
    answer: BulkText<'_>,
    items: &[Item],
    retry_after: Option<Micros>,
) -> Vec<AttemptResult> {
    let lines: HashMap<&[u8], BulkLine<'_>> =
        BulkLine::parse_complete(answer.text, answer.is_length_known)
            .map(|line| (line.id(), line))
            .collect();
    let result = |item: &Item| match lines.get(item.id.as_bytes()) {
        Some(line) => result_of_line(line, retry_after),
        None => Outcome::Error.into(),
    };
    items.iter().map(result).collect()
}

/// Returns the result that one line of a bulk answer gives to its message.
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

/// Parses a `Retry-After` in seconds, with or without decimals, and rounds it up to a whole millisecond. Returns
/// microseconds, or `None` if the value is no positive number.
pub(super) fn read_retry_after(headers: &HeaderMap) -> Option<Micros> {
    let text = headers.get(RETRY_AFTER)?.to_str().ok()?;
    let seconds: f64 = text.trim().parse().ok()?;
    if !seconds.is_finite() || seconds <= 0.0 {
        return None;
    }
    let delay_ms = ((seconds * 1e3).ceil() as Micros).min(MAX_RETRY_AFTER_MS);
    Some(delay_ms * MILLISECOND)
}

/// Returns the values of the endpoint's load report in the order of `fields`. The result is empty if a field is missing
/// or its value is no finite number.
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
