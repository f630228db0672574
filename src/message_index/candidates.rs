//! The candidates of one turn, the most urgent first.

use super::group_order::Rank;
use super::index::GroupSide;
use crate::interface::DestinationId;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};

/// A message that may be sent, and where it is the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    pub rank: Rank,
    pub group_side: GroupSide,
}

impl Ord for Candidate {
    fn cmp(&self, other: &Self) -> Ordering {
        // the greatest comes out of a heap first
        other.rank.cmp(&self.rank)
    }
}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// The candidates of one turn, the most urgent first.
#[derive(Debug, Default)]
pub struct Candidates {
    heap: BinaryHeap<Candidate>,
    /// Where nothing can be sent for now.
    skipped: BTreeMap<DestinationId, Vec<GroupSide>>,
}

impl Candidates {
    /// Adds a candidate, if there is one.
    pub fn push(&mut self, candidate: Option<Candidate>) {
        self.heap.extend(candidate);
    }

    /// The next whose group is not skipped.
    pub fn pop(&mut self) -> Option<Candidate> {
        loop {
            let candidate = self.heap.pop()?;
            let group_side = candidate.group_side;
            let Some(skipped) = self.skipped.get_mut(&group_side.destination) else {
                return Some(candidate);
            };
            if skipped.iter().all(|other| other.group != group_side.group) {
                return Some(candidate);
            }
            skipped.push(group_side);
        }
    }

    /// Skips a group until something is sent to its destination.
    pub fn skip(&mut self, group_side: GroupSide) {
        let skipped = self.skipped.entry(group_side.destination).or_default();
        skipped.push(group_side);
    }

    /// What was skipped of a destination so far; it is no longer.
    pub fn take_skipped(&mut self, destination: DestinationId) -> Vec<GroupSide> {
        self.skipped.remove(&destination).unwrap_or_default()
    }
}
