//! The endpoints: where they are, what the list says of them, what the pool is told.

use super::{Driver, FORGET_AFTER, Route};
use crate::net::events::ListUpdate;
use message_sender::pool::EndpointAddress;
use message_sender::wire::position;
use message_sender::{EndpointId, Entry, Event, Listing, Micros, Status};
use std::collections::BTreeSet;
use tokio::time::Instant;

impl Driver {
    pub(super) fn list(&mut self, update: ListUpdate, old: bool) {
        if self.is_behind(&update, old) {
            return;
        }
        let update = if old {
            update
        } else {
            self.without_held(update)
        };
        self.take_list(update, old);
    }

    /// Takes a list as it is.
    pub(super) fn take_list(&mut self, update: ListUpdate, old: bool) {
        // a list as known that is empty is none: the first watch is to tell all
        if !(old && update.targets.is_empty()) {
            self.list_version = update.version;
            self.shared.listed.set(update.version);
        }
        if update.full {
            self.routes
                .values_mut()
                .for_each(|route| (route.listed, route.up) = (false, false));
        }
        let mut entries = Vec::with_capacity(update.targets.len());
        for listed in update.targets {
            let kind = position(&self.names.kinds, &listed.kind);
            let endpoint = self.endpoint_of(&listed.uid);
            if let Some(route) = self.routes.get_mut(&endpoint) {
                if let Some(address) = route.address.filter(|&before| before != listed.address) {
                    self.calls
                        .connections()
                        .set_serving(EndpointAddress { address, endpoint }, false);
                }
                route.address = Some(listed.address);
                route.listed = listed.status != Status::Gone;
                route.up = listed.status == Status::Serving;
                (route.kind, route.destination) = (kind, listed.destination);
                (route.zone, route.weight) = (listed.zone.clone(), listed.weight);
            }
            if !update.full {
                self.admit(endpoint);
            }
            entries.push(Entry {
                endpoint,
                destination: listed.destination,
                zone: position(&self.names.zones, &listed.zone) as u16,
                kind,
                status: listed.status,
                weight: listed.weight,
            });
        }
        if update.full {
            self.routes
                .keys()
                .for_each(|&endpoint| self.admit(endpoint));
        }
        self.forget_routes();
        if !entries.is_empty() {
            self.ready.send_replace(true);
        }
        let listing = match (old, update.full) {
            (true, _) => Listing::Old,
            (false, true) => Listing::Full,
            (false, false) => Listing::Changes,
        };
        self.events.push(Event::Listed { listing, entries });
    }

    /// Whether a list is of a version below the one that is in force: a registry that came back from an older folder. What
    /// it tells is taken again once a whole list is no older.
    fn is_behind(&mut self, update: &ListUpdate, old: bool) -> bool {
        if !self.agreed || old {
            return false;
        }
        if update.version < self.list_version || self.behind && !update.full {
            self.behind = true;
            let (found, known) = (update.version, self.list_version);
            self.behind_fault.log(format_args!(
                "discovery: version {found} is not taken, {known} is in force"
            ));
            return true;
        }
        self.behind = false;
        false
    }

    /// The module's number for an endpoint.
    pub(super) fn endpoint_of(&mut self, uid: &str) -> EndpointId {
        if let Some(&endpoint) = self.by_uid.get(uid) {
            return endpoint;
        }
        let endpoint = EndpointId(self.next_endpoint);
        self.next_endpoint += 1;
        let (uid, kind) = (uid.to_string(), usize::MAX);
        let (address, destination, listed, up, gone) = (None, 0, false, false, None);
        let (zone, weight) = (String::new(), 0.0);
        self.by_uid.insert(uid.clone(), endpoint);
        self.routes.insert(
            endpoint,
            Route {
                uid,
                address,
                kind,
                destination,
                listed,
                up,
                zone,
                weight,
                gone,
            },
        );
        endpoint
    }

    /// Forgets endpoints that no list has had for a while, that are not out and that no message was sent to.
    pub(super) fn forget_routes(&mut self) {
        let now = Instant::now();
        let (messages, journal, by_uid) = (&self.messages, &self.journal, &mut self.by_uid);
        if self.routes.values().all(|route| route.listed) {
            return;
        }
        let tried: BTreeSet<EndpointId> = messages
            .values()
            .flat_map(|held| &held.attempts)
            .map(|tried| tried.endpoint)
            .collect();
        self.routes.retain(|endpoint, route| {
            let gone = *route.gone.get_or_insert(now);
            let kept = route.listed || journal.is_out(&route.uid) || tried.contains(endpoint);
            if kept {
                route.gone = None;
            } else if now - gone >= FORGET_AFTER {
                by_uid.remove(&route.uid);
                return false;
            }
            true
        });
    }

    /// Tells the pool whether the endpoint takes calls.
    pub(super) fn admit(&self, endpoint: EndpointId) {
        let Some(route) = self.routes.get(&endpoint) else {
            return;
        };
        if let Some(address) = route.address {
            let serving = route.listed && route.up && !self.journal.is_out(&route.uid);
            self.calls
                .connections()
                .set_serving(EndpointAddress { address, endpoint }, serving);
        }
    }

    /// Connections of an old process's calls count among this one's.
    pub(super) fn count_elsewhere(&self) {
        let count = self
            .out
            .values()
            .filter(|call| call.cancels.is_none())
            .count();
        self.calls.connections().set_predecessor_connections(count);
    }

    /// Where an endpoint is.
    pub(super) fn place_of(&self, endpoint: EndpointId) -> Option<EndpointAddress> {
        let address = self.routes.get(&endpoint)?.address?;
        Some(EndpointAddress { address, endpoint })
    }

    /// An endpoint has told to wait, which holds for its whole destination where that is one route: a call to any
    /// of it that has no connection yet must not be written when one comes up.
    pub(super) fn told_wait(&self, endpoint: EndpointId, wait: Micros) {
        let Some(told) = self.routes.get(&endpoint) else {
            return;
        };
        let apart = self
            .settings
            .kinds
            .get(told.kind)
            .is_some_and(|kind| kind.separate_routes);
        for (&other, route) in &self.routes {
            let concerned = other == endpoint || !apart && route.destination == told.destination;
            if let Some(address) = route.address.filter(|_| concerned) {
                self.calls.connections().apply_retry_after(
                    EndpointAddress {
                        address,
                        endpoint: other,
                    },
                    wait,
                );
            }
        }
    }
}
