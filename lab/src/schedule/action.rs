//! What may be done to a fleet, and to whom.

use crate::answers::AnswerFaultKind;
use crate::scenario::CrowdRequests;
use serde::{Deserialize, Serialize};

/// A party of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Party {
    /// A sender, by number.
    Sender(usize),
    /// An endpoint, by number.
    Endpoint(usize),
    /// A replica of the registry, by number.
    Registry(usize),
    /// The lab's discovery.
    Discovery,
    /// All clients.
    Clients,
}

/// Something that is done to the fleet at a time.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ScheduledAction {
    /// When, in microseconds after the clients begin.
    pub at_us: u64,
    /// What is done.
    #[serde(rename = "what")]
    pub action: FaultAction,
}

/// What begins or ends a fault. Faults of links carry the number by which they end.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultAction {
    /// Links between two groups begin to suffer something.
    Impair {
        fault: usize,
        from: Vec<Party>,
        to: Vec<Party>,
        #[serde(rename = "how")]
        impairment: Impairment,
    },
    /// A fault of links ends.
    Heal { fault: usize },
    /// Connections between two groups are reset.
    Reset { from: Vec<Party>, to: Vec<Party> },
    /// SIGKILL.
    Kill { sender: usize },
    /// SIGTERM.
    Term { sender: usize },
    /// A process starts, without its lasting folder if that is lost.
    Start { sender: usize, folder_lost: bool },
    /// SIGSTOP.
    Stop { sender: usize },
    /// SIGCONT.
    Continue { sender: usize },
    /// A second process takes over.
    Upgrade { sender: usize },
    /// An endpoint begins to reject all calls, or accepts them again.
    Shut { endpoint: usize, shut: bool },
    /// Answers of an endpoint, or of the platform to notifications, begin to go wrong; none: no more.
    SpoilAnswers {
        party: Party,
        #[serde(rename = "how")]
        spoiled: Option<SpoiledAnswers>,
    },
    /// Clients of a crowd connect to a sender, so many; 0: they leave.
    Crowd {
        sender: usize,
        connections: usize,
        #[serde(skip_serializing_if = "CrowdRequests::is_nothing")]
        sends: CrowdRequests,
    },
    /// Discovery goes down or comes up.
    Discovery { up: bool },
    /// System calls of this name fail from now on.
    FailCalls {
        sender: usize,
        call: String,
        number: i32,
        percent: u8,
    },
    /// System calls of this name fail no more.
    RestoreCalls { sender: usize, call: String },
    /// The registry lists an endpoint as up or as draining.
    List { endpoint: usize, up: bool },
    /// Something is done to a replica of the registry.
    Replica {
        /// None: the one that leads.
        replica: Option<usize>,
        #[serde(rename = "what")]
        action: ReplicaAction,
    },
}

/// What goes wrong with answers, and how many of them.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct SpoiledAnswers {
    /// What goes wrong.
    pub kind: AnswerFaultKind,
    /// Share of the answers.
    pub share: f64,
}

/// What is done to a replica of the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaAction {
    /// SIGKILL.
    Kill,
    /// SIGTERM.
    Term,
    /// Its process starts.
    Start,
    /// SIGSTOP.
    Stop,
    /// SIGCONT.
    Continue,
}

/// What a link suffers, in the directions named.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Impairment {
    /// Nothing passes.
    Cut {
        /// From the first group to the second.
        #[serde(rename = "there")]
        forward: bool,
        /// From the second group to the first.
        #[serde(rename = "back")]
        reverse: bool,
    },
    /// Datagrams are lost with this chance.
    Loss { share: f64 },
    /// Datagrams come twice with this chance.
    Duplicate { share: f64 },
    /// All that passes is delayed, by up to `jitter_us` more.
    Delay { us: u64, jitter_us: u64 },
}
