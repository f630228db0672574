//! One replica around the raft engine, without sockets or clock: requests and messages go in, answers and messages come out,
//! and the log is kept in the store. The engine says whether it leads or follows; only the leader grants leases.

mod allocating;
mod applying;
mod clock;
mod confirmations;
mod dual_reads;
mod interface;
mod leadership;
mod membership;
mod proposals;
mod raft_log_lines;
mod report;
mod role;

pub use allocating::{QuotaRequest, QuotaResponse};
pub use interface::{
    Answer, BusyReason, ListVersion, Output, ReplicaChange, ReplicaError, ReplicaEvent, RequestId,
};
pub use leadership::SenderLeaseRequest;

use crate::state::{Command, CommandError, State};
use crate::store::Store;
use crate::wire_types::{HardState, LogEntry};
use allocating::RangeAllocations;
use clock::LogClock;
use confirmations::Batch;
use dual_reads::DualReads;
use leadership::Leadership;
use raft::eraftpb::Message;
use raft::{Config, RawNode, SnapshotStatus, StateRole};
use raft_log_lines::RaftLogLines;
use std::collections::BTreeMap;
use versioned_config::Micros;

/// The time between two ticks.
pub const TICK: Micros = 100_000;
/// Ticks without a leader after which a replica stands for election: so many to twice as many.
const ELECTION_TICKS: usize = 10;
/// Ticks between two heartbeats of the leader.
const HEARTBEAT_TICKS: usize = 2;
/// Bytes of entries in one message.
const MAX_MESSAGE_BYTES: u64 = 1 << 20;
/// Messages in flight to one replica.
const MAX_IN_FLIGHT: usize = 64;
/// Bytes of entries that may wait to be committed.
const MAX_UNCOMMITTED_BYTES: u64 = 16 << 20;

/// One replica.
pub struct Replica {
    id: u64,
    raw: RawNode<Store>,
    state: State,
    /// The index of the last applied entry.
    applied: u64,
    /// Tells this process's proposals and reads from another's.
    incarnation: u64,
    /// The number of the last proposal or batch.
    last_number: u64,
    /// Proposals under way, by number.
    proposals: BTreeMap<u64, RequestId>,
    /// Requests since the last turn that a majority has to confirm.
    collecting: Batch,
    /// Batches that are not confirmed, or whose index is not applied.
    unconfirmed: Vec<Batch>,
    /// Some while this replica leads.
    leadership: Option<Leadership>,
    allocations: RangeAllocations,
    /// The commands with which a log begins that lacks their subject: rules, a ledger.
    initial_commands: Vec<Command>,
    dual_reads: DualReads,
    /// This machine's clock as set last, Unix time in ms; 0: not set.
    wall_ms: u64,
    log_clock: Option<LogClock>,
    /// The leader of the last event.
    noted_leader: Option<u64>,
    /// The voters are others than in the snapshot: a replica that joins would not take that.
    membership_changed: bool,
}

impl Replica {
    /// A replica with what its store holds. `incarnation` differs between any two processes; `initial_commands` are proposed
    /// where the log lacks their subject.
    ///
    /// # Errors
    /// The store holds what can't be decoded.
    pub fn new(
        id: u64,
        store: Store,
        incarnation: u64,
        initial_commands: impl IntoIterator<Item = Command>,
    ) -> Result<Self, ReplicaError> {
        let snapshot = store.snapshot();
        let applied = snapshot.index;
        let state = State::read(&snapshot.data).map_err(|error| ReplicaError::Entry {
            index: applied,
            error,
        })?;
        let logger = slog::Logger::root(RaftLogLines, slog::o!());
        let raw = RawNode::new(&raft_config(id, applied), store, &logger)?;
        Ok(Replica {
            id,
            raw,
            state,
            applied,
            incarnation,
            last_number: 0,
            proposals: BTreeMap::new(),
            collecting: Batch::default(),
            unconfirmed: Vec::new(),
            leadership: None,
            allocations: RangeAllocations::default(),
            initial_commands: initial_commands.into_iter().collect(),
            dual_reads: DualReads::default(),
            wall_ms: 0,
            log_clock: None,
            noted_leader: None,
            membership_changed: false,
        })
    }

    /// The applied state.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The leader, as far as this replica knows. A follower has heard from it within twice the election time; a leader has
    /// heard from a majority within that time.
    pub fn leader(&self) -> Option<u64> {
        Some(self.raw.raft.leader_id).filter(|id| *id != raft::INVALID_ID)
    }

    /// Whether this replica leads.
    pub fn is_leader(&self) -> bool {
        self.raw.raft.state == StateRole::Leader
    }

    /// One [`TICK`] has passed.
    pub fn tick(&mut self, now: Micros, output: &mut Output) {
        self.raw.tick();
        if self.is_leader() {
            self.take_leader_steps(now, output);
            self.log_dual_reads();
        }
        self.allocations
            .follow(now, self.id, self.state.ledger.as_ref());
        self.age_batches(output);
    }

    /// Receives a message of another replica.
    pub fn receive(&mut self, message: Message) {
        // one that the engine rejects is as good as lost
        let _ = self.raw.step(message);
    }

    /// A message to this replica could not be sent.
    pub fn report_unreachable(&mut self, id: u64) {
        self.raw.report_unreachable(id);
    }

    /// A snapshot to this replica was sent, or could not be.
    pub fn report_snapshot(&mut self, id: u64, sent: bool) {
        let status = if sent {
            SnapshotStatus::Finish
        } else {
            SnapshotStatus::Failure
        };
        self.raw.report_snapshot(id, status);
    }

    /// A heartbeat of an endpoint. It changes no version.
    pub fn heartbeat(&mut self, now: Micros, uid: &str) -> Answer {
        let Some(leadership) = &mut self.leadership else {
            return Answer::NotLeader(self.leader());
        };
        let Some(endpoint) = self.state.endpoints.get(uid) else {
            return Answer::Rejected(CommandError::UnknownEndpoint(uid.to_string()));
        };
        leadership.heartbeats.record(now, uid, endpoint);
        Answer::UpToDate
    }

    /// Carries out all that follows from what was received: writes, messages, applied entries, answers.
    ///
    /// # Errors
    /// The log can't be kept or decoded: the process must end.
    pub fn process_ready(&mut self, now: Micros, output: &mut Output) -> Result<(), ReplicaError> {
        self.send_collected();
        while self.raw.has_ready() {
            self.process_one_ready(now, output)?;
        }
        self.update_role(now, output);
        self.answer_confirmed(now, output);
        if self.raw.store().is_long() || std::mem::take(&mut self.membership_changed) {
            self.compact()?;
        }
        Ok(())
    }

    /// What the engine has ready goes to the disk before anything is said that rests on it.
    fn process_one_ready(&mut self, now: Micros, output: &mut Output) -> Result<(), ReplicaError> {
        let mut ready = self.raw.ready();
        self.update_role(now, output);
        output.messages.extend(ready.take_messages());
        let hard_state = ready.hs().map(HardState::from);
        if !ready.snapshot().is_empty() {
            self.install(ready.snapshot().into(), hard_state, output)?;
        }
        let entries = ready.entries().iter().map(LogEntry::from).collect();
        self.raw
            .mut_store()
            .append(entries, hard_state, ready.must_sync())?;
        self.apply(now, ready.take_committed_entries(), output)?;
        output.messages.extend(ready.take_persisted_messages());
        let confirmed = ready.take_read_states();
        let mut light = self.raw.advance(ready);
        output.messages.extend(light.take_messages());
        self.apply(now, light.take_committed_entries(), output)?;
        self.raw.advance_apply();
        self.confirm(confirmed);
        Ok(())
    }
}

fn raft_config(id: u64, applied: u64) -> Config {
    Config {
        id,
        election_tick: ELECTION_TICKS,
        heartbeat_tick: HEARTBEAT_TICKS,
        applied,
        max_size_per_msg: MAX_MESSAGE_BYTES,
        max_inflight_msgs: MAX_IN_FLIGHT,
        max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
        check_quorum: true,
        pre_vote: true,
        ..Config::default()
    }
}
