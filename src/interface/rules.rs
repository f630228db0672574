//! What a class of message allows, and the rules on which the senders agree.

use super::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a repeat of a message does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// May be sent any number of times.
    #[serde(rename = "Repeatable")]
    Idempotent,
    /// The destination drops a repeat inside `window`, counted from the first send that may have run.
    #[serde(rename = "Keyed")]
    IdempotencyKey {
        /// How long the key is remembered.
        window: Micros,
        /// Only endpoints of the same zone know of each other's keys.
        #[serde(rename = "zone_only")]
        same_zone_only: bool,
    },
    /// Must never run twice.
    #[serde(rename = "Unsafe")]
    NonIdempotent,
}

impl Effect {
    /// The most permissive effect that is no more permissive than either: what both allow.
    pub fn intersection(self, other: Effect) -> Effect {
        match (self, other) {
            (Effect::NonIdempotent, _) | (_, Effect::NonIdempotent) => Effect::NonIdempotent,
            (Effect::Idempotent, stricter) | (stricter, Effect::Idempotent) => stricter,
            (
                Effect::IdempotencyKey {
                    window,
                    same_zone_only,
                },
                Effect::IdempotencyKey {
                    window: other_window,
                    same_zone_only: other_same_zone_only,
                },
            ) => Effect::IdempotencyKey {
                window: window.min(other_window),
                same_zone_only: same_zone_only || other_same_zone_only,
            },
        }
    }
}

/// What agreed rules allow a class at most; the stricter of this and its own terms binds what is sent.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ClassBounds {
    /// New messages are accepted.
    pub accepted: bool,
    /// What a repeat does.
    pub effect: Effect,
    /// Attempts for one message.
    #[serde(rename = "attempts")]
    pub max_attempts: usize,
    /// New messages of one key go one at a time, in order.
    pub ordered: bool,
    /// Backoff of a key after an attempt whose end is not sure.
    #[serde(rename = "key_rest")]
    pub key_backoff: Micros,
}

impl ClassBounds {
    /// Of a class that the rules do not name.
    pub const NOTHING: ClassBounds = ClassBounds {
        accepted: false,
        effect: Effect::NonIdempotent,
        max_attempts: 0,
        ordered: true,
        key_backoff: 0,
    };
}

/// What agreed rules allow at most.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RuleBounds {
    /// By name; a class that is not named may do nothing.
    pub classes: BTreeMap<String, ClassBounds>,
    /// Calls that may be in flight; none: as the settings say.
    #[serde(rename = "calls")]
    pub max_calls: Option<usize>,
    /// Messages that may be pending; none: as the settings say.
    #[serde(rename = "messages")]
    pub max_messages: Option<usize>,
}

/// Bounds that hold for the term of a lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "(RuleBounds, Micros)", into = "(RuleBounds, Micros)")]
pub struct LeasedBounds {
    /// What the lease allows.
    pub bounds: RuleBounds,
    /// When it expires.
    pub until: Micros,
}

impl From<(RuleBounds, Micros)> for LeasedBounds {
    fn from((bounds, until): (RuleBounds, Micros)) -> Self {
        LeasedBounds { bounds, until }
    }
}

impl From<LeasedBounds> for (RuleBounds, Micros) {
    fn from(leased: LeasedBounds) -> Self {
        (leased.bounds, leased.until)
    }
}

/// Rules on which the senders agree.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AgreedRules {
    /// What holds while the lease lasts.
    pub leased: Option<LeasedBounds>,
    /// What holds without a lease.
    #[serde(rename = "floor")]
    pub fallback: RuleBounds,
}

impl AgreedRules {
    /// What holds at a time.
    pub fn at(&self, now: Micros) -> &RuleBounds {
        match &self.leased {
            Some(leased) if now < leased.until => &leased.bounds,
            _ => &self.fallback,
        }
    }
}
