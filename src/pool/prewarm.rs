//! Prewarming: dials ahead of need, where the demand of the recent past exceeds the connections that are open.

use super::Pool;
use super::dials::DialKind;
use super::endpoint::{Connection, Endpoint};
use super::messages::{Command, EndpointAddress};
use crate::{Micros, SECOND};

/// Pause between two dials ahead of need to one endpoint, times the number of senders, so that the fleet makes
/// about four a second; never shorter than the minimum.
const PREWARM_INTERVAL_PER_SENDER: Micros = SECOND / 4;
const MIN_PREWARM_INTERVAL: Micros = SECOND;

impl Pool {
    /// Dials ahead of need, one an endpoint at a time, at moments of this sender's own.
    pub(super) fn prewarm(&mut self, now: Micros, commands: &mut Vec<Command>) {
        let max_unused = (self.limits.prewarm_share * self.limits.total as f64) as usize;
        let is_unused = |known: &&Connection| known.calls == 0;
        let mut unused = self.connections.values().filter(is_unused).count();
        let fleet_interval = PREWARM_INTERVAL_PER_SENDER * Micros::from(self.limits.senders);
        let interval = MIN_PREWARM_INTERVAL.max(fleet_interval);
        for target in self.targets() {
            let has_room = unused < max_unused && self.total() < self.limits.total;
            if !has_room || !self.may_prewarm(now, target) {
                continue;
            }
            self.dial(now, target, DialKind::Ordinary, commands);
            unused += 1;
            let next_at = now + self.with_jitter(interval);
            if let Some(endpoint) = self.endpoints.get_mut(&target) {
                endpoint.next_prewarm_at = next_at;
            }
        }
    }

    /// Whether the endpoint is in use, may need more connections than it has, and can have one now.
    fn may_prewarm(&self, now: Micros, target: EndpointAddress) -> bool {
        let Some(endpoint) = self.endpoints.get(&target) else {
            return false;
        };
        endpoint.is_prewarm_due(now)
            && self.needs_more_connections(now, endpoint)
            && self.allowed_dial(now, endpoint) == Some(DialKind::Ordinary)
    }

    fn needs_more_connections(&self, now: Micros, endpoint: &Endpoint) -> bool {
        let is_in_use = endpoint.last_acquire_at > now - self.limits.demand_half_life;
        is_in_use
            && endpoint.waiting.is_empty()
            && endpoint.open() < endpoint.wanted_connections(now, &self.limits)
    }
}
