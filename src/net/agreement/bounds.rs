//! What agreed rules allow, in the decisions' own terms.

use message_sender::{Bounds, ClassBound, Effect, MILLISECOND, Micros};
use versioned_config::{ClassRules, Effect as AgreedEffect, Rules};

/// Converts rules to the bounds that the decisions keep to.
pub fn bounds(rules: &Rules) -> Bounds {
    let classes = rules
        .classes
        .iter()
        .map(|(name, class)| (name.clone(), class_bound(class)));
    let limit = |name: &str| {
        let limit = rules.limits.get(name)?;
        usize::try_from(*limit).ok()
    };
    Bounds {
        classes: classes.collect(),
        calls: limit("calls"),
        messages: limit("messages"),
    }
}

fn class_bound(class: &ClassRules) -> ClassBound {
    ClassBound {
        accepted: class.accepted,
        effect: effect(class.effect),
        attempts: class.max_attempts as usize,
        ordered: class.in_order,
        key_rest: micros(class.key_backoff_ms),
    }
}

fn effect(effect: AgreedEffect) -> Effect {
    match effect {
        AgreedEffect::NonIdempotent => Effect::Unsafe,
        AgreedEffect::IdempotencyKeyInZone { window_ms } => Effect::Keyed {
            window: micros(window_ms),
            zone_only: true,
        },
        AgreedEffect::IdempotencyKey { window_ms } => Effect::Keyed {
            window: micros(window_ms),
            zone_only: false,
        },
        AgreedEffect::Idempotent => Effect::Repeatable,
    }
}

fn micros(ms: u64) -> Micros {
    Micros::try_from(ms)
        .unwrap_or(Micros::MAX)
        .saturating_mul(MILLISECOND)
}
