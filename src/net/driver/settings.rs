//! Change of settings while the process runs. Messages and endpoints refer to classes, kinds,
//! tenants and zones by position, so each name keeps its position.

use super::Driver;
use crate::net::events::SettingsUpdate;
use message_sender::Settings;
use message_sender::wire::Names;

/// Returns the position of a name, and adds it at the end if it is missing.
fn position_or_push(names: &mut Vec<String>, name: &str) -> usize {
    let position = names.iter().position(|existing| existing == name);
    position.unwrap_or_else(|| {
        names.push(name.to_string());
        names.len() - 1
    })
}

/// Replaces the item at a position, or adds it if the position is the end of the list.
fn replace_or_push<T>(items: &mut Vec<T>, position: usize, item: T) {
    match items.get_mut(position) {
        Some(existing) => *existing = item,
        None => items.push(item),
    }
}

/// Rearranges the new settings so that names of the old settings keep their positions and new names
/// follow at the end. Removed names remain, because messages and endpoints may still refer to them.
fn keep_positions(new: &mut Settings, old: Settings, known_names: &mut Names, new_names: Names) {
    let classes = std::mem::replace(&mut new.classes, old.classes);
    for class in classes {
        new.class_position(class);
    }
    for kind in std::mem::replace(&mut new.kinds, old.kinds) {
        let position = position_or_push(&mut known_names.kinds, &kind.name);
        replace_or_push(&mut new.kinds, position, kind);
    }
    for tenant in std::mem::replace(&mut new.tenants, old.tenants) {
        let position = position_or_push(&mut known_names.tenants, &tenant.name);
        replace_or_push(&mut new.tenants, position, tenant);
    }
    let fees = std::mem::replace(&mut new.zone_fees, old.zone_fees);
    for (index, name) in new_names.zones.iter().enumerate() {
        let position = position_or_push(&mut known_names.zones, name);
        if let Some(&fee) = fees.get(index) {
            let zones = new.zone_fees.len().max(position + 1);
            new.zone_fees.resize(zones, 0.0);
            new.zone_fees[position] = fee;
        }
    }
    let own_zone = new_names.zones.get(usize::from(new.zone));
    new.zone = own_zone.map_or(u16::MAX, |zone| {
        position_or_push(&mut known_names.zones, zone) as u16
    });
    known_names.classes = new.classes.iter().map(|class| class.name.clone()).collect();
    known_names.report_fields = new_names.report_fields;
    known_names.dial_timeout = new_names.dial_timeout;
}

impl Driver {
    /// Applies new settings; messages that are already accepted keep the terms of their class, and new
    /// ones get its new terms once these bind.
    pub(super) fn apply_settings(&mut self, update: SettingsUpdate) {
        let SettingsUpdate {
            mut settings,
            names,
            pool,
        } = update;
        let connections = self.calls.connections();
        connections.apply_settings(&pool, &settings, names.dial_timeout);
        self.calls.set_report_fields(names.report_fields.clone());
        self.change_class_terms(&settings);
        let old = self.settings.clone();
        keep_positions(&mut settings, old.clone(), &mut self.names, names);
        self.settings = settings;
        self.replace_named_classes();
        if self.settings != old {
            self.push_settings();
        }
    }
}
