//! What is proposed to the replicated log.

use crate::quotas::{FallbackQuotas, Limit, LimitKey};
use crate::splits::{Disagreement, PlantedFault, SplitError};
use serde::{Deserialize, Serialize};
use versioned_config::LeaseTerms;

/// What is proposed to the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LedgerEntry {
    /// The ledger begins.
    Create {
        /// What each sender may use without asking.
        fallback_quotas: FallbackQuotas,
        /// How long parts are leased.
        terms: LeaseTerms,
        /// The first places of the ranges after the first one.
        split_at: Vec<u64>,
    },
    /// A limit is set, or removed.
    SetLimit {
        /// Which.
        key: LimitKey,
        /// To what.
        limit: Option<Limit>,
        /// Only if the limits have this version.
        if_match: Option<u64>,
    },
    /// Another replica keeps a range.
    AssignAllocator {
        /// The range's first place.
        shard: u64,
        /// The epoch that ends; a range that has gone on since is left as it is.
        epoch: u64,
        /// Who keeps it from now on.
        replica: u64,
    },
    /// A range begins to be split.
    BeginSplit {
        /// Its first place.
        first: u64,
        /// The first place of the second child.
        at: u64,
        /// For a rehearsal: what is planted.
        planted_fault: Option<PlantedFault>,
    },
    /// The split under way copies, and then compares, so many keys more.
    AdvanceSplit(u64),
    /// Queries have been read on both sides, or not; with a flag of one that disagreed.
    RecordDualReads {
        /// Queries that were compared, and that were not.
        queries: [u64; 2],
        /// Where the sides disagreed.
        flags: Vec<Disagreement>,
    },
    /// The split is cut over: its children own the keys.
    CutOver,
    /// The split is undone.
    RollBack(SplitError),
}
