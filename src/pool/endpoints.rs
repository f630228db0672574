//! Endpoints come, go and ask to be left alone.

use super::endpoint::Endpoint;
use super::messages::{CloseReason, Command, EndpointAddress, LeaseDenied};
use super::{Pool, accounting};
use crate::Micros;

impl Pool {
    /// The endpoint takes calls from now on.
    pub fn enable_endpoint(&mut self, now: Micros, target: EndpointAddress) {
        let new = Endpoint::new(now, &self.limits);
        let endpoint = self.endpoints.entry(target).or_insert(new);
        if !endpoint.is_serving {
            endpoint.is_serving = true;
            endpoint.prewarm_not_before = now + self.limits.prewarm_delay;
            endpoint.cap = None;
        }
    }

    /// The endpoint drains, is gone, disabled or moved: nothing is dialled any more, and idle connections are closed.
    /// Calls whose dial is in flight may still get it.
    pub fn retire_endpoint(&mut self, target: EndpointAddress, commands: &mut Vec<Command>) {
        let Some(endpoint) = self.serving_endpoint_mut(target) else {
            return;
        };
        endpoint.is_serving = false;
        let dialling = endpoint.dialling;
        let idle = endpoint.idle.clone();
        self.deny_newest_beyond(target, dialling, LeaseDenied::Retired, commands);
        for connection in idle {
            self.close(connection, CloseReason::Retired, commands);
        }
        self.forget_if_done(target);
    }

    /// Closes the idle connections to an endpoint, as the decisions ask for where connections are few.
    pub fn close_idle(&mut self, target: EndpointAddress, commands: &mut Vec<Command>) {
        let Some(endpoint) = self.endpoints.get(&target) else {
            return;
        };
        for connection in endpoint.idle.clone() {
            self.close(connection, CloseReason::Disconnected, commands);
        }
    }

    /// The endpoint's destination has sent a Retry-After that holds until then: calls that still wait for a connection
    /// must not be written once it comes up, and nothing is dialled ahead of need.
    pub fn apply_retry_after(
        &mut self,
        target: EndpointAddress,
        until: Micros,
        commands: &mut Vec<Command>,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(&target) else {
            return;
        };
        endpoint.delay_prewarm(until);
        self.deny_newest_beyond(target, 0, LeaseDenied::RetryAfter, commands);
    }

    pub(super) fn serving_endpoint_mut(
        &mut self,
        target: EndpointAddress,
    ) -> Option<&mut Endpoint> {
        self.endpoints
            .get_mut(&target)
            .filter(|endpoint| endpoint.is_serving)
    }

    /// Forgets an endpoint of which nothing is left, and keeps its counters.
    pub(super) fn forget_if_done(&mut self, target: EndpointAddress) {
        if self.endpoints.get(&target).is_some_and(Endpoint::is_done)
            && let Some(endpoint) = self.endpoints.remove(&target)
        {
            accounting::add(&mut self.forgotten_counters, &endpoint.counters);
        }
    }
}
