//! Terms of message classes while a new configuration takes effect.
//!
//! New terms of a class bind some time after the signal that announces them. Until then clients
//! still submit messages under the earlier terms, and a request may arrive later than it was sent.
//! So both may hold for a message, and it gets the strictest of all terms that may hold. Once the
//! earlier terms can no longer hold, new messages get the new terms alone.

use crate::interface::{Class, Effect, MILLISECOND, Micros};
use serde::{Deserialize, Serialize};

/// Time in microseconds from the signal until the terms of a new configuration bind.
const BINDING_DELAY: Micros = 1_200 * MILLISECOND;
/// Maximum time in microseconds from the sending of a request until this sender reads its start. A
/// client gives a request up after 400 ms, and the sender may be held up beside that.
const MAX_ARRIVAL_DELAY: Micros = 600 * MILLISECOND;
/// Time in microseconds from a change until the earlier terms can no longer hold for new requests.
pub const TRANSITION_TIME: Micros = BINDING_DELAY + MAX_ARRIVAL_DELAY;
/// Maximum number of earlier configurations whose terms are kept apart. Of more, the two oldest are
/// merged into their strictest terms.
const MAX_EARLIER: usize = 4;

/// Terms of all classes in one configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassSet {
    /// The classes that the configuration names.
    pub classes: Vec<Class>,
    /// Maximum number of attempts for one message.
    pub max_attempts: usize,
}

impl ClassSet {
    fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// Returns the strictest terms of both, for each class that either names.
    fn strictest(&self, earlier: &ClassSet) -> ClassSet {
        let combined = |class: &Class| match earlier.class(&class.name) {
            Some(before) => strictest(class, before),
            None => class.clone(),
        };
        let mut classes: Vec<Class> = self.classes.iter().map(combined).collect();
        let dropped = earlier.classes.iter();
        classes.extend(
            dropped
                .filter(|class| self.class(&class.name).is_none())
                .cloned(),
        );
        ClassSet {
            classes,
            max_attempts: self.max_attempts.min(earlier.max_attempts),
        }
    }
}

/// Returns a class with all restrictions of both. Its weight and its objective, which restrict
/// nothing, are those of `class`.
fn strictest(class: &Class, other: &Class) -> Class {
    Class {
        effect: class.effect.intersection(other.effect),
        ordered: class.ordered || other.ordered,
        ..class.clone()
    }
}

/// Terms of an earlier configuration that may still hold for new requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct EarlierClassSet {
    set: ClassSet,
    /// Time in microseconds up to which a request under these terms may arrive.
    until: Micros,
}

/// Terms under which a new message is accepted.
#[derive(Debug, Clone, PartialEq)]
pub struct MessageTerms {
    /// Class with the strictest terms that may hold for the message.
    pub class: Class,
    /// Maximum number of attempts for the message.
    pub max_attempts: usize,
}

impl MessageTerms {
    /// Returns the terms for a message that carries no idempotency key: its destination can't
    /// recognise a repeat.
    pub fn without_idempotency_key(mut self) -> Self {
        if requires_key(&self.class) {
            self.class.effect = Effect::NonIdempotent;
        }
        self
    }
}

/// Returns true if a repeat of the class's messages is recognised by their idempotency key alone.
fn requires_key(class: &Class) -> bool {
    matches!(class.effect, Effect::IdempotencyKey { .. })
}

/// Class that requests may name at present.
#[derive(Debug, Clone, PartialEq)]
pub struct NamedClass {
    /// Class with the strictest terms that may hold for its messages.
    pub class: Class,
    /// True if its messages carry an idempotency key by all terms that may hold.
    pub key_required: bool,
}

/// Terms of the configuration in force, and those of earlier ones that may still hold.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassTransition {
    current: ClassSet,
    /// Earlier configurations, the newest first.
    earlier: Vec<EarlierClassSet>,
}

impl ClassTransition {
    /// Creates the state of a sender that has had no other configuration.
    pub fn new(current: ClassSet) -> Self {
        ClassTransition {
            current,
            earlier: Vec::new(),
        }
    }

    /// Replaces the terms in force; the former ones may hold for [`TRANSITION_TIME`] longer. Returns
    /// true if the terms have changed. `now` is in microseconds.
    pub fn change(&mut self, new: ClassSet, now: Micros) -> bool {
        if new == self.current {
            return false;
        }
        self.end_expired(now);
        let set = std::mem::replace(&mut self.current, new);
        let until = now + TRANSITION_TIME;
        self.earlier.insert(0, EarlierClassSet { set, until });
        if self.earlier.len() > MAX_EARLIER {
            self.merge_oldest();
        }
        true
    }

    fn merge_oldest(&mut self) {
        let (Some(oldest), Some(next)) = (self.earlier.pop(), self.earlier.last_mut()) else {
            return;
        };
        next.set = next.set.strictest(&oldest.set);
        next.until = next.until.max(oldest.until);
    }

    /// Forgets the earlier terms that can no longer hold at `now`, a time in microseconds. Returns
    /// true if there were any. Ends that are further away than a change at `now` would set them
    /// come from a clock that has been set back, and are brought forward.
    pub fn end_expired(&mut self, now: Micros) -> bool {
        for earlier in &mut self.earlier {
            earlier.until = earlier.until.min(now + TRANSITION_TIME);
        }
        let before = self.earlier.len();
        self.earlier.retain(|earlier| now < earlier.until);
        self.earlier.len() < before
    }

    /// Returns the strictest of all terms that may hold for a message of a class whose request began
    /// at `received_at`, in microseconds. `None` if no configuration that may hold names the class.
    pub fn terms(&self, name: &str, received_at: Micros) -> Option<MessageTerms> {
        let mut named = self.sets(received_at).filter_map(|set| set.class(name));
        let newest = named.next()?.clone();
        let attempts = self.sets(received_at).map(|set| set.max_attempts);
        Some(MessageTerms {
            class: named.fold(newest, |class, earlier| strictest(&class, earlier)),
            max_attempts: attempts.min()?,
        })
    }

    /// Returns the classes that requests may name at `now`, in microseconds.
    pub fn named_classes(&self, now: Micros) -> Vec<NamedClass> {
        let mut classes: Vec<NamedClass> = Vec::new();
        for set in self.sets(now) {
            for class in &set.classes {
                let is_known = |known: &NamedClass| known.class.name == class.name;
                if classes.iter().any(is_known) {
                    continue;
                }
                if let Some(terms) = self.terms(&class.name, now) {
                    let key_required = self.is_key_required(&class.name, now);
                    classes.push(NamedClass {
                        class: terms.class,
                        key_required,
                    });
                }
            }
        }
        classes
    }

    fn is_key_required(&self, name: &str, now: Micros) -> bool {
        self.sets(now)
            .filter_map(|set| set.class(name))
            .all(requires_key)
    }

    /// Returns the configurations that may hold for a request that began at `received_at`, the
    /// newest first.
    fn sets(&self, received_at: Micros) -> impl Iterator<Item = &ClassSet> {
        let earlier = self.earlier.iter();
        let holding = earlier.filter(move |earlier| received_at < earlier.until);
        std::iter::once(&self.current).chain(holding.map(|earlier| &earlier.set))
    }
}

#[cfg(test)]
mod tests;
