//! Calls to endpoints: sends the request over a pooled connection, enforces the time limit and interprets the answer.
//!
//! This module never retries a call by itself: a retry that the decision module does not know of could deliver a
//! message twice. If it is unknown whether the endpoint processed a call, the reported outcome says so.
//!
//! `run` races a call against its time limit and its cancellations, `exchange` makes the call on one connection,
//! `request` builds the request, `answer` interprets the answer, `non_execution` holds what proves that a call was not
//! executed, `attempt_result` the result of one message.

mod answer;
mod attempt_result;
mod exchange;
mod non_execution;
mod request;
mod retry_after;
mod run;

use super::RateLimitedLog;
use super::events::DriverInput;
use super::pool::ConnectionPool;
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use message_sender::pool::EndpointAddress;
use message_sender::{MessageId, Micros};
pub use request::bulk_size;
use retry_after::RetryAfter;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// One message in a call.
#[derive(Debug, Clone)]
pub struct Item {
    /// Message id that the client chose; sent as `X-Request-ID`, or in the item's line of a bulk request.
    pub id: HeaderValue,
    /// Idempotency key that the client gave with the message, if any.
    pub key: Option<HeaderValue>,
    /// Message body, sent unchanged.
    pub body: Bytes,
}

/// Driver's record of a call that has not ended.
pub struct InFlightCall {
    /// Sends the positions of cancelled messages to the task of the call. `None` if the predecessor of a handover made
    /// the call and still has it in flight.
    pub cancellations: Option<mpsc::UnboundedSender<usize>>,
    /// Message and attempt number at each position of the call.
    pub items: Vec<(MessageId, usize)>,
    /// Number of messages in the call whose attempt has not ended.
    pub unfinished_messages: usize,
}

/// Call to be made to one endpoint.
#[derive(Debug)]
pub struct Call {
    /// Number by which the driver identifies the call.
    pub number: u64,
    /// Address and id of the endpoint to call.
    pub target: EndpointAddress,
    /// Messages of the call; two or more are sent as one bulk request.
    pub items: Vec<Item>,
    /// Time limit of the call: it is abandoned at this instant.
    pub expires: Instant,
    /// Latest time at which the call may begin; `None` for no limit. A retry that began later, after a slow dial, could
    /// reach the endpoint after its deduplication window, and the endpoint could process the message twice.
    pub start_by: Option<Instant>,
}

/// Starts calls over the connections of the pool. Clones share the same state.
#[derive(Clone)]
pub struct Calls(Rc<CallContext>);

/// State shared by all calls.
struct CallContext {
    connections: ConnectionPool,
    /// Names of the fields of an endpoint's load report, in the order of the settings.
    report_fields: RefCell<Vec<String>>,
    failure_log: RateLimitedLog,
    /// True once any endpoint has sent a Retry-After. Abandoned calls then wait for a late answer, which may contain
    /// one.
    has_seen_retry_after: Cell<bool>,
    inputs: mpsc::UnboundedSender<DriverInput>,
}

impl CallContext {
    /// Returns the Retry-After delay of an answer in microseconds, and records that endpoints send the header: from the
    /// first one on, abandoned calls wait for a late answer.
    fn note_retry_after(&self, headers: &HeaderMap) -> Option<Micros> {
        let wait = RetryAfter::read(headers).delay()?;
        self.has_seen_retry_after.set(true);
        Some(wait)
    }

    /// Reports to the driver a Retry-After delay (microseconds) that arrived after the end of its call.
    fn report_retry_after(&self, target: EndpointAddress, wait: Micros) {
        let endpoint = target.endpoint;
        // the receiver is dropped only when the process ends
        let _ = self.inputs.send(DriverInput::RetryAfter {
            endpoint,
            delay: wait,
        });
    }
}

impl Calls {
    /// Creates the state for calls over `connections` that report their results to the driver through `inputs`.
    pub fn new(inputs: mpsc::UnboundedSender<DriverInput>, connections: ConnectionPool) -> Self {
        Calls(Rc::new(CallContext {
            connections,
            report_fields: RefCell::default(),
            failure_log: RateLimitedLog::default(),
            has_seen_retry_after: Cell::default(),
            inputs,
        }))
    }

    /// Sets the field names expected in the load reports of endpoints.
    pub fn set_report_fields(&self, report_fields: Vec<String>) {
        self.0.report_fields.replace(report_fields);
    }

    /// Starts a call in a task of its own, which reports the end of each attempt to the driver. `cancellations` yields
    /// the positions (in `call.items`) of the messages to cancel.
    pub fn start(&self, call: Call, cancellations: mpsc::UnboundedReceiver<usize>) {
        let context = self.0.clone();
        tokio::task::spawn_local(async move { run::run(context, call, cancellations).await });
    }

    /// Returns the pool whose connections the calls use.
    pub fn connections(&self) -> &ConnectionPool {
        &self.0.connections
    }
}

#[cfg(test)]
mod compatibility;
#[cfg(test)]
mod tests;
