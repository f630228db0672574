//! Sizing: how many connections an endpoint's load asks for, by the recent peak of concurrent calls.

use super::endpoint::Endpoint;
use super::settings::PoolLimits;
use crate::Micros;

/// The wanted number falls by one once the decaying peak has come so near to the next lower one.
const PEAK_SLACK: f64 = 0.25;

/// The recent peak of concurrent calls, as it was at a time.
#[derive(Debug, Clone, Copy)]
pub(super) struct DemandPeak {
    pub(super) calls: f64,
    pub(super) at: Micros,
}

impl Endpoint {
    /// The peak as it has decayed, or the present demand if that is higher.
    fn demand_at(&self, now: Micros, half_life: Micros) -> f64 {
        let halvings = (now - self.demand_peak.at) as f64 / half_life.max(1) as f64;
        let decayed = self.demand_peak.calls * 0.5f64.powf(halvings);
        decayed.max((self.leased + self.waiting.len()) as f64)
    }

    /// Calls have come or gone.
    pub(super) fn update_demand(&mut self, now: Micros, half_life: Micros) {
        self.demand_peak = DemandPeak {
            calls: self.demand_at(now, half_life),
            at: now,
        };
    }

    /// How many connections the load asks for, at least one; that one is left to its idle timeout.
    pub(super) fn wanted_connections(&self, now: Micros, limits: &PoolLimits) -> usize {
        let max = self.cap.as_ref().map_or(limits.per_endpoint, |cap| {
            cap.connections.min(limits.per_endpoint)
        });
        let demand = self.demand_at(now, limits.demand_half_life);
        ((demand - PEAK_SLACK).ceil() as usize).clamp(1, max.max(1))
    }
}
