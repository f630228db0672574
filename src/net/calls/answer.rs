//! Interprets the answer to a call: the outcome of each of its messages, the load report and the Retry-After.

use super::attempt_result::{AttemptResult, CallResults, MayHaveRun};
use super::non_execution::{NonExecution, RefusalContext, SLOTS_TAKEN, Unproven};
use super::{Call, CallContext, Item};
use crate::net::body::{self, ReservedText};
use crate::net::complete_answer::{CompleteAnswer, is_length_known};
use crate::net::end_proof::{BulkLine, EndProof};
use crate::net::events::MAX_BODY_BYTES;
use crate::net::message_log::{self, UnprovenAnswer};
use crate::net::pool::{ConnectionLease, SuccessLine};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use message_sender::pool::{AnswerKind, CloseReason};
use message_sender::{MILLISECOND, Micros};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep, timeout};

/// Maximum time for the remainder of an answer after its head was received.
pub(super) const ANSWER_REMAINDER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a Retry-After is reported before its answer is complete. Calls that begin within 100 ms of a
/// Retry-After are still let through.
const RETRY_AFTER_REPORT_DELAY: Duration = Duration::from_millis(20);

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
            ..AttemptResult::delivered(proof).into()
        }
    }
}

impl<T: Into<AttemptResult>> From<T> for CallAnswer {
    /// Creates the answer of a call that ended with this result, without a head from the endpoint.
    fn from(result: T) -> Self {
        CallAnswer {
            is_from_endpoint: false,
            is_head_complete: false,
            results: CallResults::Same(result.into()),
            load_report: Vec::new(),
            retry_after: None,
        }
    }
}

/// What a status says of the messages of a call, which decides how much of the answer is needed as evidence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StatusMeaning {
    /// The single message of the call was delivered.
    Delivered,
    /// The body holds a line for each message of the call.
    BulkResults,
    /// No message of the call was executed.
    NotExecuted,
    /// The messages are gone: none was executed, and none must be sent again.
    Gone,
    /// The call failed, and the endpoint may have executed it.
    Failed,
}

impl StatusMeaning {
    fn of(status: StatusCode, is_bulk: bool) -> Self {
        match status {
            StatusCode::OK if is_bulk => StatusMeaning::BulkResults,
            StatusCode::OK => StatusMeaning::Delivered,
            StatusCode::GONE => StatusMeaning::Gone,
            StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::GATEWAY_TIMEOUT => StatusMeaning::NotExecuted,
            StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE if is_bulk => {
                StatusMeaning::NotExecuted
            }
            _ => StatusMeaning::Failed,
        }
    }
}

/// Answer whose head has been received, and the connection on which its body follows.
struct ReceivedHead<'a> {
    context: &'a Rc<CallContext>,
    call: &'a Call,
    lease: ConnectionLease,
    head: Parts,
    body: Incoming,
    /// Retry-After delay of the head, in microseconds.
    retry_after: Option<Micros>,
}

/// Reads the answer to a call. The connection is released once the whole answer has been read.
pub(super) async fn read_answer(
    context: &Rc<CallContext>,
    call: &Call,
    lease: ConnectionLease,
    response: Response<Incoming>,
) -> CallAnswer {
    let (head, body) = response.into_parts();
    log_unexpected(context, call, head.status);
    let load_report = read_load_report(&head.headers, &context.report_fields.borrow());
    let retry_after = context.note_retry_after(&head.headers);
    let meaning = StatusMeaning::of(head.status, call.items.len() > 1);
    let received = ReceivedHead {
        context,
        call,
        lease,
        head,
        body,
        retry_after,
    };
    let (results, retry_after) = match meaning {
        StatusMeaning::Delivered => {
            let delivered = EndProof::of_delivered_head(&received.head);
            let result = delivered.map_or(MayHaveRun::Error.into(), AttemptResult::delivered);
            (CallResults::Same(received.end_with(result)), retry_after)
        }
        StatusMeaning::Failed => {
            let result = received.end_with(MayHaveRun::Error.into());
            (CallResults::Same(result), retry_after)
        }
        StatusMeaning::BulkResults => (received.read_bulk_results().await, retry_after),
        StatusMeaning::NotExecuted | StatusMeaning::Gone => {
            let (result, retry_after) = received.read_refusal().await;
            (CallResults::Same(result), retry_after)
        }
    };
    CallAnswer {
        is_from_endpoint: true,
        is_head_complete: true,
        results,
        load_report,
        retry_after,
    }
}

impl ReceivedHead<'_> {
    /// Returns the result that the head alone gives. The body is read only to free the connection.
    fn end_with(self, result: AttemptResult) -> AttemptResult {
        self.lease.record_answer(answer_kind(&self.head));
        tokio::task::spawn_local(read_remainder(self.body, self.lease));
        result
    }

    /// Reads the lines of a bulk answer.
    async fn read_bulk_results(self) -> CallResults {
        self.lease.record_answer(answer_kind(&self.head));
        let is_length_known = is_length_known(&self.head.headers);
        let free_bytes = self.context.connections.answer_bytes();
        let Some(text) = read_bulk_text(self.body, self.lease, free_bytes).await else {
            return CallResults::Same(MayHaveRun::Reset.into());
        };
        let text = BulkText {
            text: text.bytes(),
            is_length_known,
        };
        CallResults::Each(bulk_results(text, &self.call.items, self.retry_after))
    }

    /// Reads an answer that counts as proof only if it is complete, and returns its result and the rest of its
    /// Retry-After delay. A delay in an incomplete answer still counts.
    async fn read_refusal(self) -> (AttemptResult, Option<Micros>) {
        let head_received_at = Instant::now();
        let status = self.head.status;
        let kind = answer_kind(&self.head);
        let receive = CompleteAnswer::receive(self.head, self.body, ANSWER_REMAINDER_TIMEOUT);
        tokio::pin!(receive);
        let received = tokio::select! {
            biased;
            received = &mut receive => received,
            () = sleep(RETRY_AFTER_REPORT_DELAY) => {
                if let Some(delay) = self.retry_after {
                    self.context.report_retry_after(self.call.target, delay);
                }
                receive.await
            }
        };
        let retry_after = self
            .retry_after
            .map(|delay| remaining_delay(delay, head_received_at));
        let answer = match received {
            Ok(answer) => answer,
            Err(error) => {
                self.lease.record_answer(AnswerKind::Other);
                self.lease.discard(CloseReason::Unreadable);
                log_unproven(self.call, status, error.into());
                return (MayHaveRun::Reset.into(), retry_after);
            }
        };
        let refusal = RefusalContext {
            is_bulk: self.call.items.len() > 1,
            connection_rejected: self.lease.record_answer(kind),
            retry_after,
        };
        self.lease.release();
        if let Some(proof) = EndProof::of_gone_answer(&answer) {
            return (AttemptResult::gone(proof), retry_after);
        }
        match NonExecution::of_answer(&answer, refusal) {
            Ok(proof) => (proof.into(), retry_after),
            Err(reason) => {
                log_unproven(self.call, status, reason);
                (MayHaveRun::Error.into(), retry_after)
            }
        }
    }
}

/// Returns what is left of a Retry-After delay (microseconds) that began at `since`, at least a millisecond.
fn remaining_delay(delay: Micros, since: Instant) -> Micros {
    let elapsed = Micros::try_from(since.elapsed().as_micros()).unwrap_or(Micros::MAX);
    delay.saturating_sub(elapsed).max(MILLISECOND)
}

/// Logs an answer whose status says that the call was not executed, but that does not prove it.
fn log_unproven(call: &Call, status: StatusCode, reason: Unproven) {
    message_log::log_unproven_answer(&UnprovenAnswer {
        address: call.target.address,
        ids: call.items.iter().map(|item| &item.id).collect(),
        status,
        reason: &reason,
    });
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

/// Reads the body of an answer to a bulk request; `None` if the body is cut short, invalid or too long.
async fn read_bulk_text(
    body: Incoming,
    lease: ConnectionLease,
    free_bytes: Arc<Semaphore>,
) -> Option<ReservedText> {
    match body::read_reserved(body, MAX_BODY_BYTES, free_bytes).await {
        Ok(text) => {
            lease.release();
            Some(text)
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
    let remainder = body::discard(body, MAX_BODY_BYTES);
    match timeout(ANSWER_REMAINDER_TIMEOUT, remainder).await {
        Ok(Ok(())) => lease.release(),
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
    let mut lines: HashMap<&[u8], Vec<BulkLine<'_>>> = HashMap::new();
    for line in BulkLine::parse_complete(answer.text, answer.is_length_known) {
        lines.entry(line.id()).or_default().push(line);
    }
    let result = |item: &Item| match lines.get(item.id.as_bytes()) {
        Some(lines) => result_of_lines(answer, lines, retry_after),
        None => MayHaveRun::Error.into(),
    };
    items.iter().map(result).collect()
}

/// Returns the result that the lines of one message in a bulk answer give. Lines that contradict one another prove
/// nothing.
fn result_of_lines(
    answer: BulkText<'_>,
    lines: &[BulkLine<'_>],
    retry_after: Option<Micros>,
) -> AttemptResult {
    let mut statuses = lines.iter().map(BulkLine::status);
    let first_status = statuses.next();
    let Some(line) = lines
        .first()
        .filter(|_| statuses.all(|status| Some(status) == first_status))
    else {
        return MayHaveRun::Error.into();
    };
    if let Some(proof) = EndProof::of_delivered_line(line) {
        return AttemptResult::delivered(proof);
    }
    if let Some(proof) = EndProof::of_gone_line(line) {
        return AttemptResult::gone(proof);
    }
    match NonExecution::of_line(answer, line, retry_after) {
        Some(proof) => proof.into(),
        None => MayHaveRun::Error.into(),
    }
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
