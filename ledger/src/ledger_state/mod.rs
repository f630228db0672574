//! What the replicated log keeps of the ledger: fallback quotas, terms, limits, and which replica allocates which shard. No
//! allocation and no time is in it.

mod entry;
mod error;

pub use entry::LedgerEntry;
pub use error::LedgerError;

use crate::quotas::{FallbackQuotas, LIMITS_MOST, Limit, LimitError, LimitKey};
use crate::splits::{
    Disagreement, ENDED_MOST, FinishedSplit, PlantedFault, Query, Records, Rows, Split, SplitError,
    compare,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use versioned_config::LeaseTerms;

/// Ranges that a ledger may begin with.
const SHARDS_MOST: usize = 256;

/// A range of keys, up to where the next one begins.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Shard {
    /// One higher with each keeper.
    pub epoch: u64,
    /// The replica that deals its parts; none: nobody yet.
    pub allocator: Option<u64>,
    /// The range and epoch whose parts it took over when that was split: a keeper that dealt them knows them.
    pub split_from: Option<(u64, u64)>,
    records: Records,
}

/// The ledger as the log has it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LedgerState {
    floors: FallbackQuotas,
    terms: LeaseTerms,
    rev: u64,
    shards: BTreeMap<u64, Shard>,
    /// The longest call that any limit ever allowed, ms.
    linger_most: u64,
    split: Option<Box<Split>>,
    ended: Vec<FinishedSplit>,
}

impl LedgerState {
    /// Applies an entry: all of it or nothing.
    ///
    /// # Errors
    /// Says why nothing was done.
    pub fn apply(book: &mut Option<LedgerState>, entry: LedgerEntry) -> Result<(), LedgerError> {
        match (book, entry) {
            (Some(_), LedgerEntry::Create { .. }) => Err(LedgerError::AlreadyCreated),
            (
                book,
                LedgerEntry::Create {
                    fallback_quotas: floors,
                    terms,
                    split_at,
                },
            ) => {
                let grows = split_at.windows(2).all(|two| two[0] < two[1]);
                if !grows || split_at.first() == Some(&0) || split_at.len() >= SHARDS_MOST {
                    return Err(LedgerError::InvalidShards);
                }
                let shards = [0]
                    .into_iter()
                    .chain(split_at)
                    .map(|first| (first, Shard::default()))
                    .collect();
                let (rev, linger_most, split, ended) = (0, 0, None, Vec::new());
                *book = Some(LedgerState {
                    floors,
                    terms,
                    rev,
                    shards,
                    linger_most,
                    split,
                    ended,
                });
                Ok(())
            }
            (None, _) => Err(LedgerError::NotCreated),
            (
                Some(book),
                LedgerEntry::SetLimit {
                    key,
                    limit,
                    if_match,
                },
            ) => {
                if let Some(wanted) = if_match.filter(|wanted| *wanted != book.rev) {
                    return Err(LedgerError::VersionMismatch {
                        now: book.rev,
                        wanted,
                    });
                }
                book.set(key, limit).map_err(LedgerError::from)
            }
            (
                Some(book),
                LedgerEntry::AssignAllocator {
                    shard,
                    epoch,
                    replica,
                },
            ) => {
                if let Some(shard) = book
                    .shards
                    .get_mut(&shard)
                    .filter(|shard| shard.epoch == epoch)
                {
                    (shard.epoch, shard.allocator, shard.split_from) =
                        (epoch + 1, Some(replica), None);
                }
                Ok(())
            }
            (
                Some(book),
                LedgerEntry::BeginSplit {
                    first,
                    at,
                    planted_fault: plant,
                },
            ) => Ok(book.begin_split(first, at, plant)?),
            (Some(book), LedgerEntry::AdvanceSplit(count)) => {
                let fence = book.rev;
                if let Some((split, records)) = book.splitting() {
                    let count = usize::try_from(count).unwrap_or(usize::MAX);
                    if split.copied_all {
                        split.walk(records, count, fence)
                    } else {
                        split.copy(records, count)
                    }
                }
                Ok(())
            }
            (
                Some(book),
                LedgerEntry::RecordDualReads {
                    queries: [compared, not],
                    flags,
                },
            ) => {
                if let Some(split) = &mut book.split {
                    (split.queries, split.not_compared) =
                        (split.queries + compared, split.not_compared + not);
                    flags.into_iter().for_each(|flag| split.flag(flag));
                }
                Ok(())
            }
            (Some(book), LedgerEntry::CutOver) => Ok(book.cut()?),
            (Some(book), LedgerEntry::RollBack(why)) => {
                let split = book.split.take().ok_or(SplitError::NoSplit)?;
                book.end(split.ended(Some(why)));
                Ok(())
            }
        }
    }

    fn set(&mut self, key: LimitKey, limit: Option<Limit>) -> Result<(), LimitError> {
        let count: usize = self.shards.values().map(|shard| shard.records.len()).sum();
        let (first, _) = self.shard_of(&key);
        let Some(shard) = self.shards.get_mut(&first) else {
            return Err(LimitError::Unknown(key));
        };
        match limit {
            None if !shard.records.contains_key(&key) => return Err(LimitError::Unknown(key)),
            None => drop(shard.records.remove(&key)),
            Some(limit) if shard.records.get(&key) == Some(&limit) => return Ok(()),
            Some(limit) => {
                limit.check(&self.floors, &key)?;
                if count >= LIMITS_MOST && !shard.records.contains_key(&key) {
                    return Err(LimitError::TooMany);
                }
                self.linger_most = self.linger_most.max(limit.expiry_grace_ms);
                shard.records.insert(key.clone(), limit);
            }
        }
        self.rev += 1;
        let (fence, shard) = (self.rev, &shard.records);
        if let Some(split) = self.split.as_mut().filter(|split| split.first == first) {
            split.write(&key, limit);
            split.look(shard, &key, fence);
        }
        Ok(())
    }

    fn begin_split(
        &mut self,
        first: u64,
        at: u64,
        plant: Option<PlantedFault>,
    ) -> Result<(), SplitError> {
        if let Some(split) = &self.split {
            return Err(SplitError::SplitInProgress(split.first));
        }
        if !self.shards.contains_key(&first) {
            return Err(SplitError::UnknownShard(first));
        }
        let next = self.shards.range(first + 1..).next().map(|(next, _)| *next);
        if at <= first || next.is_some_and(|next| at >= next) || self.shards.len() >= SHARDS_MOST {
            return Err(SplitError::OutsideShard { first, at });
        }
        self.split = Some(Box::new(Split::new(first, at, plant)));
        Ok(())
    }

    fn splitting(&mut self) -> Option<(&mut Split, &Records)> {
        let split = self.split.as_deref_mut()?;
        let records = &self.shards.get(&split.first)?.records;
        Some((split, records))
    }

    /// Cuts over, if all has been compared equal: else nothing is done, and no fault.
    fn cut(&mut self) -> Result<(), SplitError> {
        let split = self
            .split
            .take_if(|split| split.is_proven())
            .ok_or(SplitError::NoSplit)?;
        let Split { first, at, .. } = *split;
        let parent = self
            .shards
            .get(&first)
            .ok_or(SplitError::UnknownShard(first))?;
        let (from, keeper, epoch) = (
            Some((first, parent.epoch)),
            parent.allocator,
            parent.epoch + 1,
        );
        let [left, right] = split.children.clone();
        self.shards.insert(
            first,
            Shard {
                epoch,
                allocator: keeper,
                split_from: from,
                records: left,
            },
        );
        self.shards.insert(
            at,
            Shard {
                epoch,
                allocator: keeper,
                split_from: from,
                records: right,
            },
        );
        self.end(split.ended(None));
        Ok(())
    }

    fn end(&mut self, ended: FinishedSplit) {
        self.ended.push(ended);
        while self.ended.len() > ENDED_MOST {
            self.ended.remove(0);
        }
    }

    /// The split under way.
    pub fn split(&self) -> Option<&Split> {
        self.split.as_deref()
    }

    /// Splits that have ended, the last ones.
    pub fn finished_splits(&self) -> &[FinishedSplit] {
        &self.ended
    }

    /// Answers a query by the ranges as they are.
    pub fn query(&self, query: &Query) -> Rows {
        query.answer(self.limits())
    }

    /// Answers a query. While a split runs, both sides are read at this one point of the log: the parent answers, and
    /// a flag tells where its children disagree.
    pub fn dual_read(&self, query: &Query) -> (Rows, Option<Disagreement>) {
        let rows = self.query(query);
        let Some(split) = self.split.as_ref().filter(|split| split.reads_both()) else {
            return (rows, None);
        };
        let parent = self.shards.get(&split.first).map(|shard| &shard.records);
        let parent = query.answer(parent.into_iter().flatten());
        let flag = compare(Some(query), &parent, &split.read(query), self.rev);
        (rows, flag)
    }

    /// The longest call that any limit ever allowed, ms.
    pub fn max_expiry_grace_ms(&self) -> u64 {
        self.linger_most
    }

    /// What each sender may use without asking.
    pub fn fallback_quotas(&self) -> &FallbackQuotas {
        &self.floors
    }

    /// How long parts are leased.
    pub fn terms(&self) -> LeaseTerms {
        self.terms
    }

    /// The version of the limits.
    pub fn revision(&self) -> u64 {
        self.rev
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

    /// The ranges by their first places.
    pub fn shards(&self) -> &BTreeMap<u64, Shard> {
        &self.shards
    }

    /// The range of a key: its first place, and who keeps it.
    pub fn shard_of(&self, key: &LimitKey) -> (u64, Option<u64>) {
        let shard = self.shards.range(..=key.position()).next_back();
        shard.map_or((0, None), |(first, shard)| (*first, shard.allocator))
    }

    /// Ranges whose keeper is none of these, each with a keeper that has the fewest: what a leader proposes.
    pub fn allocator_assignments(&self, alive: &[u64]) -> Vec<LedgerEntry> {
        let mut kept: BTreeMap<u64, usize> = alive.iter().map(|id| (*id, 0)).collect();
        for shard in self.shards.values() {
            shard.allocator.into_iter().for_each(|id| {
                kept.entry(id).and_modify(|count| *count += 1);
            });
        }
        let mut due = Vec::new();
        for (first, shard) in &self.shards {
            if shard.allocator.is_some_and(|id| alive.contains(&id)) {
                continue;
            }
            let Some((&replica, _)) = kept.iter().min_by_key(|(id, count)| (**count, **id)) else {
                break;
            };
            kept.entry(replica).and_modify(|count| *count += 1);
            due.push(LedgerEntry::AssignAllocator {
                shard: *first,
                epoch: shard.epoch,
                replica,
            });
        }
        due
    }
}

#[cfg(test)]
mod tests;
