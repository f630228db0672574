//! Report of the connection pool for operators.

use super::ConnectionPool;
use message_sender::pool::{EndpointReport, PoolReport};
use message_sender::{EndpointId, MILLISECOND, SECOND};
use serde_json::json;
use std::cmp::Reverse;

/// Maximum number of endpoints in one report, which bounds its size: an endpoint takes about 300 bytes.
const MAX_REPORTED_ENDPOINTS: usize = 1024;

impl ConnectionPool {
    /// Returns the pool's limits and figures as JSON: the sums over all endpoints, the busiest endpoints one by one,
    /// and the number of endpoints left out. `uid_of` maps an endpoint to its id in the endpoint list.
    pub fn report(&self, uid_of: impl Fn(EndpointId) -> Option<String>) -> String {
        let pool = self.0.pool();
        let limits = pool.limits();
        let PoolReport {
            mut endpoints,
            totals: counters,
        } = pool.report(self.0.now());
        let sum = |count: fn(&EndpointReport) -> usize| endpoints.iter().map(count).sum::<usize>();
        let totals = json!({
            "endpoints": endpoints.len(),
            "open": sum(|endpoint| endpoint.idle + endpoint.leased),
            "idle": sum(|endpoint| endpoint.idle),
            "leased": sum(|endpoint| endpoint.leased),
            "dialling": sum(|endpoint| endpoint.dialling),
            "waiting": sum(|endpoint| endpoint.waiting),
            "counts": counters,
        });
        endpoints.sort_by_key(|endpoint| {
            Reverse((
                endpoint.leased + endpoint.dialling + endpoint.waiting,
                endpoint.idle,
                endpoint.counters.dials,
            ))
        });
        let left_out = endpoints.len().saturating_sub(MAX_REPORTED_ENDPOINTS);
        endpoints.truncate(MAX_REPORTED_ENDPOINTS);
        let described = |endpoint: EndpointReport| {
            json!({
                "uid": uid_of(endpoint.target.endpoint),
                "address": endpoint.target.address.to_string(),
                "serving": endpoint.is_serving,
                "open": endpoint.idle + endpoint.leased,
                "idle": endpoint.idle,
                "leased": endpoint.leased,
                "dialling": endpoint.dialling,
                "waiting": endpoint.waiting,
                "wanted": endpoint.wanted_connections,
                "learned_cap": endpoint.learned_cap,
                "counts": endpoint.counters,
            })
        };
        json!({
            "limits": {
                "all": limits.total,
                "per_endpoint": limits.per_endpoint,
                "dials": limits.concurrent_dials,
                "idle": limits.idle,
                "idle_per_endpoint": limits.idle_per_endpoint,
                "keep_ms": limits.idle_timeout / MILLISECOND,
                "decay_s": limits.demand_half_life as f64 / SECOND as f64,
                "learn_caps": limits.learn_caps,
                "warm_share": limits.prewarm_share,
            },
            "totals": totals,
            "left_out": left_out,
            "endpoints": endpoints.into_iter().map(described).collect::<Vec<_>>(),
        })
        .to_string()
    }
}
