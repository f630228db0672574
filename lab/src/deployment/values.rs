//! Where a site file is changed, and what its keys are set to.

use toml_edit::{Array, Value};

/// The tables of a site file in which a change is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tables {
    /// A table that occurs once, such as `[allow]`.
    Single(&'static str),
    /// Every table of an array at the top, such as `[[class]]`.
    Array(&'static str),
    /// Every table of an array within a table, such as `[[fam.kind]]`.
    NestedArray {
        outer: &'static str,
        inner: &'static str,
    },
}

/// What a key is set to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Setting {
    /// An integer.
    Integer(i64),
    /// A number.
    Number(f64),
    /// A range from which the bench draws.
    Range(f64, f64),
    /// A string.
    Text(&'static str),
    /// A boolean.
    Flag(bool),
}

/// The effect of delivering a message twice, and whether the messages of a key are delivered in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Repeating does nothing.
    Idempotent,
    /// Repeats within the window are recognised by the idempotency key.
    IdempotencyKey,
    /// Must not run twice.
    NonIdempotent,
    /// Must not run twice, and the messages of a key are delivered in order.
    InOrder,
}

impl From<Setting> for Value {
    fn from(setting: Setting) -> Value {
        match setting {
            Setting::Integer(integer) => integer.into(),
            Setting::Number(number) => number.into(),
            Setting::Range(min, max) => [min, max].into_iter().collect::<Array>().into(),
            Setting::Text(text) => text.into(),
            Setting::Flag(flag) => flag.into(),
        }
    }
}
