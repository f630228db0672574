//! What agreed rules allow, in the decisions' own terms.

use message_sender::{ClassBounds, Effect, MILLISECOND, Micros, RuleBounds};
use versioned_config::{ClassRules, Effect as AgreedEffect, Rules};

/// Converts rules to the bounds that the decisions keep to.
pub fn bounds(rules: &Rules) -> RuleBounds {
    let classes = rules
        .classes
        .iter()
        .map(|(name, class)| (name.clone(), class_bound(class)));
    let limit = |name: &str| {
        let limit = rules.limits.get(name)?;
        usize::try_from(*limit).ok()
    };
    RuleBounds {
        classes: classes.collect(),
        max_calls: limit("calls"),
        max_messages: limit("messages"),
    }
}

fn class_bound(class: &ClassRules) -> ClassBounds {
    ClassBounds {
        accepted: class.accepted,
        effect: effect(class.effect),
        max_attempts: class.max_attempts as usize,
        ordered: class.in_order,
        key_backoff: micros(class.key_backoff_ms),
    }
}

fn effect(effect: AgreedEffect) -> Effect {
    match effect {
        AgreedEffect::NonIdempotent => Effect::NonIdempotent,
        AgreedEffect::IdempotencyKeyInZone { window_ms } => Effect::IdempotencyKey {
            window: micros(window_ms),
            same_zone_only: true,
        },
        AgreedEffect::IdempotencyKey { window_ms } => Effect::IdempotencyKey {
            window: micros(window_ms),
            same_zone_only: false,
        },
        AgreedEffect::Idempotent => Effect::Idempotent,
    }
}

fn micros(ms: u64) -> Micros {
    Micros::try_from(ms)
        .unwrap_or(Micros::MAX)
        .saturating_mul(MILLISECOND)
}
