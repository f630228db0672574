//! Rules: a document that states what a sender may do, and the comparison of two such documents.
//!
//! A document is within another ([`Rules::is_within`]) if it allows nothing that the other forbids,
//! field by field. Two documents contradict each other if neither is within the other: each then
//! allows something that the other forbids. The intersection takes the stricter value of each
//! field, so it is within both. Two documents that order the same class by keys of different
//! meanings have no intersection.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

/// Effect that senders may assume for a repeated attempt of a message at its destination.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// The messages are not idempotent: a message that the destination may have processed is not
    /// sent again.
    #[serde(rename = "at_most_once")]
    NonIdempotent,
    /// The destination drops repeats with the same idempotency key for a limited time, but only at
    /// endpoints of the same zone.
    #[serde(rename = "deduplicated_in_zone")]
    IdempotencyKeyInZone {
        /// Time in milliseconds for which the destination drops repeats.
        window_ms: u64,
    },
    /// The destination drops repeats with the same idempotency key for a limited time, at all of
    /// its endpoints.
    #[serde(rename = "deduplicated")]
    IdempotencyKey {
        /// Time in milliseconds for which the destination drops repeats.
        window_ms: u64,
    },
    /// The messages are idempotent: attempts may be repeated.
    Idempotent,
}

impl Effect {
    /// Returns a rank for the scope in which attempts may be repeated, and the time in milliseconds
    /// for which they may. A higher value of either is more permissive.
    fn scope_and_window_ms(self) -> (u8, u64) {
        match self {
            Effect::NonIdempotent => (0, 0),
            Effect::IdempotencyKeyInZone { window_ms } => (1, window_ms),
            Effect::IdempotencyKey { window_ms } => (2, window_ms),
            Effect::Idempotent => (3, u64::MAX),
        }
    }

    fn is_within(self, other: Effect) -> bool {
        let (scope, window_ms) = self.scope_and_window_ms();
        let (other_scope, other_window_ms) = other.scope_and_window_ms();
        scope <= other_scope && window_ms <= other_window_ms
    }

    /// Returns the most permissive effect that is within both: it has the narrower scope and the
    /// shorter window.
    fn intersection(self, other: Effect) -> Effect {
        let (scope, window_ms) = self.scope_and_window_ms();
        let (other_scope, other_window_ms) = other.scope_and_window_ms();
        let window_ms = window_ms.min(other_window_ms);
        match scope.min(other_scope) {
            0 => Effect::NonIdempotent,
            1 => Effect::IdempotencyKeyInZone { window_ms },
            2 => Effect::IdempotencyKey { window_ms },
            _ => Effect::Idempotent,
        }
    }
}

/// Number of attempts to deliver one message.
pub type Attempts = u32;

/// Names of the limits that rules may set for each sender: calls in flight, and pending messages.
pub const LIMIT_NAMES: [&str; 2] = ["calls", "messages"];
/// Maximum number of classes in one document.
const MAX_CLASSES: usize = 256;
/// Maximum length in bytes of a class name, and of the `keyed_by` text of an ordered class.
const MAX_NAME_BYTES: usize = 128;

/// Rules of one class of messages.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassRules {
    /// Whether senders accept new messages of the class from clients.
    pub accepted: bool,
    /// Most permissive effect that senders may assume for a repeated attempt.
    pub effect: Effect,
    /// Maximum number of attempts for one message.
    #[serde(rename = "attempts")]
    pub max_attempts: Attempts,
    /// Whether messages of one key are delivered one at a time, in order.
    pub in_order: bool,
    /// What the keys of an ordered class identify, for example a reader. Messages can't be kept in
    /// order by keys of two meanings at once.
    #[serde(rename = "keyed_by")]
    pub key_meaning: String,
    /// Minimum time in milliseconds before the next message of a key is sent after an attempt that
    /// the destination may still be processing.
    #[serde(rename = "gap_ms")]
    pub key_backoff_ms: u64,
}

/// Document that states what a sender may do.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// Rules of each class, by class name. Senders accept no new messages of other classes, and
    /// send no messages of other classes.
    #[serde(default)]
    pub classes: BTreeMap<String, ClassRules>,
    /// Maximum number that one sender may have at the same time, by a name of [`LIMIT_NAMES`]. A
    /// name that is absent sets no limit.
    #[serde(default)]
    pub limits: BTreeMap<String, u64>,
}

/// Error: two documents order the same class by keys of different meanings.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error("class {class} is kept in order by {one} in one and by {other} in the other")]
pub struct NoIntersection {
    /// Name of the class.
    pub class: String,
    /// What the keys of the class identify in the first document.
    pub one: String,
    /// What the keys of the class identify in the second document.
    pub other: String,
}

/// Error: a document contains an invalid value.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{location}: {problem}")]
pub struct InvalidRules {
    /// Dotted path of the invalid value, such as `limits.calls`.
    pub location: String,
    /// Description of the problem.
    pub problem: &'static str,
}

impl ClassRules {
    fn is_within(&self, other: &ClassRules) -> bool {
        self.accepted <= other.accepted
            && self.effect.is_within(other.effect)
            && self.max_attempts <= other.max_attempts
            && self.in_order >= other.in_order
            && (!self.in_order || !other.in_order || self.key_meaning == other.key_meaning)
            && self.key_backoff_ms >= other.key_backoff_ms
    }

    fn intersection(&self, other: &ClassRules, name: &str) -> Result<ClassRules, NoIntersection> {
        if self.in_order && other.in_order && self.key_meaning != other.key_meaning {
            return Err(NoIntersection {
                class: name.to_string(),
                one: self.key_meaning.clone(),
                other: other.key_meaning.clone(),
            });
        }
        let ordered = if self.in_order { self } else { other };
        Ok(ClassRules {
            accepted: self.accepted && other.accepted,
            effect: self.effect.intersection(other.effect),
            max_attempts: self.max_attempts.min(other.max_attempts),
            in_order: self.in_order || other.in_order,
            key_meaning: ordered.key_meaning.clone(),
            key_backoff_ms: self.key_backoff_ms.max(other.key_backoff_ms),
        })
    }
}

impl Rules {
    /// Checks the number of classes and the names of classes and limits. Attempts, windows and
    /// limits must be above zero, and an ordered class must say what its keys identify.
    ///
    /// # Errors
    /// Returns the location of the first invalid value.
    pub fn validate(&self) -> Result<(), InvalidRules> {
        let require = |condition: bool, location: &str, problem| {
            if condition {
                Ok(())
            } else {
                Err(InvalidRules {
                    location: location.to_string(),
                    problem,
                })
            }
        };
        require(
            self.classes.len() <= MAX_CLASSES,
            "classes",
            "more than 256",
        )?;
        for (name, class) in &self.classes {
            let has_valid_length = |text: &str| (1..=MAX_NAME_BYTES).contains(&text.len());
            let location = |key: &str| format!("classes.{name}.{key}");
            require(
                has_valid_length(name),
                "classes",
                "a name is empty or longer than 128 bytes",
            )?;
            require(
                class.max_attempts > 0,
                &location("attempts"),
                "must be above zero",
            )?;
            let has_key_meaning = !class.in_order || has_valid_length(&class.key_meaning);
            require(
                has_key_meaning,
                &location("keyed_by"),
                "a class in order names what its keys mean",
            )?;
            let window_ms = match class.effect {
                Effect::IdempotencyKeyInZone { window_ms }
                | Effect::IdempotencyKey { window_ms } => window_ms,
                Effect::NonIdempotent | Effect::Idempotent => 1,
            };
            require(
                window_ms > 0,
                &location("effect"),
                "its window must be above zero",
            )?;
        }
        for (name, max) in &self.limits {
            let location = format!("limits.{name}");
            require(
                LIMIT_NAMES.contains(&name.as_str()),
                &location,
                "no such limit",
            )?;
            require(*max > 0, &location, "must be above zero")?;
        }
        Ok(())
    }

    /// Returns whether `other` allows everything that these rules allow.
    pub fn is_within(&self, other: &Rules) -> bool {
        self.classes.iter().all(|(name, class)| {
            other
                .classes
                .get(name)
                .is_some_and(|other| class.is_within(other))
        }) && other
            .limits
            .iter()
            .all(|(name, max)| self.limits.get(name).is_some_and(|own| own <= max))
    }

    /// Returns whether each of the two rules allows something that the other forbids.
    pub fn contradicts(&self, other: &Rules) -> bool {
        !self.is_within(other) && !other.is_within(self)
    }

    /// Returns the most permissive rules that are within both.
    ///
    /// # Errors
    /// Returns the first class that both order, but by keys of different meanings.
    pub fn intersection(&self, other: &Rules) -> Result<Rules, NoIntersection> {
        let mut intersection = Rules::default();
        for (name, class) in &self.classes {
            if let Some(other) = other.classes.get(name) {
                intersection
                    .classes
                    .insert(name.clone(), class.intersection(other, name)?);
            }
        }
        for (name, max) in self.limits.iter().chain(&other.limits) {
            let limit = intersection.limits.entry(name.clone()).or_insert(*max);
            *limit = (*limit).min(*max);
        }
        Ok(intersection)
    }
}

#[cfg(test)]
mod tests;
