//! Derives the limits of the connection pool from the settings and the resources of the process.

use super::{PoolResources, duration, micros};
use crate::net::config::max_pool_connections;
use message_sender::pool::{PoolLimits, PoolSettings};
use message_sender::{Micros, Settings};
use std::time::Duration;

/// Default maximum number of idle connections to one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 16;
/// Upper bound of the default maximum number of idle connections in total; enough for one to each of 1,024 endpoints.
/// The default is a third of the file descriptors that the process may hold open, if that is less.
const MAX_IDLE: usize = 1024;
/// Time after which endpoints are assumed to close an idle connection if the settings do not state their idle timeout.
const DEFAULT_ENDPOINT_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the pool's limits. The total number of connections is at most half of the file descriptors, and at most as
/// many as the process has memory for. The limits on connections per endpoint, on concurrent dials and on idle
/// connections in total are derived from them where the settings give none.
pub fn limits(pool: &PoolSettings, resources: PoolResources, settings: &Settings) -> PoolLimits {
    let descriptors = resources.descriptors;
    let endpoint_timeout = if settings.connection_idle_timeout > 0 {
        duration(settings.connection_idle_timeout)
    } else {
        DEFAULT_ENDPOINT_IDLE_TIMEOUT
    };
    // close idle connections before the endpoint does, so that no request is written to a closing connection
    let idle_timeout = (endpoint_timeout * 9 / 10)
        .min(endpoint_timeout.saturating_sub(Duration::from_millis(300)));
    // a reload may raise `pool.all` together with the descriptor limit, but the process keeps the descriptor limit of
    // its start
    let max_total = max_pool_connections(descriptors).min(resources.max_connections);
    let total = pool.all.unwrap_or(max_total).min(max_total);
    let limit_or_default =
        |setting: Option<usize>, default: usize| setting.unwrap_or(default).min(total);
    PoolLimits {
        per_endpoint: limit_or_default(pool.per_endpoint, total),
        concurrent_dials: limit_or_default(pool.dials, total),
        total,
        idle: limit_or_default(pool.idle, (descriptors / 3).clamp(1, MAX_IDLE)),
        idle_per_endpoint: limit_or_default(pool.idle_per_endpoint, MAX_IDLE_PER_ENDPOINT),
        idle_timeout: micros(idle_timeout),
        demand_half_life: (pool.decay_s * 1e6) as Micros,
        learn_caps: pool.learn_caps,
        prewarm_share: pool.warm_share,
        prewarm_delay: settings.safety.warm_up_time,
        senders: settings.senders,
    }
}
