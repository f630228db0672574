use super::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

fn class(random: &mut Pcg64) -> ClassRules {
    let window_ms = random.random_range(1..4);
    let effects = [
        Effect::NonIdempotent,
        Effect::IdempotencyKeyInZone { window_ms },
        Effect::IdempotencyKey { window_ms },
        Effect::Idempotent,
    ];
    ClassRules {
        accepted: random.random(),
        effect: effects[random.random_range(0..4)],
        max_attempts: random.random_range(1..4),
        in_order: random.random(),
        key_meaning: "reader".to_string(),
        key_backoff_ms: random.random_range(0..3),
    }
}

fn rules(random: &mut Pcg64) -> Rules {
    let mut rules = Rules::default();
    for name in ["a", "b"] {
        if random.random() {
            rules.classes.insert(name.to_string(), class(random));
        }
        if random.random() {
            rules
                .limits
                .insert(name.to_string(), random.random_range(1..4));
        }
    }
    rules
}

#[test]
fn intersection_of_random_rules_is_the_most_permissive_within_both() {
    let mut random = Pcg64::seed_from_u64(3);
    let mut within_both = 0;
    for _ in 0..20_000 {
        let (one, other, third) = (rules(&mut random), rules(&mut random), rules(&mut random));
        let intersection = one.intersection(&other).expect("one meaning of keys");
        assert!(
            intersection.is_within(&one) && intersection.is_within(&other),
            "{one:?} {other:?} {intersection:?}"
        );
        let reversed = other.intersection(&one).expect("one meaning of keys");
        assert!(
            intersection.is_within(&reversed) && reversed.is_within(&intersection),
            "the same either way"
        );
        assert!(one.is_within(&one) && !one.contradicts(&one));
        if third.is_within(&one) && third.is_within(&other) {
            within_both += 1;
            assert!(
                third.is_within(&intersection),
                "{third:?} is within both and not within {intersection:?}"
            );
        }
        if one.is_within(&other) && other.is_within(&third) {
            assert!(one.is_within(&third));
        }
    }
    assert!(within_both > 50, "{within_both} within both");
}

#[test]
fn validating_invalid_rules_returns_the_location_of_the_error() {
    let valid = r#"{"classes":{"c":{"accepted":true,"effect":{"deduplicated":{"window_ms":5}},"attempts":3,
        "in_order":true,"keyed_by":"reader","gap_ms":0}},"limits":{"calls":4}}"#;
    let parse_and_validate =
        |text: &str| serde_json::from_str::<Rules>(text).expect(text).validate();
    assert_eq!(parse_and_validate(valid), Ok(()));
    for (valid_text, invalid_text, location) in [
        ("\"attempts\":3", "\"attempts\":0", "classes.c.attempts"),
        ("\"reader\"", "\"\"", "classes.c.keyed_by"),
        ("\"window_ms\":5", "\"window_ms\":0", "classes.c.effect"),
        ("\"calls\":4", "\"calls\":0", "limits.calls"),
        ("\"calls\":4", "\"cals\":4", "limits.cals"),
    ] {
        assert_eq!(
            parse_and_validate(&valid.replace(valid_text, invalid_text))
                .map_err(|error| error.location),
            Err(location.to_string())
        );
    }
}

#[test]
fn rules_with_one_stricter_class_field_are_within_the_original_rules() {
    let base = ClassRules {
        accepted: true,
        effect: Effect::IdempotencyKey { window_ms: 10_000 },
        max_attempts: 12,
        in_order: true,
        key_meaning: "reader".to_string(),
        key_backoff_ms: 300,
    };
    let rules = |class: ClassRules| Rules {
        classes: [("c".to_string(), class)].into(),
        ..Rules::default()
    };
    for stricter in [
        ClassRules {
            accepted: false,
            ..base.clone()
        },
        ClassRules {
            effect: Effect::NonIdempotent,
            ..base.clone()
        },
        ClassRules {
            effect: Effect::IdempotencyKey { window_ms: 5_000 },
            ..base.clone()
        },
        ClassRules {
            effect: Effect::IdempotencyKeyInZone { window_ms: 10_000 },
            ..base.clone()
        },
        ClassRules {
            max_attempts: 3,
            ..base.clone()
        },
        ClassRules {
            key_backoff_ms: 400,
            ..base.clone()
        },
    ] {
        let (strict, free) = (rules(stricter), rules(base.clone()));
        assert!(
            strict.is_within(&free) && !free.is_within(&strict),
            "{strict:?}"
        );
        assert_eq!(strict.intersection(&free), Ok(strict));
    }
    let free = rules(ClassRules {
        in_order: false,
        ..base.clone()
    });
    assert!(rules(base.clone()).is_within(&free) && !free.is_within(&rules(base.clone())));
    let other = rules(ClassRules {
        key_meaning: "shop".to_string(),
        ..base.clone()
    });
    assert!(
        other
            .intersection(&rules(base))
            .is_err_and(|error| error.class == "c")
    );
}
