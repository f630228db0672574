//! Tests of the codec of messages.

use super::*;
use rand::{Rng, SeedableRng};

fn message() -> eraftpb::Message {
    let msg_type = eraftpb::MessageType::MsgAppend;
    let mut message = eraftpb::Message {
        msg_type,
        ..Default::default()
    };
    (message.from, message.to, message.term, message.commit) = (1, 2, 7, 40);
    let entry = LogEntry {
        kind: EntryKind::Replicas,
        term: 7,
        index: 41,
        data: vec![1, 2],
        context: vec![3],
    };
    message.set_entries(vec![eraftpb::Entry::from(entry)].into());
    let membership = Membership {
        voters: vec![1, 2, 3],
        learners: vec![4],
    };
    message.set_snapshot(
        (&Snapshot {
            index: 9,
            term: 3,
            membership,
            data: vec![8; 20],
        })
            .into(),
    );
    message
}

#[test]
fn message_is_decoded_as_it_was_encoded() {
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
        Err(WireError::MessageKind(
            eraftpb::MessageType::MsgPropose as u8
        ))
    );
}

#[test]
fn bytes_that_are_no_message_are_rejected() {
    let encoded = encode(&message()).expect("goes between replicas");
    let mut random = rand_pcg::Pcg64::seed_from_u64(5);
    let mut refused = 0;
    for _ in 0..20_000 {
        let mut bytes = encoded.clone();
        bytes.truncate(random.random_range(0..=encoded.len()));
        for _ in 0..random.random_range(0..4) {
            if let Some(byte) = bytes.get_mut(random.random_range(0..encoded.len())) {
                *byte = random.random();
            }
        }
        refused += usize::from(decode(&bytes).is_err());
    }
    assert!(refused > 5_000, "{refused}");
}
