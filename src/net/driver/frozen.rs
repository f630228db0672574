//! What a freeze holds of the lists: such entries are not used, counted, shown, and admitted one after another after the thaw.
//! What a list takes away is always obeyed.

use super::{Driver, Route};
use crate::net::events::{FreezeChange, ListUpdate, ListedEndpoint};
use crate::net::freeze::settings::FreezeSettings;
use message_sender::{Micros, Status};
use quota_ledger::gate::{EndpointSnapshot, FreezeCheck, resource_change};
use serde_json::json;
use std::collections::BTreeMap;
use tokio::time::Instant;

/// The freeze, while it is on in the configuration.
pub(super) struct Frozen {
    gate: FreezeCheck,
    settings: FreezeSettings,
    /// Entries as they were listed last, by uid.
    held: BTreeMap<String, ListedEndpoint>,
    /// When the next one may be admitted.
    next: Micros,
    held_ever: u64,
    admitted: u64,
}

fn seen(listed: &ListedEndpoint) -> EndpointSnapshot {
    let ListedEndpoint {
        destination,
        zone,
        weight,
        status,
        ..
    } = listed;
    EndpointSnapshot {
        up: *status == Status::Serving,
        destination: *destination,
        zone: zone.clone(),
        weight: *weight,
    }
}

/// What is known of an endpoint that the last list had.
fn known(route: &Route) -> Option<EndpointSnapshot> {
    let Route {
        up,
        destination,
        zone,
        weight,
        listed,
        ..
    } = route;
    listed.then(|| EndpointSnapshot {
        up: *up,
        destination: *destination,
        zone: zone.clone(),
        weight: *weight,
    })
}

impl Driver {
    pub(super) fn freeze(&mut self, freezing: FreezeChange) {
        let now = self.now();
        match freezing {
            FreezeChange::Off => {
                let held = self
                    .frozen
                    .take()
                    .map(|frozen| frozen.held)
                    .unwrap_or_default();
                self.admit_all(held.into_values().collect());
            }
            FreezeChange::On(settings) => match &mut self.frozen {
                Some(frozen) => frozen.settings = settings,
                None => self.frozen = Some(Box::new(Frozen::new(now, settings))),
            },
            FreezeChange::Calendar {
                asked_at: asked,
                fresh_for: fresh,
                update: news,
            } => {
                if let Some(frozen) = &mut self.frozen {
                    frozen.gate.apply_update(asked, now, fresh, news);
                }
            }
        }
    }

    fn now(&self) -> u64 {
        u64::try_from(self.clock.at(Instant::now())).unwrap_or(0)
    }

    /// The list without what is held of it.
    pub(super) fn without_held(&mut self, mut update: ListUpdate) -> ListUpdate {
        let now = self.now();
        let Some(frozen) = &mut self.frozen else {
            return update;
        };
        if update.full {
            let names: std::collections::BTreeSet<&String> =
                update.targets.iter().map(|listed| &listed.uid).collect();
            frozen.held.retain(|uid, _| names.contains(uid));
        }
        // with no list at all it serves with what it gets
        if self.routes.values().all(|route| !route.listed) {
            return update;
        }
        let mut taken = Vec::with_capacity(update.targets.len());
        for mut listed in update.targets {
            frozen.held.remove(&listed.uid);
            let route = self
                .by_uid
                .get(&listed.uid)
                .and_then(|endpoint| self.routes.get(endpoint));
            let before = route.and_then(known);
            let matter = resource_change(before.as_ref(), &seen(&listed));
            let Some(Err(error)) = matter.map(|matter| frozen.gate.check_changes(now, &matter))
            else {
                taken.push(listed);
                continue;
            };
            if !frozen.held.contains_key(&listed.uid) {
                frozen.held_ever += 1;
                crate::net::log(format_args!("freeze: {} is held: {error}", listed.uid));
            }
            frozen.held.insert(listed.uid.clone(), listed.clone());
            match before {
                // nothing was taken away but what it was
                Some(before)
                    if before.destination == listed.destination && before.zone == listed.zone =>
                {
                    listed.weight = before.weight;
                    listed.status = if before.up {
                        Status::Serving
                    } else {
                        Status::Draining
                    };
                    taken.push(listed);
                }
                Some(before) => {
                    (listed.destination, listed.zone, listed.status) =
                        (before.destination, before.zone, Status::Gone);
                    taken.push(listed);
                }
                None => {}
            }
        }
        update.targets = taken;
        update
    }

    /// Admits what is held no more, one entry at a time; whether one was.
    pub(super) fn thaw(&mut self) -> bool {
        let now = self.now();
        let at = self.clock.at(Instant::now());
        let Some(frozen) = &mut self.frozen else {
            return false;
        };
        if frozen.held.is_empty() || at < frozen.next {
            return false;
        }
        let (routes, by_uid) = (&self.routes, &self.by_uid);
        let free = frozen.held.iter().find(|(uid, listed)| {
            let route = by_uid.get(*uid).and_then(|endpoint| routes.get(endpoint));
            let before = route.and_then(known);
            resource_change(before.as_ref(), &seen(listed))
                .is_none_or(|matter| frozen.gate.check_changes(now, &matter).is_ok())
        });
        let Some(uid) = free.map(|(uid, _)| uid.clone()) else {
            return false;
        };
        let Some(listed) = frozen.held.remove(&uid) else {
            return false;
        };
        // senders that thaw at one moment do not admit the same one at that moment
        let ramp =
            Micros::try_from(frozen.settings.ramp_ms).unwrap_or(0) * message_sender::MILLISECOND;
        frozen.next = at + ramp / 2 + self.ramp.turn(ramp);
        frozen.admitted += 1;
        crate::net::log(format_args!("freeze: {uid} is admitted"));
        self.admit_all(vec![listed]);
        true
    }

    fn admit_all(&mut self, targets: Vec<ListedEndpoint>) {
        if !targets.is_empty() {
            let update = ListUpdate {
                version: self.list_version,
                full: false,
                targets,
            };
            self.take_list(update, false);
        }
    }

    /// Whether entries of the list are held.
    pub(super) fn holds_entries(&self) -> bool {
        self.frozen
            .as_ref()
            .is_some_and(|frozen| !frozen.held.is_empty())
    }

    /// How the freeze stands here, as JSON; none while it is off.
    pub(super) fn freeze_report(&self) -> Option<String> {
        let (now, frozen) = (self.now(), self.frozen.as_ref()?);
        let held: Vec<&String> = frozen.held.keys().collect();
        let report = json!({ "calendar": frozen.gate.revision(), "on": frozen.gate.active_windows(now), "held": held,
            "held_ever": frozen.held_ever, "admitted": frozen.admitted });
        Some(report.to_string())
    }
}

impl Frozen {
    /// Of a sender that starts now.
    pub(super) fn new(now: u64, settings: FreezeSettings) -> Self {
        let gate = FreezeCheck::new(now, settings.unknown_ms * 1000);
        Frozen {
            gate,
            settings,
            held: BTreeMap::new(),
            next: 0,
            held_ever: 0,
            admitted: 0,
        }
    }
}

/// Turns of a ramp, which differ from sender to sender.
pub(super) struct Ramp(pub u64);

impl Ramp {
    /// A further time up to `ramp`.
    fn turn(&mut self, ramp: Micros) -> Micros {
        use rand_pcg::Pcg32;
        use rand_pcg::rand_core::{RngCore, SeedableRng};
        self.0 = self.0.wrapping_add(1);
        let part = f64::from(Pcg32::seed_from_u64(self.0).next_u32()) / f64::from(u32::MAX);
        (ramp as f64 * part) as Micros
    }
}
