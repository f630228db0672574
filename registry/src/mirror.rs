//! The engine's messages and entries in own types. What comes from a socket or a file is read as these, strictly, and never
//! by the engine's own codec, whose parser recurses without bound (RUSTSEC-2024-0437).

use raft::eraftpb;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A message that no replica sends another.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum Unfit {
    /// The bytes are no message.
    #[error("unreadable: {0}")]
    Codec(#[from] postcard::Error),
    /// A kind that stays within a replica, or none.
    #[error("message kind {0} does not go between replicas")]
    Kind(u8),
}

/// What an entry holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A command, or nothing.
    Normal,
    /// A replica comes or goes; the context says which.
    Replicas,
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// What it holds.
    pub kind: Kind,
    /// The term of the leader that appended it.
    pub term: u64,
    /// Its place.
    pub index: u64,
    /// The command.
    pub data: Vec<u8>,
    /// The number of its proposal, or which replica comes or goes.
    pub context: Vec<u8>,
}

/// What must outlast a replica's process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hard {
    /// The term.
    pub term: u64,
    /// Whom it voted for.
    pub vote: u64,
    /// Up to where the log is known to be committed.
    pub commit: u64,
}

/// Who takes part.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voters {
    /// Those that vote.
    pub voters: Vec<u64>,
    /// Those that get the log and do not vote yet.
    pub learners: Vec<u64>,
}

/// The state at an index, in place of the entries up to it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that it holds.
    pub index: u64,
    /// The term of that.
    pub term: u64,
    /// Who voted then.
    pub voters: Voters,
    /// The state.
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
    entries: Vec<Entry>,
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
    use eraftpb::MessageType as M;
    [
        M::MsgAppend,
        M::MsgAppendResponse,
        M::MsgRequestVote,
        M::MsgRequestVoteResponse,
        M::MsgSnapshot,
        M::MsgHeartbeat,
        M::MsgHeartbeatResponse,
        M::MsgTransferLeader,
        M::MsgTimeoutNow,
        M::MsgReadIndex,
        M::MsgReadIndexResp,
        M::MsgRequestPreVote,
        M::MsgRequestPreVoteResponse,
        M::MsgUnreachable,
    ]
};

impl From<&eraftpb::Entry> for Entry {
    fn from(entry: &eraftpb::Entry) -> Self {
        let kind = match entry.entry_type {
            eraftpb::EntryType::EntryNormal => Kind::Normal,
            _ => Kind::Replicas,
        };
        let (data, context) = (entry.data.to_vec(), entry.context.to_vec());
        Entry {
            kind,
            term: entry.term,
            index: entry.index,
            data,
            context,
        }
    }
}

impl From<Entry> for eraftpb::Entry {
    fn from(entry: Entry) -> Self {
        let entry_type = match entry.kind {
            Kind::Normal => eraftpb::EntryType::EntryNormal,
            Kind::Replicas => eraftpb::EntryType::EntryConfChange,
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

impl From<&eraftpb::HardState> for Hard {
    fn from(hard: &eraftpb::HardState) -> Self {
        Hard {
            term: hard.term,
            vote: hard.vote,
            commit: hard.commit,
        }
    }
}

impl From<Hard> for eraftpb::HardState {
    fn from(hard: Hard) -> Self {
        let mut read = eraftpb::HardState::default();
        (read.term, read.vote, read.commit) = (hard.term, hard.vote, hard.commit);
        read
    }
}

impl From<&eraftpb::ConfState> for Voters {
    fn from(conf: &eraftpb::ConfState) -> Self {
        let sorted = |ids: &Vec<u64>| {
            let mut ids = ids.clone();
            ids.sort_unstable();
            ids
        };
        Voters {
            voters: sorted(&conf.voters),
            learners: sorted(&conf.learners),
        }
    }
}

impl From<&Voters> for eraftpb::ConfState {
    fn from(voters: &Voters) -> Self {
        let mut read = eraftpb::ConfState::default();
        (read.voters, read.learners) = (voters.voters.clone(), voters.learners.clone());
        read
    }
}

impl From<&eraftpb::Snapshot> for Snapshot {
    fn from(snapshot: &eraftpb::Snapshot) -> Self {
        let about = snapshot.get_metadata();
        let voters = about.get_conf_state().into();
        Snapshot {
            index: about.index,
            term: about.term,
            voters,
            data: snapshot.data.to_vec(),
        }
    }
}

impl From<&Snapshot> for eraftpb::Snapshot {
    fn from(snapshot: &Snapshot) -> Self {
        let mut read = eraftpb::Snapshot {
            data: snapshot.data.clone().into(),
            ..Default::default()
        };
        let about = read.mut_metadata();
        (about.index, about.term) = (snapshot.index, snapshot.term);
        about.set_conf_state((&snapshot.voters).into());
        read
    }
}

/// A message as bytes.
///
/// # Errors
/// It is of a kind that stays within a replica.
pub fn encode(message: &eraftpb::Message) -> Result<Vec<u8>, Unfit> {
    let kind = KINDS.iter().position(|kind| *kind == message.msg_type);
    let kind = kind.ok_or(Unfit::Kind(message.msg_type as u8))?;
    let snapshot = message.snapshot.as_ref().map(Snapshot::from);
    Ok(postcard::to_allocvec(&Message {
        kind: kind as u8,
        to: message.to,
        from: message.from,
        term: message.term,
        log_term: message.log_term,
        index: message.index,
        entries: message.entries.iter().map(Entry::from).collect(),
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

/// A message from bytes.
///
/// # Errors
/// The bytes are none that a replica sends.
pub fn decode(bytes: &[u8]) -> Result<eraftpb::Message, Unfit> {
    let message: Message = postcard::from_bytes(bytes)?;
    let kind = KINDS
        .get(usize::from(message.kind))
        .ok_or(Unfit::Kind(message.kind))?;
    let mut read = eraftpb::Message {
        msg_type: *kind,
        ..Default::default()
    };
    (read.to, read.from, read.term) = (message.to, message.from, message.term);
    (read.log_term, read.index) = (message.log_term, message.index);
    (read.commit, read.commit_term) = (message.commit, message.commit_term);
    (read.request_snapshot, read.reject, read.reject_hint) = (
        message.request_snapshot,
        message.reject,
        message.reject_hint,
    );
    (read.context, read.priority) = (message.context.into(), message.priority);
    read.set_entries(
        message
            .entries
            .into_iter()
            .map(eraftpb::Entry::from)
            .collect(),
    );
    if let Some(snapshot) = &message.snapshot {
        read.set_snapshot(snapshot.into());
    }
    Ok(read)
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{Rng, SeedableRng};

    fn message() -> eraftpb::Message {
        let msg_type = eraftpb::MessageType::MsgAppend;
        let mut message = eraftpb::Message {
            msg_type,
            ..Default::default()
        };
        (message.from, message.to, message.term, message.commit) = (1, 2, 7, 40);
        let entry = Entry {
            kind: Kind::Replicas,
            term: 7,
            index: 41,
            data: vec![1, 2],
            context: vec![3],
        };
        message.set_entries(vec![eraftpb::Entry::from(entry)].into());
        let voters = Voters {
            voters: vec![1, 2, 3],
            learners: vec![4],
        };
        message.set_snapshot(
            (&Snapshot {
                index: 9,
                term: 3,
                voters,
                data: vec![8; 20],
            })
                .into(),
        );
        message
    }

    #[test]
    fn a_message_comes_back_as_it_was() {
        let message = message();
        assert_eq!(
            decode(&encode(&message).expect("goes between replicas")),
            Ok(message)
        );
        let own = eraftpb::Message {
            msg_type: eraftpb::MessageType::MsgPropose,
            ..Default::default()
        };
        assert_eq!(
            encode(&own),
            Err(Unfit::Kind(eraftpb::MessageType::MsgPropose as u8))
        );
    }

    #[test]
    fn bytes_that_are_no_message_are_refused_and_break_nothing() {
        let whole = encode(&message()).expect("goes between replicas");
        let mut random = rand_pcg::Pcg64::seed_from_u64(5);
        let mut refused = 0;
        for _ in 0..20_000 {
            let mut bytes = whole.clone();
            bytes.truncate(random.random_range(0..=whole.len()));
            for _ in 0..random.random_range(0..4) {
                if let Some(byte) = bytes.get_mut(random.random_range(0..whole.len())) {
                    *byte = random.random();
                }
            }
            refused += usize::from(decode(&bytes).is_err());
        }
        assert!(refused > 5_000, "{refused}");
    }
}
