//! Token bucket for this sender's share of a fleet-wide limit.

use crate::interface::{Micros, QuotaShare};
use serde::{Deserialize, Serialize};

/// Calls that this sender's share of a fleet-wide limit allows now. Tokens are billionths of a call
/// in whole numbers, so that nothing is rounded up.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct QuotaBucket {
    pub tokens: i64,
    pub refilled_at: Micros,
}

impl QuotaBucket {
    /// Tokens of one call. A rate in thousandths of a call per second, multiplied by microseconds,
    /// gives billionths of a call.
    pub const TOKENS_PER_CALL: i64 = 1_000_000_000;

    /// Creates a bucket that holds one call.
    pub fn new(now: Micros) -> Self {
        QuotaBucket {
            tokens: QuotaBucket::TOKENS_PER_CALL,
            refilled_at: now,
        }
    }

    /// Adds the tokens that `rate`, in thousandths of a call per second, has brought since the last
    /// refill. The bucket then holds at most one call or the tokens of `burst` microseconds,
    /// whichever is more.
    pub fn refill(&mut self, now: Micros, rate: u64, burst: Micros) {
        let rate = i64::try_from(rate).unwrap_or(i64::MAX);
        let max_tokens = rate.saturating_mul(burst).max(QuotaBucket::TOKENS_PER_CALL);
        let added = rate.saturating_mul(now - self.refilled_at);
        self.tokens = self.tokens.saturating_add(added).min(max_tokens);
        self.refilled_at = now;
    }

    /// Changes the share of the limit from `before` to `after`. For the time up to now, tokens are
    /// added at the rate of the old share. If the allocation grows, the tokens that the increase
    /// brings until the allocation ends are added at once.
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

    /// Returns true if the bucket holds a whole call.
    pub fn has_tokens_for_call(&self) -> bool {
        self.tokens >= QuotaBucket::TOKENS_PER_CALL
    }

    /// Returns the time in microseconds until the bucket holds a whole call, at `rate` thousandths
    /// of a call per second.
    pub fn time_until_call(&self, rate: u64) -> Micros {
        let rate = i64::try_from(rate).unwrap_or(i64::MAX).max(1);
        (QuotaBucket::TOKENS_PER_CALL - self.tokens).max(0) / rate + 1
    }
}
