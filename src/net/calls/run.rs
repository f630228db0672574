//! One call from its start to the last report: its answer, its time limit and its cancellations race.

use super::answer::{AttemptResult, CallAnswer};
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

/// How long an abandoned call is listened to where endpoints send Retry-After: calls within so long of one are let
/// through, and its connection holds a slot meanwhile.
const LATE_ANSWER_TIME: Duration = Duration::from_millis(100);

/// Reports the ends of a call's attempts: each once, and what is left when the call is dropped may have run.
struct AttemptReporter<'a> {
    inputs: &'a mpsc::UnboundedSender<DriverInput>,
    call: u64,
    /// Whether the attempt at each position is still to be reported.
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
        self.unreported.get(item).is_some_and(|left| *left)
    }

    fn unreported_count(&self) -> usize {
        self.unreported.iter().filter(|left| **left).count()
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
            outcome: result.outcome,
            proof: result.proof,
            load_report,
            retry_after,
        };
        // nobody listens any more only when the process ends
        let _ = self.inputs.send(DriverInput::AttemptEnded(end));
    }

    fn report_cancelled(&mut self, item: usize) {
        self.report(item, Outcome::Cancelled.into(), Vec::new(), None);
    }

    /// Reports all attempts that are left. A Retry-After that no outcome carries goes with the first of them.
    fn report_rest(&mut self, answer: &CallAnswer) {
        let mut retry_after = answer.retry_after;
        for item in 0..self.unreported.len() {
            if !self.is_unreported(item) {
                continue;
            }
            let result = answer.results.of_item(item);
            let carries_retry_after = matches!(
                result.outcome,
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
                self.report(item, Outcome::Reset.into(), Vec::new(), None);
            }
        }
    }
}

/// What ended a call first.
enum FirstEnd {
    Answered(CallAnswer),
    /// Its time is over, or its last message was cancelled.
    Abandoned(Outcome),
}

/// A call whose attempts can be reported.
struct FinishedCall {
    answer: CallAnswer,
    /// The connection on which a Retry-After may still come.
    late_answer: Option<Arc<Traffic>>,
}

/// Makes a call and reports the end of each of its attempts.
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
            // an answer that is there counts more than a cancellation
            biased;
            answer = &mut exchange => break FirstEnd::Answered(answer),
            () = sleep_until(call.expires) => {
                close_reason.set(CloseReason::TimedOut);
                break FirstEnd::Abandoned(Outcome::TimedOut);
            }
            Some(item) = cancellations.recv() => {
                if !reporter.is_unreported(item) {
                    continue;
                }
                if reporter.unreported_count() == 1 {
                    // the call ends with its last message
                    break FirstEnd::Abandoned(Outcome::Cancelled);
                }
                reporter.report_cancelled(item);
            }
        }
    };
    let finished = match first_end {
        FirstEnd::Answered(answer) => FinishedCall {
            answer,
            late_answer: None,
        },
        FirstEnd::Abandoned(outcome) => {
            abandon(&context, &call, &progress, outcome, exchange.as_mut()).await
        }
    };
    if !finished.answer.is_whole {
        log_incomplete(&call, &progress, &finished.answer);
    }
    reporter.report_rest(&finished.answer);
    if let Some(traffic) = finished.late_answer {
        listen_for_retry_after(&context, &call, &traffic, exchange.as_mut()).await;
    }
}

/// Logs a call that ended without a whole answer; one that was cancelled before any answer tells nothing.
fn log_incomplete(call: &Call, progress: &CallProgress, answer: &CallAnswer) {
    let outcome = answer.results.of_item(0).outcome;
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

/// Abandons a call: an answer that had come before counts, and any other end is what it is abandoned for.
async fn abandon(
    context: &CallContext,
    call: &Call,
    progress: &CallProgress,
    outcome: Outcome,
    mut exchange: Pin<&mut impl Future<Output = CallAnswer>>,
) -> FinishedCall {
    let traffic = progress.traffic.borrow().clone();
    let heeds_retry_after = context.sees_retry_after.get();
    // a message that is cancelled has no use for an answer, but where endpoints send Retry-After these hold
    let needs_answer = outcome != Outcome::Cancelled || heeds_retry_after;
    let abandoned = async {
        if let Some(traffic) = &traffic {
            let _ = timeout(LATE_ANSWER_TIME, traffic.abandon_call()).await;
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
            late_answer: None,
        };
    }
    // a whole first line is true also where its head never ends, and whatever the call was given up for
    let line = traffic.as_ref().and_then(|traffic| traffic.success_line());
    if let Some(line) = line.filter(|_| call.items.len() == 1) {
        return FinishedCall {
            answer: CallAnswer::of_status_line(&line),
            late_answer: None,
        };
    }
    FinishedCall {
        answer: outcome.into(),
        late_answer: traffic.filter(|_| heeds_retry_after),
    }
}

/// What comes after a call was abandoned changes nothing for its messages, but a Retry-After in it holds.
async fn listen_for_retry_after(
    context: &CallContext,
    call: &Call,
    traffic: &Traffic,
    mut exchange: Pin<&mut impl Future<Output = CallAnswer>>,
) {
    let time_is_over = async {
        sleep(LATE_ANSWER_TIME).await;
        let _ = timeout(LATE_ANSWER_TIME, traffic.abandon_call()).await;
    };
    tokio::select! {
        biased;
        late = &mut exchange => if let Some(wait) = late.retry_after {
            context.report_retry_after(call.target, wait);
        },
        () = time_is_over => {}
    }
}
