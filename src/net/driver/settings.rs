//! New settings: what they name keeps the position that messages and endpoints know it by.

use super::Driver;
use crate::net::events::SettingsUpdate;
use crate::net::server::ClassEntry;
use message_sender::wire::Names;
use message_sender::{Class, Effect, Event, Settings};

/// The position of a name; one that is not there is added at the end.
fn position_or_push(names: &mut Vec<String>, name: &str) -> usize {
    let known = names.iter().position(|known| known == name);
    known.unwrap_or_else(|| {
        names.push(name.to_string());
        names.len() - 1
    })
}

/// Puts an item at a position, which is in the list or its end.
fn replace_or_push<T>(items: &mut Vec<T>, position: usize, item: T) {
    match items.get_mut(position) {
        Some(known) => *known = item,
        None => items.push(item),
    }
}

/// Gives what both settings name the position that it had, and what is new one at the end; returns the positions of the
/// new settings' classes. What is named no more stays for the messages and endpoints that still have it.
fn keep_positions(
    new: &mut Settings,
    old: Settings,
    known: &mut Names,
    names: Names,
) -> Vec<usize> {
    let classes = std::mem::replace(&mut new.classes, old.classes);
    let positions = classes
        .into_iter()
        .map(|class| new.class_position(class))
        .collect();
    for kind in std::mem::replace(&mut new.kinds, old.kinds) {
        let position = position_or_push(&mut known.kinds, &kind.name);
        replace_or_push(&mut new.kinds, position, kind);
    }
    for tenant in std::mem::replace(&mut new.tenants, old.tenants) {
        let position = position_or_push(&mut known.tenants, &tenant.name);
        replace_or_push(&mut new.tenants, position, tenant);
    }
    let fees = std::mem::replace(&mut new.zone_fees, old.zone_fees);
    for (index, name) in names.zones.iter().enumerate() {
        let position = position_or_push(&mut known.zones, name);
        if let Some(&fee) = fees.get(index) {
            let zones = new.zone_fees.len().max(position + 1);
            new.zone_fees.resize(zones, 0.0);
            new.zone_fees[position] = fee;
        }
    }
    let own_zone = names.zones.get(usize::from(new.zone));
    new.zone = own_zone.map_or(u16::MAX, |zone| {
        position_or_push(&mut known.zones, zone) as u16
    });
    known.classes = new.classes.iter().map(|class| class.name.clone()).collect();
    known.report_fields = names.report_fields;
    known.dial_timeout = names.dial_timeout;
    positions
}

impl Driver {
    /// Puts new settings in force for all that comes from now on.
    pub(super) fn apply_settings(&mut self, update: SettingsUpdate) {
        let SettingsUpdate {
            mut settings,
            names,
            pool,
        } = update;
        let connections = self.calls.connections();
        connections.apply_settings(&pool, &settings, names.dial_timeout);
        self.calls.set_report_fields(names.report_fields.clone());
        let old = self.settings.clone();
        let positions = keep_positions(&mut settings, old, &mut self.names, names);
        let class_entry = |index: usize| {
            let class: &Class = &settings.classes[index];
            ClassEntry {
                name: class.name.clone(),
                index,
                key_required: matches!(class.effect, Effect::IdempotencyKey { .. }),
            }
        };
        let classes = positions.into_iter().map(class_entry).collect();
        self.process.classes.replace(classes);
        if settings != *self.sender.settings() {
            let settings = Box::new(settings.clone());
            self.events.push(Event::SettingsChanged(settings));
        }
        self.settings = settings;
    }
}
