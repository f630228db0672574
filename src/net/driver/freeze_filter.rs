//! Filter of the endpoint list during a freeze. Entries that a freeze forbids are held back,
//! counted and reported, and admitted one after another once the freeze allows them. Removals from
//! the list always apply.

use super::Driver;
use super::endpoints::EndpointRecord;
use crate::net;
use crate::net::events::{FreezeChange, ListUpdate, ListedEndpoint};
use crate::net::freeze::settings::FreezeSettings;
use crate::net::sorted_json::to_sorted_json;
use message_sender::{EndpointStatus, MILLISECOND, Micros};
use quota_ledger::freeze::{ActiveWindow, EndpointSnapshot, FreezeCheck, resource_change};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use tokio::time::Instant;

/// State of the freeze, while the configuration has it switched on.
pub(super) struct FreezeFilter {
    check: FreezeCheck,
    settings: FreezeSettings,
    /// Latest versions of the entries that are held back, by uid.
    held_back: BTreeMap<String, ListedEndpoint>,
    /// Time in microseconds from which the next held-back entry may be admitted.
    next_admission: Micros,
    /// Number of times that an entry was held back.
    held_back_count: u64,
    /// Number of held-back entries that were admitted later.
    admitted_count: u64,
}

/// Response to `GET /freeze` on the control address.
#[derive(Debug, Serialize)]
struct FreezeReport<'a> {
    /// Revision of the freeze calendar; `None` while the calendar is not known.
    #[serde(rename = "calendar")]
    revision: Option<u64>,
    /// Freeze windows that are active, by name.
    #[serde(rename = "on")]
    active_windows: BTreeMap<String, ActiveWindow>,
    /// Uids of the entries that are held back.
    #[serde(rename = "held")]
    held_back: Vec<&'a str>,
    /// Number of times that an entry was held back.
    #[serde(rename = "held_ever")]
    held_back_count: u64,
    /// Number of held-back entries that were admitted later.
    #[serde(rename = "admitted")]
    admitted_count: u64,
}

/// Returns the values of a list entry that [`resource_change`] compares with the endpoint's current
/// state.
fn listed_snapshot(listed: &ListedEndpoint) -> EndpointSnapshot {
    EndpointSnapshot {
        up: listed.status == EndpointStatus::Serving,
        destination: listed.destination,
        zone: listed.zone.clone(),
        weight: listed.weight,
    }
}

/// Returns the current state of an endpoint; `None` if it is not listed.
fn current_snapshot(record: &EndpointRecord) -> Option<EndpointSnapshot> {
    record.listed.then(|| EndpointSnapshot {
        up: record.serving,
        destination: record.destination,
        zone: record.zone.clone(),
        weight: record.weight,
    })
}

impl FreezeFilter {
    fn new(now: u64, settings: FreezeSettings) -> Self {
        FreezeFilter {
            check: FreezeCheck::new(now, settings.unknown_ms * 1000),
            settings,
            held_back: BTreeMap::new(),
            next_admission: 0,
            held_back_count: 0,
            admitted_count: 0,
        }
    }

    /// Forgets held-back entries that a new full list no longer contains.
    fn retain_listed(&mut self, listed: &[ListedEndpoint]) {
        let names: BTreeSet<&str> = listed.iter().map(|entry| entry.uid.as_str()).collect();
        self.held_back.retain(|uid, _| names.contains(uid.as_str()));
    }

    /// Returns the entry with only the changes that are allowed now; `None` if nothing of it may be
    /// used. `current` is the endpoint's current state, or `None` if the endpoint is not listed.
    fn filter(
        &mut self,
        now: u64,
        mut entry: ListedEndpoint,
        current: Option<EndpointSnapshot>,
    ) -> Option<ListedEndpoint> {
        self.held_back.remove(&entry.uid);
        let resource = resource_change(current.as_ref(), &listed_snapshot(&entry));
        let check_result = resource.map(|resource| self.check.check_changes(now, &resource));
        let Some(Err(error)) = check_result else {
            return Some(entry);
        };
        self.held_back_count += 1;
        net::log(format_args!("freeze: {} is held: {error}", entry.uid));
        self.held_back.insert(entry.uid.clone(), entry.clone());
        let current = current?;
        if current.destination == entry.destination && current.zone == entry.zone {
            // the endpoint keeps its current weight and status until the change is allowed
            entry.weight = current.weight;
            entry.status = if current.up {
                EndpointStatus::Serving
            } else {
                EndpointStatus::Draining
            };
        } else {
            // an endpoint whose move is held back is removed from its current destination
            entry.destination = current.destination;
            entry.zone = current.zone;
            entry.status = EndpointStatus::Removed;
        }
        Some(entry)
    }
}

impl FreezeFilter {
    fn report(&self, now: u64) -> FreezeReport<'_> {
        FreezeReport {
            revision: self.check.revision(),
            active_windows: self.check.active_windows(now),
            held_back: self.held_back.keys().map(String::as_str).collect(),
            held_back_count: self.held_back_count,
            admitted_count: self.admitted_count,
        }
    }
}

impl Driver {
    /// Applies a change of the freeze calendar or of its settings.
    pub(super) fn change_freeze(&mut self, change: FreezeChange) {
        let now = self.freeze_time();
        match change {
            FreezeChange::Off => {
                let filter = self.freeze.take();
                let held_back = filter.map(|filter| filter.held_back).unwrap_or_default();
                self.admit_entries(held_back.into_values().collect());
            }
            FreezeChange::On(settings) => match &mut self.freeze {
                Some(filter) => filter.settings = settings,
                None => self.freeze = Some(Box::new(FreezeFilter::new(now, settings))),
            },
            FreezeChange::Calendar {
                polled_at,
                override_valid_for,
                update,
            } => {
                if let Some(filter) = &mut self.freeze {
                    filter
                        .check
                        .apply_update(polled_at, now, override_valid_for, update);
                }
            }
        }
    }

    /// Returns the current time in microseconds, unsigned as the freeze calendar needs it.
    fn freeze_time(&self) -> u64 {
        u64::try_from(self.clock.at(Instant::now())).unwrap_or(0)
    }

    /// Removes from a list update the changes that the freeze forbids, and keeps them for later
    /// admission.
    pub(super) fn hold_back_frozen(&mut self, mut update: ListUpdate) -> ListUpdate {
        let now = self.freeze_time();
        let Some(filter) = &mut self.freeze else {
            return update;
        };
        if update.full {
            filter.retain_listed(&update.entries);
        }
        // without any listed endpoint the sender could not serve, so the update applies in full
        if !self.endpoints.is_any_listed() {
            return update;
        }
        let endpoints = &self.endpoints;
        let usable = update.entries.into_iter().filter_map(|entry| {
            let current = endpoints.by_uid(&entry.uid).and_then(current_snapshot);
            filter.filter(now, entry, current)
        });
        update.entries = usable.collect();
        update
    }

    /// Admits one entry that the freeze no longer forbids, if the time for the next admission has
    /// come. Returns true if an entry was admitted.
    pub(super) fn admit_unfrozen(&mut self) -> bool {
        let freeze_now = self.freeze_time();
        let now = self.clock.at(Instant::now());
        let Some(filter) = &mut self.freeze else {
            return false;
        };
        if filter.held_back.is_empty() || now < filter.next_admission {
            return false;
        }
        let endpoints = &self.endpoints;
        let released = filter.held_back.iter().find(|(uid, entry)| {
            let current = endpoints.by_uid(uid).and_then(current_snapshot);
            resource_change(current.as_ref(), &listed_snapshot(entry))
                .is_none_or(|resource| filter.check.check_changes(freeze_now, &resource).is_ok())
        });
        let Some(uid) = released.map(|(uid, _)| uid.clone()) else {
            return false;
        };
        let Some(entry) = filter.held_back.remove(&uid) else {
            return false;
        };
        // The next admission follows after a random delay from `interval / 2` to `interval * 3 / 2`.
        // Without it, senders whose freeze ends at the same time would admit each further entry
        // together.
        let interval = Micros::try_from(filter.settings.ramp_ms).unwrap_or(0) * MILLISECOND;
        filter.next_admission = now + interval / 2 + self.admission_jitter.next_delay(interval);
        filter.admitted_count += 1;
        net::log(format_args!("freeze: {uid} is admitted"));
        self.admit_entries(vec![entry]);
        true
    }

    fn admit_entries(&mut self, entries: Vec<ListedEndpoint>) {
        if !entries.is_empty() {
            self.apply_list(ListUpdate {
                version: self.list.version,
                full: false,
                entries,
            });
        }
    }

    /// Returns true if the freeze holds back entries of the list.
    pub(super) fn has_held_back_entries(&self) -> bool {
        let filter = self.freeze.as_ref();
        filter.is_some_and(|filter| !filter.held_back.is_empty())
    }

    /// Returns the report for operators as JSON; `None` while the freeze is off.
    pub(super) fn freeze_report(&self) -> Option<String> {
        let filter = self.freeze.as_ref()?;
        Some(to_sorted_json(&filter.report(self.freeze_time())))
    }
}

/// Generator of the random part of the delay between two admissions of held-back list entries. The
/// seed is the one from the sender's configuration. Senders with different seeds get different
/// delays, so they do not all admit the same entry at the same time.
pub(super) struct AdmissionJitter(u64);

impl AdmissionJitter {
    pub fn new(seed: u64) -> Self {
        AdmissionJitter(seed)
    }

    /// Returns the random part of the delay until the next admission, in microseconds from 0 to
    /// `interval`. The whole delay is `interval / 2` plus this part.
    fn next_delay(&mut self, interval: Micros) -> Micros {
        self.0 = self.0.wrapping_add(1);
        let draw = Pcg32::seed_from_u64(self.0).next_u32();
        let fraction = f64::from(draw) / f64::from(u32::MAX);
        (interval as f64 * fraction) as Micros
    }
}

#[cfg(test)]
mod tests;
