//! Every datagram, byte for byte as it has always been on the wire. `postcard` is positional: a field or a variant that
//! moves, goes or takes another width shows here.

use super::*;

const GOLDEN: &str = include_str!("golden/datagrams.txt");
const KEY: &[u8] = b"a shared key of some length";

fn record(state: State, address: &str, observer: Option<&str>) -> Record {
    Record {
        name: "member-2".to_string(),
        address: address.parse().expect("an address"),
        incarnation: 300,
        instance: 1_700_000_000_000_001,
        state,
        observer: observer.map(str::to_string),
    }
}

fn packet(passive: bool, message: Message, records: Vec<Record>) -> Packet {
    Packet {
        fleet: "hue".to_string(),
        from: "member-1".to_string(),
        address: "10.1.2.3:7946".parse().expect("an address"),
        incarnation: 200,
        instance: 1_700_000_000_000_000,
        counter: 70_000,
        passive,
        view_hash: 0x0123_4567_89ab_cdef,
        view_holders: vec![0b101, 0xff],
        message,
        records,
    }
}

/// One of each kind of message and of each state of a record.
fn packets() -> Vec<(&'static str, Packet)> {
    let sequence = 0x0102_0304;
    let text = |text: &str| text.to_string();
    let until = Some(text("member-9"));
    let alive = record(State::Alive, "10.1.2.4:7946", None);
    let suspect = record(State::Suspect, "10.1.2.4:7946", Some("member-3"));
    let dead = record(State::Dead, "[2001:db8::1]:65535", None);
    let left = record(State::Left, "10.1.2.4:1", None);
    vec![
        (
            "ping",
            packet(
                false,
                Message::Ping {
                    sequence,
                    target: text("member-2"),
                },
                vec![alive],
            ),
        ),
        (
            "ping_for",
            packet(
                false,
                Message::IndirectPing {
                    sequence,
                    target: text("member-2"),
                },
                vec![suspect],
            ),
        ),
        ("ack", packet(true, Message::Ack { sequence }, vec![dead])),
        (
            "nack",
            packet(false, Message::Nack { sequence }, vec![left]),
        ),
        (
            "pull",
            packet(
                false,
                Message::SyncRequest {
                    after: text("a"),
                    until: until.clone(),
                    digest: 0xfedc_ba98_7654_3210,
                },
                vec![],
            ),
        ),
        (
            "pull_to_the_end",
            packet(
                false,
                Message::SyncRequest {
                    after: text(""),
                    until: None,
                    digest: 1,
                },
                vec![],
            ),
        ),
        (
            "part",
            packet(
                false,
                Message::SyncResponse {
                    after: text("a"),
                    until,
                },
                vec![],
            ),
        ),
        (
            "part_to_the_end",
            packet(
                true,
                Message::SyncResponse {
                    after: text(""),
                    until: None,
                },
                vec![],
            ),
        ),
        ("news", packet(false, Message::Gossip, vec![])),
    ]
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).expect("hex"))
        .collect()
}

#[test]
fn datagrams_of_every_kind_match_the_golden_bytes() {
    let mut written = String::new();
    for (name, packet) in packets() {
        written += &format!("{name} plain {}\n", hex(&encode(&packet, None)));
        written += &format!("{name} signed {}\n", hex(&encode(&packet, Some(KEY))));
    }
    if std::env::var_os("WRITE_GOLDEN").is_some() {
        std::fs::write("src/wire/golden/datagrams.txt", &written).expect("written");
    }
    assert_eq!(written, GOLDEN);
    for line in GOLDEN.lines() {
        let words: Vec<&str> = line.split(' ').collect();
        let packet = packets()
            .into_iter()
            .find(|(name, _)| *name == words[0])
            .expect("one of them")
            .1;
        let key = (words[1] == "signed").then_some(KEY);
        assert_eq!(decode(&bytes(words[2]), "hue", key), Ok(packet), "{line}");
    }
}
