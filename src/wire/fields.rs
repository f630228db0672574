//! The fields of one line, and the words and numbers in them.

use crate::interface::{Micros, Outcome};

/// What was expected and what was found; the line number is added by the reader.
pub(super) type Fault = (String, String);

pub(super) fn fault<T>(expected: &str, found: &str) -> Result<T, Fault> {
    Err((expected.to_string(), found.chars().take(80).collect()))
}

/// The fields of one line, taken one by one.
pub(super) struct Fields<'a>(std::str::Split<'a, char>);

impl<'a> Fields<'a> {
    pub(super) fn new(line: &'a str) -> Self {
        Fields(line.split(' '))
    }

    pub(super) fn text(&mut self, expected: &str) -> Result<&'a str, Fault> {
        match self.0.next() {
            Some(text) if !text.is_empty() => Ok(text),
            _ => fault(expected, "end of line"),
        }
    }

    pub(super) fn number(&mut self, expected: &str) -> Result<f64, Fault> {
        let text = self.text(expected)?;
        parse_number(text, expected)
    }

    pub(super) fn time(&mut self, expected: &str) -> Result<Micros, Fault> {
        Ok(to_micros(self.number(expected)?))
    }

    pub(super) fn whole(&mut self, expected: &str) -> Result<u64, Fault> {
        let text = self.text(expected)?;
        parse_whole(text, expected)
    }

    pub(super) fn optional(&mut self, expected: &str) -> Result<Option<&'a str>, Fault> {
        let text = self.text(expected)?;
        Ok(if text == "-" { None } else { Some(text) })
    }

    pub(super) fn flag(&mut self, expected: &str) -> Result<bool, Fault> {
        match self.text(expected)? {
            "1" => Ok(true),
            "0" | "-" => Ok(false),
            other => fault(expected, other),
        }
    }

    pub(super) fn outcome_word(&mut self) -> Result<&'a str, Fault> {
        let text = self.text("an outcome")?;
        match text {
            "delivered" | "app_error" | "shed" | "expired" | "dial_failed" | "dropped"
            | "revoked" | "unused" => Ok(text),
            other => fault("an outcome", other),
        }
    }

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

pub(super) fn parse_whole(text: &str, expected: &str) -> Result<u64, Fault> {
    if let Ok(value) = text.parse::<u64>() {
        return Ok(value);
    }
    match text.parse::<f64>() {
        Ok(value) if (0.0..9.1e15).contains(&value) && value.fract() == 0.0 => Ok(value as u64),
        _ => fault(expected, text),
    }
}

pub(super) fn to_micros(seconds: f64) -> Micros {
    (seconds * 1e6).round() as Micros
}

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
