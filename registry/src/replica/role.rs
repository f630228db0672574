//! Beginning and ending to lead, and what the leader does by itself.

use super::Replica;
use super::leading::Leading;
use super::messages::{Answer, Output};
use crate::state::Command;
use quota_ledger::freeze::FreezeEntry;
use versioned_config::Micros;

impl Replica {
    /// Begins or ends to lead. What was proposed and is not committed yet may be, by the next leader.
    pub(super) fn notice_role(&mut self, now: Micros, output: &mut Output) {
        self.note_leader(output);
        let term = self.raw.raft.term;
        let led = self.leading.as_ref().map(|leading| leading.term);
        if led.is_some() && (!self.leads() || led != Some(term)) {
            self.stop_leading(output);
        }
        if self.leads() && self.leading.is_none() {
            self.leading = Some(Leading::new(term, self.state.terms, now));
        }
    }

    /// Logs that another leads, or nobody.
    fn note_leader(&mut self, output: &mut Output) {
        let (leader, term) = (self.raw.raft.leader_id, self.raw.raft.term);
        if leader == self.leader {
            return;
        }
        self.leader = leader;
        output.notes.push(match leader {
            raft::INVALID_ID => format!("no leader is known, term {term}"),
            leader => format!("replica {leader} leads in term {term}"),
        });
    }

    fn stop_leading(&mut self, output: &mut Output) {
        self.leading = None;
        let unsure = std::mem::take(&mut self.proposals).into_values();
        output
            .answers
            .extend(unsure.map(|ticket| (ticket, Answer::Unsure)));
        let next = self.leader().filter(|leader| *leader != self.id);
        for batch in &mut self.asked {
            let asks = batch
                .asks
                .drain(..)
                .map(|(ticket, _)| (ticket, Answer::NotLeader(next)));
            output.answers.extend(asks);
        }
        self.asked.retain(|batch| !batch.is_empty());
    }

    /// What the leader does by itself: begins the rules, goes on to a next step, drops what has run out, lets a replica
    /// vote that has the log.
    pub(super) fn look_for_steps(&mut self, now: Micros, output: &mut Output) {
        let voters = self.raw.store().voters().voters.clone();
        let prs = self.raw.raft.prs();
        let active = |id: &u64| {
            *id == self.id || prs.get(*id).is_some_and(|progress| progress.recent_active)
        };
        let active: Vec<u64> = voters.iter().copied().filter(active).collect();
        let Some(leading) = &mut self.leading else {
            return;
        };
        leading.hear_of(now, &voters, &active);
        self.take_freeze_steps(now, output);
        self.take_steps(now, output);
        if !self.raw.raft.has_pending_conf()
            && let Some(change) = self.next_voter()
        {
            self.append_change(change);
        }
    }

    fn take_freeze_steps(&mut self, now: Micros, output: &mut Output) {
        let (Some(clocks), Some(leading)) = (self.clocks(now), &mut self.leading) else {
            return;
        };
        for entry in leading.freeze_steps(now, &self.state.freeze, clocks) {
            if !matches!(entry, FreezeEntry::AdvanceClock(_)) {
                output.notes.push(format!("freeze: {entry:?}"));
            }
            // one that can't be appended now is due again
            self.append(&Command::Freeze(entry));
        }
    }

    fn take_steps(&mut self, now: Micros, output: &mut Output) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let (steps, kept) = leading.steps(now, &self.state, &self.begin);
        if kept > 0 {
            let why = "heartbeats of many are missing at once: the fault is likelier here";
            output.notes.push(format!(
                "{kept} endpoints are kept though they have run out: {why}"
            ));
        }
        for command in steps {
            // one that can't be appended now comes up again
            if self.append(&command).is_none()
                && let Some(leading) = &mut self.leading
            {
                leading.not_appended(&command);
            }
        }
    }
}
