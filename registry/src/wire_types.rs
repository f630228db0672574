//! The raft engine's messages and entries as own types. What comes from a socket or a file is decoded as these, strictly, and
//! never by the engine's own codec, whose parser recurses without bound (RUSTSEC-2024-0437). The order of the fields is the
//! form on the wire and on the disk.

use raft::eraftpb;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why a message can't be encoded or decoded.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum WireError {
    /// The bytes are no message, or it can't be encoded.
    #[error("unreadable: {0}")]
    Codec(#[from] postcard::Error),
    /// A kind of message that stays within a replica, or no kind.
    #[error("message kind {0} does not go between replicas")]
    MessageKind(u8),
}

/// The kind of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryKind {
    /// A command, or nothing: a new leader's first entry.
    Normal,
    /// A change of replicas, which the context holds.
    Replicas,
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The entry's kind.
    pub kind: EntryKind,
    /// The term of the leader that appended it.
    pub term: u64,
    /// The entry's index.
    pub index: u64,
    /// The command, encoded.
    pub data: Vec<u8>,
    /// The mark of the command's proposal, or the change of replicas.
    pub context: Vec<u8>,
}

/// The raft state that must outlast a replica's process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The current term.
    pub term: u64,
    /// The candidate that got this replica's vote in the term; 0: none.
    pub vote: u64,
    /// The highest index that is known to be committed.
    pub commit: u64,
}

/// The replicas that take part.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// The replicas that vote.
    pub voters: Vec<u64>,
    /// The replicas that get the log and do not vote yet.
    pub learners: Vec<u64>,
}

/// The state at an index, which replaces the entries up to it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The index of the last entry that it includes.
    pub index: u64,
    /// The term of that entry.
    pub term: u64,
    /// The replicas that took part then.
    pub membership: Membership,
    /// The state, encoded.
    pub data: Vec<u8>,
}

#[derive(Debug, Serialize, Deserialize)]
struct Message {
    kind: u8,
    to: u64,
    from: u64,
    term: u64,
    log_term: u64,
    index: u64,
    entries: Vec<LogEntry>,
    commit: u64,
    commit_term: u64,
    snapshot: Option<Snapshot>,
    request_snapshot: u64,
    reject: bool,
    reject_hint: u64,
    context: Vec<u8>,
    priority: i64,
}

/// The kinds that go between replicas. Proposals do not: they go to the leader as requests.
const KINDS: [eraftpb::MessageType; 14] = {
    use eraftpb::MessageType::*;
    [
        MsgAppend,
        MsgAppendResponse,
        MsgRequestVote,
        MsgRequestVoteResponse,
        MsgSnapshot,
        MsgHeartbeat,
        MsgHeartbeatResponse,
        MsgTransferLeader,
        MsgTimeoutNow,
        MsgReadIndex,
        MsgReadIndexResp,
        MsgRequestPreVote,
        MsgRequestPreVoteResponse,
        MsgUnreachable,
    ]
};

impl From<&eraftpb::Entry> for LogEntry {
    fn from(entry: &eraftpb::Entry) -> Self {
        let kind = match entry.entry_type {
            eraftpb::EntryType::EntryNormal => EntryKind::Normal,
            _ => EntryKind::Replicas,
        };
        let (data, context) = (entry.data.to_vec(), entry.context.to_vec());
        LogEntry {
            kind,
            term: entry.term,
            index: entry.index,
            data,
            context,
        }
    }
}

impl From<LogEntry> for eraftpb::Entry {
    fn from(entry: LogEntry) -> Self {
        let entry_type = match entry.kind {
            EntryKind::Normal => eraftpb::EntryType::EntryNormal,
            EntryKind::Replicas => eraftpb::EntryType::EntryConfChange,
        };
        let (data, context) = (entry.data.into(), entry.context.into());
        eraftpb::Entry {
            entry_type,
            term: entry.term,
            index: entry.index,
            data,
            context,
            ..Default::default()
        }
    }
}

impl From<&eraftpb::HardState> for HardState {
    fn from(hard: &eraftpb::HardState) -> Self {
        HardState {
            term: hard.term,
            vote: hard.vote,
            commit: hard.commit,
        }
    }
}

impl From<HardState> for eraftpb::HardState {
    fn from(hard: HardState) -> Self {
        let mut read = eraftpb::HardState::default();
        (read.term, read.vote, read.commit) = (hard.term, hard.vote, hard.commit);
        read
    }
}

impl From<&eraftpb::ConfState> for Membership {
    fn from(conf: &eraftpb::ConfState) -> Self {
        let sorted = |ids: &Vec<u64>| {
            let mut ids = ids.clone();
            ids.sort_unstable();
            ids
        };
        Membership {
            voters: sorted(&conf.voters),
            learners: sorted(&conf.learners),
        }
    }
}

impl From<&Membership> for eraftpb::ConfState {
    fn from(membership: &Membership) -> Self {
        eraftpb::ConfState {
            voters: membership.voters.clone(),
            learners: membership.learners.clone(),
            ..Default::default()
        }
    }
}

impl From<&eraftpb::Snapshot> for Snapshot {
    fn from(snapshot: &eraftpb::Snapshot) -> Self {
        let metadata = snapshot.get_metadata();
        Snapshot {
            index: metadata.index,
            term: metadata.term,
            membership: metadata.get_conf_state().into(),
            data: snapshot.data.to_vec(),
        }
    }
}

impl From<&Snapshot> for eraftpb::Snapshot {
    fn from(snapshot: &Snapshot) -> Self {
        let mut converted = eraftpb::Snapshot {
            data: snapshot.data.clone().into(),
            ..Default::default()
        };
        let metadata = converted.mut_metadata();
        metadata.index = snapshot.index;
        metadata.term = snapshot.term;
        metadata.set_conf_state((&snapshot.membership).into());
        converted
    }
}

/// Encodes a message.
///
/// # Errors
/// The message is of a kind that stays within a replica.
pub fn encode(message: &eraftpb::Message) -> Result<Vec<u8>, WireError> {
    let kind = KINDS.iter().position(|kind| *kind == message.msg_type);
    let kind = kind.ok_or(WireError::MessageKind(message.msg_type as u8))?;
    let snapshot = message.snapshot.as_ref().map(Snapshot::from);
    Ok(postcard::to_allocvec(&Message {
        kind: kind as u8,
        to: message.to,
        from: message.from,
        term: message.term,
        log_term: message.log_term,
        index: message.index,
        entries: message.entries.iter().map(LogEntry::from).collect(),
        commit: message.commit,
        commit_term: message.commit_term,
        snapshot,
        request_snapshot: message.request_snapshot,
        reject: message.reject,
        reject_hint: message.reject_hint,
        context: message.context.to_vec(),
        priority: message.priority,
    })?)
}

/// Decodes a message.
///
/// # Errors
/// The bytes are no message that a replica sends.
pub fn decode(bytes: &[u8]) -> Result<eraftpb::Message, WireError> {
    let message: Message = postcard::from_bytes(bytes)?;
    let kind = KINDS
        .get(usize::from(message.kind))
        .ok_or(WireError::MessageKind(message.kind))?;
    let mut decoded = eraftpb::Message {
        msg_type: *kind,
        to: message.to,
        from: message.from,
        term: message.term,
        log_term: message.log_term,
        index: message.index,
        commit: message.commit,
        commit_term: message.commit_term,
        request_snapshot: message.request_snapshot,
        reject: message.reject,
        reject_hint: message.reject_hint,
        context: message.context.into(),
        priority: message.priority,
        ..Default::default()
    };
    decoded.set_entries(
        message
            .entries
            .into_iter()
            .map(eraftpb::Entry::from)
            .collect(),
    );
    if let Some(snapshot) = &message.snapshot {
        decoded.set_snapshot(snapshot.into());
    }
    Ok(decoded)
}

#[cfg(test)]
mod tests;
