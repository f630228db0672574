//! Actions: the requests that the sender makes to its driver.

use super::{EndpointId, MessageId, Micros, RouteEvent};

/// A request from the sender to its driver.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt of a message to an endpoint. Sends to the same endpoint in one turn share a
    /// call, up to [`Kind::bundle_max`](super::Kind::bundle_max) messages.
    Send {
        /// Message to send.
        message: MessageId,
        /// Number of the attempt, counted from 0 for each message. The driver reports the attempt's
        /// end under this number, in exactly one
        /// [`Event::AttemptEnded`](super::Event::AttemptEnded).
        attempt: usize,
        /// Endpoint to call.
        endpoint: EndpointId,
        /// Time in microseconds at which the attempt times out. If several messages share a call,
        /// the whole call times out at the latest of these times.
        expires: Micros,
        /// Time in microseconds by which the call must have begun. If its connection comes up
        /// later, the call must not be made. `None` sets no limit.
        start_by: Option<Micros>,
    },
    /// Cancel an attempt in flight.
    Cancel {
        /// Message that the attempt belongs to.
        message: MessageId,
        /// Number of the attempt to cancel, counted from 0 for each message.
        attempt: usize,
    },
    /// End a message undelivered. The client may resubmit the message: either the destination
    /// cannot have processed it, or the effect of the message's class makes a repeat harmless.
    Reject {
        /// Message to end.
        message: MessageId,
        /// Time in microseconds after which the client should resubmit the message; `None` sends the
        /// client no Retry-After.
        retry_after: Option<Micros>,
    },
    /// End this message as failed: no attempt is known to have succeeded, but the destination may
    /// have processed the message, and processing it again could do harm.
    Fail(MessageId),
    /// Set the sender's timer to this time, in microseconds, at which the driver must report
    /// [`Event::TimerExpired`](super::Event::TimerExpired).
    SetTimer(Micros),
    /// Make a health check of this endpoint.
    HealthCheck(EndpointId),
    /// Close the idle connections to this endpoint.
    Disconnect(EndpointId),
    /// Subscribe to the endpoint list at discovery.
    Subscribe,
    /// Send these bytes to all other senders.
    SendNote(Vec<u8>),
    /// Write this change of a route's health to the log.
    Log(RouteEvent),
}
