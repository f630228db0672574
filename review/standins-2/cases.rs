//! The cases, one module each.

mod drain_late_connection;
mod drain_moved_discovery;

use crate::Verdict;
use crate::world::World;

pub fn play(case: &str, world: &World) -> Verdict {
    match case {
        "drain_late_connection" => drain_late_connection::play(world),
        "drain_moved_discovery" => drain_moved_discovery::play(world),
        _ => Verdict::CouldNotRun(format!("no case {case}")),
    }
}
