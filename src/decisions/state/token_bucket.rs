//! Token buckets for rates in tokens per second.

use super::seconds;
use crate::interface::{Micros, SECOND};
use serde::{Deserialize, Serialize};

/// Lowest rate, in tokens per second, that the time until the next token is computed with. It keeps
/// that time finite at a rate of 0.
const MIN_RATE: f64 = 0.001;

/// A token bucket. Its rate and its size are not stored: they may change, so each caller passes
/// them in.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct TokenBucket {
    pub tokens: f64,
    pub refilled_at: Micros,
}

impl TokenBucket {
    /// A full bucket of any size; the first refill reduces its tokens to the size.
    pub const FULL: TokenBucket = TokenBucket {
        tokens: f64::MAX,
        refilled_at: 0,
    };

    /// Adds the tokens that `rate`, in tokens per second, has brought since the last refill, up to
    /// `size` tokens.
    pub fn refill(&mut self, now: Micros, rate: f64, size: f64) {
        let added = rate * seconds(now - self.refilled_at);
        self.tokens = (self.tokens + added).min(size);
        self.refilled_at = now;
    }

    /// Returns true if the bucket holds a whole token.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Returns the time in microseconds until the bucket holds a whole token, at `rate` tokens per
    /// second or at `MIN_RATE` if that is higher. The time is negative if the bucket holds more
    /// than one token.
    pub fn time_until_token(&self, rate: f64) -> Micros {
        ((1.0 - self.tokens) / rate.max(MIN_RATE) * SECOND as f64) as Micros
    }
}
