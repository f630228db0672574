//! What a run will do, drawn ahead from the scenario and one seed: the same seed gives the same schedule.

mod action;
mod faults;

pub use action::{FaultAction, Impairment, Party, ReplicaAction, ScheduledAction, SpoiledAnswers};

use crate::scenario::{FaultError, Scenario};
use crate::workload::{Arrival, draw_arrivals};
use faults::FaultDrawer;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use serde::Serialize;

/// Makes the faults' stream of random numbers another one than the arrivals'.
const FAULT_STREAM: u64 = 0xfa17;

/// The arrivals and faults of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Schedule {
    /// The seed that it was drawn from.
    pub seed: u64,
    /// The messages that clients submit, in order of time.
    pub arrivals: Vec<Arrival>,
    /// What begins and ends the faults, in order of time.
    #[serde(rename = "steps")]
    pub actions: Vec<ScheduledAction>,
}

impl Schedule {
    /// Draws the run.
    ///
    /// # Errors
    /// Names a group that does not exist.
    pub fn draw(scenario: &Scenario, seed: u64) -> Result<Self, FaultError> {
        // arrivals and faults have streams of their own: a further fault moves no arrival
        let arrivals = draw_arrivals(scenario, &mut Pcg64::seed_from_u64(seed));
        let mut faults = FaultDrawer::new(scenario, Pcg64::seed_from_u64(seed ^ FAULT_STREAM));
        for (number, fault) in scenario.faults.iter().enumerate() {
            faults.draw(number, fault.get_ref())?;
        }
        Ok(Schedule {
            seed,
            arrivals,
            actions: faults.finish(),
        })
    }
}

#[cfg(test)]
mod tests;
