//! What a sender may do, as a document, and when two documents contradict each other.
//!
//! Every key has an order from strict to free. One document is no freer than another ([`Rules::within`]) if that holds
//! for each key; two contradict each other where neither is within the other, for then each allows what the other
//! forbids. The meet takes the stricter of both for each key, so it is within both.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

/// How often a message of a class may take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Once: what may have run is not sent again.
    AtMostOnce,
    /// Repeats are dropped for so long, at the same zone's endpoints only.
    DeduplicatedInZone {
        /// How long, ms.
        window_ms: u64,
    },
    /// Repeats are dropped for so long at all endpoints of the destination.
    Deduplicated {
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
            Effect::AtMostOnce => (0, 0),
            Effect::DeduplicatedInZone { window_ms } => (1, window_ms),
            Effect::Deduplicated { window_ms } => (2, window_ms),
            Effect::Idempotent => (3, u64::MAX),
        }
    }

    fn within(self, other: Effect) -> bool {
        let ((place, window), (other_place, other_window)) = (self.freedom(), other.freedom());
        place <= other_place && window <= other_window
    }

    /// The freest that is within both: the narrower place and the shorter window.
    fn meet(self, other: Effect) -> Effect {
        let ((place, window), (other_place, other_window)) = (self.freedom(), other.freedom());
        let window_ms = window.min(other_window);
        match place.min(other_place) {
            0 => Effect::AtMostOnce,
            1 => Effect::DeduplicatedInZone { window_ms },
            2 => Effect::Deduplicated { window_ms },
            _ => Effect::Idempotent,
        }
    }
}

/// Attempts that a message may have.
pub type Attempts = u32;

/// What can be limited for each sender: calls that are out, and messages that are held.
pub const LIMITS: [&str; 2] = ["calls", "messages"];
/// Classes that a document may name.
const CLASSES_MOST: usize = 256;
/// Longest name of a class or of what keys mean.
const NAME_MOST: usize = 128;

/// The rules of one class.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Clients may hand messages in.
    pub accepted: bool,
    /// How often one may take effect.
    pub effect: Effect,
    /// Attempts of one message at most.
    pub attempts: Attempts,
    /// Messages of one key go one at a time, in order.
    pub in_order: bool,
    /// What the keys mean; keys of two meanings can't be kept in one order.
    pub keyed_by: String,
    /// How long a key rests after an attempt that may still run, ms.
    pub gap_ms: u64,
}

/// A document of rules.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// By name; a class that is not named is not accepted, and nothing of it is sent.
    #[serde(default)]
    pub classes: BTreeMap<String, Class>,
    /// What one sender may have at once, by [`LIMITS`]. A limit that is not named is none.
    #[serde(default)]
    pub limits: BTreeMap<String, u64>,
}

/// Why two documents have no meet.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error("class {class} is kept in order by {one} in one and by {other} in the other")]
pub struct NoMeet {
    /// The class.
    pub class: String,
    /// What its keys mean in one.
    pub one: String,
    /// What they mean in the other.
    pub other: String,
}

/// Why a document is none that senders can act on.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{place}: {problem}")]
pub struct Senseless {
    /// Where.
    pub place: String,
    /// What is wrong.
    pub problem: &'static str,
}

impl Class {
    fn within(&self, other: &Class) -> bool {
        self.accepted <= other.accepted
            && self.effect.within(other.effect)
            && self.attempts <= other.attempts
            && self.in_order >= other.in_order
            && (!self.in_order || !other.in_order || self.keyed_by == other.keyed_by)
            && self.gap_ms >= other.gap_ms
    }

    fn meet(&self, other: &Class, name: &str) -> Result<Class, NoMeet> {
        if self.in_order && other.in_order && self.keyed_by != other.keyed_by {
            let (one, other) = (self.keyed_by.clone(), other.keyed_by.clone());
            return Err(NoMeet {
                class: name.to_string(),
                one,
                other,
            });
        }
        let ordered = if self.in_order { self } else { other };
        Ok(Class {
            accepted: self.accepted && other.accepted,
            effect: self.effect.meet(other.effect),
            attempts: self.attempts.min(other.attempts),
            in_order: self.in_order || other.in_order,
            keyed_by: ordered.keyed_by.clone(),
            gap_ms: self.gap_ms.max(other.gap_ms),
        })
    }
}

impl Rules {
    /// Checks that the document makes sense.
    ///
    /// # Errors
    /// Names the first place that does not.
    pub fn validate(&self) -> Result<(), Senseless> {
        let holds = |holds: bool, place: &str, problem| {
            if holds {
                Ok(())
            } else {
                Err(Senseless {
                    place: place.to_string(),
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
            holds(class.attempts > 0, &place("attempts"), "must be above zero")?;
            let keyed = !class.in_order || named(&class.keyed_by);
            holds(
                keyed,
                &place("keyed_by"),
                "a class in order names what its keys mean",
            )?;
            let window = match class.effect {
                Effect::DeduplicatedInZone { window_ms } | Effect::Deduplicated { window_ms } => {
                    window_ms
                }
                Effect::AtMostOnce | Effect::Idempotent => 1,
            };
            holds(
                window > 0,
                &place("effect"),
                "its window must be above zero",
            )?;
        }
        for (name, most) in &self.limits {
            let place = format!("limits.{name}");
            holds(LIMITS.contains(&name.as_str()), &place, "no such limit")?;
            holds(*most > 0, &place, "must be above zero")?;
        }
        Ok(())
    }

    /// Whether all that these rules allow is allowed by the others too.
    pub fn within(&self, other: &Rules) -> bool {
        self.classes.iter().all(|(name, class)| {
            other
                .classes
                .get(name)
                .is_some_and(|other| class.within(other))
        }) && other
            .limits
            .iter()
            .all(|(name, most)| self.limits.get(name).is_some_and(|own| own <= most))
    }

    /// Whether each allows what the other forbids.
    pub fn contradicts(&self, other: &Rules) -> bool {
        !self.within(other) && !other.within(self)
    }

    /// The freest rules that are within both.
    ///
    /// # Errors
    /// Names the class whose order has two meanings.
    pub fn meet(&self, other: &Rules) -> Result<Rules, NoMeet> {
        let mut meet = Rules::default();
        for (name, class) in &self.classes {
            if let Some(other) = other.classes.get(name) {
                meet.classes.insert(name.clone(), class.meet(other, name)?);
            }
        }
        for (name, most) in self.limits.iter().chain(&other.limits) {
            let least = meet.limits.entry(name.clone()).or_insert(*most);
            *least = (*least).min(*most);
        }
        Ok(meet)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{Rng, SeedableRng};
    use rand_pcg::Pcg64;

    fn class(random: &mut Pcg64) -> Class {
        let window_ms = random.random_range(1..4);
        let effects = [
            Effect::AtMostOnce,
            Effect::DeduplicatedInZone { window_ms },
            Effect::Deduplicated { window_ms },
            Effect::Idempotent,
        ];
        Class {
            accepted: random.random(),
            effect: effects[random.random_range(0..4)],
            attempts: random.random_range(1..4),
            in_order: random.random(),
            keyed_by: "reader".to_string(),
            gap_ms: random.random_range(0..3),
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
    fn the_meet_is_the_freest_that_is_within_both() {
        let mut random = Pcg64::seed_from_u64(3);
        let mut freer = 0;
        for _ in 0..20_000 {
            let (one, other, third) = (rules(&mut random), rules(&mut random), rules(&mut random));
            let meet = one.meet(&other).expect("one meaning of keys");
            assert!(
                meet.within(&one) && meet.within(&other),
                "{one:?} {other:?} {meet:?}"
            );
            let back = other.meet(&one).expect("one meaning of keys");
            assert!(
                meet.within(&back) && back.within(&meet),
                "the same either way"
            );
            assert!(one.within(&one) && !one.contradicts(&one));
            if third.within(&one) && third.within(&other) {
                freer += 1;
                assert!(
                    third.within(&meet),
                    "{third:?} is within both and not within {meet:?}"
                );
            }
            if one.within(&other) && other.within(&third) {
                assert!(one.within(&third));
            }
        }
        assert!(freer > 50, "{freer} within both");
    }

    #[test]
    fn a_document_that_makes_no_sense_names_its_place() {
        let good = r#"{"classes":{"c":{"accepted":true,"effect":{"deduplicated":{"window_ms":5}},"attempts":3,
            "in_order":true,"keyed_by":"reader","gap_ms":0}},"limits":{"calls":4}}"#;
        let read = |text: &str| serde_json::from_str::<Rules>(text).expect(text).validate();
        assert_eq!(read(good), Ok(()));
        for (from, to, place) in [
            ("\"attempts\":3", "\"attempts\":0", "classes.c.attempts"),
            ("\"reader\"", "\"\"", "classes.c.keyed_by"),
            ("\"window_ms\":5", "\"window_ms\":0", "classes.c.effect"),
            ("\"calls\":4", "\"calls\":0", "limits.calls"),
            ("\"calls\":4", "\"cals\":4", "limits.cals"),
        ] {
            assert_eq!(
                read(&good.replace(from, to)).map_err(|error| error.place),
                Err(place.to_string())
            );
        }
    }

    #[test]
    fn each_key_has_its_strict_side() {
        let base = Class {
            accepted: true,
            effect: Effect::Deduplicated { window_ms: 10_000 },
            attempts: 12,
            in_order: true,
            keyed_by: "reader".to_string(),
            gap_ms: 300,
        };
        let rules = |class: Class| Rules {
            classes: [("c".to_string(), class)].into(),
            ..Rules::default()
        };
        for stricter in [
            Class {
                accepted: false,
                ..base.clone()
            },
            Class {
                effect: Effect::AtMostOnce,
                ..base.clone()
            },
            Class {
                effect: Effect::Deduplicated { window_ms: 5_000 },
                ..base.clone()
            },
            Class {
                effect: Effect::DeduplicatedInZone { window_ms: 10_000 },
                ..base.clone()
            },
            Class {
                attempts: 3,
                ..base.clone()
            },
            Class {
                gap_ms: 400,
                ..base.clone()
            },
        ] {
            let (strict, free) = (rules(stricter), rules(base.clone()));
            assert!(strict.within(&free) && !free.within(&strict), "{strict:?}");
            assert_eq!(strict.meet(&free), Ok(strict));
        }
        let free = rules(Class {
            in_order: false,
            ..base.clone()
        });
        assert!(rules(base.clone()).within(&free) && !free.within(&rules(base.clone())));
        let other = rules(Class {
            keyed_by: "shop".to_string(),
            ..base.clone()
        });
        assert!(
            other
                .meet(&rules(base))
                .is_err_and(|error| error.class == "c")
        );
    }
}
