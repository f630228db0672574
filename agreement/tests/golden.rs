//! Checks that rules, versions, leases and proposal errors keep their stored and sent forms, so
//! that earlier data and other processes can be read.

#[path = "common/golden.rs"]
mod golden;

use golden::GoldenFile;
use versioned_config::{
    ClassRules, Effect, Grant, LeaseRequest, LeaseTerms, NoIntersection, Proposal, ProposalError,
    Rules, VersionTag, VersionedRules,
};

fn class(effect: Effect) -> ClassRules {
    ClassRules {
        accepted: true,
        effect,
        max_attempts: 300,
        in_order: true,
        key_meaning: "reader".to_string(),
        key_backoff_ms: 70_000,
    }
}

fn effects() -> [(&'static str, Effect); 4] {
    [
        ("at_most_once", Effect::NonIdempotent),
        (
            "deduplicated_in_zone",
            Effect::IdempotencyKeyInZone { window_ms: 5_000 },
        ),
        ("deduplicated", Effect::IdempotencyKey { window_ms: 90_000 }),
        ("idempotent", Effect::Idempotent),
    ]
}

/// Returns rules with one class of each effect, and with both limits.
fn rules() -> Rules {
    Rules {
        classes: effects()
            .map(|(name, effect)| (name.to_string(), class(effect)))
            .into(),
        limits: [
            ("calls".to_string(), 400),
            ("messages".to_string(), 100_000),
        ]
        .into(),
    }
}

fn fallback() -> Rules {
    let closed = ClassRules {
        accepted: false,
        max_attempts: 1,
        ..class(Effect::NonIdempotent)
    };
    Rules {
        classes: [("at_most_once".to_string(), closed)].into(),
        limits: [("calls".to_string(), 4), ("messages".to_string(), 10)].into(),
    }
}

fn proposal() -> Proposal {
    let mut next = rules();
    next.limits.insert("calls".to_string(), 300);
    next.classes.remove("idempotent");
    Proposal {
        from: 1,
        rules: next,
    }
}

/// Returns the states of version 1, of the change to version 2, and of the complete version 2.
fn versions() -> [(&'static str, VersionedRules); 3] {
    let first = VersionedRules::new(fallback(), rules()).expect("fallback is within the rules");
    let mut in_progress = first.clone();
    in_progress.propose(proposal()).expect("accepted");
    let mut second = in_progress.clone();
    assert!(second.advance(2));
    [
        ("first", first),
        ("under_way", in_progress),
        ("second", second),
    ]
}

fn proposal_errors() -> [(&'static str, ProposalError); 4] {
    let no_intersection = NoIntersection {
        class: "receipts".to_string(),
        one: "reader".to_string(),
        other: "shop".to_string(),
    };
    [
        ("stale", ProposalError::Stale { now: 300, from: 2 }),
        ("under_way", ProposalError::ChangeInProgress(300)),
        ("below_floor", ProposalError::BelowFallback),
        ("no_meet", ProposalError::NoIntersection(no_intersection)),
    ]
}

const TAG: VersionTag = VersionTag {
    version: 300,
    complete: true,
};

#[test]
fn rules_and_versions_in_postcard_stay_byte_for_byte() {
    let mut file = GoldenFile::open("postcard.txt");
    for (name, effect) in effects() {
        file.postcard(&format!("effect.{name}"), &effect);
    }
    file.postcard("rules", &rules());
    file.postcard("rules.empty", &Rules::default());
    file.postcard("proposal", &proposal());
    file.postcard("tag", &TAG);
    file.postcard(
        "terms",
        &LeaseTerms {
            lease: 6_000_000,
            max_drift: 121_213,
        },
    );
    for (name, versions) in versions() {
        file.postcard(&format!("versions.{name}"), &versions);
    }
    file.postcard(
        "ask",
        &LeaseRequest {
            incarnation: 5_000,
            sequence: 300,
            acts_on: Some(TAG),
        },
    );
    file.postcard(
        "ask.on_the_floor",
        &LeaseRequest {
            incarnation: 5_000,
            sequence: 1,
            acts_on: None,
        },
    );
    file.postcard(
        "grant",
        &Grant {
            tag: TAG,
            rules: rules(),
            lease: 6_000_000,
        },
    );
    for (name, error) in proposal_errors() {
        file.postcard(&format!("refusal.{name}"), &error);
    }
    file.finish();
}

#[test]
fn rules_and_leases_in_json_stay_byte_for_byte() {
    let mut file = GoldenFile::open("json.txt");
    for (name, effect) in effects() {
        file.json(&format!("effect.{name}"), &effect);
    }
    file.json("rules", &rules());
    file.json("rules.empty", &Rules::default());
    file.json("tag", &TAG);
    file.json(
        "grant",
        &Grant {
            tag: TAG,
            rules: rules(),
            lease: 6_000_000,
        },
    );
    file.finish();
}

#[test]
fn rules_without_optional_tables_are_read_and_documents_with_unknown_or_missing_keys_are_rejected()
{
    assert_eq!(
        serde_json::from_str::<Rules>("{}").expect("read"),
        Rules::default()
    );
    for unknown in [r#"{"class":{}}"#, r#"{"limits":{},"rules":{}}"#] {
        assert!(serde_json::from_str::<Rules>(unknown).is_err(), "{unknown}");
    }
    for unknown in [r#"{"version":1,"whole":true,"step":1}"#, r#"{"version":1}"#] {
        assert!(
            serde_json::from_str::<VersionTag>(unknown).is_err(),
            "{unknown}"
        );
    }
}

/// The registry's HTTP API returns these error texts to its callers.
#[test]
fn proposal_error_texts_sent_to_clients_stay_unchanged() {
    let texts = proposal_errors().map(|(_, error)| error.to_string());
    assert_eq!(
        texts,
        [
            "version 300 holds, the proposal was made from 2",
            "version 300 may not be in force everywhere yet",
            "the floor is not within the rules",
            "class receipts is kept in order by reader in one and by shop in the other",
        ]
    );
}

/// Guards against a change of the width of a number: the maximum values would then be encoded in
/// another form, or fail to decode.
#[test]
fn the_largest_numbers_stay_byte_for_byte() {
    let max = u64::MAX;
    let widest_class = ClassRules {
        max_attempts: u32::MAX,
        key_backoff_ms: max,
        ..class(Effect::IdempotencyKey { window_ms: max })
    };
    let zone_class = ClassRules {
        max_attempts: 1,
        ..class(Effect::IdempotencyKeyInZone { window_ms: max })
    };
    let rules = Rules {
        classes: [
            ("widest".to_string(), widest_class),
            ("zone".to_string(), zone_class),
        ]
        .into(),
        limits: [("calls".to_string(), max)].into(),
    };
    let tag = VersionTag {
        version: max,
        complete: false,
    };
    let mut file = GoldenFile::open("largest.txt");
    file.postcard(
        "grant",
        &Grant {
            tag,
            rules: rules.clone(),
            lease: max,
        },
    );
    file.postcard("proposal", &Proposal { from: max, rules });
    file.postcard(
        "terms",
        &LeaseTerms {
            lease: max,
            max_drift: max,
        },
    );
    file.postcard(
        "ask",
        &LeaseRequest {
            incarnation: max,
            sequence: max,
            acts_on: Some(tag),
        },
    );
    file.postcard(
        "refusal.stale",
        &ProposalError::Stale {
            now: max,
            from: max,
        },
    );
    file.postcard("refusal.under_way", &ProposalError::ChangeInProgress(max));
    file.finish();
}
