//! What is proposed to the replicated log.

use crate::quotas::{FallbackQuotas, Limit, LimitKey};
use crate::splits::{Disagreement, PlantedFault, QueryCounts, SplitError};
use serde::{Deserialize, Serialize};
use versioned_config::LeaseTerms;

/// A change of the ledger that is proposed to the replicated log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LedgerEntry {
    /// The ledger is created.
    Create {
        /// What each sender may use without asking.
        fallback_quotas: FallbackQuotas,
        /// How long quotas are leased.
        terms: LeaseTerms,
        /// The first positions of the shards after the first one.
        split_at: Vec<u64>,
    },
    /// A limit is set, or removed.
    SetLimit {
        /// Its key.
        key: LimitKey,
        /// The limit; none: it is removed.
        limit: Option<Limit>,
        /// Only if the limits have this revision.
        if_match: Option<u64>,
    },
    /// Another replica allocates the quotas of a shard.
    AssignAllocator {
        /// The first position of the shard.
        shard: u64,
        /// The epoch that ends; a shard that has gone on since is left as it is.
        epoch: u64,
        /// The replica that allocates from now on.
        replica: u64,
    },
    /// A split of a shard begins.
    BeginSplit {
        /// The first position of the shard.
        first: u64,
        /// The first position of the second child.
        at: u64,
        /// For a rehearsal: the fault that is planted.
        planted_fault: Option<PlantedFault>,
    },
    /// The split in progress copies, and then compares, so many keys more.
    AdvanceSplit(u64),
    /// Queries have been read on both sides, or not.
    RecordDualReads {
        /// How many.
        queries: QueryCounts,
        /// Where the sides disagreed.
        disagreements: Vec<Disagreement>,
    },
    /// The split is cut over: its children own the keys.
    CutOver,
    /// The split is rolled back.
    RollBack(SplitError),
}
