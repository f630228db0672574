//! Changes that expand the topology, and what they concern.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

/// A change that expands the topology. What reduces it (a drain, a removal, less weight, a lower limit) has no kind: it
/// passes at any time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// An endpoint is added.
    Added,
    /// It goes to another destination or zone.
    Moved,
    /// It is back after a drain.
    #[serde(rename = "back")]
    Restored,
    /// A weight or a limit is raised, or a limit removed.
    Raised,
    /// Rules that allow what those before forbid.
    Rules,
    /// A shard of the ledger is split.
    Split,
    /// A replica is added.
    Replica,
}

impl fmt::Display for ChangeKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ChangeKind::Added => "an endpoint is added",
            ChangeKind::Moved => "an endpoint is moved",
            ChangeKind::Restored => "an endpoint comes back after a drain",
            ChangeKind::Raised => "a weight or limit is raised",
            ChangeKind::Rules => "rules are made freer",
            ChangeKind::Split => "a range is split",
            ChangeKind::Replica => "a replica is added",
        })
    }
}

/// A change that expands the topology, and what it concerns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResourceChange {
    /// What kind of change.
    pub kind: ChangeKind,
    /// Zones that it concerns.
    pub zones: Vec<String>,
    /// Destinations that it concerns.
    pub destinations: Vec<u64>,
    /// Tenants that it concerns.
    pub tenants: Vec<String>,
}

impl ResourceChange {
    /// A change that concerns all.
    pub fn of_all(kind: ChangeKind) -> Self {
        ResourceChange {
            kind,
            zones: Vec::new(),
            destinations: Vec::new(),
            tenants: Vec::new(),
        }
    }
}

/// What a window or an override concerns; all where nothing is named.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Scope {
    /// Zones.
    pub zones: BTreeSet<String>,
    /// Destinations.
    pub destinations: BTreeSet<u64>,
    /// Tenants.
    pub tenants: BTreeSet<String>,
}

impl Scope {
    /// Whether it concerns all.
    pub fn is_all(&self) -> bool {
        self.zones.is_empty() && self.destinations.is_empty() && self.tenants.is_empty()
    }

    /// Whether a change has anything to do with it.
    pub(super) fn touches(&self, change: &ResourceChange) -> bool {
        self.is_all()
            || change.zones.iter().any(|zone| self.zones.contains(zone))
            || change
                .destinations
                .iter()
                .any(|destination| self.destinations.contains(destination))
            || change
                .tenants
                .iter()
                .any(|tenant| self.tenants.contains(tenant))
    }

    /// Whether a change has to do with nothing else.
    pub(super) fn covers(&self, change: &ResourceChange) -> bool {
        let ResourceChange {
            zones,
            destinations,
            tenants,
            ..
        } = change;
        let zones = !zones.is_empty() && zones.iter().all(|zone| self.zones.contains(zone));
        let destinations = !destinations.is_empty()
            && destinations
                .iter()
                .all(|destination| self.destinations.contains(destination));
        let tenants =
            !tenants.is_empty() && tenants.iter().all(|tenant| self.tenants.contains(tenant));
        self.is_all() || zones || destinations || tenants
    }
}
