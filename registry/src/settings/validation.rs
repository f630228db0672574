//! The values that settings may have.

use super::{AgreementSettings, LedgerSettings, Limits, Settings, SettingsError};
use crate::endpoint::is_name;
use quota_ledger::{LIMIT_KINDS, LimitKey};

/// The most replicas of a cluster.
const MAX_REPLICAS: usize = 7;

fn check(holds: bool, key: &'static str, expected: &'static str) -> Result<(), SettingsError> {
    if holds {
        Ok(())
    } else {
        Err(SettingsError::Value { key, expected })
    }
}

impl Settings {
    /// Checks all values.
    pub(super) fn validate(&self) -> Result<(), SettingsError> {
        check(
            is_name(&self.cluster),
            "cluster",
            "a name of up to 128 visible characters",
        )?;
        check(self.id > 0, "id", "above zero")?;
        self.validate_replicas()?;
        self.limits.validate()?;
        if let Some(agreement) = &self.agreement {
            agreement.validate()?;
            self.begin_rules()?;
        }
        if let Some(ledger) = &self.ledger {
            ledger.validate()?;
        }
        Ok(())
    }

    fn validate_replicas(&self) -> Result<(), SettingsError> {
        let ids: Vec<u64> = self.replicas.iter().map(|replica| replica.id).collect();
        let is_unique = |id: &u64| *id > 0 && ids.iter().filter(|other| *other == id).count() == 1;
        check(
            ids.iter().all(is_unique),
            "replica",
            "a list of ids above zero, each once",
        )?;
        check(ids.len() <= MAX_REPLICAS, "replica", "a list of up to 7")?;
        let names_this = ids.is_empty() || self.join || ids.contains(&self.id);
        check(names_this, "replica", "a list with this one in it")?;
        let is_single = ids.len() < 2 && !self.join;
        check(
            is_single || self.peers.is_some(),
            "peers",
            "there, and there are others",
        )
    }
}

impl Limits {
    fn validate(&self) -> Result<(), SettingsError> {
        let clients = (1..=100_000).contains(&self.clients);
        check(clients, "limits.clients", "a number from 1 to 100000")?;
        let watchers = (1..=self.clients).contains(&self.watchers);
        check(
            watchers,
            "limits.watchers",
            "a number from 1 to limits.clients",
        )?;
        let log_bytes = (4096..=1 << 30).contains(&self.log_bytes);
        check(
            log_bytes,
            "limits.log_bytes",
            "a size from 4096 to 1073741824",
        )?;
        let stalled = (100..=600_000).contains(&self.stalled_ms);
        check(stalled, "limits.stalled_ms", "a time from 100 to 600000")
    }
}

/// Whether this is a lease's duration, ms.
fn is_lease(lease_ms: u64) -> bool {
    (300..=600_000).contains(&lease_ms)
}

/// Whether this is a bound on the error of clocks, percent.
fn is_drift(drift_percent: f64) -> bool {
    (0.0..=10.0).contains(&drift_percent)
}

impl AgreementSettings {
    fn validate(&self) -> Result<(), SettingsError> {
        check(
            is_lease(self.lease_ms),
            "agreement.lease_ms",
            "a time from 300 to 600000",
        )?;
        check(
            is_drift(self.drift_percent),
            "agreement.drift_percent",
            "a share from 0 to 10",
        )
    }
}

impl LedgerSettings {
    fn validate(&self) -> Result<(), SettingsError> {
        check(
            is_lease(self.lease_ms),
            "ledger.lease_ms",
            "a time from 300 to 600000",
        )?;
        check(
            is_drift(self.drift_percent),
            "ledger.drift_percent",
            "a share from 0 to 10",
        )?;
        let senders = (1..=100_000).contains(&self.senders);
        check(senders, "ledger.senders", "a number from 1 to 100000")?;
        let is_key = |name: &String| {
            LIMIT_KINDS.contains(&name.as_str()) || name.parse::<LimitKey>().is_ok()
        };
        let keys = self.fallback_quotas.keys().all(is_key);
        check(keys, "ledger.floors", "a table of keys, or kinds of them")?;
        let grows = self.split_at.windows(2).all(|pair| pair[0] < pair[1]);
        check(
            grows && self.split_at.first() != Some(&0),
            "ledger.split_at",
            "a growing list",
        )
    }
}
