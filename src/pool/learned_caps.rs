//! Learned caps: the number of connections that an endpoint seems to accept from this sender.
//!
//! A cap is learned in two ways. An endpoint may refuse a dial while established connections to it
//! work. Or the endpoint may accept the connection and reject the first call on it, while calls on
//! older connections are served. From time to time a trial, a dial above the cap, tests whether the
//! endpoint accepts more connections by now.

use super::Pool;
use super::messages::{AnswerKind, EndpointAddress};
use crate::{Micros, SECOND};

/// Backoff in microseconds before the first trial above a learned cap, in a small fleet.
const FIRST_TRIAL_BACKOFF: Micros = 2 * SECOND;
/// Maximum backoff in microseconds between trials above a learned cap, unless the first backoff is
/// longer because the fleet is large.
const MAX_TRIAL_BACKOFF: Micros = 60 * SECOND;
/// Backoff in microseconds for each sender of the fleet; the first backoff is at least this value
/// times the number of senders. So all senders together make about two trials a second at most.
const TRIAL_BACKOFF_PER_SENDER: Micros = SECOND / 2;
/// Maximum number of concurrent trials above a learned cap, reached by doubling while trials
/// succeed. Large fleets make one trial at a time.
const MAX_CONCURRENT_TRIALS: usize = 8;
/// Maximum number of senders of a small fleet. Its senders may make several trials at once, and
/// keep idle connections even when connections are scarce.
pub(super) const SMALL_FLEET_SENDERS: u32 = 4;
/// Number of times that a first call must be rejected while a later call on an older connection is
/// served, before a cap is learned. Fewer rejections may be a coincidence.
const REQUIRED_CONFIRMATIONS: u32 = 4;

/// The number of connections that an endpoint seems to accept from this sender.
#[derive(Debug)]
pub(super) struct LearnedCap {
    /// Number of connections, including those being dialled, that the endpoint seems to accept.
    pub(super) connections: usize,
    /// Time in microseconds from which on a trial above the cap is allowed.
    next_trial_at: Micros,
    /// Backoff in microseconds that was last used; it doubles with each trial that fails.
    backoff: Micros,
    /// Maximum of `trials` at present: a trial may begin only while fewer are counted. The maximum
    /// doubles while trials succeed and falls to 1 when a trial fails.
    max_trials_now: usize,
    /// Number of trials that have not ended: each is a connection above the cap whose dial is in
    /// flight or whose first call has not been answered yet. A trial whose dial failed because of
    /// the local host also stays counted.
    pub(super) trials: usize,
}

impl LearnedCap {
    pub(super) fn allows_trial(&self, now: Micros) -> bool {
        now >= self.next_trial_at && self.trials < self.max_trials_now
    }

    /// Records that a trial has ended: the network or the endpoint made its dial fail, its first
    /// call was answered, or its connection was closed before that.
    pub(super) fn end_trial(&mut self) {
        self.trials = self.trials.saturating_sub(1);
    }

    /// Raises the cap by one after a trial that succeeded. Once all trials have ended, twice as
    /// many are allowed at once. Returns the time in microseconds until the next trial, before
    /// jitter.
    fn raise(&mut self, first_backoff: Micros, max_trials: usize) -> Micros {
        self.connections += 1;
        self.backoff = first_backoff;
        if self.trials == 0 {
            self.max_trials_now = (self.max_trials_now * 2).min(max_trials);
        }
        first_backoff / 2
    }

    /// Doubles the backoff after a trial that failed, and allows one trial at a time. Returns the
    /// time in microseconds until the next trial, before jitter.
    fn back_off(&mut self, first_backoff: Micros) -> Micros {
        self.max_trials_now = 1;
        self.backoff = (self.backoff * 2).min(first_backoff.max(MAX_TRIAL_BACKOFF));
        self.backoff
    }
}

/// A dial that was refused while connections to the endpoint were open. If these connections work,
/// the endpoint has a cap; if they break too, there is an outage. This record is kept until either
/// is known.
#[derive(Debug, Clone, Copy)]
pub(super) struct RefusedDial {
    /// Number of connections established when the dial was refused, without those that have broken
    /// since.
    pub(super) established: usize,
    /// Time in microseconds at which the dial was refused.
    pub(super) at: Micros,
}

/// A rejected call that was the first on its connection.
#[derive(Debug, Clone, Copy)]
struct RejectedCall {
    /// Time in microseconds at which the call got its connection.
    began_at: Micros,
    /// Number of connections to the endpoint that were leased when the call got its connection and
    /// had served a call before.
    leased_with_served_call: usize,
}

/// Rejections of first calls on new connections. Such a rejection shows a cap on connections only
/// if calls on older connections are served at the same load; otherwise the endpoint rejects calls
/// on any connection.
#[derive(Debug, Default)]
pub(super) struct RejectedFirstCalls {
    /// The last rejected first call, until a later call on an older connection is served.
    unconfirmed: Option<RejectedCall>,
    /// Number of rejected first calls that were followed by a served call on an older connection.
    confirmations: u32,
}

impl RejectedFirstCalls {
    /// Records the answer to a call.
    ///
    /// A rejected first call is confirmed by a call that began later on an older connection and was
    /// served while at least as many connections that had served a call before were leased. An
    /// endpoint that limits calls instead of connections would have rejected that call too. A
    /// rejection on an older connection, or a served first call, contradicts a cap and resets the
    /// record.
    fn record(&mut self, call: &AnsweredCall) {
        match (call.answer, call.is_first) {
            (AnswerKind::Rejected, true) => {
                self.unconfirmed = Some(RejectedCall {
                    began_at: call.began_at,
                    leased_with_served_call: call.leased_with_served_call,
                });
            }
            (AnswerKind::Rejected, false) | (AnswerKind::Served, true) => {
                *self = RejectedFirstCalls::default();
            }
            (AnswerKind::Served, false) => {
                let confirmed = self.unconfirmed.take_if(|rejected| {
                    call.began_at >= rejected.began_at
                        && call.leased_with_served_call >= rejected.leased_with_served_call
                });
                self.confirmations += u32::from(confirmed.is_some());
            }
            (AnswerKind::Other, _) => {}
        }
    }

    /// Returns true if first calls on new connections were rejected often enough, while calls on
    /// older connections were served, to rule out a coincidence.
    fn shows_a_cap(&self) -> bool {
        self.confirmations >= REQUIRED_CONFIRMATIONS
    }
}

/// An answered call and the connection that carried it, as needed to learn a cap.
#[derive(Debug)]
pub(super) struct AnsweredCall {
    pub(super) answer: AnswerKind,
    /// Time in microseconds at which the call got its connection.
    pub(super) began_at: Micros,
    /// Number of connections to the endpoint that were leased when the call began and had served a
    /// call before.
    pub(super) leased_with_served_call: usize,
    /// True if the call was the first one on its connection.
    pub(super) is_first: bool,
    /// Time in microseconds at which the connection was established.
    pub(super) connected_at: Micros,
}

impl Pool {
    /// Returns the backoff in microseconds before the first trial above a learned cap.
    fn first_trial_backoff(&self) -> Micros {
        FIRST_TRIAL_BACKOFF.max(TRIAL_BACKOFF_PER_SENDER * Micros::from(self.limits.senders))
    }

    fn max_concurrent_trials(&self) -> usize {
        if self.limits.senders <= SMALL_FLEET_SENDERS {
            MAX_CONCURRENT_TRIALS
        } else {
            1
        }
    }

    /// Ends a trial above the learned cap on connections. `succeeded` is true if the first call on
    /// the new connection was answered without a rejection, and false if the call was rejected or
    /// the dial failed. The cap is dropped once it reaches the
    /// configured limit.
    pub(super) fn finish_trial(&mut self, now: Micros, target: EndpointAddress, succeeded: bool) {
        let first_backoff = self.first_trial_backoff();
        let jitter = self.with_jitter(SECOND) as f64 / SECOND as f64;
        let max_trials = self.max_concurrent_trials();
        let per_endpoint = self.limits.per_endpoint;
        let Some(endpoint) = self.endpoints.get_mut(&target) else {
            return;
        };
        let Some(cap) = &mut endpoint.cap else {
            return;
        };
        cap.end_trial();
        let backoff = if succeeded {
            cap.raise(first_backoff, max_trials)
        } else {
            cap.back_off(first_backoff)
        };
        cap.next_trial_at = now + (backoff as f64 * jitter) as Micros;
        endpoint.cap.take_if(|cap| cap.connections >= per_endpoint);
    }

    /// Learns the endpoint's cap from an answer, if a dial was refused before or enough first calls
    /// were rejected.
    pub(super) fn learn_from_answer(
        &mut self,
        now: Micros,
        target: EndpointAddress,
        call: &AnsweredCall,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(&target) else {
            return;
        };
        // the answer came on a connection that was established when a dial was refused: the
        // connection works, so the refusal shows a cap and not an outage
        let refused = endpoint
            .refused_dial
            .take_if(|refused| call.connected_at <= refused.at);
        if let Some(refused) = refused {
            self.learn_cap(now, target, refused.established);
            return;
        }
        endpoint.rejected_first_calls.record(call);
        if self.limits.learn_caps && endpoint.rejected_first_calls.shows_a_cap() {
            endpoint.rejected_first_calls = RejectedFirstCalls::default();
            let with_served_call = self
                .connections
                .values()
                .filter(|other| other.target == target && other.has_served_call)
                .count();
            self.learn_cap(now, target, with_served_call);
        }
    }

    /// Updates the record of a refused dial after a connection broke. If no connection is left, the
    /// endpoint has an outage and not a cap, and the record is dropped.
    pub(super) fn update_refused_dial(&mut self, target: EndpointAddress) {
        let Some(endpoint) = self.endpoints.get_mut(&target) else {
            return;
        };
        let established = endpoint.established();
        endpoint.refused_dial = endpoint
            .refused_dial
            .filter(|_| established > 0)
            .map(|refused| RefusedDial {
                established,
                ..refused
            });
    }

    /// Sets the learned cap to `connections`, at least 1, and schedules the first trial above it.
    fn learn_cap(&mut self, now: Micros, target: EndpointAddress, connections: usize) {
        let backoff = self.first_trial_backoff();
        let next_trial_at = now + self.with_jitter(backoff);
        if let Some(endpoint) = self.endpoints.get_mut(&target) {
            let trials = endpoint.cap.as_ref().map_or(0, |cap| cap.trials);
            endpoint.cap = Some(LearnedCap {
                connections: connections.max(1),
                next_trial_at,
                backoff,
                max_trials_now: 1,
                trials,
            });
        }
    }
}
