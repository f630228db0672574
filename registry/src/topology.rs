//! Which changes of the endpoint list, the rules and the limits a freeze window holds. A change is held where it widens
//! something that a window covers; relief is let through.

use crate::endpoint::{Endpoint, EndpointState};
use crate::state::Endpoints;
use quota_ledger::freeze::{Freeze, FreezeError, Matter, Widening};
use quota_ledger::{Book, Key, Limit, What};
use std::collections::BTreeSet;
use versioned_config::{Rules, Versions};

/// What the change of one endpoint means to a freeze.
#[derive(Default)]
struct Effect {
    /// What it widens.
    widens: Option<Matter>,
    /// Whether it takes load off the destination.
    relieves: bool,
}

impl Effect {
    fn widens(widening: Widening, endpoints: &[&Endpoint]) -> Self {
        let matter = Matter {
            widening,
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
            (None, Some(after)) if is_up(after) => Effect::widens(Widening::Added, &[after]),
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
            return Effect::widens(Widening::Moved, &[before, after]);
        }
        if !is_up(before) && is_up(after) {
            return Effect::widens(Widening::Back, &[after]);
        }
        let drains = is_up(before) && !is_up(after);
        let relieves = after.capacity_hint < before.capacity_hint || drains;
        if after.capacity_hint > before.capacity_hint {
            return Effect {
                relieves,
                ..Effect::widens(Widening::Raised, &[after])
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
    freeze: &Freeze,
    before: &Endpoints,
    after: &Endpoints,
    forced: bool,
) -> Result<(), FreezeError> {
    if freeze.on().is_empty() {
        return Ok(());
    }
    let uids: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let effects: Vec<Effect> = uids
        .into_iter()
        .map(|uid| Effect::of_change(before.get(uid), after.get(uid)))
        .collect();
    let relieves = effects.iter().any(|effect| effect.relieves);
    let widened: Vec<Matter> = effects
        .into_iter()
        .filter_map(|effect| effect.widens)
        .collect();
    freeze.judge(&widened, relieves)?;
    if forced {
        return Ok(());
    }
    for destination in served_destinations(before).difference(&served_destinations(after)) {
        check_last_endpoint(freeze, *destination)?;
    }
    Ok(())
}

/// Checks that an endpoint could be added to a destination that loses its last one.
fn check_last_endpoint(freeze: &Freeze, destination: u64) -> Result<(), FreezeError> {
    let added = Matter {
        destinations: vec![destination],
        ..Matter::of_all(Widening::Added)
    };
    match freeze.judge(&[added], false) {
        Err(FreezeError::Held { window, .. }) => Err(FreezeError::Last {
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
    freeze: &Freeze,
    versions: Option<&Versions>,
    rules: &Rules,
) -> Result<(), FreezeError> {
    match versions {
        Some(versions) if !rules.within(versions.new_rules()) => {
            freeze.judge(&[Matter::of_all(Widening::Rules)], false)
        }
        _ => Ok(()),
    }
}

/// Checks a change of a limit. A first limit takes from what was unlimited, and so widens nothing.
///
/// # Errors
/// A window holds it.
pub fn check_limit_change(
    freeze: &Freeze,
    ledger: Option<&Book>,
    key: &Key,
    limit: Option<Limit>,
) -> Result<(), FreezeError> {
    let Some(before) = ledger.and_then(|ledger| ledger.limit(key)) else {
        return Ok(());
    };
    let lowers = |limit: Limit| limit.total <= before.total && limit.linger_ms <= before.linger_ms;
    if limit.is_some_and(lowers) {
        return Ok(());
    }
    let raised = Matter::of_all(Widening::Raised);
    let matter = match key.what() {
        What::Tenant(name) => Matter {
            tenants: vec![name.clone()],
            ..raised
        },
        _ => Matter {
            destinations: vec![key.place()],
            ..raised
        },
    };
    freeze.judge(&[matter], false)
}
