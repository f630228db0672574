//! The commands to the replica's thread, from clients and from the transport.

use crate::replica::{Answer, QuotaRequest, Replica, ReplicaChange, SenderLeaseRequest};
use crate::state::Command;
use tokio::sync::oneshot;
use versioned_config::Micros;

/// A closure that runs on the replica's thread, between two turns, with the time of the thread's clock.
pub type Inspection = Box<dyn FnOnce(&mut Replica, Micros) + Send>;

/// A command to the replica's thread.
pub enum ThreadCommand {
    /// A raft message from another replica has arrived.
    RaftMessage(raft::eraftpb::Message),
    /// A message to the replica with this id could not be sent.
    PeerUnreachable(u64),
    /// The transmission of a snapshot has ended.
    SnapshotSent {
        /// The replica that it was for.
        id: u64,
        /// Whether all of it was written to the connection.
        sent: bool,
    },
    /// A client's request, with the channel for its answer.
    Request(ClientRequest, oneshot::Sender<Answer>),
    /// Runs a closure with the replica.
    Inspect(Inspection),
}

/// A client's request to the replica.
pub enum ClientRequest {
    /// Append a command to the log and apply it.
    Propose(Command),
    /// Grant a lease on the agreed rules to a sender.
    Lease(SenderLeaseRequest),
    /// Allocate quotas to a sender.
    Quotas(QuotaRequest),
    /// A linearizable read: answered once all that was committed before it is applied here.
    Read,
    /// A heartbeat of the endpoint with this name.
    Heartbeat(String),
    /// Add a replica to the cluster or remove one.
    ChangeReplicas(ReplicaChange),
}
