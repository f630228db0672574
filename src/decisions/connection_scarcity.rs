//! Detects endpoints that accept few connections, and closes idle connections to them so that other
//! senders can connect.

use super::Sender;
use super::state::{RouteId, seconds};
use crate::interface::{Action, EndpointId, Outcome};

/// Weight that one call without a connection has in the scarcity scores of its endpoint and of its
/// kind of destination. Higher reacts to fewer such calls.
const SCARCITY_WEIGHT: f64 = 0.2;
/// Scarcity score above which idle connections are closed. Lower frees connections of an endpoint
/// sooner; higher saves handshakes.
const SCARCITY_THRESHOLD: f64 = 0.1;

impl Sender {
    pub(super) fn record_connection(
        &mut self,
        endpoint: EndpointId,
        outcome: Outcome,
        route_succeeds: bool,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(&endpoint) else {
            return;
        };
        let kind_scarcity = self.connection_scarcity.entry(endpoint.kind).or_default();
        for score in [kind_scarcity, &mut endpoint.connection_scarcity] {
            match outcome {
                // where no call succeeds the endpoint is unavailable, not short of connections
                Outcome::NoConnection if route_succeeds => {
                    *score += SCARCITY_WEIGHT * (1.0 - *score);
                }
                Outcome::Success => *score -= SCARCITY_WEIGHT * SCARCITY_THRESHOLD * *score,
                _ => {}
            }
        }
    }

    /// Resets the scarcity scores of the endpoints of a route that begins to recover: calls that
    /// found no connection during the outage do not show how scarce connections are now.
    pub(super) fn forget_connection_scarcity(&mut self, route: RouteId) {
        let ids = self.endpoints_by_destination.get(&route.destination);
        for id in ids.into_iter().flatten() {
            if route.endpoint.is_none_or(|endpoint| endpoint == *id)
                && let Some(endpoint) = self.endpoints.get_mut(id)
            {
                endpoint.connection_scarcity = 0.0;
            }
        }
    }

    /// Closes the idle connections to an endpoint whose connections are scarce. Also closes those
    /// to an endpoint of a kind whose connections are scarce, if the route makes less than one call
    /// per idle timeout: they would time out before their next use. Protects endpoints that accept
    /// few connections against hundreds of senders that each keep one idle. Drawback: where traffic
    /// comes in bursts with long pauses, the next call needs a handshake. Closes nothing while a
    /// call to the endpoint is in flight.
    pub(super) fn close_idle_connection(
        &mut self,
        route: RouteId,
        id: EndpointId,
        actions: &mut Vec<Action>,
    ) {
        let idle_timeout = self.settings.connection_idle_timeout;
        let now = self.now;
        let usual_rate = self.route_mut(route).usual_rate(now, idle_timeout);
        let Some(endpoint) = self.endpoints.get(&id) else {
            return;
        };
        let is_seldom_used = usual_rate * seconds(idle_timeout) < 1.0;
        let kind_scarcity = self.connection_scarcity.get(&endpoint.kind).copied();
        let is_scarce = endpoint.connection_scarcity > SCARCITY_THRESHOLD
            || is_seldom_used && kind_scarcity.unwrap_or(0.0) > SCARCITY_THRESHOLD;
        if is_scarce && self.calls.values().all(|call| call.endpoint != id) {
            actions.push(Action::Disconnect(id));
        }
    }
}
