//! Gaining and losing leadership, and the steps that the leader takes by itself.

use super::Replica;
use super::interface::{Answer, Output, ReplicaEvent};
use super::leadership::Leadership;
use crate::state::Command;
use quota_ledger::freeze::FreezeEntry;
use versioned_config::Micros;

impl Replica {
    /// Notices that this replica has become leader, or is one no more. What was proposed and is not committed yet may be, by
    /// the next leader.
    pub(super) fn update_role(&mut self, now: Micros, output: &mut Output) {
        self.note_leader(output);
        let term = self.raw.raft.term;
        let led_term = self.leadership.as_ref().map(|leadership| leadership.term);
        if led_term.is_some() && (!self.is_leader() || led_term != Some(term)) {
            self.end_leadership(output);
        }
        if self.is_leader() && self.leadership.is_none() {
            self.leadership = Some(Leadership::new(term, self.state.terms, now));
        }
    }

    fn note_leader(&mut self, output: &mut Output) {
        let leader = self.leader();
        if leader != self.noted_leader {
            self.noted_leader = leader;
            let term = self.raw.raft.term;
            output
                .events
                .push(ReplicaEvent::LeaderChanged { leader, term });
        }
    }

    fn end_leadership(&mut self, output: &mut Output) {
        self.leadership = None;
        let proposed = std::mem::take(&mut self.proposals).into_values();
        output
            .answers
            .extend(proposed.map(|id| (id, Answer::OutcomeUnknown)));
        let leader = self.leader().filter(|leader| *leader != self.id);
        for batch in &mut self.unconfirmed {
            output.answers.extend(
                batch
                    .take_lease_ids()
                    .map(|id| (id, Answer::NotLeader(leader))),
            );
        }
        self.unconfirmed.retain(|batch| !batch.is_empty());
    }

    /// The steps that the leader takes by itself: it begins the rules and the ledger, advances changes, removes expired
    /// endpoints, and makes a voter of a learner that has the log.
    pub(super) fn take_leader_steps(&mut self, now: Micros, output: &mut Output) {
        if self.leadership.is_none() {
            return; // it has just become leader
        }
        self.note_active_voters(now);
        self.take_freeze_steps(now, output);
        self.take_steps(now, output);
        if !self.raw.raft.has_pending_conf()
            && let Some(change) = self.next_voter()
        {
            self.append_change(change);
        }
    }

    fn note_active_voters(&mut self, now: Micros) {
        let voters = &self.raw.store().membership().voters;
        let progress = self.raw.raft.prs();
        let is_active = |id: &u64| {
            *id == self.id
                || progress
                    .get(*id)
                    .is_some_and(|progress| progress.recent_active)
        };
        let active: Vec<u64> = voters.iter().copied().filter(is_active).collect();
        if let Some(leadership) = &mut self.leadership {
            leadership.note_voters(now, voters, &active);
        }
    }

    fn take_freeze_steps(&mut self, now: Micros, output: &mut Output) {
        let Some(clocks) = self.clocks(now) else {
            return;
        };
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        for entry in leadership.freeze_steps(now, &self.state.freeze, clocks) {
            if !matches!(entry, FreezeEntry::AdvanceClock(_)) {
                output.events.push(ReplicaEvent::FreezeStep(entry.clone()));
            }
            // a step that can't be appended now is due again
            self.append(&Command::Freeze(entry));
        }
    }

    fn take_steps(&mut self, now: Micros, output: &mut Output) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let steps = leadership.steps(now, &self.state, &self.initial_commands);
        if steps.newly_retained > 0 {
            output.events.push(ReplicaEvent::EndpointsRetained {
                count: steps.newly_retained,
            });
        }
        for command in steps.commands {
            // a step that can't be appended now comes up again
            if self.append(&command).is_none()
                && let Some(leadership) = &mut self.leadership
            {
                leadership.not_appended(&command);
            }
        }
    }
}
