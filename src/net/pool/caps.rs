//! The limits of the pool, from settings and descriptors.

use super::{micros, span};
use crate::net::config::max_pool_connections;
use message_sender::pool::{Limits, PoolSettings};
use message_sender::{Micros, Settings};
use std::time::Duration;

/// Idle connections to one endpoint, and in all where the descriptors allow it: one for each of as many endpoints.
const IDLE_EACH: usize = 16;
const IDLE_ALL: usize = 1024;
/// Idle time that endpoints are taken to allow where the settings tell none.
const IDLE_USUAL: Duration = Duration::from_secs(5);

/// The limits that settings come to. Caps that are not set follow from the descriptors.
pub fn limits(pool: &PoolSettings, descriptors: usize, settings: &Settings) -> Limits {
    let idle = if settings.connection_idle_timeout > 0 {
        span(settings.connection_idle_timeout)
    } else {
        IDLE_USUAL
    };
    // connections are given up somewhat before the endpoint would close them
    let keep = (idle * 9 / 10).min(idle.saturating_sub(Duration::from_millis(300)));
    // a file that was read for more descriptors than the process started with allows no more
    let most = max_pool_connections(descriptors);
    let all = pool.all.unwrap_or(most).min(most);
    let cap = |set: Option<usize>, usual: usize| set.unwrap_or(usual).min(all);
    Limits {
        per_endpoint: cap(pool.per_endpoint, all),
        dials: cap(pool.dials, all),
        all,
        idle: cap(pool.idle, (descriptors / 3).clamp(1, IDLE_ALL)),
        idle_per_endpoint: cap(pool.idle_per_endpoint, IDLE_EACH),
        keep: micros(keep),
        decay: (pool.decay_s * 1e6) as Micros,
        learn_caps: pool.learn_caps,
        warm_share: pool.warm_share,
        cold: settings.safety.warm_up_time,
        senders: settings.senders,
    }
}
