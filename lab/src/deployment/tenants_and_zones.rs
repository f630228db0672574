//! Changes to the tenants and zones of a site.

use super::tables::for_each_table;
use super::values::{Setting, Tables};
use toml_edit::{Array, ArrayOfTables, DocumentMut, Item, Table, Value};

/// What the bench requires of a site with tenants, as its own sites have it: the weight of a message beyond a tenant's
/// quota, the quotas together over the capacity, and a tenant's traffic over its quota.
const OVER_SHARE_WORTH: Setting = Setting::Number(0.1);
const QUOTA_OF_CAPACITY: Setting = Setting::Range(0.7, 0.95);
const USAGE: Setting = Setting::Range(0.6, 1.3);

/// Has tenants of these shares; without any, the settings of tenants go too.
pub fn set_tenants(site: &mut DocumentMut, shares: &[f64]) -> anyhow::Result<()> {
    site.remove("tenant");
    for_each_table(site, Tables::Single("load"), |load| {
        for (key, setting) in [
            ("over_share_worth", OVER_SHARE_WORTH),
            ("quota_of_capacity", QUOTA_OF_CAPACITY),
        ] {
            load.remove(key);
            if !shares.is_empty() {
                load[key] = Item::Value(setting.into());
            }
        }
        Ok(())
    })?;
    for_each_table(site, Tables::Single("fam"), |fam| {
        fam["tenant_owns"] = toml_edit::value(false);
        Ok(())
    })?;
    if shares.is_empty() {
        return Ok(());
    }
    let mut tenants = ArrayOfTables::new();
    for (number, share) in shares.iter().enumerate() {
        let mut tenant = Table::new();
        tenant["name"] = toml_edit::value(format!("tenant-{number}"));
        tenant["share"] = toml_edit::value(*share);
        tenant["usage"] = Item::Value(USAGE.into());
        tenants.push(tenant);
    }
    site["tenant"] = Item::ArrayOfTables(tenants);
    Ok(())
}

/// Has so many zones, of numbered names.
pub fn set_zones(site: &mut DocumentMut, count: usize) -> anyhow::Result<()> {
    let names: Array = (0..count).map(|number| format!("zone-{number}")).collect();
    site["net"]["zones"] = toml_edit::value(names);
    // one fee for each zone: the base's are repeated
    let Some(fees) = site["fam"].get_mut("zone_fee").and_then(Item::as_array_mut) else {
        return Ok(());
    };
    let known: Vec<Value> = fees.iter().cloned().map(undecorated).collect();
    if !known.is_empty() {
        *fees = known.into_iter().cycle().take(count).collect();
    }
    Ok(())
}

/// A value without the blanks around it, which belong to its previous position.
fn undecorated(mut value: Value) -> Value {
    value.decor_mut().clear();
    value
}
