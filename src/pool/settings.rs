//! What operators set for the pool, and the limits that follow.

use crate::Micros;

/// The `pool` object of the configuration, with the names that it has there. Caps that are not set follow from the
/// number of descriptors.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolSettings {
    /// Connections to one endpoint.
    pub per_endpoint: Option<usize>,
    /// Dials at once.
    pub dials: Option<usize>,
    /// Connections to all endpoints, those being dialled counted.
    pub all: Option<usize>,
    /// Idle ones of them.
    pub idle: Option<usize>,
    /// Idle ones to one endpoint.
    pub idle_per_endpoint: Option<usize>,
    /// Seconds in which the wanted number of connections falls by half.
    pub decay_s: f64,
    /// Caps of endpoints are learned from what they refuse.
    pub learn_caps: bool,
    /// The part of all connections that may be dialled ahead of need.
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

/// What the pool may do.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolLimits {
    /// Connections to one endpoint, those being dialled counted.
    pub per_endpoint: usize,
    /// Dials in flight at once.
    pub concurrent_dials: usize,
    /// Connections to all endpoints, those being dialled counted.
    pub total: usize,
    /// Idle connections to all endpoints.
    pub idle: usize,
    /// Idle connections to one endpoint.
    pub idle_per_endpoint: usize,
    /// An idle connection is closed after this time.
    pub idle_timeout: Micros,
    /// The wanted number falls by half in this time where fewer calls are in flight.
    pub demand_half_life: Micros,
    /// Caps of endpoints are learned from dials that they refuse.
    pub learn_caps: bool,
    /// The part of `total` that may be dialled ahead of need; 0 dials none.
    pub prewarm_share: f64,
    /// An endpoint that has come, come back or failed is not dialled ahead of need for this time.
    pub prewarm_delay: Micros,
    /// Senders that share the endpoints, this one counted.
    pub senders: u32,
}
