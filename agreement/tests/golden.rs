//! What is stored or sent keeps its form: rules, versions, leases, and the errors that replicas send to each other.

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

/// One class of each effect, and both limits.
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

fn floor() -> Rules {
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

/// The first version; a change to the second that is under way; and the second.
fn versions() -> [(&'static str, VersionedRules); 3] {
    let first = VersionedRules::new(floor(), rules()).expect("above the floor");
    let mut under_way = first.clone();
    under_way.propose(proposal()).expect("taken");
    let mut second = under_way.clone();
    assert!(second.advance(2));
    [
        ("first", first),
        ("under_way", under_way),
        ("second", second),
    ]
}

fn refusals() -> [(&'static str, ProposalError); 4] {
    let no_meet = NoIntersection {
        class: "receipts".to_string(),
        one: "reader".to_string(),
        other: "shop".to_string(),
    };
    [
        ("stale", ProposalError::Stale { now: 300, from: 2 }),
        ("under_way", ProposalError::ChangeInProgress(300)),
        ("below_floor", ProposalError::BelowFallback),
        ("no_meet", ProposalError::NoIntersection(no_meet)),
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
    for (name, refusal) in refusals() {
        file.postcard(&format!("refusal.{name}"), &refusal);
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
fn a_rules_document_without_its_optional_tables_is_read_and_an_unknown_key_is_not() {
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

/// Clients see these texts: the registry answers with them.
#[test]
fn the_texts_of_refusals_stay() {
    let texts = refusals().map(|(_, refusal)| refusal.to_string());
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

/// A field of another width would read or write some of these in another form, or not at all.
#[test]
fn the_largest_numbers_stay_byte_for_byte() {
    let most = u64::MAX;
    let widest = ClassRules {
        max_attempts: u32::MAX,
        key_backoff_ms: most,
        ..class(Effect::IdempotencyKey { window_ms: most })
    };
    let zone = ClassRules {
        max_attempts: 1,
        ..class(Effect::IdempotencyKeyInZone { window_ms: most })
    };
    let rules = Rules {
        classes: [("widest".to_string(), widest), ("zone".to_string(), zone)].into(),
        limits: [("calls".to_string(), most)].into(),
    };
    let tag = VersionTag {
        version: most,
        complete: false,
    };
    let mut file = GoldenFile::open("largest.txt");
    file.postcard(
        "grant",
        &Grant {
            tag,
            rules: rules.clone(),
            lease: most,
        },
    );
    file.postcard("proposal", &Proposal { from: most, rules });
    file.postcard(
        "terms",
        &LeaseTerms {
            lease: most,
            max_drift: most,
        },
    );
    file.postcard(
        "ask",
        &LeaseRequest {
            incarnation: most,
            sequence: most,
            acts_on: Some(tag),
        },
    );
    file.postcard(
        "refusal.stale",
        &ProposalError::Stale {
            now: most,
            from: most,
        },
    );
    file.postcard("refusal.under_way", &ProposalError::ChangeInProgress(most));
    file.finish();
}
