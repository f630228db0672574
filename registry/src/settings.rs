//! A replica's settings: one TOML file, read strictly.

use crate::state::{Command, Place};
use crate::target::is_name;
use quota_ledger::{FallbackQuotas, LIMIT_KINDS, LedgerEntry, LimitKey};
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
    /// Replicas of one name belong together.
    pub cluster: String,
    /// This one's number, above zero, never given to another of the cluster.
    pub id: u64,
    /// Where clients call.
    pub listen: SocketAddr,
    /// Where other replicas call; not needed where there is but one.
    pub peers: Option<SocketAddr>,
    /// What outlasts the process.
    pub folder: PathBuf,
    /// A first start waits to be taken in by a leader instead of voting at once.
    #[serde(default)]
    pub join: bool,
    /// All replicas of the first start, this one too; none: it is alone.
    #[serde(default, rename = "replica")]
    pub replicas: Vec<Other>,
    /// The first rules, where senders are to agree on rules.
    pub agreement: Option<Agreement>,
    /// Limits that hold for the fleet, where there is a ledger of them.
    pub ledger: Option<Ledger>,
    /// Bounds.
    #[serde(default)]
    pub limits: Limits,
}

/// A replica of the cluster.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Other {
    /// Its number.
    pub id: u64,
    /// Where this one finds it.
    pub peers: SocketAddr,
    /// Where clients find it.
    pub clients: SocketAddr,
}

/// What a log without rules begins with. Once it has begun, what the log says holds.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Agreement {
    /// How long a lease lasts, ms.
    #[serde(default = "six_seconds")]
    pub lease_ms: u64,
    /// By how much of the time that passes a clock may be wrong at most, percent.
    #[serde(default = "one_percent")]
    pub drift_percent: f64,
    /// A JSON file: what a sender does without a lease.
    pub floor: PathBuf,
    /// A JSON file: the first version.
    pub rules: PathBuf,
}

/// What a log without a ledger begins one with.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ledger {
    /// How long parts are leased, ms.
    #[serde(default = "one_and_a_half_seconds")]
    pub lease_ms: u64,
    /// By how much of the time that passes a clock may be wrong at most, percent.
    #[serde(default = "one_percent")]
    pub drift_percent: f64,
    /// Senders that are configured.
    pub senders: u32,
    /// What each may use without asking, by key or kind.
    #[serde(default)]
    pub floors: BTreeMap<String, u64>,
    /// First destinations of the ranges after the first.
    #[serde(default)]
    pub split_at: Vec<u64>,
}

fn one_and_a_half_seconds() -> u64 {
    1500
}

/// A lease of so many ms, and what clocks that are wrong by a part make of it.
fn terms(lease_ms: u64, drift_percent: f64) -> LeaseTerms {
    let lease = lease_ms * 1000;
    // the sender's clock slow by the bound, this one's fast by it
    let part = drift_percent / 100.0;
    let drift = (lease as f64 * 2.0 * part / (1.0 - part)).ceil() as u64;
    LeaseTerms {
        lease,
        max_drift: drift,
    }
}

fn six_seconds() -> u64 {
    6000
}

fn one_percent() -> f64 {
    1.0
}

/// Bounds of what clients and time may use up.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Connections of clients at once.
    pub clients: usize,
    /// Watches among them.
    pub watchers: usize,
    /// Bytes above which the log is compacted, the state beside.
    pub log_bytes: u64,
    /// A watcher that takes nothing for so long is cut, ms.
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

/// Why settings are none.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// A file can't be read.
    #[error("{path}: {error}", path = path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// It is no TOML, or has keys that are none.
    #[error("{path}: {error}", path = path.display())]
    Toml {
        /// The file.
        path: PathBuf,
        /// Where and why.
        error: Box<toml::de::Error>,
    },
    /// It is no JSON of rules.
    #[error("{path}: {error}", path = path.display())]
    Json {
        /// The file.
        path: PathBuf,
        /// Where and why.
        error: serde_json::Error,
    },
    /// Rules make no sense.
    #[error("{path}: {error}", path = path.display())]
    Rules {
        /// The file.
        path: PathBuf,
        /// Where and why.
        error: InvalidRules,
    },
    /// A setting makes no sense.
    #[error("{0} is not {1}")]
    Value(&'static str, &'static str),
    /// The rules forbid what senders do without a lease.
    #[error("agreement.floor is not within agreement.rules")]
    Floor,
}

impl Settings {
    /// Reads a file; paths in it count from its folder.
    ///
    /// # Errors
    /// Names the first thing that is wrong, and its line.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = read(path)?;
        let mut settings: Settings =
            toml::from_str(&text).map_err(|error| SettingsError::Toml {
                path: path.to_path_buf(),
                error: Box::new(error),
            })?;
        let beside = |other: &mut PathBuf| {
            *other = path.parent().unwrap_or(Path::new("")).join(&*other);
        };
        beside(&mut settings.folder);
        if let Some(agreement) = &mut settings.agreement {
            beside(&mut agreement.floor);
            beside(&mut agreement.rules);
        }
        settings.validate()?;
        Ok(settings)
    }

    fn validate(&self) -> Result<(), SettingsError> {
        let holds = |holds: bool, key, wanted| {
            if holds {
                Ok(())
            } else {
                Err(SettingsError::Value(key, wanted))
            }
        };
        holds(
            is_name(&self.cluster),
            "cluster",
            "a name of up to 128 visible characters",
        )?;
        holds(self.id > 0, "id", "above zero")?;
        let ids: Vec<u64> = self.replicas.iter().map(|other| other.id).collect();
        let once = |id: &u64| *id > 0 && ids.iter().filter(|other| *other == id).count() == 1;
        holds(
            ids.iter().all(once),
            "replica",
            "a list of ids above zero, each once",
        )?;
        holds(ids.len() <= 7, "replica", "a list of up to 7")?;
        holds(
            ids.is_empty() || self.join || ids.contains(&self.id),
            "replica",
            "a list with this one in it",
        )?;
        holds(
            ids.len() < 2 && !self.join || self.peers.is_some(),
            "peers",
            "there, and there are others",
        )?;
        let Limits {
            clients,
            watchers,
            log_bytes,
            stalled_ms,
        } = self.limits;
        holds(
            (1..=100_000).contains(&clients),
            "limits.clients",
            "a number from 1 to 100000",
        )?;
        holds(
            (1..=clients).contains(&watchers),
            "limits.watchers",
            "a number from 1 to limits.clients",
        )?;
        holds(
            (4096..=1 << 30).contains(&log_bytes),
            "limits.log_bytes",
            "a size from 4096 to 1073741824",
        )?;
        holds(
            (100..=600_000).contains(&stalled_ms),
            "limits.stalled_ms",
            "a time from 100 to 600000",
        )?;
        if let Some(agreement) = &self.agreement {
            let lease = (300..=600_000).contains(&agreement.lease_ms);
            holds(lease, "agreement.lease_ms", "a time from 300 to 600000")?;
            let drift = (0.0..=10.0).contains(&agreement.drift_percent);
            holds(drift, "agreement.drift_percent", "a share from 0 to 10")?;
            self.begin()?;
        }
        if let Some(ledger) = &self.ledger {
            let lease = (300..=600_000).contains(&ledger.lease_ms);
            holds(lease, "ledger.lease_ms", "a time from 300 to 600000")?;
            let drift = (0.0..=10.0).contains(&ledger.drift_percent);
            holds(drift, "ledger.drift_percent", "a share from 0 to 10")?;
            holds(
                (1..=100_000).contains(&ledger.senders),
                "ledger.senders",
                "a number from 1 to 100000",
            )?;
            let named = |name: &String| {
                LIMIT_KINDS.contains(&name.as_str()) || name.parse::<LimitKey>().is_ok()
            };
            holds(
                ledger.floors.keys().all(named),
                "ledger.floors",
                "a table of keys, or kinds of them",
            )?;
            let grows = ledger.split_at.windows(2).all(|two| two[0] < two[1]);
            holds(
                grows && ledger.split_at.first() != Some(&0),
                "ledger.split_at",
                "a growing list",
            )?;
        }
        Ok(())
    }

    /// Who votes at the first start.
    pub fn voters(&self) -> Vec<u64> {
        match (self.join, self.replicas.is_empty()) {
            (true, _) => Vec::new(),
            (false, true) => vec![self.id],
            (false, false) => self.replicas.iter().map(|other| other.id).collect(),
        }
    }

    /// Where the replicas are, as far as these settings tell.
    pub fn places(&self) -> BTreeMap<u64, Place> {
        let place = |other: &Other| {
            (
                other.id,
                Place {
                    peers: other.peers,
                    clients: other.clients,
                },
            )
        };
        self.replicas.iter().map(place).collect()
    }

    /// The first rules, as the command that begins them.
    ///
    /// # Errors
    /// A file is missing, no rules, or the floor is not within them.
    pub fn begin(&self) -> Result<Option<Command>, SettingsError> {
        let Some(agreement) = &self.agreement else {
            return Ok(None);
        };
        let (floor, rules) = (rules_of(&agreement.floor)?, rules_of(&agreement.rules)?);
        VersionedRules::new(floor.clone(), rules.clone()).map_err(|_| SettingsError::Floor)?;
        let terms = terms(agreement.lease_ms, agreement.drift_percent);
        Ok(Some(Command::Begin {
            floor,
            rules,
            terms,
        }))
    }

    /// The ledger, as the command that begins it.
    pub fn begin_ledger(&self) -> Option<Command> {
        let Ledger {
            lease_ms,
            drift_percent,
            senders,
            floors,
            split_at,
        } = self.ledger.clone()?;
        let floors = FallbackQuotas {
            senders,
            per_sender: floors,
        };
        Some(Command::Ledger(LedgerEntry::Create {
            fallback_quotas: floors,
            terms: terms(lease_ms, drift_percent),
            split_at,
        }))
    }
}

fn read(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|error| SettingsError::Read {
        path: path.to_path_buf(),
        error,
    })
}

/// Reads rules from a JSON file.
///
/// # Errors
/// It can't be read, or makes no sense.
pub fn rules_of(path: &Path) -> Result<Rules, SettingsError> {
    let text = read(path)?;
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
mod tests {
    use super::*;

    const GOOD: &str = r#"
cluster = "hue"
id = 2
listen = "127.0.0.1:8500"
peers = "127.0.0.1:8600"
folder = "state"
[[replica]]
id = 1
peers = "127.0.0.1:8601"
clients = "127.0.0.1:8501"
[[replica]]
id = 2
peers = "127.0.0.1:8600"
clients = "127.0.0.1:8500"
[agreement]
floor = "floor.json"
rules = "rules.json"
"#;

    #[test]
    fn settings_are_read_and_a_mistake_is_named() {
        let folder = tempfile::tempdir().expect("a folder");
        let write = |name: &str, text: &str| {
            std::fs::write(folder.path().join(name), text).expect("written")
        };
        write("floor.json", "{}");
        write("rules.json", r#"{"limits":{}}"#);
        let path = folder.path().join("registry.toml");
        let read = |text: &str| {
            write("registry.toml", text);
            Settings::read(&path)
        };
        let settings = read(GOOD).expect("good");
        assert_eq!(
            (settings.voters(), settings.folder),
            (vec![1, 2], folder.path().join("state"))
        );
        let Ok(Some(Command::Begin { terms, .. })) = read(GOOD).expect("good").begin() else {
            panic!("rules")
        };
        assert_eq!(
            terms,
            LeaseTerms {
                lease: 6_000_000,
                max_drift: 121_213
            }
        );
        for (from, to, told) in [
            ("id = 2\nlisten", "id = 0\nlisten", "id is not above zero"),
            (
                "id = 2\nlisten",
                "id = 3\nlisten",
                "replica is not a list with this one in it",
            ),
            ("cluster =", "custer =", "unknown field `custer`"),
            (
                "peers = \"127.0.0.1:8600\"\nfolder",
                "folder",
                "peers is not there",
            ),
            (
                "[agreement]",
                "[limits]\nwatchers = 0\n[agreement]",
                "limits.watchers is not",
            ),
            (
                "[agreement]",
                "[agreement]\nlease_ms = 1",
                "agreement.lease_ms is not",
            ),
            ("rules.json", "none.json", "none.json: No such file"),
            (
                "[agreement]",
                "[ledger]\nsenders = 0\n[agreement]",
                "ledger.senders is not",
            ),
            (
                "[agreement]",
                "[ledger]\nsenders = 3\nfloors = { rat = 1 }\n[agreement]",
                "ledger.floors is not",
            ),
        ] {
            let error = read(&GOOD.replacen(from, to, 1)).expect_err(to).to_string();
            assert!(error.contains(told), "{to}: {error}");
        }
        write("rules.json", r#"{"limits":{"calls":3}}"#);
        assert!(
            matches!(read(GOOD), Err(SettingsError::Floor)),
            "a floor without limit is freer than one of 3"
        );
    }
}
