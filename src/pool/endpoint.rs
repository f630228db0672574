//! What is known of one endpoint, and of one connection to it.

use super::accounting::Counts;
use super::idle::ShortenedKeep;
use super::learned_caps::{LearnedCap, RefusedBeside, TurnedAway};
use super::messages::Place;
use super::settings::Limits;
use super::sizing::Peak;
use crate::Micros;
use std::collections::VecDeque;

/// What a connection does.
#[derive(Debug)]
pub(super) enum State {
    Dialling {
        since: Micros,
    },
    Idle {
        since: Micros,
    },
    /// Since then, with so many proven ones leased, after having been idle for so long.
    Leased {
        at: Micros,
        proven: usize,
        idle_for: Option<Micros>,
    },
}

/// One connection, from dial to close.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) place: Place,
    pub(super) state: State,
    /// When it came up, or last brought an answer.
    pub(super) heard: Micros,
    pub(super) up_at: Micros,
    /// Calls that it has carried, and whether one of them was served.
    pub(super) calls: u64,
    pub(super) served: bool,
    /// It tries the endpoint's cap, until its first call tells.
    pub(super) trial: bool,
}

/// One endpoint at one address.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) serving: bool,
    /// Calls that wait, oldest first, with the time since which they do.
    pub(super) waiting: VecDeque<(u64, Micros)>,
    /// It stands in the queue for room.
    pub(super) queued: bool,
    /// Newest last.
    pub(super) idle: Vec<u64>,
    pub(super) leased: usize,
    /// Leased ones that have been served a call.
    pub(super) proven: usize,
    pub(super) dialling: usize,
    pub(super) peak: Peak,
    pub(super) cap: Option<LearnedCap>,
    pub(super) refused: Option<RefusedBeside>,
    pub(super) turned_away: TurnedAway,
    pub(super) shortened_keep: Option<ShortenedKeep>,
    /// Nothing is dialled ahead of need before this, as it may be cold, and before its turn comes again.
    pub(super) prewarm_from: Micros,
    pub(super) prewarm_next: Micros,
    /// When a call asked last.
    pub(super) asked: Micros,
    pub(super) counts: Counts,
}

impl Endpoint {
    pub(super) fn new(now: Micros, limits: &Limits) -> Self {
        Endpoint {
            serving: true,
            waiting: VecDeque::new(),
            queued: false,
            idle: Vec::new(),
            leased: 0,
            proven: 0,
            dialling: 0,
            peak: Peak {
                calls: 0.0,
                at: now,
            },
            cap: None,
            refused: None,
            turned_away: TurnedAway::default(),
            shortened_keep: None,
            prewarm_from: now + limits.cold,
            prewarm_next: now,
            asked: Micros::MIN,
            counts: Counts::default(),
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

    /// Nothing is left of it but its counts.
    pub(super) fn done(&self) -> bool {
        !self.serving && self.open() == 0 && self.waiting.is_empty()
    }

    /// Nothing is dialled ahead of need before this time.
    pub(super) fn delay_prewarm(&mut self, until: Micros) {
        self.prewarm_from = self.prewarm_from.max(until);
    }
}
