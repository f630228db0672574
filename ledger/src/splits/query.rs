//! Queries over the limits of all shards, and their rows.

use crate::quotas::{Limit, LimitKey};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A question that may span ranges.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Query {
    /// All limits from one place up to another.
    Range {
        /// The first place.
        from: u64,
        /// The place after the last; none: to the end.
        to: Option<u64>,
    },
    /// The limit of one key.
    #[serde(rename = "one")]
    Key(LimitKey),
    /// The sum of all limits of a kind.
    Sum(String),
}

impl fmt::Display for Query {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Query::Range { from, to: None } => write!(f, "range from {from}"),
            Query::Range { from, to: Some(to) } => write!(f, "range from {from} to {to}"),
            Query::Key(key) => write!(f, "{key}"),
            Query::Sum(kind) => write!(f, "sum of {kind}"),
        }
    }
}

/// An answer in its one form: rows in the order of their keys; a sum is one row without a key.
pub type Rows = Vec<(Option<LimitKey>, u64)>;

impl Query {
    /// Answers from records in the order in which they are given.
    pub(crate) fn answer<'a>(
        &self,
        records: impl Iterator<Item = (&'a LimitKey, &'a Limit)>,
    ) -> Rows {
        let row = |(key, limit): (&LimitKey, &Limit)| (Some(key.clone()), limit.total);
        match self {
            Query::Range { from, to } => {
                let within = |key: &LimitKey| {
                    key.position() >= *from && to.is_none_or(|to| key.position() < to)
                };
                records.filter(|(key, _)| within(key)).map(row).collect()
            }
            Query::Key(key) => records
                .filter(|(other, _)| *other == key)
                .map(row)
                .collect(),
            Query::Sum(kind) => {
                let of_kind = records.filter(|(key, _)| key.kind() == kind);
                vec![(
                    None,
                    of_kind.fold(0, |sum: u64, (_, limit)| sum.saturating_add(limit.total)),
                )]
            }
        }
    }
}
