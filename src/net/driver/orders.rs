//! What operators order, and new settings.

use super::Driver;
use crate::net;
use crate::net::events::AdminResult;
use crate::net::server::Named;
use message_sender::wire::Names;
use message_sender::{Class, Effect, Event, Settings};
use tokio::sync::oneshot;

/// Gives what both settings name the place that it had, and what is new one at the end; the places of the new
/// settings' classes. What is named no more stays for the messages and endpoints that still have it.
fn keep_places(new: &mut Settings, old: Settings, known: &mut Names, names: Names) -> Vec<usize> {
    let place = |list: &mut Vec<String>, name: &str| {
        list.iter()
            .position(|known| known == name)
            .unwrap_or_else(|| {
                list.push(name.to_string());
                list.len() - 1
            })
    };
    let classes = std::mem::replace(&mut new.classes, old.classes);
    let places = classes.into_iter().map(|class| new.place(class)).collect();
    for kind in std::mem::replace(&mut new.kinds, old.kinds) {
        match place(&mut known.kinds, &kind.name) {
            at if at < new.kinds.len() => new.kinds[at] = kind,
            _ => new.kinds.push(kind),
        }
    }
    for tenant in std::mem::replace(&mut new.tenants, old.tenants) {
        match place(&mut known.tenants, &tenant.name) {
            at if at < new.tenants.len() => new.tenants[at] = tenant,
            _ => new.tenants.push(tenant),
        }
    }
    let zone = names.zones.get(usize::from(new.zone)).cloned();
    let fees = std::mem::replace(&mut new.zone_fees, old.zone_fees);
    for (at, name) in names.zones.iter().enumerate() {
        let to = place(&mut known.zones, name);
        if let Some(&fee) = fees.get(at) {
            new.zone_fees.resize(new.zone_fees.len().max(to + 1), 0.0);
            new.zone_fees[to] = fee;
        }
    }
    new.zone = zone.map_or(u16::MAX, |zone| place(&mut known.zones, &zone) as u16);
    known.classes = new.classes.iter().map(|class| class.name.clone()).collect();
    (known.report_fields, known.dial_timeout) = (names.report_fields, names.dial_timeout);
    places
}

impl Driver {
    pub(super) fn obey(&mut self, uid: String, out: bool, reply: oneshot::Sender<AdminResult>) {
        let was_out = self.journal.is_out(&uid);
        let listed = self
            .by_uid
            .get(&uid)
            .and_then(|endpoint| self.routes.get(endpoint));
        let verdict = if !was_out && !listed.is_some_and(|route| route.listed) {
            AdminResult::UnknownEndpoint
        } else if was_out == out {
            AdminResult::Done
        } else {
            let written = self.journal.set_out(&uid, out);
            if self.check(written).is_some() {
                let endpoint = self.endpoint_of(&uid);
                self.admit(endpoint);
                self.events.push(if out {
                    Event::Disabled(endpoint)
                } else {
                    Event::Enabled(endpoint)
                });
                AdminResult::Done
            } else {
                AdminResult::NotWritten
            }
        };
        let order = if out { "out" } else { "back" };
        net::log(format_args!("control: endpoint {uid} {order}: {verdict:?}"));
        // an operator that has gone sees the log
        let _ = reply.send(verdict);
    }

    /// Puts new settings in force for all that comes from now on.
    pub(super) fn retune(&mut self, mut settings: Settings, names: Names) {
        self.calls
            .connections()
            .apply_settings(&self.pool, &settings, names.dial_timeout);
        self.calls.retune(names.report_fields.clone());
        let before = (self.settings.clone(), self.names.clone());
        let places = keep_places(&mut settings, before.0, &mut self.names, names);
        let named = |index: usize| {
            let class: &Class = &settings.classes[index];
            Named {
                name: class.name.clone(),
                index,
                keyed: matches!(class.effect, Effect::Keyed { .. }),
            }
        };
        self.shared
            .classes
            .replace(places.into_iter().map(named).collect());
        if settings != *self.sender.settings() {
            self.events.push(Event::Retuned(Box::new(settings.clone())));
        }
        self.settings = settings;
    }
}
