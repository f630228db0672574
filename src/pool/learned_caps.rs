//! Learned caps: how many connections an endpoint seems to accept from this sender, learned from dials and first calls
//! that it refuses, and tried above from time to time.

use super::Pool;
use super::messages::{AnswerKind, EndpointAddress};
use crate::{Micros, SECOND};

/// First backoff before a learned cap is tried above, and the longest; each sender of a fleet adds to both, so that
/// all together try about twice a second at most.
const FIRST_TRIAL_BACKOFF: Micros = 2 * SECOND;
const MAX_TRIAL_BACKOFF: Micros = 60 * SECOND;
const TRIAL_BACKOFF_PER_SENDER: Micros = SECOND / 2;
/// Concurrent dials above a learned cap, when the ones before came up. Large fleets add one at a time.
const MAX_CONCURRENT_TRIALS: usize = 8;
/// Fleets of at most so many senders may take larger steps, and keep idle connections also where these are scarce.
pub(super) const SMALL_FLEET_SENDERS: u32 = 4;
/// So often must a first call be rejected while a later one on an older connection is served.
const REQUIRED_CONFIRMATIONS: u32 = 4;

/// The number of connections that an endpoint seems to accept from this sender.
#[derive(Debug)]
pub(super) struct LearnedCap {
    pub(super) connections: usize,
    /// When it may be tried above.
    next_trial_at: Micros,
    /// The last time without a trial.
    backoff: Micros,
    /// Trials that may be in flight.
    allowed_trials: usize,
    /// Trials in flight.
    pub(super) trials: usize,
}

impl LearnedCap {
    pub(super) fn allows_trial(&self, now: Micros) -> bool {
        now >= self.next_trial_at && self.trials < self.allowed_trials
    }

    /// A dial above the cap has ended.
    pub(super) fn end_trial(&mut self) {
        self.trials = self.trials.saturating_sub(1);
    }

    /// A connection above the cap works: how long until the next trial.
    fn raise(&mut self, first_backoff: Micros, max_trials: usize) -> Micros {
        self.connections += 1;
        self.backoff = first_backoff;
        if self.trials == 0 {
            self.allowed_trials = (self.allowed_trials * 2).min(max_trials);
        }
        first_backoff / 2
    }

    /// A connection above the cap does not work: how long until the next trial.
    fn back_off(&mut self, first_backoff: Micros) -> Micros {
        self.allowed_trials = 1;
        self.backoff = (self.backoff * 2).min(first_backoff.max(MAX_TRIAL_BACKOFF));
        self.backoff
    }
}

/// A dial was refused beside open connections; whether these work is not known yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct RefusedDial {
    /// How many were open, less those that have broken since.
    pub(super) established: usize,
    pub(super) at: Micros,
}

/// A first call that was rejected.
#[derive(Debug, Clone, Copy)]
struct RejectedCall {
    began_at: Micros,
    /// Proven connections that were leased then.
    leased_proven: usize,
}

/// First calls that were rejected, until older connections tell whether that was for being new.
#[derive(Debug, Default)]
pub(super) struct RejectedFirstCalls {
    unconfirmed: Option<RejectedCall>,
    confirmations: u32,
}

impl RejectedFirstCalls {
    /// Takes in the answer to a call. An endpoint that rejects whatever comes does so on older connections too, as soon
    /// as as many of them are busy.
    fn record(&mut self, call: &AnsweredCall) {
        match (call.answer, call.is_first) {
            (AnswerKind::Rejected, true) => {
                self.unconfirmed = Some(RejectedCall {
                    began_at: call.began_at,
                    leased_proven: call.leased_proven,
                });
            }
            (AnswerKind::Rejected, false) | (AnswerKind::Served, true) => {
                *self = RejectedFirstCalls::default();
            }
            (AnswerKind::Served, false) => {
                let confirmed = self.unconfirmed.take_if(|rejected| {
                    call.began_at >= rejected.began_at
                        && call.leased_proven >= rejected.leased_proven
                });
                self.confirmations += u32::from(confirmed.is_some());
            }
            (AnswerKind::Other, _) => {}
        }
    }

    /// Connections were rejected for being new, often enough to be no chance.
    fn shows_a_cap(&self) -> bool {
        self.confirmations >= REQUIRED_CONFIRMATIONS
    }
}

/// A call that was answered, and the connection that carried it.
#[derive(Debug)]
pub(super) struct AnsweredCall {
    pub(super) answer: AnswerKind,
    pub(super) began_at: Micros,
    /// Proven connections that were leased when it began.
    pub(super) leased_proven: usize,
    /// The connection had carried none before.
    pub(super) is_first: bool,
    /// When the connection came up.
    pub(super) connected_at: Micros,
}

impl Pool {
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

    /// A dial above the learned cap brought a connection that works, or none.
    pub(super) fn finish_trial(&mut self, now: Micros, target: EndpointAddress, works: bool) {
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
        let backoff = if works {
            cap.raise(first_backoff, max_trials)
        } else {
            cap.back_off(first_backoff)
        };
        cap.next_trial_at = now + (backoff as f64 * jitter) as Micros;
        endpoint.cap.take_if(|cap| cap.connections >= per_endpoint);
    }

    /// What an answer tells of the endpoint's cap.
    pub(super) fn learn_from_answer(
        &mut self,
        now: Micros,
        target: EndpointAddress,
        call: &AnsweredCall,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(&target) else {
            return;
        };
        // the connections beside which a dial was refused do work
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
            let proven = self
                .connections
                .values()
                .filter(|other| other.target == target && other.is_proven)
                .count();
            self.learn_cap(now, target, proven);
        }
    }

    /// A connection beside which a dial was refused has broken too: with the last one it is an outage.
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

    fn learn_cap(&mut self, now: Micros, target: EndpointAddress, connections: usize) {
        let backoff = self.first_trial_backoff();
        let next_trial_at = now + self.with_jitter(backoff);
        if let Some(endpoint) = self.endpoints.get_mut(&target) {
            let trials = endpoint.cap.as_ref().map_or(0, |cap| cap.trials);
            endpoint.cap = Some(LearnedCap {
                connections: connections.max(1),
                next_trial_at,
                backoff,
                allowed_trials: 1,
                trials,
            });
        }
    }
}
