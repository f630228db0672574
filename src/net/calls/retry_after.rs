//! Parses the `Retry-After` header of an answer.

use hyper::header::{HeaderMap, RETRY_AFTER};
use message_sender::{MILLISECOND, Micros};

/// Maximum Retry-After delay in milliseconds, one day; longer ones are cut to it.
const MAX_RETRY_AFTER_MS: Micros = 86_400_000;

/// The `Retry-After` header of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RetryAfter {
    /// The answer has no such header.
    Absent,
    /// The answer has more than one such header, or its value is no decimal number of seconds.
    Unreadable,
    /// Delay in microseconds, rounded up to a whole millisecond; 0 asks for no delay.
    Delay(Micros),
}

impl RetryAfter {
    /// Parses the header: seconds, with or without decimals.
    pub(super) fn read(headers: &HeaderMap) -> Self {
        let mut values = headers.get_all(RETRY_AFTER).iter();
        let Some(value) = values.next() else {
            return RetryAfter::Absent;
        };
        let text = value.to_str().map(str::trim).unwrap_or_default();
        if values.next().is_some() || !is_decimal(text) {
            return RetryAfter::Unreadable;
        }
        let Ok(seconds) = text.parse::<f64>() else {
            return RetryAfter::Unreadable;
        };
        let delay_ms = ((seconds * 1e3).ceil() as Micros).min(MAX_RETRY_AFTER_MS);
        RetryAfter::Delay(delay_ms * MILLISECOND)
    }

    /// Returns the delay in microseconds if the endpoint asks for one.
    pub(super) fn delay(self) -> Option<Micros> {
        match self {
            RetryAfter::Delay(delay) if delay > 0 => Some(delay),
            _ => None,
        }
    }
}

/// Returns whether the text consists of digits, with at most one decimal point between them.
fn is_decimal(text: &str) -> bool {
    let is_number =
        |digits: &str| !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit());
    match text.split_once('.') {
        Some((whole, decimals)) => is_number(whole) && is_number(decimals),
        None => is_number(text),
    }
}
