//! The pool's settings, and the limits derived from them.

use crate::Micros;

/// The `pool` object of the configuration; the fields have the names used there. Limits that are
/// `None` are derived from the maximum number of file descriptors.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolSettings {
    /// Maximum number of connections to one endpoint.
    pub per_endpoint: Option<usize>,
    /// Maximum number of dials in flight.
    pub dials: Option<usize>,
    /// Maximum number of connections to all endpoints, including those being dialled.
    pub all: Option<usize>,
    /// Maximum number of idle connections to all endpoints.
    pub idle: Option<usize>,
    /// Maximum number of idle connections to one endpoint.
    pub idle_per_endpoint: Option<usize>,
    /// Time in seconds in which the recent peak of concurrent calls, which determines the wanted
    /// number of connections, decays by half.
    pub decay_s: f64,
    /// Whether the pool learns how many connections an endpoint accepts, from the dials and first
    /// calls that the endpoint refuses.
    pub learn_caps: bool,
    /// Share of `all` that may be connections dialled ahead of need, from 0 to 1.
    pub warm_share: f64,
}

impl Default for PoolSettings {
    fn default() -> Self {
        PoolSettings {
            per_endpoint: None,
            dials: None,
            all: None,
            idle: None,
            idle_per_endpoint: None,
            decay_s: 30.0,
            learn_caps: true,
            warm_share: 0.0,
        }
    }
}

/// Limits that the pool observes.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolLimits {
    /// Maximum number of connections to one endpoint, including those being dialled.
    pub per_endpoint: usize,
    /// Maximum number of dials in flight.
    pub concurrent_dials: usize,
    /// Maximum number of connections to all endpoints, including those being dialled.
    pub total: usize,
    /// Maximum number of idle connections to all endpoints.
    pub idle: usize,
    /// Maximum number of idle connections to one endpoint.
    pub idle_per_endpoint: usize,
    /// Time in microseconds after which an idle connection is closed.
    pub idle_timeout: Micros,
    /// Time in microseconds in which the recent peak of concurrent calls, which determines the
    /// wanted number of connections, decays by half.
    pub demand_half_life: Micros,
    /// Whether the pool learns how many connections an endpoint accepts, from the dials and first
    /// calls that the endpoint refuses.
    pub learn_caps: bool,
    /// Share of `total` that may be connections dialled ahead of need, from 0 to 1. At 0, the pool
    /// does not prewarm.
    pub prewarm_share: f64,
    /// Time in microseconds for which an endpoint is not prewarmed after it was enabled or after a
    /// dial or a call to it failed: it may be cold or down.
    pub prewarm_delay: Micros,
    /// Number of senders that share the endpoints, including this one.
    pub senders: u32,
}
