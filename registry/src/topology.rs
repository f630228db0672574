//! What a change of the list, the rules or the limits means to a freeze: what widens, and whether anything is relieved.

use crate::state::State;
use crate::target::{Standing, Target};
use quota_ledger::freeze::{FreezeError, Matter, Widening};
use quota_ledger::{Key, Limit, What};
use std::collections::{BTreeMap, BTreeSet};
use versioned_config::Rules;

type Targets = BTreeMap<String, Target>;

fn concerning(widening: Widening, targets: &[&Target]) -> Matter {
    let zones = targets.iter().map(|target| target.az.clone()).collect();
    let destinations = targets.iter().map(|target| target.pod_group).collect();
    Matter {
        widening,
        zones,
        destinations,
        tenants: Vec::new(),
    }
}

/// What one endpoint's change widens, and whether it relieves.
fn of_target(before: Option<&Target>, after: Option<&Target>) -> (Option<Matter>, bool) {
    let up = |target: &Target| target.state == Standing::Up;
    match (before, after) {
        (None, Some(after)) => (
            up(after).then(|| concerning(Widening::Added, &[after])),
            false,
        ),
        (Some(_), None) => (None, true),
        (Some(before), Some(after))
            if (before.pod_group, &before.az) != (after.pod_group, &after.az) =>
        {
            (Some(concerning(Widening::Moved, &[before, after])), false)
        }
        (Some(before), Some(after)) if !up(before) && up(after) => {
            (Some(concerning(Widening::Back, &[after])), false)
        }
        (Some(before), Some(after)) => {
            let raised = after.capacity_hint > before.capacity_hint;
            let lowered = after.capacity_hint < before.capacity_hint || up(before) && !up(after);
            (
                raised.then(|| concerning(Widening::Raised, &[after])),
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
    if state.freeze.on().is_empty() {
        return Ok(());
    }
    let uids: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let changes: Vec<_> = uids
        .into_iter()
        .map(|uid| of_target(before.get(uid), after.get(uid)))
        .collect();
    let relieves = changes.iter().any(|(_, relieves)| *relieves);
    let matters: Vec<Matter> = changes
        .into_iter()
        .filter_map(|(matter, _)| matter)
        .collect();
    state.freeze.judge(&matters, relieves)?;
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
        let added = Matter {
            destinations: vec![*destination],
            ..Matter::of_all(Widening::Added)
        };
        if let Err(FreezeError::Held { window, .. }) = state.freeze.judge(&[added], false) {
            return Err(FreezeError::Last {
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
        .is_some_and(|versions| !rules.within(versions.new_rules()));
    if freer {
        state
            .freeze
            .judge(&[Matter::of_all(Widening::Rules)], false)
    } else {
        Ok(())
    }
}

/// Judges another limit.
///
/// # Errors
/// A window holds it.
pub fn judge_limit(state: &State, key: &Key, limit: Option<Limit>) -> Result<(), FreezeError> {
    let Some(before) = state.ledger.as_ref().and_then(|book| book.limit(key)) else {
        return Ok(()); // a first limit takes from what was free
    };
    if limit.is_some_and(|limit| limit.total <= before.total && limit.linger_ms <= before.linger_ms)
    {
        return Ok(());
    }
    let matter = match key.what() {
        What::Tenant(name) => Matter {
            tenants: vec![name.clone()],
            ..Matter::of_all(Widening::Raised)
        },
        _ => Matter {
            destinations: vec![key.place()],
            ..Matter::of_all(Widening::Raised)
        },
    };
    state.freeze.judge(&[matter], false)
}
