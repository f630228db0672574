//! The lines of a history.

use crate::schedule::{FaultAction, ReplicaAction};
use serde::{Deserialize, Serialize};

/// Raised when a reader of old histories would err.
pub const VERSION: u32 = 1;

/// The first line.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Head {
    pub version: u32,
    pub scenario: String,
    pub seed: u64,
    pub senders: usize,
    /// When clients stopped submitting messages, us.
    pub ends_us: u64,
    /// The members' protocol period, us; none: membership is off.
    pub period_us: Option<u64>,
}

/// One line.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    pub at_us: u64,
    #[serde(flatten)]
    pub event: Event,
}

/// What is recorded. Ids are those of messages; senders, endpoints and replicas go by number.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event")]
pub enum Event {
    /// A client submits a message.
    #[serde(rename = "handed")]
    Submitted {
        id: String,
        arrival: usize,
        sender: usize,
        class: usize,
        key: Option<u32>,
        #[serde(rename = "dest")]
        destination: usize,
        deadline_us: u64,
    },
    /// The status that the client read in time; 0: none.
    #[serde(rename = "answered")]
    SubmissionAnswered { id: String, status: u16 },
    /// An endpoint has read a call's last byte.
    #[serde(rename = "called")]
    CallReceived {
        id: String,
        endpoint: usize,
        sender: usize,
        /// The call takes effect.
        #[serde(rename = "run")]
        executed: bool,
    },
    /// The answer to a call was written.
    #[serde(rename = "replied")]
    CallAnswered {
        id: String,
        endpoint: usize,
        sender: usize,
        status: u16,
    },
    /// A call ended at the endpoint before its answer was written.
    #[serde(rename = "abandoned")]
    CallAbandoned {
        id: String,
        endpoint: usize,
        sender: usize,
    },
    /// A sender's log reports an invariant that did not hold.
    #[serde(rename = "violated")]
    InvariantViolated { sender: usize, line: String },
    /// An outcome notification came in.
    #[serde(rename = "notice")]
    OutcomeNotified { id: String, state: String },
    /// A sender's process was started.
    #[serde(rename = "started")]
    ProcessStarted { sender: usize, pid: u32 },
    /// A sender's process is ready for messages.
    #[serde(rename = "ready")]
    ProcessReady { sender: usize },
    /// A sender's process has ended.
    #[serde(rename = "ended")]
    ProcessEnded {
        sender: usize,
        pid: u32,
        /// The lab ended it.
        #[serde(rename = "meant")]
        intended: bool,
        status: String,
    },
    /// A sender's processes and its lasting folder together hold more than the sender's memory limit.
    MemoryExceeded { sender: usize, bytes: u64 },
    /// A sender's lasting folder was removed.
    #[serde(rename = "folder_lost")]
    StateLost { sender: usize },
    /// A fault begins or ends: the action as JSON.
    #[serde(rename = "step")]
    FaultStep {
        #[serde(rename = "what")]
        action: String,
    },
    /// A sender's report of the members that it knows.
    #[serde(rename = "members")]
    MembershipReported {
        sender: usize,
        view: serde_json::Value,
    },
    /// A sender's report of the rules that it acts on.
    #[serde(rename = "rules")]
    RulesReported {
        sender: usize,
        report: serde_json::Value,
    },
    /// A sender's report of the quotas that it is allocated.
    #[serde(rename = "parts")]
    QuotasReported {
        sender: usize,
        report: serde_json::Value,
    },
    /// The registry answered that all limits are set to this, in thousandths of a call a second.
    #[serde(rename = "limited")]
    LimitSet { total: u64 },
    /// The registry answered that it has taken up a version of the rules.
    #[serde(rename = "proposed")]
    RulesProposed { version: u64 },
    /// A list that names an endpoint was passed on to a sender.
    #[serde(rename = "told")]
    EndpointListed {
        sender: usize,
        endpoint: usize,
        up: bool,
    },
    /// A client of the registry has read the list's revision, or made this one by a conditional write.
    #[serde(rename = "revised")]
    ListRevision {
        #[serde(rename = "asked_us")]
        requested_at_us: u64,
        #[serde(rename = "rev")]
        revision: u64,
        #[serde(rename = "wrote")]
        is_write: bool,
    },
    /// A sender has dialled a replica, for a lease.
    #[serde(rename = "dialled")]
    RegistryDialled { sender: usize },
    /// Something is done to a replica of the registry.
    #[serde(rename = "replica")]
    ReplicaSignalled {
        replica: usize,
        #[serde(rename = "what")]
        action: ReplicaAction,
    },
    /// A replica's process has ended.
    #[serde(rename = "replica_ended")]
    ReplicaEnded {
        replica: usize,
        pid: u32,
        /// The lab ended it.
        #[serde(rename = "meant")]
        intended: bool,
        status: String,
    },
    /// The run is over: the lab itself ends the processes after it.
    #[serde(rename = "over")]
    RunEnded {},
    /// The lab itself ran late.
    #[serde(rename = "lab_late")]
    LabLate { ms: u64 },
}

impl Event {
    /// What begins or ends a fault, if this is such an event.
    pub fn fault_action(&self) -> Option<FaultAction> {
        match self {
            Event::FaultStep { action } => serde_json::from_str(action).ok(),
            _ => None,
        }
    }
}
