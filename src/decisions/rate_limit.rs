//! How many calls a second a destination gets: learned from rejections, told by reports and by
//! Retry-After.

use super::Sender;
use super::state::{Health, Route, RouteId, seconds};
use crate::interface::{Action, MILLISECOND, Micros};
use rand_pcg::rand_core::RngCore;
use std::collections::BTreeSet;

/// The least rate that a first rejection leaves, in calls a second. Higher retries sooner, lower
/// spares a destination that hundreds of senders share.
const MIN_FIRST_RATE: f64 = 0.35;
/// The least rate that any rejection leaves to all senders together, in calls a second.
const MIN_FLEET_RATE: f64 = 1.5;
/// Least rate of one sender in a fleet of any size: a call a minute starves nobody for good.
const MIN_RATE: f64 = 1.0 / 60.0;
/// Size of the token bucket, as a span of the rate in seconds. Longer takes bursts faster, shorter
/// draws fewer rejections.
const BURST_SECONDS: f64 = 0.4;
/// What a rejection leaves of the rate amid successes, and when nothing succeeded since the last
/// decrease. Lower draws fewer rejections, higher keeps more of a shared limit.
const DECREASE_FACTOR: f64 = 0.8;
const DECREASE_FACTOR_WITHOUT_SUCCESS: f64 = 0.5;
/// Part of a decrease that one of many senders leaves out: one debt rejects all that call while it
/// runs off, so most notice it, and some twice. Less and all together fall far below the limit,
/// more and they hover at it. The pause after a rejection stays as long as after a whole decrease.
const CONTENDED_DECREASE_REDUCTION: f64 = 0.6;
/// Growth of the rate with each success, in calls a second. Growth by successes, not by time, keeps
/// the rejected share the same however few calls a sender makes.
const INCREASE: f64 = 0.25;
/// The growth is at most this part of the rate, and twice that under contention, where successes
/// are seldom.
const MAX_INCREASE: f64 = 0.5;
/// Part of the growth that contention takes: all have grown before any notices that it was too
/// much.
const CONTENDED_INCREASE_REDUCTION: f64 = 0.8;
/// Calls for which the listed rate of a destination stands in, as long as a sender has made few of
/// its own.
const LISTED_RATE_CALLS: f64 = 3.0;
/// Parts of a listed rate, which may be half too high or too low, that a destination takes when
/// warm: surely, and at most. Higher recovers and works backlogs off sooner, lower spares one that
/// is listed too high.
pub(super) const CERTAIN_LISTED_FRACTION: f64 = 0.75;
const MAX_LISTED_FRACTION: f64 = 1.5;
/// Most of a reported limit that counts as left. Higher lets a lone sender take more at once.
const MAX_REMAINING: f64 = 0.9;
/// Tokens of an ejected route: two, so that one can be kept for a message that can't be repeated.
const EJECTED_BURST: f64 = 2.0;

/// What a decrease of the rate limit goes by.
pub(super) struct RateDecrease {
    /// The rate that the destination is known to take, where no limit was learned before.
    pub known_rate: f64,
    /// Calls a second that succeeded of late.
    pub success_rate: f64,
    pub senders: f64,
    pub contention: f64,
    pub random_phase: f64,
}

impl Sender {
    /// The destination asked to be left alone for a while.
    pub(super) fn apply_retry_after(
        &mut self,
        id: RouteId,
        delay: Micros,
        actions: &mut Vec<Action>,
    ) {
        if delay > 2 * self.settings.safety.overload_span {
            self.eject_closed(id, actions); // closed, not throttled: it opens cold
        }
        let until = self.now + delay + MILLISECOND;
        let route = self.route_mut(id);
        route.retry_after_until = route.retry_after_until.max(until);
    }

    /// Bounds the rate by what a destination reports of its shared limit: the even share while
    /// nothing is left, more by the square of what others leave, the only sign of all senders'
    /// load. Guards limits that rejected calls use up; could hold back a sender that has most of
    /// the traffic.
    pub(super) fn apply_load_report(&mut self, id: RouteId, report: &[f64]) {
        let value_at = |at: Option<usize>| at.and_then(|position| report.get(position).copied());
        let remaining = value_at(self.settings.report_remaining);
        let limit = value_at(self.settings.report_limit);
        let Some(limit) = limit.filter(|&limit| limit > 0.0 && limit.is_finite()) else {
            return;
        };
        let fair_share = limit / f64::from(self.fleet_size);
        let route = self.route_mut(id);
        route.reported_limit = Some(limit);
        route.fair_share = fair_share;
        route.best_rate = route.best_rate.max(fair_share);
        let used_fraction =
            remaining.map_or(0.0, |fraction| 1.0 - fraction.clamp(0.0, MAX_REMAINING));
        let max_rate = fair_share / (used_fraction * used_fraction);
        let rate_before = if route.rate_limit.is_infinite() {
            fair_share.max(MIN_FIRST_RATE)
        } else {
            route.rate_limit
        };
        route.rate_limit = rate_before.min(max_rate).min(limit);
    }

    /// Has what waited while nothing could be sent go by the even share of the listed rate. Guards
    /// limits against backlogs of hundreds of senders at one moment; could slow down one with most
    /// of the traffic. What is restored spreads each route once, what was suspended each time.
    pub(super) fn spread_backlog(&mut self, was_suspended: bool) {
        if self.contention() <= 0.0 {
            return;
        }
        let waiting: BTreeSet<_> = self
            .messages
            .values()
            .map(|message| message.destination)
            .collect();
        for (id, route) in &mut self.routes {
            let is_first = was_suspended || route.rate_limit.is_infinite();
            let is_limited = route.listed_rate > 0.0 && route.health == Health::Healthy && is_first;
            if !waiting.contains(&id.destination) || !is_limited {
                continue;
            }
            let backlog_rate = route.best_rate.max(route.listed_rate * MAX_LISTED_FRACTION);
            route.rate_limit = route.rate_limit.min(backlog_rate);
            route.bucket.tokens = f64::from(self.random.next_u32()) / f64::from(u32::MAX);
            route.bucket.refilled_at = self.now;
        }
    }
}

impl Route {
    /// Calls a second that this sender makes, as far as so few tell, else its even part of the
    /// listed rate.
    fn own_rate(&self, now: Micros) -> f64 {
        let (prior_calls, prior_seconds) = if self.listed_rate > 0.0 {
            (LISTED_RATE_CALLS, LISTED_RATE_CALLS / self.listed_rate)
        } else {
            (0.0, 0.0)
        };
        let span = seconds(now - self.since) + prior_seconds;
        (self.sent as f64 + prior_calls) / span.max(1.0)
    }

    /// The highest rate seen; under contention, where the highest of all are together more than the
    /// limit, the own rate so far, or half way between the listed rate and the part of it that is
    /// certain, if that is more.
    pub(super) fn known_rate(&self, now: Micros, contention: f64) -> f64 {
        let listed = self.listed_rate * (1.0 + CERTAIN_LISTED_FRACTION) / 2.0;
        let certain = self.own_rate(now).max(listed);
        self.best_rate * (1.0 - contention) + certain.min(self.best_rate) * contention
    }

    /// A call succeeded now.
    pub(super) fn record_best_rate(&mut self, now: Micros, span: Micros, contention: f64) {
        self.served.push(now, usize::MAX);
        // one of many senders makes too few calls in a span to tell a rate by
        let success_rate = self.success_rate(now, span);
        let rate = success_rate * (1.0 - contention) + self.own_rate(now) * contention;
        // what succeeds while the route recovers must not raise the budget of the recovery itself
        let counted = if self.health == Health::Healthy {
            rate
        } else {
            0.0
        };
        self.best_rate = self.best_rate.max(counted);
    }

    /// A rejection, or a failure with no success since the last decrease, lowers the limit.
    /// The even share of a reported limit is left only for demand: other senders may need theirs.
    pub(super) fn decrease_rate_limit(&mut self, decrease: &RateDecrease) {
        let contention = decrease.contention;
        let full_factor = if self.succeeded {
            DECREASE_FACTOR
        } else {
            DECREASE_FACTOR_WITHOUT_SUCCESS
        };
        let kept_fraction =
            1.0 - (1.0 - full_factor) * (1.0 - CONTENDED_DECREASE_REDUCTION * contention);
        let rate_before = self.rate_before_decrease(decrease);
        let fair_share = self
            .reported_limit
            .map_or(f64::INFINITY, |_| self.fair_share);
        let upper_bound = fair_share.max(rate_before * DECREASE_FACTOR_WITHOUT_SUCCESS);
        let lower_bound = decrease.success_rate * DECREASE_FACTOR;
        let decreased = (rate_before * kept_fraction)
            .max(lower_bound)
            .min(upper_bound);
        self.rate_limit = decreased
            .max(MIN_FLEET_RATE / decrease.senders)
            .max(MIN_RATE);
        self.spend_tokens_of_rejection(decrease.random_phase);
        // rejected calls of those that have not noticed yet use the limit up: this one stays away
        // meanwhile
        self.bucket.tokens -= contention * kept_fraction / full_factor;
        self.succeeded = false;
    }

    fn rate_before_decrease(&self, decrease: &RateDecrease) -> f64 {
        if self.rate_limit.is_finite() {
            return self.rate_limit;
        }
        // a listed rate, however rough, beats one that is the same for each sender, however many
        // they are
        let first_rate = if self.listed_rate > 0.0 {
            MIN_FIRST_RATE * (1.0 - decrease.contention)
        } else {
            MIN_FIRST_RATE
        };
        decrease.known_rate.max(first_rate / DECREASE_FACTOR)
    }

    fn spend_tokens_of_rejection(&mut self, random_phase: f64) {
        let tokens = self.bucket.tokens;
        self.bucket.tokens = if tokens < f64::MAX {
            tokens.min(random_phase.max(tokens - 1.0))
        } else {
            random_phase
        };
    }

    pub(super) fn increase_rate_limit(&mut self, contention: f64) {
        let increase = INCREASE
            * (1.0 - CONTENDED_INCREASE_REDUCTION * contention)
            * (self.best_rate / self.rate_limit).max(1.0);
        let max_increase = MAX_INCREASE * (1.0 + contention) * self.rate_limit;
        let limit = self.reported_limit.unwrap_or(f64::INFINITY);
        self.rate_limit = (self.rate_limit + increase.min(max_increase)).min(limit);
    }

    /// Adds the tokens that a rate, in calls a second, has brought since the last time.
    pub(super) fn refill_tokens(&mut self, now: Micros, rate: f64) {
        // nothing is saved up during Retry-After: all who were asked to wait would start at its end
        let since = self.bucket.refilled_at.max(self.retry_after_until);
        let elapsed_s = seconds((now - since).max(0));
        self.bucket.refilled_at = now;
        let bucket_size = if self.is_ejected() {
            EJECTED_BURST
        } else {
            (rate * BURST_SECONDS).max(1.0)
        };
        self.bucket.tokens = if rate.is_finite() {
            (self.bucket.tokens + rate * elapsed_s).min(bucket_size)
        } else {
            f64::MAX
        };
    }
}
