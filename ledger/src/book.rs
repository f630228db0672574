//! What the replicated log keeps of the ledger: floors, terms, limits, and which replica keeps which range. No part and no
//! time is in it.

use crate::keys::Key;
use crate::limits::{Floors, Limit, LimitError, Limits};
use miette::Diagnostic;
use milletturn_agreement::Terms;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

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
}

/// A range of keys, up to where the next one begins.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// One higher with each keeper.
    pub epoch: u64,
    /// The replica that deals its parts; none: nobody yet.
    pub keeper: Option<u64>,
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
    #[diagnostic(code(ledger::ranges), help("name the first destination of each range after the first one"))]
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
}

/// The ledger as the log has it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Book {
    floors: Floors,
    terms: Terms,
    rev: u64,
    limits: Limits,
    shards: BTreeMap<u64, Shard>,
}

impl Book {
    /// Applies an entry: all of it or nothing.
    ///
    /// # Errors
    /// Says why nothing was done.
    pub fn apply(book: &mut Option<Book>, entry: Entry) -> Result<(), BookError> {
        match (book, entry) {
            (Some(_), Entry::Begin { .. }) => Err(BookError::Begun),
            (book, Entry::Begin { floors, terms, split_at }) => {
                let grows = split_at.windows(2).all(|two| two[0] < two[1]);
                if !grows || split_at.first() == Some(&0) || split_at.len() >= SHARDS_MOST {
                    return Err(BookError::Ranges);
                }
                let shards = [0].into_iter().chain(split_at).map(|first| (first, Shard::default())).collect();
                *book = Some(Book { floors, terms, rev: 0, limits: Limits::default(), shards });
                Ok(())
            }
            (None, _) => Err(BookError::None),
            (Some(book), Entry::Limit { key, limit, if_match }) => {
                if let Some(wanted) = if_match.filter(|wanted| *wanted != book.rev) {
                    return Err(BookError::Version { now: book.rev, wanted });
                }
                if book.limits.get(&key) != limit || limit.is_none() {
                    book.limits.set(&book.floors, key, limit)?;
                    book.rev += 1;
                }
                Ok(())
            }
            (Some(book), Entry::Keeper { shard, epoch, replica }) => {
                if let Some(shard) = book.shards.get_mut(&shard).filter(|shard| shard.epoch == epoch) {
                    *shard = Shard { epoch: epoch + 1, keeper: Some(replica) };
                }
                Ok(())
            }
        }
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

    /// The limits.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// The ranges by their first places.
    pub fn shards(&self) -> &BTreeMap<u64, Shard> {
        &self.shards
    }

    /// The range of a key: its first place, and who keeps it.
    pub fn shard_of(&self, key: &Key) -> (u64, Shard) {
        let shard = self.shards.range(..=key.place()).next_back();
        shard.map_or((0, Shard::default()), |(first, shard)| (*first, *shard))
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
            let Some((&replica, _)) = kept.iter().min_by_key(|(id, count)| (**count, **id)) else { break };
            kept.entry(replica).and_modify(|count| *count += 1);
            due.push(Entry::Keeper { shard: *first, epoch: shard.epoch, replica });
        }
        due
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::keys::What;

    fn begun(split_at: Vec<u64>) -> Option<Book> {
        let floors = Floors { senders: 3, each: [("rate".to_string(), 10)].into() };
        let mut book = None;
        let terms = Terms { lease: 1_500_000, drift: 30_000 };
        Book::apply(&mut book, Entry::Begin { floors, terms, split_at }).expect("begun");
        book
    }

    #[test]
    fn keepers_share_the_ranges_and_each_change_is_a_new_epoch() {
        let mut book = begun(vec![10, 20]);
        let due = book.as_ref().expect("begun").due(&[1, 2]);
        assert_eq!(due.len(), 3);
        due.into_iter().for_each(|entry| Book::apply(&mut book, entry).expect("applied"));
        let kept = |book: &Option<Book>| -> Vec<_> {
            book.as_ref().expect("begun").shards().values().map(|shard| (shard.keeper, shard.epoch)).collect()
        };
        assert_eq!(kept(&book), [(Some(1), 1), (Some(2), 1), (Some(1), 1)]);
        // the second is gone; a proposal of before does nothing once another has gone through
        let late = Entry::Keeper { shard: 10, epoch: 1, replica: 3 };
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
            let limit = Some(Limit { total, linger_ms: 0 });
            Book::apply(book, Entry::Limit { key: key.clone(), limit, if_match })
        };
        assert_eq!(set(&mut book, 100, Some(0)), Ok(()));
        assert_eq!(set(&mut book, 100, None), Ok(()));
        assert_eq!(set(&mut book, 90, Some(0)), Err(BookError::Version { now: 1, wanted: 0 }));
        assert!(matches!(set(&mut book, 29, None), Err(BookError::Limit(LimitError::Floors { .. }))));
        assert_eq!(book.as_ref().map(Book::rev), Some(1));
        assert_eq!(set(&mut None, 1, None), Err(BookError::None));
        let again =
            Entry::Begin { floors: Floors::default(), terms: Terms { lease: 1, drift: 0 }, split_at: vec![] };
        assert_eq!(Book::apply(&mut book, again), Err(BookError::Begun));
    }

    #[test]
    fn an_entry_has_these_bytes() {
        let key = Key::of(7, What::Rate);
        let entry = Entry::Limit { key, limit: Some(Limit { total: 300, linger_ms: 0 }), if_match: None };
        let bytes = postcard::to_allocvec(&entry).expect("encoded");
        assert_eq!(bytes, [&[1, 6][..], b"rate/7", &[1, 172, 2, 0, 0]].concat());
        assert_eq!(postcard::from_bytes::<Entry>(&bytes), Ok(entry));
    }
}
