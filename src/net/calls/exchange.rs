//! One call on one connection: sends the request and reads its answer.

use super::answer::{
    ANSWER_REMAINDER_TIMEOUT, CallAnswer, answer_kind, read_answer, read_remainder,
};
use super::attempt_result::MayHaveRun;
use super::non_execution::NonExecution;
use super::request::call_request;
use super::{Call, CallContext};
use crate::net::pool::{ConnectionLease, LeaseError, SuccessLine, Traffic};
use hyper::Response;
use hyper::body::Incoming;
use message_sender::pool::{CloseReason, EndpointAddress};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// Time to wait for the remainder of a head once its status line has proven the delivery. The remainder usually arrives
/// together with that line; the protocol's time limits leave 50 ms of slack, so a longer wait could exceed them.
const HEAD_REMAINDER_WAIT: Duration = Duration::from_millis(50);

/// Minimum time between the end of an answer and the next call on its connection. Bytes that follow the answer within
/// this time are recognized as belonging to no call; later ones could be taken for the next answer.
pub(super) const REUSE_DELAY: Duration = Duration::from_millis(2);

/// State of a call in flight, shared between [`exchange`] and its caller, which abandons the call when its time limit
/// has passed.
#[derive(Default)]
pub(super) struct CallProgress {
    /// Traffic of the connection that carries the call; `None` before a connection is acquired.
    pub(super) traffic: RefCell<Option<Arc<Traffic>>>,
}

/// Makes the call on one connection and reads its answer. If the future is dropped earlier, the connection is closed
/// and `close_reason` is the recorded reason.
pub(super) async fn exchange(
    context: &Rc<CallContext>,
    call: &Call,
    close_reason: &Rc<Cell<CloseReason>>,
    progress: &CallProgress,
) -> CallAnswer {
    loop {
        let mut lease = match acquire(context, call, close_reason).await {
            Ok(lease) => lease,
            Err(error) => return NonExecution::of_missing_connection(&error).into(),
        };
        if let Err(error) = context.connections.check_may_send(call.target) {
            lease.release();
            return NonExecution::of_missing_connection(&error).into();
        }
        let address = call.target.address;
        let Some(request) = call_request(address, &call.items, call.expires) else {
            lease.release();
            return NonExecution::of_invalid_request().into();
        };
        let connection = lease.connection();
        let traffic = connection.traffic.clone();
        progress.traffic.replace(Some(traffic.clone()));
        let written_before = traffic.written();
        traffic.begin_call(request.min_bytes);
        let mut answer = Box::pin(connection.sender.try_send_request(request.request));
        let sent = tokio::select! {
            biased;
            sent = &mut answer => sent,
            line = wait_until_head_overdue(&traffic), if call.items.len() == 1 => {
                let late = LateAnswer { context: context.clone(), target: call.target, lease };
                tokio::task::spawn_local(late.read(answer));
                return CallAnswer::of_status_line(&line);
            }
        };
        if let Ok(response) = sent {
            traffic.record_head_received();
            return read_answer(context, call, lease, response).await;
        }
        // the status line alone proves the delivery of a single message, even if the remainder is unreadable
        if let Some(line) = traffic.success_line().filter(|_| call.items.len() == 1) {
            lease.discard(CloseReason::Unreadable);
            return CallAnswer::of_status_line(&line);
        }
        let written = traffic.written() - written_before;
        // the endpoint had closed the idle connection and no byte of the request was written to it, so the call can use
        // another connection without any risk that its messages are processed twice
        if lease.idle_for.is_some() && written == 0 {
            if traffic.has_stray_bytes() {
                context.failure_log.log(format_args!(
                    "calls: {address} sent bytes that belong to no call"
                ));
            }
            progress.traffic.take();
            lease.discard(CloseReason::ClosedByPeer);
            continue;
        }
        lease.discard(CloseReason::Reset);
        return match NonExecution::of_partial_request(written, request.min_bytes) {
            Some(proof) => proof.into(),
            None => MayHaveRun::Reset.into(),
        };
    }
}

/// Waits for a status line with 200 and then [`HEAD_REMAINDER_WAIT`] longer, and returns the line. The caller races
/// this against the whole head, which wins if it arrives in time.
async fn wait_until_head_overdue(traffic: &Traffic) -> SuccessLine {
    let line = traffic.wait_for_success_line().await;
    sleep(HEAD_REMAINDER_WAIT).await;
    line
}

/// Remainder of an answer whose status line has already proven the delivery of the message. The remainder is read to
/// free the connection for other calls, and a Retry-After in it is still reported to the driver.
struct LateAnswer {
    context: Rc<CallContext>,
    target: EndpointAddress,
    lease: ConnectionLease,
}

impl LateAnswer {
    async fn read<E>(mut self, answer: impl Future<Output = Result<Response<Incoming>, E>>) {
        let Ok(Ok(response)) = timeout(ANSWER_REMAINDER_TIMEOUT, answer).await else {
            return self.lease.discard(CloseReason::Unreadable);
        };
        self.lease.connection().traffic.record_head_received();
        let (head, body) = response.into_parts();
        self.lease.record_answer(answer_kind(&head));
        if let Some(wait) = self.context.note_retry_after(&head.headers) {
            self.context.report_retry_after(self.target, wait);
        }
        read_remainder(body, self.lease).await;
    }
}

/// Acquires a connection on which no answer has ended within [`REUSE_DELAY`].
async fn acquire_settled(
    context: &CallContext,
    target: EndpointAddress,
    close_reason: &Rc<Cell<CloseReason>>,
) -> Result<ConnectionLease, LeaseError> {
    let lease = context.connections.acquire(target, close_reason).await?;
    let delay_left = lease
        .idle_for
        .and_then(|idle_for| REUSE_DELAY.checked_sub(idle_for));
    if let Some(delay_left) = delay_left {
        sleep(delay_left).await;
    }
    Ok(lease)
}

/// Acquires a connection for the call, and fails if the call can no longer begin by its `start_by`.
async fn acquire(
    context: &CallContext,
    call: &Call,
    close_reason: &Rc<Cell<CloseReason>>,
) -> Result<ConnectionLease, LeaseError> {
    let acquired = acquire_settled(context, call.target, close_reason);
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
