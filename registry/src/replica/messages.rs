//! What goes into a replica and comes out of it: answers, changes of replicas, what follows from a turn, errors.

use super::keeping::PartsAnswer;
use crate::state::{Applied, Changed, Place, Refused};
use crate::store::StoreError;
use raft::eraftpb::Message;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use versioned_config::Grant;

/// Who asked; the answer bears the same.
pub type Ticket = u64;

/// What comes of a question.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// It is in the log of a majority, and done.
    Applied(Applied),
    /// It is in the log, or would be, and did nothing.
    Refused(Refused),
    /// Another leads, or nobody that is known.
    NotLeader(Option<u64>),
    /// It may be done yet or not: this replica leads no more.
    Unsure,
    /// A lease.
    Granted(Box<Grant>),
    /// Parts of limits.
    Parts(Box<PartsAnswer>),
    /// The asker's floor is not the one agreed.
    OtherFloor,
    /// Too many, or something of the kind is under way.
    Busy(&'static str),
    /// What is applied now is at least what was answered to anybody before the question came.
    Fresh,
}

/// A replica that comes or goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaChange {
    /// Which.
    pub id: u64,
    /// Where it is; none: it goes.
    pub place: Option<Place>,
    /// It votes from now on; else it only gets the log.
    pub votes: bool,
}

/// What follows from a turn.
#[derive(Debug, Default)]
pub struct Output {
    /// For other replicas.
    pub messages: Vec<Message>,
    /// For those that asked.
    pub answers: Vec<(Ticket, Answer)>,
    /// Versions of the list, with what has changed.
    pub changes: Vec<(u64, Vec<Changed>)>,
    /// The list is another as a whole: a leader's snapshot came.
    pub reset: bool,
    /// For the log.
    pub notes: Vec<String>,
}

/// Why a replica can't go on.
#[derive(Debug, Error)]
pub enum ReplicaError {
    /// The log can't be kept.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The engine found a state that can't be.
    #[error("the engine: {0}")]
    Raft(#[from] raft::Error),
    /// What was committed can't be read: a program of another version wrote it.
    #[error("entry {index} can't be read: {error}")]
    Entry {
        /// Which.
        index: u64,
        /// Why.
        error: postcard::Error,
    },
}
