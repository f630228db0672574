//! Log of events of messages, by the ids that clients gave them.
//!
//! Ordinary events are logged only if `RELAY_TRACE` is set: submissions answered as accepted or
//! already delivered, and first attempts that begin or succeed. All other events are logged without
//! it: rejections, retries, hedges, failed attempts with the bytes of their answers that were
//! received, and how such messages end.
//!
//! Without `RELAY_TRACE`, a rate limit keeps many failures from filling the log. The number of
//! suppressed lines is logged.

use super::end_proof::EndProof;
use super::events::SubmissionResult;
use super::journal::UndeliveredOutcome;
use super::{log, trace_enabled};
use hyper::StatusCode;
use hyper::header::HeaderValue;
use message_sender::{MILLISECOND, Outcome};
use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::time::Instant;

/// Sustained limit of log lines a second; a message with a retry takes about five lines.
const LINES_PER_SECOND: f64 = 200.0;
/// Maximum number of log lines in a burst.
const MAX_BURST_LINES: f64 = 2000.0;
/// Maximum number of bytes of an incomplete answer that a log line shows.
const SHOWN_ANSWER_BYTES: usize = 32;

/// Event of a message that is logged.
#[derive(Debug)]
pub enum MessageEvent<'a> {
    /// The client's submission got this result.
    Answered(SubmissionResult),
    /// The message was recovered from the journal when the process started or took over from a
    /// predecessor.
    Recovered {
        /// Number of recorded attempts of earlier processes.
        attempts: usize,
    },
    /// An attempt to deliver the message began.
    AttemptBegan {
        /// Number of the attempt, from 0.
        number: usize,
        /// Name of the endpoint in the endpoint list.
        endpoint: &'a str,
    },
    /// An attempt to deliver the message has an outcome.
    AttemptEnded {
        /// Number of the attempt, from 0.
        number: usize,
        /// Name of the endpoint in the endpoint list; `None` if the driver has forgotten the
        /// endpoint.
        endpoint: Option<&'a str>,
        /// How the attempt ended: success, a rejection or a kind of failure.
        outcome: Outcome,
        /// End proof, if the attempt completed the message.
        proof: Option<EndProof>,
    },
    /// The decision module cancelled an attempt, for example because another attempt delivered the
    /// message.
    AttemptCancelled {
        /// Number of the attempt, from 0.
        number: usize,
    },
    /// Every client that submitted the message disconnected before its response, so the message is
    /// abandoned and counts as complete. The journal may already have recorded it as accepted, and
    /// attempts may have begun: the last client can disconnect after the driver's decision and
    /// before the response.
    ClientLeft,
    /// The client had left when its submission was to be decided on, so the message was not taken on.
    ClientLeftEarly,
    /// The message ended undelivered, and its notification is pending.
    EndedUndelivered(UndeliveredOutcome),
    /// The platform has accepted the outcome notification of the message.
    Notified,
}

impl MessageEvent<'_> {
    /// Returns true for events of a delivery without problems, which are logged only if
    /// `RELAY_TRACE` is set: the client's submission is answered as accepted or already delivered,
    /// and the first attempt begins or succeeds.
    fn is_ordinary(&self) -> bool {
        match self {
            MessageEvent::Answered(result) => matches!(
                result,
                SubmissionResult::Accepted | SubmissionResult::AlreadyDelivered
            ),
            MessageEvent::AttemptBegan { number, .. } => *number == 0,
            MessageEvent::AttemptEnded {
                number, outcome, ..
            } => *number == 0 && *outcome == Outcome::Success,
            MessageEvent::Recovered { .. }
            | MessageEvent::AttemptCancelled { .. }
            | MessageEvent::ClientLeft
            | MessageEvent::ClientLeftEarly
            | MessageEvent::EndedUndelivered(_)
            | MessageEvent::Notified => false,
        }
    }
}

impl fmt::Display for MessageEvent<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MessageEvent::Answered(result) => write!(formatter, "client answered: {result:?}"),
            MessageEvent::Recovered { attempts } => {
                write!(formatter, "recovered after {attempts} attempts")
            }
            MessageEvent::AttemptBegan { number, endpoint } => {
                write!(formatter, "attempt {number} begins at {endpoint}")
            }
            MessageEvent::AttemptEnded {
                number,
                endpoint,
                outcome,
                proof,
            } => {
                let endpoint = endpoint.unwrap_or("a removed endpoint");
                let outcome = OutcomeText(*outcome);
                write!(formatter, "attempt {number} at {endpoint} ended: {outcome}")?;
                match proof {
                    Some(proof) => write!(formatter, "; message complete: {proof}"),
                    None => Ok(()),
                }
            }
            MessageEvent::AttemptCancelled { number } => {
                write!(formatter, "attempt {number} is cancelled")
            }
            MessageEvent::ClientLeft => {
                formatter.write_str("client disconnected before its response")
            }
            MessageEvent::ClientLeftEarly => {
                formatter.write_str("not taken on, its client had left")
            }
            MessageEvent::EndedUndelivered(outcome) => {
                write!(formatter, "ended undelivered: {outcome:?}")
            }
            MessageEvent::Notified => formatter.write_str("notification accepted"),
        }
    }
}

/// Formats an outcome for the log, with delays in milliseconds.
struct OutcomeText(Outcome);

impl fmt::Display for OutcomeText {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Outcome::Rejected {
                retry_after: Some(wait),
            } => write!(formatter, "rejected, retry after {} ms", wait / MILLISECOND),
            Outcome::Rejected { retry_after: None } => formatter.write_str("rejected"),
            Outcome::NotSent { no_slot: true } => formatter.write_str("not sent, no free slot"),
            Outcome::NotSent { no_slot: false } => formatter.write_str("not sent"),
            outcome => write!(formatter, "{outcome:?}"),
        }
    }
}

/// Call that ended before the head of an answer was received in full.
#[derive(Debug)]
pub struct IncompleteCall<'a> {
    /// Address that the call was sent to.
    pub address: SocketAddr,
    /// Ids of the messages in the call.
    pub ids: Vec<&'a HeaderValue>,
    /// How the call ended, such as a reset or a timeout.
    pub outcome: Outcome,
    /// Number of bytes of an answer that were received.
    pub answer_bytes: u64,
    /// First bytes of the answer, of which the log shows up to [`SHOWN_ANSWER_BYTES`].
    pub answer_start: Vec<u8>,
}

impl fmt::Display for IncompleteCall<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let IncompleteCall {
            address,
            ids,
            outcome,
            answer_bytes,
            answer_start,
        } = self;
        let outcome = OutcomeText(*outcome);
        write!(
            formatter,
            "call to {address} ended: {outcome}, after {answer_bytes} bytes of an answer"
        )?;
        if *answer_bytes > 0 {
            let shown = &answer_start[..answer_start.len().min(SHOWN_ANSWER_BYTES)];
            write!(formatter, " ({:?})", String::from_utf8_lossy(shown))?;
        }
        formatter.write_str(", messages")?;
        write_ids(formatter, ids)
    }
}

/// Answer whose status says that its call was not executed, but that does not prove it.
pub struct UnprovenAnswer<'a> {
    /// Address that the call was sent to.
    pub address: SocketAddr,
    /// Ids of the messages in the call.
    pub ids: Vec<&'a HeaderValue>,
    /// Status of the answer.
    pub status: StatusCode,
    /// Why the answer proves nothing.
    pub reason: &'a dyn fmt::Display,
}

impl fmt::Display for UnprovenAnswer<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let UnprovenAnswer {
            address,
            ids,
            status,
            reason,
        } = self;
        write!(
            formatter,
            "answer {} of {address} proves nothing, the call may have run: {reason}, messages",
            status.as_u16()
        )?;
        write_ids(formatter, ids)
    }
}

fn write_ids(formatter: &mut fmt::Formatter<'_>, ids: &[&HeaderValue]) -> fmt::Result {
    for id in ids {
        write!(formatter, " {}", String::from_utf8_lossy(id.as_bytes()))?;
    }
    Ok(())
}

/// Logs an event of a message. Without `RELAY_TRACE`, accepted submissions and successful first
/// attempts are not logged, and the rate limit may suppress the line.
pub fn log_event(id: &HeaderValue, event: &MessageEvent<'_>) {
    log_event_of_id(&String::from_utf8_lossy(id.as_bytes()), event);
}

/// Logs an event of a message whose id is given as text. Without `RELAY_TRACE`, accepted
/// submissions and successful first attempts are not logged, and the rate limit may suppress the
/// line.
pub fn log_event_of_id(id: &str, event: &MessageEvent<'_>) {
    if trace_enabled() || !event.is_ordinary() {
        write_line(format_args!("message {id}: {event}"));
    }
}

/// Logs a call that ended before the head of an answer was received in full.
pub fn log_incomplete_call(call: &IncompleteCall<'_>) {
    write_line(format_args!("{call}"));
}

/// Logs an answer whose status says that its call was not executed, but that does not prove it.
pub fn log_unproven_answer(answer: &UnprovenAnswer<'_>) {
    write_line(format_args!("{answer}"));
}

/// Logs that a connection was closed because its peer did not read its answers.
pub fn log_stalled_peer() {
    write_line(format_args!(
        "connection closed, its peer does not read its answers"
    ));
}

/// Logs the error with which a client's request failed, with the id of its message if that is known.
pub fn log_failed_request(id: Option<&HeaderValue>, error: &dyn fmt::Display) {
    match id {
        Some(id) => write_line(format_args!(
            "message {}: client request failed: {error}",
            String::from_utf8_lossy(id.as_bytes())
        )),
        None => write_line(format_args!("client request failed: {error}")),
    }
}

/// Logs why a connection was closed, if `RELAY_TRACE` is set. Reports on the control address count
/// the closed connections by reason.
pub fn log_connection_close(connection: fmt::Arguments<'_>, reason: &dyn fmt::Debug) {
    if trace_enabled() {
        log(format_args!("{connection} closed: {reason:?}"));
    }
}

fn write_line(line: fmt::Arguments<'_>) {
    thread_local! {
        static LOG: RefCell<MessageLog> = RefCell::new(MessageLog::new(Instant::now()));
    }
    LOG.with_borrow_mut(|log| log.write(Instant::now(), line));
}

/// Rate-limited log of messages. Each line begins with the seconds since the first line of this
/// log, so that the time between lines can be compared with the records of other processes.
struct MessageLog {
    started_at: Instant,
    budget: LineBudget,
}

impl MessageLog {
    fn new(now: Instant) -> Self {
        MessageLog {
            started_at: now,
            budget: LineBudget::new(now),
        }
    }

    fn write(&mut self, now: Instant, line: fmt::Arguments<'_>) {
        let suppressed = if trace_enabled() {
            Some(0)
        } else {
            self.budget.take(now)
        };
        let Some(suppressed) = suppressed else {
            return;
        };
        if suppressed > 0 {
            log(format_args!(
                "messages: {suppressed} lines suppressed by the rate limit"
            ));
        }
        let elapsed_s = now.saturating_duration_since(self.started_at).as_secs_f64();
        log(format_args!("+{elapsed_s:.3} {line}"));
    }
}

/// Token bucket that limits the rate of log lines.
#[derive(Debug)]
struct LineBudget {
    tokens: f64,
    updated_at: Instant,
    suppressed: u64,
}

impl LineBudget {
    fn new(now: Instant) -> Self {
        LineBudget {
            tokens: MAX_BURST_LINES,
            updated_at: now,
            suppressed: 0,
        }
    }

    /// Takes the token for one line. Returns `None` if the line must be suppressed, else the number
    /// of lines suppressed since the last one that was logged.
    fn take(&mut self, now: Instant) -> Option<u64> {
        let elapsed_s = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        self.tokens = (self.tokens + elapsed_s * LINES_PER_SECOND).min(MAX_BURST_LINES);
        if self.tokens < 1.0 {
            self.suppressed += 1;
            return None;
        }
        self.tokens -= 1.0;
        Some(std::mem::take(&mut self.suppressed))
    }
}

#[cfg(test)]
mod tests;
