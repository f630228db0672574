//! Replicas that join, become voters and leave, one at a time.

use super::Replica;
use super::interface::{Answer, BusyReason, Output, ReplicaChange, ReplicaChangeEntry, RequestId};
use crate::state::CommandError;
use quota_ledger::freeze::{ChangeKind, FreezeError, ResourceChange};
use raft::eraftpb::{ConfChange, ConfChangeType};

impl Replica {
    /// Adds or removes a replica. One that is added gets the log first and votes once it has it.
    pub fn change_replicas(&mut self, id: RequestId, change: ReplicaChange, output: &mut Output) {
        match self.try_change_replicas(change) {
            Ok(number) => drop(self.proposals.insert(number, id)),
            Err(answer) => output.answers.push((id, answer)),
        }
    }

    /// Appends the change; its number, or the answer of one that can't be made now.
    fn try_change_replicas(&mut self, change: ReplicaChange) -> Result<u64, Answer> {
        if !self.is_leader() {
            return Err(Answer::NotLeader(self.leader()));
        }
        self.check_freeze(change)
            .map_err(|held| Answer::Rejected(CommandError::Freeze(held)))?;
        if self.raw.raft.has_pending_conf() {
            return Err(Answer::Busy(BusyReason::ReplicaChange));
        }
        if change.id == 0 {
            return Err(Answer::Busy(BusyReason::ReplicaIdZero));
        }
        if change.addresses.is_none() && change.id == self.id {
            return Err(Answer::Busy(BusyReason::RemovesLeader));
        }
        self.append_change(change)
            .ok_or(Answer::Busy(BusyReason::UncommittedLog))
    }

    fn check_freeze(&self, change: ReplicaChange) -> Result<(), FreezeError> {
        let joins = change.addresses.is_some() && !self.state.replicas.contains_key(&change.id);
        let matter = joins.then(|| ResourceChange::of_all(ChangeKind::Replica));
        self.state.freeze.check_changes(matter.as_slice(), false)
    }

    /// Appends a change of replicas, as leader; its number.
    pub(super) fn append_change(&mut self, change: ReplicaChange) -> Option<u64> {
        let number = self.next_number();
        let entry = ReplicaChangeEntry {
            mark: self.mark(number),
            change,
        };
        let context = postcard::to_allocvec(&entry).ok()?;
        self.raw
            .propose_conf_change(context, change.to_raft())
            .ok()
            .map(|()| number)
    }

    /// Transfers leadership to the replica that has most of the log; false if there is none or this one does not lead.
    pub fn transfer_leadership(&mut self) -> bool {
        let progress = self.raw.raft.prs();
        let voters = progress.conf().voters();
        let others = progress.iter().filter(|(other, progress)| {
            **other != self.id && progress.recent_active && voters.contains(**other)
        });
        let successor = others
            .max_by_key(|(_, progress)| progress.matched)
            .map(|(other, _)| *other);
        let Some(successor) = successor.filter(|_| self.is_leader()) else {
            return false;
        };
        self.raw.transfer_leader(successor);
        true
    }

    /// The change that makes a voter of a learner that has the log, if there is one.
    pub(super) fn next_voter(&self) -> Option<ReplicaChange> {
        let progress = self.raw.raft.prs();
        let committed = self.raw.raft.raft_log.committed;
        let has_log = |id: &&u64| {
            progress
                .get(**id)
                .is_some_and(|progress| progress.matched >= committed)
        };
        let id = *self
            .raw
            .store()
            .membership()
            .learners
            .iter()
            .find(has_log)?;
        let addresses = self.state.replicas.get(&id).copied();
        Some(ReplicaChange {
            id,
            addresses,
            votes: true,
        })
    }
}

impl ReplicaChange {
    /// The change in the raft engine's types.
    pub(super) fn to_raft(self) -> ConfChange {
        let mut change = ConfChange {
            node_id: self.id,
            ..Default::default()
        };
        change.set_change_type(match (self.addresses, self.votes) {
            (None, _) => ConfChangeType::RemoveNode,
            (Some(_), true) => ConfChangeType::AddNode,
            (Some(_), false) => ConfChangeType::AddLearnerNode,
        });
        change
    }
}
