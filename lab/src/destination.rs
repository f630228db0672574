//! Destinations without sockets or clock: what each makes of a call that has come in whole.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// Span in which a destination may take its capacity at once, us.
const BURST_US: f64 = 250_000.0;

/// What becomes of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// It is executed, and its answer is written after this time, us.
    Accepted { after_us: u64 },
    /// It is rejected.
    Rejected,
}

/// One destination with its endpoints.
#[derive(Debug)]
pub struct Destination {
    /// Calls a second that all its endpoints take together.
    capacity: f64,
    tokens: f64,
    seen_us: u64,
    latency_us: f64,
    shut: Vec<bool>,
    random: Pcg64,
}

impl Destination {
    pub fn new(capacity: f64, latency_ms: f64, endpoints: usize, seed: u64) -> Self {
        Destination {
            capacity,
            tokens: capacity * BURST_US / 1e6,
            seen_us: 0,
            latency_us: latency_ms * 1e3,
            shut: vec![false; endpoints],
            random: Pcg64::seed_from_u64(seed),
        }
    }

    /// Shuts one of its endpoints, or opens it.
    pub fn shut(&mut self, endpoint: usize, shut: bool) {
        if let Some(state) = self.shut.get_mut(endpoint) {
            *state = shut;
        }
    }

    /// A call comes in. Calls beyond the capacity and calls to what is shut are rejected.
    pub fn call(&mut self, now_us: u64, endpoint: usize) -> CallOutcome {
        let passed = now_us.saturating_sub(self.seen_us) as f64;
        self.seen_us = now_us.max(self.seen_us);
        let most = (self.capacity * BURST_US / 1e6).max(1.0);
        self.tokens = (self.tokens + passed * self.capacity / 1e6).min(most);
        if self.shut.get(endpoint).copied().unwrap_or(true) || self.tokens < 1.0 {
            return CallOutcome::Rejected;
        }
        self.tokens -= 1.0;
        // half to twice the median, even in its logarithm
        let factor = 2f64.powf(self.random.random_range(-1.0..1.0));
        CallOutcome::Accepted {
            after_us: (self.latency_us * factor) as u64,
        }
    }
}

#[cfg(test)]
mod tests;
