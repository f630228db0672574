//! The endpoint list: what it changes in the driver's records, and what the connection pool learns of it.

use super::Driver;
use crate::net::RateLimitedLog;
use crate::net::events::{ListUpdate, ListedEndpoint};
use message_sender::pool::EndpointAddress;
use message_sender::wire::position;
use message_sender::{EndpointEntry, EndpointId, EndpointStatus, Event, ListScope, Micros};
use std::collections::BTreeSet;

/// Which list is in force.
#[derive(Default)]
pub(super) struct ListState {
    /// The version that is in force.
    pub version: u64,
    /// Senders agree on rules, and the list is the registry's: no lower version than this is accepted.
    pub rules_agreed: bool,
    /// A lower version came: changes of it rest on another list.
    is_behind: bool,
    behind_log: RateLimitedLog,
}

impl ListState {
    /// Whether a list is of a version below the one that is in force: a registry that came back from an older folder. What
    /// it sends is accepted again once a full list is no older.
    fn rejects(&mut self, update: &ListUpdate) -> bool {
        if !self.rules_agreed {
            return false;
        }
        self.is_behind = update.version < self.version || self.is_behind && !update.full;
        if self.is_behind {
            let found = update.version;
            let known = self.version;
            self.behind_log.log(format_args!(
                "discovery: version {found} is not accepted, {known} is in force"
            ));
        }
        self.is_behind
    }
}

impl Driver {
    /// Applies a list that discovery sent.
    pub(super) fn receive_list(&mut self, update: ListUpdate) {
        if self.list.rejects(&update) {
            return;
        }
        let update = self.hold_back_frozen(update);
        self.apply_list(update);
    }

    /// Applies a list as discovery has it.
    pub(super) fn apply_list(&mut self, update: ListUpdate) {
        let scope = if update.full {
            ListScope::Full
        } else {
            ListScope::Changes
        };
        self.set_list_version(update.version);
        self.apply_entries(update, scope);
    }

    /// Applies the list of the configuration, which may be older than discovery's.
    pub(super) fn apply_known_list(&mut self, update: ListUpdate) {
        // one that is empty is none: the first watch is to send all
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

    /// Takes one entry into the endpoint's record.
    fn apply_entry(&mut self, listed: ListedEndpoint) -> EndpointEntry {
        let kind = position(&self.names.kinds, &listed.kind);
        let zone = position(&self.names.zones, &listed.zone) as u16;
        let endpoint = self.endpoints.id_or_new(&listed.uid);
        if let Some(record) = self.endpoints.get_mut(endpoint) {
            if let Some(address) = record.address.filter(|&before| before != listed.address) {
                let before = EndpointAddress { address, endpoint };
                self.calls.connections().set_serving(before, false);
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

    /// Forgets endpoints that no list has had for a while, that are not disabled and that no message was sent to.
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

    /// Tells the pool whether the endpoint takes calls.
    pub(super) fn update_pool(&self, endpoint: EndpointId) {
        let Some(record) = self.endpoints.get(endpoint) else {
            return;
        };
        if let Some(address) = record.address {
            let serving = record.listed && record.serving && !self.journal.is_disabled(&record.uid);
            let endpoint_address = EndpointAddress { address, endpoint };
            self.calls
                .connections()
                .set_serving(endpoint_address, serving);
        }
    }

    /// A late answer carried a Retry-After.
    pub(super) fn retry_after(&mut self, endpoint: EndpointId, wait: Micros) {
        self.delay_connections(endpoint, wait);
        self.events.push(Event::RetryAfter { endpoint, wait });
    }

    /// A Retry-After holds for the whole destination where that is one route: a call to any endpoint of it that has no
    /// connection yet must not be written when one comes up.
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
