//! What the replicated log keeps of the ledger: floors, terms, limits, and which replica keeps which range. No part and no
//! time is in it.

use crate::keys::LimitKey;
use crate::limits::{FallbackQuotas, LIMITS_MOST, Limit, LimitError};
use crate::splits::{
    self, Disagreement, ENDED_MOST, FinishedSplit, PlantedFault, Query, Records, Rows, Split,
    SplitError, compare,
};
use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;
use versioned_config::LeaseTerms;

/// Ranges that a ledger may begin with.
const SHARDS_MOST: usize = 256;

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

/// Why an entry did nothing.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum LedgerError {
    /// There is no ledger.
    #[error("no ledger has begun here")]
    #[diagnostic(
        code(ledger::none),
        help("give the replicas a [ledger] table in their settings and restart them one by one")
    )]
    NotCreated,
    /// It has begun already.
    #[error("a ledger has begun here already")]
    #[diagnostic(
        code(ledger::begun),
        help("what the log says holds: begin another cluster for other floors or leases")
    )]
    AlreadyCreated,
    /// Ranges make no sense.
    #[error("split_at is not a growing list of up to {SHARDS_MOST} places above zero")]
    #[diagnostic(
        code(ledger::ranges),
        help("name the first destination of each range after the first one")
    )]
    InvalidShards,
    /// The limits have another version.
    #[error("the limits have version {now}, not {wanted}")]
    #[diagnostic(
        code(ledger::version),
        help("read GET /v1/limits again, and write with the version that it tells in If-Match")
    )]
    VersionMismatch {
        /// What they have.
        now: u64,
        /// What was wanted.
        wanted: u64,
    },
    /// A limit can't be so.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Limit(#[from] LimitError),
    /// A split can't be so.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Split(#[from] SplitError),
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
        splits::read(query, self.limits())
    }

    /// Answers a query. While a split runs, both sides are read at this one point of the log: the parent answers, and
    /// a flag tells where its children disagree.
    pub fn dual_read(&self, query: &Query) -> (Rows, Option<Disagreement>) {
        let rows = self.query(query);
        let Some(split) = self.split.as_ref().filter(|split| split.reads_both()) else {
            return (rows, None);
        };
        let parent = self.shards.get(&split.first).map(|shard| &shard.records);
        let parent = splits::read(query, parent.into_iter().flatten());
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
mod tests {
    use super::*;
    use crate::keys::Resource;

    fn begun(split_at: Vec<u64>) -> Option<LedgerState> {
        let floors = FallbackQuotas {
            senders: 3,
            per_sender: [("rate".to_string(), 10)].into(),
        };
        let mut book = None;
        let terms = LeaseTerms {
            lease: 1_500_000,
            max_drift: 30_000,
        };
        LedgerState::apply(
            &mut book,
            LedgerEntry::Create {
                fallback_quotas: floors,
                terms,
                split_at,
            },
        )
        .expect("begun");
        book
    }

    #[test]
    fn keepers_share_the_ranges_and_each_change_is_a_new_epoch() {
        let mut book = begun(vec![10, 20]);
        let due = book.as_ref().expect("begun").allocator_assignments(&[1, 2]);
        assert_eq!(due.len(), 3);
        due.into_iter()
            .for_each(|entry| LedgerState::apply(&mut book, entry).expect("applied"));
        let kept = |book: &Option<LedgerState>| -> Vec<_> {
            book.as_ref()
                .expect("begun")
                .shards()
                .values()
                .map(|shard| (shard.allocator, shard.epoch))
                .collect()
        };
        assert_eq!(kept(&book), [(Some(1), 1), (Some(2), 1), (Some(1), 1)]);
        // the second is gone; a proposal of before does nothing once another has gone through
        let late = LedgerEntry::AssignAllocator {
            shard: 10,
            epoch: 1,
            replica: 3,
        };
        for entry in book.as_ref().expect("begun").allocator_assignments(&[1]) {
            LedgerState::apply(&mut book, entry).expect("applied");
        }
        LedgerState::apply(&mut book, late).expect("no fault");
        assert_eq!(kept(&book), [(Some(1), 1), (Some(1), 2), (Some(1), 1)]);
        let book = book.expect("begun");
        assert_eq!(book.shard_of(&LimitKey::of(19, Resource::Rate)).0, 10);
        assert!(book.allocator_assignments(&[1]).is_empty());
    }

    #[test]
    fn limits_have_versions_and_the_same_again_makes_none() {
        let mut book = begun(vec![]);
        let key = LimitKey::of(7, Resource::Rate);
        let set = |book: &mut Option<LedgerState>, total, if_match| {
            let limit = Some(Limit {
                total,
                expiry_grace_ms: 0,
            });
            LedgerState::apply(
                book,
                LedgerEntry::SetLimit {
                    key: key.clone(),
                    limit,
                    if_match,
                },
            )
        };
        assert_eq!(set(&mut book, 100, Some(0)), Ok(()));
        assert_eq!(set(&mut book, 100, None), Ok(()));
        assert_eq!(
            set(&mut book, 90, Some(0)),
            Err(LedgerError::VersionMismatch { now: 1, wanted: 0 })
        );
        assert!(matches!(
            set(&mut book, 29, None),
            Err(LedgerError::Limit(LimitError::BelowFallbackQuotas { .. }))
        ));
        assert_eq!(book.as_ref().map(LedgerState::revision), Some(1));
        assert_eq!(set(&mut None, 1, None), Err(LedgerError::NotCreated));
        let again = LedgerEntry::Create {
            fallback_quotas: FallbackQuotas::default(),
            terms: LeaseTerms {
                lease: 1,
                max_drift: 0,
            },
            split_at: vec![],
        };
        assert_eq!(
            LedgerState::apply(&mut book, again),
            Err(LedgerError::AlreadyCreated)
        );
    }

    fn stepped(book: &mut Option<LedgerState>, steps: usize) {
        (0..steps)
            .for_each(|_| LedgerState::apply(book, LedgerEntry::AdvanceSplit(4)).expect("applied"));
    }

    fn with_limits(count: u64) -> Option<LedgerState> {
        let mut book = begun(vec![]);
        for destination in 0..count {
            let limit = Some(Limit {
                total: 100 + destination,
                expiry_grace_ms: 0,
            });
            let entry = LedgerEntry::SetLimit {
                key: LimitKey::of(destination, Resource::Rate),
                limit,
                if_match: None,
            };
            LedgerState::apply(&mut book, entry).expect("set");
        }
        book
    }

    fn write(book: &mut Option<LedgerState>, destination: u64, total: u64) {
        let limit = Some(Limit {
            total,
            expiry_grace_ms: 0,
        });
        let entry = LedgerEntry::SetLimit {
            key: LimitKey::of(destination, Resource::Rate),
            limit,
            if_match: None,
        };
        LedgerState::apply(book, entry).expect("written");
    }

    #[test]
    fn a_split_under_writes_is_cut_over_with_every_key_on_its_side() {
        let mut book = with_limits(20);
        LedgerState::apply(
            &mut book,
            LedgerEntry::BeginSplit {
                first: 0,
                at: 10,
                planted_fault: None,
            },
        )
        .expect("begun");
        for step in 0..30 {
            write(&mut book, step * 7 % 24, 200 + step);
            stepped(&mut book, 1);
            // sixteen steps copy and compare twenty keys, four at a time
            if step < 10 {
                let early = LedgerState::apply(&mut book, LedgerEntry::CutOver);
                assert!(early.is_err(), "cut before all was compared");
            }
        }
        stepped(&mut book, 12);
        let before: Vec<_> = book
            .as_ref()
            .expect("begun")
            .limits()
            .map(|(k, l)| (k.clone(), *l))
            .collect();
        LedgerState::apply(&mut book, LedgerEntry::CutOver).expect("cut over");
        let book = book.expect("begun");
        let after: Vec<_> = book.limits().map(|(k, l)| (k.clone(), *l)).collect();
        assert_eq!(before, after);
        assert_eq!(book.shards().keys().copied().collect::<Vec<_>>(), [0, 10]);
        assert!(
            book.shards()[&10]
                .records
                .keys()
                .all(|key| key.position() >= 10)
        );
        assert_eq!(
            (
                book.finished_splits()[0].rolled_back_because.as_ref(),
                book.finished_splits()[0].disagreement_count
            ),
            (None, 0)
        );
    }

    #[test]
    fn each_planted_difference_is_flagged_by_queries_and_by_the_walk_and_never_cut_over() {
        for plant in [
            PlantedFault::Lost,
            PlantedFault::Doubled,
            PlantedFault::WrongSide,
            PlantedFault::Stale,
            PlantedFault::Order,
        ] {
            let mut book = with_limits(20);
            LedgerState::apply(
                &mut book,
                LedgerEntry::BeginSplit {
                    first: 0,
                    at: 10,
                    planted_fault: Some(plant),
                },
            )
            .expect("begun");
            stepped(&mut book, 6);
            write(&mut book, 4, 999);
            let queries = [
                Query::Range { from: 0, to: None },
                Query::Key(LimitKey::of(4, Resource::Rate)),
                Query::Sum("rate".to_string()),
            ];
            let here = book.as_ref().expect("begun");
            let found: Vec<_> = queries
                .iter()
                .filter_map(|query| here.dual_read(query).1)
                .collect();
            assert!(!found.is_empty(), "{plant:?}");
            assert!(
                found
                    .iter()
                    .all(|flag| flag.log_revision == here.revision())
            );
            assert_eq!(
                here.dual_read(&queries[1]).0,
                [(Some(LimitKey::of(4, Resource::Rate)), 999)],
                "the parent answers"
            );
            if plant == PlantedFault::Order {
                assert_eq!(found[0].difference, crate::splits::Difference::Order);
                LedgerState::apply(
                    &mut book,
                    LedgerEntry::RecordDualReads {
                        queries: [1, 0],
                        flags: found,
                    },
                )
                .expect("told");
            }
            stepped(&mut book, 12);
            let split = book
                .as_ref()
                .and_then(LedgerState::split)
                .expect("under way")
                .clone();
            assert!(
                split.disagreement_count > 0 && split.compared_all,
                "{plant:?}: {split:?}"
            );
            assert_eq!(
                LedgerState::apply(&mut book, LedgerEntry::CutOver),
                Err(SplitError::NoSplit.into())
            );
            let why = SplitError::Disagreements(split.disagreement_count);
            LedgerState::apply(&mut book, LedgerEntry::RollBack(why.clone())).expect("undone");
            let book = book.expect("begun");
            assert_eq!(
                (
                    book.shards().len(),
                    book.finished_splits()[0].rolled_back_because.as_ref()
                ),
                (1, Some(&why))
            );
        }
    }

    #[test]
    fn a_split_that_makes_no_sense_is_refused() {
        let mut book = with_limits(5);
        let split = |first, at| LedgerEntry::BeginSplit {
            first,
            at,
            planted_fault: None,
        };
        assert_eq!(
            LedgerState::apply(&mut book, split(3, 4)),
            Err(SplitError::UnknownShard(3).into())
        );
        assert_eq!(
            LedgerState::apply(&mut book, split(0, 0)),
            Err(SplitError::OutsideShard { first: 0, at: 0 }.into())
        );
        LedgerState::apply(&mut book, split(0, 3)).expect("begun");
        assert_eq!(
            LedgerState::apply(&mut book, split(0, 2)),
            Err(SplitError::SplitInProgress(0).into())
        );
    }

    #[test]
    fn an_entry_has_these_bytes() {
        let key = LimitKey::of(7, Resource::Rate);
        let entry = LedgerEntry::SetLimit {
            key,
            limit: Some(Limit {
                total: 300,
                expiry_grace_ms: 0,
            }),
            if_match: None,
        };
        let bytes = postcard::to_allocvec(&entry).expect("encoded");
        assert_eq!(bytes, [&[1, 6][..], b"rate/7", &[1, 172, 2, 0, 0]].concat());
        assert_eq!(postcard::from_bytes::<LedgerEntry>(&bytes), Ok(entry));
    }
}
