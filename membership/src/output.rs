//! What a node asks its host to do: datagrams to send and changes to report.

use crate::Micros;
use crate::record::State;
use std::net::SocketAddr;

/// The result of one call to a node.
#[derive(Debug, Default)]
pub struct Output {
    /// To be sent, in this order.
    pub datagrams: Vec<Datagram>,
    /// To be reported, in this order.
    pub changes: Vec<Change>,
}

/// One datagram to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Datagram {
    /// Where it goes.
    pub destination: SocketAddr,
    /// Its bytes, at most [`MAX_DATAGRAM_BYTES`](crate::MAX_DATAGRAM_BYTES).
    pub payload: Vec<u8>,
}

/// A change that the host may report or act on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Another member changed its state.
    MemberState {
        /// The member's name.
        name: String,
        /// Its state before; none if it was not known.
        previous: Option<State>,
        /// Its state now.
        current: State,
        /// The incarnation in which it has this state.
        incarnation: u64,
        /// Where it is reached.
        address: SocketAddr,
    },
    /// Others claimed that this node is suspect, dead or left, and it refuted that.
    Refuted {
        /// The state that was claimed.
        claimed: State,
        /// The greater incarnation that refutes it.
        incarnation: u64,
    },
    /// Another process uses this node's name.
    NameConflict {
        /// Where the other process is.
        address: SocketAddr,
        /// This node takes no part while the other process lives.
        yields: bool,
    },
    /// The process or the machine stood still.
    Paused {
        /// Time beyond the moment at which the node wanted to be called, microseconds.
        micros: Micros,
    },
    /// The last probes had no answer at all, or an answer has come again.
    Isolation {
        /// Whether the node has reason to doubt its own connectivity.
        isolated: bool,
    },
}
