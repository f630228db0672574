//! What may be wrong with a setting.

use thiserror::Error;

/// A setting that makes no sense: which one, and the value that it has.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// A setting without a default is not there.
    #[error("setting {setting} is missing")]
    Missing {
        /// The setting's name.
        setting: String,
    },
    /// The text is no number that a setting may have.
    #[error("setting {setting} is '{value}', not a finite number of zero or more")]
    NotANumber {
        /// The setting's name.
        setting: String,
        /// Its text.
        value: String,
    },
    /// The text is no whole number.
    #[error("setting {setting} is '{value}', not a whole number")]
    NotWhole {
        /// The setting's name.
        setting: String,
        /// Its text.
        value: String,
    },
    /// The text is none of the words that the setting may have.
    #[error("setting {setting} is '{value}', not one of {}", .expected.join(", "))]
    UnknownWord {
        /// The setting's name.
        setting: String,
        /// Its text.
        value: String,
        /// The words that it may have.
        expected: &'static [&'static str],
    },
    /// Zero, or less, where that makes no sense.
    #[error("setting {setting} must be above zero, but is {value}")]
    NotPositive {
        /// The setting's name.
        setting: String,
        /// Its value.
        value: i128,
    },
    /// A negative span.
    #[error("setting {setting} must not be negative, but is {value} us")]
    NegativeSpan {
        /// The setting's name.
        setting: String,
        /// Its value, in microseconds.
        value: i64,
    },
    /// A number that is negative or not finite.
    #[error("setting {setting} must be a finite number, zero or more, but is {value}")]
    NotAShare {
        /// The setting's name.
        setting: String,
        /// Its value, as text.
        value: String,
    },
    /// Two classes have one name.
    #[error("setting {setting} stands twice: '{value}'")]
    Duplicate {
        /// The setting's name.
        setting: String,
        /// The value that stands twice.
        value: String,
    },
}
