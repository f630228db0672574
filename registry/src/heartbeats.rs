//! Which endpoints with a time to live have expired, by the leader's clock. A new leader gives each a whole time to live.
//! Where a large share expires at once the fault is likelier here, and the endpoints are retained.

use crate::endpoint::Endpoint;
use crate::state::{Endpoints, ExpiredEndpoint};
use std::collections::BTreeMap;
use versioned_config::Micros;

/// Retained endpoints count together with those that expire within this time after them.
const SIMULTANEOUS: Micros = 2_000_000;
/// An endpoint with at most this part of its time to live left has missed heartbeats: they come three times in it or oftener.
const MISSED_PART: Micros = 4;
/// More than this share of the endpoints with a time to live is a large one.
const LARGE_SHARE: f64 = 0.25;
/// As many endpoints are no large share, however few there are.
const FEW: usize = 3;

/// What the leader knows of heartbeats.
#[derive(Debug, Default)]
pub struct Heartbeats {
    /// When each endpoint expires.
    deadlines: BTreeMap<String, Micros>,
    /// Endpoints that expired and are retained, and since when.
    retained: BTreeMap<String, Micros>,
}

/// The endpoints that expire now.
#[derive(Debug, Default, PartialEq)]
pub struct Expiry {
    /// These are to be removed.
    pub expired: Vec<ExpiredEndpoint>,
    /// So many more have expired and are retained.
    pub newly_retained: usize,
}

fn time_to_live(endpoint: &Endpoint) -> Option<Micros> {
    endpoint.ttl_ms.map(|ttl_ms| ttl_ms * 1000)
}

impl Heartbeats {
    /// Records a heartbeat, or a put of the endpoint.
    pub fn record(&mut self, now: Micros, uid: &str, endpoint: &Endpoint) {
        self.retained.remove(uid);
        match time_to_live(endpoint) {
            Some(ttl) => self.deadlines.insert(uid.to_string(), now + ttl),
            None => self.deadlines.remove(uid),
        };
    }

    /// The names of the endpoints that are retained though they have expired.
    pub fn retained(&self) -> impl Iterator<Item = &String> {
        self.retained.keys()
    }

    /// The endpoints that expire now, unless so many do that they are retained.
    pub fn expire(&mut self, now: Micros, endpoints: &Endpoints) -> Expiry {
        self.follow_list(now, endpoints);
        if self.deadlines.values().all(|deadline| *deadline > now) {
            return Expiry::default();
        }
        let large_share = self.is_large_share(now, endpoints);
        let expired: Vec<String> = self
            .deadlines
            .extract_if(.., |_, deadline| *deadline <= now)
            .map(|(uid, _)| uid)
            .collect();
        if large_share {
            let newly_retained = expired.len();
            self.retained
                .extend(expired.into_iter().map(|uid| (uid, now)));
            return Expiry {
                expired: Vec::new(),
                newly_retained,
            };
        }
        let expired = expired.into_iter().filter_map(|uid| {
            let endpoint = endpoints.get(&uid)?.clone();
            Some(ExpiredEndpoint { uid, endpoint })
        });
        Expiry {
            expired: expired.collect(),
            newly_retained: 0,
        }
    }

    /// Forgets endpoints that are gone or have no time to live any more, and begins with those that are new.
    fn follow_list(&mut self, now: Micros, endpoints: &Endpoints) {
        let expires = |uid: &String| {
            endpoints
                .get(uid)
                .is_some_and(|endpoint| endpoint.ttl_ms.is_some())
        };
        self.deadlines.retain(|uid, _| expires(uid));
        self.retained.retain(|uid, _| expires(uid));
        for (uid, endpoint) in endpoints {
            if let Some(ttl) = time_to_live(endpoint)
                && !self.retained.contains_key(uid)
            {
                self.deadlines.entry(uid.clone()).or_insert(now + ttl);
            }
        }
    }

    /// Whether a large share has expired or missed heartbeats: a registry that was cut off sees them expire one after
    /// another.
    fn is_large_share(&self, now: Micros, endpoints: &Endpoints) -> bool {
        let has_missed = |(uid, deadline): &(&String, &Micros)| {
            let ttl = endpoints
                .get(*uid)
                .and_then(time_to_live)
                .unwrap_or_default();
            **deadline <= now + ttl / MISSED_PART
        };
        let missed = self.deadlines.iter().filter(has_missed).count();
        let lately_retained = self
            .retained
            .values()
            .filter(|since| **since + SIMULTANEOUS > now)
            .count();
        let silent = missed + lately_retained;
        let all = self.deadlines.len() + self.retained.len();
        silent > FEW && silent as f64 > LARGE_SHARE * all as f64
    }
}

#[cfg(test)]
mod tests;
