//! The endpoints that the driver knows, by the decision module's numbers.

use message_sender::EndpointId;
use message_sender::pool::EndpointAddress;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// An endpoint that comes back within this time is the same still, with its Retry-After: longer than these are.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// What the driver knows of one endpoint.
pub(super) struct EndpointRecord {
    /// Its name in the list.
    pub uid: String,
    /// Where it takes calls, as listed last.
    pub address: Option<SocketAddr>,
    /// Its kind, by position in the settings; `usize::MAX` for one that is not there.
    pub kind: usize,
    /// The destination that it belongs to.
    pub destination: u64,
    /// The last list that named it did not say that it is gone.
    pub listed: bool,
    /// That list did not say either that it drains.
    pub serving: bool,
    /// Its zone, as listed last.
    pub zone: String,
    /// Its weight, as listed last.
    pub weight: f64,
    /// Since when nothing needs it any more, as far as that has been looked at.
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

/// All endpoints that the driver knows.
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

    /// The endpoint's name in the list.
    pub fn uid(&self, endpoint: EndpointId) -> Option<&str> {
        Some(&self.get(endpoint)?.uid)
    }

    pub fn id_of(&self, uid: &str) -> Option<EndpointId> {
        self.by_uid.get(uid).copied()
    }

    pub fn by_uid(&self, uid: &str) -> Option<&EndpointRecord> {
        self.records.get(self.by_uid.get(uid)?)
    }

    /// The number of the endpoint; one that is not known yet gets the next number.
    pub fn id_or_new(&mut self, uid: &str) -> EndpointId {
        if let Some(endpoint) = self.id_of(uid) {
            return endpoint;
        }
        let endpoint = EndpointId(self.next_number);
        self.next_number += 1;
        self.insert(endpoint, EndpointRecord::unlisted(uid));
        endpoint
    }

    /// Adds an endpoint under a number that it has already.
    pub fn insert(&mut self, endpoint: EndpointId, record: EndpointRecord) {
        self.by_uid.insert(record.uid.clone(), endpoint);
        self.records.insert(endpoint, record);
    }

    /// The number that the next new endpoint gets.
    pub fn next_number(&self) -> u32 {
        self.next_number
    }

    pub fn set_next_number(&mut self, next_number: u32) {
        self.next_number = next_number;
    }

    /// Where an endpoint takes calls.
    pub fn address_of(&self, endpoint: EndpointId) -> Option<EndpointAddress> {
        let address = self.get(endpoint)?.address?;
        Some(EndpointAddress { address, endpoint })
    }

    pub fn is_any_listed(&self) -> bool {
        self.records.values().any(|record| record.listed)
    }

    /// Takes all endpoints as unlisted, before a list that names each one anew.
    pub fn unlist_all(&mut self) {
        for record in self.records.values_mut() {
            record.listed = false;
            record.serving = false;
        }
    }

    pub fn are_all_listed(&self) -> bool {
        self.records.values().all(|record| record.listed)
    }

    /// Forgets endpoints that nothing has needed for [`FORGET_AFTER`].
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
