//! The datagrams: written, read and checked. What can't be read is an error with its cause, never a panic.

use crate::record::{Record, State};
use crate::settings::is_name;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::net::SocketAddr;
use thiserror::Error;

/// Longest datagram, bytes: under 1,400 as the smallest usual path takes it, with room for headers below UDP.
pub const LONGEST: usize = 1300;
/// Raised with every change of the form; others' datagrams count for nothing.
pub const VERSION: u8 = 1;
const MAGIC: [u8; 2] = *b"Mm";
/// Bytes of the keyed hash that go along: half of SHA-256's, as RFC 2104 (section 5) allows.
const TAG: usize = 16;
/// Incarnations beyond this are damage: one a microsecond would take nine years.
pub const INCARNATION_MOST: u64 = 1 << 48;

/// Why a datagram counts for nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Error, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Dropped {
    /// It is too long.
    #[error("it is too long")]
    TooLong,
    /// It is cut or damaged.
    #[error("it is cut or damaged")]
    Unreadable,
    /// It has another version.
    #[error("it has another version")]
    Version,
    /// It is another fleet's.
    #[error("it is another fleet's")]
    Fleet,
    /// Its keyed hash is missing or wrong.
    #[error("its keyed hash is missing or wrong")]
    Unsigned,
    /// It came before, or from an earlier life.
    #[error("it came before, or from an earlier life")]
    Replayed,
    /// It bears the own name.
    #[error("it bears the own name")]
    OwnName,
    /// It is for another member.
    #[error("it is for another member")]
    Misdirected,
    /// It names a member that is not known.
    #[error("it names a member that is not known")]
    Unknown,
    /// The table is full.
    #[error("the table is full")]
    Full,
    /// More is asked than is answered in a period.
    #[error("more is asked than is answered in a period")]
    Busy,
}

/// What a datagram is for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Answer me: the receiver must be the one that is named.
    Ping { number: u32, to: String },
    /// Ping another one for me.
    PingFor { number: u32, target: String },
    /// The one that was probed answers, or a helper passes its answer on.
    Ack { number: u32 },
    /// A helper has had no answer, but hears who asked.
    Nack { number: u32 },
    /// What do you hold of the members after this name, up to that or to the end? Mine have this digest.
    Pull {
        after: String,
        until: Option<String>,
        digest: u64,
    },
    /// What I hold of them, up to this name or to the end; nothing where it is the same.
    Part {
        after: String,
        until: Option<String>,
    },
    /// News alone; nothing is to be answered.
    News,
}

/// A datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    pub fleet: String,
    pub from: String,
    /// Where the sender is reached, and which life of it this is.
    pub address: SocketAddr,
    pub incarnation: u64,
    pub instance: u64,
    /// Numbers the sender's datagrams, so that a repeated one is known.
    pub counter: u64,
    /// The sender only listens: it is not to be counted as a member by this.
    pub listener: bool,
    /// The members that live in the sender's view, hashed, and those known to hold the same view, by place.
    pub view: u64,
    pub holders: Vec<u8>,
    pub message: Message,
    pub records: Vec<Record>,
}

fn tag(key: &[u8], bytes: &[u8]) -> Hmac<Sha256> {
    // HMAC takes keys of any length
    let mut hash = <Hmac<Sha256> as Mac>::new_from_slice(key).unwrap_or_else(|_| unreachable!());
    hash.update(bytes);
    hash
}

/// Room that a key's hash and the frame need beside the packet.
pub fn overhead(key: Option<&[u8]>) -> usize {
    MAGIC.len() + 1 + if key.is_some() { TAG } else { 0 }
}

/// Bytes of a value in a datagram.
pub fn size(value: &impl Serialize) -> usize {
    postcard::to_allocvec(value).map_or(LONGEST, |bytes| bytes.len())
}

/// Writes a datagram; the caller has seen to its length.
pub fn encode(packet: &Packet, key: Option<&[u8]>) -> Vec<u8> {
    let mut bytes = [&MAGIC[..], &[VERSION]].concat();
    // to memory, and of types that the format has
    bytes.extend(postcard::to_allocvec(packet).unwrap_or_default());
    if let Some(key) = key {
        let hash = tag(key, &bytes).finalize().into_bytes();
        bytes.extend(&hash[..TAG]);
    }
    bytes
}

/// Reads a datagram.
///
/// # Errors
/// Says why it counts for nothing.
pub fn decode(bytes: &[u8], fleet: &str, key: Option<&[u8]>) -> Result<Packet, Dropped> {
    if bytes.len() > LONGEST {
        return Err(Dropped::TooLong);
    }
    let rest = bytes.strip_prefix(&MAGIC).ok_or(Dropped::Unreadable)?;
    match rest.first() {
        Some(&VERSION) => {}
        Some(_) => return Err(Dropped::Version),
        None => return Err(Dropped::Unreadable),
    }
    let mut body = &rest[1..];
    if let Some(key) = key {
        let at = body.len().checked_sub(TAG).ok_or(Dropped::Unsigned)?;
        let signed = &bytes[..bytes.len() - TAG];
        // compared in constant time
        tag(key, signed)
            .verify_truncated_left(&body[at..])
            .map_err(|_| Dropped::Unsigned)?;
        body = &body[..at];
    }
    let (packet, left) =
        postcard::take_from_bytes::<Packet>(body).map_err(|_| Dropped::Unreadable)?;
    if packet.fleet != fleet {
        return Err(Dropped::Fleet);
    }
    let sound = left.is_empty() && is_name(&packet.from) && packet.incarnation <= INCARNATION_MOST;
    let record = |record: &Record| {
        is_name(&record.name)
            && record.incarnation <= INCARNATION_MOST
            && record.observer.as_deref().is_none_or(is_name)
            && (record.state == State::Suspect) == record.observer.is_some()
            && !record.address.ip().is_unspecified()
    };
    if sound && packet.records.iter().all(record) {
        Ok(packet)
    } else {
        Err(Dropped::Unreadable)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{Rng, SeedableRng};
    use rand_pcg::Pcg64;

    fn packet() -> Packet {
        let record = Record {
            name: "n2".to_string(),
            address: "127.0.0.2:9000".parse().expect("an address"),
            incarnation: 3,
            instance: 1_700_000_000_000_000,
            state: State::Suspect,
            observer: Some("n1".to_string()),
        };
        Packet {
            fleet: "hue".to_string(),
            from: "n1".to_string(),
            address: "127.0.0.1:9000".parse().expect("an address"),
            incarnation: 1,
            instance: 7,
            counter: 9,
            listener: false,
            view: 0x1234,
            holders: vec![3],
            message: Message::Ping {
                number: 8,
                to: "n2".to_string(),
            },
            records: vec![record],
        }
    }

    #[test]
    fn what_is_written_is_read() {
        for key in [None, Some(&b"a shared key of some length"[..])] {
            assert_eq!(decode(&encode(&packet(), key), "hue", key), Ok(packet()));
        }
    }

    #[test]
    fn what_is_not_for_this_fleet_counts_for_nothing() {
        let key = &b"a shared key of some length"[..];
        let (plain, signed) = (encode(&packet(), None), encode(&packet(), Some(key)));
        assert_eq!(decode(&plain, "saigon", None), Err(Dropped::Fleet));
        assert_eq!(decode(&plain, "hue", Some(key)), Err(Dropped::Unsigned));
        assert_eq!(
            decode(&signed, "hue", Some(b"another key of that length")),
            Err(Dropped::Unsigned)
        );
        assert_eq!(decode(&signed, "hue", None), Err(Dropped::Unreadable));
        let mut other = plain.clone();
        other[2] = VERSION + 1;
        assert_eq!(decode(&other, "hue", None), Err(Dropped::Version));
        assert_eq!(
            decode(&[plain, vec![0; LONGEST]].concat(), "hue", None),
            Err(Dropped::TooLong)
        );
    }

    #[test]
    fn a_signed_datagram_bears_no_change() {
        let key = &b"a shared key of some length"[..];
        let signed = encode(&packet(), Some(key));
        for at in 3..signed.len() {
            let mut changed = signed.clone();
            changed[at] ^= 1;
            assert_eq!(
                decode(&changed, "hue", Some(key)),
                Err(Dropped::Unsigned),
                "byte {at}"
            );
        }
    }

    #[test]
    fn cut_changed_and_random_bytes_are_dropped_or_sound() {
        let whole = encode(&packet(), None);
        for length in 0..whole.len() {
            assert!(
                decode(&whole[..length], "hue", None).is_err(),
                "cut at {length}"
            );
        }
        let mut random = Pcg64::seed_from_u64(1);
        let mut read = 0;
        for _ in 0..200_000 {
            let mut bytes = whole.clone();
            for _ in 0..random.random_range(1..6) {
                let at = random.random_range(0..bytes.len());
                bytes[at] = random.random();
            }
            if let Ok(packet) = decode(&bytes, "hue", None) {
                read += 1;
                assert!(packet.records.len() <= LONGEST && is_name(&packet.from));
            }
        }
        assert!(read > 0, "some changes leave it sound");
        for _ in 0..100_000 {
            let length = random.random_range(0..LONGEST + 10);
            let mut bytes: Vec<u8> = (0..length).map(|_| random.random()).collect();
            bytes.splice(
                0..length.min(3),
                [MAGIC[0], MAGIC[1], VERSION]
                    .into_iter()
                    .take(length.min(3)),
            );
            let _ = decode(&bytes, "hue", None);
        }
    }
}
