//! What one member says of another: how it stands, and which of two records of one member holds.

use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::net::SocketAddr;

/// How a member stands. The order is that of precedence within one incarnation (SWIM, section IV-B).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It answers, as far as is known.
    Alive,
    /// Some observer has had no answer; it counts as living.
    Suspect,
    /// Several observers had no answer for the time of a suspicion.
    Dead,
    /// It said so itself.
    Left,
}

impl State {
    /// Whether the member counts as one of the fleet.
    pub fn lives(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }
}

/// What one member says of another, or of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub name: String,
    pub address: SocketAddr,
    pub incarnation: u64,
    /// The process's start, Unix microseconds: of two with one name the elder is the member.
    pub instance: u64,
    pub state: State,
    /// Who saw it fail, where it is suspect.
    pub observer: Option<String>,
}

/// The place of a record among all records of its member: the greatest holds. At the same incarnation and state the
/// elder process is the member.
pub fn rank(incarnation: u64, state: State, instance: u64) -> (u64, State, Reverse<u64>) {
    (incarnation, state, Reverse(instance))
}
