//! A statement about one member, and which of two such statements takes precedence.

use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::net::SocketAddr;

/// A member's state. The order is that of precedence within one incarnation (SWIM, section IV-B).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It answers, as far as is known.
    Alive,
    /// Some observer had no answer; it still counts as present.
    Suspect,
    /// Several observers had no answer for a whole suspicion timeout.
    Dead,
    /// It said itself that it leaves.
    Left,
}

impl State {
    /// Whether the member counts as part of the fleet.
    pub fn is_present(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }
}

/// What one member says of another, or of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub name: String,
    pub address: SocketAddr,
    pub incarnation: u64,
    /// The process's start, Unix microseconds: of two processes with one name the elder is the member.
    pub instance: u64,
    pub state: State,
    /// The observer that saw it fail; set exactly where it is suspect.
    pub observer: Option<String>,
}

impl Record {
    pub fn precedence(&self) -> Precedence {
        Precedence::new(self.incarnation, self.state, self.instance)
    }
}

/// The position of a record in the total order of all records of its member: the greatest one holds. At the same
/// incarnation and state the elder process is the member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Precedence {
    incarnation: u64,
    state: State,
    instance: Reverse<u64>,
}

impl Precedence {
    pub fn new(incarnation: u64, state: State, instance: u64) -> Self {
        Precedence {
            incarnation,
            state,
            instance: Reverse(instance),
        }
    }
}

#[cfg(test)]
mod tests;
