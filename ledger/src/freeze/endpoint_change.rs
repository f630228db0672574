//! Which change of the topology an entry of an endpoint list is.

use super::change::{ChangeKind, ResourceChange};

/// An endpoint as a list has it, as far as a freeze looks at it.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointSnapshot {
    /// Whether it takes calls.
    pub up: bool,
    /// Its destination.
    pub destination: u64,
    /// Its zone.
    pub zone: String,
    /// Its weight.
    pub weight: f64,
}

/// The change that a list's entry is against what is known of the endpoint; none: it does not expand the topology.
pub fn resource_change(
    before: Option<&EndpointSnapshot>,
    after: &EndpointSnapshot,
) -> Option<ResourceChange> {
    let change = |kind| {
        let mut change = ResourceChange::of_all(kind);
        for endpoint in before.into_iter().chain([after]) {
            change.zones.push(endpoint.zone.clone());
            change.destinations.push(endpoint.destination);
        }
        change
    };
    match before {
        _ if !after.up => None,
        None => Some(change(ChangeKind::Added)),
        Some(before) if (before.destination, &before.zone) != (after.destination, &after.zone) => {
            Some(change(ChangeKind::Moved))
        }
        Some(before) if !before.up => Some(change(ChangeKind::Restored)),
        Some(before) => (after.weight > before.weight).then(|| change(ChangeKind::Raised)),
    }
}

#[cfg(test)]
mod tests;
