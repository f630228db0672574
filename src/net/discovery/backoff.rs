//! Delays between calls to discovery.
//!
//! The platform holds a sender to a list change after a while, whether the change has arrived or not: from then on the
//! change is binding. The delays let a sender receive missed changes before they become binding.

use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::time::Duration;

/// Time without data after which a watch counts as disconnected. Discovery sends at least an empty line every 2 s.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time after which the platform holds a sender to a list change, received or not: the change is then binding. The time
/// counts from the last byte of a silent watch, or from when discovery can be reached again.
pub const BINDING_AFTER: Duration = Duration::from_secs(6);
/// Minimum nominal delay before the first retry, which applies if few or no other senders call the same discovery.
pub const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Nominal delay up to which retries back off if few or no other senders call the same discovery.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1000);
/// First delay for each sender that shares discovery: when all senders lose their watches at the same time, their first
/// retries reach discovery 25 ms apart on average.
const INITIAL_DELAY_PER_SENDER: Duration = Duration::from_millis(25);
/// Maximum delay for each sender that shares discovery: during a long outage the retries of all senders reach discovery
/// 300 ms apart on average.
const MAX_DELAY_PER_SENDER: Duration = Duration::from_millis(300);
/// Upper bound of the nominal delay for any configured number of senders. The platform holds a sender to missed changes
/// [`BINDING_AFTER`] after discovery can be reached again, and the call that reaches it may take [`SILENCE_TIMEOUT`]. The
/// randomized delay is at most one and a half times the nominal one.
const MAX_NOMINAL_DELAY: Duration =
    Duration::from_millis((BINDING_AFTER.as_millis() - SILENCE_TIMEOUT.as_millis()) as u64 * 2 / 3);
/// Maximum time over which senders spread their calls after their watches fell silent together. After this time and
/// [`SILENCE_TIMEOUT`] a quarter of [`BINDING_AFTER`] is left for the answer.
const MAX_SILENCE_SPREAD: Duration = Duration::from_millis(2000);
/// Ratio between two times for which the platform accepts calls by an old list: [`DiscoveryClients::poll_interval`] for a
/// sender that makes no call to discovery, and four times as long for a sender whose call failed.
const FAILED_CALL_VALIDITY_FACTOR: f64 = 4.0;
/// Maximum nominal delay as a share of the time for which the list is valid. The randomized delay is at most one and a
/// half times the nominal one, so it ends within 0.9 of that time.
const VALIDITY_SHARE: f64 = 0.9 / 1.5;

/// Number of senders that call discovery, and how they receive lists.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DiscoveryClients {
    /// Number of senders that call the same discovery.
    pub senders: u32,
    /// True if all senders call one common discovery service. False if each sender has its own agent on the local host,
    /// to which the lists are pushed.
    pub is_common_service: bool,
    /// Time for which a list remains valid for a sender that neither watches nor calls a common discovery service.
    pub poll_interval: Duration,
}

/// Randomized exponential backoff between calls. The delays grow with the number of senders, because discovery must
/// bear the calls of all of them together.
#[derive(Debug)]
pub struct Backoff {
    random: Pcg32,
    /// Nominal delay after a success.
    initial_delay: Duration,
    /// Upper bound of the nominal delay after repeated failures.
    max_delay: Duration,
    /// Nominal delay before the next call, before randomization.
    delay: Duration,
    /// Time over which all senders together spread their calls, at 25 ms for each sender.
    contention: Duration,
}

impl Backoff {
    /// Creates the backoff of one sender among `clients`, with the random seed `seed`.
    pub fn new(clients: DiscoveryClients, seed: u64) -> Self {
        // a sender's own agent serves no other sender, so the delays need not grow with the fleet
        let senders = if clients.is_common_service {
            clients.senders
        } else {
            1
        };
        let contention = INITIAL_DELAY_PER_SENDER.saturating_mul(senders);
        let mut initial_delay = INITIAL_RETRY_DELAY.max(contention).min(MAX_NOMINAL_DELAY);
        let mut max_delay = MAX_RETRY_DELAY
            .max(MAX_DELAY_PER_SENDER.saturating_mul(senders))
            .min(MAX_NOMINAL_DELAY);
        if clients.is_common_service {
            let validity_limit = clients
                .poll_interval
                .mul_f64(VALIDITY_SHARE)
                .max(INITIAL_RETRY_DELAY);
            (initial_delay, max_delay) = (
                initial_delay.min(validity_limit),
                max_delay.min(validity_limit.mul_f64(FAILED_CALL_VALIDITY_FACTOR)),
            );
        }
        Backoff {
            random: Pcg32::seed_from_u64(seed),
            initial_delay,
            max_delay,
            delay: initial_delay,
            contention,
        }
    }

    /// Doubles the nominal delay after a failure, up to the maximum, and resets it after a success.
    pub fn advance(&mut self, failed: bool) {
        self.delay = if failed {
            (self.delay * 2).min(self.max_delay)
        } else {
            self.initial_delay
        };
    }

    /// Returns the random delay before the first call of a process. It is zero if there are too few senders to overload
    /// discovery.
    pub fn start_delay(&mut self) -> Duration {
        if self.initial_delay > MAX_RETRY_DELAY {
            self.initial_delay.mul_f64(1.5 * self.random_fraction())
        } else {
            Duration::ZERO
        }
    }

    /// Returns a random delay between half of the nominal delay and one and a half times it.
    pub fn next_delay(&mut self) -> Duration {
        self.delay.mul_f64(0.5 + self.random_fraction())
    }

    /// Returns the random delay before a new watch replaces a silent one. It is short, because [`SILENCE_TIMEOUT`] has
    /// already passed since the last data.
    pub fn delay_after_silence(&mut self) -> Duration {
        self.contention
            .min(MAX_SILENCE_SPREAD)
            .mul_f64(self.random_fraction())
    }

    /// Returns a random number from 0 to 1.
    pub fn random_fraction(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }
}

#[cfg(test)]
mod tests;
