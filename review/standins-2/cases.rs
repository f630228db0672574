//! The cases, one module each.

mod drain_late_connection;
mod drain_moved_discovery;
mod drain_silent_agent;
mod late_notice;
mod retuned_effect;

use crate::Verdict;
use crate::world::World;

pub fn play(case: &str, world: &World) -> Verdict {
    match case {
        "drain_late_connection" => drain_late_connection::play(world),
        "drain_moved_discovery" => drain_moved_discovery::play(world),
        "drain_silent_agent" => drain_silent_agent::play(world),
        "late_notice" => late_notice::play(world),
        "retuned_effect" => retuned_effect::play(world),
        _ => Verdict::CouldNotRun(format!("no case {case}")),
    }
}
