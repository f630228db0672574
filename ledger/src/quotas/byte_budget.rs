//! The bytes that quota requests and responses may take, as a token bucket.

use versioned_config::Micros;

/// Bytes of a request and its response beside their bodies: a connection of its own (13 packets with headers of 52 bytes)
/// and two HTTP headers of some 130.
pub const HEADER_BYTES: u64 = 950;

/// Bytes that one key and its allocation take in the compact form, rather more than less: two differences of positions, a
/// demand and a quota of up to 3 bytes each. What they really took is charged afterwards.
const BYTES_PER_KEY: u64 = 12;

/// Bytes that requests and responses may take: a token bucket that saves up one lease's bytes and may be overdrawn by one
/// request. Over any span T they take no more than rate x (T + lease) and one request.
#[derive(Debug, Clone)]
pub struct ByteBudget {
    bytes_per_second: u64,
    tokens: i64,
    refilled_at: Micros,
}

impl ByteBudget {
    /// A budget of so many bytes a second that begins full, with a lease's worth.
    pub fn new(bytes_per_second: u64, lease: Micros, now: Micros) -> Self {
        let mut budget = ByteBudget {
            bytes_per_second,
            tokens: 0,
            refilled_at: now,
        };
        budget.tokens = budget.capacity(lease);
        budget
    }

    /// How many keys a request may name now; 0: no request.
    pub fn available_keys(&mut self, now: Micros, lease: Micros) -> usize {
        self.refill(now, lease);
        let bytes = u64::try_from(self.tokens)
            .unwrap_or(0)
            .saturating_sub(HEADER_BYTES);
        usize::try_from(bytes / BYTES_PER_KEY).unwrap_or(usize::MAX)
    }

    /// Charges a request with a body of so many bytes, and the headers of both.
    pub fn charge_request(&mut self, body: u64) {
        self.charge_response(body.saturating_add(HEADER_BYTES));
    }

    /// Charges the body of its response.
    pub fn charge_response(&mut self, body: u64) {
        self.tokens = self.tokens.saturating_sub_unsigned(body);
    }

    fn refill(&mut self, now: Micros, lease: Micros) {
        let elapsed = now.saturating_sub(self.refilled_at);
        let earned = elapsed.saturating_mul(self.bytes_per_second) / 1_000_000;
        if earned > 0 {
            self.tokens = self
                .tokens
                .saturating_add_unsigned(earned)
                .min(self.capacity(lease));
            self.refilled_at = now;
        }
    }

    /// What may be saved up: a lease's worth, and the headers of two requests where leases are short.
    fn capacity(&self, lease: Micros) -> i64 {
        let earned = lease.saturating_mul(self.bytes_per_second) / 1_000_000;
        i64::try_from(earned.max(2 * HEADER_BYTES)).unwrap_or(i64::MAX)
    }
}
