//! Requests that a majority has to confirm first, in batches: reads, leases, quotas.

use super::Replica;
use super::allocating::QuotaRequest;
use super::interface::{Answer, Output, RequestId};
use super::leadership::SenderLeaseRequest;
use raft::ReadState;
use versioned_config::Micros;

/// Ticks after which a batch without a confirmation is sent again.
const RETRY_TICKS: u64 = 3;
/// Ticks after which a batch is given up.
const GIVE_UP_TICKS: u64 = 15;

/// Requests that wait for the same confirmation.
#[derive(Debug, Default)]
pub(super) struct Batch {
    number: u64,
    reads: Vec<RequestId>,
    leases: Vec<(RequestId, SenderLeaseRequest)>,
    quotas: Vec<(RequestId, QuotaRequest)>,
    /// Ticks since it was first sent.
    age: u64,
    /// The index up to which the log must be applied; none: not confirmed yet.
    index: Option<u64>,
}

impl Batch {
    pub(super) fn is_empty(&self) -> bool {
        self.reads.is_empty() && self.leases.is_empty() && self.quotas.is_empty()
    }

    /// Takes out the ids of all requests.
    fn take_ids(&mut self) -> Vec<RequestId> {
        let mut ids = std::mem::take(&mut self.reads);
        ids.extend(self.take_lease_ids());
        ids.extend(self.quotas.drain(..).map(|(id, _)| id));
        ids
    }

    /// Takes out the ids of the requests for leases, which only the leader serves.
    pub(super) fn take_lease_ids(&mut self) -> impl Iterator<Item = RequestId> {
        self.leases.drain(..).map(|(id, _)| id)
    }
}

impl Replica {
    /// A linearizable read: a majority confirms that what is applied here is not behind what was answered before.
    pub fn read(&mut self, id: RequestId) {
        self.collecting.reads.push(id);
    }

    /// A sender requests a lease.
    pub fn request_lease(
        &mut self,
        id: RequestId,
        request: SenderLeaseRequest,
        output: &mut Output,
    ) {
        if self.is_leader() {
            self.collecting.leases.push((id, request));
        } else {
            output.answers.push((id, Answer::NotLeader(self.leader())));
        }
    }

    /// A sender requests quotas, of which this replica allocates those that it holds.
    pub fn request_quotas(&mut self, id: RequestId, request: QuotaRequest) {
        self.collecting.quotas.push((id, request));
    }

    /// Requests a confirmation of what was collected since the last turn.
    pub(super) fn send_collected(&mut self) {
        if self.collecting.is_empty() {
            return;
        }
        let number = self.next_number();
        self.collecting.number = number;
        self.unconfirmed.push(std::mem::take(&mut self.collecting));
        self.request_confirmation(number);
    }

    /// A tick has passed: sends batches without a confirmation again, and gives the old ones up.
    pub(super) fn age_batches(&mut self, output: &mut Output) {
        let mut given_up = Vec::new();
        let mut retries = Vec::new();
        for batch in &mut self.unconfirmed {
            batch.age += 1;
            if batch.age >= GIVE_UP_TICKS {
                given_up.append(&mut batch.take_ids());
            } else if batch.index.is_none() && batch.age.is_multiple_of(RETRY_TICKS) {
                retries.push(batch.number);
            }
        }
        self.unconfirmed.retain(|batch| !batch.is_empty());
        // the engine drops such requests while it knows no leader or has not committed in its term
        retries
            .into_iter()
            .for_each(|number| self.request_confirmation(number));
        let leader = self.leader().filter(|leader| *leader != self.id);
        output.answers.extend(
            given_up
                .into_iter()
                .map(|id| (id, Answer::NotLeader(leader))),
        );
    }

    fn request_confirmation(&mut self, number: u64) {
        let mark = self.mark(number);
        self.raw.read_index(mark);
    }

    /// A majority has confirmed batches.
    pub(super) fn confirm(&mut self, states: Vec<ReadState>) {
        for ReadState { index, request_ctx } in states {
            let number = self.number_of(&request_ctx);
            let batch = self
                .unconfirmed
                .iter_mut()
                .find(|batch| Some(batch.number) == number);
            if let Some(batch) = batch {
                batch.index = batch.index.or(Some(index));
            }
        }
    }

    /// Answers the confirmed batches whose index is applied.
    pub(super) fn answer_confirmed(&mut self, now: Micros, output: &mut Output) {
        let applied = self.applied;
        let is_ready = |batch: &mut Batch| batch.index.is_some_and(|index| index <= applied);
        let ready: Vec<Batch> = self.unconfirmed.extract_if(.., is_ready).collect();
        for batch in ready {
            self.answer_batch(now, batch, output);
        }
    }

    fn answer_batch(&mut self, now: Micros, batch: Batch, output: &mut Output) {
        output
            .answers
            .extend(batch.reads.into_iter().map(|id| (id, Answer::UpToDate)));
        let ledger = self.state.ledger.as_ref();
        if !batch.quotas.is_empty() {
            // whoever holds a range now did so when the request came, or gets the request with a later confirmation
            self.allocations.follow(now, self.id, ledger);
        }
        for (id, request) in batch.quotas {
            let answer = self.allocations.allocate(now, request, self.id, ledger);
            output.answers.push((id, answer));
        }
        for (id, request) in batch.leases {
            let answer = match &mut self.leadership {
                Some(leadership) => leadership.grant(now, request, &self.state),
                None => Answer::NotLeader(None),
            };
            output.answers.push((id, answer));
        }
    }
}
