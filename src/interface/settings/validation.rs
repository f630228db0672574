//! Checks of the settings that go beyond their types, such as the ranges of numbers.

use super::{Settings, SettingsError};
use crate::interface::{Class, Effect, Micros};
use std::collections::BTreeSet;

impl Settings {
    /// Checks that all numbers are within the ranges that the decisions assume and that class names
    /// are unique.
    ///
    /// # Errors
    /// The first invalid setting, under the name that it has when serialized.
    pub fn validate(&self) -> Result<(), SettingsError> {
        check_positive("senders", self.senders)?;
        check_positive("call_slots", self.call_slots as u64)?;
        check_positive("max_held", self.max_pending as u64)?;
        check_positive("max_attempts", self.max_attempts as u64)?;
        check_share("over_share_worth", self.over_share_weight)?;
        check_share("weight_trust", self.weight_trust)?;
        check_share("price_cross_zone", self.price_cross_zone)?;
        check_share("price_probe", self.price_health_check)?;
        check_share("price_waste", self.price_waste)?;
        for &fee in &self.zone_fees {
            check_share("zone_fees", fee)?;
        }
        self.validate_spans()?;
        check_share("safety.start_capacity", self.safety.start_capacity)?;
        check_share("safety.fall_multiple", self.safety.overload_multiple)?;
        self.validate_classes()?;
        for kind in &self.kinds {
            let setting = format!("kinds.{}.bundle_max", kind.name);
            check_positive(&setting, kind.bundle_max as u64)?;
        }
        for tenant in &self.tenants {
            let setting = format!("tenants.{}.allowance", tenant.name);
            check_share(&setting, tenant.allowance)?;
        }
        Ok(())
    }

    fn validate_spans(&self) -> Result<(), SettingsError> {
        let safety = &self.safety;
        check_span("safety.drain_grace", safety.drain_grace)?;
        check_span("safety.cold_time", safety.warm_up_time)?;
        check_span("safety.fall_span", safety.overload_span)?;
        check_span("safety.answer_grace", safety.answer_grace)?;
        check_span("safety.key_rest", safety.key_backoff)?;
        check_span("safety.ask_every", safety.poll_interval)?;
        check_span("connection_idle", self.connection_idle_timeout)?;
        check_span("max_client_wait", self.max_retry_after)
    }

    fn validate_classes(&self) -> Result<(), SettingsError> {
        let mut names = BTreeSet::new();
        for class in &self.classes {
            if !names.insert(&class.name) {
                return Err(SettingsError::Duplicate {
                    setting: setting_of_class(class, "name"),
                    value: class.name.clone(),
                });
            }
            validate_class(class)?;
        }
        Ok(())
    }
}

fn validate_class(class: &Class) -> Result<(), SettingsError> {
    check_positive(&setting_of_class(class, "aim"), class.latency_objective)?;
    check_positive(&setting_of_class(class, "deadline"), class.deadline)?;
    check_share(&setting_of_class(class, "worth"), class.priority_weight)?;
    check_share(&setting_of_class(class, "late_share"), class.late_share)?;
    if let Effect::IdempotencyKey { window, .. } = class.effect {
        check_positive(&setting_of_class(class, "window"), window)?;
    }
    Ok(())
}

fn setting_of_class(class: &Class, field: &str) -> String {
    format!("classes.{}.{field}", class.name)
}

fn check_positive(setting: &str, value: impl Into<i128>) -> Result<(), SettingsError> {
    let value = value.into();
    if value > 0 {
        return Ok(());
    }
    Err(SettingsError::NotPositive {
        setting: setting.to_string(),
        value,
    })
}

fn check_span(setting: &str, value: Micros) -> Result<(), SettingsError> {
    if value >= 0 {
        return Ok(());
    }
    Err(SettingsError::NegativeSpan {
        setting: setting.to_string(),
        value,
    })
}

fn check_share(setting: &str, value: f64) -> Result<(), SettingsError> {
    if value.is_finite() && value >= 0.0 {
        return Ok(());
    }
    Err(SettingsError::NotAShare {
        setting: setting.to_string(),
        value: value.to_string(),
    })
}
