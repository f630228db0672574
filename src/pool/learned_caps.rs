//! Learned caps: how many connections an endpoint seems to bear from this sender, learned from connects and first calls
//! that it refuses, and tried above from time to time.

use super::Pool;
use super::messages::{Answered, Place};
use crate::{Micros, SECOND};

/// First backoff before a learned cap is tried above, and the longest; each sender of a fleet adds to both, so that
/// all together try about twice a second at most.
const RAISE_FIRST: Micros = 2 * SECOND;
const RAISE_MOST: Micros = 60 * SECOND;
const RAISE_EACH: Micros = SECOND / 2;
/// Dials above a learned cap at once, when the ones before came up. Many senders add one at a time.
const RAISE_STEP: usize = 8;
pub(super) const FEW_SENDERS: u32 = 4;
/// So often must a first call be turned away and a later one on an older connection be served.
const TURNED_AWAY_ENOUGH: u32 = 4;

/// The number of connections that an endpoint seems to bear from this sender.
#[derive(Debug)]
pub(super) struct LearnedCap {
    pub(super) most: usize,
    /// When it may be tried above.
    pub(super) next: Micros,
    /// How long nothing was tried before that.
    backoff: Micros,
    /// With how many dials at once, and how many are out.
    pub(super) step: usize,
    pub(super) trials: usize,
}

impl LearnedCap {
    /// A dial above the cap has told.
    pub(super) fn end_trial(&mut self) {
        self.trials = self.trials.saturating_sub(1);
    }

    /// A connection above the cap works: how long until the next is tried.
    fn raise(&mut self, first_backoff: Micros, step_most: usize) -> Micros {
        self.most += 1;
        self.backoff = first_backoff;
        if self.trials == 0 {
            self.step = (self.step * 2).min(step_most);
        }
        first_backoff / 2
    }

    /// None does: how long until the next is tried.
    fn back_off(&mut self, first_backoff: Micros) -> Micros {
        self.step = 1;
        self.backoff = (self.backoff * 2).min(first_backoff.max(RAISE_MOST));
        self.backoff
    }
}

/// A connect was refused beside open connections; whether these work is not known yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct RefusedBeside {
    /// How many were open, less those that have broken since.
    pub(super) established: usize,
    pub(super) at: Micros,
}

/// First calls that were turned away, until older connections tell whether that was their being new.
#[derive(Debug, Default)]
pub(super) struct TurnedAway {
    /// When the last one began, and how many proven connections were leased then.
    pending: Option<(Micros, usize)>,
    confirmed: u32,
}

impl TurnedAway {
    /// Notes the answer to a call that began at a time, with so many proven connections leased. An endpoint that turns
    /// away whatever comes does so on older connections too, as soon as as many are busy.
    fn note(&mut self, answered: Answered, first_call: bool, at: Micros, proven: usize) {
        match (answered, first_call) {
            (Answered::TurnedAway, true) => self.pending = Some((at, proven)),
            (Answered::TurnedAway, false) | (Answered::Served, true) => {
                *self = TurnedAway::default()
            }
            (Answered::Served, false) => {
                if self
                    .pending
                    .take_if(|(began, then)| at >= *began && proven >= *then)
                    .is_some()
                {
                    self.confirmed += 1;
                }
            }
            (Answered::Other, _) => {}
        }
    }

    /// Connections were refused for being new, often enough to be no chance.
    fn tells_a_cap(&self) -> bool {
        self.confirmed >= TURNED_AWAY_ENOUGH
    }
}

impl Pool {
    fn first_backoff(&self) -> Micros {
        RAISE_FIRST.max(RAISE_EACH * Micros::from(self.limits.senders))
    }

    /// A dial above the learned cap brought a connection that works, or none.
    pub(super) fn tried_above_cap(&mut self, now: Micros, place: Place, works: bool) {
        let first_backoff = self.first_backoff();
        let part = self.spread(SECOND) as f64 / SECOND as f64;
        let step_most = if self.limits.senders <= FEW_SENDERS {
            RAISE_STEP
        } else {
            1
        };
        let per_endpoint = self.limits.per_endpoint;
        let Some(endpoint) = self.endpoints.get_mut(&place) else {
            return;
        };
        let Some(cap) = &mut endpoint.cap else { return };
        cap.end_trial();
        let pause = if works {
            cap.raise(first_backoff, step_most)
        } else {
            cap.back_off(first_backoff)
        };
        cap.next = now + (pause as f64 * part) as Micros;
        endpoint.cap.take_if(|cap| cap.most >= per_endpoint);
    }

    /// What an answer on a connection that came up at `up_at` tells of the endpoint's cap; the call began at `at`.
    pub(super) fn learn_from_answer(&mut self, now: Micros, place: Place, call: &AnsweredCall) {
        let Some(endpoint) = self.endpoints.get_mut(&place) else {
            return;
        };
        // the connections beside which a connect was refused do work
        if let Some(refused) = endpoint.refused.take_if(|refused| call.up_at <= refused.at) {
            self.learn_cap(now, place, refused.established);
            return;
        }
        endpoint
            .turned_away
            .note(call.answered, call.first, call.at, call.proven);
        if self.limits.learn_caps && endpoint.turned_away.tells_a_cap() {
            endpoint.turned_away = TurnedAway::default();
            let served = self
                .connections
                .values()
                .filter(|other| other.place == place && other.served)
                .count();
            self.learn_cap(now, place, served);
        }
    }

    /// A connection beside which a connect was refused has broken too: with the last one it is an outage.
    pub(super) fn one_less_works(&mut self, place: Place) {
        let Some(endpoint) = self.endpoints.get_mut(&place) else {
            return;
        };
        let established = endpoint.established();
        endpoint.refused = match endpoint.refused {
            Some(refused) if established > 0 => Some(RefusedBeside {
                established,
                ..refused
            }),
            _ => None,
        };
    }

    fn learn_cap(&mut self, now: Micros, place: Place, most: usize) {
        let backoff = self.first_backoff();
        let next = now + self.spread(backoff);
        if let Some(endpoint) = self.endpoints.get_mut(&place) {
            let trials = endpoint.cap.as_ref().map_or(0, |cap| cap.trials);
            endpoint.cap = Some(LearnedCap {
                most: most.max(1),
                next,
                backoff,
                step: 1,
                trials,
            });
        }
    }
}

/// A call that was answered, and the connection that carried it.
#[derive(Debug)]
pub(super) struct AnsweredCall {
    pub(super) answered: Answered,
    /// When it began, and how many proven connections were leased then.
    pub(super) at: Micros,
    pub(super) proven: usize,
    /// The connection had carried none before.
    pub(super) first: bool,
    /// When the connection came up.
    pub(super) up_at: Micros,
}
