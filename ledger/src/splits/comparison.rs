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

/// A disagreement of a shard and its children.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Disagreement {
    /// The query; none: the comparison of all keys found it.
    pub query: Option<Query>,
    /// The first key in which the sides differ, if it is one.
    pub key: Option<LimitKey>,
    /// How they differ.
    pub difference: Difference,
    /// What the parent has of the key.
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
    log_revision: u64,
) -> Option<Disagreement> {
    if parent == children {
        return None;
    }
    let query = query.cloned();
    let keys = parent.iter().chain(children).map(|(key, _)| key);
    for key in keys {
        let of_parent = totals_of(parent, key);
        let of_children = totals_of(children, key);
        if of_parent != of_children {
            return Some(Disagreement {
                query,
                key: key.clone(),
                difference: difference(&of_parent, &of_children),
                parent: of_parent,
                children: of_children,
                log_revision,
            });
        }
    }
    let (out_of_order, _) = parent
        .iter()
        .zip(children)
        .find(|(one, other)| one != other)?;
    Some(Disagreement {
        query,
        key: out_of_order.0.clone(),
        difference: Difference::Order,
        parent: Vec::new(),
        children: Vec::new(),
        log_revision,
    })
}

fn totals_of(rows: &Rows, key: &Option<LimitKey>) -> Vec<u64> {
    rows.iter()
        .filter(|(other, _)| other == key)
        .map(|(_, total)| *total)
        .collect()
}

fn difference(parent: &[u64], children: &[u64]) -> Difference {
    match (parent.len(), children.len()) {
        (0, _) | (_, 0) => Difference::Missing,
        (1, 1) => Difference::Value,
        _ => Difference::Twice,
    }
}
