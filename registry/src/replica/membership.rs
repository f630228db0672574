//! Replicas that come, vote and go, one at a time.

use super::Replica;
use super::messages::{Answer, Output, ReplicaChange, Ticket};
use crate::state::Refused;
use quota_ledger::freeze::{ChangeKind, FreezeError, ResourceChange};
use raft::eraftpb::{ConfChange, ConfChangeType};

impl Replica {
    /// Has a replica come or go, one at a time. One that comes gets the log first and votes once it has it.
    pub fn reconfigure(&mut self, ticket: Ticket, change: ReplicaChange, output: &mut Output) {
        let answer = if !self.leads() {
            Answer::NotLeader(self.leader())
        } else if let Err(held) = self.judge_replica(change) {
            Answer::Refused(Refused::Freeze(held))
        } else if self.raw.raft.has_pending_conf() {
            Answer::Busy("another change of replicas is under way")
        } else if change.id == 0 {
            Answer::Busy("a replica's id is above zero")
        } else if change.place.is_none() && change.id == self.id {
            Answer::Busy("it leads: ask again once another does")
        } else {
            match self.append_change(change) {
                Some(number) => {
                    self.proposals.insert(number, ticket);
                    return;
                }
                None => Answer::Busy("too much waits to be committed"),
            }
        };
        output.answers.push((ticket, answer));
    }

    fn judge_replica(&self, change: ReplicaChange) -> Result<(), FreezeError> {
        let joins = change.place.is_some() && !self.state.replicas.contains_key(&change.id);
        let matters = joins.then(|| ResourceChange::of_all(ChangeKind::Replica));
        self.state.freeze.check_changes(matters.as_slice(), false)
    }

    /// Appends a change of replicas, as leader; its number.
    pub(super) fn append_change(&mut self, change: ReplicaChange) -> Option<u64> {
        self.next += 1;
        let number = self.next;
        let context = postcard::to_allocvec(&(self.mark(number), change)).ok()?;
        self.raw
            .propose_conf_change(context, change.engine())
            .ok()
            .map(|()| number)
    }

    /// Hands the lead to the replica that has most of the log; false if there is none or this one does not lead.
    pub fn transfer(&mut self) -> bool {
        let id = self.id;
        let others = self.raw.raft.prs().iter().filter(|(other, progress)| {
            **other != id
                && progress.recent_active
                && self.raw.raft.prs().conf().voters().contains(**other)
        });
        let next = others
            .max_by_key(|(_, progress)| progress.matched)
            .map(|(other, _)| *other);
        let transfers = next.filter(|_| self.leads());
        transfers
            .into_iter()
            .for_each(|next| self.raw.transfer_leader(next));
        transfers.is_some()
    }

    /// A replica that has the log, and does not vote yet.
    pub(super) fn next_voter(&self) -> Option<ReplicaChange> {
        let prs = self.raw.raft.prs();
        let committed = self.raw.raft.raft_log.committed;
        let ready = |id: &&u64| {
            prs.get(**id)
                .is_some_and(|progress| progress.matched >= committed)
        };
        let id = *self.raw.store().voters().learners.iter().find(ready)?;
        Some(ReplicaChange {
            id,
            place: self.state.replicas.get(&id).copied(),
            votes: true,
        })
    }
}

impl ReplicaChange {
    /// The same as the engine has it.
    pub(super) fn engine(self) -> ConfChange {
        let mut change = ConfChange {
            node_id: self.id,
            ..Default::default()
        };
        change.set_change_type(match (self.place, self.votes) {
            (None, _) => ConfChangeType::RemoveNode,
            (Some(_), true) => ConfChangeType::AddNode,
            (Some(_), false) => ConfChangeType::AddLearnerNode,
        });
        change
    }
}
