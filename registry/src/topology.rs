//! What a change of the list, the rules or the limits means to a freeze: what widens, and whether anything is relieved.

use crate::state::State;
use crate::target::{Standing, Target};
use quota_ledger::freeze::{ChangeKind, FreezeError, ResourceChange};
use quota_ledger::{Limit, LimitKey, Resource};
use std::collections::{BTreeMap, BTreeSet};
use versioned_config::Rules;

type Targets = BTreeMap<String, Target>;

fn concerning(widening: ChangeKind, targets: &[&Target]) -> ResourceChange {
    let zones = targets.iter().map(|target| target.az.clone()).collect();
    let destinations = targets.iter().map(|target| target.pod_group).collect();
    ResourceChange {
        kind: widening,
        zones,
        destinations,
        tenants: Vec::new(),
    }
}

/// What one endpoint's change widens, and whether it relieves.
fn of_target(before: Option<&Target>, after: Option<&Target>) -> (Option<ResourceChange>, bool) {
    let up = |target: &Target| target.state == Standing::Up;
    match (before, after) {
        (None, Some(after)) => (
            up(after).then(|| concerning(ChangeKind::Added, &[after])),
            false,
        ),
        (Some(_), None) => (None, true),
        (Some(before), Some(after))
            if (before.pod_group, &before.az) != (after.pod_group, &after.az) =>
        {
            (Some(concerning(ChangeKind::Moved, &[before, after])), false)
        }
        (Some(before), Some(after)) if !up(before) && up(after) => {
            (Some(concerning(ChangeKind::Restored, &[after])), false)
        }
        (Some(before), Some(after)) => {
            let raised = after.capacity_hint > before.capacity_hint;
            let lowered = after.capacity_hint < before.capacity_hint || up(before) && !up(after);
            (
                raised.then(|| concerning(ChangeKind::Raised, &[after])),
                lowered,
            )
        }
        (None, None) => (None, false),
    }
}

/// Judges a change of the list.
///
/// # Errors
/// A window holds a part of it, or it would leave a destination without an endpoint while none can be added, and it is not
/// forced.
pub fn judge_list(
    state: &State,
    before: &Targets,
    after: &Targets,
    forced: bool,
) -> Result<(), FreezeError> {
    if state.freeze.active_windows().is_empty() {
        return Ok(());
    }
    let uids: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let changes: Vec<_> = uids
        .into_iter()
        .map(|uid| of_target(before.get(uid), after.get(uid)))
        .collect();
    let relieves = changes.iter().any(|(_, relieves)| *relieves);
    let matters: Vec<ResourceChange> = changes
        .into_iter()
        .filter_map(|(matter, _)| matter)
        .collect();
    state.freeze.check_changes(&matters, relieves)?;
    let open = |targets: &Targets| -> BTreeSet<u64> {
        let up = targets
            .values()
            .filter(|target| target.state == Standing::Up);
        up.map(|target| target.pod_group).collect()
    };
    if forced {
        return Ok(());
    }
    for destination in open(before).difference(&open(after)) {
        let added = ResourceChange {
            destinations: vec![*destination],
            ..ResourceChange::of_all(ChangeKind::Added)
        };
        if let Err(FreezeError::Held { window, .. }) = state.freeze.check_changes(&[added], false) {
            return Err(FreezeError::LastEndpoint {
                window,
                destination: *destination,
            });
        }
    }
    Ok(())
}

/// Judges other rules.
///
/// # Errors
/// A window holds them.
pub fn judge_rules(state: &State, rules: &Rules) -> Result<(), FreezeError> {
    let freer = state
        .versions
        .as_ref()
        .is_some_and(|versions| !rules.is_within(versions.target_rules()));
    if freer {
        state
            .freeze
            .check_changes(&[ResourceChange::of_all(ChangeKind::Rules)], false)
    } else {
        Ok(())
    }
}

/// Judges another limit.
///
/// # Errors
/// A window holds it.
pub fn judge_limit(state: &State, key: &LimitKey, limit: Option<Limit>) -> Result<(), FreezeError> {
    let Some(before) = state.ledger.as_ref().and_then(|book| book.limit(key)) else {
        return Ok(()); // a first limit takes from what was free
    };
    if limit.is_some_and(|limit| {
        limit.total <= before.total && limit.expiry_grace_ms <= before.expiry_grace_ms
    }) {
        return Ok(());
    }
    let matter = match key.resource() {
        Resource::Tenant(name) => ResourceChange {
            tenants: vec![name.clone()],
            ..ResourceChange::of_all(ChangeKind::Raised)
        },
        _ => ResourceChange {
            destinations: vec![key.position()],
            ..ResourceChange::of_all(ChangeKind::Raised)
        },
    };
    state.freeze.check_changes(&[matter], false)
}
