//! Tests of the remembered ids.

use super::*;

fn id(number: usize) -> HeaderValue {
    HeaderValue::from_str(&format!("id-{number}")).expect("a header value")
}

/// Guards against a table that grows without end under ever new ids.
#[test]
fn oldest_id_is_forgotten_once_there_are_too_many() {
    let mut ended = EndedIds::default();
    for number in 0..=MAX_ENDED_IDS {
        ended.remember(id(number), MessageEnd::Delivered);
    }
    assert_eq!(ended.get(&id(0)), None);
    assert_eq!(ended.get(&id(1)), Some(MessageEnd::Delivered));
    assert_eq!(ended.iter().count(), MAX_ENDED_IDS);
    assert_eq!(ended.ends.len(), MAX_ENDED_IDS);
}

#[test]
fn delivery_replaces_uncertain_end_and_not_the_reverse() {
    let mut ended = EndedIds::default();
    ended.remember(id(1), MessageEnd::MayHaveRun);
    ended.remember(id(1), MessageEnd::Delivered);
    ended.remember(id(1), MessageEnd::MayHaveRun);
    let ends: Vec<_> = ended.iter().collect();
    assert_eq!(ends, [(&id(1), MessageEnd::Delivered)]);
}

/// Guards against long ids that take many times the memory of ordinary ones.
#[test]
fn long_ids_are_forgotten_sooner() {
    let mut ended = EndedIds::default();
    let long =
        |number: usize| HeaderValue::from_str(&format!("{number:0>256}")).expect("a header value");
    for number in 0..MAX_ENDED_IDS {
        ended.remember(long(number), MessageEnd::Delivered);
    }
    assert!(ended.bytes <= MAX_ENDED_BYTES);
    assert_eq!(ended.iter().count(), MAX_ENDED_BYTES / 256);
    assert!(ended.get(&long(MAX_ENDED_IDS - 1)).is_some());
}
