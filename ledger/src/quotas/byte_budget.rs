//! The bytes that quota requests and responses may take, as a token bucket.

use versioned_config::Micros;

/// Bytes of a question and its answer beside their bodies: a connection of its own (13 packets of 52 bytes with their
/// heads) and two HTTP heads of some 130.
pub const HEADER_BYTES: u64 = 950;

/// Bytes that one name and its answer take in the compact form, rather more than less: two differences of places and a want
/// and a quota of up to 3 bytes each. What they really took is booked afterwards.
const NAME_BYTES: u64 = 12;

/// Bytes that questions and answers may take: a token bucket that saves up one lease's bytes and may be overdrawn by one
/// question. Over any span T they take no more than rate x (T + lease) and one question.
#[derive(Debug, Clone)]
pub struct ByteBudget {
    /// Bytes a second.
    rate: u64,
    tokens: i64,
    at: Micros,
}

impl ByteBudget {
    /// A budget of so many bytes a second that begins full, a lease's worth.
    pub fn new(rate: u64, lease: Micros, now: Micros) -> Self {
        let mut budget = ByteBudget {
            rate,
            tokens: 0,
            at: now,
        };
        budget.tokens = budget.most(lease);
        budget
    }

    /// Names that a question has room for now; none: no question.
    pub fn available_keys(&mut self, now: Micros, lease: Micros) -> usize {
        let earned = now.saturating_sub(self.at).saturating_mul(self.rate) / 1_000_000;
        if earned > 0 {
            self.tokens = self
                .tokens
                .saturating_add_unsigned(earned)
                .min(self.most(lease));
            self.at = now;
        }
        let bytes = u64::try_from(self.tokens)
            .unwrap_or(0)
            .saturating_sub(HEADER_BYTES);
        usize::try_from(bytes / NAME_BYTES).unwrap_or(usize::MAX)
    }

    /// Books a question of so many bytes, and the heads of both.
    pub fn charge_request(&mut self, body: u64) {
        self.charge_response(body.saturating_add(HEADER_BYTES));
    }

    /// Books its answer.
    pub fn charge_response(&mut self, body: u64) {
        self.tokens = self.tokens.saturating_sub_unsigned(body);
    }

    /// What may be saved up: a lease's worth, and two questions' heads where leases are short.
    fn most(&self, lease: Micros) -> i64 {
        let worth = lease.saturating_mul(self.rate) / 1_000_000;
        i64::try_from(worth.max(2 * HEADER_BYTES)).unwrap_or(i64::MAX)
    }
}
