//! Classes of messages: effect of a repeat, latency objective, deadline and priority weight.

use super::{Effect, Micros};
use serde::{Deserialize, Serialize};

/// A class of messages, with the terms under which its messages are delivered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Name of the class, unique among the classes of a sender.
    pub name: String,
    /// Effect of a repeated attempt at the destination.
    pub effect: Effect,
    /// Age in microseconds up to which a delivery keeps the full priority weight of its
    /// message.
    #[serde(rename = "aim")]
    pub latency_objective: Micros,
    /// Age in microseconds after which a message is no longer delivered.
    pub deadline: Micros,
    /// Priority weight of one message that is delivered within the latency objective, without a
    /// unit.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Minimum share of the priority weight that a late delivery keeps, from 0 to 1. A linear decay
    /// reaches this share at the deadline.
    pub late_share: f64,
    /// True if messages of one key are delivered one at a time, in the order in which they were
    /// accepted.
    pub ordered: bool,
}

impl Class {
    /// Creates an unordered class of priority weight 1 whose late share is 0. `latency_objective`
    /// and `deadline` are in microseconds.
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

    /// Returns the share of the priority weight, from 0 to 1, that a delivery keeps at the message's
    /// `age` in microseconds.
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

/// How the priority weight of a message falls with its age after the latency objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WeightDecay {
    /// The weight falls linearly and reaches the late share at the deadline.
    #[serde(rename = "Even")]
    Linear,
    /// The weight falls by half for each further span of the latency objective, but not below the
    /// late share.
    Halving,
}
