//! Classes of message: what a repeat does, the deadline and the priority.

use super::{Effect, Micros};
use serde::{Deserialize, Serialize};

/// A class of message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Its name, unique among the classes.
    pub name: String,
    /// What a repeat does.
    pub effect: Effect,
    /// A message keeps its full priority weight when delivered within this time.
    #[serde(rename = "aim")]
    pub latency_objective: Micros,
    /// No longer delivered after this time.
    pub deadline: Micros,
    /// Priority weight of one message.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Share of the priority weight that is left at the deadline.
    pub late_share: f64,
    /// Messages of one key go one at a time, in order.
    pub ordered: bool,
}

impl Class {
    /// A class of priority weight 1 that keeps none of it after the latency objective and asks for no order.
    pub fn new(name: &str, effect: Effect, latency_objective: Micros, deadline: Micros) -> Self {
        Class {
            name: name.to_string(),
            effect,
            latency_objective,
            deadline,
            priority_weight: 1.0,
            late_share: 0.0,
            ordered: false,
        }
    }

    /// Share of the priority weight that a delivery at this age still has.
    pub fn remaining_weight(&self, age: Micros, decay: WeightDecay) -> f64 {
        let late = (age - self.latency_objective) as f64;
        let remaining = match decay {
            WeightDecay::Halving => 0.5f64.powf(late / self.latency_objective as f64),
            WeightDecay::Linear => {
                let late_span = (self.deadline - self.latency_objective).max(1);
                1.0 - (1.0 - self.late_share) * late / late_span as f64
            }
        };
        remaining.min(1.0).max(self.late_share)
    }
}

/// How the priority weight falls after the latency objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WeightDecay {
    /// Evenly, down to the late share at the deadline.
    #[serde(rename = "Even")]
    Linear,
    /// By half with each further latency objective, not under the late share.
    Halving,
}
