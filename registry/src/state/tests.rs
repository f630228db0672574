//! Tests of the state machine.

use super::*;
use crate::endpoint::Endpoint;
use quota_ledger::freeze::{FreezeEntry, FreezeError};

fn endpoint(port: u16) -> Endpoint {
    serde_json::from_value(serde_json::json!({
        "endpoint": format!("10.1.0.1:{port}"), "pod_group": 3, "boot_ms": 5
    }))
    .expect("an endpoint")
}

fn list(changes: Vec<ListChange>) -> Command {
    Command::ChangeList {
        if_match: None,
        changes,
    }
}

fn expired(uid: &str, endpoint: Endpoint) -> ExpiredEndpoint {
    ExpiredEndpoint {
        uid: uid.to_string(),
        endpoint,
    }
}

fn put(uid: &str, port: u16) -> ListChange {
    ListChange::Put {
        uid: uid.to_string(),
        endpoint: endpoint(port),
    }
}

#[test]
fn snapshot_of_an_older_version_is_read_and_ours_is_read_by_it() {
    let mut state = State::default();
    state.apply(list(vec![put("a", 1)])).expect("put");
    let bytes = postcard::to_allocvec(&state).expect("encoded");
    // no ledger is one byte at the end, an empty freeze six
    for unknown in [6, 7] {
        let before = &bytes[..bytes.len() - unknown];
        assert_eq!(
            State::read(before).as_ref(),
            Ok(&state),
            "without {unknown} bytes"
        );
    }
    assert_eq!(State::read(&bytes).as_ref(), Ok(&state));
    // what lies before it is as it was: the version before stops there
    type Before = (
        u64,
        BTreeMap<String, Endpoint>,
        Option<VersionedRules>,
        Option<LeaseTerms>,
    );
    assert_eq!(
        postcard::from_bytes::<Before>(&bytes).map(|before| before.0),
        Ok(1)
    );
}

#[test]
fn freeze_holds_changes_that_widen_and_lets_relief_pass() {
    use quota_ledger::freeze::{ActiveWindow, Scope};
    let mut state = State::default();
    state
        .apply(list(vec![put("a", 1), put("b", 2)]))
        .expect("put");
    let (reason, owner) = ("term begins".to_string(), "lan".to_string());
    let on = ActiveWindow {
        until_ms: 9,
        scope: Scope::default(),
        held_changes: Default::default(),
        reason,
        owner,
    };
    state
        .apply(Command::Freeze(FreezeEntry::BeginWindow("w".into(), on)))
        .expect("begun");
    let drain = |uid: &str| ListChange::Drain {
        uid: uid.to_string(),
    };
    let hint = |hint| ListChange::Put {
        uid: "a".into(),
        endpoint: Endpoint {
            capacity_hint: hint,
            ..endpoint(1)
        },
    };
    let moved = ListChange::Put {
        uid: "a".into(),
        endpoint: Endpoint {
            pod_group: 4,
            ..endpoint(1)
        },
    };
    for held in [put("c", 3), hint(9.0), moved] {
        let refused = state.apply(list(vec![held.clone()]));
        assert!(
            matches!(refused, Err(CommandError::Freeze(FreezeError::Held { .. }))),
            "{held:?}: {refused:?}"
        );
    }
    let mixed = state.apply(list(vec![drain("a"), put("c", 3)]));
    assert_eq!(
        mixed,
        Err(CommandError::Freeze(FreezeError::MixedBatch("w".into())))
    );
    state.apply(list(vec![drain("a")])).expect("relief passes");
    // a restart of what serves is neither
    let started = ListChange::Put {
        uid: "b".into(),
        endpoint: Endpoint {
            boot_ms: 6,
            ..endpoint(2)
        },
    };
    state.apply(list(vec![started])).expect("passes");
    let back = ListChange::Put {
        uid: "a".into(),
        endpoint: Endpoint {
            boot_ms: 7,
            ..endpoint(1)
        },
    };
    assert!(matches!(
        state.apply(list(vec![back])),
        Err(CommandError::Freeze(FreezeError::Held { .. }))
    ));
    let last = state.apply(list(vec![drain("b")]));
    assert!(
        matches!(
            last,
            Err(CommandError::Freeze(FreezeError::LastEndpoint {
                destination: 3,
                ..
            }))
        ),
        "{last:?}"
    );
    let forced = Command::ForceChangeList {
        if_match: None,
        changes: vec![drain("b")],
    };
    state.apply(forced).expect("forced");
    state
        .apply(Command::Freeze(FreezeEntry::EndWindow("w".into())))
        .expect("ended");
    state
        .apply(list(vec![put("c", 3)]))
        .expect("after the thaw");
}

#[test]
fn batch_makes_one_version_or_none() {
    let mut state = State::default();
    let applied = state
        .apply(list(vec![put("a", 1), put("b", 2)]))
        .expect("both");
    assert_eq!((applied.rev, applied.changed.len()), (1, 2));
    let before = state.clone();
    let refused = state.apply(list(vec![
        put("c", 3),
        ListChange::Drain {
            uid: "d".to_string(),
        },
    ]));
    assert_eq!(refused, Err(CommandError::UnknownEndpoint("d".to_string())));
    assert_eq!(state, before);
    // the same write again
    let applied = state
        .apply(list(vec![put("b", 2), put("a", 1)]))
        .expect("the same");
    assert_eq!((applied.rev, applied.changed), (1, vec![]));
    let stale = Command::ChangeList {
        if_match: Some(0),
        changes: vec![put("a", 9)],
    };
    assert_eq!(
        state.apply(stale),
        Err(CommandError::Version { now: 1, wanted: 0 })
    );
}

#[test]
fn draining_endpoint_returns_only_with_a_later_start() {
    let mut state = State::default();
    state.apply(list(vec![put("a", 1)])).expect("put");
    state
        .apply(list(vec![ListChange::Drain {
            uid: "a".to_string(),
        }]))
        .expect("drained");
    let back = state.apply(list(vec![put("a", 1)]));
    assert!(
        matches!(back, Err(CommandError::StaleBoot { .. })),
        "{back:?}"
    );
    let started = ListChange::Put {
        uid: "a".to_string(),
        endpoint: Endpoint {
            boot_ms: 6,
            ..endpoint(1)
        },
    };
    assert_eq!(
        state.apply(list(vec![started])).map(|applied| applied.rev),
        Ok(3)
    );
    let older = state.apply(list(vec![put("a", 1)]));
    assert!(
        matches!(older, Err(CommandError::StaleBoot { .. })),
        "{older:?}"
    );
}

#[test]
fn expire_removes_only_unchanged_endpoints() {
    let mut state = State::default();
    state
        .apply(list(vec![put("a", 1), put("b", 2)]))
        .expect("put");
    let gone = vec![expired("a", endpoint(1)), expired("b", endpoint(7))];
    let applied = state.apply(Command::Expire(gone)).expect("one of them");
    let removed = EndpointChange {
        uid: "a".to_string(),
        endpoint: endpoint(1),
        removed: true,
    };
    assert_eq!(applied.changed, [removed]);
    assert_eq!(state.endpoints.len(), 1);
}
