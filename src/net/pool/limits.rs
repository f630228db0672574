//! The limits of the pool, from settings and descriptors.

use super::{duration, micros};
use crate::net::config::max_pool_connections;
use message_sender::pool::{PoolLimits, PoolSettings};
use message_sender::{Micros, Settings};
use std::time::Duration;

/// Idle connections to one endpoint, and in all where the descriptors allow it: one for each of as many endpoints.
const MAX_IDLE_PER_ENDPOINT: usize = 16;
const MAX_IDLE: usize = 1024;
/// Idle time that endpoints are taken to allow where the settings tell none.
const DEFAULT_ENDPOINT_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// The limits that settings come to. Caps that are not set follow from the descriptors.
pub fn limits(pool: &PoolSettings, descriptors: usize, settings: &Settings) -> PoolLimits {
    let endpoint_timeout = if settings.connection_idle_timeout > 0 {
        duration(settings.connection_idle_timeout)
    } else {
        DEFAULT_ENDPOINT_IDLE_TIMEOUT
    };
    // connections are given up somewhat before the endpoint would close them
    let idle_timeout = (endpoint_timeout * 9 / 10)
        .min(endpoint_timeout.saturating_sub(Duration::from_millis(300)));
    // a file that was read for more descriptors than the process started with allows no more
    let max_total = max_pool_connections(descriptors);
    let total = pool.all.unwrap_or(max_total).min(max_total);
    let cap = |set: Option<usize>, usual: usize| set.unwrap_or(usual).min(total);
    PoolLimits {
        per_endpoint: cap(pool.per_endpoint, total),
        concurrent_dials: cap(pool.dials, total),
        total,
        idle: cap(pool.idle, (descriptors / 3).clamp(1, MAX_IDLE)),
        idle_per_endpoint: cap(pool.idle_per_endpoint, MAX_IDLE_PER_ENDPOINT),
        idle_timeout: micros(idle_timeout),
        demand_half_life: (pool.decay_s * 1e6) as Micros,
        learn_caps: pool.learn_caps,
        prewarm_share: pool.warm_share,
        prewarm_delay: settings.safety.warm_up_time,
        senders: settings.senders,
    }
}
