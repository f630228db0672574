//! What a class of message allows, and the rules on which the senders agree.

use super::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a repeat of a message does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// May be sent any number of times.
    Repeatable,
    /// The destination drops a repeat inside `window`, counted from the first send that may have run.
    Keyed {
        /// How long the key is remembered.
        window: Micros,
        /// Only endpoints of the same zone know of each other's keys.
        zone_only: bool,
    },
    /// Must never run twice.
    Unsafe,
}

impl Effect {
    /// The freest that is no freer than either: what both allow.
    pub fn meet(self, other: Effect) -> Effect {
        match (self, other) {
            (Effect::Unsafe, _) | (_, Effect::Unsafe) => Effect::Unsafe,
            (Effect::Repeatable, stricter) | (stricter, Effect::Repeatable) => stricter,
            (
                Effect::Keyed { window, zone_only },
                Effect::Keyed {
                    window: other,
                    zone_only: zone,
                },
            ) => Effect::Keyed {
                window: window.min(other),
                zone_only: zone_only || zone,
            },
        }
    }
}

/// What agreed rules allow a class at most; the stricter of this and its own terms binds what is sent.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ClassBound {
    /// New messages are taken on.
    pub accepted: bool,
    /// What a repeat does.
    pub effect: Effect,
    /// Attempts for one message.
    pub attempts: usize,
    /// New messages of one key go one at a time, in order.
    pub ordered: bool,
    /// Rest of a key after an attempt whose end is not sure.
    pub key_rest: Micros,
}

impl ClassBound {
    /// Of a class that the rules do not name.
    pub const NOTHING: ClassBound = ClassBound {
        accepted: false,
        effect: Effect::Unsafe,
        attempts: 0,
        ordered: true,
        key_rest: 0,
    };
}

/// What agreed rules allow at most.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Bounds {
    /// By name; a class that is not named may do nothing.
    pub classes: BTreeMap<String, ClassBound>,
    /// Calls that may be out at once; none: as the settings say.
    pub calls: Option<usize>,
    /// Messages that may be held; none: as the settings say.
    pub messages: Option<usize>,
}

/// Rules on which the senders agree.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Agreed {
    /// What holds, and until when.
    pub leased: Option<(Bounds, Micros)>,
    /// What holds without or after that.
    #[serde(rename = "floor")]
    pub fallback: Bounds,
}

impl Agreed {
    /// What holds at a time.
    pub fn at(&self, now: Micros) -> &Bounds {
        match &self.leased {
            Some((bounds, until)) if now < *until => bounds,
            _ => &self.fallback,
        }
    }
}
