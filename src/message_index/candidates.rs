//! The messages that one turn may send, in order of urgency.

use super::group_order::Rank;
use super::index::GroupSide;
use crate::interface::DestinationId;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};

/// A message that may be sent, with the side of a group on which it is the next one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    pub rank: Rank,
    pub group_side: GroupSide,
}

impl Ord for Candidate {
    fn cmp(&self, other: &Self) -> Ordering {
        // reversed: the heap pops its greatest element first, and the lowest rank is the most
        // urgent
        other.rank.cmp(&self.rank)
    }
}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// The messages that one turn may send; [`Candidates::pop`] returns the most urgent one first.
#[derive(Debug, Default)]
pub struct Candidates {
    heap: BinaryHeap<Candidate>,
    /// Group sides whose messages cannot be sent for now, by destination.
    skipped: BTreeMap<DestinationId, Vec<GroupSide>>,
}

impl Candidates {
    /// Adds `candidate`, if it is not `None`.
    pub fn push(&mut self, candidate: Option<Candidate>) {
        self.heap.extend(candidate);
    }

    /// Removes and returns the most urgent candidate whose group is not skipped. More urgent
    /// candidates of skipped groups are removed too; their group sides are recorded, so that
    /// [`Candidates::take_skipped`] returns them.
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

    /// Skips the group of `group_side`: [`Candidates::pop`] does not return its candidates until
    /// [`Candidates::take_skipped`] is called for the destination, after a message was sent there.
    pub fn skip(&mut self, group_side: GroupSide) {
        let skipped = self.skipped.entry(group_side.destination).or_default();
        skipped.push(group_side);
    }

    /// Removes and returns the skipped sides of groups of `destination`, so that their messages can
    /// become candidates again.
    pub fn take_skipped(&mut self, destination: DestinationId) -> Vec<GroupSide> {
        self.skipped.remove(&destination).unwrap_or_default()
    }
}
