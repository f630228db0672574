//! What is limited: a destination's rate, concurrency or recovery rate, an endpoint's connections, a tenant's messages.
//! The position of a key orders keys into the ranges of the shards.

use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// Longest name of a tenant or an endpoint, bytes.
const NAME_MOST: usize = 128;

/// The names of the kinds of keys.
pub const LIMIT_KINDS: [&str; 5] = ["rate", "out", "cold", "connections", "tenant"];

/// What of it is limited, and in what units.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Resource {
    /// Calls a second to a destination, in thousandths.
    Rate,
    /// Calls out at once to a destination.
    Concurrency,
    /// Calls a second to a destination that returns cold, in thousandths.
    RecoveryRate,
    /// Connections at one endpoint of a destination.
    Connections(String),
    /// Messages a second of a tenant, in thousandths.
    Tenant(String),
}

/// One thing that all senders together are limited in.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct LimitKey {
    /// The destination's number, or a tenant's place among them.
    place: u64,
    what: Resource,
}

impl LimitKey {
    /// Of a destination.
    pub fn of(destination: u64, what: Resource) -> Self {
        match what {
            Resource::Tenant(name) => LimitKey::tenant(&name),
            what => LimitKey {
                place: destination,
                what,
            },
        }
    }

    /// Of a tenant: it belongs to no destination, so its name says in which range it lies.
    pub fn tenant(name: &str) -> Self {
        LimitKey {
            place: u64::from(crc32fast::hash(name.as_bytes())),
            what: Resource::Tenant(name.to_string()),
        }
    }

    /// What orders keys into ranges.
    pub fn position(&self) -> u64 {
        self.place
    }

    /// What is limited.
    pub fn resource(&self) -> &Resource {
        &self.what
    }

    /// Whether it is limited by time, in thousandths of a call a second; else it is a number at once.
    pub fn is_rate(&self) -> bool {
        matches!(
            self.what,
            Resource::Rate | Resource::RecoveryRate | Resource::Tenant(_)
        )
    }

    /// The name of its kind.
    pub fn kind(&self) -> &'static str {
        match self.what {
            Resource::Rate => "rate",
            Resource::Concurrency => "out",
            Resource::RecoveryRate => "cold",
            Resource::Connections(_) => "connections",
            Resource::Tenant(_) => "tenant",
        }
    }
}

impl fmt::Display for LimitKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = self.kind();
        match &self.what {
            Resource::Rate | Resource::Concurrency | Resource::RecoveryRate => {
                write!(f, "{kind}/{}", self.place)
            }
            Resource::Connections(uid) => write!(f, "{kind}/{}/{uid}", self.place),
            Resource::Tenant(name) => write!(f, "{kind}/{name}"),
        }
    }
}

/// A text that names no key.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
#[error("'{0}' names nothing that can be limited")]
#[diagnostic(
    code(ledger::key),
    help(
        "write rate/DESTINATION, out/DESTINATION, cold/DESTINATION, connections/DESTINATION/ENDPOINT or tenant/NAME"
    )
)]
pub struct InvalidKey(pub String);

impl FromStr for LimitKey {
    type Err = InvalidKey;

    fn from_str(text: &str) -> Result<Self, InvalidKey> {
        let bad = || InvalidKey(text.chars().take(NAME_MOST).collect());
        let named = |name: &str| {
            (1..=NAME_MOST)
                .contains(&name.len())
                .then(|| name.to_string())
        };
        let (kind, rest) = text.split_once('/').ok_or_else(bad)?;
        let number = |text: &str| {
            // one text for one key: no sign, no leading zero
            let number: u64 = text.parse().map_err(|_| bad())?;
            if number.to_string() == text {
                Ok(number)
            } else {
                Err(bad())
            }
        };
        match kind {
            "rate" => Ok(LimitKey::of(number(rest)?, Resource::Rate)),
            "out" => Ok(LimitKey::of(number(rest)?, Resource::Concurrency)),
            "cold" => Ok(LimitKey::of(number(rest)?, Resource::RecoveryRate)),
            "connections" => {
                let (destination, uid) = rest.split_once('/').ok_or_else(bad)?;
                Ok(LimitKey::of(
                    number(destination)?,
                    Resource::Connections(named(uid).ok_or_else(bad)?),
                ))
            }
            "tenant" => Ok(LimitKey::tenant(&named(rest).ok_or_else(bad)?)),
            _ => Err(bad()),
        }
    }
}

impl TryFrom<String> for LimitKey {
    type Error = InvalidKey;

    fn try_from(text: String) -> Result<Self, InvalidKey> {
        text.parse()
    }
}

impl From<LimitKey> for String {
    fn from(key: LimitKey) -> String {
        key.to_string()
    }
}

#[cfg(test)]
mod tests;
