//! Reads the adapter's input line by line, and its errors.

use super::fields::Fault;
use std::fmt;
use std::io::{self, BufRead};

/// Why the adapter stopped.
#[derive(Debug)]
pub enum WireError {
    /// A line is malformed, or the input ended inside a batch.
    Line {
        /// Line number, from 1.
        number: usize,
        /// Description of the expected field or line.
        expected: String,
        /// Text found in place of `expected`; a field is cut to 80 characters.
        found: String,
    },
    /// Reading the input or writing the output failed.
    Io(io::Error),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Line {
                number,
                expected,
                found,
            } => {
                write!(f, "line {number}: expected {expected}, found '{found}'")
            }
            WireError::Io(error) => write!(f, "input or output failed: {error}"),
        }
    }
}

impl std::error::Error for WireError {}

impl From<io::Error> for WireError {
    fn from(error: io::Error) -> Self {
        WireError::Io(error)
    }
}

/// Current line of the input.
pub(super) struct Lines {
    /// Line number, from 1; 0 before the first line.
    pub(super) number: usize,
    /// Text of the line without the line break.
    pub(super) text: String,
}

impl Lines {
    /// Reads the next line. Returns false at the end of the input.
    pub(super) fn next(&mut self, input: &mut impl BufRead) -> Result<bool, WireError> {
        self.text.clear();
        if input.read_line(&mut self.text)? == 0 {
            return Ok(false);
        }
        self.number += 1;
        while self.text.ends_with(['\n', '\r']) {
            self.text.pop();
        }
        Ok(true)
    }

    /// Returns an error for the current line.
    pub(super) fn error(&self, expected: &str, found: &str) -> WireError {
        WireError::Line {
            number: self.number,
            expected: expected.to_string(),
            found: found.to_string(),
        }
    }

    /// Parses the current line with `read` and adds the line number to its error.
    pub(super) fn check<T>(&self, read: impl Fn(&str) -> Result<T, Fault>) -> Result<T, WireError> {
        read(&self.text).map_err(|(expected, found)| self.error(&expected, &found))
    }
}
