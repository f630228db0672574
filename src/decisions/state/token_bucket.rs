//! Token buckets.

use super::seconds;
use crate::interface::{Micros, SECOND};
use serde::{Deserialize, Serialize};

/// The least rate that a time until the next token is reckoned with, in tokens a second.
const MIN_RATE: f64 = 0.001;

/// A token bucket; who uses it knows its rate and its size.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct TokenBucket {
    pub tokens: f64,
    pub refilled_at: Micros,
}

impl TokenBucket {
    /// A bucket that is full, whatever its size.
    pub const FULL: TokenBucket = TokenBucket {
        tokens: f64::MAX,
        refilled_at: 0,
    };

    /// Adds what a rate, in tokens a second, has brought since the last time, up to the size.
    pub fn refill(&mut self, now: Micros, rate: f64, size: f64) {
        let added = rate * seconds(now - self.refilled_at);
        self.tokens = (self.tokens + added).min(size);
        self.refilled_at = now;
    }

    /// True if it holds a whole token.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// How long until it holds a whole token.
    pub fn time_until_token(&self, rate: f64) -> Micros {
        ((1.0 - self.tokens) / rate.max(MIN_RATE) * SECOND as f64) as Micros
    }
}
