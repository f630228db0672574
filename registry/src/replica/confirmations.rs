//! Questions that a majority has to confirm first, asked in batches: reads, leases, parts of limits.

use super::Replica;
use super::keeping::PartsQuestion;
use super::leading::Question;
use super::messages::{Answer, Output, Ticket};
use raft::ReadState;
use versioned_config::Micros;

/// Ticks after which a question for a majority's word is asked again, and after which it is given up.
const ASK_AGAIN: u64 = 3;
const GIVE_UP: u64 = 15;

/// Questions that wait for a majority's word together.
#[derive(Debug, Default)]
pub(super) struct Batch {
    pub(super) number: u64,
    reads: Vec<Ticket>,
    pub(super) asks: Vec<(Ticket, Question)>,
    parts: Vec<(Ticket, PartsQuestion)>,
    /// Ticks since it was first asked.
    age: u64,
    /// The log must be applied up to here; none: no word yet.
    index: Option<u64>,
}

impl Batch {
    pub(super) fn is_empty(&self) -> bool {
        self.reads.is_empty() && self.asks.is_empty() && self.parts.is_empty()
    }

    /// Takes out all questions.
    fn take_tickets(&mut self) -> Vec<Ticket> {
        let mut tickets = std::mem::take(&mut self.reads);
        tickets.extend(self.asks.drain(..).map(|(ticket, _)| ticket));
        tickets.extend(self.parts.drain(..).map(|(ticket, _)| ticket));
        tickets
    }
}

impl Replica {
    /// Asks for a majority's word that what is applied here is not behind what was answered before.
    pub fn read(&mut self, ticket: Ticket) {
        self.collecting.reads.push(ticket);
    }

    /// A life of a sender asks for a lease.
    pub fn ask(&mut self, ticket: Ticket, question: Question, output: &mut Output) {
        if self.leads() {
            self.collecting.asks.push((ticket, question));
        } else {
            output
                .answers
                .push((ticket, Answer::NotLeader(self.leader())));
        }
    }

    /// A life of a sender asks for parts of limits, of which this replica deals those that it keeps.
    pub fn ask_parts(&mut self, ticket: Ticket, question: PartsQuestion) {
        self.collecting.parts.push((ticket, question));
    }

    /// Has a majority asked for what was collected since the last turn.
    pub(super) fn ask_collected(&mut self) {
        if self.collecting.is_empty() {
            return;
        }
        self.next += 1;
        self.collecting.number = self.next;
        self.asked.push(std::mem::take(&mut self.collecting));
        self.ask_majority(self.next);
    }

    /// A tick has passed: asks again for batches that have no answer yet, and gives the old ones up.
    pub(super) fn age_batches(&mut self, output: &mut Output) {
        let (mut given_up, mut again) = (Vec::new(), Vec::new());
        for batch in &mut self.asked {
            batch.age += 1;
            if batch.age >= GIVE_UP {
                given_up.append(&mut batch.take_tickets());
            } else if batch.index.is_none() && batch.age.is_multiple_of(ASK_AGAIN) {
                again.push(batch.number);
            }
        }
        self.asked.retain(|batch| !batch.is_empty());
        // the engine drops such questions while it knows no leader or has not committed in its term
        again
            .into_iter()
            .for_each(|number| self.ask_majority(number));
        let leader = self.leader().filter(|leader| *leader != self.id);
        output.answers.extend(
            given_up
                .into_iter()
                .map(|ticket| (ticket, Answer::NotLeader(leader))),
        );
    }

    fn ask_majority(&mut self, number: u64) {
        let mark = self.mark(number);
        self.raw.read_index(mark);
    }

    /// A majority has confirmed batches.
    pub(super) fn confirm(&mut self, states: Vec<ReadState>) {
        for ReadState { index, request_ctx } in states {
            let number = self.number_of(&request_ctx);
            let batch = self
                .asked
                .iter_mut()
                .find(|batch| Some(batch.number) == number);
            if let Some(batch) = batch {
                batch.index = batch.index.or(Some(index));
            }
        }
    }

    /// Answers the batches that are confirmed, up to what is applied.
    pub(super) fn answer_confirmed(&mut self, now: Micros, output: &mut Output) {
        let applied = self.applied;
        let ready = |batch: &mut Batch| batch.index.is_some_and(|index| index <= applied);
        for batch in self.asked.extract_if(.., ready) {
            output.answers.extend(
                batch
                    .reads
                    .into_iter()
                    .map(|ticket| (ticket, Answer::Fresh)),
            );
            if !batch.parts.is_empty() {
                // whoever keeps a range now did so when the question came, or is asked with a later word
                self.keeping
                    .follow(now, self.id, self.state.ledger.as_ref());
            }
            for (ticket, question) in batch.parts {
                let answer = self
                    .keeping
                    .deal(now, question, self.id, self.state.ledger.as_ref());
                output.answers.push((ticket, answer));
            }
            for (ticket, question) in batch.asks {
                let answer = match &mut self.leading {
                    Some(leading) => leading.grant(now, question, &self.state),
                    None => Answer::NotLeader(None),
                };
                output.answers.push((ticket, answer));
            }
        }
    }
}
