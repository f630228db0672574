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
    /// True if agreement is on. The list then comes from the registry, and versions below the one
    /// in force are rejected.
    pub rules_agreed: bool,
    /// True since an older version was received. Later changes build on that older list and are
    /// rejected as well.
    is_behind: bool,
    behind_log: RateLimitedLog,
}

impl ListState {
    /// Returns true if an update must be rejected because its list is older than the one in force.
    /// That happens after a registry was restored from an older folder. Updates are accepted again
    /// from the first full list that is not older.
    fn rejects(&mut self, update: &ListUpdate) -> bool {
        if !self.rules_agreed {
            return false;
        }
        self.is_behind = update.version < self.version || self.is_behind && !update.full;
        if self.is_behind {
            let found = update.version;
            let known = self.version;
            self.behind_log.log(format_args!(
                "discovery: ignoring list version {found}, {known} is in force"
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

    /// Applies the list of the configuration file, which may be older than discovery's.
    pub(super) fn apply_known_list(&mut self, update: ListUpdate) {
        // an empty list sets no version, so that the first request to discovery gets the full list
        if !update.targets.is_empty() {
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
        let mut entries = Vec::with_capacity(update.targets.len());
        for listed in update.targets {
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
            if let Some(address) = record.address.filter(|&before| before != listed.address) {
                let before = EndpointAddress { address, endpoint };
                self.calls.connections().set_endpoint_enabled(before, false);
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

    /// Removes endpoints that have been unlisted for a while, are not disabled, and have no attempt
    /// of a held message.
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

    /// Applies a Retry-After from an answer that came after its attempt had ended.
    pub(super) fn retry_after(&mut self, endpoint: EndpointId, wait: Micros) {
        self.delay_connections(endpoint, wait);
        self.events.push(Event::RetryAfter { endpoint, wait });
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
            let concerned = other == endpoint || same_route;
            if let Some(address) = record.address.filter(|_| concerned) {
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
