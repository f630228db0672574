//! Reads settings from text. The names of the settings are defined in this module only.

use super::fields::to_micros;
use crate::interface::{
    Class, Effect, Kind, Micros, SECOND, Safety, Settings, SettingsError, Tenant, WeightDecay,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Settings as pairs of a dotted path and a text, from a `begin` line or from a sender's configuration file.
pub struct Pairs<'a>(pub BTreeMap<&'a str, &'a str>);

impl Pairs<'_> {
    /// Returns the text of a setting, or `None` if it is missing or empty.
    fn text(&self, path: &str) -> Option<&str> {
        self.0.get(path).copied().filter(|text| !text.is_empty())
    }

    /// Returns the comma-separated items of a setting; a missing setting has none.
    fn list(&self, path: &str) -> Vec<&str> {
        self.text(path)
            .map(|text| text.split(',').collect())
            .unwrap_or_default()
    }

    /// Returns the value of a setting that must be a finite number of zero or more, or `None` if it is missing.
    fn number(&self, path: &str) -> Result<Option<f64>, SettingsError> {
        let Some(text) = self.text(path) else {
            return Ok(None);
        };
        match text.parse::<f64>() {
            Ok(value) if value.is_finite() && value >= 0.0 => Ok(Some(value)),
            _ => Err(SettingsError::NotANumber {
                setting: path.to_string(),
                value: text.to_string(),
            }),
        }
    }

    fn required(&self, path: &str) -> Result<f64, SettingsError> {
        self.number(path)?.ok_or_else(|| missing(path))
    }

    fn number_or(&self, path: &str, default: f64) -> Result<f64, SettingsError> {
        Ok(self.number(path)?.unwrap_or(default))
    }

    /// Returns a setting that is given in seconds in microseconds, or `default` (in microseconds) if it is missing.
    fn duration_or(&self, path: &str, default: Micros) -> Result<Micros, SettingsError> {
        Ok(self.number(path)?.map_or(default, to_micros))
    }

    fn flag(&self, path: &str) -> bool {
        self.text(path) == Some("true")
    }
}

fn missing(path: &str) -> SettingsError {
    SettingsError::Missing {
        setting: path.to_string(),
    }
}

/// Names that the settings define and the decision module refers to by position, and settings that only the host of the
/// module uses.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub struct Names {
    /// Zone names; the position is the number of the zone.
    pub zones: Vec<String>,
    /// Names of the message classes; the position is the number of the class.
    pub classes: Vec<String>,
    /// Names of the destination kinds; the position is the number of the kind.
    pub kinds: Vec<String>,
    /// Tenant names; the position is the number of the tenant.
    pub tenants: Vec<String>,
    /// Names of the load report's fields, in the order in which the decision module expects the values.
    pub report_fields: Vec<String>,
    /// Timeout in microseconds for establishing a connection.
    pub dial_timeout: Micros,
}

/// Returns the position of `name` in `names`, or `usize::MAX` if the settings do not define the name.
pub fn position(names: &[String], name: &str) -> usize {
    names
        .iter()
        .position(|known| known == name)
        .unwrap_or(usize::MAX)
}

/// Reads the settings of a simulated sender or of a real one.
///
/// # Errors
/// Names the first setting that is missing or has an invalid value.
pub fn read_settings(pairs: &Pairs) -> Result<(Settings, Names), SettingsError> {
    let owned = |list: Vec<&str>| list.into_iter().map(str::to_string).collect::<Vec<_>>();
    let mut names = Names {
        zones: owned(pairs.list("zones")),
        kinds: owned(pairs.list("machineTypes")),
        report_fields: owned(pairs.list("report.fields")),
        dial_timeout: pairs.duration_or("caps.dialTimeout", SECOND)?,
        ..Names::default()
    };
    let call_slots = pairs.required("specifics.callSlots")? as usize;
    let mut settings = Settings::new(call_slots, pairs.required("caps.maxOpen")? as usize);
    settings.senders = pairs.required("balancers")? as u32;
    settings.zone = position(&names.zones, pairs.text("az").unwrap_or("")) as u16;
    read_caps(pairs, &mut settings)?;
    read_sources(pairs, &mut settings);
    read_prices(pairs, &mut settings)?;
    settings.safety = read_safety(pairs, &settings.safety)?;
    for index in 0..pairs.required("classes.count")? as usize {
        let class = read_class(pairs, index)?;
        names.classes.push(class.name.clone());
        settings.classes.push(class);
    }
    settings.kinds = read_kinds(pairs, &names.kinds)?;
    settings.tenants = read_tenants(pairs)?;
    names.tenants = settings
        .tenants
        .iter()
        .map(|tenant| tenant.name.clone())
        .collect();
    Ok((settings, names))
}

fn read_caps(pairs: &Pairs, settings: &mut Settings) -> Result<(), SettingsError> {
    settings.max_attempts = pairs.required("caps.mostTries")? as usize;
    settings.hedging_allowed = pairs.flag("caps.secondCopies");
    settings.cancellation_allowed = pairs.flag("caps.mayCancel");
    settings.health_checks_allowed = pairs.flag("caps.mayProbe");
    settings.notes_allowed = pairs.flag("caps.peers");
    settings.connection_idle_timeout = pairs.duration_or("caps.connIdle", 0)?;
    if pairs.flag("caps.retryAfter") {
        settings.max_retry_after = pairs.duration_or("caps.maxRetryAfter", 0)?;
    }
    Ok(())
}

/// Reads how the sender receives endpoint lists, how far it trusts their weights, and the fields of load reports.
fn read_sources(pairs: &Pairs, settings: &mut Settings) {
    settings.list_by_subscription = pairs.text("discovery") == Some("on_request");
    settings.weight_trust = match pairs.text("weights") {
        Some("nominal") => 1.0,
        Some("rough") => 0.5,
        _ => 0.0,
    };
    if pairs.text("report.how").is_some_and(|how| how != "silent") {
        let fields = pairs.list("report.fields");
        settings.report_remaining = fields.iter().position(|&field| field == "x0");
        settings.report_limit = fields.iter().position(|&field| field == "x1");
    }
}

fn read_prices(pairs: &Pairs, settings: &mut Settings) -> Result<(), SettingsError> {
    settings.price_cross_zone = pairs.number_or("prices.crossZone", 0.0)?;
    settings.price_health_check = pairs.number_or("prices.probe", 0.0)?;
    settings.price_waste = pairs.number_or("prices.waste", 0.0)?;
    settings.over_share_weight = pairs.number_or("overShareWorth", 1.0)?;
    for fee in pairs.list("specifics.zoneFee") {
        let parsed = fee.parse().map_err(|_| SettingsError::NotANumber {
            setting: "specifics.zoneFee".to_string(),
            value: fee.to_string(),
        })?;
        settings.zone_fees.push(parsed);
    }
    if pairs.text("specifics.fades") == Some("by_half") {
        settings.weight_decay = WeightDecay::Halving;
    }
    Ok(())
}

fn read_safety(pairs: &Pairs, default: &Safety) -> Result<Safety, SettingsError> {
    Ok(Safety {
        drain_grace: to_micros(pairs.required("safety.stopSendingWithin")?),
        warm_up_time: to_micros(pairs.required("safety.cold")?),
        start_capacity: pairs.required("safety.startCapacity")?,
        overload_multiple: pairs.required("safety.fallMultiple")?,
        overload_span: to_micros(pairs.required("safety.fall")?),
        answer_grace: pairs.duration_or("safety.graceToAnswer", default.answer_grace)?,
        key_backoff: pairs.duration_or("safety.turnGap", 0)?,
        poll_interval: pairs.duration_or("safety.askEvery", default.poll_interval)?,
    })
}

fn read_class(pairs: &Pairs, index: usize) -> Result<Class, SettingsError> {
    let path = |field: &str| format!("classes.{index}.{field}");
    let name = pairs
        .text(&path("name"))
        .ok_or_else(|| missing(&path("name")))?;
    Ok(Class {
        name: name.to_string(),
        effect: read_effect(pairs, path)?,
        latency_objective: to_micros(pairs.required(&path("aim"))?),
        deadline: to_micros(pairs.required(&path("deadline"))?),
        priority_weight: pairs.number_or(&path("worth"), 1.0)?,
        late_share: pairs.number_or(&path("lateShare"), 0.0)?,
        ordered: pairs.flag(&path("oneAtATime")),
    })
}

fn read_effect(pairs: &Pairs, path: impl Fn(&str) -> String) -> Result<Effect, SettingsError> {
    match pairs.text(&path("effect")) {
        Some("idempotent") => Ok(Effect::Idempotent),
        Some("deduplicated") => Ok(Effect::IdempotencyKey {
            window: to_micros(pairs.required(&path("window"))?),
            same_zone_only: pairs.text(&path("group")) != Some("all"),
        }),
        Some("at_most_once") => Ok(Effect::NonIdempotent),
        Some(other) => Err(SettingsError::UnknownWord {
            setting: path("effect"),
            value: other.to_string(),
            expected: &["idempotent", "deduplicated", "at_most_once"],
        }),
        None => Err(missing(&path("effect"))),
    }
}

fn read_kinds(pairs: &Pairs, names: &[String]) -> Result<Vec<Kind>, SettingsError> {
    let apart = pairs.list("specifics.routesApart");
    let bundles = pairs.list("specifics.bundleMax");
    let mut kinds = Vec::with_capacity(names.len());
    for (index, name) in names.iter().enumerate() {
        let bundle_max = match bundles.get(index) {
            Some(text) => text.parse().map_err(|_| SettingsError::NotWhole {
                setting: "specifics.bundleMax".to_string(),
                value: text.to_string(),
            })?,
            None => 1,
        };
        let separate_routes = apart.get(index) == Some(&"true");
        kinds.push(Kind {
            name: name.clone(),
            separate_routes,
            bundle_max,
        });
    }
    Ok(kinds)
}

fn read_tenants(pairs: &Pairs) -> Result<Vec<Tenant>, SettingsError> {
    let mut tenants = Vec::new();
    for index in 0..pairs.number_or("realms.count", 0.0)? as usize {
        let name = pairs
            .text(&format!("realms.{index}.name"))
            .unwrap_or("")
            .to_string();
        let allowance = pairs.required(&format!("realms.{index}.allowancePerS"))?;
        tenants.push(Tenant { name, allowance });
    }
    Ok(tenants)
}
