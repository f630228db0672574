//! The state of one split: copying, comparing, and how it ended.

use super::comparison::{Disagreement, compare};
use super::error::SplitError;
use super::query::{Query, Rows};
use crate::quotas::{Limit, LimitKey};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Flags that are kept of one split; more are counted.
const FLAGS_MOST: usize = 32;

/// Ended splits that are remembered.
pub(crate) const ENDED_MOST: usize = 16;

/// What a range holds.
pub(crate) type Records = BTreeMap<LimitKey, Limit>;

/// A difference that a rehearsal plants into the children, to see it found. Such a split is never cut over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlantedFault {
    /// A write is lost.
    Lost,
    /// It is in both children.
    Doubled,
    /// It is in the wrong one.
    WrongSide,
    /// A child has an older value.
    Stale,
    /// The children answer in the wrong order.
    Order,
}

/// A split under way.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Split {
    /// The range's first place.
    pub first: u64,
    /// The first place of the second child.
    pub at: u64,
    /// What a rehearsal plants.
    pub planted_fault: Option<PlantedFault>,
    /// The two sides of the children.
    pub(crate) children: [Records; 2],
    /// Keys up to here have been copied; none: nothing has.
    pub(crate) copied: Option<LimitKey>,
    /// All have been.
    pub copied_all: bool,
    /// Keys up to here have been compared.
    pub(crate) compared: Option<LimitKey>,
    /// All have been, by the walk.
    pub compared_all: bool,
    /// Queries that were read on both sides.
    pub queries: u64,
    /// Queries that were not, since the keeper had other work.
    pub not_compared: u64,
    /// Flags, the first ones of them.
    pub disagreements: Vec<Disagreement>,
    /// How many there were.
    pub disagreement_count: u64,
}

/// A split that has ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FinishedSplit {
    /// The range's first place.
    pub first: u64,
    /// Where it was to be split.
    pub at: u64,
    /// Why it was undone; none: it was cut over.
    #[serde(rename = "undone")]
    pub rolled_back_because: Option<SplitError>,
    /// Queries compared, and not compared.
    pub queries: [u64; 2],
    /// Flags, the first ones of them.
    #[serde(rename = "flags")]
    pub disagreements: Vec<Disagreement>,
    /// How many there were.
    #[serde(rename = "flagged")]
    pub disagreement_count: u64,
}

impl Split {
    /// One that begins.
    pub(crate) fn new(first: u64, at: u64, plant: Option<PlantedFault>) -> Self {
        Split {
            first,
            at,
            planted_fault: plant,
            children: Default::default(),
            copied: None,
            copied_all: false,
            compared: None,
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
        self.copied_all || self.copied.as_ref().is_some_and(|copied| key <= copied)
    }

    /// Copies the next keys of the parent.
    pub(crate) fn copy(&mut self, parent: &Records, count: usize) {
        let after = |(key, _): &(&LimitKey, &Limit)| {
            self.copied.as_ref().is_none_or(|copied| *key > copied)
        };
        let next: Vec<(LimitKey, Limit)> = parent
            .iter()
            .filter(after)
            .take(count)
            .map(|(key, limit)| (key.clone(), *limit))
            .collect();
        self.copied_all = next.len() < count;
        for (key, limit) in next {
            self.copied = Some(key.clone());
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
    pub(crate) fn read(&self, query: &Query) -> Rows {
        query.answer(self.merged())
    }

    /// Whether queries can be read on both sides.
    pub fn reads_both(&self) -> bool {
        self.copied_all
    }

    /// Compares one key, and on which side it lies: as the walk comes to it, and again with each write after that, so that what
    /// was compared stays compared.
    pub(crate) fn look(&mut self, parent: &Records, key: &LimitKey, fence: u64) {
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
        if let Some(flag) = compare(None, &rows(parent), &children, fence) {
            self.flag(flag);
        }
    }

    /// Compares the next keys.
    pub(crate) fn walk(&mut self, parent: &Records, count: usize, fence: u64) {
        let after = |key: &LimitKey| self.compared.as_ref().is_none_or(|compared| key > compared);
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
        keys.iter().for_each(|key| self.look(parent, key, fence));
        self.compared_all = keys.len() < count;
        self.compared = keys.into_iter().next_back().or(self.compared.take());
    }

    /// Keeps a flag.
    pub(crate) fn flag(&mut self, flag: Disagreement) {
        self.disagreement_count += 1;
        if self.disagreements.len() < FLAGS_MOST {
            self.disagreements.push(flag);
        }
    }

    /// Whether it may be cut over.
    pub fn is_proven(&self) -> bool {
        self.copied_all
            && self.compared_all
            && self.disagreement_count == 0
            && self.planted_fault.is_none()
    }

    /// How it ended.
    pub(crate) fn ended(self, undone: Option<SplitError>) -> FinishedSplit {
        let queries = [self.queries, self.not_compared];
        let Split {
            first,
            at,
            disagreements: flags,
            disagreement_count: flagged,
            ..
        } = self;
        FinishedSplit {
            first,
            at,
            rolled_back_because: undone,
            queries,
            disagreements: flags,
            disagreement_count: flagged,
        }
    }
}
