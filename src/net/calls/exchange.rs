//! One call on one connection: the request goes out, and its answer is read.

use super::answer::{CallAnswer, read_answer};
use super::request::call_request;
use super::{Call, CallContext};
use crate::net::pool::{ConnectionLease, LeaseError, Traffic};
use message_sender::Outcome;
use message_sender::pool::{CloseReason, DialFailure, LeaseDenied};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use tokio::time::{Instant, timeout_at};

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
        let sent = connection.sender.try_send_request(request.request).await;
        if let Ok(response) = sent {
            return read_answer(context, call, lease, response).await;
        }
        // what makes the rest unreadable takes nothing from a first line that tells the one message's end
        if call.items.len() == 1 && traffic.has_success_status() {
            lease.discard(CloseReason::Unreadable);
            return CallAnswer::served();
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
