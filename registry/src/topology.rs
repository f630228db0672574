//! Which changes of the endpoint list, the rules and the limits a freeze window holds. A change is held where it widens
//! something that a window covers; relief is let through.

use crate::endpoint::{Endpoint, EndpointState};
use crate::state::Endpoints;
use quota_ledger::freeze::{ChangeKind, FreezeError, FreezeState, ResourceChange};
use quota_ledger::{LedgerState, Limit, LimitKey, Resource};
use std::collections::BTreeSet;
use versioned_config::{Rules, VersionedRules};

/// What the change of one endpoint means to a freeze.
#[derive(Default)]
struct Effect {
    /// What it widens.
    widens: Option<ResourceChange>,
    /// Whether it takes load off the destination.
    relieves: bool,
}

impl Effect {
    fn widens(widening: ChangeKind, endpoints: &[&Endpoint]) -> Self {
        let matter = ResourceChange {
            kind: widening,
            zones: endpoints
                .iter()
                .map(|endpoint| endpoint.az.clone())
                .collect(),
            destinations: endpoints
                .iter()
                .map(|endpoint| endpoint.pod_group)
                .collect(),
            tenants: Vec::new(),
        };
        Effect {
            widens: Some(matter),
            relieves: false,
        }
    }

    fn of_change(before: Option<&Endpoint>, after: Option<&Endpoint>) -> Self {
        match (before, after) {
            (None, None) => Effect::default(),
            (None, Some(after)) if is_up(after) => Effect::widens(ChangeKind::Added, &[after]),
            (None, Some(_)) => Effect::default(),
            (Some(_), None) => Effect {
                widens: None,
                relieves: true,
            },
            (Some(before), Some(after)) => Effect::of_update(before, after),
        }
    }

    fn of_update(before: &Endpoint, after: &Endpoint) -> Self {
        if (before.pod_group, &before.az) != (after.pod_group, &after.az) {
            return Effect::widens(ChangeKind::Moved, &[before, after]);
        }
        if !is_up(before) && is_up(after) {
            return Effect::widens(ChangeKind::Restored, &[after]);
        }
        let drains = is_up(before) && !is_up(after);
        let relieves = after.capacity_hint < before.capacity_hint || drains;
        if after.capacity_hint > before.capacity_hint {
            return Effect {
                relieves,
                ..Effect::widens(ChangeKind::Raised, &[after])
            };
        }
        Effect {
            widens: None,
            relieves,
        }
    }
}

fn is_up(endpoint: &Endpoint) -> bool {
    endpoint.state == EndpointState::Up
}

/// Destinations that have an endpoint that is up.
fn served_destinations(endpoints: &Endpoints) -> BTreeSet<u64> {
    let up = endpoints.values().filter(|endpoint| is_up(endpoint));
    up.map(|endpoint| endpoint.pod_group).collect()
}

/// Checks a change of the endpoint list.
///
/// # Errors
/// A window holds a part of it; or it is not `forced`, and takes the last endpoint of a destination while none can be added.
pub fn check_list_change(
    freeze: &FreezeState,
    before: &Endpoints,
    after: &Endpoints,
    forced: bool,
) -> Result<(), FreezeError> {
    if freeze.active_windows().is_empty() {
        return Ok(());
    }
    let uids: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let effects: Vec<Effect> = uids
        .into_iter()
        .map(|uid| Effect::of_change(before.get(uid), after.get(uid)))
        .collect();
    let relieves = effects.iter().any(|effect| effect.relieves);
    let widened: Vec<ResourceChange> = effects
        .into_iter()
        .filter_map(|effect| effect.widens)
        .collect();
    freeze.check_changes(&widened, relieves)?;
    if forced {
        return Ok(());
    }
    for destination in served_destinations(before).difference(&served_destinations(after)) {
        check_last_endpoint(freeze, *destination)?;
    }
    Ok(())
}

/// Checks that an endpoint could be added to a destination that loses its last one.
fn check_last_endpoint(freeze: &FreezeState, destination: u64) -> Result<(), FreezeError> {
    let added = ResourceChange {
        destinations: vec![destination],
        ..ResourceChange::of_all(ChangeKind::Added)
    };
    match freeze.check_changes(&[added], false) {
        Err(FreezeError::Held { window, .. }) => Err(FreezeError::LastEndpoint {
            window,
            destination,
        }),
        _ => Ok(()),
    }
}

/// Checks a change of the rules: only rules that allow more than the current ones widen anything.
///
/// # Errors
/// A window holds it.
pub fn check_rules_change(
    freeze: &FreezeState,
    versions: Option<&VersionedRules>,
    rules: &Rules,
) -> Result<(), FreezeError> {
    match versions {
        Some(versions) if !rules.is_within(versions.target_rules()) => {
            freeze.check_changes(&[ResourceChange::of_all(ChangeKind::Rules)], false)
        }
        _ => Ok(()),
    }
}

/// Checks a change of a limit. A first limit takes from what was unlimited, and so widens nothing.
///
/// # Errors
/// A window holds it.
pub fn check_limit_change(
    freeze: &FreezeState,
    ledger: Option<&LedgerState>,
    key: &LimitKey,
    limit: Option<Limit>,
) -> Result<(), FreezeError> {
    let Some(before) = ledger.and_then(|ledger| ledger.limit(key)) else {
        return Ok(());
    };
    let lowers = |limit: Limit| {
        limit.total <= before.total && limit.expiry_grace_ms <= before.expiry_grace_ms
    };
    if limit.is_some_and(lowers) {
        return Ok(());
    }
    let raised = ResourceChange::of_all(ChangeKind::Raised);
    let matter = match key.resource() {
        Resource::Tenant(name) => ResourceChange {
            tenants: vec![name.clone()],
            ..raised
        },
        _ => ResourceChange {
            destinations: vec![key.position()],
            ..raised
        },
    };
    freeze.check_changes(&[matter], false)
}
