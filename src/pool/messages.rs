//! What the pool is told and what it asks for: endpoints, answers, commands, and the reasons in them.

use crate::{EndpointId, Micros};
use serde::Serialize;
use std::net::SocketAddr;

/// Where connections go: an endpoint at an address. Neither alone makes two connections interchangeable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointAddress {
    /// The address, first, so that all endpoints of one address are neighbours in order.
    pub address: SocketAddr,
    /// The endpoint.
    pub endpoint: EndpointId,
}

/// Why a connection was closed. The names in JSON are those that operators have always seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CloseReason {
    /// It was idle for as long as is allowed.
    #[serde(rename = "age")]
    IdleTimeout,
    /// The peer closed it.
    #[serde(rename = "peer")]
    ClosedByPeer,
    /// There was no room among the idle ones, or fewer are wanted.
    Surplus,
    /// New connections are rejected for want of room: other senders wait for this one.
    #[serde(rename = "scarce")]
    Scarcity,
    /// Its place in the total was needed for another endpoint.
    Evicted,
    /// A call on another connection to the address timed out, and this one had heard nothing since.
    Suspect,
    /// Its endpoint drains, is gone, disabled or moved.
    Retired,
    /// The decisions closed the endpoint's idle connections.
    #[serde(rename = "given_back")]
    Disconnected,
    /// Its call was cancelled.
    #[serde(rename = "called_off")]
    Cancelled,
    /// Its call got no answer in time.
    TimedOut,
    /// It broke with a call on it.
    Reset,
    /// Its answer could not be read to the end.
    Unreadable,
    /// The process shuts down, or has handed over.
    #[serde(rename = "leaving")]
    ShuttingDown,
}

/// Why a dial brought no connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DialFailure {
    /// The peer refused it.
    Refused,
    /// Nothing came in time.
    TimedOut,
    /// This machine could not make it: that says nothing of the endpoint.
    Local,
    /// Anything else on the way.
    Other,
}

/// Why a call that waits gets no connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseDenied {
    /// A dial failed.
    Dial(DialFailure),
    /// Its endpoint drains, is gone, disabled or moved.
    Retired,
    /// Its destination has sent a Retry-After.
    RetryAfter,
    /// The process shuts down, or has handed over.
    ShuttingDown,
}

/// What an answer tells of its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// The call was served.
    Served,
    /// It was rejected (503), for whatever reason.
    Rejected,
    /// Any other answer.
    Other,
}

/// What the layer round the rules is to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    /// Dial this connection.
    Dial {
        /// Its number, never used again.
        connection: u64,
        /// Where to.
        target: EndpointAddress,
    },
    /// Give the connection to the call.
    Lease {
        /// The call that asked.
        waiter: u64,
        /// What it gets.
        connection: u64,
        /// How long the connection had been idle; none if it is new.
        idle_for: Option<Micros>,
    },
    /// The call gets none.
    Deny {
        /// The call that asked.
        waiter: u64,
        /// Why.
        reason: LeaseDenied,
    },
    /// Close the connection, which carries nothing.
    Close {
        /// Its number.
        connection: u64,
    },
}
