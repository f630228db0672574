//! The pool's records of an endpoint and of a connection.

use super::accounting::PoolCounters;
use super::idle::ShortenedIdleTimeout;
use super::learned_caps::{LearnedCap, RefusedDial, RejectedFirstCalls};
use super::messages::EndpointAddress;
use super::settings::PoolLimits;
use super::sizing::DemandPeak;
use crate::Micros;
use std::collections::VecDeque;

/// Whether a connection is being dialled, idle or leased to a call.
#[derive(Debug)]
pub(super) enum ConnectionState {
    Dialling {
        /// Time in microseconds at which the dial began.
        since: Micros,
    },
    Idle {
        /// Time in microseconds since which the connection has carried no call.
        since: Micros,
    },
    /// The connection carries a call.
    Leased {
        /// Time in microseconds at which the call got the connection.
        since: Micros,
        /// Number of connections to the endpoint that were leased at that time and had served a
        /// call before, including this one if it had.
        leased_proven: usize,
        /// Time in microseconds for which the connection had been idle before; `None` if this is
        /// its first call.
        idle_for: Option<Micros>,
    },
}

/// A connection, from the start of the dial until it is closed.
#[derive(Debug)]
pub(super) struct Connection {
    /// Endpoint and address that the connection goes to.
    pub(super) target: EndpointAddress,
    pub(super) state: ConnectionState,
    /// Time in microseconds at which the dial succeeded or the last answer was received.
    pub(super) last_received_at: Micros,
    /// Time in microseconds at which the dial succeeded.
    pub(super) connected_at: Micros,
    /// Number of calls that the connection has carried, including a present one.
    pub(super) calls: u64,
    /// At least one call on the connection was served, so the endpoint accepts the connection.
    pub(super) is_proven: bool,
    /// The connection was dialled as a trial above the endpoint's learned cap, and its first call
    /// has not been answered yet.
    pub(super) is_trial: bool,
}

/// A call that waits for a connection.
#[derive(Debug, Clone, Copy)]
pub(super) struct Waiter {
    /// Number of the call.
    pub(super) number: u64,
    /// Time in microseconds since which the call waits.
    pub(super) since: Micros,
}

/// An endpoint at one address.
#[derive(Debug)]
pub(super) struct Endpoint {
    /// The endpoint takes new calls; false once it is retired.
    pub(super) is_serving: bool,
    /// Calls that wait for a connection, oldest first.
    pub(super) waiting: VecDeque<Waiter>,
    /// The endpoint is in the pool's dial queue.
    pub(super) is_in_dial_queue: bool,
    /// Numbers of the idle connections; the one that became idle last is at the end.
    pub(super) idle: Vec<u64>,
    /// Number of leased connections.
    pub(super) leased: usize,
    /// Number of leased connections on which a call has been served.
    pub(super) leased_proven: usize,
    /// Number of dials in flight.
    pub(super) dialling: usize,
    /// Recent peak of concurrent calls.
    pub(super) demand_peak: DemandPeak,
    /// Number of connections that the endpoint seems to accept from this sender; `None` while no
    /// cap has shown.
    pub(super) cap: Option<LearnedCap>,
    /// A dial that was refused while connections were open, until it is known whether these work.
    pub(super) refused_dial: Option<RefusedDial>,
    /// Rejections of first calls on new connections, which may show a cap.
    pub(super) rejected_first_calls: RejectedFirstCalls,
    /// Shorter idle timeout than the one set, if the endpoint has closed idle connections early.
    pub(super) shortened_idle_timeout: Option<ShortenedIdleTimeout>,
    /// Time in microseconds before which the endpoint is not prewarmed, because it may be cold or
    /// down or has sent a Retry-After.
    pub(super) prewarm_not_before: Micros,
    /// Time in microseconds of the next prewarming dial, which keeps the rate of such dials low.
    pub(super) next_prewarm_at: Micros,
    /// Time in microseconds at which a call last asked for a connection.
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

    /// Returns the number of established connections, idle or leased.
    pub(super) fn established(&self) -> usize {
        self.idle.len() + self.leased
    }

    /// Returns the number of connections that are established or being dialled.
    pub(super) fn open(&self) -> usize {
        self.established() + self.dialling
    }

    /// Returns true if the endpoint is retired and has neither connections nor waiting calls, so
    /// that only its counters have to be kept.
    pub(super) fn is_done(&self) -> bool {
        !self.is_serving && self.open() == 0 && self.waiting.is_empty()
    }

    /// Delays prewarming until `until` at least, a time in microseconds.
    pub(super) fn delay_prewarm(&mut self, until: Micros) {
        self.prewarm_not_before = self.prewarm_not_before.max(until);
    }

    pub(super) fn is_prewarm_due(&self, now: Micros) -> bool {
        now >= self.prewarm_not_before && now >= self.next_prewarm_at
    }
}
