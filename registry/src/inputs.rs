//! What the replica's thread is told, by clients and by the links to other replicas.

use crate::replica::{Answer, PartsQuestion, Question, Replica, ReplicaChange};
use crate::state::Command;
use tokio::sync::oneshot;
use versioned_config::Micros;

/// Looks at the replica as it stands.
pub type Look = Box<dyn FnOnce(&mut Replica, Micros) + Send>;

/// What the thread is told.
pub enum Input {
    /// Another replica's message.
    Peer(raft::eraftpb::Message),
    /// A message to this replica could not be sent.
    Unreachable(u64),
    /// A snapshot to this replica was sent, or was not.
    SnapshotSent(u64, bool),
    /// Somebody asks.
    Asked(Asked, oneshot::Sender<Answer>),
    /// Somebody looks.
    Look(Look),
}

/// A question.
pub enum Asked {
    /// For a command to be done.
    Change(Command),
    /// For a lease.
    Lease(Question),
    /// For parts of limits.
    Parts(PartsQuestion),
    /// For what is applied to be as late as the question.
    Read,
    /// An endpoint lives.
    Beat(String),
    /// A replica comes or goes.
    Replicas(ReplicaChange),
}
