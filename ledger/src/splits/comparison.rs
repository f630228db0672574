//! The comparison of what a shard and its children answer.

use super::query::{Query, Rows};
use crate::quotas::LimitKey;
use serde::{Deserialize, Serialize};

/// How two sides differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Difference {
    /// One side lacks it.
    Missing,
    /// One side has it twice.
    Twice,
    /// The values differ.
    Value,
    /// The same, in another order.
    Order,
}

/// A disagreement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Disagreement {
    /// The question; none: the walk over all keys found it.
    pub query: Option<Query>,
    /// The first key in which the sides differ, if it is one.
    pub key: Option<LimitKey>,
    /// How.
    pub difference: Difference,
    /// What the parent has of it.
    pub parent: Vec<u64>,
    /// What the children have of it, merged.
    pub children: Vec<u64>,
    /// The point of the log at which both were read.
    #[serde(rename = "fence")]
    pub log_revision: u64,
}

/// Compares two answers; none where they are the same.
pub fn compare(
    query: Option<&Query>,
    parent: &Rows,
    children: &Rows,
    fence: u64,
) -> Option<Disagreement> {
    if parent == children {
        return None;
    }
    let of = |rows: &Rows, key: &Option<LimitKey>| -> Vec<u64> {
        rows.iter()
            .filter(|(other, _)| other == key)
            .map(|(_, total)| *total)
            .collect()
    };
    let keys = parent.iter().chain(children).map(|(key, _)| key);
    let differing = keys
        .map(|key| (key, of(parent, key), of(children, key)))
        .find(|(_, one, other)| one != other);
    let query = query.cloned();
    Some(match differing {
        None => {
            let (key, _) = parent
                .iter()
                .zip(children)
                .find(|(one, other)| one != other)?
                .0;
            let (parent, children) = (Vec::new(), Vec::new());
            Disagreement {
                query,
                key: key.clone(),
                difference: Difference::Order,
                parent,
                children,
                log_revision: fence,
            }
        }
        Some((key, parent, children)) => {
            let difference = match (parent.len(), children.len()) {
                (0, _) | (_, 0) => Difference::Missing,
                (1, 1) => Difference::Value,
                _ => Difference::Twice,
            };
            Disagreement {
                query,
                key: key.clone(),
                difference,
                parent,
                children,
                log_revision: fence,
            }
        }
    })
}
