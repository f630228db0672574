//! Routes: a destination, or one of its endpoints, with its own health, limits and Retry-After
//! delays.

use super::{Samples, TokenBucket, seconds};
use crate::interface::{DestinationId, EndpointId, Micros};
use serde::{Deserialize, Serialize};
use std::ops::RangeInclusive;

/// Identifies a route: a whole destination, or one endpoint of a destination whose endpoints have
/// separate limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RouteId {
    pub destination: DestinationId,
    pub endpoint: Option<EndpointId>,
}

impl RouteId {
    /// Returns the id of the route for a whole destination.
    pub fn of_destination(destination: DestinationId) -> Self {
        RouteId {
            destination,
            endpoint: None,
        }
    }

    /// Returns the id of the route for one endpoint of a destination whose endpoints have separate
    /// limits.
    pub fn of_endpoint(destination: DestinationId, endpoint: EndpointId) -> Self {
        RouteId {
            destination,
            endpoint: Some(endpoint),
        }
    }

    /// Returns the range of all ids that routes of a destination can have.
    pub fn all_of(destination: DestinationId) -> RangeInclusive<RouteId> {
        let last = EndpointId(u32::MAX);
        RouteId::of_destination(destination)..=RouteId::of_endpoint(destination, last)
    }
}

/// Health of a route, judged by the outcomes of its calls.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub enum Health {
    #[default]
    Healthy,
    Ejected {
        /// True if the destination may be merely slow: the route was ejected because it left calls
        /// unanswered or because the fleet reported the destination as unavailable, not for
        /// failures or rejections of own calls.
        may_be_slow: bool,
        since: Micros,
    },
    Recovering {
        since: Micros,
    },
}

/// State of one route: its health, its limits and what recent calls have shown.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Route {
    pub health: Health,
    /// Maximum number of calls in flight on the route; not applied while the route is ejected.
    pub concurrency_limit: f64,
    /// Time at which the concurrency limit was last decreased.
    pub concurrency_decreased_at: Micros,
    /// Time at which the last Retry-After delay of the destination ends.
    pub retry_after_until: Micros,
    /// Latencies of the last successful calls, in microseconds.
    pub latencies: Samples,
    /// Hedge delay in microseconds that follows from the latencies of successful calls.
    pub learned_hedge_delay: Option<Micros>,
    /// Moving average of the latencies of successful calls over a long time, in microseconds.
    pub usual_latency: Option<Micros>,
    /// Weighted average of recent outcomes: 0 if all calls succeed, 1 if all fail.
    pub failure_score: f64,
    /// Time of the last answer to a call: a success, an error or a rejection.
    pub last_answer_at: Micros,
    /// Time of the last failure or rejection.
    pub failed_at: Micros,
    /// Time of the first rejection since the last success.
    pub rejected_since: Micros,
    /// Number of rejections since the last success.
    pub consecutive_rejections: u32,
    pub in_flight: usize,
    /// Number of calls in flight that are older than the response limit, were not opened for a
    /// hedge, and since whose start the route has not answered any call. Observed again in each
    /// turn.
    pub unanswered: usize,
    /// Age in microseconds of the oldest call in flight since whose start the destination has not
    /// answered any call. Observed again in each turn.
    pub oldest_unanswered: Micros,
    /// True if a call has been in flight far longer than the usual latency. Observed again in each
    /// turn.
    pub is_lagging: bool,
    /// Times of the successful calls; those before the last overload span are dropped when the rate
    /// of successes is computed.
    pub success_times: Samples,
    /// Highest rate, in calls per second, at which calls have succeeded while the route was
    /// healthy. Also raised to each fair share that is listed or reported, and lowered when the
    /// fleet grows.
    pub best_rate: f64,
    /// Number of calls sent since the route was first seen.
    pub sent: u64,
    /// Time at which the route was first seen.
    pub first_seen_at: Micros,
    /// Rate limit for all senders that the destination reports in its answers, in calls per second.
    pub reported_limit: Option<f64>,
    /// This sender's fair share, in calls per second, of the rate that the endpoint list (times the
    /// setting `weight_trust`) or a load report gave last; 0 if there is none.
    pub fair_share: f64,
    /// This sender's fair share, in calls per second, of the rate that the endpoint list gives,
    /// without the factor `weight_trust` of the settings; 0 if the list gives no rate or that
    /// factor is 0.
    pub listed_rate: f64,
    /// Maximum rate in calls per second, not applied while the route is ejected; infinite until
    /// something limits it, such as a first rejection.
    pub rate_limit: f64,
    /// True if a call has succeeded since the last decrease of the rate limit and since the last
    /// failed call; also true if neither has happened yet.
    pub succeeded: bool,
    /// Token bucket of the rate limit.
    pub bucket: TokenBucket,
}

impl Route {
    /// Creates a route that is first seen at `now` and has no rate limit.
    pub fn new(concurrency_limit: f64, now: Micros) -> Self {
        Route {
            concurrency_limit,
            rate_limit: f64::INFINITY,
            succeeded: true,
            first_seen_at: now,
            bucket: TokenBucket {
                tokens: 1.0,
                refilled_at: now,
            },
            ..Route::default()
        }
    }

    pub fn is_ejected(&self) -> bool {
        matches!(self.health, Health::Ejected { .. })
    }

    /// Returns true if the route is lagging or ejected. All such routes together may hold only a
    /// part of the call slots.
    pub fn is_unhealthy(&self) -> bool {
        self.is_lagging || self.is_ejected()
    }

    /// Clears the fields that follow from the calls in flight, before each of these is observed
    /// again.
    pub fn reset_observations(&mut self) {
        self.unanswered = 0;
        self.oldest_unanswered = 0;
        self.is_lagging = false;
    }

    /// Counts a call that starts now.
    pub fn count_call(&mut self) {
        self.bucket.tokens -= 1.0;
        self.in_flight += 1;
        self.sent += 1;
    }

    /// Returns the rate of calls that this sender makes on the route, in calls per second, averaged
    /// over the time since the route was first seen but at least over `min_span`.
    pub fn usual_rate(&self, now: Micros, min_span: Micros) -> f64 {
        self.sent as f64 / seconds((now - self.first_seen_at).max(min_span).max(1))
    }

    /// Returns the rate of successful calls over the last `span`, in calls per second.
    pub fn success_rate(&mut self, now: Micros, span: Micros) -> f64 {
        self.success_times.drop_until(now - span);
        self.success_times.len() as f64 / seconds(span)
    }
}
