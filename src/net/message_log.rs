//! The log of what happens to messages, by the clients' ids.
//!
//! What is out of the ordinary is always logged: refusals, retries and hedges, attempts that do not succeed and what had
//! come of their answers, and how such messages end. The ordinary steps are logged too where `RELAY_TRACE` is set.
//! A line budget keeps a flood of failures from filling the log; what it leaves out is counted in the log.

use super::end_proof::EndProof;
use super::events::SubmissionResult;
use super::journal::UndeliveredOutcome;
use super::{log, traces};
use hyper::header::HeaderValue;
use message_sender::{MILLISECOND, Outcome};
use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::time::Instant;

/// Lines a second in the long run; a message with a retry takes some five.
const LINES_PER_SECOND: f64 = 200.0;
/// Lines that may come at once.
const MAX_BURST_LINES: f64 = 2000.0;
/// Of an answer that broke off, so many bytes are shown.
const SHOWN_ANSWER_BYTES: usize = 32;

/// A step in the life of a message.
#[derive(Debug)]
pub enum MessageEvent<'a> {
    /// Its client gets this answer.
    Answered(SubmissionResult),
    /// A start or an upgrade found it in the journal.
    Recovered {
        /// Attempts of earlier processes.
        attempts: usize,
    },
    /// A call with it begins.
    AttemptBegan {
        /// The number of the attempt, from 0.
        number: usize,
        /// The endpoint's name in the list.
        endpoint: &'a str,
    },
    /// A call with it has an outcome.
    AttemptEnded {
        /// The number of the attempt.
        number: usize,
        /// The endpoint's name in the list, if it still has one.
        endpoint: Option<&'a str>,
        /// How the attempt ended.
        outcome: Outcome,
        /// Where nothing more is owed for the message: what proves that.
        proof: Option<EndProof>,
    },
    /// An attempt is cancelled, because the message has ended or another attempt goes on.
    AttemptCancelled {
        /// The number of the attempt.
        number: usize,
    },
    /// Its last client left before the answer, so that it was never accepted.
    ClientLeft,
    /// It ended undelivered, and a notification is owed.
    EndedUndelivered(UndeliveredOutcome),
    /// The platform has accepted its notification.
    Notified,
}

impl MessageEvent<'_> {
    /// Whether it is logged only where all steps are.
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
                let endpoint = endpoint.unwrap_or("an endpoint that is gone");
                let outcome = OutcomeText(*outcome);
                write!(formatter, "attempt {number} at {endpoint} ended: {outcome}")?;
                match proof {
                    Some(proof) => write!(formatter, ", which ends the message: {proof}"),
                    None => Ok(()),
                }
            }
            MessageEvent::AttemptCancelled { number } => {
                write!(formatter, "attempt {number} is cancelled")
            }
            MessageEvent::ClientLeft => formatter.write_str("client left before its answer"),
            MessageEvent::EndedUndelivered(outcome) => {
                write!(formatter, "ended undelivered: {outcome:?}")
            }
            MessageEvent::Notified => formatter.write_str("notification accepted"),
        }
    }
}

/// An outcome in words.
struct OutcomeText(Outcome);

impl fmt::Display for OutcomeText {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Outcome::Rejected {
                retry_after: Some(wait),
            } => write!(formatter, "rejected for {} ms", wait / MILLISECOND),
            Outcome::Rejected { retry_after: None } => formatter.write_str("rejected"),
            Outcome::NotSent { no_slot: true } => formatter.write_str("not sent, no slot"),
            Outcome::NotSent { no_slot: false } => formatter.write_str("not sent"),
            outcome => write!(formatter, "{outcome:?}"),
        }
    }
}

/// A call that got no whole head of an answer.
#[derive(Debug)]
pub struct IncompleteCall<'a> {
    /// Where it went.
    pub address: SocketAddr,
    /// The ids of its messages.
    pub ids: Vec<&'a HeaderValue>,
    /// What ended it.
    pub outcome: Outcome,
    /// Bytes of an answer that had come by then.
    pub answer_bytes: u64,
    /// The first of them.
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
        for id in ids {
            write!(formatter, " {}", String::from_utf8_lossy(id.as_bytes()))?;
        }
        Ok(())
    }
}

/// Logs a step of a message.
pub fn record(id: &HeaderValue, event: &MessageEvent<'_>) {
    record_text(&String::from_utf8_lossy(id.as_bytes()), event);
}

/// Logs a step of a message whose id is known as a text.
pub fn record_text(id: &str, event: &MessageEvent<'_>) {
    if traces() || !event.is_ordinary() {
        write_line(format_args!("message {id}: {event}"));
    }
}

/// Logs a call that got no whole head of an answer.
pub fn record_call(call: &IncompleteCall<'_>) {
    write_line(format_args!("{call}"));
}

/// Logs a client's request that was refused before the driver had it.
pub fn record_refused_request(error: &dyn fmt::Display) {
    write_line(format_args!("client request refused: {error}"));
}

/// Logs why a connection ended, where all steps are logged; the control address counts these by reason.
pub fn record_close(connection: fmt::Arguments<'_>, reason: &dyn fmt::Debug) {
    if traces() {
        log(format_args!("{connection} closed: {reason:?}"));
    }
}

fn write_line(line: fmt::Arguments<'_>) {
    thread_local! {
        static LOG: RefCell<MessageLog> = RefCell::new(MessageLog::new(Instant::now()));
    }
    LOG.with_borrow_mut(|log| log.write(Instant::now(), line));
}

/// The lines on messages: within a budget, and each with the time since the process began, which orders them beside the
/// records of others.
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
        let suppressed = if traces() {
            Some(0)
        } else {
            self.budget.take(now)
        };
        let Some(suppressed) = suppressed else {
            return;
        };
        if suppressed > 0 {
            log(format_args!("messages: {suppressed} lines were left out"));
        }
        let elapsed_s = now.saturating_duration_since(self.started_at).as_secs_f64();
        log(format_args!("+{elapsed_s:.3} {line}"));
    }
}

/// Lines that may be logged: a token bucket.
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

    /// Takes one line. None: it is left out; else the number of lines that were left out before it.
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
