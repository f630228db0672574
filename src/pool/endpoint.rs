//! What is known of one endpoint, and of one connection to it.

use super::accounting::PoolCounters;
use super::idle::ShortenedIdleTimeout;
use super::learned_caps::{LearnedCap, RefusedDial, RejectedFirstCalls};
use super::messages::EndpointAddress;
use super::settings::PoolLimits;
use super::sizing::DemandPeak;
use crate::Micros;
use std::collections::VecDeque;

/// What a connection does.
#[derive(Debug)]
pub(super) enum ConnectionState {
    Dialling {
        since: Micros,
    },
    Idle {
        since: Micros,
    },
    /// It carries a call.
    Leased {
        since: Micros,
        /// Proven connections to the endpoint that were leased then, this one counted if it is.
        leased_proven: usize,
        /// How long it had been idle before; none if it had carried no call.
        idle_for: Option<Micros>,
    },
}

/// One connection, from dial to close.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) target: EndpointAddress,
    pub(super) state: ConnectionState,
    /// When it came up, or last brought an answer.
    pub(super) last_received_at: Micros,
    pub(super) connected_at: Micros,
    /// Calls that it has carried.
    pub(super) calls: u64,
    /// One of its calls was served.
    pub(super) is_proven: bool,
    /// It tries the endpoint's learned cap, until its first call is answered.
    pub(super) is_trial: bool,
}

/// A call that waits for a connection.
#[derive(Debug, Clone, Copy)]
pub(super) struct Waiter {
    pub(super) number: u64,
    pub(super) since: Micros,
}

/// One endpoint at one address.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) is_serving: bool,
    /// Calls that wait, oldest first.
    pub(super) waiting: VecDeque<Waiter>,
    /// It is in the queue for a dial.
    pub(super) is_in_dial_queue: bool,
    /// Idle connections, newest last.
    pub(super) idle: Vec<u64>,
    pub(super) leased: usize,
    /// Leased connections that have been served a call.
    pub(super) leased_proven: usize,
    pub(super) dialling: usize,
    pub(super) demand_peak: DemandPeak,
    pub(super) cap: Option<LearnedCap>,
    pub(super) refused_dial: Option<RefusedDial>,
    pub(super) rejected_first_calls: RejectedFirstCalls,
    pub(super) shortened_idle_timeout: Option<ShortenedIdleTimeout>,
    /// Nothing is dialled ahead of need before this, as the endpoint may be warming up.
    pub(super) prewarm_not_before: Micros,
    /// Nor before this, when its turn comes again.
    pub(super) next_prewarm_at: Micros,
    /// When a call last asked for a connection.
    pub(super) last_acquire_at: Micros,
    pub(super) counters: PoolCounters,
}

impl Endpoint {
    pub(super) fn new(now: Micros, limits: &PoolLimits) -> Self {
        Endpoint {
            is_serving: true,
            waiting: VecDeque::new(),
            is_in_dial_queue: false,
            idle: Vec::new(),
            leased: 0,
            leased_proven: 0,
            dialling: 0,
            demand_peak: DemandPeak {
                calls: 0.0,
                at: now,
            },
            cap: None,
            refused_dial: None,
            rejected_first_calls: RejectedFirstCalls::default(),
            shortened_idle_timeout: None,
            prewarm_not_before: now + limits.prewarm_delay,
            next_prewarm_at: now,
            last_acquire_at: Micros::MIN,
            counters: PoolCounters::default(),
        }
    }

    /// Connections that are up.
    pub(super) fn established(&self) -> usize {
        self.idle.len() + self.leased
    }

    /// Connections that are up or being dialled.
    pub(super) fn open(&self) -> usize {
        self.established() + self.dialling
    }

    /// Nothing is left of it but its counters.
    pub(super) fn is_done(&self) -> bool {
        !self.is_serving && self.open() == 0 && self.waiting.is_empty()
    }

    /// Nothing is dialled ahead of need before this time.
    pub(super) fn delay_prewarm(&mut self, until: Micros) {
        self.prewarm_not_before = self.prewarm_not_before.max(until);
    }

    pub(super) fn is_prewarm_due(&self, now: Micros) -> bool {
        now >= self.prewarm_not_before && now >= self.next_prewarm_at
    }
}
