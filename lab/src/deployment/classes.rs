//! Changes to the classes of a site: number, times, priority weights, effect.

use super::tables::{array_of_tables, for_each_table, number};
use super::values::{Effect, Setting, Tables};
use anyhow::Context;
use toml_edit::{ArrayOfTables, DocumentMut, Item, Table};

/// What the bench requires of a site that has a class in order: the pause between two messages of a key, the gaps at
/// which a key's messages arrive, and how long a key is in use. A key so has several messages while it is in use.
const ORDER_SETTLE_MS: i64 = 300;
const KEY_GAP_S: Setting = Setting::Range(0.66, 1.8);
const KEY_LIFE_S: Setting = Setting::Range(6.6, 14.0);

/// Greatest mean time of a call over the least, as the bench's own sites have it.
const CALL_TIME_SPREAD: f64 = 1.75;

/// Sets each class's deadline, ms; its latency objective keeps its share of it.
pub fn set_deadline(site: &mut DocumentMut, deadline_ms: i64) -> anyhow::Result<()> {
    for_each_table(site, Tables::Array("class"), |class| {
        let share = number(class, "aim_ms")? / number(class, "deadline_ms")?;
        class["deadline_ms"] = toml_edit::value(deadline_ms);
        put_latency_objective(class, share)
    })
}

/// Sets each class's latency objective to a share of its deadline.
pub fn set_latency_objective(site: &mut DocumentMut, share: f64) -> anyhow::Result<()> {
    for_each_table(site, Tables::Array("class"), |class| {
        put_latency_objective(class, share)
    })
}

fn put_latency_objective(class: &mut Table, share: f64) -> anyhow::Result<()> {
    let objective_ms = (number(class, "deadline_ms")? * share).round() as i64;
    class["aim_ms"] = toml_edit::value(objective_ms);
    Ok(())
}

/// Sets each class's time of a call to a share of its deadline, and up to [`CALL_TIME_SPREAD`] times that.
pub fn set_call_time(site: &mut DocumentMut, share: f64) -> anyhow::Result<()> {
    for_each_table(site, Tables::Array("class"), |class| {
        let min = (number(class, "deadline_ms")? * share).round();
        let range = Setting::Range(min, (min * CALL_TIME_SPREAD).round());
        class["work_ms"] = Item::Value(range.into());
        Ok(())
    })
}

/// Gives each class one effect.
pub fn set_effect(site: &mut DocumentMut, effect: Effect) -> anyhow::Result<()> {
    for_each_table(site, Tables::Array("class"), |class| {
        for key in ["group", "window_ms", "in_order"] {
            class.remove(key);
        }
        let name = match effect {
            Effect::Idempotent => "safe",
            Effect::IdempotencyKey => "keyed",
            Effect::NonIdempotent | Effect::InOrder => "unsafe",
        };
        class["effect"] = toml_edit::value(name);
        if effect == Effect::IdempotencyKey {
            class["group"] = toml_edit::value("all");
            class["window_ms"] = toml_edit::value(number(class, "deadline_ms")? as i64);
        }
        if effect == Effect::InOrder {
            class["in_order"] = toml_edit::value(true);
        }
        Ok(())
    })?;
    set_order(site, effect == Effect::InOrder)
}

/// The settings of keys, which the bench wants where a class is in order and nowhere else.
fn set_order(site: &mut DocumentMut, in_order: bool) -> anyhow::Result<()> {
    for_each_table(site, Tables::Single("rules"), |rules| {
        rules.remove("order_settle_ms");
        if in_order {
            rules["order_settle_ms"] = toml_edit::value(ORDER_SETTLE_MS);
        }
        Ok(())
    })?;
    for_each_table(site, Tables::Single("fam"), |fam| {
        for (key, range) in [("key_gap_s", KEY_GAP_S), ("key_life_s", KEY_LIFE_S)] {
            fam.remove(key);
            if in_order {
                fam[key] = Item::Value(range.into());
            }
        }
        Ok(())
    })
}

/// Has so many classes of equal shares: the first ones, or all and repeats of them under further names.
pub fn set_classes(site: &mut DocumentMut, count: usize) -> anyhow::Result<()> {
    let classes = array_of_tables(site, "class")?;
    resize_classes(classes, count)?;
    for class in classes.iter_mut() {
        class["share"] = toml_edit::value(1.0 / count as f64);
    }
    repeat_first_kinds(site, count)?;
    let is_in_order = |class: &Table| class.get("in_order").is_some();
    if !array_of_tables(site, "class")?.iter().any(is_in_order) {
        set_order(site, false)?;
    }
    Ok(())
}

fn resize_classes(classes: &mut ArrayOfTables, count: usize) -> anyhow::Result<()> {
    let known = classes.len();
    for number in known..count {
        let original = classes.get(number % known);
        let mut copy = original.context("the base has no class")?.clone();
        let name = copy["name"].as_str().context("a class has no name")?;
        copy["name"] = toml_edit::value(format!("{name}-{number}"));
        classes.push(copy);
    }
    while classes.len() > count {
        classes.remove(count);
    }
    Ok(())
}

/// Gives each of `count` classes the kinds of destinations that the first class has.
fn repeat_first_kinds(site: &mut DocumentMut, count: usize) -> anyhow::Result<()> {
    let kinds = site["fam"]["class"]
        .as_array_of_tables_mut()
        .context("the base has no [[fam.class]]")?;
    let first = kinds
        .get(0)
        .context("the base has no [[fam.class]]")?
        .clone();
    kinds.clear();
    (0..count).for_each(|_| kinds.push(first.clone()));
    Ok(())
}

/// Spreads priority weights over the classes, on a logarithmic scale from 1 to `max`.
pub fn set_priority_weights(site: &mut DocumentMut, max: f64) -> anyhow::Result<()> {
    let classes = array_of_tables(site, "class")?;
    let last = classes.len().saturating_sub(1).max(1) as f64;
    for (number, class) in classes.iter_mut().enumerate() {
        let weight = max.powf(number as f64 / last);
        class["worth"] = toml_edit::value((weight * 10.0).round() / 10.0);
    }
    Ok(())
}
