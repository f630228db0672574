//! What the model checks of leases share: the size of a model, the clocks of its senders, and the search of all states.

use stateright::{Checker, HasDiscoveries, Model};
use std::collections::BTreeSet;
use std::hash::Hash;
use versioned_config::Micros;

/// On a sender's clock; one that runs slow by the bound takes twice as long.
pub const LEASE: Micros = 1;
/// The bound on a clock's drift over a lease.
pub const DRIFT: Micros = 1;

/// A sender's clock: the first one's runs slow by the bound.
pub fn sender_clock(sender: usize, now: Micros) -> Micros {
    if sender == 0 {
        now * LEASE / (LEASE + DRIFT)
    } else {
        now
    }
}

/// Visits every reachable state until a property fails: how many states, and the properties that were discovered.
pub fn explore<M>(model: M) -> (usize, BTreeSet<&'static str>)
where
    M: Model + Send + Sync + 'static,
    M::State: Hash + Send + Sync + 'static,
{
    let threads = std::thread::available_parallelism().map_or(2, usize::from);
    // one that breaks is found and no more is asked
    let checker = model
        .checker()
        .threads(threads)
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_dfs()
        .join();
    (
        checker.unique_state_count(),
        checker.discoveries().into_keys().collect(),
    )
}
