//! What operators see of the connections.

use super::Connections;
use message_sender::pool::EndpointView;
use message_sender::{EndpointId, MILLISECOND, SECOND};
use serde_json::json;
use std::cmp::Reverse;

/// Endpoints in one report, so that its size is bounded: some 300 bytes each. No list of fewer is cut.
const LISTED: usize = 1024;

impl Connections {
    /// Figures for operators, as JSON: the busiest endpoints and how many are left out, and the sums of all.
    pub fn report(&self, uid_of: impl Fn(EndpointId) -> Option<String>) -> String {
        let pool = self.0.pool.borrow();
        let limits = pool.limits();
        let (mut endpoints, all) = pool.view(self.0.now());
        let sum = |count: fn(&EndpointView) -> usize| endpoints.iter().map(count).sum::<usize>();
        let totals = json!({
            "endpoints": endpoints.len(),
            "open": sum(|endpoint| endpoint.idle + endpoint.leased),
            "idle": sum(|endpoint| endpoint.idle),
            "leased": sum(|endpoint| endpoint.leased),
            "dialling": sum(|endpoint| endpoint.dialling),
            "waiting": sum(|endpoint| endpoint.waiting),
            "counts": all,
        });
        endpoints.sort_by_key(|endpoint| {
            Reverse((
                endpoint.leased + endpoint.dialling + endpoint.waiting,
                endpoint.idle,
                endpoint.counts.dials,
            ))
        });
        let left_out = endpoints.len().saturating_sub(LISTED);
        endpoints.truncate(LISTED);
        let described = |endpoint: EndpointView| {
            json!({
                "uid": uid_of(endpoint.place.endpoint),
                "address": endpoint.place.address.to_string(),
                "serving": endpoint.serving,
                "open": endpoint.idle + endpoint.leased,
                "idle": endpoint.idle,
                "leased": endpoint.leased,
                "dialling": endpoint.dialling,
                "waiting": endpoint.waiting,
                "wanted": endpoint.wanted,
                "learned_cap": endpoint.learned_cap,
                "counts": endpoint.counts,
            })
        };
        json!({
            "limits": {
                "all": limits.all,
                "per_endpoint": limits.per_endpoint,
                "dials": limits.dials,
                "idle": limits.idle,
                "idle_per_endpoint": limits.idle_per_endpoint,
                "keep_ms": limits.keep / MILLISECOND,
                "decay_s": limits.decay as f64 / SECOND as f64,
                "learn_caps": limits.learn_caps,
                "warm_share": limits.warm_share,
            },
            "totals": totals,
            "left_out": left_out,
            "endpoints": endpoints.into_iter().map(described).collect::<Vec<_>>(),
        })
        .to_string()
    }
}
