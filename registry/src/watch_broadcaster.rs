//! The endpoint list and its last changes as lines for watchers: each change is encoded once for all watchers, the whole list
//! once a version. A watcher has a version and no queue of its own, so one that does not read costs nothing.

use crate::endpoint::Endpoint;
use crate::state::EndpointChange;
use bytes::Bytes;
use std::collections::{BTreeMap, VecDeque};

/// Bytes of changes that are stored; a watcher from before them gets the whole list.
const MAX_HISTORY_BYTES: usize = 1 << 20;

/// An endpoint as the protocol writes it.
#[derive(Debug)]
struct EncodedEndpoint {
    uid: String,
    json: String,
}

/// The changes of one version.
#[derive(Debug)]
struct VersionChanges {
    rev: u64,
    endpoints: Vec<EncodedEndpoint>,
    /// All of them as one line.
    line: Bytes,
}

/// What a watcher lacks.
#[derive(Debug, Clone, PartialEq)]
pub struct WatchUpdate {
    /// The version that the watcher knows after the line.
    pub rev: u64,
    /// The line to send.
    pub line: Bytes,
}

/// The endpoint list and its last changes, encoded.
#[derive(Debug, Default)]
pub struct WatchBroadcaster {
    rev: u64,
    /// The list's endpoints as JSON, by name.
    endpoints: BTreeMap<String, String>,
    history: VecDeque<VersionChanges>,
    /// Bytes of the lines in the history.
    history_bytes: usize,
    /// The whole list, once it has been asked for in this version.
    full_list: Option<Bytes>,
}

fn encode_line<'a>(rev: u64, all: bool, endpoints: impl Iterator<Item = &'a String>) -> Bytes {
    let endpoints = endpoints.map(String::as_str).collect::<Vec<_>>().join(",");
    format!("{{\"rev\":{rev},\"all\":{all},\"targets\":[{endpoints}]}}\n").into()
}

impl WatchBroadcaster {
    /// Starts again from a list, without a history.
    pub fn reset(&mut self, rev: u64, endpoints: &BTreeMap<String, Endpoint>) {
        let encode =
            |(uid, endpoint): (&String, &Endpoint)| (uid.clone(), endpoint.to_json(uid, false));
        let endpoints = endpoints.iter().map(encode).collect();
        *self = WatchBroadcaster {
            rev,
            endpoints,
            ..WatchBroadcaster::default()
        };
    }

    /// Adds a version with its changes.
    pub fn push(&mut self, rev: u64, changes: &[EndpointChange]) {
        let mut encoded = Vec::with_capacity(changes.len());
        for change in changes {
            let json = change.endpoint.to_json(&change.uid, change.removed);
            if change.removed {
                self.endpoints.remove(&change.uid);
            } else {
                self.endpoints.insert(change.uid.clone(), json.clone());
            }
            encoded.push(EncodedEndpoint {
                uid: change.uid.clone(),
                json,
            });
        }
        let line = encode_line(rev, false, encoded.iter().map(|endpoint| &endpoint.json));
        self.rev = rev;
        self.full_list = None;
        self.history_bytes += line.len();
        self.history.push_back(VersionChanges {
            rev,
            endpoints: encoded,
            line,
        });
        self.trim_history();
    }

    fn trim_history(&mut self) {
        while self.history_bytes > MAX_HISTORY_BYTES
            && let Some(oldest) = self.history.pop_front()
        {
            self.history_bytes -= oldest.line.len();
        }
    }

    /// The list's version.
    pub fn rev(&self) -> u64 {
        self.rev
    }

    /// The whole list, as a line.
    pub fn full_list(&mut self) -> Bytes {
        let endpoints = &self.endpoints;
        let line = self
            .full_list
            .get_or_insert_with(|| encode_line(self.rev, true, endpoints.values()));
        line.clone()
    }

    /// What a watcher lacks that knows version `from`: the changes since, or the whole list where these are not known, `from`
    /// is ahead, or it is 0. Nothing, if the watcher lacks nothing.
    pub fn changes_since(&mut self, from: u64) -> Option<WatchUpdate> {
        if from == self.rev {
            return None;
        }
        let oldest = self.history.front().map_or(u64::MAX, |changes| changes.rev);
        if from == 0 || from > self.rev || oldest > from + 1 {
            return Some(WatchUpdate {
                rev: self.rev,
                line: self.full_list(),
            });
        }
        let missed = self.history.range((from + 1 - oldest) as usize..);
        let line = if missed.len() == 1 {
            missed.last()?.line.clone()
        } else {
            // each endpoint as it was last
            let endpoints: BTreeMap<&String, &String> = missed
                .flat_map(|changes| &changes.endpoints)
                .map(|endpoint| (&endpoint.uid, &endpoint.json))
                .collect();
            encode_line(self.rev, false, endpoints.into_values())
        };
        Some(WatchUpdate {
            rev: self.rev,
            line,
        })
    }
}

#[cfg(test)]
mod tests;
