//! Access to the tables and numbers of a site file.

use super::values::Tables;
use anyhow::{Context, bail};
use toml_edit::{ArrayOfTables, DocumentMut, Item, Table, Value};

/// Changes each of the selected tables.
///
/// # Errors
/// The site has no such table, or a change fails.
pub fn for_each_table(
    site: &mut DocumentMut,
    selected: Tables,
    mut change: impl FnMut(&mut Table) -> anyhow::Result<()>,
) -> anyhow::Result<()> {
    match selected {
        Tables::Single(name) => change(
            site[name]
                .as_table_mut()
                .with_context(|| format!("the base has no [{name}]"))?,
        ),
        Tables::Array(name) => array_of_tables(site, name)?.iter_mut().try_for_each(change),
        Tables::NestedArray { outer, inner } => {
            let tables = site[outer][inner].as_array_of_tables_mut();
            let tables = tables.with_context(|| format!("the base has no [[{outer}.{inner}]]"))?;
            tables.iter_mut().try_for_each(change)
        }
    }
}

/// An array of tables at the top level.
///
/// # Errors
/// The site has no such array.
pub fn array_of_tables<'a>(
    site: &'a mut DocumentMut,
    name: &str,
) -> anyhow::Result<&'a mut ArrayOfTables> {
    site[name]
        .as_array_of_tables_mut()
        .with_context(|| format!("the base has no [[{name}]]"))
}

fn as_number(value: &Value) -> Option<f64> {
    value
        .as_float()
        .or_else(|| value.as_integer().map(|integer| integer as f64))
}

/// The number under a key of a table.
///
/// # Errors
/// The key is missing or is no number.
pub fn number(table: &Table, key: &str) -> anyhow::Result<f64> {
    let value = table.get(key).and_then(Item::as_value);
    value
        .and_then(as_number)
        .with_context(|| format!("{key} is no number"))
}

/// Multiplies a number, or each number of a list.
///
/// # Errors
/// Something else stands there.
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
