//! Applies what is committed: commands, changes of replicas, snapshots.

use super::Replica;
use super::interface::{
    Answer, ListVersion, Output, ReplicaChange, ReplicaChangeEntry, ReplicaError, ReplicaEvent,
};
use crate::state::{Applied, Command, CommandError, State};
use crate::wire_types::{EntryKind, HardState, LogEntry, Membership, Snapshot};
use quota_ledger::freeze::FreezeEntry;
use versioned_config::Micros;

impl Replica {
    /// Replaces the applied entries of the log by the state.
    ///
    /// # Errors
    /// The store can't write it.
    pub fn compact(&mut self) -> Result<(), ReplicaError> {
        let data = postcard::to_allocvec(&self.state).map_err(|error| ReplicaError::Entry {
            index: self.applied,
            error,
        })?;
        Ok(self.raw.mut_store().compact(self.applied, data)?)
    }

    /// Replaces the state by a leader's snapshot.
    pub(super) fn install(
        &mut self,
        snapshot: Snapshot,
        hard_state: Option<HardState>,
        output: &mut Output,
    ) -> Result<(), ReplicaError> {
        let index = snapshot.index;
        self.state =
            State::read(&snapshot.data).map_err(|error| ReplicaError::Entry { index, error })?;
        self.applied = index;
        self.raw.mut_store().install(snapshot, hard_state)?;
        output.reset = true;
        output
            .events
            .push(ReplicaEvent::SnapshotInstalled { index });
        Ok(())
    }

    /// Applies committed entries.
    pub(super) fn apply(
        &mut self,
        now: Micros,
        entries: Vec<raft::eraftpb::Entry>,
        output: &mut Output,
    ) -> Result<(), ReplicaError> {
        for entry in entries {
            let entry = LogEntry::from(&entry);
            let index = entry.index;
            self.applied = index;
            let unreadable = |error| ReplicaError::Entry { index, error };
            match entry.kind {
                EntryKind::Normal if entry.data.is_empty() => {}
                EntryKind::Normal => {
                    let command = postcard::from_bytes(&entry.data).map_err(unreadable)?;
                    self.apply_command(now, command, &entry.context, output);
                }
                EntryKind::Replicas => {
                    let ReplicaChangeEntry { mark, change } =
                        postcard::from_bytes(&entry.context).map_err(unreadable)?;
                    self.apply_replica_change(change, &mark, output)?;
                }
            }
        }
        Ok(())
    }

    fn apply_command(&mut self, now: Micros, command: Command, mark: &[u8], output: &mut Output) {
        let advances = matches!(command, Command::AdvanceRules(_));
        if let Command::Freeze(FreezeEntry::AdvanceClock(ms)) = &command {
            self.apply_clock(now, *ms);
        }
        let applied = self.state.apply(command);
        self.follow(now, &applied, advances, output);
        let answer = applied.map_or_else(Answer::Rejected, Answer::Applied);
        self.answer_proposal(mark, answer, output);
    }

    fn apply_replica_change(
        &mut self,
        change: ReplicaChange,
        mark: &[u8],
        output: &mut Output,
    ) -> Result<(), ReplicaError> {
        let conf = self.raw.apply_conf_change(&change.to_raft())?;
        self.raw.mut_store().set_membership(Membership::from(&conf));
        self.membership_changed = true;
        match change.addresses {
            Some(addresses) => self.state.replicas.insert(change.id, addresses),
            None => self.state.replicas.remove(&change.id),
        };
        output.events.push(ReplicaEvent::VotersChanged {
            voters: conf.voters,
        });
        let applied = Applied {
            rev: self.state.rev,
            tag: self.state.tag(),
            ..Applied::default()
        };
        self.answer_proposal(mark, Answer::Applied(applied), output);
        Ok(())
    }

    /// Answers the request whose proposal is applied now, if it was made here.
    fn answer_proposal(&mut self, mark: &[u8], answer: Answer, output: &mut Output) {
        let number = self.number_of(mark);
        if let Some(id) = number.and_then(|number| self.proposals.remove(&number)) {
            output.answers.push((id, answer));
        }
    }

    /// Passes what a command did to watchers, and to what the leader alone knows.
    fn follow(
        &mut self,
        now: Micros,
        applied: &Result<Applied, CommandError>,
        advances: bool,
        output: &mut Output,
    ) {
        let Ok(applied) = applied else { return };
        if !applied.changed.is_empty() {
            output.changes.push(ListVersion {
                rev: applied.rev,
                endpoints: applied.changed.clone(),
            });
        }
        if let Some(leadership) = &mut self.leadership {
            leadership.follow(now, applied, advances, &self.state);
        }
        if let Some(tag) = applied.tag
            && applied.changed.is_empty()
            && !applied.ledger
        {
            output.events.push(ReplicaEvent::RulesChanged(tag));
        }
    }
}
