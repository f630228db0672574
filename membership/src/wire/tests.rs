//! Datagrams written, read, damaged and forged.

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
        passive: false,
        view_hash: 0x1234,
        view_holders: vec![3],
        message: Message::Ping {
            sequence: 8,
            target: "n2".to_string(),
        },
        records: vec![record],
    }
}

#[test]
fn encode_then_decode_returns_the_same_packet() {
    for key in [None, Some(&b"a shared key of some length"[..])] {
        assert_eq!(decode(&encode(&packet(), key), "hue", key), Ok(packet()));
    }
}

#[test]
fn decode_of_foreign_datagram_returns_its_drop_reason() {
    let key = &b"a shared key of some length"[..];
    let (plain, signed) = (encode(&packet(), None), encode(&packet(), Some(key)));
    assert_eq!(decode(&plain, "saigon", None), Err(DropReason::Fleet));
    assert_eq!(decode(&plain, "hue", Some(key)), Err(DropReason::Unsigned));
    assert_eq!(
        decode(&signed, "hue", Some(b"another key of that length")),
        Err(DropReason::Unsigned)
    );
    assert_eq!(decode(&signed, "hue", None), Err(DropReason::Unreadable));
    let mut other = plain.clone();
    other[2] = VERSION + 1;
    assert_eq!(decode(&other, "hue", None), Err(DropReason::Version));
    assert_eq!(
        decode(&[plain, vec![0; MAX_DATAGRAM_BYTES]].concat(), "hue", None),
        Err(DropReason::TooLong)
    );
}

#[test]
fn decode_of_changed_signed_datagram_is_unsigned() {
    let key = &b"a shared key of some length"[..];
    let signed = encode(&packet(), Some(key));
    for at in 3..signed.len() {
        let mut changed = signed.clone();
        changed[at] ^= 1;
        assert_eq!(
            decode(&changed, "hue", Some(key)),
            Err(DropReason::Unsigned),
            "byte {at}"
        );
    }
}

#[test]
fn decode_of_damaged_bytes_fails_or_returns_a_valid_packet() {
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
            assert!(packet.records.len() <= MAX_DATAGRAM_BYTES && is_name(&packet.from));
        }
    }
    assert!(read > 0, "some changes leave it sound");
    for _ in 0..100_000 {
        let length = random.random_range(0..MAX_DATAGRAM_BYTES + 10);
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
