//! How long to back off before asking discovery again, and by when what a silent watch missed counts as told.

use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::time::Duration;

/// An empty line is due every 2 s; a watch that is silent for longer has lost its connection.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);
/// What a silent watch missed counts as told so long after its last byte, arrived or not.
pub const BINDING_AFTER: Duration = Duration::from_secs(6);
pub const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1000);
/// The same for each sender that shares discovery: so many calls a second may come from all together, where all
/// have lost their watches at one moment.
const INITIAL_DELAY_PER_SENDER: Duration = Duration::from_millis(25);
const MAX_DELAY_PER_SENDER: Duration = Duration::from_millis(300);
/// No longer than this, however many senders there are said to be: what discovery has counts as told [`TOLD`] after
/// it can be reached again, and a call that finds it may take [`SILENCE`]. A backoff is half as long again at most.
const MAX_NOMINAL_DELAY: Duration =
    Duration::from_millis((BINDING_AFTER.as_millis() - SILENCE_TIMEOUT.as_millis()) as u64 * 2 / 3);
/// Tries of senders whose watches all fell silent at one moment are spread over this at most: with [`SILENCE`] it
/// leaves a quarter of [`TOLD`] for the answer.
const MAX_SILENCE_SPREAD: Duration = Duration::from_millis(2000);
/// A sender that has not asked for the settings' time is held to what was listed then; one whose call failed, for so
/// many times that.
const FAILED_CALL_VALIDITY_FACTOR: f64 = 4.0;
/// Part of such a time that the longest backoff fills, which lasts one and a half times what is due.
const VALIDITY_SHARE: f64 = 0.9 / 1.5;

/// Who shares discovery, and how it is told apart.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DiscoveryClients {
    /// Senders that ask it.
    pub senders: u32,
    /// It is asked: one service for all. Else each sender has an agent of its own, to which lists are pushed.
    pub is_common_service: bool,
    /// Where it is asked: for how long the list of a sender that neither watches nor asks is good.
    pub poll_interval: Duration,
}

/// How long to back off between two tries: longer each time, never just as long as others do, and by the number of
/// senders, since their tries together are what discovery must bear.
#[derive(Debug)]
pub struct Backoff {
    random: Pcg32,
    initial_delay: Duration,
    max_delay: Duration,
    delay: Duration,
    /// Between the tries of all senders that contend for discovery at once.
    contention: Duration,
}

impl Backoff {
    /// For one of so many senders.
    pub fn new(clients: DiscoveryClients, seed: u64) -> Self {
        // an agent of one's own bears as many tries as one sender makes
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

    /// Longer backoffs from now on, or again the first.
    pub fn advance(&mut self, failed: bool) {
        self.delay = if failed {
            (self.delay * 2).min(self.max_delay)
        } else {
            self.initial_delay
        };
    }

    /// The backoff before the first try; none for the few senders that can't overload discovery.
    pub fn start_delay(&mut self) -> Duration {
        if self.initial_delay > MAX_RETRY_DELAY {
            self.initial_delay.mul_f64(1.5 * self.random_fraction())
        } else {
            Duration::ZERO
        }
    }

    /// The next backoff: from half to one and a half times as long as is due.
    pub fn next_delay(&mut self) -> Duration {
        self.delay.mul_f64(0.5 + self.random_fraction())
    }

    /// The backoff before a watch that fell silent is begun anew: a good part of its time has passed.
    pub fn delay_after_silence(&mut self) -> Duration {
        self.contention
            .min(MAX_SILENCE_SPREAD)
            .mul_f64(self.random_fraction())
    }

    pub fn random_fraction(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }
}

#[cfg(test)]
mod tests;
