//! What a node tells of itself and the fleet, and what it stores. The JSON names are those that operators and stored
//! files have always had.

use crate::record::State;
use crate::wire::DropReason;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The fleet as this node sees it; all that others may act on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct View {
    /// Members that are alive or suspect, this node counted.
    #[serde(rename = "living")]
    pub present: u32,
    /// Those of them that some observer had no answer from.
    pub suspects: u32,
    /// Members known to have died or left.
    #[serde(rename = "gone")]
    pub departed: u32,
    /// Members known to see the same members present, this node counted.
    #[serde(rename = "holders")]
    pub agreeing: u32,
    /// This node has reason to doubt its own connectivity.
    #[serde(rename = "doubt")]
    pub isolated: bool,
}

/// What outlasts the process.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PersistedState {
    /// The greatest own incarnation that was in force.
    pub incarnation: u64,
    /// Where members were last reached.
    #[serde(rename = "contacts")]
    pub known_addresses: Vec<SocketAddr>,
}

/// Datagrams since the start.
#[derive(Debug, Clone, Default, Serialize)]
pub struct DatagramCounters {
    /// Datagrams received, dropped ones counted.
    #[serde(rename = "datagrams_in")]
    pub received: u64,
    /// Datagrams sent.
    #[serde(rename = "datagrams_out")]
    pub sent: u64,
    /// Bytes received.
    #[serde(rename = "bytes_in")]
    pub bytes_received: u64,
    /// Bytes sent.
    #[serde(rename = "bytes_out")]
    pub bytes_sent: u64,
    /// Datagrams dropped, by reason.
    pub dropped: BTreeMap<DropReason, u64>,
}

impl DatagramCounters {
    pub(crate) fn count_drop(&mut self, reason: DropReason) {
        *self.dropped.entry(reason).or_default() += 1;
    }
}

/// A member's state and the incarnation in which it has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct MemberState {
    /// The greater incarnation is the later one.
    pub incarnation: u64,
    /// Its state in that incarnation.
    pub state: State,
}

/// One member for a report.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct MemberReport {
    /// Its name.
    pub name: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its state.
    pub state: State,
    /// The incarnation in which it has this state.
    pub incarnation: u64,
    /// Time in this state, milliseconds.
    #[serde(rename = "for_ms")]
    pub in_state_ms: u64,
    /// Time since its last own datagram, milliseconds; none if none came.
    #[serde(rename = "heard_ms")]
    pub since_heard_ms: Option<u64>,
    /// The observers that suspect it.
    pub observers: Vec<String>,
}
