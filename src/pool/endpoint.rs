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
        /// Number of connections to the endpoint that were leased when the call got this connection
        /// and had served a call before, including this connection if it had served one.
        leased_with_served_call: usize,
        /// Time in microseconds for which the connection had been idle before the call; `None` for
        /// the first call on the connection.
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
    /// Number of calls that got the connection so far, including the one that has it now.
    pub(super) calls: u64,
    /// True if at least one call on the connection was served, so the endpoint accepts the
    /// connection.
    pub(super) has_served_call: bool,
    /// True if the connection was dialled as a trial above the endpoint's learned cap on
    /// connections, and its first call has not been answered yet.
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
    /// True if the endpoint accepts new calls; false once it is retired.
    pub(super) is_serving: bool,
    /// Calls that wait for a connection, oldest first.
    pub(super) waiting: VecDeque<Waiter>,
    /// True if the endpoint is in the pool's dial queue.
    pub(super) is_in_dial_queue: bool,
    /// Numbers of the idle connections; the one that became idle last is at the end.
    pub(super) idle: Vec<u64>,
    /// Number of leased connections.
    pub(super) leased: usize,
    /// Number of leased connections on which a call has been served.
    pub(super) leased_with_served_call: usize,
    /// Number of dials in flight.
    pub(super) dialling: usize,
    /// Recent peak of concurrent calls.
    pub(super) demand_peak: DemandPeak,
    /// Number of connections that the endpoint seems to accept from this sender; `None` if no
    /// cap has been learned.
    pub(super) cap: Option<LearnedCap>,
    /// A dial that was refused while other connections to the endpoint were open, until it is known
    /// whether these connections work.
    pub(super) refused_dial: Option<RefusedDial>,
    /// Rejections of first calls on new connections, which may show a cap.
    pub(super) rejected_first_calls: RejectedFirstCalls,
    /// Idle timeout that is shorter than the one set for all endpoints. It is used after a call on a
    /// connection that had been idle was reset: the endpoint seems to close idle connections
    /// earlier.
    pub(super) shortened_idle_timeout: Option<ShortenedIdleTimeout>,
    /// Time in microseconds before which the endpoint is not prewarmed, because it may be cold or
    /// down or has sent a Retry-After.
    pub(super) prewarm_not_before: Micros,
    /// Time in microseconds before which no further prewarming dial is made, so that the fleet
    /// makes only a few such dials a second.
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
            leased_with_served_call: 0,
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
    pub(super) fn is_retired_and_unused(&self) -> bool {
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
