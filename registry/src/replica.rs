//! One replica round the raft engine, without sockets or clock: questions and messages in, answers and messages out, the log
//! in its store. It leads or follows as the engine says; leases are the leader's alone.

mod keeping;
mod leading;
mod report;

use crate::mirror::{Entry as Logged, Hard, Kind, Voters};
use crate::state::{Applied, Changed, Command, Place, Refused, State};
use crate::store::{Store, StoreError};
use keeping::Keeping;
pub use keeping::{PartsAnswer, PartsQuestion};
use leading::Leading;
pub use leading::Question;
use milletturn_agreement::{Grant, Micros};
use milletturn_ledger::Entry;
use milletturn_ledger::calendar::{Clocks, SKEW_MS};
use milletturn_ledger::freeze::{FreezeEntry, Matter, Widening};
use milletturn_ledger::splits::{Flag, Query, Rows, Split};
use raft::eraftpb::{ConfChange, ConfChangeType, Message};
use raft::{Config, RawNode, ReadState, StateRole};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

/// Between two ticks, and ticks without a leader after which a replica stands for election: so many to twice as many.
pub const TICK: Micros = 100_000;
const ELECTION_TICKS: usize = 10;
const HEARTBEAT_TICKS: usize = 2;
/// Ticks after which a question for a majority's word is asked again, and after which it is given up.
const ASK_AGAIN: u64 = 3;
const GIVE_UP: u64 = 15;
/// Bytes of entries in one message, messages under way to one replica, bytes that may wait to be committed.
const MESSAGE_MOST: u64 = 1 << 20;
const UNDER_WAY: usize = 64;
const UNCOMMITTED_MOST: u64 = 16 << 20;

/// What is left free after a dual read, for each row of it, and flags of them in one entry.
const COMPARE_ROW: Micros = 5;
const FLAGS_TOLD: usize = 32;

/// Who asked; the answer bears the same.
pub type Ticket = u64;

/// What comes of a question.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// It is in the log of a majority, and done.
    Applied(Applied),
    /// It is in the log, or would be, and did nothing.
    Refused(Refused),
    /// Another leads, or nobody that is known.
    NotLeader(Option<u64>),
    /// It may be done yet or not: this replica leads no more.
    Unsure,
    /// A lease.
    Granted(Box<Grant>),
    /// Parts of limits.
    Parts(Box<PartsAnswer>),
    /// The asker's floor is not the one agreed.
    OtherFloor,
    /// Too many, or something of the kind is under way.
    Busy(&'static str),
    /// What is applied now is at least what was answered to anybody before the question came.
    Fresh,
}

/// A replica that comes or goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaChange {
    /// Which.
    pub id: u64,
    /// Where it is; none: it goes.
    pub place: Option<Place>,
    /// It votes from now on; else it only gets the log.
    pub votes: bool,
}

/// What follows from a turn.
#[derive(Debug, Default)]
pub struct Output {
    /// For other replicas.
    pub messages: Vec<Message>,
    /// For those that asked.
    pub answers: Vec<(Ticket, Answer)>,
    /// Versions of the list, with what has changed.
    pub changes: Vec<(u64, Vec<Changed>)>,
    /// The list is another as a whole: a leader's snapshot came.
    pub reset: bool,
    /// For the log.
    pub notes: Vec<String>,
}

/// Why a replica can't go on.
#[derive(Debug, Error)]
pub enum ReplicaError {
    /// The log can't be kept.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The engine found a state that can't be.
    #[error("the engine: {0}")]
    Raft(#[from] raft::Error),
    /// What was committed can't be read: a program of another version wrote it.
    #[error("entry {index} can't be read: {error}")]
    Entry {
        /// Which.
        index: u64,
        /// Why.
        error: postcard::Error,
    },
}

/// Questions that wait for a majority's word together.
#[derive(Debug, Default)]
struct Batch {
    number: u64,
    reads: Vec<Ticket>,
    asks: Vec<(Ticket, Question)>,
    parts: Vec<(Ticket, PartsQuestion)>,
    /// Ticks since it was first asked.
    age: u64,
    /// The log must be applied up to here; none: no word yet.
    index: Option<u64>,
}

impl Batch {
    fn is_empty(&self) -> bool {
        self.reads.is_empty() && self.asks.is_empty() && self.parts.is_empty()
    }
}

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
    /// Flags of dual reads, queries that were compared and that were not, and when the next may be.
    dual: (Vec<Flag>, [u64; 2]),
    compares_from: Micros,
    /// This machine's clock as told last, Unix time in ms; 0: not told.
    wall_ms: u64,
    /// The log's clock, and when it showed that here.
    clock: Option<(u64, Micros)>,
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
        id: u64, store: Store, life: u64, begin: impl IntoIterator<Item = Command>,
    ) -> Result<Self, ReplicaError> {
        let snapshot = store.snapshot();
        let applied = snapshot.index;
        let state =
            State::read(&snapshot.data).map_err(|error| ReplicaError::Entry { index: applied, error })?;
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
        let (proposals, collecting, asked) = Default::default();
        let (next, leading, leader, reshaped) = (0, None, 0, false);
        let (keeping, begin) = (Keeping::default(), begin.into_iter().collect());
        Ok(Replica {
            id,
            raw,
            state,
            applied,
            life,
            next,
            proposals,
            collecting,
            asked,
            leading,
            keeping,
            begin,
            dual: Default::default(),
            compares_from: 0,
            wall_ms: 0,
            clock: None,
            leader,
            reshaped,
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

    /// What this machine's clock shows, Unix time in ms. It may jump.
    pub fn tell_time(&mut self, now: Micros, wall_ms: u64) {
        self.wall_ms = wall_ms;
        if self.clock.is_none() && self.leads() && wall_ms > 0 {
            // nothing was heard in this life: the log's clock may be as old as the last process
            self.clock = Some((wall_ms.max(self.state.freeze.clock_ms()), now));
        }
    }

    /// What the two clocks show that a calendar goes by; none while no clock was told.
    pub fn clocks(&self, now: Micros) -> Option<Clocks> {
        let carried = self.carried_ms(now);
        (self.wall_ms > 0).then(|| Clocks { wall_ms: self.wall_ms, log_ms: carried.unwrap_or(self.wall_ms) })
    }

    /// The log's clock, carried on by the time that has passed since it showed.
    fn carried_ms(&self, now: Micros) -> Option<u64> {
        self.clock.map(|(ms, at)| ms + now.saturating_sub(at) / 1000)
    }

    /// The log's clock was written. One that is read again after a start is as old as that.
    fn hear_clock(&mut self, now: Micros, ms: u64) {
        let carried = self.carried_ms(now);
        if carried.is_some() || self.wall_ms.abs_diff(ms) <= SKEW_MS {
            self.clock = Some((carried.unwrap_or(ms).max(ms), now));
        }
    }

    /// One of [`TICK`] has passed.
    pub fn tick(&mut self, now: Micros, output: &mut Output) {
        self.raw.tick();
        if self.leads() {
            self.look_for_steps(now, output);
            self.tell_reads();
        }
        self.keeping.follow(now, self.id, self.state.ledger.as_ref());
        let (mut given_up, mut again) = (Vec::new(), Vec::new());
        for batch in &mut self.asked {
            batch.age += 1;
            if batch.age >= GIVE_UP {
                given_up.append(&mut batch.reads);
                given_up.extend(batch.asks.drain(..).map(|(ticket, _)| ticket));
                given_up.extend(batch.parts.drain(..).map(|(ticket, _)| ticket));
            } else if batch.index.is_none() && batch.age.is_multiple_of(ASK_AGAIN) {
                again.push(batch.number);
            }
        }
        self.asked.retain(|batch| !batch.is_empty());
        // the engine drops such questions while it knows no leader or has not committed in its term
        again.into_iter().for_each(|number| self.ask_majority(number));
        let leader = self.leader().filter(|leader| *leader != self.id);
        output.answers.extend(given_up.into_iter().map(|ticket| (ticket, Answer::NotLeader(leader))));
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
        let status = if sent { raft::SnapshotStatus::Finish } else { raft::SnapshotStatus::Failure };
        self.raw.report_snapshot(id, status);
    }

    /// Proposes a command; the answer comes once a majority has it.
    pub fn propose(&mut self, now: Micros, ticket: Ticket, command: Command, output: &mut Output) {
        if !self.leads() {
            return output.answers.push((ticket, Answer::NotLeader(self.leader())));
        }
        if let Some(answer) =
            self.leading.as_ref().and_then(|leading| leading.judge(now, &command, &self.state))
        {
            return output.answers.push((ticket, answer));
        }
        match self.append(&command) {
            Some(number) => drop(self.proposals.insert(number, ticket)),
            None => output.answers.push((ticket, Answer::Busy("too much waits to be committed"))),
        }
    }

    /// Appends a command, as leader; its number.
    fn append(&mut self, command: &Command) -> Option<u64> {
        self.next += 1;
        let number = self.next;
        let data = postcard::to_allocvec(command).ok()?;
        self.raw.propose(self.mark(number), data).ok().map(|()| number)
    }

    fn mark(&self, number: u64) -> Vec<u8> {
        [self.life.to_le_bytes(), number.to_le_bytes()].concat()
    }

    fn number_of(&self, mark: &[u8]) -> Option<u64> {
        let (life, number) = mark.split_at_checked(8)?;
        let read = |bytes: &[u8]| bytes.try_into().ok().map(u64::from_le_bytes);
        (read(life)? == self.life).then(|| read(number))?
    }

    /// A life of a sender asks for a lease.
    pub fn ask(&mut self, ticket: Ticket, question: Question, output: &mut Output) {
        if self.leads() {
            self.collecting.asks.push((ticket, question));
        } else {
            output.answers.push((ticket, Answer::NotLeader(self.leader())));
        }
    }

    /// A life of a sender asks for parts of limits, of which this replica deals those that it keeps.
    pub fn ask_parts(&mut self, ticket: Ticket, question: PartsQuestion) {
        self.collecting.parts.push((ticket, question));
    }

    /// Answers a query over the ledger's ranges. While one is split, its two sides are compared too, for no more than a share
    /// of the time: what does not fit counts as not compared.
    pub fn query(&mut self, now: Micros, query: &Query) -> Option<Rows> {
        let book = self.state.ledger.as_ref()?;
        if !book.split().is_some_and(Split::reads_both) {
            return Some(book.plain(query));
        }
        let size = book.limits().count() as u64;
        if now < self.compares_from {
            self.dual.1[1] += 1;
            return Some(book.plain(query));
        }
        let (rows, flag) = book.read(query);
        self.dual.1[0] += 1;
        self.dual.0.extend(flag);
        // a row read and compared takes some hundred nanoseconds: a tenth of the time goes there at most
        self.compares_from = now + size * COMPARE_ROW;
        Some(rows)
    }

    /// What dual reads here have found, for the log, which this one leads.
    fn tell_reads(&mut self) {
        let (flags, queries) = &mut self.dual;
        if queries.iter().sum::<u64>() == 0 {
            return;
        }
        let (mut flags, queries) = (std::mem::take(flags), std::mem::take(queries));
        flags.truncate(FLAGS_TOLD);
        self.append(&Command::Ledger(Entry::Read { queries, flags }));
    }

    /// Asks for a majority's word that what is applied here is not behind what was answered before.
    pub fn read(&mut self, ticket: Ticket) {
        self.collecting.reads.push(ticket);
    }

    /// A heartbeat of an endpoint came in. It changes no version.
    pub fn beat(&mut self, now: Micros, uid: &str) -> Answer {
        let Some(leading) = &mut self.leading else { return Answer::NotLeader(self.leader()) };
        let Some(target) = self.state.targets.get(uid) else {
            return Answer::Refused(Refused::Unknown(uid.to_string()));
        };
        leading.beats.beat(now, uid, target);
        Answer::Fresh
    }

    /// Has a replica come or go, one at a time. One that comes gets the log first and votes once it has it.
    pub fn reconfigure(&mut self, ticket: Ticket, change: ReplicaChange, output: &mut Output) {
        let answer = if !self.leads() {
            Answer::NotLeader(self.leader())
        } else if let Err(held) = self.judge_replica(change) {
            Answer::Refused(Refused::Freeze(held))
        } else if self.raw.raft.has_pending_conf() {
            Answer::Busy("another change of replicas is under way")
        } else if change.id == 0 {
            Answer::Busy("a replica's id is above zero")
        } else if change.place.is_none() && change.id == self.id {
            Answer::Busy("it leads: ask again once another does")
        } else {
            match self.append_change(change) {
                Some(number) => {
                    self.proposals.insert(number, ticket);
                    return;
                }
                None => Answer::Busy("too much waits to be committed"),
            }
        };
        output.answers.push((ticket, answer));
    }

    fn judge_replica(&self, change: ReplicaChange) -> Result<(), milletturn_ledger::freeze::FreezeError> {
        let joins = change.place.is_some() && !self.state.replicas.contains_key(&change.id);
        let matters = joins.then(|| Matter::of_all(Widening::Replica));
        self.state.freeze.judge(matters.as_slice(), false)
    }

    fn append_change(&mut self, change: ReplicaChange) -> Option<u64> {
        self.next += 1;
        let number = self.next;
        let context = postcard::to_allocvec(&(self.mark(number), change)).ok()?;
        self.raw.propose_conf_change(context, change.engine()).ok().map(|()| number)
    }

    /// Hands the lead to the replica that has most of the log; false if there is none or this one does not lead.
    pub fn transfer(&mut self) -> bool {
        let id = self.id;
        let others = self.raw.raft.prs().iter().filter(|(other, progress)| {
            **other != id && progress.recent_active && self.raw.raft.prs().conf().voters().contains(**other)
        });
        let next = others.max_by_key(|(_, progress)| progress.matched).map(|(other, _)| *other);
        let transfers = next.filter(|_| self.leads());
        transfers.into_iter().for_each(|next| self.raw.transfer_leader(next));
        transfers.is_some()
    }

    /// Carries out all that follows: writes, sends, applies, answers.
    ///
    /// # Errors
    /// The log can't be kept or read: the process must end.
    pub fn settle(&mut self, now: Micros, output: &mut Output) -> Result<(), ReplicaError> {
        if !self.collecting.is_empty() {
            self.next += 1;
            self.collecting.number = self.next;
            self.asked.push(std::mem::take(&mut self.collecting));
            self.ask_majority(self.next);
        }
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
            self.raw.mut_store().append(entries, hard, ready.must_sync())?;
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

    /// Puts the state in place of the log.
    ///
    /// # Errors
    /// It can't be written.
    pub fn compact(&mut self) -> Result<(), ReplicaError> {
        let data = postcard::to_allocvec(&self.state)
            .map_err(|error| ReplicaError::Entry { index: self.applied, error })?;
        Ok(self.raw.mut_store().compact(self.applied, data)?)
    }

    fn install(
        &mut self, snapshot: crate::mirror::Snapshot, hard: Option<Hard>, output: &mut Output,
    ) -> Result<(), ReplicaError> {
        let index = snapshot.index;
        self.state = State::read(&snapshot.data).map_err(|error| ReplicaError::Entry { index, error })?;
        self.applied = index;
        self.raw.mut_store().install(snapshot, hard)?;
        output.reset = true;
        output.notes.push(format!("the state came as a snapshot at {index}"));
        Ok(())
    }

    fn apply(
        &mut self, now: Micros, entries: Vec<raft::eraftpb::Entry>, output: &mut Output,
    ) -> Result<(), ReplicaError> {
        for entry in entries {
            let entry = Logged::from(&entry);
            let index = entry.index;
            self.applied = index;
            let unread = |error| ReplicaError::Entry { index, error };
            match entry.kind {
                Kind::Normal if entry.data.is_empty() => {}
                Kind::Normal => {
                    let command: Command = postcard::from_bytes(&entry.data).map_err(unread)?;
                    let number = self.number_of(&entry.context);
                    let advances = matches!(command, Command::Advance(_));
                    if let Command::Freeze(FreezeEntry::Clock(ms)) = &command {
                        self.hear_clock(now, *ms);
                    }
                    let applied = self.state.apply(command);
                    self.follow(now, &applied, advances, output);
                    let ticket = number.and_then(|number| self.proposals.remove(&number));
                    let answer = applied.map_or_else(Answer::Refused, Answer::Applied);
                    output.answers.extend(ticket.map(|ticket| (ticket, answer)));
                }
                Kind::Replicas => {
                    let (mark, change): (Vec<u8>, ReplicaChange) =
                        postcard::from_bytes(&entry.context).map_err(unread)?;
                    let conf = self.raw.apply_conf_change(&change.engine())?;
                    self.raw.mut_store().set_voters(Voters::from(&conf));
                    self.reshaped = true;
                    match change.place {
                        Some(place) => self.state.replicas.insert(change.id, place),
                        None => self.state.replicas.remove(&change.id),
                    };
                    output.notes.push(format!("replicas are {:?}", conf.voters));
                    let ticket = self.number_of(&mark).and_then(|number| self.proposals.remove(&number));
                    let applied =
                        Applied { rev: self.state.rev, tag: self.state.tag(), ..Applied::default() };
                    output.answers.extend(ticket.map(|ticket| (ticket, Answer::Applied(applied))));
                }
            }
        }
        Ok(())
    }

    /// What a command did goes to watchers, and to the leader's own knowledge.
    fn follow(
        &mut self, now: Micros, applied: &Result<Applied, Refused>, advances: bool, output: &mut Output,
    ) {
        let Ok(applied) = applied else { return };
        if !applied.changed.is_empty() {
            output.changes.push((applied.rev, applied.changed.clone()));
        }
        if let Some(leading) = &mut self.leading {
            leading.follow(now, applied, advances, &self.state);
        }
        if let Some(tag) = applied.tag.filter(|_| applied.changed.is_empty() && !applied.ledger) {
            let step = if tag.whole { "in force" } else { "as the meet of it and the one before" };
            output.notes.push(format!("rules: version {} {step}", tag.version));
        }
    }

    fn ask_majority(&mut self, number: u64) {
        let mark = self.mark(number);
        self.raw.read_index(mark);
    }

    fn confirm(&mut self, states: Vec<ReadState>) {
        for ReadState { index, request_ctx } in states {
            let number = self.number_of(&request_ctx);
            let batch = self.asked.iter_mut().find(|batch| Some(batch.number) == number);
            if let Some(batch) = batch {
                batch.index = batch.index.or(Some(index));
            }
        }
    }

    fn answer_confirmed(&mut self, now: Micros, output: &mut Output) {
        let applied = self.applied;
        let ready = |batch: &mut Batch| batch.index.is_some_and(|index| index <= applied);
        for batch in self.asked.extract_if(.., ready) {
            output.answers.extend(batch.reads.into_iter().map(|ticket| (ticket, Answer::Fresh)));
            if !batch.parts.is_empty() {
                // whoever keeps a range now did so when the question came, or is asked with a later word
                self.keeping.follow(now, self.id, self.state.ledger.as_ref());
            }
            for (ticket, question) in batch.parts {
                let answer = self.keeping.deal(now, question, self.id, self.state.ledger.as_ref());
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

    /// Begins or ends to lead. What was proposed and is not committed yet may be, by the next leader.
    fn notice_role(&mut self, now: Micros, output: &mut Output) {
        let leader = self.raw.raft.leader_id;
        if leader != self.leader {
            self.leader = leader;
            let term = self.raw.raft.term;
            output.notes.push(match leader {
                raft::INVALID_ID => format!("no leader is known, term {term}"),
                leader => format!("replica {leader} leads in term {term}"),
            });
        }
        let term = self.raw.raft.term;
        let led = self.leading.as_ref().map(|leading| leading.term);
        if led.is_some() && (!self.leads() || led != Some(term)) {
            self.leading = None;
            let unsure = std::mem::take(&mut self.proposals).into_values();
            output.answers.extend(unsure.map(|ticket| (ticket, Answer::Unsure)));
            let next = self.leader().filter(|leader| *leader != self.id);
            for batch in &mut self.asked {
                let asks = batch.asks.drain(..).map(|(ticket, _)| (ticket, Answer::NotLeader(next)));
                output.answers.extend(asks);
            }
            self.asked.retain(|batch| !batch.is_empty());
        }
        if self.leads() && self.leading.is_none() {
            self.leading = Some(Leading::new(term, self.state.terms, now));
        }
    }

    /// What the leader does by itself: begins the rules, goes on to a next step, drops what has run out, lets a replica
    /// vote that has the log.
    fn look_for_steps(&mut self, now: Micros, output: &mut Output) {
        let voters = self.raw.store().voters().voters.clone();
        let prs = self.raw.raft.prs();
        let active = |id: &u64| *id == self.id || prs.get(*id).is_some_and(|progress| progress.recent_active);
        let active: Vec<u64> = voters.iter().copied().filter(active).collect();
        let clocks = self.clocks(now);
        let Some(leading) = &mut self.leading else { return };
        leading.hear_of(now, &voters, &active);
        if let Some(clocks) = clocks {
            for entry in leading.freeze_steps(now, &self.state.freeze, clocks) {
                if !matches!(entry, FreezeEntry::Clock(_)) {
                    output.notes.push(format!("freeze: {entry:?}"));
                }
                // one that can't be appended now is due again
                self.append(&Command::Freeze(entry));
            }
        }
        let Some(leading) = &mut self.leading else { return };
        let (steps, kept) = leading.steps(now, &self.state, &self.begin);
        if kept > 0 {
            let why = "heartbeats of many are missing at once: the fault is likelier here";
            output.notes.push(format!("{kept} endpoints are kept though they have run out: {why}"));
        }
        for command in steps {
            // one that can't be appended now comes up again
            if self.append(&command).is_none()
                && let Some(leading) = &mut self.leading
            {
                leading.not_appended(&command);
            }
        }
        if !self.raw.raft.has_pending_conf()
            && let Some(change) = self.next_voter()
        {
            self.append_change(change);
        }
    }

    fn next_voter(&self) -> Option<ReplicaChange> {
        let prs = self.raw.raft.prs();
        let committed = self.raw.raft.raft_log.committed;
        let ready = |id: &&u64| prs.get(**id).is_some_and(|progress| progress.matched >= committed);
        let id = *self.raw.store().voters().learners.iter().find(ready)?;
        Some(ReplicaChange { id, place: self.state.replicas.get(&id).copied(), votes: true })
    }
}

/// The engine's lines go where this program's do.
struct EngineLog;

impl slog::Drain for EngineLog {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &slog::Record<'_>, _: &slog::OwnedKVList) -> Result<(), slog::Never> {
        match record.level() {
            slog::Level::Critical | slog::Level::Error => tracing::error!(target: "raft", "{}", record.msg()),
            slog::Level::Warning => tracing::warn!(target: "raft", "{}", record.msg()),
            _ => tracing::debug!(target: "raft", "{}", record.msg()),
        }
        Ok(())
    }
}

impl ReplicaChange {
    fn engine(self) -> ConfChange {
        let mut change = ConfChange { node_id: self.id, ..Default::default() };
        change.set_change_type(match (self.place, self.votes) {
            (None, _) => ConfChangeType::RemoveNode,
            (Some(_), true) => ConfChangeType::AddNode,
            (Some(_), false) => ConfChangeType::AddLearnerNode,
        });
        change
    }
}
