//! How fast a destination, or a route of its own, is called: window, pace and slow start.

use super::{
    BUDGET_SHARE, FIRST_COPY_DELAY, LISTED_SURE, PACE_BURST, PACE_FIRST, PACE_LEAST, SILENT_LEAST,
    SILENT_OFFSETS, crowd,
};
use crate::decisions::state::{Health, Unit, seconds};
use crate::interface::{MILLISECOND, Micros, Safety};

/// Latencies remembered per unit, and the rank among them that sets the copy offset (20ths).
const LATENCIES: usize = 40;
const COPY_RANK: usize = 19;
/// What a congestion event leaves of the window. Lower drains queues sooner and costs more throughput.
const WINDOW_CUT: f64 = 0.7;
/// What a refusal leaves of the pace amid successes, and when nothing succeeded since the last cut. A lower
/// cut draws fewer refusals, a higher one keeps more of a shared limit.
const PACE_CUT: f64 = 0.8;
const PACE_HALVED: f64 = 0.5;
/// Part of a cut that one in a crowd leaves out: one debt refuses all that call while it runs off, so most
/// hear of it, and some twice. Less and all together fall far below the limit, more and they hover at it.
/// The rest after a refusal stays as long as after a whole cut.
const CROWD_CUT: f64 = 0.6;
/// Growth of the pace with each success, calls a second, at most this part of the pace, and twice that in a
/// crowd, where successes are seldom. Growth by successes, not by time, keeps the refused share the same
/// however few calls a sender makes.
const PACE_GROWTH: f64 = 0.25;
const PACE_GROWTH_MOST: f64 = 0.5;
/// Part of the growth that a crowd gives up: all have grown before any hears that it was too much.
const CROWD_GROWTH: f64 = 0.8;
/// Least pace of one sender in a fleet of any size: a call a minute starves nobody for good.
const PACE_SELDOM: f64 = 1.0 / 60.0;
/// The usual latency follows the last by one part in so many: slow enough to outlast an episode.
const USUAL_SLOWNESS: i64 = 50;
/// Latencies seen before they are believed: fewer finds trouble sooner, more spares small destinations.
const LATENCIES_LEAST: usize = 8;
/// Calls for which the listed rate of a destination stands in, as long as a sender has made few of its own.
const RATE_CALLS: f64 = 3.0;
/// Calls in a fall span that all senders together may try at a sick unit, however little each knows of it.
/// Higher finds the return sooner, lower spares a small destination.
const TRIALS: f64 = 3.0;

impl Unit {
    /// Cuts the window, once for all calls that were out when the congestion showed.
    pub(super) fn cut(&mut self, sent: Micros, now: Micros) -> bool {
        let fresh = sent > self.last_cut;
        if fresh {
            self.last_cut = now;
            self.window = (self.window * WINDOW_CUT).max(1.0);
        }
        fresh
    }

    pub(super) fn remember_latency(&mut self, latency: Micros) {
        self.usual = Some(
            self.usual
                .map_or(latency, |usual| usual + (latency - usual) / USUAL_SLOWNESS),
        );
        self.latencies.push(latency, LATENCIES);
        let least = if self.latencies.len() < LATENCIES_LEAST {
            FIRST_COPY_DELAY
        } else {
            MILLISECOND
        };
        self.offset = Some(self.latencies.ranked(COPY_RANK, 20).unwrap_or(0).max(least));
    }

    pub(super) fn silence_limit(&self) -> Micros {
        (self.offset.unwrap_or(FIRST_COPY_DELAY) * SILENT_OFFSETS).max(SILENT_LEAST)
    }

    /// Calls a second that this sender makes, as far as so few tell, else its even part of the listed rate.
    pub(super) fn own_rate(&self, now: Micros) -> f64 {
        let prior = if self.listed > 0.0 {
            RATE_CALLS / self.listed
        } else {
            0.0
        };
        let calls = if self.listed > 0.0 { RATE_CALLS } else { 0.0 };
        (self.sent as f64 + calls) / (seconds(now - self.since) + prior).max(1.0)
    }

    /// The highest rate seen; in a crowd, where the highest of all are together more than the limit, the own
    /// rate so far, or half way between the listed rate and the part of it that is sure, if that is more.
    pub(super) fn known_rate(&self, now: Micros, crowd: f64) -> f64 {
        let sure = self
            .own_rate(now)
            .max(self.listed * (1.0 + LISTED_SURE) / 2.0);
        self.best_rate * (1.0 - crowd) + sure.min(self.best_rate) * crowd
    }

    /// A refusal, or a failure with no success since the last cut, slows the pace down.
    /// The even share of a told limit is left only for demand: other senders may need theirs.
    pub(super) fn slow_down(
        &mut self,
        known: f64,
        served: f64,
        senders: f64,
        crowd: f64,
        phase: f64,
    ) {
        // a rough rate beats one that is the same for each, however many they are
        let first = if self.listed > 0.0 {
            PACE_FIRST * (1.0 - crowd)
        } else {
            PACE_FIRST
        };
        let pace = if self.pace.is_finite() {
            self.pace
        } else {
            known.max(first / PACE_CUT)
        };
        let factor = if self.succeeded {
            PACE_CUT
        } else {
            PACE_HALVED
        };
        let kept = 1.0 - (1.0 - factor) * (1.0 - CROWD_CUT * crowd);
        let share = self.told_limit.map_or(f64::INFINITY, |_| self.share);
        let cut = (pace * kept)
            .max(served * PACE_CUT)
            .min(share.max(pace * PACE_HALVED));
        self.pace = cut.max(PACE_LEAST / senders).max(PACE_SELDOM);
        self.tokens = if self.tokens < f64::MAX {
            self.tokens.min(phase.max(self.tokens - 1.0))
        } else {
            phase
        };
        // refused calls of those that have not heard yet use the limit up: this one stays away meanwhile
        self.tokens -= crowd * kept / factor;
        self.succeeded = false;
    }

    pub(super) fn grow(&mut self, crowd: f64) {
        let growth =
            PACE_GROWTH * (1.0 - CROWD_GROWTH * crowd) * (self.best_rate / self.pace).max(1.0);
        let at_once = PACE_GROWTH_MOST * (1.0 + crowd) * self.pace;
        let most = self.told_limit.unwrap_or(f64::INFINITY);
        self.pace = (self.pace + growth.min(at_once)).min(most);
    }

    /// Calls a second that may start now. A sick unit gets a trickle and a returning one slow start: this
    /// sender's share of the fail-back budget, by its usual rate there or by the even share of a told limit.
    /// Guards a returning destination against the sum of hundreds of senders; could starve one that was
    /// seldom called, so no rest is longer than twice the cold time.
    pub(super) fn allowed_rate(&self, safety: &Safety, senders: f64, now: Micros) -> f64 {
        let since = match self.health {
            Health::Well => return self.pace,
            Health::Sick { .. } => now,
            Health::Returning { since } => since,
        };
        let cold = safety.warm_up_time.max(1);
        let warm = (now - since) as f64 / cold as f64;
        let level = safety.start_capacity + (1.0 - safety.start_capacity) * warm.min(1.0);
        let usual = self.usual_rate(now, cold);
        let listed = self.listed * (LISTED_SURE * crowd(senders));
        let budget = self
            .best_rate
            .clamp(usual, 2.0 * usual)
            .max(self.share)
            .max(listed)
            * safety.overload_multiple
            * BUDGET_SHARE
            * level;
        let span = seconds(safety.overload_span.max(1));
        let trials = (TRIALS / senders / span)
            .max(0.5 / seconds(cold))
            .min(1.0 / span);
        let least = trials * level / safety.start_capacity.max(0.01);
        let most = if since == now { 1.0 / span } else { self.pace };
        budget.max(least).min(most)
    }

    pub(super) fn refill(&mut self, now: Micros, rate: f64) {
        // nothing is saved up during a told wait: all who were told would start at its end
        let passed = seconds((now - self.tokens_at.max(self.wait_until)).max(0));
        self.tokens_at = now;
        let most = if self.is_sick() {
            2.0
        } else {
            (rate * PACE_BURST).max(1.0)
        };
        self.tokens = if rate.is_finite() {
            (self.tokens + rate * passed).min(most)
        } else {
            f64::MAX
        };
    }
}
