//! The token bucket of a limit that holds for all senders together.

use crate::interface::{Micros, QuotaShare};
use serde::{Deserialize, Serialize};

/// Calls that a shared limit allows now, in billionths of a call: whole numbers, so that nothing is
/// rounded up.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct QuotaBucket {
    pub tokens: i64,
    pub refilled_at: Micros,
}

impl QuotaBucket {
    /// One call: a rate in thousandths of a call a second times microseconds.
    pub const TOKENS_PER_CALL: i64 = 1_000_000_000;

    /// A bucket with one call.
    pub fn new(now: Micros) -> Self {
        QuotaBucket {
            tokens: QuotaBucket::TOKENS_PER_CALL,
            refilled_at: now,
        }
    }

    /// Adds what a rate, in thousandths of a call a second, has brought since; at most a call or
    /// what comes in `burst`.
    pub fn refill(&mut self, now: Micros, rate: u64, burst: Micros) {
        let rate = i64::try_from(rate).unwrap_or(i64::MAX);
        let max_tokens = rate.saturating_mul(burst).max(QuotaBucket::TOKENS_PER_CALL);
        let added = rate.saturating_mul(now - self.refilled_at);
        self.tokens = self.tokens.saturating_add(added).min(max_tokens);
        self.refilled_at = now;
    }

    /// Another share of the limit holds. What has come so far came by the one before; a larger
    /// allocation may be used up at its beginning.
    pub fn change_share(
        &mut self,
        now: Micros,
        before: Option<QuotaShare>,
        after: Option<QuotaShare>,
        burst: Micros,
    ) {
        let rate = before.and_then(|share| share.at(now)).unwrap_or(0);
        self.refill(now, rate, burst);
        let allocation =
            |share: Option<QuotaShare>| share.and_then(|share| share.allocation_at(now));
        let Some(allocated) = allocation(after) else {
            return;
        };
        let Some(amount) = allocated.amount else {
            return;
        };
        let amount_before =
            allocation(before).map_or(0, |allocated| allocated.amount.unwrap_or(amount));
        let increase = i64::try_from(amount.saturating_sub(amount_before)).unwrap_or(0);
        let early_tokens = increase.saturating_mul(allocated.until - now);
        self.tokens = self.tokens.saturating_add(early_tokens);
    }

    /// True if it holds a whole call.
    pub fn has_call(&self) -> bool {
        self.tokens >= QuotaBucket::TOKENS_PER_CALL
    }

    /// How long until it holds a whole call.
    pub fn time_until_call(&self, rate: u64) -> Micros {
        let rate = i64::try_from(rate).unwrap_or(i64::MAX).max(1);
        (QuotaBucket::TOKENS_PER_CALL - self.tokens).max(0) / rate + 1
    }
}
