//! What a sender may do, as a document, and when two documents contradict each other.
//!
//! Every key has an order from strict to free. One document is no freer than another ([`Rules::within`]) if that holds
//! for each key; two contradict each other where neither is within the other, for then each allows what the other
//! forbids. The intersection takes the stricter of both for each key, so it is within both.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

/// How often a message of a class may take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Once: what may have run is not sent again.
    #[serde(rename = "at_most_once")]
    NonIdempotent,
    /// Repeats are dropped for so long, at the same zone's endpoints only.
    #[serde(rename = "deduplicated_in_zone")]
    IdempotencyKeyInZone {
        /// How long, ms.
        window_ms: u64,
    },
    /// Repeats are dropped for so long at all endpoints of the destination.
    #[serde(rename = "deduplicated")]
    IdempotencyKey {
        /// How long, ms.
        window_ms: u64,
    },
    /// It may be repeated freely.
    Idempotent,
}

impl Effect {
    /// Where repeats are dropped, and how long, ms: more of either allows more.
    fn freedom(self) -> (u8, u64) {
        match self {
            Effect::NonIdempotent => (0, 0),
            Effect::IdempotencyKeyInZone { window_ms } => (1, window_ms),
            Effect::IdempotencyKey { window_ms } => (2, window_ms),
            Effect::Idempotent => (3, u64::MAX),
        }
    }

    fn is_within(self, other: Effect) -> bool {
        let (scope, window) = self.freedom();
        let (other_scope, other_window) = other.freedom();
        scope <= other_scope && window <= other_window
    }

    /// The freest that is within both: the narrower scope and the shorter window.
    fn intersection(self, other: Effect) -> Effect {
        let (scope, window) = self.freedom();
        let (other_scope, other_window) = other.freedom();
        let window_ms = window.min(other_window);
        match scope.min(other_scope) {
            0 => Effect::NonIdempotent,
            1 => Effect::IdempotencyKeyInZone { window_ms },
            2 => Effect::IdempotencyKey { window_ms },
            _ => Effect::Idempotent,
        }
    }
}

/// Attempts that a message may have.
pub type Attempts = u32;

/// What can be limited for each sender: calls in flight, and pending messages.
pub const LIMIT_NAMES: [&str; 2] = ["calls", "messages"];
/// Classes that a document may name.
const CLASSES_MOST: usize = 256;
/// Longest name of a class or of what keys mean.
const NAME_MOST: usize = 128;

/// The rules of one class.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassRules {
    /// Clients may hand messages in.
    pub accepted: bool,
    /// How often one may take effect.
    pub effect: Effect,
    /// Attempts of one message at most.
    #[serde(rename = "attempts")]
    pub max_attempts: Attempts,
    /// Messages of one key go one at a time, in order.
    pub in_order: bool,
    /// What the keys mean; keys of two meanings can't be kept in one order.
    #[serde(rename = "keyed_by")]
    pub key_meaning: String,
    /// Pause of a key after an attempt that may still run, in ms.
    #[serde(rename = "gap_ms")]
    pub key_backoff_ms: u64,
}

/// A document of rules.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// By name; a class that is not named is not accepted, and nothing of it is sent.
    #[serde(default)]
    pub classes: BTreeMap<String, ClassRules>,
    /// What one sender may have at once, by [`LIMIT_NAMES`]. A limit that is not named is none.
    #[serde(default)]
    pub limits: BTreeMap<String, u64>,
}

/// Why two documents have no intersection.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error("class {class} is kept in order by {one} in one and by {other} in the other")]
pub struct NoIntersection {
    /// The class.
    pub class: String,
    /// What its keys mean in one.
    pub one: String,
    /// What they mean in the other.
    pub other: String,
}

/// Why a document is none that senders can act on.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{location}: {problem}")]
pub struct InvalidRules {
    /// Where.
    pub location: String,
    /// What is wrong.
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
    /// Checks that the document makes sense.
    ///
    /// # Errors
    /// Names the first key that does not.
    pub fn validate(&self) -> Result<(), InvalidRules> {
        let holds = |holds: bool, place: &str, problem| {
            if holds {
                Ok(())
            } else {
                Err(InvalidRules {
                    location: place.to_string(),
                    problem,
                })
            }
        };
        holds(
            self.classes.len() <= CLASSES_MOST,
            "classes",
            "more than 256",
        )?;
        for (name, class) in &self.classes {
            let named = |text: &str| (1..=NAME_MOST).contains(&text.len());
            let place = |key: &str| format!("classes.{name}.{key}");
            holds(
                named(name),
                "classes",
                "a name is empty or longer than 128 bytes",
            )?;
            holds(
                class.max_attempts > 0,
                &place("attempts"),
                "must be above zero",
            )?;
            let keyed = !class.in_order || named(&class.key_meaning);
            holds(
                keyed,
                &place("keyed_by"),
                "a class in order names what its keys mean",
            )?;
            let window = match class.effect {
                Effect::IdempotencyKeyInZone { window_ms }
                | Effect::IdempotencyKey { window_ms } => window_ms,
                Effect::NonIdempotent | Effect::Idempotent => 1,
            };
            holds(
                window > 0,
                &place("effect"),
                "its window must be above zero",
            )?;
        }
        for (name, most) in &self.limits {
            let place = format!("limits.{name}");
            holds(
                LIMIT_NAMES.contains(&name.as_str()),
                &place,
                "no such limit",
            )?;
            holds(*most > 0, &place, "must be above zero")?;
        }
        Ok(())
    }

    /// Whether all that these rules allow is allowed by the others too.
    pub fn is_within(&self, other: &Rules) -> bool {
        self.classes.iter().all(|(name, class)| {
            other
                .classes
                .get(name)
                .is_some_and(|other| class.is_within(other))
        }) && other
            .limits
            .iter()
            .all(|(name, most)| self.limits.get(name).is_some_and(|own| own <= most))
    }

    /// Whether each allows what the other forbids.
    pub fn contradicts(&self, other: &Rules) -> bool {
        !self.is_within(other) && !other.is_within(self)
    }

    /// The freest rules that are within both.
    ///
    /// # Errors
    /// Names the class whose order has two meanings.
    pub fn intersection(&self, other: &Rules) -> Result<Rules, NoIntersection> {
        let mut intersection = Rules::default();
        for (name, class) in &self.classes {
            if let Some(other) = other.classes.get(name) {
                intersection
                    .classes
                    .insert(name.clone(), class.intersection(other, name)?);
            }
        }
        for (name, most) in self.limits.iter().chain(&other.limits) {
            let least = intersection.limits.entry(name.clone()).or_insert(*most);
            *least = (*least).min(*most);
        }
        Ok(intersection)
    }
}

#[cfg(test)]
mod tests;
