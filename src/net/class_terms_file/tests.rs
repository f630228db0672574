//! Tests that stored terms are read back, also those of an earlier program version.

use super::*;
use crate::net::golden::assert_same_bytes;
use message_sender::class_transition::ClassSet;
use message_sender::{Class, Effect, SECOND};

/// Golden file with the terms of [`transition`].
const STORED: &[u8] = include_bytes!("../../../tests/golden/state/class-terms");

fn set(effect: Effect, max_attempts: usize) -> ClassSet {
    let class = Class {
        priority_weight: 1.25,
        late_share: 0.5,
        ordered: true,
        ..Class::new("order", effect, 4_000_003, 20_000_004)
    };
    ClassSet {
        classes: vec![class],
        max_attempts,
    }
}

fn transition() -> ClassTransition {
    let keyed = Effect::IdempotencyKey {
        window: 12_000_005,
        same_zone_only: true,
    };
    let mut transition = ClassTransition::new(set(keyed, 3));
    transition.change(set(Effect::Idempotent, 12), 1_700_000_000 * SECOND);
    transition
}

fn folder(name: &str) -> PathBuf {
    let name = format!("message-sender-{name}-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).expect("created");
    folder
}

#[test]
fn stored_terms_are_read_back_and_written_as_by_an_earlier_version() {
    let folder = folder("class-terms");
    let file = ClassTermsFile::new(&folder);
    assert_eq!(file.read().expect("read"), None);
    file.write(&transition());
    assert_eq!(file.read().expect("read"), Some(transition()));
    let written = std::fs::read(folder.join(FILE_NAME)).expect("written");
    assert_same_bytes("class terms", &written, STORED);
    std::fs::remove_dir_all(folder).expect("removed");
}

#[test]
fn terms_that_do_not_fit_or_are_damaged_leave_no_terms_that_are_wrong() {
    let folder = folder("class-terms-damaged");
    let file = ClassTermsFile::new(&folder);
    file.write(&transition());
    let mut large = set(Effect::Idempotent, 12);
    large.classes[0].name = "x".repeat(MAX_FILE_BYTES);
    file.write(&ClassTransition::new(large));
    assert_eq!(file.read().expect("read"), Some(transition()));
    std::fs::write(folder.join(FILE_NAME), [0xff; 3]).expect("written");
    assert_eq!(file.read().expect("read"), None);
    std::fs::remove_dir_all(folder).expect("removed");
}
