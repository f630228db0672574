//! What the pool is told and what it asks for: places, answers, commands, and the causes in them.

use crate::{EndpointId, Micros};
use serde::Serialize;
use std::net::SocketAddr;

/// Where connections go: an endpoint at an address. Neither alone makes two connections the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Place {
    /// The address, first, so that all endpoints of one address stand together.
    pub address: SocketAddr,
    /// Whose it is.
    pub endpoint: EndpointId,
}

/// Why a connection was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// It stood idle for as long as is allowed.
    Age,
    /// The other side closed it.
    Peer,
    /// There was no room among the idle ones, or fewer are wanted.
    Surplus,
    /// New connections are turned away for want of room: others wait for this one.
    Scarce,
    /// Its place was needed for another endpoint.
    Evicted,
    /// A call on another connection to the address timed out, and this one had heard nothing since.
    Suspect,
    /// Its endpoint drains, is gone, out or elsewhere.
    Retired,
    /// The decision module gave it back.
    GivenBack,
    /// Its call was called off.
    CalledOff,
    /// Its call got no answer in time.
    TimedOut,
    /// It broke with a call on it.
    Reset,
    /// Its answer could not be read to the end.
    Unreadable,
    /// The process ends, or has handed over.
    Leaving,
}

/// Why a dial brought no connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DialFailure {
    /// The other side refused it.
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
pub enum Denied {
    /// A dial failed.
    Dial(DialFailure),
    /// Its endpoint drains, is gone, out or elsewhere.
    Retired,
    /// Its destination has told to wait.
    Wait,
    /// The process ends, or has handed over.
    Leaving,
}

/// What an answer tells of its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answered {
    /// The call was served.
    Served,
    /// It was turned away (503), for whatever reason.
    TurnedAway,
    /// Anything else that was an answer.
    Other,
}

/// What the layer is to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    /// Dial this connection.
    Dial {
        /// Its number, never used again.
        connection: u64,
        /// Where to.
        place: Place,
    },
    /// Give the connection to the call.
    Lease {
        /// The call that asked.
        waiter: u64,
        /// What it gets.
        connection: u64,
        /// How long the connection had stood idle; none if it is new.
        idle_for: Option<Micros>,
    },
    /// The call gets none.
    Deny {
        /// The call that asked.
        waiter: u64,
        /// Why.
        why: Denied,
    },
    /// Close the connection, which carries nothing.
    Close {
        /// Its number.
        connection: u64,
    },
}
