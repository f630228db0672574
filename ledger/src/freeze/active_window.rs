//! Windows that are active, the break-glass override, and the check of changes against both.

use super::change::{ChangeKind, ResourceChange, Scope};
use super::error::FreezeError;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A window that is active, or is to come.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ActiveWindow {
    /// When it ends by the calendar, Unix time in ms.
    pub until_ms: u64,
    /// What it concerns.
    pub scope: Scope,
    /// The changes that it holds; all that expand the topology where empty.
    #[serde(rename = "holds")]
    pub held_changes: BTreeSet<ChangeKind>,
    /// Why.
    pub reason: String,
    /// Who answers for it.
    pub owner: String,
}

impl ActiveWindow {
    /// Whether it holds a change.
    pub fn is_holding(&self, change: &ResourceChange) -> bool {
        let holds_kind = self.held_changes.is_empty() || self.held_changes.contains(&change.kind);
        holds_kind && self.scope.touches(change)
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

/// Checks changes against the active windows; `has_reductions`: there are others in the batch that reduce the topology.
///
/// # Errors
/// Names the first window that holds one of them.
pub fn check_changes(
    active_windows: &BTreeMap<String, ActiveWindow>,
    break_glass_override: Option<&BreakGlassOverride>,
    changes: &[ResourceChange],
    has_reductions: bool,
) -> Result<(), FreezeError> {
    for change in changes {
        if break_glass_override.is_some_and(|allowed| allowed.scope.covers(change)) {
            continue;
        }
        let holding = active_windows
            .iter()
            .find(|(_, window)| window.is_holding(change));
        let Some((name, window)) = holding else {
            continue;
        };
        if has_reductions {
            return Err(FreezeError::MixedBatch(name.clone()));
        }
        return Err(FreezeError::Held {
            window: name.clone(),
            until_ms: window.until_ms,
            kind: change.kind,
            reason: window.reason.clone(),
            owner: window.owner.clone(),
        });
    }
    Ok(())
}
