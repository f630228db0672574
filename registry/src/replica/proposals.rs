//! Proposals: commands that the leader appends to the log, and the marks by which it knows its own again.

use super::Replica;
use super::messages::{Answer, Output, Ticket};
use crate::state::Command;
use versioned_config::Micros;

impl Replica {
    /// Proposes a command; the answer comes once a majority has it.
    pub fn propose(&mut self, now: Micros, ticket: Ticket, command: Command, output: &mut Output) {
        if !self.leads() {
            return output
                .answers
                .push((ticket, Answer::NotLeader(self.leader())));
        }
        if let Some(answer) = self
            .leading
            .as_ref()
            .and_then(|leading| leading.judge(now, &command, &self.state))
        {
            return output.answers.push((ticket, answer));
        }
        match self.append(&command) {
            Some(number) => drop(self.proposals.insert(number, ticket)),
            None => output
                .answers
                .push((ticket, Answer::Busy("too much waits to be committed"))),
        }
    }

    /// Appends a command, as leader; its number.
    pub(super) fn append(&mut self, command: &Command) -> Option<u64> {
        self.next += 1;
        let number = self.next;
        let data = postcard::to_allocvec(command).ok()?;
        self.raw
            .propose(self.mark(number), data)
            .ok()
            .map(|()| number)
    }

    /// Marks what this process proposes or asks.
    pub(super) fn mark(&self, number: u64) -> Vec<u8> {
        [self.life.to_le_bytes(), number.to_le_bytes()].concat()
    }

    /// The number in a mark; none: it is another process's.
    pub(super) fn number_of(&self, mark: &[u8]) -> Option<u64> {
        let (life, number) = mark.split_at_checked(8)?;
        let read = |bytes: &[u8]| bytes.try_into().ok().map(u64::from_le_bytes);
        (read(life)? == self.life).then(|| read(number))?
    }
}
