//! Parses the space-separated fields of one line.

use crate::interface::{Micros, Outcome};

/// Parse error in a line: the expected text and the found one. The caller adds the line number.
pub(super) type Fault = (String, String);

/// Returns a parse error that quotes up to 80 characters of the found text.
pub(super) fn fault<T>(expected: &str, found: &str) -> Result<T, Fault> {
    Err((expected.to_string(), found.chars().take(80).collect()))
}

/// Reads the fields of one line one after the other. The argument `expected` of a method describes the field for the
/// error message.
pub(super) struct Fields<'a>(std::str::Split<'a, char>);

impl<'a> Fields<'a> {
    pub(super) fn new(line: &'a str) -> Self {
        Fields(line.split(' '))
    }

    /// Returns the text of the next field. An empty field or the end of the line is an error.
    pub(super) fn text(&mut self, expected: &str) -> Result<&'a str, Fault> {
        match self.0.next() {
            Some(text) if !text.is_empty() => Ok(text),
            _ => fault(expected, "end of line"),
        }
    }

    /// Returns the next field as a finite number.
    pub(super) fn number(&mut self, expected: &str) -> Result<f64, Fault> {
        let text = self.text(expected)?;
        parse_number(text, expected)
    }

    /// Reads the next field as a number of seconds and returns it in microseconds.
    pub(super) fn time(&mut self, expected: &str) -> Result<Micros, Fault> {
        Ok(to_micros(self.number(expected)?))
    }

    /// Returns the next field as a whole number of zero or more.
    pub(super) fn whole(&mut self, expected: &str) -> Result<u64, Fault> {
        let text = self.text(expected)?;
        parse_whole(text, expected)
    }

    /// Returns the next field, or `None` if it is `-`.
    pub(super) fn optional(&mut self, expected: &str) -> Result<Option<&'a str>, Fault> {
        let text = self.text(expected)?;
        Ok(if text == "-" { None } else { Some(text) })
    }

    /// Returns the next field as a flag: `1` is true, `0` and `-` are false.
    pub(super) fn flag(&mut self, expected: &str) -> Result<bool, Fault> {
        match self.text(expected)? {
            "1" => Ok(true),
            "0" | "-" => Ok(false),
            other => fault(expected, other),
        }
    }

    /// Returns the next field, which must be a known outcome.
    pub(super) fn outcome_word(&mut self) -> Result<&'a str, Fault> {
        let text = self.text("an outcome")?;
        match text {
            "delivered" | "app_error" | "shed" | "expired" | "dial_failed" | "dropped"
            | "revoked" | "unused" => Ok(text),
            other => fault("an outcome", other),
        }
    }

    /// Returns the numbers of a load report, separated by commas. A missing field or `-` gives an empty report.
    pub(super) fn report(&mut self) -> Result<Vec<f64>, Fault> {
        match self.0.next() {
            None | Some("" | "-") => Ok(Vec::new()),
            Some(row) => row
                .split(',')
                .map(|part| parse_number(part, "a load report"))
                .collect(),
        }
    }
}

pub(super) fn parse_number(text: &str, expected: &str) -> Result<f64, Fault> {
    match text.parse::<f64>() {
        Ok(value) if value.is_finite() => Ok(value),
        _ => fault(expected, text),
    }
}

/// Parses a whole number of zero or more, also one that is written with a decimal point or an exponent.
pub(super) fn parse_whole(text: &str, expected: &str) -> Result<u64, Fault> {
    if let Ok(value) = text.parse::<u64>() {
        return Ok(value);
    }
    match text.parse::<f64>() {
        Ok(value) if (0.0..9.1e15).contains(&value) && value.fract() == 0.0 => Ok(value as u64),
        _ => fault(expected, text),
    }
}

/// Converts seconds to microseconds, rounded to the nearest.
pub(super) fn to_micros(seconds: f64) -> Micros {
    (seconds * 1e6).round() as Micros
}

/// Converts an outcome and its remark. The remark of `shed` is a Retry-After delay in milliseconds; that of `unused` is 1
/// if no call slot was free.
pub(super) fn outcome(word: &str, remark: f64) -> Outcome {
    match word {
        "delivered" => Outcome::Success,
        "app_error" => Outcome::Error,
        "shed" => Outcome::Rejected {
            retry_after: (remark > 0.0).then(|| (remark * 1e3).ceil() as Micros),
        },
        "expired" => Outcome::TimedOut,
        "dial_failed" => Outcome::NoConnection,
        "dropped" => Outcome::Reset,
        "revoked" => Outcome::Cancelled,
        _ => Outcome::NotSent {
            no_slot: remark == 1.0,
        },
    }
}
