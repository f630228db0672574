//! What goes into a replica and comes out of it: answers to requests, changes of the cluster, the output of a turn, errors.

use super::allocating::QuotaResponse;
use crate::state::{Applied, CommandError, EndpointChange, ReplicaAddresses};
use crate::store::StoreError;
use quota_ledger::freeze::FreezeEntry;
use raft::eraftpb::Message;
use serde::{Deserialize, Serialize};
use std::fmt;
use thiserror::Error;
use versioned_config::{Grant, VersionTag};

/// The id of a request; its answer has the same.
pub type RequestId = u64;

/// The answer to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// The command is in the log of a majority, and is applied.
    Applied(Applied),
    /// The command is rejected, and has changed nothing.
    Rejected(CommandError),
    /// Another replica leads, if one is known.
    NotLeader(Option<u64>),
    /// This replica leads no more: the command may be applied yet, or not.
    OutcomeUnknown,
    /// A lease on the rules.
    Granted(Box<Grant>),
    /// Quotas.
    Quotas(Box<QuotaResponse>),
    /// The sender's fallback rules or quotas are not those that are agreed.
    OtherFallback,
    /// Not now: a bound is reached, or another change is under way.
    Busy(BusyReason),
    /// What is applied here is at least what was answered to anybody before the request.
    UpToDate,
}

/// Why a request can't be served now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum BusyReason {
    /// The log has too many uncommitted bytes.
    #[error("too much waits to be committed")]
    UncommittedLog,
    /// The bound on senders with a lease is reached.
    #[error("too many senders hold leases")]
    LeaseHolders,
    /// The bound on senders with quotas is reached.
    #[error("too many senders hold parts")]
    QuotaHolders,
    /// One change of the cluster at a time.
    #[error("another change of replicas is under way")]
    ReplicaChange,
    /// Zero is no id of a replica.
    #[error("a replica's id is above zero")]
    ReplicaIdZero,
    /// The leader can't remove itself.
    #[error("it leads: ask again once another does")]
    RemovesLeader,
}

/// A replica that joins, becomes a voter or leaves. The order of the fields is the stored form.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaChange {
    /// The replica's id.
    pub id: u64,
    /// Its addresses; none: it leaves.
    pub addresses: Option<ReplicaAddresses>,
    /// Whether it votes from now on; else it is a learner.
    pub votes: bool,
}

/// What the log has of a change of replicas. The order of the fields is the stored form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ReplicaChangeEntry {
    /// The proposal's mark.
    pub mark: Vec<u8>,
    /// The change.
    pub change: ReplicaChange,
}

/// A new version of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct ListVersion {
    /// The version.
    pub rev: u64,
    /// What it changed.
    pub endpoints: Vec<EndpointChange>,
}

/// The output of a turn.
#[derive(Debug, Default)]
pub struct Output {
    /// Messages to other replicas.
    pub messages: Vec<Message>,
    /// Answers to requests.
    pub answers: Vec<(RequestId, Answer)>,
    /// New versions of the endpoint list, in order.
    pub changes: Vec<ListVersion>,
    /// The whole list was replaced by a leader's snapshot.
    pub reset: bool,
    /// Events to log.
    pub events: Vec<ReplicaEvent>,
}

/// An event that operators may want to see in the log.
#[derive(Debug, Clone, PartialEq)]
pub enum ReplicaEvent {
    /// The leader's snapshot replaced the state.
    SnapshotInstalled {
        /// The snapshot's index.
        index: u64,
    },
    /// The set of voters changed.
    VotersChanged {
        /// The voters' ids.
        voters: Vec<u64>,
    },
    /// The rules have another version or step.
    RulesChanged(VersionTag),
    /// Another replica leads, or none.
    LeaderChanged {
        /// The leader's id, where one is known.
        leader: Option<u64>,
        /// The term.
        term: u64,
    },
    /// The leader changes the freeze calendar by itself.
    FreezeStep(FreezeEntry),
    /// Endpoints are retained, for too many expired at once.
    EndpointsRetained {
        /// How many.
        count: usize,
    },
}

impl fmt::Display for ReplicaEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReplicaEvent::SnapshotInstalled { index } => {
                write!(f, "installed a snapshot at index {index}")
            }
            ReplicaEvent::VotersChanged { voters } => write!(f, "voters are {voters:?}"),
            ReplicaEvent::RulesChanged(VersionTag {
                version,
                complete: true,
            }) => {
                write!(f, "rules: version {version} in force")
            }
            ReplicaEvent::RulesChanged(VersionTag { version, .. }) => {
                write!(
                    f,
                    "rules: version {version} as the intersection with the one before"
                )
            }
            ReplicaEvent::LeaderChanged { leader: None, term } => {
                write!(f, "no leader is known, term {term}")
            }
            ReplicaEvent::LeaderChanged {
                leader: Some(leader),
                term,
            } => {
                write!(f, "replica {leader} leads in term {term}")
            }
            ReplicaEvent::FreezeStep(entry) => write!(f, "freeze: {entry:?}"),
            ReplicaEvent::EndpointsRetained { count } => write!(
                f,
                "{count} expired endpoints are retained: many heartbeats are missing at once, so the fault is \
                 likelier here"
            ),
        }
    }
}

/// Why a replica can't go on.
#[derive(Debug, Error)]
pub enum ReplicaError {
    /// The log can't be kept.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The raft engine found an impossible state.
    #[error("raft: {0}")]
    Raft(#[from] raft::Error),
    /// A committed entry can't be decoded: a program of another version wrote it.
    #[error("entry {index} can't be read: {error}")]
    Entry {
        /// The entry's index.
        index: u64,
        /// The decoder's error.
        error: postcard::Error,
    },
}
