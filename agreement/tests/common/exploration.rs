//! Shared parts of the model checks of leases: the duration of a lease, the clocks of the senders,
//! and the search through all reachable states.

use stateright::{Checker, HasDiscoveries, Model};
use std::collections::BTreeSet;
use std::hash::Hash;
use versioned_config::Micros;

/// Duration of a lease in ticks of the sender's clock. On a clock that runs slow by the bound this
/// takes twice as many ticks of the registry's clock.
pub const LEASE: Micros = 1;
/// Maximum number of ticks by which a lease may last longer on the registry's clock than on the
/// sender's, which may run slow.
pub const DRIFT: Micros = 1;

/// Returns the time on a sender's clock when the registry's clock shows `now`. The clock of sender
/// 0 runs slow by the bound; the clocks of the others show the registry's time.
pub fn sender_clock(sender: usize, now: Micros) -> Micros {
    if sender == 0 {
        now * LEASE / (LEASE + DRIFT)
    } else {
        now
    }
}

/// Visits every reachable state until a property fails. Returns the number of distinct states and
/// the names of the discovered properties: `always` that failed, and `sometimes` that held in a
/// state.
pub fn explore<M>(model: M) -> (usize, BTreeSet<&'static str>)
where
    M: Model + Send + Sync + 'static,
    M::State: Hash + Send + Sync + 'static,
{
    let threads = std::thread::available_parallelism().map_or(2, usize::from);
    // the first property that fails ends the search
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
