//! What a replica alone knows as keeper of ranges of the ledger: which parts are out. It deals only once a majority has
//! confirmed that it still keeps the range.

use super::Answer;
use crate::state::Refused;
use quota_ledger::verdicts::{EPOCHS, Tallies, Verdict, Word};
use quota_ledger::{Book, BookError, Dealt, Floors, Keeper, Key, Micros, Want, What};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// Lives of senders that may hold parts at once, and wants of one question.
const LIVES_MOST: usize = 16_384;
const WANTS_MOST: usize = 4096;
/// How often what has lapsed is forgotten.
const FORGET: Micros = 1_000_000;

/// A sender's question for parts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartsQuestion {
    /// The sender's name.
    pub sender: String,
    /// Its life: differs between any two processes of one name.
    pub life: u64,
    /// Numbers the question within that life.
    pub number: u64,
    /// What it may use without asking.
    pub floors: Floors,
    /// What it wants.
    pub wants: Vec<Want>,
    /// Its zone, and what it says of destinations.
    #[serde(default)]
    pub zone: String,
    /// What it says of destinations by its own calls.
    #[serde(default)]
    pub words: Vec<Word>,
}

/// The answer: of the ranges that could be asked.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartsAnswer {
    /// How long the parts last, counted from when they were asked for, microseconds on the sender's clock.
    pub lease: Micros,
    /// The version of the limits.
    pub rev: u64,
    /// The parts.
    pub dealt: Vec<Dealt>,
    /// What enough senders agree on, of the destinations that something was wanted of.
    #[serde(default)]
    pub verdicts: Vec<Verdict>,
    /// Which replicas keep the rest of what was wanted.
    #[serde(skip)]
    pub elsewhere: BTreeMap<u64, Vec<Want>>,
}

/// What it keeps.
#[derive(Default)]
pub(super) struct Keeping {
    /// By first places, with their epochs.
    ranges: BTreeMap<u64, (u64, Keeper)>,
    /// What senders say of their destinations, for as long as the range is kept.
    tallies: BTreeMap<u64, Tallies>,
    numbers: BTreeMap<(String, u64), (u64, Micros)>,
    next: u64,
    forgot: Micros,
    dealt: u64,
}

impl Keeping {
    /// Begins and ends to keep ranges as the log says.
    pub fn follow(&mut self, now: Micros, id: u64, book: Option<&Book>) {
        let Some(book) = book else {
            return self.ranges.clear();
        };
        let own = || {
            book.shards()
                .iter()
                .filter(|(_, shard)| shard.keeper == Some(id))
        };
        let same = self.ranges.len() == own().count()
            && own().all(|(first, shard)| {
                self.ranges
                    .get(first)
                    .is_some_and(|(epoch, _)| *epoch == shard.epoch)
            });
        if !same {
            // another keeper's words, or of another range: senders say theirs again within a lease
            self.tallies.clear();
            let mut before = std::mem::take(&mut self.ranges);
            for (first, shard) in own() {
                let mut kept = Keeper::new(book.terms(), now);
                // after a cut-over the parent's keeper knows its keys; what one child does not take stays for the other
                for (from, epoch) in [Some((*first, shard.epoch)), shard.from]
                    .into_iter()
                    .flatten()
                {
                    if let Some((_, keeper)) =
                        before.get_mut(&from).filter(|(known, _)| *known == epoch)
                    {
                        kept.take_over(keeper, |key| book.shard_of(key).0 == *first);
                    }
                }
                self.ranges.insert(*first, (shard.epoch, kept));
            }
        }
        if now >= self.forgot + FORGET {
            self.forgot = now;
            self.ranges
                .values_mut()
                .for_each(|(_, keeper)| keeper.forget(now));
            self.tallies
                .values_mut()
                .for_each(|tallies| tallies.forget(now));
            self.numbers.retain(|_, (_, until)| *until > now);
        }
    }

    /// Deals what is kept here, a majority having said that what is applied here was current.
    pub fn deal(
        &mut self,
        now: Micros,
        question: PartsQuestion,
        id: u64,
        book: Option<&Book>,
    ) -> Answer {
        let Some(book) = book else {
            return Answer::Refused(Refused::Ledger(BookError::None));
        };
        let PartsQuestion {
            sender,
            life,
            floors,
            wants,
            zone,
            words,
            ..
        } = question;
        if &floors != book.floors() {
            return Answer::OtherFloor;
        }
        if wants.len() > WANTS_MOST || words.len() > WANTS_MOST {
            return Answer::Refused(Refused::Size("more than 4096 wants at once"));
        }
        let until = now + 2 * book.terms().longest() + book.linger_most() * 1000;
        let known = (sender.clone(), life);
        if self.numbers.len() >= LIVES_MOST && !self.numbers.contains_key(&known) {
            return Answer::Busy("too many senders hold parts");
        }
        let next = &mut self.next;
        let entry = self.numbers.entry(known).or_insert_with(|| {
            *next += 1;
            (*next, until)
        });
        entry.1 = until;
        let holder = entry.0;
        let mut answer = PartsAnswer {
            lease: book.terms().lease,
            rev: book.rev(),
            ..PartsAnswer::default()
        };
        let destinations: BTreeSet<u64> = wants.iter().map(|want| want.key.place()).collect();
        for word in words {
            let (first, _) = book.shard_of(&Key::of(word.destination, What::Rate));
            if let Some((epoch, _)) = self.ranges.get(&first) {
                let tallies = self.tallies.entry(first).or_default();
                tallies.hear(now, &sender, &zone, word, epoch * EPOCHS);
            }
        }
        let kept = self
            .tallies
            .iter()
            .filter(|(first, _)| self.ranges.contains_key(first));
        answer.verdicts = kept
            .flat_map(|(_, tallies)| tallies.on(destinations.iter().copied()))
            .collect();
        for want in wants {
            let (first, keeper) = book.shard_of(&want.key);
            match (self.ranges.get_mut(&first), book.limit(&want.key)) {
                (Some(_), None) => {
                    answer.dealt.push(Dealt {
                        key: want.key,
                        part: None,
                        total: None,
                        linger_ms: 0,
                    });
                }
                (Some((_, keeper)), Some(limit)) => {
                    self.dealt += 1;
                    answer
                        .dealt
                        .push(keeper.deal(now, holder, &want, limit, book.floors()));
                }
                (None, _) => {
                    if let Some(keeper) = keeper.filter(|keeper| *keeper != id) {
                        answer.elsewhere.entry(keeper).or_default().push(want);
                    }
                }
            }
        }
        Answer::Parts(Box::new(answer))
    }

    /// What is kept here and what of it is out, for operators.
    pub fn report(&self, now: Micros, book: &Book) -> Value {
        let account = |(key, out, holders): (&quota_ledger::Key, u64, usize)| {
            let total = book.limit(key).map(|limit| limit.total);
            json!({ "key": key, "total": total, "floors": book.floors().sum(key), "out": out, "holders": holders })
        };
        let range = |(first, (epoch, keeper)): (&u64, &(u64, Keeper))| {
            json!({ "first": first, "epoch": epoch,
                "deals_in_ms": keeper.deals_from().saturating_sub(now) / 1000,
                "limits": keeper.accounts().map(account).collect::<Vec<_>>() })
        };
        json!({ "keeps": self.ranges.iter().map(range).collect::<Vec<_>>(), "lives": self.numbers.len(),
            "dealt": self.dealt })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quota_ledger::{Entry, Limit, Terms};

    const TERMS: Terms = Terms {
        lease: 1_500_000,
        drift: 30_000,
    };

    fn applied(book: &mut Option<Book>, entry: Entry) {
        Book::apply(book, entry).expect("applied");
    }

    /// What a sender gets of destinations 3 and 12.
    fn parts(keeping: &mut Keeping, now: Micros, sender: &str, book: &Option<Book>) -> Vec<u64> {
        let wants = [3, 12].map(|destination| Want {
            key: Key::of(destination, What::Rate),
            want: 20_000,
        });
        let question = PartsQuestion {
            sender: sender.to_string(),
            life: 1,
            number: 1,
            floors: book.as_ref().expect("begun").floors().clone(),
            wants: wants.to_vec(),
            zone: String::new(),
            words: Vec::new(),
        };
        keeping.follow(now, 1, book.as_ref());
        match keeping.deal(now, question, 1, book.as_ref()) {
            Answer::Parts(answer) => answer
                .dealt
                .iter()
                .map(|dealt| dealt.part.unwrap_or(u64::MAX))
                .collect(),
            other => panic!("{other:?}"),
        }
    }

    fn split_book() -> Option<Book> {
        let mut book = None;
        let floors = Floors {
            senders: 3,
            each: [("rate".to_string(), 0)].into(),
        };
        applied(
            &mut book,
            Entry::Begin {
                floors,
                terms: TERMS,
                split_at: Vec::new(),
            },
        );
        applied(
            &mut book,
            Entry::Keeper {
                shard: 0,
                epoch: 0,
                replica: 1,
            },
        );
        for destination in [3, 12] {
            let limit = Some(Limit {
                total: 10_000,
                linger_ms: 0,
            });
            applied(
                &mut book,
                Entry::Limit {
                    key: Key::of(destination, What::Rate),
                    limit,
                    if_match: None,
                },
            );
        }
        book
    }

    #[test]
    fn a_cut_over_deals_nothing_twice_and_the_parents_keeper_goes_on_at_once() {
        let (mut book, mut keeping) = (split_book(), Keeping::default());
        assert_eq!(
            parts(&mut keeping, 0, "a", &book),
            [0, 0],
            "what one before dealt may last"
        );
        let now = TERMS.longest();
        assert_eq!(
            parts(&mut keeping, now, "a", &book),
            [9990, 9990],
            "in whole calls a lease"
        );
        applied(
            &mut book,
            Entry::Split {
                first: 0,
                at: 10,
                plant: None,
            },
        );
        (0..4).for_each(|_| applied(&mut book, Entry::Step(8)));
        applied(&mut book, Entry::Cut);
        assert_eq!(book.as_ref().map(|book| book.shards().len()), Some(2));
        // all of both but the rest of a call is out still, and the one that has it has it on
        assert_eq!(parts(&mut keeping, now + 1, "b", &book), [10, 10]);
        let again = parts(&mut keeping, now + 2, "a", &book);
        assert!(again.iter().all(|part| *part > 0), "{again:?}");
        // another replica that keeps one of them from now on waits
        applied(
            &mut book,
            Entry::Keeper {
                shard: 10,
                epoch: 2,
                replica: 2,
            },
        );
        assert_eq!(
            parts(&mut keeping, now + 3, "a", &book).len(),
            1,
            "the other is kept elsewhere"
        );
        let mut other = Keeping::default();
        other.follow(now + 3, 2, book.as_ref());
        let keeper = &other.ranges[&10].1;
        assert_eq!(
            (other.ranges.len(), keeper.deals_from()),
            (1, now + 3 + TERMS.longest())
        );
    }
}
