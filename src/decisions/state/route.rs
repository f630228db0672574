//! Routes: what shares health, waits and limits.

use super::{Samples, TokenBucket, seconds};
use crate::interface::{DestinationId, EndpointId, Micros};
use serde::{Deserialize, Serialize};
use std::ops::RangeInclusive;

/// A destination, or one endpoint of it where each has limits of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RouteId {
    pub destination: DestinationId,
    pub endpoint: Option<EndpointId>,
}

impl RouteId {
    /// The route of a whole destination.
    pub fn of_destination(destination: DestinationId) -> Self {
        RouteId {
            destination,
            endpoint: None,
        }
    }

    /// The route of one endpoint.
    pub fn of_endpoint(destination: DestinationId, endpoint: EndpointId) -> Self {
        RouteId {
            destination,
            endpoint: Some(endpoint),
        }
    }

    /// All ids that routes of a destination may have.
    pub fn all_of(destination: DestinationId) -> RangeInclusive<RouteId> {
        let last = EndpointId(u32::MAX);
        RouteId::of_destination(destination)..=RouteId::of_endpoint(destination, last)
    }
}

/// How a route seems to be.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub enum Health {
    #[default]
    Healthy,
    Ejected {
        /// For missing answers only, not for failures or rejections.
        unresponsive: bool,
        since: Micros,
    },
    Recovering {
        since: Micros,
    },
}

/// What is known of a route.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Route {
    pub health: Health,
    /// Calls that may be in flight.
    pub concurrency_limit: f64,
    /// When that was decreased last.
    pub decreased_at: Micros,
    /// End of the last wait that the destination asked for.
    pub retry_after_until: Micros,
    /// Latencies of the last successes, and the hedge delay that follows from them.
    pub latencies: Samples,
    pub learned_hedge_delay: Option<Micros>,
    /// The latency as it is over a long time.
    pub usual_latency: Option<Micros>,
    /// From 0, all calls succeed, to 1, all fail.
    pub failure_score: f64,
    /// Last answer that shows life.
    pub alive_at: Micros,
    /// Last failure or rejection.
    pub failed_at: Micros,
    /// First rejection of the present run, and the length of the run.
    pub rejected_since: Micros,
    pub consecutive_rejections: u32,
    pub in_flight: usize,
    /// Calls in flight that are unanswered beyond the limit. Observed anew in each turn, as are the
    /// next two.
    pub unanswered: usize,
    /// The oldest age of a call with no sign of life since.
    pub oldest_unanswered: Micros,
    /// A call is in flight far beyond the usual latency.
    pub is_lagging: bool,
    /// When calls succeeded over the last span.
    pub served: Samples,
    /// The highest rate of successes seen, in calls a second.
    pub best_rate: f64,
    /// Calls sent since the route was first seen, and when that was.
    pub sent: u64,
    pub since: Micros,
    /// The limit that answers report, in calls a second.
    pub reported_limit: Option<f64>,
    /// This sender's even share of what list or answers tell, in calls a second, or 0.
    pub fair_share: f64,
    /// This sender's even share of the listed rate, taken at its word, or 0.
    pub listed_rate: f64,
    /// Calls a second allowed, infinite before any rejection.
    pub rate_limit: f64,
    /// A call has succeeded since the rate limit was decreased last, or since any call failed.
    pub succeeded: bool,
    /// The tokens of the rate limit.
    pub bucket: TokenBucket,
}

impl Route {
    /// A route of which nothing is known, as first seen now.
    pub fn new(concurrency_limit: f64, now: Micros) -> Self {
        Route {
            concurrency_limit,
            rate_limit: f64::INFINITY,
            succeeded: true,
            since: now,
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

    /// True if its calls together with those of other such routes may hold only a part of the call
    /// slots.
    pub fn is_unhealthy(&self) -> bool {
        self.is_lagging || self.is_ejected()
    }

    /// Forgets what the calls in flight have shown, before they are observed again.
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

    /// Calls a second that this sender makes, over `min_span` or longer.
    pub fn usual_rate(&self, now: Micros, min_span: Micros) -> f64 {
        self.sent as f64 / seconds((now - self.since).max(min_span).max(1))
    }

    /// Calls a second that succeeded over the last span.
    pub fn success_rate(&mut self, now: Micros, span: Micros) -> f64 {
        self.served.drop_until(now - span);
        self.served.len() as f64 / seconds(span)
    }
}
