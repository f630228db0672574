//! Types of the pool's inputs and outputs: endpoint addresses, answers, commands, and reasons for
//! closing, denying or failing.

use crate::{EndpointId, Micros};
use serde::Serialize;
use std::net::SocketAddr;

/// Target of connections: an endpoint at an address. Two connections are interchangeable only if
/// both the endpoint and the address are the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointAddress {
    /// Address to dial. It is the first field so that all endpoints of one address are adjacent in
    /// sorted order.
    pub address: SocketAddr,
    /// Number of the endpoint at that address.
    pub endpoint: EndpointId,
}

/// Why a connection was closed. The names in JSON are part of the operators' interface and must not
/// change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CloseReason {
    /// The connection reached its idle timeout.
    #[serde(rename = "age")]
    IdleTimeout,
    /// The peer closed the connection.
    #[serde(rename = "peer")]
    ClosedByPeer,
    /// The connection was idle and exceeded a limit of the pool or the number of connections that
    /// the load needs.
    Surplus,
    /// The connection was idle while endpoints reject new connections for lack of room, so that
    /// other senders wait for connections.
    #[serde(rename = "scarce")]
    Scarcity,
    /// The connection was idle while the limit on all connections was reached and another
    /// connection had to be dialled.
    Evicted,
    /// A call on another connection to the same address timed out, and this idle connection had
    /// received nothing since that call began.
    Suspect,
    /// The connection's endpoint drains, was removed or disabled, or has another address now.
    Retired,
    /// The decision module closed the endpoint's idle connections.
    #[serde(rename = "given_back")]
    Disconnected,
    /// The call on the connection was cancelled.
    #[serde(rename = "called_off")]
    Cancelled,
    /// The call on the connection got no answer in time.
    TimedOut,
    /// The connection broke while it carried a call.
    Reset,
    /// The answer on the connection could not be read to the end.
    Unreadable,
    /// The process shuts down, or has handed over to its successor.
    #[serde(rename = "leaving")]
    ShuttingDown,
}

/// Why a dial failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DialFailure {
    /// The peer refused the connection.
    Refused,
    /// The connection did not come up in time.
    TimedOut,
    /// The local host could not open a connection, for example for lack of sockets. This says
    /// nothing about the endpoint.
    Local,
    /// Any other failure, for example an unreachable network.
    Other,
}

/// Why a waiting call gets no connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseDenied {
    /// The dial for the call failed.
    Dial(DialFailure),
    /// The call's endpoint drains, was removed or disabled, or has another address now.
    Retired,
    /// The call's destination has sent a Retry-After.
    RetryAfter,
    /// The endpoint list is stale, so the call's endpoint may have begun to drain.
    Suspended,
    /// The process shuts down, or has handed over to its successor.
    ShuttingDown,
}

/// Whether an answer shows that its endpoint accepts calls on the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// The endpoint served the call.
    Served,
    /// The endpoint rejected the call with status 503, for any reason other than a lack of call
    /// slots.
    Rejected,
    /// Any other answer, from which nothing is learned.
    Other,
}

/// A request from the pool's rules to the code that owns the sockets (`src/net/pool`).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    /// Dial a new connection.
    Dial {
        /// Number of the new connection, which is never reused.
        connection: u64,
        /// Endpoint and address to dial.
        target: EndpointAddress,
    },
    /// Give a connection to a waiting call.
    Lease {
        /// Number of the waiting call.
        waiter: u64,
        /// Number of the connection that the call gets.
        connection: u64,
        /// Time in microseconds for which the connection had been idle; `None` if it carries its
        /// first call.
        idle_for: Option<Micros>,
    },
    /// Tell a waiting call that it gets no connection.
    Deny {
        /// Number of the waiting call.
        waiter: u64,
        /// Why the call gets no connection.
        reason: LeaseDenied,
    },
    /// Close a connection that carries no call.
    Close {
        /// Number of the connection to close.
        connection: u64,
    },
}
