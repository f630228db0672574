//! The tables and numbers of a site file, for those that change them.

use super::edit::Place;
use anyhow::{Context, bail};
use toml_edit::{ArrayOfTables, DocumentMut, Item, Table, Value};

/// Does something to each table of a place; a place that is missing is an error.
pub fn each(
    site: &mut DocumentMut,
    place: Place,
    mut change: impl FnMut(&mut Table) -> anyhow::Result<()>,
) -> anyhow::Result<()> {
    match place {
        Place::One(name) => change(
            site[name]
                .as_table_mut()
                .with_context(|| format!("the base has no [{name}]"))?,
        ),
        Place::Each(name) => array(site, name)?.iter_mut().try_for_each(change),
        Place::EachIn(outer, name) => {
            let tables = site[outer][name].as_array_of_tables_mut();
            let tables = tables.with_context(|| format!("the base has no [[{outer}.{name}]]"))?;
            tables.iter_mut().try_for_each(change)
        }
    }
}

/// An array of tables at the top.
pub fn array<'a>(site: &'a mut DocumentMut, name: &str) -> anyhow::Result<&'a mut ArrayOfTables> {
    site[name]
        .as_array_of_tables_mut()
        .with_context(|| format!("the base has no [[{name}]]"))
}

fn as_number(value: &Value) -> Option<f64> {
    value
        .as_float()
        .or_else(|| value.as_integer().map(|whole| whole as f64))
}

/// A number that stands in a table.
pub fn number(table: &Table, key: &str) -> anyhow::Result<f64> {
    let value = table.get(key).and_then(Item::as_value);
    value
        .and_then(as_number)
        .with_context(|| format!("{key} is no number"))
}

/// Multiplies a number, or each of a list.
pub fn scale(value: &mut Value, factor: f64) -> anyhow::Result<()> {
    if let Value::Array(list) = value {
        return list
            .iter_mut()
            .try_for_each(|element| scale(element, factor));
    }
    let Some(number) = as_number(value) else {
        bail!("{value} can't be multiplied")
    };
    let decor = value.decor().clone();
    *value = (number * factor).into();
    *value.decor_mut() = decor;
    Ok(())
}
