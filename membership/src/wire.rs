//! The datagrams: encoded, decoded and checked. One that cannot be read is an error with its reason, never a panic.
//!
//! The encoding is positional (postcard): the order and kind of fields and variants must not change.

use crate::record::{Record, State};
use crate::settings::is_name;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::net::SocketAddr;
use thiserror::Error;

/// Longest datagram, bytes: under 1,400 as the smallest usual path takes it, with room for headers below UDP.
pub const MAX_DATAGRAM_BYTES: usize = 1300;
/// Raised with every change of the encoding; datagrams of other versions are dropped.
pub const VERSION: u8 = 1;
const MAGIC: [u8; 2] = *b"Mm";
/// The magic bytes and the version.
const HEADER_BYTES: usize = MAGIC.len() + 1;
/// Bytes of the keyed hash that a datagram carries: half of SHA-256's, as RFC 2104 (section 5) allows.
const TAG_BYTES: usize = 16;
/// Incarnations beyond this are damage: one a microsecond would take nine years to get there.
pub const MAX_INCARNATION: u64 = 1 << 48;

/// Why a datagram is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Error, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DropReason {
    /// It is longer than [`MAX_DATAGRAM_BYTES`].
    #[error("it is too long")]
    TooLong,
    /// It is truncated or damaged.
    #[error("it is truncated or damaged")]
    Unreadable,
    /// It has another version.
    #[error("it has another version")]
    Version,
    /// It is of another fleet.
    #[error("it is of another fleet")]
    Fleet,
    /// Its keyed hash is missing or wrong.
    #[error("its keyed hash is missing or wrong")]
    Unsigned,
    /// It came before, or is of an earlier process.
    #[error("it came before, or is of an earlier process")]
    Replayed,
    /// Its sender has this node's name.
    #[error("its sender has this node's name")]
    OwnName,
    /// It is meant for another member.
    #[error("it is meant for another member")]
    Misdirected,
    /// It refers to a member or a request that is not known.
    #[error("it refers to a member or a request that is not known")]
    Unknown,
    /// The member table is full.
    #[error("the member table is full")]
    Full,
    /// The bound on replies in one period is reached.
    #[error("the bound on replies in one period is reached")]
    Busy,
}

/// The purpose of a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A probe: the receiver must be the member named, and answers.
    Ping { sequence: u32, target: String },
    /// A request to probe another member on the sender's behalf.
    IndirectPing { sequence: u32, target: String },
    /// The answer to a probe, of the target itself or passed on by a helper.
    Ack { sequence: u32 },
    /// A helper had no answer from the target, but hears the sender of the request.
    Nack { sequence: u32 },
    /// Asks for the records of the members after a name, up to another or to the end; the sender's have this digest.
    SyncRequest {
        after: String,
        until: Option<String>,
        digest: u64,
    },
    /// The records of the members after a name, up to another or to the end; none where the digests are equal.
    SyncResponse {
        after: String,
        until: Option<String>,
    },
    /// Gossip alone; needs no answer.
    Gossip,
}

/// A datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    pub fleet: String,
    /// The sender's name.
    pub from: String,
    /// Where the sender is reached.
    pub address: SocketAddr,
    pub incarnation: u64,
    /// The sender's process, by its start in Unix microseconds.
    pub instance: u64,
    /// Numbers the datagrams of that process, so that a repeated one is recognised.
    pub counter: u64,
    /// The sender only listens: this datagram does not make it a member.
    pub passive: bool,
    /// The hash of the names of the members that the sender sees present.
    pub view_hash: u64,
    /// A bitmap of those known to have the same view; empty where the datagram does not carry it.
    pub view_holders: Vec<u8>,
    pub message: Message,
    pub records: Vec<Record>,
}

fn tag(key: &[u8], bytes: &[u8]) -> Hmac<Sha256> {
    // HMAC takes keys of any length
    let mut hash = <Hmac<Sha256> as Mac>::new_from_slice(key).unwrap_or_else(|_| unreachable!());
    hash.update(bytes);
    hash
}

/// Bytes that the frame and the keyed hash need beside the packet.
pub fn overhead(key: Option<&[u8]>) -> usize {
    HEADER_BYTES + if key.is_some() { TAG_BYTES } else { 0 }
}

/// Bytes that a value takes in a datagram.
pub fn size(value: &impl Serialize) -> usize {
    postcard::to_allocvec(value).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len())
}

/// Encodes a datagram; the caller keeps it within [`MAX_DATAGRAM_BYTES`].
pub fn encode(packet: &Packet, key: Option<&[u8]>) -> Vec<u8> {
    let mut bytes = [&MAGIC[..], &[VERSION]].concat();
    // to memory, and of types that the format has
    bytes.extend(postcard::to_allocvec(packet).unwrap_or_default());
    if let Some(key) = key {
        let hash = tag(key, &bytes).finalize().into_bytes();
        bytes.extend(&hash[..TAG_BYTES]);
    }
    bytes
}

/// Decodes and checks a datagram.
///
/// # Errors
/// Says why it is dropped.
pub fn decode(bytes: &[u8], fleet: &str, key: Option<&[u8]>) -> Result<Packet, DropReason> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DropReason::TooLong);
    }
    check_header(bytes)?;
    let body = match key {
        Some(key) => signed_body(bytes, key)?,
        None => &bytes[HEADER_BYTES..],
    };
    let (packet, rest) =
        postcard::take_from_bytes::<Packet>(body).map_err(|_| DropReason::Unreadable)?;
    if packet.fleet != fleet {
        return Err(DropReason::Fleet);
    }
    let is_valid = rest.is_empty()
        && is_name(&packet.from)
        && packet.incarnation <= MAX_INCARNATION
        && packet.records.iter().all(is_valid_record);
    if is_valid {
        Ok(packet)
    } else {
        Err(DropReason::Unreadable)
    }
}

fn check_header(bytes: &[u8]) -> Result<(), DropReason> {
    let rest = bytes.strip_prefix(&MAGIC).ok_or(DropReason::Unreadable)?;
    match rest.first() {
        Some(&VERSION) => Ok(()),
        Some(_) => Err(DropReason::Version),
        None => Err(DropReason::Unreadable),
    }
}

/// The packet's bytes between the header and a keyed hash that is right.
fn signed_body<'a>(bytes: &'a [u8], key: &[u8]) -> Result<&'a [u8], DropReason> {
    let body = &bytes[HEADER_BYTES..];
    let body_length = body
        .len()
        .checked_sub(TAG_BYTES)
        .ok_or(DropReason::Unsigned)?;
    let (body, hash) = body.split_at(body_length);
    let signed = &bytes[..bytes.len() - TAG_BYTES];
    // compared in constant time
    tag(key, signed)
        .verify_truncated_left(hash)
        .map_err(|_| DropReason::Unsigned)?;
    Ok(body)
}

fn is_valid_record(record: &Record) -> bool {
    is_name(&record.name)
        && record.incarnation <= MAX_INCARNATION
        && record.observer.as_deref().is_none_or(is_name)
        && (record.state == State::Suspect) == record.observer.is_some()
        && !record.address.ip().is_unspecified()
}

#[cfg(test)]
mod compatibility;
#[cfg(test)]
mod tests;
