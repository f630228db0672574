//! Slow start: the call rate of ejected and recovering routes, and of endpoints that operators have
//! enabled.

use super::Sender;
use super::fleet_size::contention;
use super::rate_limit::CERTAIN_LISTED_FRACTION;
use super::state::{Endpoint, Health, Route, RouteId, seconds};
use crate::interface::{Action, EndpointId, MILLISECOND, Micros, RouteEvent, Safety};

/// Fraction that a slow start uses of the call rate above which the destination would presumably be
/// overloaded again. That rate is the known capacity times `overload_multiple`, reduced while the
/// destination is cold. Higher recovers sooner; lower leaves room for other senders.
const BUDGET_SHARE: f64 = 0.7;
/// Number of calls per overload span that all senders together may try on an ejected route even if
/// they know no rate that it served. The rate of each sender is at most one call per overload span.
/// Higher detects the recovery sooner; lower spares a small destination.
const FLEET_TRIALS_PER_OVERLOAD_SPAN: f64 = 3.0;
/// Minimum number of calls that one sender tries on an ejected route per warm-up time, in a fleet
/// of any size. With 0.5, the pause between two tries is at most twice the warm-up time.
const MIN_TRIALS_PER_WARM_UP: f64 = 0.5;
/// Lowest start capacity by which the rate of trial calls is divided. A smaller divisor would make
/// the minimum rate of a recovering route rise far above the rate of trial calls.
const MIN_START_CAPACITY: f64 = 0.01;

impl Sender {
    /// Advances the recovery of a route after a successful call: an ejected route begins to
    /// recover, or becomes healthy without a slow start if it was only slow or throttled, and a
    /// route that has recovered for long enough becomes healthy.
    pub(super) fn advance_recovery(&mut self, id: RouteId, actions: &mut Vec<Action>) {
        let now = self.now;
        let warm_up_time = self.settings.safety.warm_up_time;
        let short_ejection = 2 * self.settings.safety.overload_span;
        let contention = self.contention();
        let route = self.route_mut(id);
        match route.health {
            // a trial call succeeds, few calls failed, and the route was ejected for missing
            // answers, or by the fleet's health reports, or only for a short time: it was slow or
            // throttled, not unavailable
            Health::Ejected { may_be_slow, since }
                if route.is_trusted() && (may_be_slow || now - since < short_ejection) =>
            {
                route.health = Health::Healthy;
            }
            Health::Ejected { since, .. } => self.begin_recovery(id, since, actions),
            Health::Recovering { since } => {
                let recovery_time = route.recovery_time(since, warm_up_time, contention);
                if now - since > recovery_time {
                    route.health = Health::Healthy;
                }
            }
            Health::Healthy => {}
        }
    }

    fn begin_recovery(&mut self, id: RouteId, ejected_since: Micros, actions: &mut Vec<Action>) {
        let now = self.now;
        let contention = self.contention();
        let route = self.route_mut(id);
        route.limit_failure_score();
        // the destination came back at some time between its ejection, or the last failure if that
        // is later, and now; one of many senders tries seldom, so the recovery is taken to have
        // begun up to half of that time ago
        let unobserved_time = now - route.failed_at.max(ejected_since);
        let since = now - (unobserved_time as f64 / 2.0 * contention) as Micros;
        route.health = Health::Recovering { since };
        self.forget_connection_scarcity(id);
        actions.push(Action::Log(RouteEvent::Recovering {
            destination: id.destination,
        }));
    }

    /// Returns true unless the endpoint was enabled recently and has already received the calls
    /// that it can serve so far. Protects a restarted endpoint while the other endpoints of its
    /// destination are warm: it gets its part of the rate that the destination is known to serve,
    /// reduced as for a recovering destination.
    /// Drawback: an endpoint that was never restarted is held back for a while too.
    pub(super) fn is_warm_enough(&mut self, id: EndpointId, route: RouteId) -> bool {
        let now = self.now;
        let siblings = self.available_endpoints(route);
        let known_rate = self.route_mut(route).capacity_for_warm_up();
        let safety = &self.settings.safety;
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return true;
        };
        let Some(warm_up) = &mut endpoint.warm_up else {
            return true;
        };
        let warmth = (now - warm_up.since) as f64 / safety.warm_up_time.max(1) as f64;
        if warmth >= 1.0 {
            endpoint.warm_up = None;
            return true;
        }
        let level = capacity_level(safety, warmth);
        let rate = known_rate / siblings as f64 * safety.overload_multiple * BUDGET_SHARE * level;
        warm_up.bucket.refill(now, rate, 1.0);
        if warm_up.bucket.has_token() {
            return true;
        }
        let wait = warm_up.bucket.time_until_token(rate);
        self.wake_by(now + wait + MILLISECOND);
        false
    }

    /// Returns the number of endpoints of the route's destination that may receive calls, but
    /// at least 1.
    fn available_endpoints(&self, route: RouteId) -> usize {
        let is_available = |id: &&EndpointId| {
            let endpoint = self.endpoints.get(id);
            endpoint.is_some_and(Endpoint::is_available)
        };
        let ids = self.endpoints_by_destination.get(&route.destination);
        ids.map_or(1, |ids| ids.iter().filter(is_available).count().max(1))
    }
}

/// Returns the fraction of its full capacity that a route or endpoint can serve at a warmth from 0
/// (cold) to 1 (warm).
fn capacity_level(safety: &Safety, warmth: f64) -> f64 {
    safety.start_capacity + (1.0 - safety.start_capacity) * warmth
}

impl Route {
    /// Returns the rate in calls per second at which calls may start now. A healthy route has its
    /// rate limit. An ejected route gets a few trial calls, and a recovering one a slow start: a
    /// rising part of the rate that the destination, once warm, presumably serves this sender, but
    /// at most the rate limit. Protects a recovering destination against the sum of hundreds of
    /// senders. Since that could starve a destination that was seldom called, the rate is at least
    /// one call per two warm-up times, unless the rate limit or a start capacity below
    /// `MIN_START_CAPACITY` makes it lower.
    pub(super) fn allowed_rate(&self, safety: &Safety, senders: f64, now: Micros) -> f64 {
        let since = match self.health {
            Health::Healthy => return self.rate_limit,
            Health::Ejected { .. } => now,
            Health::Recovering { since } => since,
        };
        let warm_up_time = safety.warm_up_time.max(1);
        let warmth = (now - since) as f64 / warm_up_time as f64;
        let level = capacity_level(safety, warmth.min(1.0));
        let budget = self.capacity_for_recovery(warm_up_time, senders, now)
            * safety.overload_multiple
            * BUDGET_SHARE
            * level;
        let overload_span_s = seconds(safety.overload_span.max(1));
        let trial_rate = (FLEET_TRIALS_PER_OVERLOAD_SPAN / senders / overload_span_s)
            .max(MIN_TRIALS_PER_WARM_UP / seconds(warm_up_time))
            .min(1.0 / overload_span_s);
        let min_rate = trial_rate * level / safety.start_capacity.max(MIN_START_CAPACITY);
        let max_rate = if since == now {
            1.0 / overload_span_s
        } else {
            self.rate_limit
        };
        budget.max(min_rate).min(max_rate)
    }

    /// Returns the rate in calls per second at which the destination, once warm, presumably serves
    /// this sender; the call rates during an ejection and a recovery follow from it.
    fn capacity_for_recovery(&self, warm_up_time: Micros, senders: f64, now: Micros) -> f64 {
        let usual_rate = self.usual_rate(now, warm_up_time);
        let certain_listed_rate =
            self.listed_rate * (CERTAIN_LISTED_FRACTION * contention(senders));
        self.best_rate
            .clamp(usual_rate, 2.0 * usual_rate)
            .max(self.fair_share)
            .max(certain_listed_rate)
    }

    /// Returns the rate in calls per second at which the destination presumably serves this sender
    /// through all its endpoints, for the slow start of one of them.
    fn capacity_for_warm_up(&self) -> f64 {
        if self.best_rate > 0.0 {
            self.best_rate.max(self.fair_share)
        } else {
            1.0
        }
    }

    /// Returns how long a recovery lasts, in microseconds. The destination came back at some time
    /// between the last failure and the first success, so in a large fleet the recovery is
    /// prolonged by up to that time, at most the warm-up time, until it is certainly warm.
    fn recovery_time(&self, since: Micros, warm_up_time: Micros, contention: f64) -> Micros {
        let uncertain_time = (since - self.failed_at).clamp(0, warm_up_time);
        warm_up_time + (uncertain_time as f64 * contention) as Micros
    }
}
