//! Changes of the endpoint list: all changes of a command make one version, or none of them is made.

use super::command::{BootProblem, CommandError, EndpointChange, ListChange, TooMany};
use super::{MAX_ENDPOINTS, State};
use crate::endpoint::{Endpoint, EndpointState};
use crate::topology::check_list_change;
use std::collections::BTreeMap;

/// Endpoints by name.
pub type Endpoints = BTreeMap<String, Endpoint>;

impl State {
    /// Changes the list. `forced` lets a destination's last endpoint go during a freeze.
    pub(super) fn change_list(
        &mut self,
        if_match: Option<u64>,
        changes: &[ListChange],
        forced: bool,
    ) -> Result<Vec<EndpointChange>, CommandError> {
        if let Some(wanted) = if_match.filter(|wanted| *wanted != self.rev) {
            return Err(CommandError::Version {
                now: self.rev,
                wanted,
            });
        }
        if changes.len() > MAX_ENDPOINTS {
            return Err(TooMany::Changes.into());
        }
        let mut endpoints = self.endpoints.clone();
        changes
            .iter()
            .try_for_each(|change| change.apply(&mut endpoints))?;
        if endpoints.len() > MAX_ENDPOINTS {
            return Err(TooMany::Endpoints.into());
        }
        check_list_change(&self.freeze, &self.endpoints, &endpoints, forced)?;
        let changed = difference(&self.endpoints, &endpoints);
        self.endpoints = endpoints;
        // the same write again makes no version
        self.rev += u64::from(!changed.is_empty());
        Ok(changed)
    }
}

/// The endpoints that were added or changed, then those that were removed, each in order of names.
fn difference(before: &Endpoints, after: &Endpoints) -> Vec<EndpointChange> {
    let change = |uid: &String, endpoint: &Endpoint, removed| EndpointChange {
        uid: uid.clone(),
        endpoint: endpoint.clone(),
        removed,
    };
    let put = after
        .iter()
        .filter(|(uid, endpoint)| before.get(*uid) != Some(endpoint));
    let removed = before.iter().filter(|(uid, _)| !after.contains_key(*uid));
    put.map(|(uid, endpoint)| change(uid, endpoint, false))
        .chain(removed.map(|(uid, endpoint)| change(uid, endpoint, true)))
        .collect()
}

impl ListChange {
    fn apply(&self, endpoints: &mut Endpoints) -> Result<(), CommandError> {
        let unknown = |uid: &String| CommandError::UnknownEndpoint(uid.clone());
        match self {
            ListChange::Put { uid, endpoint } => {
                endpoint.validate(uid)?;
                if let Some(before) = endpoints.get(uid) {
                    check_start(uid, before, endpoint)?;
                }
                endpoints.insert(uid.clone(), endpoint.clone());
            }
            ListChange::Drain { uid } => {
                let endpoint = endpoints.get_mut(uid).ok_or_else(|| unknown(uid))?;
                endpoint.state = EndpointState::Draining;
            }
            ListChange::Remove { uid } => {
                endpoints.remove(uid).ok_or_else(|| unknown(uid))?;
            }
        }
        Ok(())
    }
}

/// Checks that a put does not undo a drain, nor replaces an endpoint by an earlier start of it.
fn check_start(uid: &str, before: &Endpoint, after: &Endpoint) -> Result<(), CommandError> {
    let stale = |problem| CommandError::StaleBoot {
        uid: uid.to_string(),
        problem,
    };
    let returns = before.state == EndpointState::Draining && after.state == EndpointState::Up;
    if returns && after.boot_ms <= before.boot_ms {
        return Err(stale(BootProblem::Draining));
    }
    if before.boot_ms > after.boot_ms {
        return Err(stale(BootProblem::StartedLater));
    }
    Ok(())
}
