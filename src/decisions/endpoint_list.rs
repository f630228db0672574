//! The endpoint list: its entries, the subscription to it, and endpoints that operators disable or
//! enable.

use super::Sender;
use super::state::WarmUp;
use crate::interface::{Action, EndpointEntry, EndpointId, ListScope, MILLISECOND, Micros, SECOND};
use rand_pcg::rand_core::RngCore;
use std::collections::BTreeSet;

/// Average backoff after the first failed subscription to the endpoint list; the actual one is
/// random between half and one and a half times as long. Longer spares the discovery service;
/// shorter leaves the list out of date for less time.
pub(super) const INITIAL_BACKOFF: Micros = 300 * MILLISECOND;
/// Maximum of the average backoff after failed subscriptions to the endpoint list. Longer spares
/// the discovery service; shorter leaves the list out of date for less time.
const MAX_BACKOFF: Micros = 4 * SECOND;

impl Sender {
    pub(super) fn apply_endpoint_list(&mut self, scope: ListScope, entries: &[EndpointEntry]) {
        if scope != ListScope::Stale {
            self.list_backoff = INITIAL_BACKOFF;
        }
        if scope != ListScope::Changes {
            for endpoint in self.endpoints.values_mut() {
                endpoint.serving = false;
            }
        }
        for entry in entries {
            self.apply_entry(entry);
            self.apply_listed_rate(entry);
        }
        self.forget_unused();
    }

    fn apply_entry(&mut self, entry: &EndpointEntry) {
        let known = self.endpoints.entry(entry.endpoint).or_default();
        let has_moved = (known.destination, known.kind) != (entry.destination, entry.kind);
        if has_moved
            && let Some(endpoints) = self.endpoints_by_destination.get_mut(&known.destination)
        {
            endpoints.remove(&entry.endpoint);
        }
        known.update(entry);
        let endpoints = self.endpoints_by_destination.entry(entry.destination);
        endpoints.or_default().insert(entry.endpoint);
    }

    fn apply_listed_rate(&mut self, entry: &EndpointEntry) {
        let weight = if entry.weight.is_finite() {
            entry.weight.max(0.0)
        } else {
            0.0
        };
        let trust = self.settings.weight_trust;
        let fair_share = trust * weight / f64::from(self.fleet_size);
        let route = self.route_mut(self.route_of(entry.endpoint));
        route.fair_share = fair_share;
        route.best_rate = route.best_rate.max(fair_share);
        route.listed_rate = if fair_share > 0.0 {
            fair_share / trust
        } else {
            0.0
        };
    }

    pub(super) fn back_off_subscription(&mut self) {
        let jitter = Micros::from(self.random.next_u32()) % self.list_backoff;
        self.list_retry_at = Some(self.now + self.list_backoff / 2 + jitter);
        self.list_backoff = (self.list_backoff * 2).min(MAX_BACKOFF);
    }

    pub(super) fn subscribe_when_due(&mut self, actions: &mut Vec<Action>) {
        if self.list_retry_at.take_if(|at| *at <= self.now).is_some() {
            actions.push(Action::Subscribe);
        }
    }

    pub(super) fn disable_endpoint(&mut self, id: EndpointId, actions: &mut Vec<Action>) {
        let endpoint = self.endpoints.entry(id).or_default();
        endpoint.disabled = true;
        endpoint.warm_up = None;
        actions.push(Action::Disconnect(id));
    }

    pub(super) fn enable_endpoint(&mut self, id: EndpointId, actions: &mut Vec<Action>) {
        let disabled = self.endpoints.get_mut(&id).filter(|known| known.disabled);
        if let Some(endpoint) = disabled {
            endpoint.disabled = false;
            endpoint.warm_up = Some(WarmUp::new(self.now));
            // the outcomes from before the endpoint was disabled no longer count: it may have been
            // restarted since
            endpoint.classes.clear();
        }
        actions.push(Action::Disconnect(id));
        self.forget_unused();
    }

    /// Removes endpoints that are neither serving nor disabled and that no pending message was sent
    /// to, routes without a listed endpoint, call in flight or Retry-After delay, and key queues
    /// that are empty and do not back off.
    pub(super) fn forget_unused(&mut self) {
        let attempts = self.messages.values().flat_map(|message| &message.attempts);
        let tried: BTreeSet<EndpointId> = attempts.map(|attempt| attempt.endpoint).collect();
        self.endpoints
            .retain(|id, known| known.serving || known.disabled || tried.contains(id));
        for ids in self.endpoints_by_destination.values_mut() {
            ids.retain(|id| self.endpoints.contains_key(id));
        }
        self.endpoints_by_destination
            .retain(|_, ids| !ids.is_empty());
        let listed = &self.endpoints_by_destination;
        self.routes.retain(|id, route| {
            let endpoints = listed.get(&id.destination);
            let is_listed = endpoints
                .is_some_and(|ids| id.endpoint.is_none_or(|endpoint| ids.contains(&endpoint)));
            is_listed || route.in_flight > 0 || route.retry_after_until > self.now
        });
        self.key_queues
            .retain(|_, queue| !queue.messages.is_empty() || queue.backoff_until > self.now);
    }
}
