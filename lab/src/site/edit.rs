//! Changes to a site file that keep all else of it as it stands.

use super::tables::{each, scale};
use super::{classes, parties};
use toml_edit::{Array, DocumentMut, Item, Value};

/// Which tables a change is made in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// A table that occurs once, such as `[allow]`.
    One(&'static str),
    /// Every table of an array at the top, such as `[[class]]`.
    Each(&'static str),
    /// Every table of an array within a table, such as `[[fam.kind]]`.
    EachIn(&'static str, &'static str),
}

/// What a key is set to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Setting {
    /// A whole number.
    Whole(i64),
    /// A number.
    Number(f64),
    /// A range from which the bench draws.
    Range(f64, f64),
    /// A word.
    Text(&'static str),
    /// A switch.
    Flag(bool),
}

/// What may follow the delivery of a message twice, and whether its messages go in turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Repeating does nothing.
    Safe,
    /// Repeats within the window are recognised by the message's key.
    Keyed,
    /// Must not run twice.
    Unsafe,
    /// Must not run twice, and the messages of a key go in turn.
    InOrder,
}

/// One change to a site file.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Edit {
    /// Sets a key wherever the place is.
    Set(Place, &'static str, Setting),
    /// Multiplies what stands there, each bound of a range and each element of a list.
    Scale(Place, &'static str, f64),
    /// Sets each class's deadline, ms; its aim keeps its share of it.
    Deadline(i64),
    /// Sets each class's aim to this share of its deadline.
    Aim(f64),
    /// Sets each class's work to this share of its deadline, and somewhat more.
    Work(f64),
    /// Gives each class this effect.
    Effect(Effect),
    /// Has so many classes: the first ones, or the first repeated under further names, with equal shares.
    Classes(usize),
    /// Has so many tenants of equal shares, or none.
    Tenants(usize),
    /// Has a tenant with a hundredth of the share beside one with all else.
    SmallTenant,
    /// Has so many zones of made-up names.
    Zones(usize),
    /// Spreads the classes' worth evenly on a logarithmic scale from 1 to this.
    WorthSpread(f64),
}

impl Edit {
    /// Makes the change.
    pub fn apply(&self, site: &mut DocumentMut) -> anyhow::Result<()> {
        match *self {
            Edit::Set(place, key, setting) => each(site, place, |table| {
                table[key] = Item::Value(setting.into());
                Ok(())
            }),
            Edit::Scale(place, key, factor) => {
                each(site, place, |table| match table.get_mut(key) {
                    Some(Item::Value(value)) => scale(value, factor),
                    _ => Ok(()),
                })
            }
            Edit::Deadline(deadline_ms) => classes::set_deadline(site, deadline_ms),
            Edit::Aim(share) => classes::set_aim(site, share),
            Edit::Work(share) => classes::set_work(site, share),
            Edit::Effect(effect) => classes::set_effect(site, effect),
            Edit::Classes(count) => classes::set_classes(site, count),
            Edit::WorthSpread(most) => classes::set_worth(site, most),
            Edit::Tenants(count) => parties::set_tenants(site, &vec![1.0 / count as f64; count]),
            Edit::SmallTenant => parties::set_tenants(site, &[0.99, 0.01]),
            Edit::Zones(count) => parties::set_zones(site, count),
        }
    }
}

impl From<Setting> for Value {
    fn from(setting: Setting) -> Value {
        match setting {
            Setting::Whole(whole) => whole.into(),
            Setting::Number(number) => number.into(),
            Setting::Range(least, most) => [least, most].into_iter().collect::<Array>().into(),
            Setting::Text(text) => text.into(),
            Setting::Flag(flag) => flag.into(),
        }
    }
}
