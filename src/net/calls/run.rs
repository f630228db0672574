//! Runs one call from its start to the last reported attempt, racing its answer against its time limit and its
//! cancellations.

use super::answer::CallAnswer;
use super::attempt_result::{AttemptResult, MayHaveRun};
use super::exchange::{CallProgress, exchange};
use super::{Call, CallContext};
use crate::net::events::{AttemptEnd, DriverInput};
use crate::net::message_log::{self, IncompleteCall};
use crate::net::pool::Traffic;
use message_sender::pool::CloseReason;
use message_sender::{Micros, Outcome};
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, sleep_until, timeout};

/// Time to wait for a late answer to an abandoned call if endpoints send Retry-After. Calls that begin within 100 ms of
/// a Retry-After are still let through, so a delay learned within that time is early enough. The connection occupies a
/// call slot meanwhile.
const LATE_ANSWER_WAIT: Duration = Duration::from_millis(100);

/// Reports the end of each attempt of a call to the driver exactly once. Attempts that are unreported when this is
/// dropped are reported as `Reset`, since the endpoint may have processed their messages.
struct AttemptReporter<'a> {
    inputs: &'a mpsc::UnboundedSender<DriverInput>,
    call: u64,
    /// For each position of the call: true until the end of its attempt is reported.
    unreported: Vec<bool>,
}

impl<'a> AttemptReporter<'a> {
    fn new(inputs: &'a mpsc::UnboundedSender<DriverInput>, call: &Call) -> Self {
        AttemptReporter {
            inputs,
            call: call.number,
            unreported: vec![true; call.items.len()],
        }
    }

    fn is_unreported(&self, item: usize) -> bool {
        self.unreported
            .get(item)
            .is_some_and(|is_pending| *is_pending)
    }

    fn unreported_count(&self) -> usize {
        self.unreported
            .iter()
            .filter(|is_pending| **is_pending)
            .count()
    }

    fn report(
        &mut self,
        item: usize,
        result: AttemptResult,
        load_report: Vec<f64>,
        retry_after: Option<Micros>,
    ) {
        self.unreported[item] = false;
        let end = AttemptEnd {
            call: self.call,
            position: item,
            outcome: result.outcome(),
            proof: result.proof(),
            load_report,
            retry_after,
        };
        // the receiver is dropped only when the process ends
        let _ = self.inputs.send(DriverInput::AttemptEnded(end));
    }

    fn report_cancelled(&mut self, item: usize) {
        self.report(item, MayHaveRun::Cancelled.into(), Vec::new(), None);
    }

    /// Reports all attempts that are still unreported. The answer's Retry-After delay is attached to the first of them
    /// whose outcome does not contain a delay itself, so that the driver receives it once beside the outcomes.
    fn report_remaining(&mut self, answer: &CallAnswer) {
        let mut retry_after = answer.retry_after;
        for item in 0..self.unreported.len() {
            if !self.is_unreported(item) {
                continue;
            }
            let result = answer.results.of_item(item);
            let carries_retry_after = matches!(
                result.outcome(),
                Outcome::Rejected {
                    retry_after: Some(_)
                }
            );
            let retry_after = retry_after.take_if(|_| !carries_retry_after);
            self.report(item, result, answer.load_report.clone(), retry_after);
        }
    }
}

impl Drop for AttemptReporter<'_> {
    fn drop(&mut self) {
        for item in 0..self.unreported.len() {
            if self.unreported[item] {
                self.report(item, MayHaveRun::Reset.into(), Vec::new(), None);
            }
        }
    }
}

/// First event that ended a call: its answer, or its time limit or cancellation.
enum FirstEnd {
    Answered(CallAnswer),
    /// The time limit has passed (`TimedOut`), or the last message without a reported attempt was cancelled
    /// (`Cancelled`).
    Abandoned(MayHaveRun),
}

/// Ended call whose remaining attempts can be reported.
struct FinishedCall {
    answer: CallAnswer,
    /// Traffic of the connection on which a late answer with a Retry-After may still arrive; `None` if there is no need
    /// to wait for one.
    late_answer_traffic: Option<Arc<Traffic>>,
}

/// Makes a call, and reports the end of each of its attempts to the driver.
pub(super) async fn run(
    context: Rc<CallContext>,
    call: Call,
    mut cancellations: mpsc::UnboundedReceiver<usize>,
) {
    let mut reporter = AttemptReporter::new(&context.inputs, &call);
    let close_reason = Rc::new(Cell::new(CloseReason::Cancelled));
    let progress = CallProgress::default();
    let exchange = exchange(&context, &call, &close_reason, &progress);
    tokio::pin!(exchange);
    let first_end = loop {
        tokio::select! {
            // an answer that has arrived takes precedence over the time limit and cancellations
            biased;
            answer = &mut exchange => break FirstEnd::Answered(answer),
            () = sleep_until(call.expires) => {
                close_reason.set(CloseReason::TimedOut);
                break FirstEnd::Abandoned(MayHaveRun::TimedOut);
            }
            Some(item) = cancellations.recv() => {
                if !reporter.is_unreported(item) {
                    continue;
                }
                if reporter.unreported_count() == 1 {
                    // the attempts of all other messages have been reported, so the whole call is abandoned
                    break FirstEnd::Abandoned(MayHaveRun::Cancelled);
                }
                reporter.report_cancelled(item);
            }
        }
    };
    let finished = match first_end {
        FirstEnd::Answered(answer) => FinishedCall {
            answer,
            late_answer_traffic: None,
        },
        FirstEnd::Abandoned(outcome) => {
            abandon(&context, &call, &progress, outcome, exchange.as_mut()).await
        }
    };
    if !finished.answer.is_head_complete {
        log_incomplete(&call, &progress, &finished.answer);
    }
    reporter.report_remaining(&finished.answer);
    if let Some(traffic) = finished.late_answer_traffic {
        listen_for_retry_after(&context, &call, &traffic, exchange.as_mut()).await;
    }
}

/// Logs a call that ended without a complete answer head. A call that was cancelled before a byte of the answer arrived
/// is not logged, since its end says nothing about the endpoint.
fn log_incomplete(call: &Call, progress: &CallProgress, answer: &CallAnswer) {
    let outcome = answer.results.of_item(0).outcome();
    let traffic = progress.traffic.borrow().clone();
    let answer_bytes = traffic.as_ref().map_or(0, |traffic| traffic.answer_bytes());
    if outcome == Outcome::Cancelled && answer_bytes == 0 {
        return;
    }
    message_log::log_incomplete_call(&IncompleteCall {
        address: call.target.address,
        ids: call.items.iter().map(|item| &item.id).collect(),
        outcome,
        answer_bytes,
        answer_start: traffic.map_or_else(Vec::new, |traffic| traffic.answer_start()),
    });
}

/// Abandons a call for the reason `outcome`, after reading the bytes that have already been received. A complete answer
/// among them still counts, unless the call is cancelled and no endpoint has sent a Retry-After so far; a status line
/// with 200 always proves the delivery of a single message. Otherwise the call ends with `outcome`.
async fn abandon(
    context: &CallContext,
    call: &Call,
    progress: &CallProgress,
    outcome: MayHaveRun,
    mut exchange: Pin<&mut impl Future<Output = CallAnswer>>,
) -> FinishedCall {
    let traffic = progress.traffic.borrow().clone();
    let endpoints_send_retry_after = context.has_seen_retry_after.get();
    // a cancelled message needs no answer, but an answer's Retry-After applies to the destination
    let needs_answer = outcome != MayHaveRun::Cancelled || endpoints_send_retry_after;
    let abandoned = async {
        if let Some(traffic) = &traffic {
            let _ = timeout(LATE_ANSWER_WAIT, traffic.abandon_call()).await;
        }
    };
    let answer = tokio::select! {
        biased;
        answer = &mut exchange, if needs_answer => Some(answer),
        () = abandoned => None,
    };
    if let Some(answer) = answer {
        traffic.iter().for_each(|traffic| traffic.keep_connection());
        let answer = if answer.is_from_endpoint {
            answer
        } else {
            outcome.into()
        };
        return FinishedCall {
            answer,
            late_answer_traffic: None,
        };
    }
    // a complete status line with 200 proves the delivery of a single message, whether the call timed out or was
    // cancelled, and even if the remainder of the head never arrives
    let line = traffic.as_ref().and_then(|traffic| traffic.success_line());
    if let Some(line) = line.filter(|_| call.items.len() == 1) {
        return FinishedCall {
            answer: CallAnswer::of_status_line(&line),
            late_answer_traffic: None,
        };
    }
    FinishedCall {
        answer: outcome.into(),
        late_answer_traffic: traffic.filter(|_| endpoints_send_retry_after),
    }
}

/// Waits for a late answer to an abandoned call. Its messages already have their outcomes, but a Retry-After in the
/// answer is still reported.
async fn listen_for_retry_after(
    context: &CallContext,
    call: &Call,
    traffic: &Traffic,
    mut exchange: Pin<&mut impl Future<Output = CallAnswer>>,
) {
    let late_answer_timeout = async {
        sleep(LATE_ANSWER_WAIT).await;
        let _ = timeout(LATE_ANSWER_WAIT, traffic.abandon_call()).await;
    };
    tokio::select! {
        biased;
        late = &mut exchange => if let Some(wait) = late.retry_after {
            context.report_retry_after(call.target, wait);
        },
        () = late_answer_timeout => {}
    }
}
