//! What the replicated log keeps of the ledger: fallback quotas, terms, limits, and which replica allocates which shard. No
//! allocation and no time is in it.

mod entry;
mod error;

pub use entry::LedgerEntry;
pub use error::LedgerError;

use crate::quotas::{FallbackQuotas, Limit, LimitError, LimitKey, MAX_LIMITS};
use crate::splits::{
    Disagreement, FinishedSplit, MAX_FINISHED_SPLITS, PlantedFault, Query, QueryCounts, Records,
    Rows, Split, SplitError, compare,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use versioned_config::LeaseTerms;

/// Shards that a ledger may be created with.
const MAX_SHARDS: usize = 256;

/// A range of keys, up to where the next one begins.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Shard {
    /// One higher with each allocator.
    pub epoch: u64,
    /// The replica that allocates its quotas; none: nobody yet.
    pub allocator: Option<u64>,
    /// The first position and the epoch of the shard that it was split from: the allocator of that one knows what is in
    /// use.
    pub split_from: Option<(u64, u64)>,
    records: Records,
}

/// The ledger as the replicated log has it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LedgerState {
    fallback_quotas: FallbackQuotas,
    terms: LeaseTerms,
    revision: u64,
    /// By their first positions.
    shards: BTreeMap<u64, Shard>,
    max_expiry_grace_ms: u64,
    split: Option<Box<Split>>,
    finished_splits: Vec<FinishedSplit>,
}

impl LedgerState {
    /// Applies an entry: all of it or nothing.
    ///
    /// # Errors
    /// Says why nothing was done.
    pub fn apply(ledger: &mut Option<LedgerState>, entry: LedgerEntry) -> Result<(), LedgerError> {
        match (ledger, entry) {
            (
                ledger @ None,
                LedgerEntry::Create {
                    fallback_quotas,
                    terms,
                    split_at,
                },
            ) => {
                *ledger = Some(LedgerState::create(fallback_quotas, terms, split_at)?);
                Ok(())
            }
            (Some(_), LedgerEntry::Create { .. }) => Err(LedgerError::AlreadyCreated),
            (None, _) => Err(LedgerError::NotCreated),
            (Some(ledger), entry) => ledger.apply_change(entry),
        }
    }

    fn create(
        fallback_quotas: FallbackQuotas,
        terms: LeaseTerms,
        split_at: Vec<u64>,
    ) -> Result<Self, LedgerError> {
        let is_growing = split_at.windows(2).all(|pair| pair[0] < pair[1]);
        if !is_growing || split_at.first() == Some(&0) || split_at.len() >= MAX_SHARDS {
            return Err(LedgerError::InvalidShards);
        }
        let positions = [0].into_iter().chain(split_at);
        Ok(LedgerState {
            fallback_quotas,
            terms,
            revision: 0,
            shards: positions.map(|first| (first, Shard::default())).collect(),
            max_expiry_grace_ms: 0,
            split: None,
            finished_splits: Vec::new(),
        })
    }

    fn apply_change(&mut self, entry: LedgerEntry) -> Result<(), LedgerError> {
        match entry {
            LedgerEntry::Create { .. } => return Err(LedgerError::AlreadyCreated),
            LedgerEntry::SetLimit {
                key,
                limit,
                if_match,
            } => {
                self.check_revision(if_match)?;
                self.set_limit(key, limit)?;
            }
            LedgerEntry::AssignAllocator {
                shard,
                epoch,
                replica,
            } => self.assign_allocator(shard, epoch, replica),
            LedgerEntry::BeginSplit {
                first,
                at,
                planted_fault,
            } => self.begin_split(first, at, planted_fault)?,
            LedgerEntry::AdvanceSplit(count) => self.advance_split(count),
            LedgerEntry::RecordDualReads {
                queries,
                disagreements,
            } => self.record_dual_reads(queries, disagreements),
            LedgerEntry::CutOver => self.cut_over()?,
            LedgerEntry::RollBack(reason) => {
                let split = self.split.take().ok_or(SplitError::NoSplit)?;
                self.finish_split(split.finish(Some(reason)));
            }
        }
        Ok(())
    }

    fn check_revision(&self, if_match: Option<u64>) -> Result<(), LedgerError> {
        match if_match {
            Some(wanted) if wanted != self.revision => Err(LedgerError::VersionMismatch {
                now: self.revision,
                wanted,
            }),
            _ => Ok(()),
        }
    }

    /// Sets or removes a limit. The same limit again makes no revision.
    fn set_limit(&mut self, key: LimitKey, limit: Option<Limit>) -> Result<(), LimitError> {
        let count = self.limits().count();
        let (first, _) = self.shard_of(&key);
        let Some(shard) = self.shards.get_mut(&first) else {
            return Err(LimitError::Unknown(key));
        };
        match limit {
            None => {
                if shard.records.remove(&key).is_none() {
                    return Err(LimitError::Unknown(key));
                }
            }
            Some(limit) if shard.records.get(&key) == Some(&limit) => return Ok(()),
            Some(limit) => {
                limit.check(&self.fallback_quotas, &key)?;
                if count >= MAX_LIMITS && !shard.records.contains_key(&key) {
                    return Err(LimitError::TooMany);
                }
                self.max_expiry_grace_ms = self.max_expiry_grace_ms.max(limit.expiry_grace_ms);
                shard.records.insert(key.clone(), limit);
            }
        }
        self.revision += 1;
        if let Some(split) = self.split.as_mut().filter(|split| split.first == first) {
            split.write(&key, limit);
            split.compare_key(&shard.records, &key, self.revision);
        }
        Ok(())
    }

    /// Names another allocator, unless the shard has gone on to another epoch since.
    fn assign_allocator(&mut self, first: u64, epoch: u64, replica: u64) {
        let shard = self.shards.get_mut(&first);
        if let Some(shard) = shard.filter(|shard| shard.epoch == epoch) {
            shard.epoch = epoch + 1;
            shard.allocator = Some(replica);
            shard.split_from = None;
        }
    }

    fn begin_split(
        &mut self,
        first: u64,
        at: u64,
        planted_fault: Option<PlantedFault>,
    ) -> Result<(), SplitError> {
        if let Some(split) = &self.split {
            return Err(SplitError::SplitInProgress(split.first));
        }
        if !self.shards.contains_key(&first) {
            return Err(SplitError::UnknownShard(first));
        }
        let next = self.shards.range(first + 1..).next().map(|(next, _)| *next);
        if at <= first || next.is_some_and(|next| at >= next) || self.shards.len() >= MAX_SHARDS {
            return Err(SplitError::OutsideShard { first, at });
        }
        self.split = Some(Box::new(Split::new(first, at, planted_fault)));
        Ok(())
    }

    /// Copies so many keys of the split shard, or compares them once all have been copied.
    fn advance_split(&mut self, count: u64) {
        let Some(split) = self.split.as_deref_mut() else {
            return;
        };
        let Some(shard) = self.shards.get(&split.first) else {
            return;
        };
        let count = usize::try_from(count).unwrap_or(usize::MAX);
        if split.copied_all {
            split.compare_next(&shard.records, count, self.revision);
        } else {
            split.copy_next(&shard.records, count);
        }
    }

    fn record_dual_reads(&mut self, queries: QueryCounts, disagreements: Vec<Disagreement>) {
        if let Some(split) = &mut self.split {
            split.queries += queries.compared;
            split.not_compared += queries.not_compared;
            for disagreement in disagreements {
                split.record_disagreement(disagreement);
            }
        }
    }

    /// Cuts over, if all has been compared equal: else nothing is done, and no fault.
    fn cut_over(&mut self) -> Result<(), SplitError> {
        let split = self
            .split
            .take_if(|split| split.is_proven())
            .ok_or(SplitError::NoSplit)?;
        let parent = self
            .shards
            .get(&split.first)
            .ok_or(SplitError::UnknownShard(split.first))?;
        let epoch = parent.epoch + 1;
        let allocator = parent.allocator;
        let split_from = Some((split.first, parent.epoch));
        let child = |records| Shard {
            epoch,
            allocator,
            split_from,
            records,
        };
        let [left, right] = split.children.clone();
        self.shards.insert(split.first, child(left));
        self.shards.insert(split.at, child(right));
        self.finish_split(split.finish(None));
        Ok(())
    }

    fn finish_split(&mut self, finished: FinishedSplit) {
        self.finished_splits.push(finished);
        while self.finished_splits.len() > MAX_FINISHED_SPLITS {
            self.finished_splits.remove(0);
        }
    }

    /// The split in progress.
    pub fn split(&self) -> Option<&Split> {
        self.split.as_deref()
    }

    /// Splits that were cut over or rolled back, the last ones.
    pub fn finished_splits(&self) -> &[FinishedSplit] {
        &self.finished_splits
    }

    /// Answers a query by the shards as they are.
    pub fn query(&self, query: &Query) -> Rows {
        query.answer(self.limits())
    }

    /// Answers a query. While a split runs, both sides are read at this one point of the log: the parent answers, and
    /// a disagreement says where its children differ.
    pub fn dual_read(&self, query: &Query) -> (Rows, Option<Disagreement>) {
        let rows = self.query(query);
        let Some(split) = self.split.as_ref().filter(|split| split.is_readable()) else {
            return (rows, None);
        };
        let parent = self.shards.get(&split.first).map(|shard| &shard.records);
        let parent = query.answer(parent.into_iter().flatten());
        let disagreement = compare(Some(query), &parent, &split.answer(query), self.revision);
        (rows, disagreement)
    }

    /// The longest call that any limit ever allowed, in ms.
    pub fn max_expiry_grace_ms(&self) -> u64 {
        self.max_expiry_grace_ms
    }

    /// What each sender may use without asking.
    pub fn fallback_quotas(&self) -> &FallbackQuotas {
        &self.fallback_quotas
    }

    /// How long quotas are leased.
    pub fn terms(&self) -> LeaseTerms {
        self.terms
    }

    /// The revision of the limits.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The limits, in the order of their keys.
    pub fn limits(&self) -> impl Iterator<Item = (&LimitKey, &Limit)> {
        self.shards.values().flat_map(|shard| &shard.records)
    }

    /// One limit.
    pub fn limit(&self, key: &LimitKey) -> Option<Limit> {
        self.shards
            .range(..=key.position())
            .next_back()?
            .1
            .records
            .get(key)
            .copied()
    }

    /// The shards by their first positions.
    pub fn shards(&self) -> &BTreeMap<u64, Shard> {
        &self.shards
    }

    /// The shard of a key: its first position, and the replica that allocates its quotas.
    pub fn shard_of(&self, key: &LimitKey) -> (u64, Option<u64>) {
        let shard = self.shards.range(..=key.position()).next_back();
        shard.map_or((0, None), |(first, shard)| (*first, shard.allocator))
    }

    /// An allocator for each shard that has none of these replicas, each time the replica with the fewest shards: what a
    /// leader proposes.
    pub fn allocator_assignments(&self, alive: &[u64]) -> Vec<LedgerEntry> {
        let mut shard_counts: BTreeMap<u64, usize> = alive.iter().map(|id| (*id, 0)).collect();
        for id in self.shards.values().filter_map(|shard| shard.allocator) {
            shard_counts.entry(id).and_modify(|count| *count += 1);
        }
        let mut assignments = Vec::new();
        for (first, shard) in &self.shards {
            if shard.allocator.is_some_and(|id| alive.contains(&id)) {
                continue;
            }
            let fewest = shard_counts
                .iter()
                .min_by_key(|(id, count)| (**count, **id))
                .map(|(id, _)| *id);
            let Some(replica) = fewest else { break };
            shard_counts.entry(replica).and_modify(|count| *count += 1);
            assignments.push(LedgerEntry::AssignAllocator {
                shard: *first,
                epoch: shard.epoch,
                replica,
            });
        }
        assignments
    }
}

#[cfg(test)]
mod tests;
