//! Endpoints: enabling, retirement, and the effect of a Retry-After.

use super::endpoint::Endpoint;
use super::messages::{CloseReason, Command, EndpointAddress, LeaseDenied};
use super::{Pool, accounting};
use crate::Micros;

impl Pool {
    /// Lets calls acquire connections to the endpoint from now on. An endpoint that was retired
    /// starts without a learned cap and without prewarming, as it may have been restarted.
    pub fn enable_endpoint(&mut self, now: Micros, target: EndpointAddress) {
        let new = Endpoint::new(now, &self.limits);
        let endpoint = self.endpoints.entry(target).or_insert(new);
        if !endpoint.is_serving {
            endpoint.is_serving = true;
            endpoint.prewarm_not_before = now + self.limits.prewarm_delay;
            endpoint.cap = None;
        }
    }

    /// Begins no further dial to an endpoint that drains, was removed or disabled, or has another
    /// address now, closes its idle connections, and denies its waiting calls a connection: one that
    /// comes up later may come too late for the endpoint. Dials in flight go on, and their
    /// connections are closed.
    pub fn retire_endpoint(&mut self, target: EndpointAddress, commands: &mut Vec<Command>) {
        let Some(endpoint) = self.serving_endpoint_mut(target) else {
            return;
        };
        endpoint.is_serving = false;
        let idle = endpoint.idle.clone();
        self.deny_newest_beyond(target, 0, LeaseDenied::Retired, commands);
        for connection in idle {
            self.close(connection, CloseReason::Retired, commands);
        }
        self.remove_if_retired_and_unused(target);
    }

    /// Closes the idle connections to an endpoint. The decision module asks for this where
    /// connections are scarce, so that other senders can get them.
    pub fn close_idle(&mut self, target: EndpointAddress, commands: &mut Vec<Command>) {
        let Some(endpoint) = self.endpoints.get(&target) else {
            return;
        };
        for connection in endpoint.idle.clone() {
            self.close(connection, CloseReason::Disconnected, commands);
        }
    }

    /// Applies a Retry-After of the endpoint's destination that lasts until `until`, a time in
    /// microseconds. Waiting calls are denied a connection, because they must not be written to a
    /// connection that comes up before then; the endpoint is not prewarmed until then.
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

    /// Denies all waiting calls a connection, and all later ones until [`Pool::resume`]: the endpoint
    /// list is stale, and any endpoint may have begun to drain.
    pub fn suspend(&mut self, commands: &mut Vec<Command>) {
        self.is_suspended = true;
        for target in self.targets() {
            self.deny_newest_beyond(target, 0, LeaseDenied::Suspended, commands);
        }
    }

    /// Lets calls acquire connections again after [`Pool::suspend`].
    pub fn resume(&mut self) {
        self.is_suspended = false;
    }

    /// Returns why no call may be sent to the endpoint now; `None` if calls may be sent.
    pub fn denial(&self, target: EndpointAddress) -> Option<LeaseDenied> {
        let endpoint = self.endpoints.get(&target);
        if !endpoint.is_some_and(|endpoint| endpoint.is_serving) {
            Some(LeaseDenied::Retired)
        } else if self.is_suspended {
            Some(LeaseDenied::Suspended)
        } else if self.is_shutting_down {
            Some(LeaseDenied::ShuttingDown)
        } else {
            None
        }
    }

    pub(super) fn serving_endpoint_mut(
        &mut self,
        target: EndpointAddress,
    ) -> Option<&mut Endpoint> {
        self.endpoints
            .get_mut(&target)
            .filter(|endpoint| endpoint.is_serving)
    }

    /// Removes the record of a retired endpoint without connections and waiting calls. Its counters
    /// are added to the pool's totals.
    pub(super) fn remove_if_retired_and_unused(&mut self, target: EndpointAddress) {
        if self
            .endpoints
            .get(&target)
            .is_some_and(Endpoint::is_retired_and_unused)
            && let Some(endpoint) = self.endpoints.remove(&target)
        {
            accounting::add(&mut self.removed_endpoint_counters, &endpoint.counters);
        }
    }
}
