//! Applies what is committed: commands, changes of replicas, snapshots.

use super::Replica;
use super::messages::{Answer, Output, ReplicaChange, ReplicaError};
use crate::mirror::{Entry as Logged, Hard, Kind, Snapshot, Voters};
use crate::state::{Applied, Command, Refused, State};
use quota_ledger::freeze::FreezeEntry;
use versioned_config::Micros;

impl Replica {
    /// Puts the state in place of the log.
    ///
    /// # Errors
    /// It can't be written.
    pub fn compact(&mut self) -> Result<(), ReplicaError> {
        let data = postcard::to_allocvec(&self.state).map_err(|error| ReplicaError::Entry {
            index: self.applied,
            error,
        })?;
        Ok(self.raw.mut_store().compact(self.applied, data)?)
    }

    /// Puts a leader's snapshot in place of the state.
    pub(super) fn install(
        &mut self,
        snapshot: Snapshot,
        hard: Option<Hard>,
        output: &mut Output,
    ) -> Result<(), ReplicaError> {
        let index = snapshot.index;
        self.state =
            State::read(&snapshot.data).map_err(|error| ReplicaError::Entry { index, error })?;
        self.applied = index;
        self.raw.mut_store().install(snapshot, hard)?;
        output.reset = true;
        output
            .notes
            .push(format!("the state came as a snapshot at {index}"));
        Ok(())
    }

    /// Applies entries that are committed.
    pub(super) fn apply(
        &mut self,
        now: Micros,
        entries: Vec<raft::eraftpb::Entry>,
        output: &mut Output,
    ) -> Result<(), ReplicaError> {
        for entry in entries {
            let entry = Logged::from(&entry);
            let index = entry.index;
            self.applied = index;
            let unread = |error| ReplicaError::Entry { index, error };
            match entry.kind {
                Kind::Normal if entry.data.is_empty() => {}
                Kind::Normal => {
                    let command = postcard::from_bytes(&entry.data).map_err(unread)?;
                    self.apply_command(now, command, &entry.context, output);
                }
                Kind::Replicas => {
                    let (mark, change): (Vec<u8>, ReplicaChange) =
                        postcard::from_bytes(&entry.context).map_err(unread)?;
                    self.apply_replicas(change, &mark, output)?;
                }
            }
        }
        Ok(())
    }

    fn apply_command(&mut self, now: Micros, command: Command, mark: &[u8], output: &mut Output) {
        let advances = matches!(command, Command::Advance(_));
        if let Command::Freeze(FreezeEntry::AdvanceClock(ms)) = &command {
            self.hear_clock(now, *ms);
        }
        let applied = self.state.apply(command);
        self.follow(now, &applied, advances, output);
        let answer = applied.map_or_else(Answer::Refused, Answer::Applied);
        self.answer_proposal(mark, answer, output);
    }

    fn apply_replicas(
        &mut self,
        change: ReplicaChange,
        mark: &[u8],
        output: &mut Output,
    ) -> Result<(), ReplicaError> {
        let conf = self.raw.apply_conf_change(&change.engine())?;
        self.raw.mut_store().set_voters(Voters::from(&conf));
        self.reshaped = true;
        match change.place {
            Some(place) => self.state.replicas.insert(change.id, place),
            None => self.state.replicas.remove(&change.id),
        };
        output.notes.push(format!("replicas are {:?}", conf.voters));
        let applied = Applied {
            rev: self.state.rev,
            tag: self.state.tag(),
            ..Applied::default()
        };
        self.answer_proposal(mark, Answer::Applied(applied), output);
        Ok(())
    }

    /// Answers whoever proposed what is applied now, if that was here.
    fn answer_proposal(&mut self, mark: &[u8], answer: Answer, output: &mut Output) {
        let ticket = self
            .number_of(mark)
            .and_then(|number| self.proposals.remove(&number));
        output.answers.extend(ticket.map(|ticket| (ticket, answer)));
    }

    /// What a command did goes to watchers, and to the leader's own knowledge.
    fn follow(
        &mut self,
        now: Micros,
        applied: &Result<Applied, Refused>,
        advances: bool,
        output: &mut Output,
    ) {
        let Ok(applied) = applied else { return };
        if !applied.changed.is_empty() {
            output.changes.push((applied.rev, applied.changed.clone()));
        }
        if let Some(leading) = &mut self.leading {
            leading.follow(now, applied, advances, &self.state);
        }
        if let Some(tag) = applied
            .tag
            .filter(|_| applied.changed.is_empty() && !applied.ledger)
        {
            let step = if tag.complete {
                "in force"
            } else {
                "as the meet of it and the one before"
            };
            output
                .notes
                .push(format!("rules: version {} {step}", tag.version));
        }
    }
}
