//! One replica round the raft engine, without sockets or clock: questions and messages in, answers and messages out, the log
//! in its store. It leads or follows as the engine says; leases are the leader's alone.

mod applying;
mod clock;
mod confirmations;
mod dual_reads;
mod engine_log;
mod keeping;
mod leading;
mod membership;
mod messages;
mod proposals;
mod report;
mod role;

pub use keeping::{PartsAnswer, PartsQuestion};
pub use leading::Question;
pub use messages::{Answer, Output, ReplicaChange, ReplicaError, Ticket};

use crate::mirror::{Entry as Logged, Hard};
use crate::state::{Command, Refused, State};
use crate::store::Store;
use confirmations::Batch;
use dual_reads::DualReads;
use engine_log::EngineLog;
use keeping::Keeping;
use leading::Leading;
use raft::eraftpb::Message;
use raft::{Config, RawNode, StateRole};
use std::collections::BTreeMap;
use versioned_config::Micros;

/// Between two ticks, and ticks without a leader after which a replica stands for election: so many to twice as many.
pub const TICK: Micros = 100_000;
const ELECTION_TICKS: usize = 10;
const HEARTBEAT_TICKS: usize = 2;
/// Bytes of entries in one message, messages under way to one replica, bytes that may wait to be committed.
const MESSAGE_MOST: u64 = 1 << 20;
const UNDER_WAY: usize = 64;
const UNCOMMITTED_MOST: u64 = 16 << 20;

/// One replica.
pub struct Replica {
    id: u64,
    raw: RawNode<Store>,
    state: State,
    applied: u64,
    /// Tells this process's proposals and questions from another's.
    life: u64,
    next: u64,
    proposals: BTreeMap<u64, Ticket>,
    collecting: Batch,
    asked: Vec<Batch>,
    leading: Option<Leading>,
    keeping: Keeping,
    /// What a log begins with that lacks it: rules, a ledger.
    begin: Vec<Command>,
    dual_reads: DualReads,
    /// This machine's clock as told last, Unix time in ms; 0: not told.
    wall_ms: u64,
    /// The log's clock, and when it showed that here.
    clock: Option<(u64, Micros)>,
    /// Who led when it was looked at last.
    leader: u64,
    /// Other replicas take part than the snapshot says: one that comes would not take it.
    reshaped: bool,
}

impl Replica {
    /// A replica with what its store holds. `life` differs between any two processes; `begin` is proposed where the log
    /// has no rules yet.
    ///
    /// # Errors
    /// The store holds what can't be read.
    pub fn new(
        id: u64,
        store: Store,
        life: u64,
        begin: impl IntoIterator<Item = Command>,
    ) -> Result<Self, ReplicaError> {
        let snapshot = store.snapshot();
        let applied = snapshot.index;
        let state = State::read(&snapshot.data).map_err(|error| ReplicaError::Entry {
            index: applied,
            error,
        })?;
        let config = Config {
            id,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied,
            max_size_per_msg: MESSAGE_MOST,
            max_inflight_msgs: UNDER_WAY,
            max_uncommitted_size: UNCOMMITTED_MOST,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let logger = slog::Logger::root(EngineLog, slog::o!());
        let raw = RawNode::new(&config, store, &logger)?;
        Ok(Replica {
            id,
            raw,
            state,
            applied,
            life,
            next: 0,
            proposals: BTreeMap::new(),
            collecting: Batch::default(),
            asked: Vec::new(),
            leading: None,
            keeping: Keeping::default(),
            begin: begin.into_iter().collect(),
            dual_reads: DualReads::default(),
            wall_ms: 0,
            clock: None,
            leader: raft::INVALID_ID,
            reshaped: false,
        })
    }

    /// What is applied.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Who leads, as far as this one knows. A follower has heard of it within twice the election time; a leader has a
    /// majority's word of that age.
    pub fn leader(&self) -> Option<u64> {
        Some(self.raw.raft.leader_id).filter(|id| *id != raft::INVALID_ID)
    }

    /// Whether this one leads.
    pub fn leads(&self) -> bool {
        self.raw.raft.state == StateRole::Leader
    }

    /// One of [`TICK`] has passed.
    pub fn tick(&mut self, now: Micros, output: &mut Output) {
        self.raw.tick();
        if self.leads() {
            self.look_for_steps(now, output);
            self.log_dual_reads();
        }
        self.keeping
            .follow(now, self.id, self.state.ledger.as_ref());
        self.age_batches(output);
    }

    /// Takes a message of another replica in.
    pub fn receive(&mut self, message: Message) {
        // one that makes no sense now is as good as lost
        let _ = self.raw.step(message);
    }

    /// A message could not be sent.
    pub fn unreachable(&mut self, id: u64) {
        self.raw.report_unreachable(id);
    }

    /// A snapshot was sent, or could not be.
    pub fn snapshot_sent(&mut self, id: u64, sent: bool) {
        let status = if sent {
            raft::SnapshotStatus::Finish
        } else {
            raft::SnapshotStatus::Failure
        };
        self.raw.report_snapshot(id, status);
    }

    /// A heartbeat of an endpoint came in. It changes no version.
    pub fn beat(&mut self, now: Micros, uid: &str) -> Answer {
        let Some(leading) = &mut self.leading else {
            return Answer::NotLeader(self.leader());
        };
        let Some(target) = self.state.targets.get(uid) else {
            return Answer::Refused(Refused::Unknown(uid.to_string()));
        };
        leading.heartbeats.beat(now, uid, target);
        Answer::Fresh
    }

    /// Carries out all that follows: writes, sends, applies, answers.
    ///
    /// # Errors
    /// The log can't be kept or read: the process must end.
    pub fn settle(&mut self, now: Micros, output: &mut Output) -> Result<(), ReplicaError> {
        self.ask_collected();
        while self.raw.has_ready() {
            let mut ready = self.raw.ready();
            self.notice_role(now, output);
            output.messages.extend(ready.take_messages());
            let hard = ready.hs().map(Hard::from);
            if !ready.snapshot().is_empty() {
                let snapshot = ready.snapshot().into();
                self.install(snapshot, hard, output)?;
            }
            let entries = ready.entries().iter().map(Logged::from).collect();
            self.raw
                .mut_store()
                .append(entries, hard, ready.must_sync())?;
            self.apply(now, ready.take_committed_entries(), output)?;
            output.messages.extend(ready.take_persisted_messages());
            let states = ready.take_read_states();
            let mut light = self.raw.advance(ready);
            output.messages.extend(light.take_messages());
            self.apply(now, light.take_committed_entries(), output)?;
            self.raw.advance_apply();
            self.confirm(states);
        }
        self.notice_role(now, output);
        self.answer_confirmed(now, output);
        if self.raw.store().is_long() || std::mem::take(&mut self.reshaped) {
            self.compact()?;
        }
        Ok(())
    }
}
