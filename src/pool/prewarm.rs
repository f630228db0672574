//! Prewarming: dialling connections before a call needs them, at endpoints where the recent peak of
//! concurrent calls exceeds the number of open connections.

use super::Pool;
use super::dials::DialKind;
use super::endpoint::{Connection, Endpoint};
use super::messages::{Command, EndpointAddress};
use crate::{Micros, SECOND};

/// Interval in microseconds for each sender of the fleet: a sender waits this value times the
/// number of senders between two prewarming dials to one endpoint. So the fleet as a whole makes
/// about four such dials a second.
const PREWARM_INTERVAL_PER_SENDER: Micros = SECOND / 4;
/// Minimum interval in microseconds between two prewarming dials of a sender to one endpoint.
const MIN_PREWARM_INTERVAL: Micros = SECOND;

impl Pool {
    /// Dials at most one connection to each endpoint before a call needs it. The interval to the
    /// next such dial is random, so that the senders of a fleet don't dial at the same time.
    pub(super) fn prewarm(&mut self, now: Micros, commands: &mut Vec<Command>) {
        let max_unused = (self.limits.prewarm_share * self.limits.total as f64) as usize;
        let is_unused = |record: &&Connection| record.calls == 0;
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

    /// Returns true if the endpoint is in use, recently needed more connections than are open, and
    /// may be dialled now without exceeding a learned cap on connections.
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
