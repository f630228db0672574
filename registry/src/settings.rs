//! The settings of a replica: one TOML file, read strictly.

mod validation;

use crate::state::{Command, ReplicaAddresses};
use quota_ledger::{FallbackQuotas, LedgerEntry};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;
use versioned_config::{InvalidRules, LeaseTerms, Rules, VersionedRules};

/// The settings of one replica.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The cluster's name, which all its replicas have.
    pub cluster: String,
    /// The replica's id: above zero, and never given to another replica of the cluster.
    pub id: u64,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The address that other replicas connect to; not needed for a single replica.
    pub peers: Option<SocketAddr>,
    /// The folder of the log.
    pub folder: PathBuf,
    /// Whether a first start waits for a leader's snapshot instead of voting at once.
    #[serde(default)]
    pub join: bool,
    /// All replicas of the first start, this one too; none: it is alone.
    #[serde(default, rename = "replica")]
    pub replicas: Vec<ReplicaSettings>,
    /// The first rules, where senders are to agree on rules.
    pub agreement: Option<AgreementSettings>,
    /// The quota ledger, where there is one.
    pub ledger: Option<LedgerSettings>,
    /// Bounds on resources.
    #[serde(default)]
    pub limits: Limits,
}

/// A replica of the cluster.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaSettings {
    /// The replica's id.
    pub id: u64,
    /// The address that other replicas connect to.
    pub peers: SocketAddr,
    /// The address that clients connect to.
    pub clients: SocketAddr,
}

/// The rules that a log without rules begins with. Once they have begun, the log's rules hold.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgreementSettings {
    /// The duration of a lease, ms.
    #[serde(default = "default_agreement_lease_ms")]
    pub lease_ms: u64,
    /// The bound on the error of clocks, percent of the time that passes.
    #[serde(default = "default_drift_percent")]
    pub drift_percent: f64,
    /// A JSON file: the rules of a sender without a lease.
    #[serde(rename = "floor")]
    pub fallback: PathBuf,
    /// A JSON file: the first version of the rules.
    pub rules: PathBuf,
}

/// The ledger that a log without a ledger begins with.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerSettings {
    /// The duration of an allocation, ms.
    #[serde(default = "default_ledger_lease_ms")]
    pub lease_ms: u64,
    /// The bound on the error of clocks, percent of the time that passes.
    #[serde(default = "default_drift_percent")]
    pub drift_percent: f64,
    /// Senders that are configured.
    pub senders: u32,
    /// The quota of each sender without an allocation, by key or kind.
    #[serde(default, rename = "floors")]
    pub fallback_quotas: BTreeMap<String, u64>,
    /// The first destinations of the ranges after the first range.
    #[serde(default)]
    pub split_at: Vec<u64>,
}

/// Bounds on what clients and the log may use.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Connections of clients at once.
    pub clients: usize,
    /// Watches at once.
    pub watchers: usize,
    /// Bytes above which the log is compacted, beside those of the state.
    pub log_bytes: u64,
    /// A watcher that takes nothing for so long is disconnected, ms.
    pub stalled_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            clients: 2048,
            watchers: 1024,
            log_bytes: 4 << 20,
            stalled_ms: 8000,
        }
    }
}

fn default_agreement_lease_ms() -> u64 {
    6000
}

fn default_ledger_lease_ms() -> u64 {
    1500
}

fn default_drift_percent() -> f64 {
    1.0
}

/// Why settings can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// A file can't be read.
    #[error("{path}: {error}", path = path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The error.
        error: std::io::Error,
    },
    /// The file is no TOML, lacks a key or has an unknown one.
    #[error("{path}: {error}", path = path.display())]
    Toml {
        /// The file.
        path: PathBuf,
        /// Where and why.
        error: Box<toml::de::Error>,
    },
    /// A file is no JSON of rules.
    #[error("{path}: {error}", path = path.display())]
    Json {
        /// The file.
        path: PathBuf,
        /// Where and why.
        error: serde_json::Error,
    },
    /// Rules are not valid.
    #[error("{path}: {error}", path = path.display())]
    Rules {
        /// The file.
        path: PathBuf,
        /// Where and why.
        error: InvalidRules,
    },
    /// A value is not valid.
    #[error("{key} is not {expected}")]
    Value {
        /// The key.
        key: &'static str,
        /// What its value must be.
        expected: &'static str,
    },
    /// The rules forbid what senders do without a lease.
    #[error("agreement.floor is not within agreement.rules")]
    FallbackNotWithinRules,
}

impl Settings {
    /// Reads a file. Paths in it are relative to its folder.
    ///
    /// # Errors
    /// Names the first mistake, and its line where the file is no TOML.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = read_text(path)?;
        let mut settings: Settings =
            toml::from_str(&text).map_err(|error| SettingsError::Toml {
                path: path.to_path_buf(),
                error: Box::new(error),
            })?;
        settings.resolve_paths(path.parent().unwrap_or(Path::new("")));
        settings.validate()?;
        Ok(settings)
    }

    fn resolve_paths(&mut self, folder: &Path) {
        self.folder = folder.join(&self.folder);
        if let Some(agreement) = &mut self.agreement {
            agreement.fallback = folder.join(&agreement.fallback);
            agreement.rules = folder.join(&agreement.rules);
        }
    }

    /// The voters of the first start; none: the replica waits for a leader's snapshot.
    pub fn voters(&self) -> Vec<u64> {
        if self.join {
            return Vec::new();
        }
        if self.replicas.is_empty() {
            return vec![self.id];
        }
        self.replicas.iter().map(|replica| replica.id).collect()
    }

    /// The addresses of the replicas that the settings name.
    pub fn addresses(&self) -> BTreeMap<u64, ReplicaAddresses> {
        let addresses = |replica: &ReplicaSettings| ReplicaAddresses {
            peers: replica.peers,
            clients: replica.clients,
        };
        self.replicas
            .iter()
            .map(|replica| (replica.id, addresses(replica)))
            .collect()
    }

    /// The command that begins the rules, where there are any.
    ///
    /// # Errors
    /// A file is missing or holds no rules, or the fallback is not within the rules.
    pub fn begin_rules(&self) -> Result<Option<Command>, SettingsError> {
        let Some(agreement) = &self.agreement else {
            return Ok(None);
        };
        let fallback = read_rules(&agreement.fallback)?;
        let rules = read_rules(&agreement.rules)?;
        VersionedRules::new(fallback.clone(), rules.clone())
            .map_err(|_| SettingsError::FallbackNotWithinRules)?;
        let terms = lease_terms(agreement.lease_ms, agreement.drift_percent);
        Ok(Some(Command::BeginRules {
            fallback,
            rules,
            terms,
        }))
    }

    /// The command that begins the ledger, where there is one.
    pub fn begin_ledger(&self) -> Option<Command> {
        let LedgerSettings {
            lease_ms,
            drift_percent,
            senders,
            fallback_quotas,
            split_at,
        } = self.ledger.clone()?;
        let fallback_quotas = FallbackQuotas {
            senders,
            per_sender: fallback_quotas,
        };
        let terms = lease_terms(lease_ms, drift_percent);
        Some(Command::Ledger(LedgerEntry::Create {
            fallback_quotas,
            terms,
            split_at,
        }))
    }
}

/// The terms of a lease, with the drift between a sender's clock that is slow by the bound and this one's that is fast by it.
fn lease_terms(lease_ms: u64, drift_percent: f64) -> LeaseTerms {
    let lease = lease_ms * 1000;
    let part = drift_percent / 100.0;
    let drift = (lease as f64 * 2.0 * part / (1.0 - part)).ceil() as u64;
    LeaseTerms {
        lease,
        max_drift: drift,
    }
}

fn read_text(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|error| SettingsError::Read {
        path: path.to_path_buf(),
        error,
    })
}

/// Reads rules from a JSON file.
///
/// # Errors
/// The file can't be read, or the rules are not valid.
pub fn read_rules(path: &Path) -> Result<Rules, SettingsError> {
    let text = read_text(path)?;
    let rules: Rules = serde_json::from_str(&text).map_err(|error| SettingsError::Json {
        path: path.to_path_buf(),
        error,
    })?;
    rules.validate().map_err(|error| SettingsError::Rules {
        path: path.to_path_buf(),
        error,
    })?;
    Ok(rules)
}

#[cfg(test)]
mod tests;
