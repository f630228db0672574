//! One call on one connection: the request goes out, and its answer is read.

use super::answer::{CallAnswer, REST_OF_ANSWER_TIME, answer_kind, read_answer, read_rest};
use super::request::call_request;
use super::{Call, CallContext};
use crate::net::pool::{ConnectionLease, LeaseError, SuccessLine, Traffic};
use hyper::Response;
use hyper::body::Incoming;
use message_sender::Outcome;
use message_sender::pool::{CloseReason, DialFailure, EndpointAddress, LeaseDenied};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// How long the rest of a head is waited for once its first line has told the end of the message: it comes with that line
/// as a rule, and so much is the slack of the protocol's time limits.
const REST_OF_HEAD_TIME: Duration = Duration::from_millis(50);

/// What others see of a call in flight.
#[derive(Default)]
pub(super) struct CallProgress {
    /// The connection that it is on, once it has one.
    pub(super) traffic: RefCell<Option<Arc<Traffic>>>,
}

/// Makes the call on one connection and reads its answer. Dropping this closes the connection, for `close_reason`.
pub(super) async fn exchange(
    context: &Rc<CallContext>,
    call: &Call,
    close_reason: &Rc<Cell<CloseReason>>,
    progress: &CallProgress,
) -> CallAnswer {
    loop {
        let mut lease = match acquire(context, call, close_reason).await {
            Ok(lease) => lease,
            Err(error) => return outcome_without_connection(&error).into(),
        };
        let address = call.target.address;
        let Some(request) = call_request(address, &call.items, call.expires) else {
            lease.release();
            return Outcome::NotSent { no_slot: false }.into();
        };
        let connection = lease.connection();
        let traffic = connection.traffic.clone();
        progress.traffic.replace(Some(traffic.clone()));
        let written_before = traffic.written();
        traffic.reset_answer();
        let mut answer = Box::pin(connection.sender.try_send_request(request.request));
        let sent = tokio::select! {
            biased;
            sent = &mut answer => sent,
            line = head_is_overdue(&traffic), if call.items.len() == 1 => {
                let late = LateAnswer { context: context.clone(), target: call.target, lease };
                tokio::task::spawn_local(late.read(answer));
                return CallAnswer::of_status_line(&line);
            }
        };
        if let Ok(response) = sent {
            return read_answer(context, call, lease, response).await;
        }
        // what makes the rest unreadable takes nothing from a first line that tells the one message's end
        if let Some(line) = traffic.success_line().filter(|_| call.items.len() == 1) {
            lease.discard(CloseReason::Unreadable);
            return CallAnswer::of_status_line(&line);
        }
        let written = traffic.written() - written_before;
        // an idle connection that had closed before a byte was written carried no call at all
        if lease.idle_for.is_some() && written == 0 {
            progress.traffic.take();
            lease.discard(CloseReason::ClosedByPeer);
            continue;
        }
        lease.discard(CloseReason::Reset);
        let outcome = if written < request.min_bytes {
            Outcome::NoConnection
        } else {
            Outcome::Reset
        };
        return outcome.into();
    }
}

/// Waits until the rest of a head whose first line says 200 has had its time.
async fn head_is_overdue(traffic: &Traffic) -> SuccessLine {
    let line = traffic.wait_for_success_line().await;
    sleep(REST_OF_HEAD_TIME).await;
    line
}

/// The rest of an answer whose message is known to be delivered: it frees the connection, and a Retry-After in it holds.
struct LateAnswer {
    context: Rc<CallContext>,
    target: EndpointAddress,
    lease: ConnectionLease,
}

impl LateAnswer {
    async fn read<E>(self, answer: impl Future<Output = Result<Response<Incoming>, E>>) {
        let Ok(Ok(response)) = timeout(REST_OF_ANSWER_TIME, answer).await else {
            return self.lease.discard(CloseReason::Unreadable);
        };
        let (head, body) = response.into_parts();
        self.lease.record_answer(answer_kind(&head));
        if let Some(wait) = self.context.note_retry_after(&head.headers) {
            self.context.report_retry_after(self.target, wait);
        }
        read_rest(body, self.lease).await;
    }
}

/// Acquires a connection, in time for the call to begin.
async fn acquire(
    context: &CallContext,
    call: &Call,
    close_reason: &Rc<Cell<CloseReason>>,
) -> Result<ConnectionLease, LeaseError> {
    let acquired = context.connections.acquire(call.target, close_reason);
    let Some(start_by) = call.start_by else {
        return acquired.await;
    };
    let lease = timeout_at(start_by, acquired)
        .await
        .unwrap_or(Err(LeaseError::TooLate))?;
    if start_by <= Instant::now() {
        lease.release();
        return Err(LeaseError::TooLate);
    }
    Ok(lease)
}

fn outcome_without_connection(error: &LeaseError) -> Outcome {
    match error {
        // this machine and the list say nothing of the endpoint's health
        LeaseError::TooLate
        | LeaseError::Denied(
            LeaseDenied::RetryAfter
            | LeaseDenied::Retired
            | LeaseDenied::ShuttingDown
            | LeaseDenied::Dial(DialFailure::Local),
        ) => Outcome::NotSent { no_slot: false },
        LeaseError::DialTimeout | LeaseError::PoolEnded | LeaseError::Denied(_) => {
            Outcome::NoConnection
        }
    }
}
