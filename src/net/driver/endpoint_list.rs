//! Endpoint list: updates the driver's records of the endpoints and notifies the connection pool of
//! changes.

use super::Driver;
use crate::net::RateLimitedLog;
use crate::net::events::{ListUpdate, ListedEndpoint};
use message_sender::pool::EndpointAddress;
use message_sender::wire::position;
use message_sender::{EndpointEntry, EndpointId, EndpointStatus, Event, ListScope, Micros};
use std::collections::BTreeSet;

/// Version of the endpoint list, and the check against older lists.
#[derive(Default)]
pub(super) struct ListState {
    /// Version of the list that is in force.
    pub version: u64,
    /// True if agreement is on: the senders agree on rules through the registry, which then also
    /// serves the endpoint list. Versions of the list below the one in force are then rejected.
    pub is_agreement_on: bool,
    /// True after a list with an older version was rejected, until a list is accepted again.
    /// Changes that arrive meanwhile build on the older list, so they are rejected as well.
    is_behind: bool,
    behind_log: RateLimitedLog,
}

impl ListState {
    /// Returns true if an update must be rejected because its list is older than the one in force.
    /// The registry serves such a list after it was restored from an older state folder. Updates
    /// are accepted again from the first full list that is not older.
    fn rejects(&mut self, update: &ListUpdate) -> bool {
        if !self.is_agreement_on {
            return false;
        }
        self.is_behind = update.version < self.version || self.is_behind && !update.full;
        if self.is_behind {
            let rejected = update.version;
            let in_force = self.version;
            self.behind_log.log(format_args!(
                "discovery: ignoring list version {rejected}, {in_force} is in force"
            ));
        }
        self.is_behind
    }
}

impl Driver {
    /// Applies a list that discovery sent, except for changes that a freeze holds back.
    pub(super) fn receive_list(&mut self, update: ListUpdate) {
        if self.list.rejects(&update) {
            return;
        }
        let update = self.hold_back_frozen(update);
        self.apply_list(update);
    }

    /// Applies a list or changes to it, and sets the version that is in force.
    pub(super) fn apply_list(&mut self, update: ListUpdate) {
        let scope = if update.full {
            ListScope::Full
        } else {
            ListScope::Changes
        };
        self.set_list_version(update.version);
        self.apply_entries(update, scope);
    }

    /// Applies the endpoint list of the configuration file. The decision module receives it with
    /// [`ListScope::Stale`], because discovery may have a newer list.
    pub(super) fn apply_configured_list(&mut self, update: ListUpdate) {
        // an empty list sets no version, so that the first request to discovery gets the full list
        if !update.entries.is_empty() {
            self.set_list_version(update.version);
        }
        self.apply_entries(update, ListScope::Stale);
    }

    fn set_list_version(&mut self, version: u64) {
        self.list.version = version;
        self.process.list_version.set(version);
    }

    fn apply_entries(&mut self, update: ListUpdate, scope: ListScope) {
        if update.full {
            self.endpoints.unlist_all();
        }
        let mut entries = Vec::with_capacity(update.entries.len());
        for listed in update.entries {
            let entry = self.apply_entry(listed);
            if !update.full {
                self.update_pool(entry.endpoint);
            }
            entries.push(entry);
        }
        if update.full {
            for (endpoint, _) in self.endpoints.iter() {
                self.update_pool(endpoint);
            }
        }
        self.forget_unneeded_endpoints();
        if !entries.is_empty() {
            self.ready.send_replace(true);
        }
        self.events.push(Event::EndpointList { scope, entries });
    }

    /// Updates the record of an endpoint from its entry in the list.
    fn apply_entry(&mut self, listed: ListedEndpoint) -> EndpointEntry {
        let kind = position(&self.names.kinds, &listed.kind);
        let zone = position(&self.names.zones, &listed.zone) as u16;
        let endpoint = self.endpoints.id_or_new(&listed.uid);
        if let Some(record) = self.endpoints.get_mut(endpoint) {
            // calls that wait for a connection were decided for the old address and destination
            let has_moved =
                record.address != Some(listed.address) || record.destination != listed.destination;
            if let Some(address) = record.address.filter(|_| has_moved) {
                let old_address = EndpointAddress { address, endpoint };
                self.calls
                    .connections()
                    .set_endpoint_enabled(old_address, false);
            }
            record.address = Some(listed.address);
            record.listed = listed.status != EndpointStatus::Removed;
            record.serving = listed.status == EndpointStatus::Serving;
            record.kind = kind;
            record.destination = listed.destination;
            record.zone = listed.zone;
            record.weight = listed.weight;
        }
        EndpointEntry {
            endpoint,
            destination: listed.destination,
            zone,
            kind,
            status: listed.status,
            weight: listed.weight,
        }
    }

    /// Removes the records of endpoints that have not been needed for some time. An endpoint is
    /// needed while it is listed or disabled, or while a message that the driver holds has an
    /// attempt there.
    fn forget_unneeded_endpoints(&mut self) {
        if self.endpoints.are_all_listed() {
            return;
        }
        let attempted: BTreeSet<EndpointId> = self.messages.attempted_endpoints().collect();
        let journal = &self.journal;
        self.endpoints.forget_unneeded(|endpoint, record| {
            record.listed || journal.is_disabled(&record.uid) || attempted.contains(&endpoint)
        });
    }

    /// Notifies the connection pool whether the endpoint may get calls.
    pub(super) fn update_pool(&self, endpoint: EndpointId) {
        let Some(record) = self.endpoints.get(endpoint) else {
            return;
        };
        if let Some(address) = record.address {
            let serving = record.listed && record.serving && !self.journal.is_disabled(&record.uid);
            let endpoint_address = EndpointAddress { address, endpoint };
            self.calls
                .connections()
                .set_endpoint_enabled(endpoint_address, serving);
        }
    }

    /// Applies a Retry-After that is not part of an attempt's outcome, for example from an answer
    /// that came after its call was abandoned.
    pub(super) fn retry_after(&mut self, endpoint: EndpointId, wait: Micros) {
        self.delay_connections(endpoint, wait);
        self.events.push(Event::RetryAfter {
            endpoint,
            delay: wait,
        });
    }

    /// Applies a Retry-After delay to connections. If the destination is one route, the delay holds
    /// for all its endpoints: calls that still wait for a connection to one of them must not be
    /// sent when it is established.
    pub(super) fn delay_connections(&self, endpoint: EndpointId, wait: Micros) {
        let Some(origin) = self.endpoints.get(endpoint) else {
            return;
        };
        let kind = self.settings.kinds.get(origin.kind);
        let separate_routes = kind.is_some_and(|kind| kind.separate_routes);
        for (other, record) in self.endpoints.iter() {
            let same_route = !separate_routes && record.destination == origin.destination;
            let is_delayed = other == endpoint || same_route;
            if let Some(address) = record.address.filter(|_| is_delayed) {
                let endpoint_address = EndpointAddress {
                    address,
                    endpoint: other,
                };
                self.calls
                    .connections()
                    .apply_retry_after(endpoint_address, wait);
            }
        }
    }
}
