//! The state of one split: copying, comparing, and how it ended.

use super::comparison::{Disagreement, compare};
use super::error::SplitError;
use super::query::{Query, Rows};
use crate::quotas::{Limit, LimitKey};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Disagreements that are kept of one split; more are counted.
const MAX_DISAGREEMENTS: usize = 32;

/// Finished splits that are remembered.
pub(crate) const MAX_FINISHED_SPLITS: usize = 16;

/// The limits of a shard.
pub(crate) type Records = BTreeMap<LimitKey, Limit>;

/// A fault that a rehearsal plants into the children, to see it found. Such a split is never cut over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlantedFault {
    /// A write is lost.
    Lost,
    /// A write goes to both children.
    Doubled,
    /// A write goes to the wrong child.
    WrongSide,
    /// A child has an older value.
    Stale,
    /// The children answer in the wrong order.
    Order,
}

/// A split in progress.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Split {
    /// The first position of the shard.
    pub first: u64,
    /// The first position of the second child.
    pub at: u64,
    /// The fault that a rehearsal plants.
    pub planted_fault: Option<PlantedFault>,
    /// The limits of the two children.
    pub(crate) children: [Records; 2],
    /// Keys up to this one have been copied; none: nothing has.
    copied_up_to: Option<LimitKey>,
    /// All keys have been copied.
    pub copied_all: bool,
    /// Keys up to this one have been compared.
    compared_up_to: Option<LimitKey>,
    /// All keys have been compared.
    pub compared_all: bool,
    /// Queries that were read on both sides.
    pub queries: u64,
    /// Queries that were not, since the leader had other work.
    pub not_compared: u64,
    /// The first disagreements.
    pub disagreements: Vec<Disagreement>,
    /// How many there were.
    pub disagreement_count: u64,
}

/// Queries while a split was in progress. Written as a pair of numbers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[u64; 2]", into = "[u64; 2]")]
pub struct QueryCounts {
    /// Queries that were read on both sides.
    pub compared: u64,
    /// Queries that were read on one side alone.
    pub not_compared: u64,
}

impl From<[u64; 2]> for QueryCounts {
    fn from([compared, not_compared]: [u64; 2]) -> Self {
        QueryCounts {
            compared,
            not_compared,
        }
    }
}

impl From<QueryCounts> for [u64; 2] {
    fn from(counts: QueryCounts) -> Self {
        [counts.compared, counts.not_compared]
    }
}

/// A split that was cut over or rolled back.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FinishedSplit {
    /// The first position of the shard.
    pub first: u64,
    /// The first position of the second child.
    pub at: u64,
    /// Why it was rolled back; none: it was cut over.
    #[serde(rename = "undone")]
    pub rolled_back_because: Option<SplitError>,
    /// Queries that were read on both sides, or not.
    pub queries: QueryCounts,
    /// The first disagreements.
    #[serde(rename = "flags")]
    pub disagreements: Vec<Disagreement>,
    /// How many there were.
    #[serde(rename = "flagged")]
    pub disagreement_count: u64,
}

impl Split {
    /// A split that begins.
    pub(crate) fn new(first: u64, at: u64, planted_fault: Option<PlantedFault>) -> Self {
        Split {
            first,
            at,
            planted_fault,
            children: Default::default(),
            copied_up_to: None,
            copied_all: false,
            compared_up_to: None,
            compared_all: false,
            queries: 0,
            not_compared: 0,
            disagreements: Vec::new(),
            disagreement_count: 0,
        }
    }

    fn side(&self, key: &LimitKey) -> usize {
        usize::from(key.position() >= self.at)
    }

    fn is_copied(&self, key: &LimitKey) -> bool {
        self.copied_all
            || self
                .copied_up_to
                .as_ref()
                .is_some_and(|copied| key <= copied)
    }

    /// Copies the next keys of the parent, so many at most.
    pub(crate) fn copy_next(&mut self, parent: &Records, count: usize) {
        let after = |(key, _): &(&LimitKey, &Limit)| {
            self.copied_up_to
                .as_ref()
                .is_none_or(|copied| *key > copied)
        };
        let next: Vec<(LimitKey, Limit)> = parent
            .iter()
            .filter(after)
            .take(count)
            .map(|(key, limit)| (key.clone(), *limit))
            .collect();
        self.copied_all = next.len() < count;
        for (key, limit) in next {
            self.copied_up_to = Some(key.clone());
            let side = self.side(&key);
            self.children[side].insert(key, limit);
        }
    }

    /// A write of the parent goes to its child too, once its key has been copied.
    pub(crate) fn write(&mut self, key: &LimitKey, limit: Option<Limit>) {
        if !self.is_copied(key) {
            return; // it is copied with what is written now
        }
        let side = self.side(key);
        match (self.planted_fault, limit) {
            (Some(PlantedFault::Lost | PlantedFault::Stale), _) => {}
            (Some(PlantedFault::WrongSide), Some(limit)) => {
                self.children[side].remove(key);
                self.children[1 - side].insert(key.clone(), limit);
            }
            (Some(PlantedFault::Doubled), Some(limit)) => {
                for child in &mut self.children {
                    child.insert(key.clone(), limit);
                }
            }
            (_, Some(limit)) => {
                self.children[side].insert(key.clone(), limit);
            }
            (_, None) => {
                self.children[side].remove(key);
            }
        }
    }

    /// The children's records, merged: of one side and then the other, only what belongs there.
    fn merged(&self) -> impl Iterator<Item = (&LimitKey, &Limit)> {
        let [left, right] = &self.children;
        let (first, second) = if self.planted_fault == Some(PlantedFault::Order) {
            (right, left)
        } else {
            (left, right)
        };
        first.iter().chain(second.iter())
    }

    /// The children's answer to a query.
    pub(crate) fn answer(&self, query: &Query) -> Rows {
        query.answer(self.merged())
    }

    /// Whether queries can be read on both sides.
    pub fn is_readable(&self) -> bool {
        self.copied_all
    }

    /// Compares one key, and on which side it lies: in its turn, and again with each write after that, so that what was
    /// compared stays compared.
    pub(crate) fn compare_key(&mut self, parent: &Records, key: &LimitKey, log_revision: u64) {
        if !self.is_copied(key) {
            return;
        }
        let rows = |records: &Records| -> Rows {
            records
                .get(key)
                .map(|limit| (Some(key.clone()), limit.total))
                .into_iter()
                .collect()
        };
        let side = self.side(key);
        let (own, other) = (rows(&self.children[side]), rows(&self.children[1 - side]));
        // in the wrong child it is missing where it belongs, beside the right one it is there twice
        let children = if own.is_empty() {
            own
        } else {
            [own, other].concat()
        };
        if let Some(disagreement) = compare(None, &rows(parent), &children, log_revision) {
            self.record_disagreement(disagreement);
        }
    }

    /// Compares the next keys, so many at most.
    pub(crate) fn compare_next(&mut self, parent: &Records, count: usize, log_revision: u64) {
        let after = |key: &LimitKey| {
            self.compared_up_to
                .as_ref()
                .is_none_or(|compared| key > compared)
        };
        let mut keys: Vec<&LimitKey> = parent
            .keys()
            .chain(self.children.iter().flat_map(Records::keys))
            .collect();
        keys.sort_unstable();
        keys.dedup();
        let keys: Vec<LimitKey> = keys
            .into_iter()
            .filter(|key| after(key))
            .take(count)
            .cloned()
            .collect();
        keys.iter()
            .for_each(|key| self.compare_key(parent, key, log_revision));
        self.compared_all = keys.len() < count;
        self.compared_up_to = keys.into_iter().next_back().or(self.compared_up_to.take());
    }

    /// Counts a disagreement, and keeps it if it is one of the first.
    pub(crate) fn record_disagreement(&mut self, disagreement: Disagreement) {
        self.disagreement_count += 1;
        if self.disagreements.len() < MAX_DISAGREEMENTS {
            self.disagreements.push(disagreement);
        }
    }

    /// Whether it may be cut over.
    pub fn is_proven(&self) -> bool {
        self.copied_all
            && self.compared_all
            && self.disagreement_count == 0
            && self.planted_fault.is_none()
    }

    /// The record of a split that was rolled back for this reason; none: it was cut over.
    pub(crate) fn finish(self, rolled_back_because: Option<SplitError>) -> FinishedSplit {
        FinishedSplit {
            first: self.first,
            at: self.at,
            rolled_back_because,
            queries: QueryCounts {
                compared: self.queries,
                not_compared: self.not_compared,
            },
            disagreements: self.disagreements,
            disagreement_count: self.disagreement_count,
        }
    }
}
