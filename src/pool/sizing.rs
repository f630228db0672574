//! Sizing: the number of connections that an endpoint needs, derived from the recent peak of
//! concurrent calls.

use super::endpoint::Endpoint;
use super::settings::PoolLimits;
use crate::Micros;

/// Number of calls by which the decaying peak may exceed a whole number without needing one more
/// connection. A peak of 3.25 calls still needs 3 connections only.
const PEAK_SLACK: f64 = 0.25;

/// The recent peak of concurrent calls, which decays from `calls` at the time `at`.
#[derive(Debug, Clone, Copy)]
pub(super) struct DemandPeak {
    /// Number of concurrent calls, leased and waiting.
    pub(super) calls: f64,
    /// Time in microseconds at which the peak had the value `calls`.
    pub(super) at: Micros,
}

impl Endpoint {
    /// Returns the decayed peak of concurrent calls, or the present number of leased connections
    /// and waiting calls if that is higher. `half_life` is in microseconds.
    fn demand_at(&self, now: Micros, half_life: Micros) -> f64 {
        let halvings = (now - self.demand_peak.at) as f64 / half_life.max(1) as f64;
        let decayed = self.demand_peak.calls * 0.5f64.powf(halvings);
        decayed.max((self.leased + self.waiting.len()) as f64)
    }

    /// Updates the peak. Called whenever a call starts to wait or ends; `half_life` is in
    /// microseconds.
    pub(super) fn update_demand(&mut self, now: Micros, half_life: Micros) {
        self.demand_peak = DemandPeak {
            calls: self.demand_at(now, half_life),
            at: now,
        };
    }

    /// Returns the number of connections that the load needs. It is at least 1, so that the last
    /// connection is closed by its idle timeout only, not as surplus.
    pub(super) fn wanted_connections(&self, now: Micros, limits: &PoolLimits) -> usize {
        let max = self.cap.as_ref().map_or(limits.per_endpoint, |cap| {
            cap.connections.min(limits.per_endpoint)
        });
        let demand = self.demand_at(now, limits.demand_half_life);
        ((demand - PEAK_SLACK).ceil() as usize).clamp(1, max.max(1))
    }
}
