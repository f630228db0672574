//! Calls to endpoints: time-outs, and what each answer means. The connections are the pool's.
//!
//! Nothing here sends a call again by itself: a retry that the decisions do not know of would be a duplicate. Where it
//! is not known whether a call may have run, its outcome says so.
//!
//! `run` races a call with its time limit and its cancellations, `exchange` makes it on one connection, `request`
//! writes the request, `answer` reads the answer.

mod answer;
mod exchange;
mod request;
mod run;

use super::RateLimitedLog;
use super::events::DriverInput;
use super::pool::ConnectionPool;
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use message_sender::pool::EndpointAddress;
use message_sender::{MessageId, Micros};
pub use request::bulk_size;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// One message in a call.
#[derive(Debug, Clone)]
pub struct Item {
    /// The client's id of the message.
    pub id: HeaderValue,
    /// Its idempotency key.
    pub key: Option<HeaderValue>,
    /// Its body.
    pub body: Bytes,
}

/// A call that has not ended.
pub struct InFlightCall {
    /// Takes the positions that are cancelled; none where the predecessor of a handover has the call in flight.
    pub cancels: Option<mpsc::UnboundedSender<usize>>,
    /// The message and attempt of each position.
    pub items: Vec<(MessageId, usize)>,
    /// Positions that have not ended.
    pub left: usize,
}

/// A call to make.
#[derive(Debug)]
pub struct Call {
    /// The driver's number of the call.
    pub number: u64,
    /// The endpoint.
    pub target: EndpointAddress,
    /// The messages; several go as one bulk request.
    pub items: Vec<Item>,
    /// When its time is over.
    pub expires: Instant,
    /// The call must begin by then: a retry whose connection comes up only later would leave the window in which the
    /// endpoint drops repeats.
    pub start_by: Option<Instant>,
}

/// Makes calls over the connections of the pool.
#[derive(Clone)]
pub struct Calls(Rc<CallContext>);

/// What all calls share.
struct CallContext {
    connections: ConnectionPool,
    /// The fields of a load report, in the order of the settings.
    report_fields: RefCell<Vec<String>>,
    failure_log: RateLimitedLog,
    /// Some endpoint has sent a Retry-After.
    sees_retry_after: Cell<bool>,
    inputs: mpsc::UnboundedSender<DriverInput>,
}

impl CallContext {
    /// The Retry-After of an answer, which is noted: abandoned calls are listened to from the first one on.
    fn note_retry_after(&self, headers: &HeaderMap) -> Option<Micros> {
        let wait = answer::read_retry_after(headers)?;
        self.sees_retry_after.set(true);
        Some(wait)
    }

    /// Reports a Retry-After that came after its call's end.
    fn report_retry_after(&self, target: EndpointAddress, wait: Micros) {
        let endpoint = target.endpoint;
        // nobody listens any more only when the process ends
        let _ = self.inputs.send(DriverInput::RetryAfter { endpoint, wait });
    }
}

impl Calls {
    /// Calls that go over these connections and report to the driver.
    pub fn new(inputs: mpsc::UnboundedSender<DriverInput>, connections: ConnectionPool) -> Self {
        Calls(Rc::new(CallContext {
            connections,
            report_fields: RefCell::default(),
            failure_log: RateLimitedLog::default(),
            sees_retry_after: Cell::default(),
            inputs,
        }))
    }

    /// Load reports have these fields from now on.
    pub fn set_report_fields(&self, report_fields: Vec<String>) {
        self.0.report_fields.replace(report_fields);
    }

    /// Starts a call; the ends of its attempts come as inputs of the driver. `cancellations` brings the positions that
    /// are cancelled.
    pub fn start(&self, call: Call, cancellations: mpsc::UnboundedReceiver<usize>) {
        let context = self.0.clone();
        tokio::task::spawn_local(async move { run::run(context, call, cancellations).await });
    }

    /// The connections that the calls go over.
    pub fn connections(&self) -> &ConnectionPool {
        &self.0.connections
    }
}

#[cfg(test)]
mod compatibility;
#[cfg(test)]
mod tests;
