//! Errors in the settings.

use thiserror::Error;

/// An invalid setting. Each variant holds the name of the setting and its value, if there is one.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// A setting that has no default is missing.
    #[error("setting {setting} is missing")]
    Missing {
        /// Name of the setting.
        setting: String,
    },
    /// The value is not a finite number of zero or more.
    #[error("setting {setting} is '{value}', not a finite number of zero or more")]
    NotANumber {
        /// Name of the setting.
        setting: String,
        /// Text of the value, as it was read.
        value: String,
    },
    /// The value is not a whole number.
    #[error("setting {setting} is '{value}', not a whole number")]
    NotWhole {
        /// Name of the setting.
        setting: String,
        /// Text of the value, as it was read.
        value: String,
    },
    /// The value is none of the words that the setting allows.
    #[error("setting {setting} is '{value}', not one of {}", .expected.join(", "))]
    UnknownWord {
        /// Name of the setting.
        setting: String,
        /// Text of the value, as it was read.
        value: String,
        /// Words that the setting allows.
        expected: &'static [&'static str],
    },
    /// The value is zero or less, but must be positive.
    #[error("setting {setting} must be above zero, but is {value}")]
    NotPositive {
        /// Name of the setting.
        setting: String,
        /// The value: zero or a negative number.
        value: i128,
    },
    /// The value is a time span and must not be negative.
    #[error("setting {setting} must not be negative, but is {value} us")]
    NegativeSpan {
        /// Name of the setting.
        setting: String,
        /// Negative time span, in microseconds.
        value: i64,
    },
    /// The value is a share or a factor, and is negative or not finite.
    #[error("setting {setting} must be a finite number, zero or more, but is {value}")]
    NotAShare {
        /// Name of the setting.
        setting: String,
        /// Value in decimal notation, or `NaN` or `inf`.
        value: String,
    },
    /// Two classes have the same name.
    #[error("setting {setting} is used twice: '{value}'")]
    Duplicate {
        /// Name of the setting.
        setting: String,
        /// Value that is used twice.
        value: String,
    },
}
