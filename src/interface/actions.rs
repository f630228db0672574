//! What the sender asks its host to do.

use super::{EndpointId, MessageId, Micros, RouteEvent};

/// What the sender asks its host to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Call an endpoint. Sends to one endpoint in one turn share a call as far as its kind allows.
    Send {
        /// Which message.
        message: MessageId,
        /// Which attempt, numbered on from 0; it comes back in the one
        /// [`Event::AttemptEnded`](super::Event::AttemptEnded) that it gets.
        attempt: usize,
        /// Where to.
        endpoint: EndpointId,
        /// When the attempt times out.
        expires: Micros,
        /// It may begin only before this time, however long its connection takes to come up; none: at any time.
        start_by: Option<Micros>,
    },
    /// Cancel an attempt.
    Cancel {
        /// Which message.
        message: MessageId,
        /// Which attempt.
        attempt: usize,
    },
    /// End a message undelivered; a retry does no harm.
    Reject {
        /// Which message.
        message: MessageId,
        /// When the client should come back, where clients are told.
        retry_after: Option<Micros>,
    },
    /// End a message as failed.
    Fail(MessageId),
    /// Let the timer expire at this time.
    SetTimer(Micros),
    /// Make a health check of an endpoint.
    HealthCheck(EndpointId),
    /// Close the idle connections to an endpoint.
    Disconnect(EndpointId),
    /// Subscribe to the endpoint list.
    Subscribe,
    /// Write to all other senders.
    SendNote(Vec<u8>),
    /// Write an event to the log.
    Log(RouteEvent),
}
