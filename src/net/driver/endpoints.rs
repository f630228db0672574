//! Endpoints that the driver knows, by the numbers that the decision module uses for them.

use message_sender::EndpointId;
use message_sender::pool::EndpointAddress;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which an unneeded endpoint is still remembered. An endpoint that is listed again within
/// this time keeps its number, so that a Retry-After still applies; usual Retry-After delays are
/// shorter.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// Driver's record of one endpoint.
pub(super) struct EndpointRecord {
    /// Name of the endpoint in the endpoint list.
    pub uid: String,
    /// Address for calls, from the latest entry; `None` if the endpoint was never listed.
    pub address: Option<SocketAddr>,
    /// Position of the endpoint's kind in the settings; `usize::MAX` for an unknown kind.
    pub kind: usize,
    /// Number of the destination that the endpoint belongs to.
    pub destination: u64,
    /// True if the endpoint list contains the endpoint and does not mark it as removed.
    pub listed: bool,
    /// True if the endpoint list contains the endpoint and marks it as serving, neither draining nor
    /// removed.
    pub serving: bool,
    /// Name of the zone, from the latest entry.
    pub zone: String,
    /// Relative capacity, from the latest entry.
    pub weight: f64,
    /// Time at which a check first found that nothing needs the endpoint; `None` if the last check
    /// found it needed.
    pub unneeded_since: Option<Instant>,
}

impl EndpointRecord {
    fn unlisted(uid: &str) -> Self {
        EndpointRecord {
            uid: uid.to_string(),
            address: None,
            kind: usize::MAX,
            destination: 0,
            listed: false,
            serving: false,
            zone: String::new(),
            weight: 0.0,
            unneeded_since: None,
        }
    }
}

/// All endpoints that the driver knows, by number and by name.
#[derive(Default)]
pub(super) struct Endpoints {
    records: BTreeMap<EndpointId, EndpointRecord>,
    by_uid: HashMap<String, EndpointId>,
    next_number: u32,
}

impl Endpoints {
    pub fn get(&self, endpoint: EndpointId) -> Option<&EndpointRecord> {
        self.records.get(&endpoint)
    }

    pub fn get_mut(&mut self, endpoint: EndpointId) -> Option<&mut EndpointRecord> {
        self.records.get_mut(&endpoint)
    }

    pub fn iter(&self) -> impl Iterator<Item = (EndpointId, &EndpointRecord)> {
        self.records
            .iter()
            .map(|(&endpoint, record)| (endpoint, record))
    }

    /// Returns the endpoint's name in the endpoint list.
    pub fn uid(&self, endpoint: EndpointId) -> Option<&str> {
        Some(&self.get(endpoint)?.uid)
    }

    pub fn id_of(&self, uid: &str) -> Option<EndpointId> {
        self.by_uid.get(uid).copied()
    }

    pub fn by_uid(&self, uid: &str) -> Option<&EndpointRecord> {
        self.records.get(self.by_uid.get(uid)?)
    }

    /// Returns the number of the endpoint with this name, and adds an unlisted record if the name
    /// is new.
    pub fn id_or_new(&mut self, uid: &str) -> EndpointId {
        if let Some(endpoint) = self.id_of(uid) {
            return endpoint;
        }
        let endpoint = EndpointId(self.next_number);
        self.next_number += 1;
        self.insert(endpoint, EndpointRecord::unlisted(uid));
        endpoint
    }

    /// Adds an endpoint under a given number.
    pub fn insert(&mut self, endpoint: EndpointId, record: EndpointRecord) {
        self.by_uid.insert(record.uid.clone(), endpoint);
        self.records.insert(endpoint, record);
    }

    /// Returns the number that the next new endpoint will get.
    pub fn next_number(&self) -> u32 {
        self.next_number
    }

    pub fn set_next_number(&mut self, next_number: u32) {
        self.next_number = next_number;
    }

    /// Returns the address for calls to an endpoint; `None` if it was never listed.
    pub fn address_of(&self, endpoint: EndpointId) -> Option<EndpointAddress> {
        let address = self.get(endpoint)?.address?;
        Some(EndpointAddress { address, endpoint })
    }

    pub fn is_any_listed(&self) -> bool {
        self.records.values().any(|record| record.listed)
    }

    /// Marks all endpoints as unlisted, before a full list is applied.
    pub fn unlist_all(&mut self) {
        for record in self.records.values_mut() {
            record.listed = false;
            record.serving = false;
        }
    }

    pub fn are_all_listed(&self) -> bool {
        self.records.values().all(|record| record.listed)
    }

    /// Removes endpoints that nothing has needed for [`FORGET_AFTER`].
    pub fn forget_unneeded(&mut self, is_needed: impl Fn(EndpointId, &EndpointRecord) -> bool) {
        let now = Instant::now();
        let by_uid = &mut self.by_uid;
        self.records.retain(|&endpoint, record| {
            let since = *record.unneeded_since.get_or_insert(now);
            if is_needed(endpoint, record) {
                record.unneeded_since = None;
                return true;
            }
            let forgotten = now - since >= FORGET_AFTER;
            if forgotten {
                by_uid.remove(&record.uid);
            }
            !forgotten
        });
    }
}
