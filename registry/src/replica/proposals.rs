//! Proposals: commands that the leader appends to the log, and the marks by which a process recognizes its own.

use super::Replica;
use super::interface::{Answer, BusyReason, Output, RequestId};
use crate::state::Command;
use versioned_config::Micros;

impl Replica {
    /// Proposes a command; the answer comes once a majority has it and it is applied.
    pub fn propose(&mut self, now: Micros, id: RequestId, command: Command, output: &mut Output) {
        if !self.is_leader() {
            output.answers.push((id, Answer::NotLeader(self.leader())));
            return;
        }
        let leadership = self.leadership.as_ref();
        if let Some(answer) =
            leadership.and_then(|leadership| leadership.check(now, &command, &self.state))
        {
            output.answers.push((id, answer));
            return;
        }
        match self.append(&command) {
            Some(number) => drop(self.proposals.insert(number, id)),
            None => output
                .answers
                .push((id, Answer::Busy(BusyReason::UncommittedLog))),
        }
    }

    /// Appends a command, as leader; its number.
    pub(super) fn append(&mut self, command: &Command) -> Option<u64> {
        let number = self.next_number();
        let data = postcard::to_allocvec(command).ok()?;
        self.raw
            .propose(self.mark(number), data)
            .ok()
            .map(|()| number)
    }

    /// A number for a proposal or a batch of reads.
    pub(super) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// The mark of a proposal or a batch of reads: the process's incarnation and the number.
    pub(super) fn mark(&self, number: u64) -> Vec<u8> {
        [self.incarnation.to_le_bytes(), number.to_le_bytes()].concat()
    }

    /// The number in a mark of this process; none: it is another process's.
    pub(super) fn number_of(&self, mark: &[u8]) -> Option<u64> {
        let (incarnation, number) = mark.split_at_checked(8)?;
        let decode = |bytes: &[u8]| bytes.try_into().ok().map(u64::from_le_bytes);
        if decode(incarnation)? != self.incarnation {
            return None;
        }
        decode(number)
    }
}
