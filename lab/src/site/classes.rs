//! Changes to the classes of a site: number, times, worth, effect.

use super::edit::{Effect, Place, Setting};
use super::tables::{array, each, number};
use anyhow::Context;
use toml_edit::{DocumentMut, Item, Table};

/// What the bench asks of a site with a class in order: the rest between two of a key, the pace of a key and its
/// life. The figures are such that a key has several messages within its life.
const ORDER_SETTLE_MS: i64 = 300;
const KEY_GAP_S: Setting = Setting::Range(0.66, 1.8);
const KEY_LIFE_S: Setting = Setting::Range(6.6, 14.0);

/// Greatest mean of the work over the least, as the bench's own sites have it.
const WORK_SPREAD: f64 = 1.75;

/// Sets each class's deadline; its aim keeps its share of it.
pub fn set_deadline(site: &mut DocumentMut, deadline_ms: i64) -> anyhow::Result<()> {
    each(site, Place::Each("class"), |class| {
        let share = number(class, "aim_ms")? / number(class, "deadline_ms")?;
        class["deadline_ms"] = toml_edit::value(deadline_ms);
        put_aim(class, share)
    })
}

/// Sets each class's aim to a share of its deadline.
pub fn set_aim(site: &mut DocumentMut, share: f64) -> anyhow::Result<()> {
    each(site, Place::Each("class"), |class| put_aim(class, share))
}

fn put_aim(class: &mut Table, share: f64) -> anyhow::Result<()> {
    let aim_ms = (number(class, "deadline_ms")? * share).round() as i64;
    class["aim_ms"] = toml_edit::value(aim_ms);
    Ok(())
}

/// Sets each class's work to a share of its deadline, and up to [`WORK_SPREAD`] times that.
pub fn set_work(site: &mut DocumentMut, share: f64) -> anyhow::Result<()> {
    each(site, Place::Each("class"), |class| {
        let least = (number(class, "deadline_ms")? * share).round();
        let work = Setting::Range(least, (least * WORK_SPREAD).round());
        class["work_ms"] = Item::Value(work.into());
        Ok(())
    })
}

/// Gives each class one effect.
pub fn set_effect(site: &mut DocumentMut, effect: Effect) -> anyhow::Result<()> {
    each(site, Place::Each("class"), |class| {
        for key in ["group", "window_ms", "in_order"] {
            class.remove(key);
        }
        let name = match effect {
            Effect::Safe => "safe",
            Effect::Keyed => "keyed",
            Effect::Unsafe | Effect::InOrder => "unsafe",
        };
        class["effect"] = toml_edit::value(name);
        if effect == Effect::Keyed {
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
    each(site, Place::One("rules"), |rules| {
        rules.remove("order_settle_ms");
        if in_order {
            rules["order_settle_ms"] = toml_edit::value(ORDER_SETTLE_MS);
        }
        Ok(())
    })?;
    each(site, Place::One("fam"), |fam| {
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
    let classes = array(site, "class")?;
    let known = classes.len();
    for number in 0..count {
        if number >= known {
            let mut copy = classes
                .get(number % known)
                .context("the base has no class")?
                .clone();
            let name = format!(
                "{}-{number}",
                copy["name"].as_str().context("a class has no name")?
            );
            copy["name"] = toml_edit::value(name);
            classes.push(copy);
        }
    }
    while classes.len() > count {
        classes.remove(count);
    }
    for class in classes.iter_mut() {
        class["share"] = toml_edit::value(1.0 / count as f64);
    }
    let kinds = site["fam"]["class"]
        .as_array_of_tables_mut()
        .context("the base has no [[fam.class]]")?;
    let pattern = kinds
        .get(0)
        .context("the base has no [[fam.class]]")?
        .clone();
    kinds.clear();
    (0..count).for_each(|_| kinds.push(pattern.clone()));
    let is_ordered = |class: &Table| class.get("in_order").is_some();
    if !array(site, "class")?.iter().any(is_ordered) {
        set_order(site, false)?;
    }
    Ok(())
}

/// Spreads worth over the classes, on a logarithmic scale from 1 on.
pub fn set_worth(site: &mut DocumentMut, most: f64) -> anyhow::Result<()> {
    let classes = array(site, "class")?;
    let last = classes.len().saturating_sub(1).max(1) as f64;
    for (number, class) in classes.iter_mut().enumerate() {
        let worth = most.powf(number as f64 / last);
        class["worth"] = toml_edit::value((worth * 10.0).round() / 10.0);
    }
    Ok(())
}
