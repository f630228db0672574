//! Storage for the last values of a measurement.

use crate::interface::Micros;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Last values of a measurement, oldest first.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Samples(VecDeque<Micros>);

impl Samples {
    /// Adds a value, and drops the oldest so that at most `max_count` remain.
    pub fn push(&mut self, value: Micros, max_count: usize) {
        self.0.push_back(value);
        while self.0.len() > max_count {
            self.0.pop_front();
        }
    }

    /// Drops the values at the front that are `end` or less.
    pub fn drop_until(&mut self, end: Micros) {
        while self.0.front().is_some_and(|&value| value <= end) {
            self.0.pop_front();
        }
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns the value below which `numerator / denominator` of all values lie; `None` if there
    /// are no values.
    pub fn quantile(&self, numerator: usize, denominator: usize) -> Option<Micros> {
        let mut sorted: Vec<Micros> = self.0.iter().copied().collect();
        sorted.sort_unstable();
        let last = sorted.len().saturating_sub(1);
        let position = (sorted.len() * numerator / denominator).min(last);
        sorted.get(position).copied()
    }
}
