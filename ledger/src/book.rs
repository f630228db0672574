//! What the replicated log keeps of the ledger: floors, terms, limits, and which replica keeps which range. No part and no
//! time is in it.

use crate::keys::Key;
use crate::limits::{Floors, LIMITS_MOST, Limit, LimitError};
use crate::splits::{
    self, ENDED_MOST, Ended, Flag, Plant, Query, Records, Rows, Split, SplitError, compare,
};
use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;
use versioned_config::Terms;

/// Ranges that a ledger may begin with.
const SHARDS_MOST: usize = 256;

/// What is proposed to the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// The ledger begins.
    Begin {
        /// What each sender may use without asking.
        floors: Floors,
        /// How long parts are leased.
        terms: Terms,
        /// The first places of the ranges after the first one.
        split_at: Vec<u64>,
    },
    /// A limit is set, or removed.
    Limit {
        /// Which.
        key: Key,
        /// To what.
        limit: Option<Limit>,
        /// Only if the limits have this version.
        if_match: Option<u64>,
    },
    /// Another replica keeps a range.
    Keeper {
        /// The range's first place.
        shard: u64,
        /// The epoch that ends; a range that has gone on since is left as it is.
        epoch: u64,
        /// Who keeps it from now on.
        replica: u64,
    },
    /// A range begins to be split.
    Split {
        /// Its first place.
        first: u64,
        /// The first place of the second child.
        at: u64,
        /// For a rehearsal: what is planted.
        plant: Option<Plant>,
    },
    /// The split under way copies, and then compares, so many keys more.
    Step(u64),
    /// Queries have been read on both sides, or not; with a flag of one that disagreed.
    Read {
        /// Queries that were compared, and that were not.
        queries: [u64; 2],
        /// Where the sides disagreed.
        flags: Vec<Flag>,
    },
    /// The split is cut over: its children own the keys.
    Cut,
    /// The split is undone.
    Undo(SplitError),
}

/// A range of keys, up to where the next one begins.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Shard {
    /// One higher with each keeper.
    pub epoch: u64,
    /// The replica that deals its parts; none: nobody yet.
    pub keeper: Option<u64>,
    /// The range and epoch whose parts it took over when that was split: a keeper that dealt them knows them.
    pub from: Option<(u64, u64)>,
    records: Records,
}

/// Why an entry did nothing.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum BookError {
    /// There is no ledger.
    #[error("no ledger has begun here")]
    #[diagnostic(
        code(ledger::none),
        help("give the replicas a [ledger] table in their settings and restart them one by one")
    )]
    None,
    /// It has begun already.
    #[error("a ledger has begun here already")]
    #[diagnostic(
        code(ledger::begun),
        help("what the log says holds: begin another cluster for other floors or leases")
    )]
    Begun,
    /// Ranges make no sense.
    #[error("split_at is not a growing list of up to {SHARDS_MOST} places above zero")]
    #[diagnostic(
        code(ledger::ranges),
        help("name the first destination of each range after the first one")
    )]
    Ranges,
    /// The limits have another version.
    #[error("the limits have version {now}, not {wanted}")]
    #[diagnostic(
        code(ledger::version),
        help("read GET /v1/limits again, and write with the version that it tells in If-Match")
    )]
    Version {
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
pub struct Book {
    floors: Floors,
    terms: Terms,
    rev: u64,
    shards: BTreeMap<u64, Shard>,
    /// The longest call that any limit ever allowed, ms.
    linger_most: u64,
    split: Option<Box<Split>>,
    ended: Vec<Ended>,
}

impl Book {
    /// Applies an entry: all of it or nothing.
    ///
    /// # Errors
    /// Says why nothing was done.
    pub fn apply(book: &mut Option<Book>, entry: Entry) -> Result<(), BookError> {
        match (book, entry) {
            (Some(_), Entry::Begin { .. }) => Err(BookError::Begun),
            (
                book,
                Entry::Begin {
                    floors,
                    terms,
                    split_at,
                },
            ) => {
                let grows = split_at.windows(2).all(|two| two[0] < two[1]);
                if !grows || split_at.first() == Some(&0) || split_at.len() >= SHARDS_MOST {
                    return Err(BookError::Ranges);
                }
                let shards = [0]
                    .into_iter()
                    .chain(split_at)
                    .map(|first| (first, Shard::default()))
                    .collect();
                let (rev, linger_most, split, ended) = (0, 0, None, Vec::new());
                *book = Some(Book {
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
            (None, _) => Err(BookError::None),
            (
                Some(book),
                Entry::Limit {
                    key,
                    limit,
                    if_match,
                },
            ) => {
                if let Some(wanted) = if_match.filter(|wanted| *wanted != book.rev) {
                    return Err(BookError::Version {
                        now: book.rev,
                        wanted,
                    });
                }
                book.set(key, limit).map_err(BookError::from)
            }
            (
                Some(book),
                Entry::Keeper {
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
                    (shard.epoch, shard.keeper, shard.from) = (epoch + 1, Some(replica), None);
                }
                Ok(())
            }
            (Some(book), Entry::Split { first, at, plant }) => {
                Ok(book.begin_split(first, at, plant)?)
            }
            (Some(book), Entry::Step(count)) => {
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
                Entry::Read {
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
            (Some(book), Entry::Cut) => Ok(book.cut()?),
            (Some(book), Entry::Undo(why)) => {
                let split = book.split.take().ok_or(SplitError::None)?;
                book.end(split.ended(Some(why)));
                Ok(())
            }
        }
    }

    fn set(&mut self, key: Key, limit: Option<Limit>) -> Result<(), LimitError> {
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
                    return Err(LimitError::Many);
                }
                self.linger_most = self.linger_most.max(limit.linger_ms);
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

    fn begin_split(&mut self, first: u64, at: u64, plant: Option<Plant>) -> Result<(), SplitError> {
        if let Some(split) = &self.split {
            return Err(SplitError::UnderWay(split.first));
        }
        if !self.shards.contains_key(&first) {
            return Err(SplitError::Range(first));
        }
        let next = self.shards.range(first + 1..).next().map(|(next, _)| *next);
        if at <= first || next.is_some_and(|next| at >= next) || self.shards.len() >= SHARDS_MOST {
            return Err(SplitError::Place { first, at });
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
            .ok_or(SplitError::None)?;
        let Split { first, at, .. } = *split;
        let parent = self.shards.get(&first).ok_or(SplitError::Range(first))?;
        let (from, keeper, epoch) = (Some((first, parent.epoch)), parent.keeper, parent.epoch + 1);
        let [left, right] = split.children.clone();
        self.shards.insert(
            first,
            Shard {
                epoch,
                keeper,
                from,
                records: left,
            },
        );
        self.shards.insert(
            at,
            Shard {
                epoch,
                keeper,
                from,
                records: right,
            },
        );
        self.end(split.ended(None));
        Ok(())
    }

    fn end(&mut self, ended: Ended) {
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
    pub fn ended(&self) -> &[Ended] {
        &self.ended
    }

    /// Answers a query by the ranges as they are.
    pub fn plain(&self, query: &Query) -> Rows {
        splits::read(query, self.limits())
    }

    /// Answers a query. While a split runs, both sides are read at this one point of the log: the parent answers, and
    /// a flag tells where its children disagree.
    pub fn read(&self, query: &Query) -> (Rows, Option<Flag>) {
        let rows = self.plain(query);
        let Some(split) = self.split.as_ref().filter(|split| split.reads_both()) else {
            return (rows, None);
        };
        let parent = self.shards.get(&split.first).map(|shard| &shard.records);
        let parent = splits::read(query, parent.into_iter().flatten());
        let flag = compare(Some(query), &parent, &split.read(query), self.rev);
        (rows, flag)
    }

    /// The longest call that any limit ever allowed, ms.
    pub fn linger_most(&self) -> u64 {
        self.linger_most
    }

    /// What each sender may use without asking.
    pub fn floors(&self) -> &Floors {
        &self.floors
    }

    /// How long parts are leased.
    pub fn terms(&self) -> Terms {
        self.terms
    }

    /// The version of the limits.
    pub fn rev(&self) -> u64 {
        self.rev
    }

    /// The limits, in the order of their keys.
    pub fn limits(&self) -> impl Iterator<Item = (&Key, &Limit)> {
        self.shards.values().flat_map(|shard| &shard.records)
    }

    /// One limit.
    pub fn limit(&self, key: &Key) -> Option<Limit> {
        self.shards
            .range(..=key.place())
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
    pub fn shard_of(&self, key: &Key) -> (u64, Option<u64>) {
        let shard = self.shards.range(..=key.place()).next_back();
        shard.map_or((0, None), |(first, shard)| (*first, shard.keeper))
    }

    /// Ranges whose keeper is none of these, each with a keeper that has the fewest: what a leader proposes.
    pub fn due(&self, alive: &[u64]) -> Vec<Entry> {
        let mut kept: BTreeMap<u64, usize> = alive.iter().map(|id| (*id, 0)).collect();
        for shard in self.shards.values() {
            shard.keeper.into_iter().for_each(|id| {
                kept.entry(id).and_modify(|count| *count += 1);
            });
        }
        let mut due = Vec::new();
        for (first, shard) in &self.shards {
            if shard.keeper.is_some_and(|id| alive.contains(&id)) {
                continue;
            }
            let Some((&replica, _)) = kept.iter().min_by_key(|(id, count)| (**count, **id)) else {
                break;
            };
            kept.entry(replica).and_modify(|count| *count += 1);
            due.push(Entry::Keeper {
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
    use crate::keys::What;

    fn begun(split_at: Vec<u64>) -> Option<Book> {
        let floors = Floors {
            senders: 3,
            each: [("rate".to_string(), 10)].into(),
        };
        let mut book = None;
        let terms = Terms {
            lease: 1_500_000,
            drift: 30_000,
        };
        Book::apply(
            &mut book,
            Entry::Begin {
                floors,
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
        let due = book.as_ref().expect("begun").due(&[1, 2]);
        assert_eq!(due.len(), 3);
        due.into_iter()
            .for_each(|entry| Book::apply(&mut book, entry).expect("applied"));
        let kept = |book: &Option<Book>| -> Vec<_> {
            book.as_ref()
                .expect("begun")
                .shards()
                .values()
                .map(|shard| (shard.keeper, shard.epoch))
                .collect()
        };
        assert_eq!(kept(&book), [(Some(1), 1), (Some(2), 1), (Some(1), 1)]);
        // the second is gone; a proposal of before does nothing once another has gone through
        let late = Entry::Keeper {
            shard: 10,
            epoch: 1,
            replica: 3,
        };
        for entry in book.as_ref().expect("begun").due(&[1]) {
            Book::apply(&mut book, entry).expect("applied");
        }
        Book::apply(&mut book, late).expect("no fault");
        assert_eq!(kept(&book), [(Some(1), 1), (Some(1), 2), (Some(1), 1)]);
        let book = book.expect("begun");
        assert_eq!(book.shard_of(&Key::of(19, What::Rate)).0, 10);
        assert!(book.due(&[1]).is_empty());
    }

    #[test]
    fn limits_have_versions_and_the_same_again_makes_none() {
        let mut book = begun(vec![]);
        let key = Key::of(7, What::Rate);
        let set = |book: &mut Option<Book>, total, if_match| {
            let limit = Some(Limit {
                total,
                linger_ms: 0,
            });
            Book::apply(
                book,
                Entry::Limit {
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
            Err(BookError::Version { now: 1, wanted: 0 })
        );
        assert!(matches!(
            set(&mut book, 29, None),
            Err(BookError::Limit(LimitError::Floors { .. }))
        ));
        assert_eq!(book.as_ref().map(Book::rev), Some(1));
        assert_eq!(set(&mut None, 1, None), Err(BookError::None));
        let again = Entry::Begin {
            floors: Floors::default(),
            terms: Terms { lease: 1, drift: 0 },
            split_at: vec![],
        };
        assert_eq!(Book::apply(&mut book, again), Err(BookError::Begun));
    }

    fn stepped(book: &mut Option<Book>, steps: usize) {
        (0..steps).for_each(|_| Book::apply(book, Entry::Step(4)).expect("applied"));
    }

    fn with_limits(count: u64) -> Option<Book> {
        let mut book = begun(vec![]);
        for destination in 0..count {
            let limit = Some(Limit {
                total: 100 + destination,
                linger_ms: 0,
            });
            let entry = Entry::Limit {
                key: Key::of(destination, What::Rate),
                limit,
                if_match: None,
            };
            Book::apply(&mut book, entry).expect("set");
        }
        book
    }

    fn write(book: &mut Option<Book>, destination: u64, total: u64) {
        let limit = Some(Limit {
            total,
            linger_ms: 0,
        });
        let entry = Entry::Limit {
            key: Key::of(destination, What::Rate),
            limit,
            if_match: None,
        };
        Book::apply(book, entry).expect("written");
    }

    #[test]
    fn a_split_under_writes_is_cut_over_with_every_key_on_its_side() {
        let mut book = with_limits(20);
        Book::apply(
            &mut book,
            Entry::Split {
                first: 0,
                at: 10,
                plant: None,
            },
        )
        .expect("begun");
        for step in 0..30 {
            write(&mut book, step * 7 % 24, 200 + step);
            stepped(&mut book, 1);
            // sixteen steps copy and compare twenty keys, four at a time
            if step < 10 {
                let early = Book::apply(&mut book, Entry::Cut);
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
        Book::apply(&mut book, Entry::Cut).expect("cut over");
        let book = book.expect("begun");
        let after: Vec<_> = book.limits().map(|(k, l)| (k.clone(), *l)).collect();
        assert_eq!(before, after);
        assert_eq!(book.shards().keys().copied().collect::<Vec<_>>(), [0, 10]);
        assert!(
            book.shards()[&10]
                .records
                .keys()
                .all(|key| key.place() >= 10)
        );
        assert_eq!(
            (book.ended()[0].undone.as_ref(), book.ended()[0].flagged),
            (None, 0)
        );
    }

    #[test]
    fn each_planted_difference_is_flagged_by_queries_and_by_the_walk_and_never_cut_over() {
        for plant in [
            Plant::Lost,
            Plant::Doubled,
            Plant::WrongSide,
            Plant::Stale,
            Plant::Order,
        ] {
            let mut book = with_limits(20);
            Book::apply(
                &mut book,
                Entry::Split {
                    first: 0,
                    at: 10,
                    plant: Some(plant),
                },
            )
            .expect("begun");
            stepped(&mut book, 6);
            write(&mut book, 4, 999);
            let queries = [
                Query::Range { from: 0, to: None },
                Query::One(Key::of(4, What::Rate)),
                Query::Sum("rate".to_string()),
            ];
            let here = book.as_ref().expect("begun");
            let found: Vec<_> = queries
                .iter()
                .filter_map(|query| here.read(query).1)
                .collect();
            assert!(!found.is_empty(), "{plant:?}");
            assert!(found.iter().all(|flag| flag.fence == here.rev()));
            assert_eq!(
                here.read(&queries[1]).0,
                [(Some(Key::of(4, What::Rate)), 999)],
                "the parent answers"
            );
            if plant == Plant::Order {
                assert_eq!(found[0].difference, crate::splits::Difference::Order);
                Book::apply(
                    &mut book,
                    Entry::Read {
                        queries: [1, 0],
                        flags: found,
                    },
                )
                .expect("told");
            }
            stepped(&mut book, 12);
            let split = book
                .as_ref()
                .and_then(Book::split)
                .expect("under way")
                .clone();
            assert!(
                split.flagged > 0 && split.compared_all,
                "{plant:?}: {split:?}"
            );
            assert_eq!(
                Book::apply(&mut book, Entry::Cut),
                Err(SplitError::None.into())
            );
            let why = SplitError::Flags(split.flagged);
            Book::apply(&mut book, Entry::Undo(why.clone())).expect("undone");
            let book = book.expect("begun");
            assert_eq!(
                (book.shards().len(), book.ended()[0].undone.as_ref()),
                (1, Some(&why))
            );
        }
    }

    #[test]
    fn a_split_that_makes_no_sense_is_refused() {
        let mut book = with_limits(5);
        let split = |first, at| Entry::Split {
            first,
            at,
            plant: None,
        };
        assert_eq!(
            Book::apply(&mut book, split(3, 4)),
            Err(SplitError::Range(3).into())
        );
        assert_eq!(
            Book::apply(&mut book, split(0, 0)),
            Err(SplitError::Place { first: 0, at: 0 }.into())
        );
        Book::apply(&mut book, split(0, 3)).expect("begun");
        assert_eq!(
            Book::apply(&mut book, split(0, 2)),
            Err(SplitError::UnderWay(0).into())
        );
    }

    #[test]
    fn an_entry_has_these_bytes() {
        let key = Key::of(7, What::Rate);
        let entry = Entry::Limit {
            key,
            limit: Some(Limit {
                total: 300,
                linger_ms: 0,
            }),
            if_match: None,
        };
        let bytes = postcard::to_allocvec(&entry).expect("encoded");
        assert_eq!(bytes, [&[1, 6][..], b"rate/7", &[1, 172, 2, 0, 0]].concat());
        assert_eq!(postcard::from_bytes::<Entry>(&bytes), Ok(entry));
    }
}
