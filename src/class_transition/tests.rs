//! Tests which terms a message gets while configurations change.

use super::*;
use crate::interface::SECOND;

const KEYED: Effect = Effect::IdempotencyKey {
    window: 12 * SECOND,
    same_zone_only: false,
};
const KEYED_IN_ZONE: Effect = Effect::IdempotencyKey {
    window: 4 * SECOND,
    same_zone_only: true,
};

fn class(name: &str, effect: Effect) -> Class {
    Class::new(name, effect, 4 * SECOND, 20 * SECOND)
}

fn set(classes: &[Class], max_attempts: usize) -> ClassSet {
    ClassSet {
        classes: classes.to_vec(),
        max_attempts,
    }
}

fn order(effect: Effect) -> ClassSet {
    set(&[class("order", effect)], 12)
}

fn effect_at(transition: &ClassTransition, at: Micros) -> Option<Effect> {
    transition
        .terms("order", at)
        .map(|terms| terms.class.effect)
}

#[test]
fn both_terms_restrict_messages_until_the_earlier_ones_can_no_longer_hold() {
    for (before, after) in [
        (Effect::NonIdempotent, Effect::Idempotent),
        (Effect::Idempotent, Effect::NonIdempotent),
        (KEYED, Effect::Idempotent),
        (KEYED, KEYED_IN_ZONE),
    ] {
        let mut transition = ClassTransition::new(order(before));
        assert!(transition.change(order(after), SECOND));
        let both = Some(before.intersection(after));
        assert_eq!(effect_at(&transition, SECOND), both);
        assert_eq!(effect_at(&transition, SECOND + TRANSITION_TIME - 1), both);
        assert_eq!(
            effect_at(&transition, SECOND + TRANSITION_TIME),
            Some(after)
        );
    }
}

#[test]
fn order_and_attempts_are_restricted_by_both_terms_too() {
    let ordered = Class {
        ordered: true,
        ..class("order", Effect::Idempotent)
    };
    let unordered = class("order", Effect::Idempotent);
    for (before, after) in [
        (
            set(std::slice::from_ref(&ordered), 3),
            set(std::slice::from_ref(&unordered), 12),
        ),
        (
            set(std::slice::from_ref(&unordered), 12),
            set(std::slice::from_ref(&ordered), 3),
        ),
    ] {
        let mut transition = ClassTransition::new(before);
        transition.change(after.clone(), 0);
        let during = transition.terms("order", 0).expect("named");
        assert!(during.class.ordered);
        assert_eq!(during.max_attempts, 3);
        let afterwards = transition.terms("order", TRANSITION_TIME).expect("named");
        assert_eq!(afterwards.class, after.classes[0]);
        assert_eq!(afterwards.max_attempts, after.max_attempts);
    }
}

#[test]
fn changes_in_a_row_keep_each_earlier_term_for_its_own_time() {
    let mut transition = ClassTransition::new(order(Effect::NonIdempotent));
    transition.change(order(KEYED), 0);
    transition.change(order(Effect::Idempotent), SECOND);
    assert_eq!(
        effect_at(&transition, TRANSITION_TIME - 1),
        Some(Effect::NonIdempotent)
    );
    assert_eq!(effect_at(&transition, TRANSITION_TIME), Some(KEYED));
    assert_eq!(
        effect_at(&transition, SECOND + TRANSITION_TIME),
        Some(Effect::Idempotent)
    );
}

#[test]
fn class_that_is_dropped_and_added_again_keeps_its_stricter_terms_for_their_time() {
    let mut transition = ClassTransition::new(order(Effect::NonIdempotent));
    transition.change(set(&[class("other", Effect::Idempotent)], 12), 0);
    assert_eq!(effect_at(&transition, SECOND), Some(Effect::NonIdempotent));
    transition.change(order(Effect::Idempotent), SECOND);
    assert_eq!(effect_at(&transition, SECOND), Some(Effect::NonIdempotent));
    assert_eq!(
        effect_at(&transition, TRANSITION_TIME),
        Some(Effect::Idempotent)
    );
    let names = |at| -> Vec<String> {
        let classes = transition.named_classes(at).into_iter();
        classes.map(|named| named.class.name).collect()
    };
    assert_eq!(names(SECOND), ["order", "other"]);
    assert_eq!(names(SECOND + TRANSITION_TIME), ["order"]);
}

#[test]
fn message_without_key_is_accepted_and_not_repeated_while_the_class_becomes_keyed() {
    let mut transition = ClassTransition::new(order(Effect::Idempotent));
    transition.change(order(KEYED), 0);
    let key_required = |at| transition.named_classes(at)[0].key_required;
    assert!(!key_required(TRANSITION_TIME - 1));
    assert!(key_required(TRANSITION_TIME));
    let terms = transition.terms("order", 0).expect("named");
    assert_eq!(terms.class.effect, KEYED);
    let without_key = terms.without_idempotency_key();
    assert_eq!(without_key.class.effect, Effect::NonIdempotent);
}

#[test]
fn attempts_are_restricted_by_configurations_that_do_not_name_the_class_too() {
    let other = class("other", Effect::Idempotent);
    let order = class("order", Effect::Idempotent);
    for (before, after) in [
        (
            set(std::slice::from_ref(&other), 3),
            set(std::slice::from_ref(&order), 12),
        ),
        (
            set(std::slice::from_ref(&order), 12),
            set(std::slice::from_ref(&other), 3),
        ),
    ] {
        let mut transition = ClassTransition::new(before);
        transition.change(after, 0);
        let terms = transition.terms("order", 0).expect("named");
        assert_eq!(terms.max_attempts, 3);
    }
}

#[test]
fn many_changes_in_a_row_are_merged_without_loosening_a_term() {
    let mut transition = ClassTransition::new(order(Effect::NonIdempotent));
    for attempts in 2..20 {
        let next = set(&[class("order", Effect::Idempotent)], attempts);
        transition.change(next, attempts as Micros);
    }
    assert_eq!(transition.earlier.len(), MAX_EARLIER);
    let terms = transition.terms("order", 20).expect("named");
    assert_eq!(terms.class.effect, Effect::NonIdempotent);
    assert_eq!(terms.max_attempts, 2);
    assert!(transition.end_expired(20 + TRANSITION_TIME));
    assert_eq!(effect_at(&transition, 20), Some(Effect::Idempotent));
}

#[test]
fn unchanged_terms_and_a_clock_set_back_prolong_nothing() {
    let mut transition = ClassTransition::new(order(Effect::NonIdempotent));
    assert!(!transition.change(order(Effect::NonIdempotent), 0));
    transition.change(order(Effect::Idempotent), 100 * SECOND);
    assert!(!transition.change(order(Effect::Idempotent), 101 * SECOND));
    assert!(!transition.end_expired(0));
    assert!(transition.end_expired(TRANSITION_TIME));
}
