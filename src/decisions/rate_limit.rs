//! The rate limit of a route in calls per second. It is learned from rejected calls, and bounded by
//! load reports and by Retry-After delays.

use super::Sender;
use super::state::{Health, Route, RouteId, seconds};
use crate::interface::{Action, MILLISECOND, Micros};
use rand_pcg::rand_core::RngCore;
use std::collections::BTreeSet;

/// Lowest rate in calls per second that the first rejection leaves to a sender if no call has
/// failed before. Where the endpoint list gives a rate, this minimum is reduced by contention.
/// Higher retries sooner; lower spares a destination that hundreds of senders share.
const MIN_FIRST_RATE: f64 = 0.35;
/// Lowest rate in calls per second that rejections leave to all senders together.
const MIN_FLEET_RATE: f64 = 1.5;
/// Lowest rate in calls per second that rejections leave to one sender in a fleet of any size: one
/// call per minute, so that no message waits forever.
const MIN_RATE: f64 = 1.0 / 60.0;
/// Size of a route's token bucket, as the number of seconds in which its rate fills it, but at
/// least one token. Longer serves bursts faster; shorter causes fewer rejections.
const BURST_SECONDS: f64 = 0.4;
/// Factor on the rate limit after a rejection, if a call has succeeded since the last decrease and
/// the last failure. Lower causes fewer rejections; higher keeps more of a limit shared with other
/// senders.
const DECREASE_FACTOR: f64 = 0.8;
/// Factor on the rate limit after a rejection or failure, if no call has succeeded since the last
/// decrease or failure. Lower causes fewer rejections; higher keeps more of a limit shared with
/// other senders.
const DECREASE_FACTOR_WITHOUT_SUCCESS: f64 = 0.5;
/// Fraction of a rate decrease that a sender leaves out at a contention of 1; lower contention
/// reduces the fraction in proportion. When senders exceed a shared limit, the destination rejects
/// every call until the excess has drained; most senders see a rejection then, and some see two.
/// Lower makes all senders together fall far below the limit; higher keeps them hovering at it. The
/// pause after a rejection is as long as after a full decrease.
const CONTENDED_DECREASE_REDUCTION: f64 = 0.6;
/// Increase of the rate limit with each success, in calls per second, before it is reduced by
/// contention, multiplied by the ratio of the best rate to the rate limit (at least 1), and capped
/// by `MAX_INCREASE`. The limit rises with successes and not with time: otherwise the limit of a
/// sender that makes few calls would rise far between two calls, and more of its calls would be
/// rejected.
const INCREASE_PER_SUCCESS: f64 = 0.25;
/// Maximum increase of the rate limit with one success, as a fraction of the limit. It is up to
/// twice as large under contention, where successes are rare.
const MAX_INCREASE: f64 = 0.5;
/// Fraction of the increase that a sender leaves out at a contention of 1; lower contention reduces
/// the fraction in proportion. In a large fleet, all senders have increased their rates before the
/// first one notices that the sum is too high.
const CONTENDED_INCREASE_REDUCTION: f64 = 0.8;
/// Number of calls that the listed rate counts for in the estimate of the sender's own rate, so
/// that a few first calls do not decide it.
const LISTED_RATE_CALLS: f64 = 3.0;
/// Fraction of a listed rate that a warm destination can certainly serve; the listed rate may be
/// half too high or half too low. Higher recovers and works off backlogs sooner; lower spares a
/// destination whose listed rate is too high.
pub(super) const CERTAIN_LISTED_FRACTION: f64 = 0.75;
/// Largest multiple of a listed rate that a warm destination may be able to serve, since the listed
/// rate may be half too low. Higher works off backlogs sooner; lower spares a destination whose
/// listed rate is too high.
const MAX_LISTED_MULTIPLE: f64 = 1.5;
/// Upper bound of the reported remaining fraction of a limit: a larger fraction counts as this one.
/// With 0.9, the used fraction counts as at least 0.1, so that a sender may use at most 100 times
/// (1 / 0.1 squared) its fair share of the limit, and never more than the limit itself. Higher lets
/// a lone sender use more of the limit.
const MAX_REMAINING_FRACTION: f64 = 0.9;
/// Token bucket size of an ejected route. Unless the route rejects calls, a non-idempotent message
/// is sent on it only while the bucket holds two tokens; a smaller bucket would never let it
/// through.
const EJECTED_BURST: f64 = 2.0;

/// Inputs of a decrease of the rate limit.
pub(super) struct RateDecrease {
    /// Rate in calls per second at which the destination is known to serve this sender; used if the
    /// route has no rate limit yet.
    pub known_rate: f64,
    /// Rate of successful calls over the last overload span, in calls per second.
    pub success_rate: f64,
    /// Number of senders in the fleet.
    pub senders: f64,
    /// Estimated fraction of the fleet that has not noticed the limit yet, from 0 to 1.
    pub contention: f64,
    /// Random number of tokens, from 0 to 1, to which the token bucket may be set, so that senders
    /// do not retry at the same time.
    pub random_tokens: f64,
}

impl Sender {
    /// Sends nothing on the route until the Retry-After delay has passed. A delay longer than twice
    /// the overload span ejects the route.
    pub(super) fn apply_retry_after(
        &mut self,
        id: RouteId,
        delay: Micros,
        actions: &mut Vec<Action>,
    ) {
        if delay > 2 * self.settings.safety.overload_span {
            // so long a delay means that the destination is out of service rather than throttled,
            // so its route recovers with a slow start. The health of a route that is ejected
            // already stays as it is: if the route was ejected as unresponsive or by the fleet's
            // health reports, its first success may still make it healthy without a slow start.
            self.eject_closed(id, actions);
        }
        let until = self.now + delay + MILLISECOND;
        let route = self.route_mut(id);
        route.retry_after_until = route.retry_after_until.max(until);
    }

    /// Bounds the rate limit of a route by what the destination reports of the limit that all
    /// senders share; without a positive limit in the report, nothing changes. While nothing of the
    /// limit remains, the bound is this sender's fair share; otherwise it is the fair share divided
    /// by the square of the used fraction, since the remaining fraction is the only sign of the
    /// load of all senders. If the report gives no remaining fraction, only the limit itself bounds
    /// the rate. A route that had no rate limit gets its fair share or `MIN_FIRST_RATE`, whichever
    /// is higher, within these bounds. Protects limits against which rejected calls count too.
    /// Drawback: a sender that has most of the traffic may be held back.
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
        let used_fraction = remaining.map_or(0.0, |fraction| {
            1.0 - fraction.clamp(0.0, MAX_REMAINING_FRACTION)
        });
        let max_rate = fair_share / (used_fraction * used_fraction);
        let rate_before = if route.rate_limit.is_infinite() {
            fair_share.max(MIN_FIRST_RATE)
        } else {
            route.rate_limit
        };
        route.rate_limit = rate_before.min(max_rate).min(limit);
    }

    /// Limits the rate at which messages are sent that waited while sending was suspended or the
    /// process restarted: to the best known rate, or to one and a half times the fair share of the
    /// listed rate if that is more. Does so only in a fleet large enough for contention, on healthy
    /// routes for which the endpoint list gives a rate. The first call starts after a random time.
    /// Protects the limits of destinations against the backlogs of hundreds of senders at the same
    /// time. Drawback: a sender that has most of the traffic may be slowed down. After a restart
    /// only routes without a rate limit are limited; after a suspension, all are.
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
            let backlog_rate = route.best_rate.max(route.listed_rate * MAX_LISTED_MULTIPLE);
            route.rate_limit = route.rate_limit.min(backlog_rate);
            route.bucket.tokens = f64::from(self.random.next_u32()) / f64::from(u32::MAX);
            route.bucket.refilled_at = self.now;
        }
    }
}

impl Route {
    /// Returns the rate of calls that this sender makes, in calls per second. While it has made
    /// few, the estimate leans on its fair share of the listed rate, if there is one.
    fn own_rate(&self, now: Micros) -> f64 {
        let (prior_calls, prior_seconds) = if self.listed_rate > 0.0 {
            (LISTED_RATE_CALLS, LISTED_RATE_CALLS / self.listed_rate)
        } else {
            (0.0, 0.0)
        };
        let span = seconds(now - self.first_seen_at) + prior_seconds;
        (self.sent as f64 + prior_calls) / span.max(1.0)
    }

    /// Returns the rate in calls per second at which the destination is known to serve this sender.
    /// For a single sender this is the best rate seen. In a large fleet, the best rates of all
    /// senders add up to more than the limit: there it is at most the best rate, and within that
    /// the larger of the sender's own rate so far and the middle between the listed rate and the
    /// fraction of it that is certain.
    pub(super) fn known_rate(&self, now: Micros, contention: f64) -> f64 {
        let listed_estimate = self.listed_rate * (1.0 + CERTAIN_LISTED_FRACTION) / 2.0;
        let certain_rate = self.own_rate(now).max(listed_estimate);
        self.best_rate * (1.0 - contention) + certain_rate.min(self.best_rate) * contention
    }

    /// Records a call that succeeded at `now`. On a healthy route, also raises the best rate to the
    /// current rate if that is higher.
    pub(super) fn record_best_rate(&mut self, now: Micros, span: Micros, contention: f64) {
        self.success_times.push(now, usize::MAX);
        // a sender of a large fleet makes too few calls in an overload span to measure a rate; its
        // average rate of calls on the route counts instead
        let success_rate = self.success_rate(now, span);
        let rate = success_rate * (1.0 - contention) + self.own_rate(now) * contention;
        // while the route is ejected or recovering, successes do not raise its best rate: the rate
        // allowed during the recovery follows from the best rate, and would drive itself up
        let counted = if self.health == Health::Healthy {
            rate
        } else {
            0.0
        };
        self.best_rate = self.best_rate.max(counted);
    }

    /// Lowers the rate limit after a rejection, or after a failure when no call has succeeded since
    /// the last decrease. Where the destination reports a limit, the result is at most the fair
    /// share of that limit or half of the previous rate, whichever is higher: the other senders may
    /// need the rest.
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
        self.reduce_tokens(decrease.random_tokens);
        // calls of senders that have not noticed the limit yet are rejected and still use it up:
        // this sender pauses meanwhile
        self.bucket.tokens -= contention * kept_fraction / full_factor;
        self.succeeded = false;
    }

    fn rate_before_decrease(&self, decrease: &RateDecrease) -> f64 {
        if self.rate_limit.is_finite() {
            return self.rate_limit;
        }
        // even an inaccurate listed rate is a better start than a constant that does not depend on
        // the number of senders
        let first_rate = if self.listed_rate > 0.0 {
            MIN_FIRST_RATE * (1.0 - decrease.contention)
        } else {
            MIN_FIRST_RATE
        };
        decrease.known_rate.max(first_rate / DECREASE_FACTOR)
    }

    /// Takes one token from the bucket, which keeps at least `random_tokens` if it held as many.
    /// Sets the bucket to `random_tokens` if the route had no rate limit before.
    fn reduce_tokens(&mut self, random_tokens: f64) {
        let tokens = self.bucket.tokens;
        self.bucket.tokens = if tokens < f64::MAX {
            tokens.min(random_tokens.max(tokens - 1.0))
        } else {
            random_tokens
        };
    }

    pub(super) fn increase_rate_limit(&mut self, contention: f64) {
        let increase = INCREASE_PER_SUCCESS
            * (1.0 - CONTENDED_INCREASE_REDUCTION * contention)
            * (self.best_rate / self.rate_limit).max(1.0);
        let max_increase = MAX_INCREASE * (1.0 + contention) * self.rate_limit;
        let limit = self.reported_limit.unwrap_or(f64::INFINITY);
        self.rate_limit = (self.rate_limit + increase.min(max_increase)).min(limit);
    }

    /// Adds the tokens that `rate`, in calls per second, has brought since the last refill.
    pub(super) fn refill_tokens(&mut self, now: Micros, rate: f64) {
        // no tokens are added for a Retry-After delay: otherwise all senders that were asked to
        // wait would start at its end
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
