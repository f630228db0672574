//! Which change of the topology an entry of an endpoint list is.

use super::change::{ChangeKind, ResourceChange};

/// An endpoint as a list has it, as far as a freeze looks at it.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointSnapshot {
    /// It takes calls.
    pub up: bool,
    /// Its destination.
    pub destination: u64,
    /// Its zone.
    pub zone: String,
    /// Its weight.
    pub weight: f64,
}

/// What a list's entry widens against what is known of the endpoint; none: it widens nothing.
pub fn resource_change(
    before: Option<&EndpointSnapshot>,
    after: &EndpointSnapshot,
) -> Option<ResourceChange> {
    let of = |widening| {
        let mut matter = ResourceChange::of_all(widening);
        for seen in before.into_iter().chain([after]) {
            matter.zones.push(seen.zone.clone());
            matter.destinations.push(seen.destination);
        }
        matter
    };
    match before {
        _ if !after.up => None,
        None => Some(of(ChangeKind::Added)),
        Some(before) if (before.destination, &before.zone) != (after.destination, &after.zone) => {
            Some(of(ChangeKind::Moved))
        }
        Some(before) if !before.up => Some(of(ChangeKind::Restored)),
        Some(before) => (after.weight > before.weight).then(|| of(ChangeKind::Raised)),
    }
}

#[cfg(test)]
mod tests;
