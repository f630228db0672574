//! Changes to a site file that keep all else of it as it stands.

use super::tables::{for_each_table, scale};
use super::values::{Effect, Setting, Tables};
use super::{classes, tenants_and_zones};
use toml_edit::{DocumentMut, Item};

/// One change to a site file.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Edit {
    /// Sets a key in each of the tables.
    Set(Tables, &'static str, Setting),
    /// Multiplies what stands there, each bound of a range and each element of a list.
    Scale(Tables, &'static str, f64),
    /// Sets each class's deadline, ms; its latency objective keeps its share of it.
    Deadline(i64),
    /// Sets each class's latency objective to this share of its deadline.
    LatencyObjective(f64),
    /// Sets each class's time of a call to this share of its deadline, and somewhat more.
    CallTime(f64),
    /// Gives each class this effect.
    Effect(Effect),
    /// Has so many classes: the first ones, or the first repeated under further names, with equal shares.
    Classes(usize),
    /// Has so many tenants of equal shares, or none.
    Tenants(usize),
    /// Has a tenant with a hundredth of the share beside one with all else.
    SmallTenant,
    /// Has so many zones, with generated names.
    Zones(usize),
    /// Spreads the classes' priority weights evenly on a logarithmic scale from 1 to this.
    PriorityWeightSpread(f64),
}

impl Edit {
    /// Makes the change.
    pub fn apply(&self, site: &mut DocumentMut) -> anyhow::Result<()> {
        match *self {
            Edit::Set(tables, key, setting) => for_each_table(site, tables, |table| {
                table[key] = Item::Value(setting.into());
                Ok(())
            }),
            Edit::Scale(tables, key, factor) => {
                for_each_table(site, tables, |table| match table.get_mut(key) {
                    Some(Item::Value(value)) => scale(value, factor),
                    _ => Ok(()),
                })
            }
            Edit::Deadline(deadline_ms) => classes::set_deadline(site, deadline_ms),
            Edit::LatencyObjective(share) => classes::set_latency_objective(site, share),
            Edit::CallTime(share) => classes::set_call_time(site, share),
            Edit::Effect(effect) => classes::set_effect(site, effect),
            Edit::Classes(count) => classes::set_classes(site, count),
            Edit::PriorityWeightSpread(most) => classes::set_priority_weights(site, most),
            Edit::Tenants(count) => {
                tenants_and_zones::set_tenants(site, &vec![1.0 / count as f64; count])
            }
            Edit::SmallTenant => tenants_and_zones::set_tenants(site, &[0.99, 0.01]),
            Edit::Zones(count) => tenants_and_zones::set_zones(site, count),
        }
    }
}
