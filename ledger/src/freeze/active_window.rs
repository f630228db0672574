//! Windows that are active, the break-glass override, and the check of changes against both.

use super::change::{ChangeKind, ResourceChange, Scope};
use super::error::FreezeError;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A window that is on, or is to come.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ActiveWindow {
    /// When it ends by the calendar, Unix time in ms.
    pub until_ms: u64,
    /// What it concerns.
    pub scope: Scope,
    /// What it holds; all that widens where empty.
    #[serde(rename = "holds")]
    pub held_changes: BTreeSet<ChangeKind>,
    /// Why.
    pub reason: String,
    /// Who answers for it.
    pub owner: String,
}

impl ActiveWindow {
    /// Whether it holds a change.
    pub fn is_holding(&self, matter: &ResourceChange) -> bool {
        let kind = self.held_changes.is_empty() || self.held_changes.contains(&matter.kind);
        kind && self.scope.touches(matter)
    }
}

/// Two operators have let changes through for a while.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BreakGlassOverride {
    /// Who: two names.
    #[serde(rename = "by")]
    pub approvers: Vec<String>,
    /// Why.
    pub reason: String,
    /// For what; all where nothing is named.
    #[serde(default)]
    pub scope: Scope,
    /// Until when at the latest, Unix time in ms.
    pub until_ms: u64,
}

/// Judges changes by the windows that are on.
///
/// # Errors
/// Names the first window that holds one of them.
pub fn check_changes(
    on: &BTreeMap<String, ActiveWindow>,
    glass: Option<&BreakGlassOverride>,
    matters: &[ResourceChange],
    relieves: bool,
) -> Result<(), FreezeError> {
    for matter in matters {
        let broken = glass.is_some_and(|glass| glass.scope.covers(matter));
        let held = on.iter().find(|(_, on)| !broken && on.is_holding(matter));
        if let Some((
            window,
            ActiveWindow {
                until_ms,
                reason,
                owner,
                ..
            },
        )) = held
        {
            let window = window.clone();
            if relieves {
                return Err(FreezeError::MixedBatch(window));
            }
            let (reason, owner) = (reason.clone(), owner.clone());
            return Err(FreezeError::Held {
                window,
                until_ms: *until_ms,
                kind: matter.kind,
                reason,
                owner,
            });
        }
    }
    Ok(())
}
